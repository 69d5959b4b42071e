"""Tests of the load balancer."""

import pytest

from balsamdale.scheduling import balance
from balsamdale.scheduling import usual_load
from balsamdale import wire
from tests import builders_routed as builders

NOW_S = 100.0


def chosen_id(
    balancer, servers, affinity='', excluded=frozenset(), now_s=NOW_S
):
    choice = balancer.choose(servers, affinity, excluded, now_s)
    return choice.server.server_id if choice is not None else None


def test_least_loaded_server_is_chosen():
    balancer = balance.Balancer('a')
    servers = [builders.server('x'), builders.server('y')]
    balancer.add_request('x')
    assert chosen_id(balancer, servers) == 'y'
    balancer.remove_request('x')
    balancer.record_load('y', wire.LoadReport(3, 0, 4), NOW_S)
    assert chosen_id(balancer, servers) == 'x'


def test_own_requests_are_not_counted_twice():
    balancer = balance.Balancer('a')
    x = builders.server('x')
    balancer.add_request('x')
    balancer.record_load('x', wire.LoadReport(1, 0, 4), NOW_S)
    assert balancer.estimate_load(x, NOW_S) == 1
    balancer.remove_request('x')
    assert balancer.estimate_load(x, NOW_S) == 0


def test_reported_load_fades_to_the_usual_one():
    balancer = balance.Balancer('a')
    x, y, z = servers = [builders.server(name) for name in 'xyz']
    chosen_id(balancer, servers)
    assert balancer.estimate_load(z, NOW_S) == 0
    for _ in range(60):
        for name in 'xy':
            balancer.record_load(name, wire.LoadReport(4, 0, 4), NOW_S)
    assert balancer.estimate_load(x, NOW_S) == pytest.approx(4, abs=0.01)
    # One that has not reported yet is not taken to be idle.
    assert balancer.estimate_load(z, NOW_S) == pytest.approx(4, abs=0.01)
    # It stays so while the other server reports the same.
    balancer.record_load('y', wire.LoadReport(4, 0, 4), NOW_S + 5.0)
    load = balancer.estimate_load(x, NOW_S + 5.0)
    assert load == pytest.approx(4, abs=0.01)
    # Once nothing is heard, the servers are taken to be idle.
    later_s = NOW_S + 5.0 + usual_load.SILENCE_HALF_LIFE_S
    assert balancer.estimate_load(x, later_s) == pytest.approx(2, abs=0.01)


def test_full_servers_are_not_chosen():
    balancer = balance.Balancer('a')
    servers = [builders.server('x', slots=2)]
    for _ in range(4):
        assert chosen_id(balancer, servers) == 'x'
        balancer.add_request('x')
    assert chosen_id(balancer, servers) is None


def test_own_failure_domain_goes_first_until_it_is_busier():
    balancer = balance.Balancer('a')
    local = builders.server('local')
    remote = builders.server('remote', failure_domain='b')
    assert chosen_id(balancer, [remote, local]) == 'local'
    balancer.add_request('local')
    assert chosen_id(balancer, [remote, local]) == 'remote'


def test_program_returns_to_the_same_server_on_every_instance():
    servers = [builders.server(name, slots=32) for name in 'uvwxyz']
    preferred_ids = {
        chosen_id(balance.Balancer('a'), servers, 'program-7')
        for _ in range(5)
    }
    assert len(preferred_ids) == 1
    all_ids = {
        chosen_id(balance.Balancer('a'), servers, f'program-{n}')
        for n in range(100)
    }
    assert all_ids == set('uvwxyz')


def test_program_leaves_a_server_that_is_much_busier():
    """Small differences, which busy servers always have, move no program."""
    balancer = balance.Balancer('a')
    servers = [builders.server(name, slots=16) for name in ('x', 'y')]
    preferred_id = chosen_id(balancer, servers, 'p')
    for server in servers:
        balancer.record_load(
            server.server_id, wire.LoadReport(0, 0, 16), NOW_S
        )
    balancer.record_load(preferred_id, wire.LoadReport(7, 0, 16), NOW_S)
    assert chosen_id(balancer, servers, 'p') == preferred_id
    balancer.record_load(preferred_id, wire.LoadReport(9, 0, 16), NOW_S)
    assert chosen_id(balancer, servers, 'p') != preferred_id


def test_unreachable_server_is_left_alone_until_it_recovers():
    balancer = balance.Balancer('a')
    servers = [builders.server('x'), builders.server('y')]
    for _ in range(3):
        balancer.add_request('y')
    assert balancer.mark_suspected('x')
    assert not balancer.mark_suspected('x')
    assert chosen_id(balancer, servers) == 'y'
    balancer.mark_healthy('x')
    assert chosen_id(balancer, servers) == 'x'


def test_unreachable_server_is_better_than_none():
    balancer = balance.Balancer('a')
    servers = [builders.server('x')]
    balancer.mark_suspected('x')
    assert chosen_id(balancer, servers) == 'x'


def test_idle_server_that_is_gone_is_forgotten():
    balancer = balance.Balancer('a')
    balancer.mark_suspected('x')
    balancer.add_request('y')
    balancer.remove_departed(set())
    servers = [builders.server('x'), builders.server('y')]
    assert chosen_id(balancer, servers) == 'x'
    assert balancer.estimate_load(servers[1], NOW_S) == 1


def test_restarted_server_begins_without_a_past():
    balancer = balance.Balancer('a')
    balancer.mark_suspected('x')
    servers = [builders.server('x', started_ms=5), builders.server('y')]
    balancer.add_request('y')
    assert chosen_id(balancer, servers) == 'x'
