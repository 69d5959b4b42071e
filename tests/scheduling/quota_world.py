"""A model of entries and limiters with a network that loses messages.

`BROKEN` holds limiters that are broken on purpose; the tests must find a
fault with each of them.
"""

import bisect
import math

from balsamdale import placement
from balsamdale.scheduling import quota
from balsamdale.scheduling import quota_account
from balsamdale.scheduling import quota_units

WINDOW_S = 5.0
RATE_PER_S = 0.5
BURST = 40.0
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


class KeepsLimit(quota.Limiter):
    """Keeps the window of the first limit when a lower one is in force."""

    def _state(self, limit, now_s):
        known = self._states.get(limit.workspace)
        return super()._state(known.limit if known else limit, now_s)


class Uncapped(quota.Limiter):
    """Fills its buckets beyond their size while they are not used.

    The window alone would allow too much at a change of limiter.
    """

    def _state(self, limit, now_s):
        state = super()._state(limit, now_s)
        state.bucket._capacity = math.inf
        return state


BROKEN = (FullAtStart, ReturnsTwice, KeepsLimit, Uncapped)


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
        self.limit = quota_units.WorkspaceLimit('w', 1, rate_per_s, burst)
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
        for verdict in lease.verdicts:
            if not verdict.is_admitted:
                continue
            if is_run:
                self._lent_s.append(self.now_s + max(delay_s, verdict.delay_s))
            else:
                account.add_spare(self.now_s)

    def send_clump(self, entry):
        """Send more requests than a window allows."""
        nominal = self.limit.rate_per_s * WINDOW_S + self.limit.burst
        self.send(entry, int(nominal) + 5)

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
        self.limit = quota_units.WorkspaceLimit(
            'w', version, rate_per_s, burst
        )
        self._limit_since_s = self.now_s + quota_account.REUSE_S

    def excess(self):
        """Return by how much a window since the last limit is too full.

        Requirement 2: without a change of limiter `rate x window + burst`,
        rounded up, and units that waited or were reused. A window that a
        change is part of: that x 1.1 + 20, and the units of a new bucket for
        each further change. What entries admit by themselves is at most the
        limit and one request for each entry.
        """
        limit = self.limit
        nominal = limit.rate_per_s * WINDOW_S + limit.burst
        reuse_s = (
            quota_account.REUSE_S
            + quota_account.MAX_RETURN_DELAY_S
            + 2 * quota_units.MAX_WAIT_S
        )
        reused = limit.rate_per_s * reuse_s
        local_bound = nominal + reused + 1 + len(self._accounts)

        def bound(changes):
            if not changes:
                return math.ceil(nominal) + reused
            more = quota_units.START_UNITS * (changes - 1)
            return 1.1 * nominal + 20 + reused + more

        return max(
            self._most(self._lent_s, bound),
            self._most(self._local_s, lambda changes: local_bound),
        )

    def _most(self, times_s, bound):
        times_s = sorted(t for t in times_s if t >= self._limit_since_s)
        most = -math.inf
        for start_s in sorted(set(times_s)):
            end_s = start_s + WINDOW_S
            changes = sum(
                start_s - WINDOW_S <= t <= end_s for t in self._change_times_s
            )
            count = bisect.bisect_right(times_s, end_s)
            count -= bisect.bisect_left(times_s, start_s)
            most = max(most, count - bound(changes))
        return most

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
        units = (quota_units.WantedUnit(),) * wanted
        return limiter.acquire(self._last_message[0], units, self.now_s)

    def _observe(self):
        for name in self._members:
            self._limiters[name].observe(frozenset(self._members), self.now_s)
