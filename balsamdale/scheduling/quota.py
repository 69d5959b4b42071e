"""Request quotas of workspaces: buckets, leases and shares of an entry.

It does no I/O and takes the present time as an argument. Load pattern: a
workspace sends clumps of requests, or several times its rate for seconds,
through many entries, while the instance that limits it restarts or changes.
"""

import dataclasses
import hashlib
import math

from balsamdale import placement
from balsamdale.scheduling import quota_window

__all__ = [
    'FallbackShare',
    'Lease',
    'Limiter',
    'RecentCount',
    'TokenBucket',
    'WorkspaceLimit',
]

# Units that a bucket new to its limiter holds at once. An empty one refuses
# workspaces that are below a limit of a few requests per second; 8 units are
# within the 20 requests that the requirement allows for.
START_UNITS = 8.0
# Longest time that a request waits for its unit instead of being refused:
# below half of the strictest latency objective of 68 ms.
MAX_WAIT_S = 0.03
# Retry times of refused requests are spread over this time.
RETRY_HORIZON_S = 5.0
# Time constant of the counts of recent requests.
RECENT_S = 10.0
# Age of the youngest unit that can be returned: entries reuse units before.
MIN_RETURN_AGE_S = 0.5
# Time for which a lease of another limiter can be part of a sliding window.
CHANGE_REPORT_S = 5.0
# Silence of a limiter after which another one may have replaced it: members
# that do not reply are removed after two probes of 0.4 s.
SUSPENSION_S = 0.8
# Interval between removals of full buckets that are not in use.
CLEANUP_INTERVAL_S = 60.0
# Floating-point error that must not cost a unit.
ROUNDING = 1e-9


@dataclasses.dataclass(frozen=True)
class WorkspaceLimit:
    """Quota of a workspace in one version of the configuration.

    Attributes:
        workspace: name of the workspace.
        version: version of the configuration.
        rate_per_s: requests per second; above 0.
        burst: requests that may exceed the rate at once.
    """

    workspace: str
    version: int
    rate_per_s: float
    burst: float

    @property
    def capacity(self) -> float:
        """Burst of an entry's share; at least one unit, to lend any."""
        return max(1.0, self.burst)


@dataclasses.dataclass(frozen=True)
class Lease:
    """Units lent, and when the others that were wanted may be.

    Attributes:
        units: units lent.
        retry_after_s: time until the first unit that was refused may be
            asked for again; 0 if none was refused.
        wait_s: time until the last lent unit may be used; those before it
            may be used earlier, at the rate of the limit.
        level: units in the bucket now; negative while lent units wait.
        spent: units lent recently to all entries, as `RecentCount` has them.
    """

    units: int
    retry_after_s: float
    wait_s: float = 0.0
    level: float = 0.0
    spent: float = 0.0


class TokenBucket:
    """A bucket that fills at `rate_per_s` up to its capacity.

    Args:
        rate_per_s: units per second.
        capacity: largest level, also after any time.
        level: units at the start.
        now_s: the present time.
    """

    def __init__(
        self, rate_per_s: float, capacity: float, level: float, now_s: float
    ):
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._level = min(level, capacity)
        self._filled_at_s = now_s

    def level(self, now_s: float) -> float:
        """Return the units at a time; a clock that steps back adds none."""
        elapsed_s = max(0.0, now_s - self._filled_at_s)
        self._filled_at_s = max(self._filled_at_s, now_s)
        self._level = min(
            self._capacity, self._level + elapsed_s * self._rate_per_s
        )
        return self._level

    def set_limit(
        self, rate_per_s: float, capacity: float, now_s: float
    ) -> None:
        """Change the limit; units above a lower capacity are dropped.

        Units lent ahead are forgotten: at a lower rate they could take very
        long to fill up.
        """
        level = max(0.0, self.level(now_s))
        self._rate_per_s, self._capacity = rate_per_s, capacity
        self._level = min(level, capacity)

    def add(self, units: float, now_s: float) -> None:
        """Add units up to the capacity; negative to take them."""
        self._level = min(self._capacity, self.level(now_s) + units)

    def cap(self, level: float, now_s: float) -> None:
        """Drop the units above a level."""
        self._level = min(level, self.level(now_s))


