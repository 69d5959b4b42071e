"""Tests of the route table."""

import collections

from balsamdale import routes
from tests import builders_routed as builders


def table(*prefixes):
    all_routes = tuple(
        builders.route(name=prefix, path_prefix=prefix) for prefix in prefixes
    )
    return routes.RouteTable(1, all_routes, (routes.Service('s', 5),))


def test_longest_prefix_wins():
    route_table = table('/', '/a/', '/a/b/')
    assert route_table.match('h', '/a/b/c').name == '/a/b/'
    assert route_table.match('h', '/a/b').name == '/a/'
    assert route_table.match('h', '/a/').name == '/a/'
    assert route_table.match('h', '/x').name == '/'


def test_no_route_without_host_or_prefix():
    route_table = table('/a/')
    assert route_table.match('other', '/a/x') is None
    assert route_table.match('h', '/ab') is None
    assert route_table.match('h', '/a') is None
    assert route_table.match('h', '') is None


def test_targets_follow_their_weights():
    split = builders.route(
        targets=(routes.Target('x', 9), routes.Target('y', 1))
    )
    counts = collections.Counter(split.choose_service(n) for n in range(1000))
    assert counts == {'x': 900, 'y': 100}


def test_undescribed_service_takes_defaults():
    assert table('/').service('s').max_connections == 5
    assert table('/').service('other').name == 'other'


def test_workspace_is_found_by_any_of_its_keys():
    digests = frozenset(map(routes.key_digest, ('k1', 'k2')))
    workspace = routes.Workspace('w', digests)
    route_table = routes.RouteTable(1, (), (), workspaces=(workspace,))
    assert route_table.find_workspace(routes.key_digest('k2')) is workspace
    assert route_table.find_workspace(routes.key_digest('k3')) is None
    assert route_table.find_workspace(b'') is None
