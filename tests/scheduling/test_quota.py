"""Tests of the limiters of workspaces, and of builds broken on purpose."""

import itertools
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from balsamdale.scheduling import quota
from balsamdale.scheduling import quota_account
from balsamdale.scheduling import quota_units
from tests.scheduling import quota_world

NOW_S = 100.0
SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=15,
    database=None,
    phases=(hypothesis.Phase.generate,),
    suppress_health_check=list(hypothesis.HealthCheck),
)
EVENTS = {
    'burst a': lambda world: world.send_clump(0),
    'burst b': lambda world: world.send_clump(1),
    'unused': lambda world: send_unused(world),
    'repeat': lambda world: world.repeat(),
    'pass': lambda world: world.pass_time(0.55),
    'wait': lambda world: world.pass_time(2.5),
    'remove': lambda world: world.remove_limiter(),
    'lower': lambda world: world.set_limit(0.2, 2.0),
}

# The bucket binds at the higher rate only.
WORLDS = ((0.5, 40.0), (20.0, 100.0))


def send_unused(world, entry=0):
    world.send(entry, 12)
    world.send(entry, 24, is_run=False)


def limit(rate_per_s, burst, version=1):
    return quota_units.WorkspaceLimit('w', version, rate_per_s, burst)


def units_of(count):
    return (quota_units.WantedUnit(),) * count


def lease_of(count, *others):
    return quota_units.Lease((quota_units.Verdict(True),) * count, *others)


def full_limiter(workspace_limit):
    """Return a limiter whose bucket is full at NOW_S."""
    limiter = quota.Limiter('x', NOW_S - 1e6)
    limiter._observed_at_s = limiter._cleaned_at_s = NOW_S
    limiter.acquire(workspace_limit, (), NOW_S)
    return limiter


def full_world(limiter_class, rates):
    """Return a world whose limiter knows the workspace, with a full bucket."""
    world = quota_world.LimiterWorld(limiter_class, 2, *rates)
    world.send(0)
    # Less than the interval after which full buckets are removed.
    world.pass_time(50.0)
    return world


def make_machine(limiter_class, rates):
    """Return a machine that checks every window of a random history."""

    class LimiterMachine(stateful.RuleBasedStateMachine):
        def __init__(self):
            super().__init__()
            self.world = full_world(limiter_class, rates)

        @stateful.rule(
            entry=strategies.integers(0, 1), is_repeated=strategies.booleans()
        )
        def send_burst(self, entry, is_repeated):
            self.world.send_clump(entry)
            if is_repeated:
                self.world.repeat()
                self.world.send_clump(1 - entry)

        @stateful.rule(
            entry=strategies.integers(0, 1),
            lost=strategies.sampled_from(('', 'message', 'reply')),
            delay_s=strategies.sampled_from((0.0, 0.06)),
        )
        def send_some(self, entry, lost, delay_s):
            self.world.send(entry, 3, lost, delay_s)

        @stateful.rule(
            entry=strategies.integers(0, 1), is_repeated=strategies.booleans()
        )
        def leave_unused(self, entry, is_repeated):
            send_unused(self.world, entry)
            self.world.pass_time(0.55)
            if is_repeated:
                self.send_burst(entry, is_repeated)

        @stateful.rule(duration_s=strategies.sampled_from((0.2, 2.5, 50.0)))
        def pass_time(self, duration_s):
            self.world.pass_time(duration_s)

        @stateful.rule(
            event=strategies.sampled_from(
                ('remove_limiter', 'add_limiter', 'restart_limiter')
            ),
            duration_s=strategies.sampled_from((0.0, 2.5)),
        )
        def change(self, event, duration_s):
            getattr(self.world, event)()
            if duration_s:
                self.world.pass_time(duration_s)
                self.world.send_clump(0)

        @stateful.precondition(lambda self: self.world.limit.version < 3)
        @stateful.rule(
            new=strategies.sampled_from(((0.2, 2.0), (3.0, 0.5), (0.5, 20.0)))
        )
        def set_limit(self, new):
            self.world.set_limit(*new)
            self.world.pass_time(0.55)

        @stateful.invariant()
        def window_is_bounded(self):
            assert self.world.excess() <= 0

    return LimiterMachine


CASES = (
    *((quota.Limiter, rates) for rates in WORLDS),
    *(
        (broken, WORLDS[broken is quota_world.Uncapped])
        for broken in quota_world.BROKEN
    ),
)


@pytest.mark.parametrize(('limiter_class', 'rates'), CASES)
def test_no_random_history_exceeds_a_window(limiter_class, rates):
    machine = make_machine(limiter_class, rates)
    if limiter_class is quota.Limiter:
        stateful.run_state_machine_as_test(machine, settings=SETTINGS)
        return
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(machine, settings=SETTINGS)


