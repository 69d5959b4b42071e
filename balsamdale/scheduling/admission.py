"""Admission to the queue for slots: its order, expected starts, refusals.

It handles bursts of 1.5 to 7.5 times the usual load of a kind, a workspace
or a service: who waits, who is refused at once, and when those return. It
does no I/O and takes the present time as an argument.
"""

import bisect
from collections import abc as collections_abc
import dataclasses
import math

__all__ = ['Admission', 'Refusal', 'SlotRequest']

# Expected work of a service before any slot has been given back.
DEFAULT_WORK_S = 0.3
# Weight of the latest slot in the moving average of the time held.
WORK_SMOOTHING = 0.05
# A new request waits only if this multiple of the expected work still fits,
# as half of the requests take longer than expected.
WORK_MARGIN = 1.25
# Share of its remaining time that a new program may wait. A longer queue
# serves no more of them, and all of those later. It is below the share of
# the time within which callers return, so that some refused ones do.
NEW_PROGRAM_WAIT_SHARE = 0.25
# Half-life of the measured arrival rates. A burst takes seconds.
ARRIVAL_HALF_LIFE_S = 0.5
# Least share of the freed slots that a request is expected to compete for.
MIN_RATE_SHARE = 0.1
# A workspace that waits gets at least this share of the ratio of served to
# asked requests of all; slightly above the quarter that it is entitled to.
WORKSPACE_FLOOR = 0.3
# Half-life of the counts of asked and served requests by workspace.
SHARE_HALF_LIFE_S = 10.0
# Requests that a workspace must be owed before it goes first.
MIN_DEFICIT = 0.5
WORKSPACE_LIMIT = 30000
# Interval at which it is found out which workspaces are owed requests.
OWED_INTERVAL_S = 0.02
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
# Callers return only if Retry-After is at most this share of their time.
RETURN_SHARE = 1 / 3
# Time before and after its due time for which a place stays reserved.
RESERVED_S = 0.25
# Most places reserved at once, and their share of the freed slots.
RESERVED_LIMIT = 256
RESERVED_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class SlotRequest:
    """A request for a slot, in the clock of the allocator.

    Attributes:
        entry_id: the entry that asks.
        hold_id: the entry's number of the slot that it would hold.
        arrived_s: time at which it was asked for.
        deadline_s: time at which the request times out.
        rank: rank of workspace or route; 0 is the most urgent.
        is_in_progress: whether its program has begun.
        order_deadline_s: the earlier of its deadline and its program's.
        work_s: expected time for which it holds a slot; 0 if unknown.
        workspace: name of its workspace; empty without one.
        return_key: identifies the request when its caller sends it again.
        affinity: key that selects the preferred server.
        excluded: ids of servers that must not be chosen.
        prompt_tokens: tokens of the prompt.
        tokens: tokens of the prompt and of the longest answer.
        memory_tokens: tokens that a server of the service holds; 0: any.
        is_retryable: whether it may be sent again after a failure.
        is_forwarded: whether the allocator of another domain sent it on.
    """

    entry_id: str
    hold_id: int
    arrived_s: float
    deadline_s: float
    rank: int = 0
    is_in_progress: bool = False
    order_deadline_s: float = math.inf
    work_s: float = 0.0
    workspace: str = ''
    return_key: str = ''
    affinity: str = ''
    excluded: frozenset[str] = frozenset()
    prompt_tokens: int = 0
    tokens: int = 0
    memory_tokens: int = 0
    is_retryable: bool = False
    is_forwarded: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Identifies the request at an allocator."""
        return self.entry_id, self.hold_id


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A request that is not served.

    Attributes:
        request: the request.
        reason: 'late': it would start too late; 'displaced': more urgent
            ones took its place; 'no_server': no server may run it;
            'stale': its entry no longer waits for it.
        retry_after_s: when a place for its rank is expected, from now.
        start_s: its expected start from now.
        ahead: requests before it in the queue.
    """

    request: SlotRequest
    reason: str
    retry_after_s: float
    start_s: float
    ahead: int


@dataclasses.dataclass
class _Decayed:
    """A sum whose parts halve over a constant time."""

    half_life_s: float
    value: float = 0.0
    at_s: float = -math.inf

    def read(self, now_s):
        return self.value * 0.5 ** (
            max(0.0, now_s - self.at_s) / self.half_life_s
        )

    def add(self, amount, now_s):
        self.value = self.read(now_s) + amount
        self.at_s = now_s

    def rate(self, now_s):
        """Return the sum as events per second."""
        return self.read(now_s) * math.log(2) / self.half_life_s


