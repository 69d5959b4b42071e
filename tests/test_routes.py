"""Tests of the choice of a route."""

import collections

from balsamdale import routes
from tests import builders_routed as builders


def table(*prefixes):
    rows = tuple(
        builders.route(name=prefix, path_prefix=prefix) for prefix in prefixes
    )
    return routes.RouteTable(1, rows, (routes.Service('s', 5),))


def test_longest_prefix_wins():
    found = table('/', '/a/', '/a/b/')
    assert found.match('h', '/a/b/c').name == '/a/b/'
    assert found.match('h', '/a/b').name == '/a/'
    assert found.match('h', '/a/').name == '/a/'
    assert found.match('h', '/x').name == '/'


def test_no_route_without_host_or_prefix():
    found = table('/a/')
    assert found.match('other', '/a/x') is None
    assert found.match('h', '/ab') is None
    assert found.match('h', '/a') is None
    assert found.match('h', '') is None


def test_targets_follow_their_weights():
    split = builders.route(
        targets=(routes.Target('x', 9), routes.Target('y', 1))
    )
    counts = collections.Counter(split.choose_service(n) for n in range(1000))
    assert counts == {'x': 900, 'y': 100}


def test_undescribed_service_takes_defaults():
    assert table('/').service('s').max_connections == 5
    assert table('/').service('other').name == 'other'
