"""Access to the queue before one backend server.

Engines know no priorities and evict prefixes blindly, so the queue, the
limit on requests in flight and the admission of working sets are decided
here. `Dispatcher` decides only; the present time is an argument.
"""

import dataclasses

from balsamdale import declaration
from balsamdale import messages

__all__ = ['Dispatcher', 'Granted', 'Park', 'Policy', 'Turned']

LEASE_S = 3.0
AGEING_TOKENS_PER_S = 200.0
PRIORITIES = ('urgent', 'deadline', 'standard')


@dataclasses.dataclass(frozen=True)
class Policy:
    """Switches and bounds of the queue's policy.

    Attributes:
        gate: admit a program only where its working set fits.
        park: evict the youngest idle program for one that is older.
        release: drop the prefix of ended programs at once.
        order: queue by priority, slack and attained service.
        early_refusal: refuse when the wait would outlast the slack.
        fill: part of the cache that working sets may take.
        short_share: part of the cache kept for short programs.
        short_tokens: longest prompt of a short program, as a part of the
            cache.
        backlog_s: longest expected wait for which new programs queue.
    """

    gate: bool = True
    park: bool = True
    release: bool = True
    order: bool = True
    early_refusal: bool = True
    fill: float = 0.92
    short_share: float = 0.15
    short_tokens: float = 0.04
    backlog_s: float = 600.0


@dataclasses.dataclass(frozen=True)
class Granted:
    """A queued request may be sent."""

    grant: messages.Grant


@dataclasses.dataclass(frozen=True)
class Turned:
    """A queued request is refused; it did not run."""

    grant_id: str
    code: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Park:
    """An idle program's prefix is to be dropped from the engine."""

    program_id: str


@dataclasses.dataclass(frozen=True)
class _Waiting:
    request: messages.GrantRequest
    arrived_at_s: float


@dataclasses.dataclass(frozen=True)
class _Running:
    request: messages.GrantRequest
    granted_at_s: float
    lapses_at_s: float
    service_s: float


@dataclasses.dataclass(frozen=True)
class _Open:
    """A program whose working set is admitted."""

    tokens: int
    opened_at_s: float
    used_at_s: float
    is_short: bool


