"""Tests of the servers that programs start at and come back to."""

import statistics

from balsamdale.scheduling import balance
from balsamdale.scheduling import program_homes
from tests import builders_routed as builders
from tests.scheduling import program_replay

NOW_S = 100.0


def test_programs_use_the_servers_of_a_domain_whose_entries_are_lost():
    by_hash = program_replay.ProgramReplay(uses_homes=False).run()
    by_load = program_replay.ProgramReplay(uses_homes=True).run()
    # The objective of a program is 2.4 times its time on idle servers.
    limit_s = 2.4 * program_replay.TURNS * program_replay.TURN_S
    late_by_hash, late_by_load = (
        statistics.fmean(t > limit_s for t in played.program_times_s)
        for played in (by_hash, by_load)
    )
    assert late_by_hash > 0.2
    assert late_by_load < late_by_hash / 4
    assert by_load.misses < 0.02 * by_load.turns


def test_first_turn_leaves_a_server_at_a_smaller_difference_of_load():
    balancer = balance.Balancer('a')
    servers = [builders.server('x', slots=10), builders.server('y', slots=10)]

    def chosen_id(**known):
        choice = balancer.choose(servers, 'p', frozenset(), NOW_S, **known)
        return choice.server.server_id

    preferred_id = chosen_id()
    for _ in range(2):
        balancer.add_request(preferred_id)
    other_id = chosen_id(is_first_turn=True)
    assert other_id != preferred_id
    assert chosen_id() == preferred_id
    # The program has started at the other server, and stays there.
    for _ in range(4):
        balancer.add_request(other_id)
    assert chosen_id(home_id=other_id) == other_id
    assert chosen_id(home_id='gone') == preferred_id


def test_oldest_program_is_forgotten_first():
    homes = program_homes.ProgramHomes(program_limit=2)
    for program_id, server_id in (('p', 'x'), ('q', 'y'), ('p', 'z')):
        homes.record(program_id, server_id)
    homes.record('r', 'x')
    assert homes.find('q') == ''
    assert (homes.find('p'), homes.find('r')) == ('z', 'x')
