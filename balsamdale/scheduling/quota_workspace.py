"""Order in which a limiter lends the units of one workspace.

It does no I/O and takes the present time as an argument. Load pattern: 3 to
7.5 times the usual rate of a workspace for seconds, of programs that fail if
one request is refused twice. Requests of programs in progress go before
requests without a program, and these before new programs.
"""

from collections import abc as collections_abc

from balsamdale.scheduling import quota_programs
from balsamdale.scheduling import quota_units
from balsamdale.scheduling import quota_window

__all__ = ['LimitedWorkspace']

# Retry times of refused requests are spread over this time.
RETRY_HORIZON_S = 5.0
# Share of the bucket and of the window that new programs leave to those in
# progress while the workspace asks for more than its quota; requests without
# a program leave half of it.
RESERVE_SHARE = 1 / 3
# Time since the bucket last had a unit after which nobody waits longer than
# `MAX_WAIT_S`: a workspace that stays above its limit would otherwise have a
# standing queue that delays all of its requests.
EMPTY_S = 0.5


class LimitedWorkspace:
    """What the limiter of a workspace has lent, and decides by.

    Args:
        limit: the newest limit.
        bounds: the window of all quotas.
        level: units in the bucket at the start.
        reset_at_s: time since which the bucket may not have been full.
        now_s: the present time.
    """

    def __init__(self, limit, bounds, level, reset_at_s, now_s):
        self.limit = limit
        self.reset_at_s = reset_at_s
        self._bounds = bounds
        self.bucket = quota_units.TokenBucket(
            limit.rate_per_s, self.capacity, level, now_s
        )
        self.log = quota_window.LentLog(bounds.window_s)
        self.recent = quota_units.RecentCount()
        self._filled_at_s = now_s
        self.programs = quota_programs.Programs()
        # Units asked for, lent or not.
        self._demand = quota_window.LentLog(bounds.window_s)
        # The next retry time, of programs in progress and of all others.
        self._next_retry_s = {True: now_s, False: now_s}

    @property
    def nominal(self):
        """Units that may be lent in a window."""
        return self._bounds.nominal(self.limit.rate_per_s, self.limit.burst)

    @property
    def capacity(self):
        """Size of the bucket, for clumps within the window.

        What it adds to the burst and the units of a new bucket are together
        the overrun, so that a change of limiter stays within the bounds.
        """
        limit = self.limit
        overrun = self._bounds.overrun(limit.rate_per_s, limit.burst)
        return max(
            1.0, limit.burst + max(0.0, overrun - quota_units.START_UNITS)
        )

    def set_limit(self, limit, now_s):
        """Use a newer limit.

        A lower one scales the log down: units lent under the higher one
        would otherwise fill the window and stop the workspace.
        """
        nominal = self.nominal
        self.limit = limit
        if self.nominal < nominal:
            self.log.scale(self.nominal / nominal)
        self.bucket.set_limit(limit.rate_per_s, self.capacity, now_s)
        self._next_retry_s = {True: now_s, False: now_s}

    def acquire(
        self, wanted: collections_abc.Sequence[quota_units.WantedUnit], now_s
    ) -> quota_units.Lease:
        """Decide about wanted units, those of programs in progress first."""
        self.programs.expire(now_s)
        self._demand.add(len(wanted), now_s)
        if self.bucket.level(now_s) >= 1:
            self._filled_at_s = now_s
        can_wait = now_s - self._filled_at_s <= EMPTY_S
        verdicts = {}
        delays_s: dict[int, float] = {}
        for order, index in sorted(
            (self._order(unit), index) for index, unit in enumerate(wanted)
        ):
            unit = wanted[index]
            # Nothing changes for those after a refused one of the same order.
            delay_s = delays_s.get(order)
            if delay_s is None:
                delay_s = self._delay_s(order, now_s)
            max_wait_s = quota_units.MAX_WAIT_S
            if order == 0 and can_wait:
                max_wait_s = max(max_wait_s, _program_wait_s(unit))
            if delay_s <= max_wait_s + quota_units.ROUNDING:
                verdicts[index] = self._lend(unit, delay_s, now_s)
                delays_s.pop(order, None)
                continue
            delays_s[order] = delay_s
            verdicts[index] = self._refuse(unit, order, delay_s, now_s)
        return quota_units.Lease(
            tuple(verdicts[index] for index in range(len(wanted))),
            self.bucket.level(now_s),
            self.recent.value(now_s),
        )

    def _order(self, unit):
        if unit.program in self.programs:
            return 0
        return 2 if unit.program else 1

    def _lend(self, unit, delay_s, now_s):
        self.bucket.add(-1, now_s)
        self.log.add(1, now_s + delay_s)
        self.recent.add(1, now_s)
        self.programs.record_unit(unit.program, now_s)
        return quota_units.Verdict(True, delay_s)

    def _refuse(self, unit, order, delay_s, now_s):
        self.programs.record_refusal(unit.program)
        is_known = order == 0
        earliest_s = now_s + delay_s
        retry_s = max(self._next_retry_s[is_known], earliest_s)
        if retry_s > earliest_s + RETRY_HORIZON_S:
            retry_s = earliest_s
        self._next_retry_s[is_known] = retry_s + 1 / self.limit.rate_per_s
        return quota_units.Verdict(False, retry_s - now_s)

    def _delay_s(self, order, now_s):
        """Return the time until the bucket and the window have a unit."""
        bucket_level, window_units = self._reserve(order, now_s)
        level = self.bucket.level(now_s)
        bucket_s = max(0.0, 1 + bucket_level - level) / self.limit.rate_per_s
        limit = self.nominal - window_units - quota_units.ROUNDING
        return max(bucket_s, self.log.room_delay_s(limit, now_s))

    def _reserve(self, order, now_s):
        """Return the units of bucket and window that a request must leave.

        Nothing is reserved while the workspace asks for no more than its
        quota, and never more than programs in progress may still need.
        """
        if order == 0:
            return 0.0, 0.0
        if self._demand.count(now_s) <= self.nominal:
            return 0.0, 0.0
        expected = self.programs.expected_requests(now_s)
        share = RESERVE_SHARE if order == 2 else RESERVE_SHARE / 2
        bucket_level = min(expected, share * self.capacity)
        window_units = min(expected, share * self.nominal)
        if order == 2 and expected:
            bucket_level = max(bucket_level, self._needed_level(expected))
        return bucket_level, window_units

    def _needed_level(self, expected):
        """Return the level at which one more program can be carried.

        The programs in progress are of all ages, so that they need about
        `expected` units in half the duration of a program.
        """
        supply = 0.5 * self.limit.rate_per_s * self.programs.duration_s
        needed = expected + self.programs.requests - 1 - supply
        # A full bucket must admit one, whatever was learned.
        return max(0.0, min(needed, self.capacity - 1))


def _program_wait_s(unit):
    return min(unit.max_wait_s, quota_units.MAX_PROGRAM_WAIT_S)