def find_excess(limiter_class, rates):
    """Return the first short history with too full a window, or None."""
    starts = ('burst a', 'unused', 'lower')
    # Clumps are larger in the other world.
    length = 4 if rates == WORLDS[0] else 3
    for first in starts:
        for others in itertools.product(EVENTS, repeat=length):
            world = full_world(limiter_class, rates)
            for name in (first, *others):
                EVENTS[name](world)
            if world.excess() > 0:
                return (first, *others)
    return None


@pytest.mark.parametrize(('limiter_class', 'rates'), CASES)
def test_no_short_history_exceeds_a_window(limiter_class, rates):
    is_found = find_excess(limiter_class, rates) is not None
    assert is_found == (limiter_class is not quota.Limiter)


class EmptyAtStart(quota.Limiter):
    """Lends nothing from a new bucket before it has filled."""

    def _state(self, new_limit, now_s):
        is_new = new_limit.workspace not in self._states
        state = super()._state(new_limit, now_s)
        if is_new:
            state.bucket.cap(0.0, now_s)
        return state


def count_refused(limiter_class, rate_per_s, event):
    """Count refused requests of workspaces that send 0.625 of their rate.

    Requests that one bucket that never fails would refuse are not sent.
    """
    refused = 0
    for seed in range(20):
        generator = random.Random(seed)
        burst = max(5.0, rate_per_s)
        world = quota_world.LimiterWorld(limiter_class, 20, rate_per_s, burst)
        world.pass_time(60.0)
        ideal = quota_units.TokenBucket(rate_per_s, burst, burst, world.now_s)
        for index in range(60):
            if index == 30 and event:
                getattr(world, event)()
            world.pass_time(generator.expovariate(0.625 * rate_per_s))
            if ideal.level(world.now_s) >= 1:
                ideal.add(-1, world.now_s)
                world.send(generator.randrange(20))
        refused += world.refused
    return refused


@pytest.mark.parametrize('rate_per_s', (0.3, 2.24, 60.0))
@pytest.mark.parametrize('event', ('', 'remove_limiter', 'restart_limiter'))
def test_workspace_below_its_limit_is_not_refused(rate_per_s, event):
    assert count_refused(quota.Limiter, rate_per_s, event) == 0


def test_bucket_that_starts_empty_is_found():
    assert count_refused(EmptyAtStart, 2.24, 'restart_limiter') > 10


@pytest.mark.parametrize(
    ('rate_per_s', 'burst', 'wanted', 'units'),
    (
        # Clumps of over the burst that the window has room for.
        (10.0, 5.0, 22, 22),
        (10.0, 5.0, 99, 22),
        (2.0, 20.0, 99, 30),
        (0.3, 0.0, 9, 2),
        (0.01, 0.5, 9, 1),
        # One more is due within the longest wait.
        (50.0, 5.0, 99, 44),
    ),
)
def test_lease_after_idle_time(rate_per_s, burst, wanted, units):
    lease = full_limiter(limit(rate_per_s, burst)).acquire(
        limit(rate_per_s, burst), units_of(wanted), NOW_S
    )
    assert lease.units == units
    waits_s = [v.delay_s for v in lease.verdicts if v.is_admitted]
    assert max(waits_s) <= quota_units.MAX_WAIT_S + 1e-9


def test_clock_that_jumps_fills_no_more_than_the_burst():
    bucket = quota_units.TokenBucket(2.0, 5.0, 0.0, NOW_S)
    assert bucket.level(NOW_S + 1e9) == 5.0
    assert bucket.level(NOW_S) == 5.0


def test_entry_that_used_another_limiter_resets_a_full_bucket():
    # The limiter was cut off and believes that it limited all the time.
    limiter = full_limiter(limit(1.0, 30.0))
    account = quota_account.Account(limit(1.0, 30.0))
    account.record_lease('y', lease_of(30), NOW_S)
    report = account.next_report('x', NOW_S)
    limiter.settle(limit(1.0, 30.0), 'e', 1, *report, NOW_S)
    lease = limiter.acquire(limit(1.0, 30.0), units_of(30), NOW_S)
    assert lease.units == quota_units.START_UNITS


@pytest.mark.parametrize(
    ('entry_count', 'seconds', 'interval_s'),
    ((4, 20, 0.01), (74, 20, 0.05), (74, 5, 0.5)),
)
def test_shares_of_silent_limiter_add_up_to_the_limit(
    entry_count, seconds, interval_s
):
    rate_per_s, burst = 10.0, 20.0
    accounts = [
        quota_account.Account(limit(rate_per_s, burst))
        for _ in range(entry_count)
    ]
    for account in accounts:
        account.record_lease('x', lease_of(1, burst, entry_count), NOW_S)
    admitted = sum(
        account.admit_locally(
            entry_count, 0.0, f'{index}-{step}', NOW_S + step * interval_s
        )
        for index, account in enumerate(accounts)
        for step in range(int(seconds / interval_s))
    )
    assert admitted <= (rate_per_s * seconds + burst) * 1.1 + 10