class Dispatcher:
    """The queue of one backend server.

    Args:
        server: the backend server.
        policy: switches and bounds.
        started_at_s: when this dispatcher took over.
        is_first: whether no earlier dispatcher can have grants out. Else
            half of the limit is used until those have lapsed.
    """

    def __init__(
        self,
        server: declaration.BackendServer,
        policy: Policy,
        started_at_s: float,
        is_first: bool = True,
    ):
        self.server = server
        self.policy = policy
        self._full_at_s = started_at_s + (0.0 if is_first else LEASE_S)
        self._waiting: dict[str, _Waiting] = {}
        self._running: dict[str, _Running] = {}
        self._open: dict[str, _Open] = {}
        self._hold_s = 30.0

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Grants that are out."""
        return len(self._running)

    def waiting_ids(self) -> list[str]:
        """Return the grant ids in the queue."""
        return list(self._waiting)

    def limit(self, now_s: float) -> int:
        """Return how many grants may be out."""
        slots = self.server.slots
        return slots if now_s >= self._full_at_s else max(1, slots // 2)

    def resident_tokens(self, program_id: str) -> int:
        """Return what the engine likely caches of a program."""
        held = self._open.get(program_id)
        return held.tokens if held else 0

    def quote(
        self, request: messages.QuoteRequest, now_s: float
    ) -> messages.Quote:
        """Estimate when a call would finish."""
        resident = self.resident_tokens(request.program_id)
        service_s = self._service_s(
            request.prompt_tokens, request.answer_tokens, resident
        )
        wait_s = self._slot_wait_s(now_s)
        if resident == 0 and self.policy.gate:
            wait_s += self._gate_wait_s(request.prompt_tokens)
        return messages.Quote(
            server=self.server.name,
            wait_s=wait_s,
            finish_s=now_s + wait_s + service_s,
            resident_tokens=resident,
        )

    def request(
        self, request: messages.GrantRequest, now_s: float
    ) -> list[Turned]:
        """Queue a request, or refuse it at once when it would be late."""
        if request.grant_id in self._running:
            return []
        refusal = self._early_refusal(request, now_s)
        if refusal is not None:
            return [refusal]
        arrived = self._waiting.get(request.grant_id)
        arrived_at_s = arrived.arrived_at_s if arrived else now_s
        self._waiting[request.grant_id] = _Waiting(request, arrived_at_s)
        return []

    def cancel(self, grant_id: str) -> None:
        """Forget a queued request whose owner no longer waits."""
        self._waiting.pop(grant_id, None)

    def renew(self, grant_id: str, now_s: float) -> bool:
        """Extend a grant; return whether it was still held."""
        running = self._running.get(grant_id)
        if running is None:
            return False
        self._running[grant_id] = dataclasses.replace(
            running, lapses_at_s=now_s + LEASE_S
        )
        return True

    def done(self, done: messages.GrantDone, now_s: float) -> None:
        """Take a grant back and account for what stays cached."""
        self._running.pop(done.grant_id, None)
        held = self._open.get(done.program_id)
        if done.ended:
            self._close(done.program_id, now_s)
        elif held is not None:
            self._open[done.program_id] = dataclasses.replace(
                held,
                tokens=max(done.resident_tokens, 0),
                used_at_s=now_s,
                is_short=held.is_short and self._is_short(held.tokens),
            )

    def ended(self, program_id: str, now_s: float) -> None:
        """Free the working set of a program that has ended."""
        self._close(program_id, now_s)

    def poll(self, now_s: float) -> list[Granted | Turned | Park]:
        """Grant, refuse and park whatever is due."""
        self._lapse(now_s)
        effects = list(self._expire(now_s))
        while len(self._running) < self.limit(now_s):
            chosen = self._choose(now_s)
            if chosen is None:
                break
            waiting, parked = chosen
            for program_id in parked:
                del self._open[program_id]
                effects.append(Park(program_id))
            effects.append(self._grant(waiting, now_s))
        return effects

    def _grant(self, waiting, now_s):
        request = waiting.request
        del self._waiting[request.grant_id]
        held = self._open.get(request.program_id)
        resident = held.tokens if held else 0
        service_s = self._service_s(
            request.prompt_tokens, request.answer_tokens, resident
        )
        self._running[request.grant_id] = _Running(
            request, now_s, now_s + LEASE_S, service_s
        )
        self._open[request.program_id] = _Open(
            tokens=request.prompt_tokens + request.answer_tokens,
            opened_at_s=held.opened_at_s if held else waiting.arrived_at_s,
            used_at_s=now_s,
            is_short=self._is_short(request.prompt_tokens),
        )
        return Granted(
            messages.Grant(self.server.name, request.grant_id, LEASE_S)
        )

    def _choose(self, now_s):
        """Return the next request to grant and the programs to park."""
        for waiting in sorted(
            self._waiting.values(), key=lambda w: self._rank(w, now_s)
        ):
            parked = self._admit(waiting, now_s)
            if parked is not None:
                return waiting, parked
        return None

    def _rank(self, waiting, now_s):
        """Order: priority, slack, then least attained with ageing."""
        if not self.policy.order:
            return (waiting.arrived_at_s,)
        request = waiting.request
        waited_s = now_s - waiting.arrived_at_s
        if request.slack_s >= 0:
            urgency = request.slack_s - waited_s
        else:
            urgency = request.attained_tokens - waited_s * AGEING_TOKENS_PER_S
        return (
            PRIORITIES.index(request.priority),
            request.slack_s < 0,
            urgency,
            waiting.arrived_at_s,
        )

    def _admit(self, waiting, now_s):
        """Return the programs to park for a request; None is no room."""
        request = waiting.request
        if request.suspect and self._runs_suspect():
            return None
        if not self.policy.gate or request.program_id in self._open:
            return []
        is_child = '/' in request.program_id
        if is_child or request.priority == 'urgent' or not self._open:
            return []
        needed = request.prompt_tokens + request.answer_tokens
        room = self._room(self._is_short(request.prompt_tokens))
        if needed <= room:
            return []
        if not self.policy.park:
            return None
        return self._parkable(waiting, needed - room, now_s)

    def _runs_suspect(self):
        """Tell whether a request runs that was in flight at a crash.

        Only one at a time: at a second crash the guilty one is then known.
        """
        return any(r.request.suspect for r in self._running.values())

    def _room(self, is_short):
        """Return the tokens that a program of one kind may still take."""
        cache_tokens = self.server.cache_tokens
        all_tokens = cache_tokens * self.policy.fill
        used = sum(held.tokens for held in self._open.values())
        if is_short:
            return all_tokens - used
        long_tokens = sum(
            held.tokens for held in self._open.values() if not held.is_short
        )
        long_limit = all_tokens - cache_tokens * self.policy.short_share
        return min(all_tokens - used, long_limit - long_tokens)

    def _parkable(self, waiting, needed, now_s):
        """Choose idle programs, youngest first, that are younger."""
        active = {r.request.program_id for r in self._running.values()}
        active |= {w.request.program_id for w in self._waiting.values()}
        idle = [
            (held.opened_at_s, name)
            for name, held in self._open.items()
            if name not in active and held.opened_at_s > waiting.arrived_at_s
        ]
        chosen = []
        for _, name in sorted(idle, reverse=True):
            chosen.append(name)
            needed -= self._open[name].tokens
            if needed <= 0:
                return chosen
        return None

    def _is_short(self, prompt_tokens):
        bound = self.server.cache_tokens * self.policy.short_tokens
        return prompt_tokens <= bound

    def _early_refusal(self, request, now_s):
        if not self.policy.early_refusal:
            return None
        resident = self.resident_tokens(request.program_id)
        service_s = self._service_s(
            request.prompt_tokens, request.answer_tokens, resident
        )
        is_new = request.attained_tokens == 0 and resident == 0
        wait_s = self._queue_wait_s(request, now_s)
        if is_new and wait_s > self.policy.backlog_s:
            return Turned(request.grant_id, 'overloaded', wait_s)
        if 0 <= request.slack_s < wait_s + service_s and is_new:
            return Turned(request.grant_id, 'would_be_late', wait_s)
        return None

    def _queue_wait_s(self, request, now_s):
        """Estimate the wait behind requests of the same or higher rank."""
        rank = PRIORITIES.index(request.priority)
        ahead_s = sum(
            self._service_s(
                w.request.prompt_tokens,
                w.request.answer_tokens,
                self.resident_tokens(w.request.program_id),
            )
            for w in self._waiting.values()
            if PRIORITIES.index(w.request.priority) <= rank
        )
        return self._remaining_s(now_s) + ahead_s / self.server.slots

    def _slot_wait_s(self, now_s):
        queued_s = sum(
            self._service_s(
                w.request.prompt_tokens,
                w.request.answer_tokens,
                self.resident_tokens(w.request.program_id),
            )
            for w in self._waiting.values()
        )
        return self._remaining_s(now_s) + queued_s / self.server.slots

    def _remaining_s(self, now_s):
        """Estimate when the next slot is free."""
        if len(self._running) < self.limit(now_s):
            return 0.0
        left = (
            max(0.0, r.granted_at_s + r.service_s - now_s)
            for r in self._running.values()
        )
        return min(left, default=0.0)

    def _gate_wait_s(self, prompt_tokens):
        """Estimate the wait until a working set fits."""
        waiting_tokens = sum(
            w.request.prompt_tokens
            for w in self._waiting.values()
            if w.request.program_id not in self._open
        )
        room = self._room(self._is_short(prompt_tokens))
        missing = waiting_tokens + prompt_tokens - room
        if missing <= 0 or not self._open:
            return 0.0
        return self._hold_s * missing / max(1, self.server.cache_tokens)

    def _service_s(self, prompt_tokens, answer_tokens, resident_tokens):
        fresh_tokens = max(0, prompt_tokens - resident_tokens)
        prefill_s = fresh_tokens / self.server.prefill_tokens_per_s
        return prefill_s + answer_tokens / self.server.decode_tokens_per_s

    def _close(self, program_id, now_s):
        held = self._open.pop(program_id, None)
        if held is not None:
            lasted_s = now_s - held.opened_at_s
            self._hold_s += (lasted_s - self._hold_s) * 0.1

    def _lapse(self, now_s):
        lapsed = [
            name
            for name, running in self._running.items()
            if running.lapses_at_s <= now_s
        ]
        for name in lapsed:
            del self._running[name]

    def _expire(self, now_s):
        expired = [
            waiting
            for waiting in self._waiting.values()
            if now_s - waiting.arrived_at_s > waiting.request.wait_s
        ]
        for waiting in expired:
            grant_id = waiting.request.grant_id
            del self._waiting[grant_id]
            yield Turned(grant_id, 'overloaded', self._slot_wait_s(now_s))
