"""Request quotas of workspaces: buckets, leases and shares of an entry.

It does no I/O and takes the present time as an argument. Load pattern: a
workspace sends clumps of requests, or several times its rate for seconds,
through many entries, while the instance that limits it restarts or changes.
"""

from collections import abc as collections_abc
import hashlib

from balsamdale import placement
from balsamdale.scheduling import quota_units
from balsamdale.scheduling import quota_window
from balsamdale.scheduling import quota_workspace

__all__ = [
    'FallbackShare',
    'Limiter',
]

# Age of the youngest unit that can be returned: entries reuse units before.
MIN_RETURN_AGE_S = 0.5
# Time for which a lease of another limiter can be part of a sliding window.
CHANGE_REPORT_S = 5.0
# Silence of a limiter after which another one may have replaced it: members
# that do not reply are removed after two probes of 0.4 s.
SUSPENSION_S = 0.8
# Interval between removals of full buckets that are not in use.
CLEANUP_INTERVAL_S = 60.0


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
        self._states: dict[str, quota_workspace.LimitedWorkspace] = {}
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
        limit: quota_units.WorkspaceLimit,
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
            state.bucket.cap(quota_units.START_UNITS, now_s)
        level = state.bucket.level(now_s)
        state.bucket.add(-min(admitted, max(0.0, level)), now_s)
        state.log.add(admitted, now_s)

    def acquire(
        self,
        limit: quota_units.WorkspaceLimit,
        wanted: collections_abc.Sequence[quota_units.WantedUnit],
        now_s: float,
    ) -> quota_units.Lease:
        """Lend units, as many of those wanted as the newest limit allows."""
        return self._state(limit, now_s).acquire(wanted, now_s)

    def _state(self, limit, now_s):
        state = self._states.get(limit.workspace)
        if state is None:
            level = quota_units.START_UNITS + limit.rate_per_s * (
                now_s - self._since_s
            )
            state = quota_workspace.LimitedWorkspace(
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
            or state.programs.expire(now_s)
            or state.limit.rate_per_s * (now_s - self._since_s)
            < state.capacity
        }


class FallbackShare:
    """What one entry admits by itself while the limiter does not reply.

    Over all entries it is at most the limit, in expectation, plus what
    `quota_account` allows to entries that see few of the requests.
    """

    def __init__(self):
        self._bucket: quota_units.TokenBucket | None = None

    def stop(self) -> None:
        """End the use of the share, as the limiter replies."""
        self._bucket = None

    def admit(
        self,
        limit: quota_units.WorkspaceLimit,
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
            self._bucket = quota_units.TokenBucket(
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
