"""Replays of servers that fail their requests but accept connections."""

import random

import pytest

from balsamdale.scheduling import balance
from balsamdale.scheduling import program_homes
from balsamdale.scheduling import recent_failures
from tests import builders_routed as builders

# As callers do: a turn is sent again this much later, and a program fails
# with a turn that fails this often.
RETRY_INTERVAL_S = 0.2
MAX_TRIES = 3
TURN_INTERVAL_S = 0.5


def is_down(now_s):
    """Return whether the flapping server resets its connections."""
    return 5.0 < now_s < 11.0 and (now_s - 5.0) % 2.4 < 1.2


def replay(avoids, seed=1, programs=60):
    """Return how many programs fail at one entry, and the failed tries.

    Args:
        avoids: whether programs avoid the servers where they just failed.
        seed: seed of the times at which programs start.
        programs: programs within 15 s, of four turns each.
    """
    generator = random.Random(seed)
    balancer = balance.Balancer('a')
    homes = program_homes.ProgramHomes()
    failures = recent_failures.RecentFailures()
    servers = [builders.server(f's{n}') for n in range(6)]
    # Time, program, turn, tries of the turn.
    due = [(generator.uniform(0, 15), f'p{n}', 0, 0) for n in range(programs)]
    failed_programs = failed_tries = 0
    while due:
        due.sort()
        now_s, program, turn, tries = due.pop(0)
        avoided = failures.avoided(program, now_s) if avoids else frozenset()
        choice = balancer.choose(
            servers,
            program,
            avoided,
            now_s,
            home_id=homes.find(program),
            is_first_turn=turn == 0,
        )
        server_id = choice.server.server_id
        homes.record(program, server_id)
        is_failure = server_id == 's0' and is_down(now_s)
        kind = 'failed' if is_failure else 'ok'
        balancer.add_request(server_id)
        balancer.remove_request(server_id)
        balancer.record_outcome(server_id, balance.Outcome(kind, 0.2), now_s)
        if not is_failure and turn < 3:
            due.append((now_s + TURN_INTERVAL_S, program, turn + 1, 0))
        if is_failure:
            failed_tries += 1
            failures.record(program, server_id, now_s)
            if tries + 1 == MAX_TRIES:
                failed_programs += 1
            else:
                due.append(
                    (now_s + RETRY_INTERVAL_S, program, turn, tries + 1)
                )
    return failed_programs, failed_tries


@pytest.mark.parametrize('seed', range(8))
def test_flapping_server_fails_no_program(seed):
    """Before, each program whose prompt it had cached failed there."""
    failed_programs, failed_tries = replay(True, seed)
    assert failed_programs == 0
    assert failed_tries <= 8


def test_flapping_server_is_left_out_also_without_the_memory_of_programs():
    """Ejection alone: two failures in a row are enough."""
    results = [replay(False, seed) for seed in range(8)]
    assert sum(tries for _, tries in results) / len(results) <= 12


def test_avoided_servers_are_those_of_the_program_and_of_the_last_seconds():
    failures = recent_failures.RecentFailures()
    failures.record('p', 'x', 1.0)
    failures.record('p', 'y', 2.5)
    failures.record('q', 'z', 2.5)
    assert failures.avoided('p', 2.6) == {'x', 'y'}
    assert failures.avoided('p', 1.1 + recent_failures.AVOIDED_S) == {'y'}
    assert failures.avoided('unknown', 2.6) == frozenset()


def test_remembered_failures_are_bounded():
    failures = recent_failures.RecentFailures(failure_limit=2)
    for name in ('x', 'y', 'z'):
        failures.record('p', name, 1.0)
    assert failures.avoided('p', 1.0) == {'y', 'z'}
