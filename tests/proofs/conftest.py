"""Fixtures that the proofs share."""

import collections
import dataclasses

import pytest

from tests.proofs import session


@dataclasses.dataclass(frozen=True)
class Case:
    """A session with its fault."""

    name: str
    result: session.SessionResult


@pytest.fixture(scope='session')
def sweep(request):
    """Run sessions with faults at many points, once for all proofs."""
    count = 300 if request.config.getoption('--seeds') else 30
    played = [Case('no fault', session.run_session())]
    for at, moment, kind in session.fault_cases(count):
        result = session.run_session(at, moment, kind)
        played.append(Case(f'{kind} {moment} append {at}', result))
    return played


def count_executions(result: session.SessionResult) -> collections.Counter:
    """Count executions of non-idempotent operations by program."""
    counts = collections.Counter()
    for (name, request_id), count in result.backends.executions.items():
        if name != 'pollen_counts':
            counts[name, request_id.partition(':')[0]] += count
    return counts
