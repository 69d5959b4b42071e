"""Access to the queue before one backend server.

Engines know no priorities and evict prefixes blindly, so the queue, the
limit on requests in flight and the admission of working sets are decided
here. `Dispatcher` decides only; the present time is an argument.
"""

import dataclasses

from balsamdale import declaration
from balsamdale import messages

__all__ = ['Dispatcher', 'Granted', 'Park', 'Policy', 'Rejected']

GRANT_LEASE_S = 3.0
HOLD_WEIGHT = 0.1
STANDARD = 'standard'
PRIORITIES = ('urgent', 'deadline', STANDARD)


@dataclasses.dataclass(frozen=True)
class Policy:
    """Switches and bounds of the queue's policy.

    Attributes:
        gate: admit a program only where its working set fits.
        park: let idle programs make room for waiting ones.
        export: export parked prefixes where the engine can.
        release: drop the prefix of ended programs at once.
        order: queue by priority, slack and attained service.
        early_refusal: refuse when the wait would outlast the slack.
        fill: part of the cache that resident working sets may take.
        overcommit: part of the cache that resident and parked working sets
            may take before a further long program is admitted.
        short_share: part of the cache kept for short programs.
        short_tokens: longest prompt of a short program, as a part of the
            cache.
        backlog_s: longest expected wait for which new programs queue.
    """

    gate: bool = True
    park: bool = True
    export: bool = True
    release: bool = True
    order: bool = True
    early_refusal: bool = True
    fill: float = 0.97
    overcommit: float = 4.0
    short_share: float = 0.0
    short_tokens: float = 0.04
    backlog_s: float = 600.0


@dataclasses.dataclass(frozen=True)
class Granted:
    """A queued request may be sent.

    `imports` tells that the program's exported prefix is to be imported
    first.
    """

    grant: messages.Grant
    program_id: str
    imports: bool


@dataclasses.dataclass(frozen=True)
class Rejected:
    """A queued request is refused; it did not run."""

    grant_id: str
    code: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Park:
    """An idle program's prefix is to leave the engine's cache.

    `exports` tells that it is to be exported, so that it need not be
    prefilled again.
    """

    program_id: str
    exports: bool


