"""Fixtures that the proofs share."""

import collections
import dataclasses

import pytest

from tests.proofs import session


@dataclasses.dataclass(frozen=True)
class Case:
    """A session with its fault."""

    name: str
    seen: session.Seen


@pytest.fixture(scope='session')
def sweep(request):
    """Run sessions with faults at many points, once for all proofs."""
    count = 300 if request.config.getoption('--seeds') else 30
    played = [Case('no fault', session.play())]
    for at, moment, kind in session.cases(count):
        seen = session.play(at, moment, kind)
        played.append(Case(f'{kind} {moment} append {at}', seen))
    return played


def executions(seen: session.Seen) -> collections.Counter:
    """Count executions of non-idempotent operations by program."""
    counts = collections.Counter()
    for (name, request_id), count in seen.backends.executions.items():
        if name != 'pollen_counts':
            counts[name, request_id.partition(':')[0]] += count
    return counts
