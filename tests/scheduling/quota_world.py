"""A model of entries and limiters with a network that loses messages.

`BROKEN` holds limiters that are broken on purpose; the tests must find a
fault with each of them.
"""

import math

from balsamdale import placement
from balsamdale.scheduling import quota
from balsamdale.scheduling import quota_account

WINDOW_S = 5.0
RATE_PER_S = 0.5
BURST = 20.0
LIMITERS = ('x', 'y', 'z')


class FullAtStart(quota.Limiter):
    """Lends the whole burst once more after each change of limiter."""

    def _state(self, limit, now_s):
        self._since_s = -math.inf
        return super()._state(limit, now_s)


class ReturnsTwice(quota.Limiter):
    """Adds returned units again when their message is repeated."""

    def settle(self, limit, entry_id, sequence, *others):
        self._sequences[entry_id] = sequence - 1
        super().settle(limit, entry_id, sequence, *others)


class KeepsLevel(quota.Limiter):
    """Keeps the level of the bucket when the limit is lowered."""

    def _state(self, limit, now_s):
        known = self._states.get(limit.workspace)
        level = known.bucket.level(now_s) if known is not None else 0.0
        state = super()._state(limit, now_s)
        if state.limit.capacity < level:
            state.bucket._level, state.bucket._capacity = level, level
        return state


class Uncapped(quota.Limiter):
    """Fills its buckets beyond the burst while they are not used."""

    def _state(self, limit, now_s):
        state = super()._state(limit, now_s)
        state.bucket._capacity = math.inf
        return state


BROKEN = (FullAtStart, ReturnsTwice, KeepsLevel, Uncapped)


class LimiterWorld:
    """Entries that send requests of one workspace to its limiter."""

    def __init__(
        self,
        limiter_class=quota.Limiter,
        entry_count=2,
        rate_per_s=RATE_PER_S,
        burst=BURST,
    ):
        self.now_s = 100.0
        self.limit = quota.WorkspaceLimit('w', 1, rate_per_s, burst)
        self._limiter_class = limiter_class
        self._limiters = {
            name: limiter_class(name, self.now_s) for name in LIMITERS
        }
        self._members = set(LIMITERS)
        self._accounts = [
            quota_account.Account(self.limit) for _ in range(entry_count)
        ]
        self._sequence = 0
        self._last_message = None
        self._limit_since_s = 0.0
        self._change_times_s = []
        self._lent_s = []
        self._local_s = []
        self.refused = 0
        self._observe()

    @property
    def limiter_id(self):
        return placement.rank('w', list(self._members))[0]

    def send(self, entry, count=1, lost='', delay_s=0.0, is_run=True):
        """Send requests that share a message.

        Args:
            entry: index of the entry.
            count: number of requests.
            lost: what is lost: 'message', 'reply' or nothing.
            delay_s: delay of the reply.
            is_run: whether the requests reach a server.
        """
        account = self._accounts[entry]
        account.set_limit(self.limit)
        wanted = count
        while wanted and account.take_spare(self.now_s):
            wanted -= 1
            self._lent_s.append(self.now_s)
        if not wanted:
            return
        limiter_id = self.limiter_id
        self._sequence += 1
        returned, admitted, is_changed = account.next_report(
            limiter_id, self.now_s
        )
        self._last_message = (
            account.limit,
            f'e{entry}',
            self._sequence,
            returned,
            admitted,
            is_changed,
        )
        if lost != 'message':
            lease = self._deliver(wanted)
        if lost:
            account.restore_admitted(admitted)
            self._admit_locally(account, wanted)
            return
        account.record_lease(limiter_id, lease, self.now_s)
        self.refused += wanted - lease.units
        for _ in range(lease.units):
            if is_run:
                self._lent_s.append(self.now_s + max(delay_s, lease.wait_s))
            else:
                account.add_spare(self.now_s)

    def repeat(self):
        """Deliver the last message again; nobody waits for its reply."""
        if self._last_message is not None:
            self._deliver(0)

    def pass_time(self, duration_s):
        """Let time pass; the members observe their clocks meanwhile."""
        steps = max(1, math.ceil(duration_s / 0.75))
        for _ in range(steps):
            self.now_s += duration_s / steps
            self._observe()

    def remove_limiter(self):
        """Suspend the limiter until it is removed as it does not reply."""
        if len(self._members) > 1:
            suspended = self.limiter_id
            self.now_s += 1.0
            self._members.discard(suspended)
            self._observe()
            self._change_times_s.append(self.now_s)

    def add_limiter(self):
        """Let a removed instance resume as a member."""
        absent = sorted(set(LIMITERS) - self._members)
        if absent:
            self._members.add(absent[0])
            self._observe()
            self._change_times_s.append(self.now_s)

    def restart_limiter(self):
        """Restart the limiter at once."""
        limiter = self._limiter_class(self.limiter_id, self.now_s)
        self._limiters[self.limiter_id] = limiter
        self._change_times_s.append(self.now_s)
        self._observe()

    def set_limit(self, rate_per_s, burst):
        """Put a limit in force; it binds once spare units have expired."""
        version = self.limit.version + 1
        self.limit = quota.WorkspaceLimit('w', version, rate_per_s, burst)
        self._limit_since_s = self.now_s + quota_account.REUSE_S

    def excess(self):
        """Return by how much a window since the last limit is too full.

        Units lent may exceed `rate x window + burst` by the units of new
        buckets and by those that waited or were reused. What entries admit
        by themselves is at most the limit and one request for each entry.
        """
        limit = self.limit
        reuse_s = (
            quota_account.REUSE_S
            + quota_account.MAX_RETURN_DELAY_S
            + 2 * quota.MAX_WAIT_S
        )
        bound = limit.rate_per_s * (WINDOW_S + reuse_s) + limit.capacity
        local_bound = bound + len(self._accounts)
        return max(
            self._fullest(self._lent_s, quota.START_UNITS) - bound,
            self._fullest(self._local_s, 0.0) - local_bound,
        )

    def _fullest(self, times_s, units_per_change):
        times_s = sorted(t for t in times_s if t >= self._limit_since_s)
        fullest = 0.0
        for index, start_s in enumerate(times_s):
            end_s = start_s + WINDOW_S
            changes = sum(
                start_s - WINDOW_S <= t <= end_s for t in self._change_times_s
            )
            count = sum(t <= end_s for t in times_s[index:])
            fullest = max(fullest, count - units_per_change * changes)
        return fullest

    def _admit_locally(self, account, count):
        for index in range(count):
            request_id = f'q{self._sequence}-{index}'
            if account.admit_locally(
                len(self._accounts), 0.0, request_id, self.now_s
            ):
                self._local_s.append(self.now_s)
            else:
                self.refused += 1

    def _deliver(self, wanted):
        self._observe()
        limiter = self._limiters[self.limiter_id]
        limiter.settle(*self._last_message, self.now_s)
        return limiter.acquire(self._last_message[0], wanted, self.now_s)

    def _observe(self):
        for name in self._members:
            self._limiters[name].observe(frozenset(self._members), self.now_s)