class RecentCount:
    """A count that decays with the time constant `RECENT_S`."""

    def __init__(self):
        self._count = 0.0
        self._counted_at_s = 0.0

    def add(self, units: float, now_s: float) -> None:
        """Count units."""
        self._count = self.value(now_s) + units
        self._counted_at_s = now_s

    def value(self, now_s: float) -> float:
        """Return the decayed count."""
        age_s = max(0.0, now_s - self._counted_at_s)
        return self._count * math.exp(-age_s / RECENT_S)


class _LimitedWorkspace:
    """Bucket of one workspace, with its limit and the next retry time."""

    def __init__(self, limit, bounds, level, reset_at_s, now_s):
        self.limit = limit
        self.reset_at_s = reset_at_s
        self._bounds = bounds
        self.bucket = TokenBucket(
            limit.rate_per_s, self.capacity, level, now_s
        )
        self.log = quota_window.LentLog(bounds.window_s)
        self.recent = RecentCount()
        self.next_retry_s = now_s

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
        return max(1.0, limit.burst + max(0.0, overrun - START_UNITS))

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
        self.next_retry_s = now_s

    def room(self, now_s):
        """Return the whole units that the window still allows."""
        room = self.nominal - self.log.count(now_s) - ROUNDING
        return max(0, math.ceil(room))


class Limiter:
    """The buckets at the instance that limits a set of workspaces.

    A unit is lent if both the window and the bucket have one. A bucket new
    to it is as full as it can be if the instance that limited before lent
    its whole bucket at the last change, plus `START_UNITS`.

    Args:
        own_id: id of this instance.
        now_s: the present time.
        bounds: the window of all quotas.
    """

    def __init__(
        self,
        own_id: str,
        now_s: float,
        bounds: quota_window.WindowBounds = quota_window.WindowBounds(),
    ):
        self._own_id = own_id
        self._bounds = bounds
        self._candidates: frozenset[str] = frozenset()
        self._since_s = now_s
        self._observed_at_s = now_s
        self._cleaned_at_s = now_s
        self._states: dict[str, _LimitedWorkspace] = {}
        self._sequences: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._states)

    def observe(self, candidates: frozenset[str], now_s: float) -> str:
        """Record the instances that may limit, more often than they change.

        Call it before each message and several times per `SUSPENSION_S`.

        Returns:
            Why buckets start anew; empty if none do.
        """
        removed = self._candidates - candidates
        self._candidates = candidates
        silent_s = now_s - self._observed_at_s
        self._observed_at_s = now_s
        if silent_s > SUSPENSION_S:
            # Others may have lent meanwhile.
            self._states.clear()
            self._sequences.clear()
            self._since_s = now_s
            return 'suspended'
        if now_s - self._cleaned_at_s > CLEANUP_INTERVAL_S:
            self._cleaned_at_s = now_s
            self._remove_unused(now_s)
        if not removed:
            return ''
        self._since_s = now_s
        mine = [self._own_id, *removed]
        self._states = {
            name: state
            for name, state in self._states.items()
            if placement.rank(name, mine)[0] == self._own_id
        }
        return 'removed'

    def is_responsible(self, workspace: str) -> bool:
        """Return whether this instance limits a workspace."""
        ranked = placement.rank(workspace, list(self._candidates))
        return bool(ranked) and ranked[0] == self._own_id

    def settle(
        self,
        limit: WorkspaceLimit,
        entry_id: str,
        sequence: int,
        returned: int,
        admitted: int,
        is_changed: bool,
        now_s: float,
    ) -> None:
        """Account for what an entry did since its last message.

        Args:
            limit: the limit that the entry knows.
            entry_id: the entry.
            sequence: increases with each message of the entry; units of
                repeated and overtaken messages are not returned again, nor
                those of the first message, which may be a repeated one.
            returned: units that were lent and not used.
            admitted: requests admitted without this limiter.
            is_changed: whether another limiter lent to the entry recently,
                so that the bucket may hold units that are lent already.
            now_s: the present time.
        """
        state = self._state(limit, now_s)
        last_sequence = self._sequences.get(entry_id)
        if last_sequence is None or sequence > last_sequence:
            self._sequences[entry_id] = sequence
            if last_sequence is not None:
                state.bucket.add(returned, now_s)
                state.recent.add(-returned, now_s)
                state.log.remove(returned, now_s - MIN_RETURN_AGE_S)
        if is_changed and now_s - state.reset_at_s >= CHANGE_REPORT_S:
            # The other entries report the same change.
            state.reset_at_s = now_s
            state.bucket.cap(START_UNITS, now_s)
        level = state.bucket.level(now_s)
        state.bucket.add(-min(admitted, max(0.0, level)), now_s)
        state.log.add(admitted, now_s)

    def acquire(
        self, limit: WorkspaceLimit, wanted: int, now_s: float
    ) -> Lease:
        """Lend units, as many of those wanted as the newest limit allows."""
        state = self._state(limit, now_s)
        rate_per_s = state.limit.rate_per_s
        level = state.bucket.level(now_s)
        affordable = math.floor(level + rate_per_s * MAX_WAIT_S + ROUNDING)
        units = min(wanted, max(0, affordable), state.room(now_s))
        state.bucket.add(-units, now_s)
        state.log.add(units, now_s)
        state.recent.add(units, now_s)
        level -= units
        retry_after_s = 0.0
        if units < wanted:
            earliest_s = now_s + max(
                max(0.0, 1 - level) / rate_per_s,
                state.log.room_delay_s(state.nominal, now_s),
            )
            retry_s = max(state.next_retry_s, earliest_s)
            if retry_s > earliest_s + RETRY_HORIZON_S:
                retry_s = earliest_s
            state.next_retry_s = retry_s + (wanted - units) / rate_per_s
            retry_after_s = retry_s - now_s
        return Lease(
            units,
            retry_after_s,
            max(0.0, -level) / rate_per_s if units else 0.0,
            level,
            state.recent.value(now_s),
        )

    def _state(self, limit, now_s):
        state = self._states.get(limit.workspace)
        if state is None:
            level = START_UNITS + limit.rate_per_s * (now_s - self._since_s)
            state = _LimitedWorkspace(
                limit, self._bounds, level, self._since_s, now_s
            )
            self._states[limit.workspace] = state
        elif limit.version > state.limit.version:
            state.set_limit(limit, now_s)
        return state

    def _remove_unused(self, now_s):
        """Remove buckets that would be as full if they were new."""
        self._states = {
            name: state
            for name, state in self._states.items()
            if state.bucket.level(now_s) < state.capacity
            or state.log.count(now_s)
            or state.limit.rate_per_s * (now_s - self._since_s)
            < state.capacity
        }


