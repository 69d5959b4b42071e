"""Allocation of the slots of one service in one failure domain.

It handles bursts at many entries, each of which sees too little of the load
of a server: one allocator knows what all entries hold, and queues requests
while all slots are held. It does no I/O and takes the present time as an
argument.
"""

import collections
import dataclasses

from balsamdale import discovery
from balsamdale.scheduling import admission
from balsamdale.scheduling import balance
from balsamdale.scheduling import outliers
from balsamdale.scheduling import slot_reports

__all__ = [
    'Decision',
    'Elsewhere',
    'Granted',
    'SlotAllocator',
]

# Requests beyond its slots that a server may get, as a share of the slots.
# None are needed: a slot is given again within about 1 ms while requests
# wait, which is under 1% of the time of a request.
QUEUED_PER_SLOT = 0.0
# Silence of an entry after which its holdings expire; it sends them at least
# once a second.
HOLDINGS_EXPIRY_S = 2.0
# Entries ask for each slot while fewer are free: as many as they may take in
# the time in which they learn of the load.
FREE_SLOTS_SHARE = 0.15
MIN_FREE_SLOTS = 2
# Requests that ended this recently may still be counted in a load report.
REPORT_DELAY_S = 0.1
# Expected wait that is accepted rather than sending a request to another
# domain: the way there and back, and the traffic that is charged for.
CROSSING_COST_S = 0.03
# Entries that must fail to connect to a server before it is passed over for
# all of them; a single one may be cut off itself.
MIN_UNREACHABLE_FOR = 2
# Age at which the load of another domain's allocator no longer counts.
DOMAIN_LOAD_EXPIRY_S = 0.5


@dataclasses.dataclass(frozen=True)
class Granted:
    """A request has got a slot of a server."""

    request: admission.SlotRequest
    choice: balance.Choice


@dataclasses.dataclass(frozen=True)
class Elsewhere:
    """A request is to ask the allocator of another failure domain."""

    request: admission.SlotRequest
    failure_domain: str


Decision = Granted | Elsewhere | admission.Refusal


@dataclasses.dataclass
class _Entry:
    """What is known of one entry."""

    started_ms: int = -1
    sequence: int = 0
    heard_s: float = 0.0
    live: frozenset[int] = frozenset()
    unreachable: frozenset[str] = frozenset()
    holds: dict[int, '_Held'] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class _Held:
    server_id: str
    tokens: int
    since_s: float
    grant: Granted | None


@dataclasses.dataclass
class _ServerCount:
    requests: int = 0
    tokens: int = 0
    recent: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )

    def forget(self, now_s):
        """Drop the counts that no report can still be based on."""
        while self.recent and self.recent[0][0] < now_s - REPORT_DELAY_S:
            self.recent.popleft()