class _Shares:
    """Asked and served requests by workspace."""

    def __init__(self):
        self._counts: dict[str, tuple[_Decayed, _Decayed]] = {}
        self._total = self._new_counts()

    def add(self, workspace, is_served, now_s):
        counts = self._counts.setdefault(workspace, self._new_counts())
        for pair in (counts, self._total):
            pair[is_served].add(1, now_s)
        while len(self._counts) > WORKSPACE_LIMIT:
            del self._counts[next(iter(self._counts))]

    def deficit(self, workspace, now_s):
        """Return the requests that a workspace is owed."""
        asked, served = self._counts.get(workspace, self._total)
        all_asked, all_served = (c.read(now_s) for c in self._total)
        ratio = min(1.0, all_served / all_asked) if all_asked else 0.0
        owed = WORKSPACE_FLOOR * ratio * asked.read(now_s)
        return owed - served.read(now_s)

    def _new_counts(self):
        return _Decayed(SHARE_HALF_LIFE_S), _Decayed(SHARE_HALF_LIFE_S)


@dataclasses.dataclass(frozen=True)
class _Place:
    rank: int
    due_s: float


class Admission:
    """The queue for the slots of one service in one failure domain."""

    def __init__(self):
        self._order: list[tuple] = []
        self._waiting: dict[tuple[str, int], tuple] = {}
        self._returned: set[tuple[str, int]] = set()
        self._places: dict[str, _Place] = {}
        self._last_due_s: dict[int, float] = {}
        self._arrivals: dict[tuple[int, bool], _Decayed] = {}
        self._shares = _Shares()
        self._owed: dict[str, int] = {}
        self._owed_at_s = -math.inf
        self._work_s = DEFAULT_WORK_S
        self._slots = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, key: tuple[str, int]) -> bool:
        return key in self._waiting

    @property
    def freed_per_s(self) -> float:
        """Slots that are freed per second while all are held."""
        return self._slots / self._work_s

    def set_slots(self, slots: int) -> None:
        """Set the slots of all servers that may be allocated."""
        self._slots = slots

    def record_held(self, held_s: float) -> None:
        """Record for how long a slot was held."""
        self._work_s += WORK_SMOOTHING * (max(0.001, held_s) - self._work_s)

    def add(self, request: SlotRequest, now_s: float) -> None:
        """Put a request into the queue; `refuse_late` decides on it.

        A caller that returns to its reserved place goes before the new
        programs of its rank.
        """
        self._expire_places(now_s)
        place = self._places.get(request.return_key)
        if place is not None and abs(now_s - place.due_s) <= RESERVED_S:
            del self._places[request.return_key]
            self._returned.add(request.key)
        entry = (*self._class(request), *self._slack_order(request), request)
        bisect.insort(self._order, entry)
        self._waiting[request.key] = entry
        self._arrivals.setdefault(
            self._class(request), _Decayed(ARRIVAL_HALF_LIFE_S)
        ).add(1, now_s)
        self._shares.add(request.workspace, False, now_s)
        self._owed.update(self._find_owed([request.workspace], now_s))

    def remove(self, key: tuple[str, int]) -> SlotRequest | None:
        """Remove a request that no longer waits, with any outcome."""
        self._returned.discard(key)
        entry = self._waiting.pop(key, None)
        if entry is None:
            return None
        del self._order[bisect.bisect_left(self._order, entry)]
        return entry[-1]

    def start(self, key: tuple[str, int], now_s: float) -> None:
        """Remove a request that has got a slot."""
        request = self.remove(key)
        if request is not None:
            self._shares.add(request.workspace, True, now_s)
            if request.workspace in self._owed:
                self._owed[request.workspace] -= 1

    def ordered(self, now_s: float) -> list[SlotRequest]:
        """Return the waiting requests in the order in which they start.

        Requests of workspaces that are owed some go first, as many as they
        are owed. Then count rank, programs in progress, and least slack.
        """
        requests = [entry[-1] for entry in self._order]
        if now_s - self._owed_at_s >= OWED_INTERVAL_S:
            self._owed_at_s = now_s
            self._owed = self._find_owed(
                {r.workspace for r in requests}, now_s
            )
        if not self._owed:
            return requests
        owed = dict(self._owed)
        first, rest = [], []
        for request in requests:
            is_first = owed.get(request.workspace, 0) > 0
            if is_first:
                owed[request.workspace] -= 1
            (first if is_first else rest).append(request)
        return first + rest

    def expected(
        self, now_s: float
    ) -> collections_abc.Iterator[tuple[SlotRequest, int, float]]:
        """Yield each waiting request, the places ahead, and its rate.

        The rate is of the slots, per second, that its class can expect:
        more urgent requests keep arriving as they did lately and take their
        part. It starts when the places ahead and its own have been freed.
        """
        rates, reserved = {}, {}
        for ahead, request in enumerate(self.ordered(now_s)):
            class_ = self._class(request)
            if class_ not in rates:
                rates[class_] = self._rate(class_, now_s)
                reserved[class_] = sum(
                    (p.rank, False) < class_ and p.due_s <= now_s + RESERVED_S
                    for p in self._places.values()
                )
            is_returned = request.key in self._returned
            places = 0 if is_returned else reserved[class_]
            yield request, ahead + places, rates[class_]

    def start_s(self, key: tuple[str, int], now_s: float) -> float:
        """Return the expected start of a waiting request, from now."""
        return next(
            (
                _divide(ahead + 1, rate)
                for request, ahead, rate in self.expected(now_s)
                if request.key == key
            ),
            0.0,
        )

    def work_s(self, request: SlotRequest) -> float:
        """Return the expected time for which a request holds a slot."""
        return request.work_s or self._work_s

    def refuse_late(
        self, now_s: float, new_key: tuple[str, int] | None = None
    ) -> list[Refusal]:
        """Remove and return the requests that would start too late.

        Args:
            now_s: the present time.
            new_key: the request that has just arrived. It is held to
                stricter limits, so that those admitted can mostly stay.
        """
        late = []
        for request, places, rate in self.expected(now_s):
            ahead = places - len(late)
            start_s = _divide(ahead + 1, rate)
            if start_s > self._wait_limit_s(request, new_key, now_s):
                late.append((request, start_s, ahead))
        for request, _, _ in late:
            self.remove(request.key)
        return [
            self.refuse(
                request,
                'late' if request.key == new_key else 'displaced',
                start_s,
                ahead,
                now_s,
            )
            for request, start_s, ahead in late
        ]

    def refuse(
        self,
        request: SlotRequest,
        reason: str,
        start_s: float,
        ahead: int,
        now_s: float,
    ) -> Refusal:
        """Return a refusal, and reserve a place if the caller may return.

        Callers of one rank are told successive times, so that those that
        return take at most `RESERVED_SHARE` of the freed slots.
        """
        self._expire_places(now_s)
        if not math.isfinite(start_s):
            start_s = MAX_RETRY_AFTER_S
        spacing_s = _divide(1, self.freed_per_s * RESERVED_SHARE)
        last_due_s = self._last_due_s.get(request.rank, -math.inf)
        due_s = max(now_s + start_s, now_s + MIN_RETRY_AFTER_S)
        due_s = max(due_s, last_due_s + spacing_s) if spacing_s < 1 else due_s
        retry_after_s = min(MAX_RETRY_AFTER_S, due_s - now_s)
        remaining_s = request.deadline_s - now_s
        returns = retry_after_s <= RETURN_SHARE * remaining_s
        if returns and request.return_key:
            self._last_due_s[request.rank] = due_s
            if len(self._places) < RESERVED_LIMIT:
                self._places[request.return_key] = _Place(request.rank, due_s)
        return Refusal(request, reason, retry_after_s, start_s, ahead)

    def _find_owed(self, workspaces, now_s):
        """Return the requests owed, of the workspaces that are owed some."""
        deficits = ((w, self._shares.deficit(w, now_s)) for w in workspaces)
        return {
            workspace: math.ceil(deficit)
            for workspace, deficit in deficits
            if deficit >= MIN_DEFICIT
        }

    def _wait_limit_s(self, request, new_key, now_s):
        """Return the longest time for which a request may still wait."""
        remaining_s = request.deadline_s - now_s
        work_s = self.work_s(request)
        if request.key != new_key or request.key in self._returned:
            return remaining_s - work_s
        limit_s = remaining_s - WORK_MARGIN * work_s
        if request.is_in_progress:
            return limit_s
        return min(limit_s, NEW_PROGRAM_WAIT_SHARE * remaining_s)

    def _rate(self, class_, now_s):
        """Return the slots per second that a class can expect."""
        urgent_rate = sum(
            arrivals.rate(now_s)
            for other, arrivals in self._arrivals.items()
            if other < class_
        )
        freed = self.freed_per_s
        return max(freed * MIN_RATE_SHARE, freed - urgent_rate)

    def _class(self, request):
        is_new = (
            not request.is_in_progress and request.key not in self._returned
        )
        return request.rank, is_new

    def _slack_order(self, request):
        """Return what orders the requests of one class; it is unique."""
        slack_s = min(
            request.deadline_s, request.order_deadline_s
        ) - self.work_s(request)
        return slack_s, request.arrived_s, request.key

    def _expire_places(self, now_s):
        expired = [
            key
            for key, place in self._places.items()
            if place.due_s + RESERVED_S < now_s
        ]
        for key in expired:
            del self._places[key]


def _divide(amount, rate_per_s):
    return amount / rate_per_s if rate_per_s > 0 else math.inf