class FallbackShare:
    """What one entry admits by itself while the limiter does not reply.

    Over all entries it is at most the limit, in expectation, plus what
    `quota_account` allows to entries that see few of the requests.
    """

    def __init__(self):
        self._bucket: TokenBucket | None = None

    def stop(self) -> None:
        """End the use of the share, as the limiter replies."""
        self._bucket = None

    def admit(
        self,
        limit: WorkspaceLimit,
        fraction: float,
        level: float,
        is_idle: bool,
        request_id: str,
        now_s: float,
    ) -> bool:
        """Return whether a request is admitted.

        Args:
            limit: the limit that the entry knows.
            fraction: part of the limit that the entry may use.
            level: units that the limiter's bucket is estimated to hold.
            is_idle: whether the entry had no other request lately.
            request_id: decides about fractions of a unit.
            now_s: the present time.
        """
        rate_per_s = limit.rate_per_s * fraction
        capacity = max(1.0, limit.capacity * fraction)
        if self._bucket is None:
            self._bucket = TokenBucket(
                rate_per_s, capacity, level * fraction, now_s
            )
        self._bucket.set_limit(rate_per_s, capacity, now_s)
        units = self._bucket.level(now_s)
        # A fraction is used up by the request that it is offered to, or many
        # requests would try it.
        self._bucket.add(-min(1.0, units), now_s)
        return is_idle or _hash_fraction(request_id) < units


def _hash_fraction(text):
    """Return a number from 0 to below 1 that depends on a text."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest) / 2**64
