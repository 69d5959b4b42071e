"""Tests of the choice of a backend server."""

from balsamdale import balance
from balsamdale import wire
from tests import builders_routed as builders

NOW_S = 100.0


def chosen(balancer, servers, affinity='', excluded=frozenset(), now_s=NOW_S):
    choice = balancer.choose(servers, affinity, excluded, now_s)
    return choice.server.server_id if choice is not None else None


def test_least_loaded_server_is_chosen():
    balancer = balance.Balancer('a')
    servers = [builders.server('x'), builders.server('y')]
    balancer.add_request('x')
    assert chosen(balancer, servers) == 'y'
    balancer.remove_request('x')
    balancer.record_load('y', wire.LoadReport(3, 0, 4), NOW_S)
    assert chosen(balancer, servers) == 'x'


def test_own_requests_are_not_counted_twice():
    balancer = balance.Balancer('a')
    x = builders.server('x')
    balancer.add_request('x')
    balancer.record_load('x', wire.LoadReport(1, 0, 4), NOW_S)
    assert balancer.estimate_load(x, NOW_S) == 1
    balancer.remove_request('x')
    assert balancer.estimate_load(x, NOW_S) == 0


def test_told_load_fades():
    balancer = balance.Balancer('a')
    x = builders.server('x')
    balancer.record_load('x', wire.LoadReport(4, 0, 4), NOW_S)
    assert balancer.estimate_load(x, NOW_S) == 4
    later_s = NOW_S + balance.LOAD_REPORT_HALF_LIFE_S
    assert balancer.estimate_load(x, later_s) == 2


def test_full_servers_are_not_chosen():
    balancer = balance.Balancer('a')
    servers = [builders.server('x', slots=2)]
    for _ in range(4):
        assert chosen(balancer, servers) == 'x'
        balancer.add_request('x')
    assert chosen(balancer, servers) is None


def test_own_failure_domain_goes_first_until_it_is_busier():
    balancer = balance.Balancer('a')
    near = builders.server('near')
    far = builders.server('far', failure_domain='b')
    assert chosen(balancer, [far, near]) == 'near'
    balancer.add_request('near')
    assert chosen(balancer, [far, near]) == 'far'


def test_program_returns_to_the_same_server_on_every_instance():
    servers = [builders.server(name, slots=32) for name in 'uvwxyz']
    homes = {
        chosen(balance.Balancer('a'), servers, 'program-7') for _ in range(5)
    }
    assert len(homes) == 1
    spread = {
        chosen(balance.Balancer('a'), servers, f'program-{n}')
        for n in range(100)
    }
    assert spread == set('uvwxyz')


def test_program_leaves_a_server_that_is_much_busier():
    """Load: two busy servers whose loads differ a little all the time."""
    balancer = balance.Balancer('a')
    servers = [builders.server(name, slots=16) for name in ('x', 'y')]
    home = chosen(balancer, servers, 'p')
    balancer.record_load(home, wire.LoadReport(7, 0, 16), NOW_S)
    assert chosen(balancer, servers, 'p') == home
    balancer.record_load(home, wire.LoadReport(9, 0, 16), NOW_S)
    assert chosen(balancer, servers, 'p') != home


def test_unreachable_server_is_left_alone_until_it_recovers():
    balancer = balance.Balancer('a')
    servers = [builders.server('x'), builders.server('y')]
    for _ in range(3):
        balancer.add_request('y')
    assert balancer.mark_suspected('x')
    assert not balancer.mark_suspected('x')
    assert chosen(balancer, servers) == 'y'
    balancer.mark_healthy('x')
    assert chosen(balancer, servers) == 'x'


def test_unreachable_server_is_better_than_none():
    balancer = balance.Balancer('a')
    servers = [builders.server('x')]
    balancer.mark_suspected('x')
    assert chosen(balancer, servers) == 'x'


def test_idle_server_that_is_gone_is_forgotten():
    balancer = balance.Balancer('a')
    balancer.mark_suspected('x')
    balancer.add_request('y')
    balancer.remove_departed(set())
    servers = [builders.server('x'), builders.server('y')]
    assert chosen(balancer, servers) == 'x'
    assert balancer.estimate_load(servers[1], NOW_S) == 1


def test_restarted_server_begins_without_a_past():
    balancer = balance.Balancer('a')
    balancer.mark_suspected('x')
    servers = [builders.server('x', started_ms=5), builders.server('y')]
    balancer.add_request('y')
    assert chosen(balancer, servers) == 'x'