@dataclasses.dataclass(frozen=True)
class _Waiting:
    request: messages.GrantRequest
    arrived_at_s: float
    service_s: float


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
    is_short: bool
    awaits_caller: bool = False


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
        self._full_at_s = started_at_s + (0.0 if is_first else GRANT_LEASE_S)
        self._waiting: dict[str, _Waiting] = {}
        self._running: dict[str, _Running] = {}
        self._open: dict[str, _Open] = {}
        self._parked: dict[str, int] = {}
        self._exported: dict[str, int] = {}
        self._born_at_s: dict[str, float] = {}
        self._used_tokens = 0
        self._long_tokens = 0
        self._queued_s = 0.0
        self._hold_s = 30.0

    @property
    def waiting_count(self) -> int:
        """Requests in the queue."""
        return len(self._waiting)

    @property
    def running_count(self) -> int:
        """Grants that are out."""
        return len(self._running)

    def waiting_ids(self) -> list[str]:
        """Return the grant ids in the queue."""
        return list(self._waiting)

    def concurrency_limit(self, now_s: float) -> int:
        """Return how many grants may be out."""
        slots = self.server.slots
        return slots if now_s >= self._full_at_s else max(1, slots // 2)

    def resident_tokens(self, program_id: str) -> int:
        """Return what the engine likely caches of a program."""
        held = self._open.get(program_id)
        return held.tokens if held else 0

    def estimate(
        self, request: messages.QuoteRequest, now_s: float
    ) -> messages.Quote:
        """Estimate when a call would finish."""
        resident = self.resident_tokens(request.program_id)
        service_s = self._service_s(request)
        wait_s = self._slot_wait_s(now_s)
        if resident == 0 and self.policy.gate:
            wait_s += self._gate_wait_s(request.prompt_tokens)
        decode_s = request.answer_tokens / self.server.decode_tokens_per_s
        return messages.Quote(
            server=self.server.name,
            wait_s=wait_s,
            prefill_s=service_s - decode_s,
            finish_s=now_s + wait_s + service_s,
        )

    def enqueue(
        self, request: messages.GrantRequest, now_s: float
    ) -> list[Rejected]:
        """Queue a request, or refuse it at once when it would be late."""
        if request.grant_id in self._running:
            return []
        refusal = self._early_refusal(request, now_s)
        if refusal is not None:
            return [refusal]
        if request.grant_id not in self._waiting:
            self._born_at_s.setdefault(request.program_id, now_s)
            service_s = self._service_s(request)
            self._queued_s += service_s
            self._waiting[request.grant_id] = _Waiting(
                request, now_s, service_s
            )
        return []

    def cancel(self, grant_id: str) -> None:
        """Forget a queued request whose owner no longer waits."""
        self._unqueue(grant_id)

    def renew(self, grant_id: str, now_s: float) -> bool:
        """Extend a grant; return whether it was still held."""
        running = self._running.get(grant_id)
        if running is None:
            return False
        self._running[grant_id] = dataclasses.replace(
            running, lapses_at_s=now_s + GRANT_LEASE_S
        )
        return True

    def finish_grant(self, done: messages.GrantDone, now_s: float) -> None:
        """Take a grant back and account for what stays cached."""
        self._running.pop(done.grant_id, None)
        held = self._open.get(done.program_id)
        if done.ended:
            self.end_program(done.program_id, now_s)
        elif held is not None:
            tokens = max(done.resident_tokens, 0)
            self._set_open(
                done.program_id,
                dataclasses.replace(
                    held,
                    tokens=tokens,
                    is_short=self._is_short(tokens),
                    awaits_caller=done.awaits_caller,
                ),
            )

    def end_program(self, program_id: str, now_s: float) -> None:
        """Free the working set of a program that has ended."""
        held = self._open.get(program_id)
        self._born_at_s.pop(program_id, None)
        self._parked.pop(program_id, None)
        self._exported.pop(program_id, None)
        if held is not None:
            lasted_s = now_s - held.opened_at_s
            self._hold_s += (lasted_s - self._hold_s) * HOLD_WEIGHT
            self._set_open(program_id, None)

    def poll(self, now_s: float) -> list[Granted | Rejected | Park]:
        """Grant, refuse and park whatever is due."""
        self._lapse(now_s)
        effects = list(self._expire(now_s))
        while len(self._running) < self.concurrency_limit(now_s):
            chosen = self._choose(now_s)
            if chosen is None:
                break
            waiting, parked = chosen
            effects += [self._park(program_id) for program_id in parked]
            effects.append(self._grant(waiting, now_s))
        return effects

    def _park(self, program_id):
        tokens = self._open[program_id].tokens
        self._parked[program_id] = tokens
        self._set_open(program_id, None)
        taken = sum(self._exported.values()) + tokens
        exports = self.policy.export and taken <= self.server.export_tokens
        if exports:
            self._exported[program_id] = tokens
        return Park(program_id, exports)

    def _grant(self, waiting, now_s):
        request = waiting.request
        self._unqueue(request.grant_id)
        self._parked.pop(request.program_id, None)
        exported = self._exported.pop(request.program_id, None)
        held = self._open.get(request.program_id)
        self._running[request.grant_id] = _Running(
            request, now_s, now_s + GRANT_LEASE_S, waiting.service_s
        )
        self._set_open(
            request.program_id,
            _Open(
                tokens=request.prompt_tokens + request.answer_tokens,
                opened_at_s=held.opened_at_s if held else now_s,
                is_short=self._is_short(request.prompt_tokens),
            ),
        )
        grant = messages.Grant(
            self.server.name, request.grant_id, GRANT_LEASE_S
        )
        return Granted(grant, request.program_id, exported is not None)

    def _unqueue(self, grant_id):
        waiting = self._waiting.pop(grant_id, None)
        if waiting is not None:
            self._queued_s -= waiting.service_s

    def _set_open(self, program_id, held):
        """Replace or remove an admitted program and keep the sums."""
        before = self._open.pop(program_id, None)
        if before is not None:
            self._used_tokens -= before.tokens
            self._long_tokens -= 0 if before.is_short else before.tokens
        if held is not None:
            self._open[program_id] = held
            self._used_tokens += held.tokens
            self._long_tokens += 0 if held.is_short else held.tokens

    def _choose(self, now_s):
        """Return the next request to grant and the programs to park."""
        if not self._waiting:
            return None
        ranked = sorted(
            self._waiting.values(), key=lambda w: self._rank(w, now_s)
        )
        may_park = self.policy.park
        for waiting in ranked:
            if self._fits(waiting):
                return waiting, []
            if not self._may_start(waiting.request):
                continue
            if self._is_held_back(waiting):
                continue
            is_open = waiting.request.program_id in self._open
            if may_park or is_open:
                may_park = False
                parked = self._parkable(waiting)
                if parked is not None:
                    return waiting, parked
            if is_open:
                return waiting, []
        return None

    def _rank(self, waiting, now_s):
        """Order: priority, slack, residents, then the oldest program."""
        request = waiting.request
        if not self.policy.order:
            return (waiting.arrived_at_s,)
        waited_s = now_s - waiting.arrived_at_s
        is_open = request.program_id in self._open
        return (
            PRIORITIES.index(request.priority),
            request.slack_s - waited_s if request.slack_s >= 0 else 0.0,
            not is_open,
            self._born_at_s.get(request.program_id, now_s),
        )

    def _is_held_back(self, waiting):
        return waiting.request.suspect and self._runs_suspect()

    def _fits(self, waiting):
        """Tell whether a request may run without parking a program."""
        request = waiting.request
        if self._is_held_back(waiting):
            return False
        if not self.policy.gate:
            return True
        is_child = '/' in request.program_id
        if is_child or request.priority == 'urgent' or not self._open:
            return True
        return self._missing_tokens(request) <= 0

    def _may_start(self, request):
        """Tell whether one more program may take part in the rotation."""
        known = self._parked.keys() | self._open.keys()
        if request.program_id in known or request.priority != STANDARD:
            return True
        if self._is_short(request.prompt_tokens):
            return True
        parked_tokens = sum(self._parked.values())
        taken = self._used_tokens + parked_tokens + request.prompt_tokens
        return taken <= self.server.cache_tokens * self.policy.overcommit

    def _missing_tokens(self, request):
        """Return what a request needs beyond the room that is left."""
        needed = request.prompt_tokens + request.answer_tokens
        needed -= self.resident_tokens(request.program_id)
        room = self._room(self._is_short(request.prompt_tokens))
        return needed - max(0.0, room)

    def _runs_suspect(self):
        """Tell whether a request runs that was in flight at a crash.

        Only one at a time: at a second crash the guilty one is then known.
        """
        return any(r.request.suspect for r in self._running.values())

    def _room(self, is_short):
        """Return the tokens that a program of one kind may still take."""
        cache_tokens = self.server.cache_tokens
        room = cache_tokens * self.policy.fill - self._used_tokens
        if is_short:
            return room
        long_share = self.policy.fill - self.policy.short_share
        return min(room, cache_tokens * long_share - self._long_tokens)

    def _parkable(self, waiting):
        """Choose idle programs to park; None where that is not enough.

        A program whose turn is over may make room, since its caller takes
        long as a rule and a free slot would stay idle; one in a tool pause
        only for an older program.
        """
        needed = self._missing_tokens(waiting.request)
        born_at_s = self._born_at_s[waiting.request.program_id]
        active = {r.request.program_id for r in self._running.values()}
        active |= {w.request.program_id for w in self._waiting.values()}
        idle = [
            (not held.awaits_caller, held.tokens < needed, held.tokens, name)
            for name, held in self._open.items()
            if name not in active
            and (held.awaits_caller or self._born_at_s[name] > born_at_s)
        ]
        chosen = []
        for _, _, tokens, name in sorted(idle):
            chosen.append(name)
            needed -= tokens
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
        service_s = self._service_s(request)
        is_new = request.attained_tokens == 0 and resident == 0
        wait_s = self._queue_wait_s(request, now_s)
        if is_new and wait_s > self.policy.backlog_s:
            return Rejected(request.grant_id, 'overloaded', wait_s)
        if 0 <= request.slack_s < wait_s + service_s and is_new:
            return Rejected(request.grant_id, 'would_be_late', wait_s)
        return None

    def _queue_wait_s(self, request, now_s):
        """Estimate the wait behind requests of the same or higher rank."""
        rank = PRIORITIES.index(request.priority)
        ahead_s = sum(
            waiting.service_s
            for waiting in self._waiting.values()
            if PRIORITIES.index(waiting.request.priority) <= rank
        )
        return self._remaining_s(now_s) + ahead_s / self.server.slots

    def _slot_wait_s(self, now_s):
        return self._remaining_s(now_s) + self._queued_s / self.server.slots

    def _remaining_s(self, now_s):
        """Estimate when the next slot is free."""
        if len(self._running) < self.concurrency_limit(now_s):
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

    def _service_s(self, request):
        """Estimate the slot time of a request."""
        server = self.server
        exported = self._exported.get(request.program_id, 0)
        known = self.resident_tokens(request.program_id) or exported
        fresh_tokens = max(0, request.prompt_tokens - known)
        service_s = fresh_tokens / server.prefill_tokens_per_s
        service_s += request.answer_tokens / server.decode_tokens_per_s
        if exported:
            service_s += exported / server.import_tokens_per_s
        return service_s

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
            self._unqueue(grant_id)
            yield Rejected(grant_id, 'overloaded', self._slot_wait_s(now_s))
