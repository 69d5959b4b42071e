"""Replay of a workspace far above its quota: programs end whole or not."""

import heapq
import itertools
import random

import pytest

from balsamdale.scheduling import quota
from balsamdale.scheduling import quota_programs
from balsamdale.scheduling import quota_units

USUAL_PER_S = 20.0
RATE_PER_S = 1.6 * USUAL_PER_S
BURST = RATE_PER_S
REQUESTS = 15
SURGE_S = (60.0, 66.0)
DEADLINE_S = 2.0


class Replay:
    """Programs with parallel calls that reach the limiter by 60 entries."""

    def __init__(self, seed, factor, names_programs=True):
        self.random = random.Random(seed)
        self.names_programs = names_programs
        self.limiter = quota.Limiter('x', 0.0)
        self.limit = quota_units.WorkspaceLimit('w', 1, RATE_PER_S, BURST)
        self.order = itertools.count()
        self.events = []
        self.whole = self.surge_whole = self.refused = 0
        # Starts of programs: the usual rate, and more in the surge.
        now_s = 0.0
        while now_s < 75.0:
            is_surge = SURGE_S[0] <= now_s < SURGE_S[1]
            rate_per_s = USUAL_PER_S * (factor if is_surge else 1)
            now_s += self.random.expovariate(rate_per_s / REQUESTS)
            self.start(now_s)

    def start(self, now_s):
        count = self.random.randint(10, 20)
        steps = []
        while count:
            steps.append(min(count, self.random.randint(1, 4)))
            count -= steps[-1]
        program = {
            'hash': quota_programs.program_hash(str(next(self.order))),
            'steps': steps,
            'start_s': now_s,
            'failed': False,
        }
        self.push(now_s, self.step, program)

    def push(self, time_s, call, *arguments):
        heapq.heappush(
            self.events, (time_s, next(self.order), call, arguments)
        )

    def step(self, now_s, program):
        if not program['steps']:
            is_surge = SURGE_S[0] <= program['start_s'] < SURGE_S[1]
            self.surge_whole += is_surge
            return
        program['open'] = program['steps'].pop(0)
        for _ in range(program['open']):
            # Entries delay their messages by different times.
            sent_s = now_s + self.random.uniform(0.0, 0.01)
            self.push(sent_s, self.call, program, sent_s + DEADLINE_S, False)

    def call(self, now_s, program, deadline_s, is_retry):
        if program['failed']:
            return
        name = program['hash'] if self.names_programs else 0
        self.limiter.observe(frozenset('x'), now_s)
        unit = quota_units.WantedUnit(name, 0.25)
        (verdict,) = self.limiter.acquire(self.limit, (unit,), now_s).verdicts
        later_s = now_s + verdict.delay_s
        if verdict.is_admitted:
            work_s = self.random.uniform(0.1, 0.5)
            self.push(later_s + work_s, self.end_call, program)
            return
        self.refused += 1
        if is_retry or verdict.delay_s > (deadline_s - now_s) / 3:
            program['failed'] = True
            return
        self.push(later_s, self.call, program, deadline_s, True)

    def end_call(self, now_s, program):
        program['open'] -= 1
        if not program['open'] and not program['failed']:
            self.step(now_s, program)

    def run(self):
        while self.events:
            time_s, _, call, arguments = heapq.heappop(self.events)
            call(time_s, *arguments)
        return self


@pytest.mark.parametrize('factor', (3.0, 7.5))
def test_programs_that_the_quota_carries_end_whole(factor):
    # In the surge the quota has 32 x 6 + 32 units: 14.9 programs of 15.
    carried = (RATE_PER_S * (SURGE_S[1] - SURGE_S[0]) + BURST) / REQUESTS
    whole, whole_before = (
        sum(Replay(n, factor, named).run().surge_whole for n in range(8)) / 8
        for named in (True, False)
    )
    assert whole >= 0.6 * carried
    # Without the names of programs, requests are refused in any order.
    if factor > 5:
        assert whole_before < 0.6 * carried
    assert whole_before < whole


def test_programs_in_progress_go_first_and_new_ones_last():
    limit = quota_units.WorkspaceLimit('w', 1, 10.0, 10.0)
    limiter = quota.Limiter('x', -100.0)
    known = tuple(map(quota_units.WantedUnit, range(1, 6)))
    assert limiter.acquire(limit, known, 0.0).units == 5
    new, none = quota_units.WantedUnit(9), quota_units.WantedUnit()
    wanted = (*(new, none) * 30, *known * 3)
    verdicts = limiter.acquire(limit, wanted, 0.0).verdicts
    counts = [
        sum(v.is_admitted for v in part)
        for part in (verdicts[:60:2], verdicts[1:60:2], verdicts[60:])
    ]
    # The bucket has 28 units; without a program, a sixth of it is left.
    assert counts == [0, 3, 15]
    # Nothing is reserved once the workspace is below its quota again.
    assert limiter.acquire(limit, (new,) * 9, 5.2).units == 9


def test_program_in_progress_waits_unless_the_bucket_stays_empty():
    limit = quota_units.WorkspaceLimit('w', 1, 10.0, 10.0)
    limiter = quota.Limiter('x', -100.0)
    known, hurried = (quota_units.WantedUnit(1, s) for s in (0.25, 0.0))
    assert limiter.acquire(limit, (hurried,) * 30, 0.0).units == 28
    wanted = (quota_units.WantedUnit(2, 0.25), hurried, known, known, known)
    verdicts = limiter.acquire(limit, wanted, 0.0).verdicts
    assert [v.is_admitted for v in verdicts] == [False] * 2 + [True] * 2 + [
        False
    ]
    assert [v.delay_s for v in verdicts[2:4]] == pytest.approx([0.1, 0.2])
    # Others keep the bucket empty.
    for step in range(1, 8):
        lease = limiter.acquire(limit, (known,), 0.1 * step)
        assert lease.units == (step <= 5)


def test_number_of_programs_is_bounded(monkeypatch):
    monkeypatch.setattr(quota_programs, 'MAX_PROGRAMS', 3)
    programs = quota_programs.Programs()
    for program in (1, 2, 3, 1, 4):
        programs.record_unit(program, 0.0)
    assert [n in programs for n in (1, 2, 3, 4)] == [True, False, True, True]
    assert quota_programs.program_hash('') == 0 not in programs