class SlotAllocator:
    """Allocates the slots of the servers of a service in one domain.

    Args:
        failure_domain: the domain of the servers.
        record_event: called with the name and the fields of each ejection
            and readmission of a server.
        compares_finish: see `balance.Balancer`.
    """

    def __init__(
        self,
        failure_domain: str,
        record_event: outliers.RecordEvent | None = None,
        compares_finish: bool = False,
    ):
        self._failure_domain = failure_domain
        self._balancer = balance.Balancer(
            failure_domain, QUEUED_PER_SLOT, record_event, compares_finish
        )
        self._admission = admission.Admission()
        self._registered: tuple[discovery.Server, ...] = ()
        self._servers: tuple[discovery.Server, ...] = ()
        self._healthy: tuple[discovery.Server, ...] = ()
        self._entries: dict[str, _Entry] = {}
        self._counts: dict[str, _ServerCount] = {}
        self._domains: dict[str, tuple[slot_reports.DomainLoad, float]] = {}

    def is_waiting(self, key: tuple[str, int]) -> bool:
        """Return whether a request waits for a slot."""
        return key in self._admission

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._admission)

    @property
    def ejected(self) -> int:
        """Servers that are ejected for their failures."""
        return self._balancer.outliers.count_ejected()

    def held(self, server_id: str) -> int:
        """Return how many slots of a server are known to be held."""
        count = self._counts.get(server_id)
        return count.requests if count is not None else 0

    def set_servers(self, servers: tuple[discovery.Server, ...]) -> None:
        """Set the servers of the domain that accept requests."""
        if servers == self._registered:
            return
        self._registered = servers
        self._select_servers()
        ids = {s.server_id for s in servers}
        self._balancer.remove_departed(ids)
        for server_id in [
            name
            for name, count in self._counts.items()
            if name not in ids and not count.requests
        ]:
            del self._counts[server_id]

    def record(self, report: slot_reports.Report, now_s: float) -> bool:
        """Record a report of an entry; return False if it is out of date.

        A slot that the report no longer names has been freed: an entry names
        a slot that it waits for, or holds, in each report from the request
        for it until its end.
        """
        entry = self._entries.setdefault(report.entry_id, _Entry())
        if report.started_ms < entry.started_ms:
            return False
        if report.started_ms > entry.started_ms:
            self._drop(entry, now_s)
            entry.started_ms, entry.sequence = report.started_ms, 0
        if report.sequence <= entry.sequence:
            return False
        entry.sequence, entry.heard_s = report.sequence, now_s
        live = frozenset(
            (*(hold.hold_id for hold in report.held), *report.awaited)
        )
        for hold_id in entry.live - live:
            self._admission.remove((report.entry_id, hold_id))
        entry.live = live
        if entry.unreachable != set(report.unreachable):
            entry.unreachable = frozenset(report.unreachable)
            self._select_servers()
        for hold_id in entry.holds.keys() - entry.live:
            self._end(entry, hold_id, now_s)
        for hold in report.held:
            if hold.hold_id not in entry.holds:
                self._begin(
                    entry,
                    hold.hold_id,
                    _Held(hold.server_id, hold.tokens, now_s, None),
                    now_s,
                )
        self._observe(report, now_s)
        return True

    def record_domain(
        self, load: slot_reports.DomainLoad, now_s: float
    ) -> None:
        """Record the load that the allocator of another domain reported."""
        if load.failure_domain != self._failure_domain:
            self._domains[load.failure_domain] = load, now_s

    def ask(
        self, request: admission.SlotRequest, now_s: float
    ) -> list[Decision]:
        """Ask for a slot; return what follows, for this and for others.

        Without a decision on it, the request waits. Asking again for a slot
        that was allocated returns the same slot.
        """
        entry = self._entries.get(request.entry_id, _Entry())
        held = entry.holds.get(request.hold_id)
        if held is not None and held.grant is not None:
            return [held.grant]
        if held is not None or request.hold_id not in entry.live:
            return [admission.Refusal(request, 'stale', 0.0, 0.0, 0)]
        if request.key in self._admission:
            return []
        excluded = request.excluded | entry.unreachable
        if not any(s.server_id not in excluded for s in self._servers):
            return [self._redirect(request, now_s) or self._refuse(request)]
        self._admission.add(request, now_s)
        decisions = self._allocate(now_s)
        if request.key in self._admission and self._domains:
            start_s = self._admission.start_s(request.key, now_s)
            elsewhere = self._redirect(request, now_s, start_s)
            if elsewhere is not None:
                self._admission.remove(request.key)
                decisions.append(elsewhere)
        return decisions + self._admission.refuse_late(now_s, request.key)

    def withdraw(self, key: tuple[str, int]) -> admission.SlotRequest | None:
        """Remove and return a request that waits."""
        return self._admission.remove(key)

    def heard_age_s(self, now_s: float) -> float:
        """Return the age of the oldest holdings that are still counted."""
        return now_s - min(
            (e.heard_s for e in self._entries.values()), default=now_s
        )

    def cancel(self, key: tuple[str, int], now_s: float) -> None:
        """Remove a request that no longer waits, or free its slot."""
        self._admission.remove(key)
        entry = self._entries.get(key[0])
        if entry is not None:
            entry.live -= {key[1]}
            self._end(entry, key[1], now_s)

    def advance(self, now_s: float) -> list[Decision]:
        """Allocate free slots, and refuse what cannot be served in time."""
        for entry_id, entry in list(self._entries.items()):
            if now_s - entry.heard_s > HOLDINGS_EXPIRY_S:
                self._drop(entry, now_s)
                del self._entries[entry_id]
                self._select_servers()
        if not len(self._admission):
            return []
        decisions = self._allocate(now_s)
        if not self._servers:
            decisions.extend(
                self._refuse(self._admission.remove(request.key))
                for request in self._admission.ordered(now_s)
            )
        return decisions + self._admission.refuse_late(now_s)

    def domain_load(self, now_s: float) -> slot_reports.DomainLoad:
        """Return the load of this domain."""
        free = self._free_slots(now_s)
        freed_per_s = self._admission.freed_per_s
        wait_s = 0.0
        if free <= 0 or self.waiting:
            wait_s = (self.waiting + 1) / max(freed_per_s, 0.001)
        return slot_reports.DomainLoad(
            self._failure_domain, free, round(wait_s, 2), freed_per_s
        )

    def summary(self, now_s: float) -> slot_reports.Summary:
        """Return what entries need to choose servers by themselves."""
        self._select_healthy(now_s)
        slots = sum(s.slots for s in self._healthy)
        free = self._free_slots(now_s)
        return slot_reports.Summary(
            is_contended=bool(self.waiting)
            or free < max(MIN_FREE_SLOTS, FREE_SLOTS_SHARE * slots),
            loads=tuple(
                (s.server_id, self._balancer.estimate_load(s, now_s))
                for s in self._healthy
            ),
            ejected=tuple(
                s.server_id for s in self._servers if s not in self._healthy
            ),
        )

    def _allocate(self, now_s):
        """Allocate free slots to waiting requests in their order."""
        granted = []
        self._select_healthy(now_s)
        if not self._has_room(now_s):
            return granted
        for request in self._admission.ordered(now_s):
            choice = self._choose(request, now_s)
            if choice is None:
                # Another one may be served if this one excludes servers or
                # needs much memory.
                if self._has_room(now_s):
                    continue
                break
            self._admission.start(request.key, now_s)
            grant = Granted(request, choice)
            self._begin(
                self._entries[request.entry_id],
                request.hold_id,
                _Held(choice.server.server_id, request.tokens, now_s, grant),
                now_s,
            )
            granted.append(grant)
        return granted

    def _choose(self, request, now_s):
        """Return the server for a request, or None if all are full."""
        entry = self._entries[request.entry_id]
        choice = self._balancer.choose(
            self._servers,
            request.affinity,
            request.excluded | entry.unreachable,
            now_s,
            prompt_tokens=request.prompt_tokens,
            tokens=request.tokens,
            memory_tokens=request.memory_tokens,
            is_retryable=request.is_retryable,
        )
        if choice is not None:
            self._balancer.outliers.start_probe(choice.server.server_id)
        return choice

    def _redirect(self, request, now_s, start_s=float('inf')):
        """Return another domain if a request starts earlier there."""
        if request.is_forwarded:
            return None
        loads = [
            load
            for load, at_s in self._domains.values()
            if now_s - at_s <= DOMAIN_LOAD_EXPIRY_S and load.freed_per_s
        ]
        best = min(loads, key=lambda load: load.wait_s, default=None)
        if best is None or best.wait_s + CROSSING_COST_S >= start_s:
            return None
        work_s = self._admission.work_s(request)
        remaining_s = request.deadline_s - now_s
        if best.wait_s + CROSSING_COST_S + work_s > remaining_s:
            return None
        # Counts the request there until the next report, as otherwise all
        # requests would be sent to the same domain meanwhile.
        wait_s = best.wait_s
        if best.free_slots <= 1:
            wait_s += 1 / best.freed_per_s
        updated = dataclasses.replace(
            best, free_slots=best.free_slots - 1, wait_s=wait_s
        )
        reported_at_s = self._domains[best.failure_domain][1]
        self._domains[best.failure_domain] = updated, reported_at_s
        return Elsewhere(request, best.failure_domain)

    def _refuse(self, request):
        """Refuse a request that no server of the domain may run."""
        return admission.Refusal(
            request, 'no_server', admission.DEFAULT_WORK_S, 0.0, 0
        )

    def _select_healthy(self, now_s):
        """Count only the slots of servers that are not ejected."""
        ejected = set()
        if self._servers:
            ejected = self._balancer.outliers.ejected(
                self._servers[0].service,
                [s.server_id for s in self._servers],
                now_s,
            )
        healthy = tuple(s for s in self._servers if s.server_id not in ejected)
        self._healthy = healthy or self._servers
        self._admission.set_slots(sum(max(1, s.slots) for s in self._healthy))

    def _has_room(self, now_s):
        return any(
            self._balancer.estimate_load(s, now_s) < s.slots
            for s in self._healthy
        )

    def _free_slots(self, now_s):
        return int(
            sum(
                max(0.0, s.slots - self._balancer.estimate_load(s, now_s))
                for s in self._healthy
            )
        )

    def _observe(self, report, now_s):
        known_ids = {s.server_id for s in self._registered}
        for server_id, load, age_s in report.loads:
            if server_id not in known_ids:
                continue
            # The report may still count requests that have ended since.
            count = self._count(server_id)
            count.forget(now_s)
            known = max((n for _, n in count.recent), default=0)
            known = max(known, count.requests)
            self._balancer.set_held(server_id, known, count.tokens)
            self._balancer.record_load(server_id, load, now_s - age_s)
            self._balancer.set_held(server_id, count.requests, count.tokens)
        for server_id, outcome in report.outcomes:
            if server_id in known_ids:
                self._balancer.record_outcome(server_id, outcome, now_s)

    def _select_servers(self):
        """Select the registered servers that entries can connect to."""
        counts = collections.Counter(
            server_id
            for entry in self._entries.values()
            for server_id in entry.unreachable
        )
        reachable = tuple(
            s
            for s in self._registered
            if counts[s.server_id] < MIN_UNREACHABLE_FOR
        )
        self._servers = self._healthy = reachable or self._registered
        self._admission.set_slots(sum(max(1, s.slots) for s in self._servers))

    def _begin(self, entry, hold_id, held, now_s):
        entry.holds[hold_id] = held
        if held.grant is not None:
            # Also tells the balancer that its choice was followed; the
            # count itself is set below.
            self._balancer.add_request(held.server_id, held.tokens)
        self._change(held, 1, now_s)

    def _end(self, entry, hold_id, now_s):
        held = entry.holds.pop(hold_id, None)
        if held is None:
            return
        self._change(held, -1, now_s)
        if held.grant is not None:
            self._admission.record_held(now_s - held.since_s)

    def _drop(self, entry, now_s):
        """Free all that an entry held; it has stopped or is cut off."""
        for hold_id, held in entry.holds.items():
            self._change(held, -1, now_s)
        for request in self._admission.ordered(now_s):
            if self._entries.get(request.entry_id) is entry:
                self._admission.remove(request.key)
        entry.holds, entry.live = {}, frozenset()

    def _change(self, held, requests, now_s):
        count = self._count(held.server_id)
        count.recent.append((now_s, count.requests))
        count.forget(now_s)
        count.requests += requests
        count.tokens += requests * held.tokens
        self._balancer.set_held(held.server_id, count.requests, count.tokens)

    def _count(self, server_id):
        return self._counts.setdefault(server_id, _ServerCount())
