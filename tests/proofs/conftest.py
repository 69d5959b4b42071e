"""Fixtures and helpers that the proofs share."""

import collections
import dataclasses

import pytest

from tests.proofs import session


@dataclasses.dataclass(frozen=True)
class Case:
    """The result of a session, named after its fault."""

    name: str
    result: session.SessionResult


@pytest.fixture(scope='session')
def sweep(request):
    """Run sessions with faults at many points, once per test run."""
    case_count = 300 if request.config.getoption('--seeds') else 30
    cases = [Case('no fault', session.run_session())]
    for append_index, phase, kind in session.fault_cases(case_count):
        result = session.run_session(append_index, phase, kind)
        cases.append(Case(f'{kind} {phase} append {append_index}', result))
    return cases


def count_executions(result: session.SessionResult) -> collections.Counter:
    """Count executions of non-idempotent operations.

    Returns:
        The counts by operation and program id.
    """
    counts = collections.Counter()
    for (operation, request_id), count in result.backends.executions.items():
        if operation != 'pollen_counts':
            counts[operation, request_id.partition(':')[0]] += count
    return counts
