"""The request queue of one backend server and its scheduling policy.

Engines know no priorities and choose blindly which prefixes to evict, so
the queue, the limit on requests in flight and the admission of working sets
are decided here. `Dispatcher` performs no I/O; the present time is an
argument.
"""

import dataclasses

from balsamdale import declaration
from balsamdale import messages

__all__ = ['Dispatcher', 'Granted', 'Park', 'Policy', 'Rejected']

GRANT_LEASE_S = 3.0
# Weight of the newest program in the moving average of residence times.
RESIDENCE_SMOOTHING = 0.1
STANDARD_PRIORITY = 'standard'
PRIORITIES = ('urgent', 'deadline', STANDARD_PRIORITY)


@dataclasses.dataclass(frozen=True)
class Policy:
    """Switches and bounds of the queue's policy.

    Attributes:
        gate: admit a program only if its working set fits.
        park: evict idle programs' prefixes to admit waiting programs.
        export: export parked prefixes if the engine supports it.
        release: evict the prefix of an ended program at once.
        order: queue by priority, slack, admission and program age, instead
            of by arrival.
        early_refusal: refuse a request of a new program if it would be late
            or would wait longer than `backlog_s`.
        fill: fraction of the cache that admitted working sets may take.
        overcommit: admitted and parked working sets together, as a multiple
            of the cache, up to which a further long program is admitted.
        short_share: fraction of the cache reserved for short programs.
        short_tokens: longest prompt of a short program, as a fraction of
            the cache.
        backlog_s: longest expected wait at which new programs are queued.
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

    `imports` says that the program's exported prefix must be imported
    first.
    """

    grant: messages.Grant
    program_id: str
    imports: bool


@dataclasses.dataclass(frozen=True)
class Rejected:
    """A request is refused; it did not run."""

    grant_id: str
    code: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Park:
    """An idle program's prefix must be evicted from the engine's cache.

    `exports` says that it must be exported, so that it need not be
    prefilled again.
    """

    program_id: str
    exports: bool


@dataclasses.dataclass(frozen=True)
class _QueuedRequest:
    request: messages.GrantRequest
    arrived_at_s: float
    service_s: float


@dataclasses.dataclass(frozen=True)
class _OutstandingGrant:
    request: messages.GrantRequest
    granted_at_s: float
    expires_at_s: float
    service_s: float


@dataclasses.dataclass(frozen=True)
class _AdmittedProgram:
    """A program whose working set may be in the engine's cache."""

    tokens: int
    admitted_at_s: float
    is_short: bool
    awaits_caller: bool = False


class Dispatcher:
    """Queues and dispatches the requests of one backend server.

    Args:
        server: the backend server.
        policy: switches and bounds.
        started_at_s: when this dispatcher started.
        is_first: whether no earlier dispatcher can have outstanding grants.
            Otherwise half of the concurrency limit is used until those
            have expired.
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
        self._full_limit_at_s = started_at_s + (
            0.0 if is_first else GRANT_LEASE_S
        )
        self._queued: dict[str, _QueuedRequest] = {}
        self._outstanding: dict[str, _OutstandingGrant] = {}
        self._admitted: dict[str, _AdmittedProgram] = {}
        self._parked: dict[str, int] = {}
        self._exported: dict[str, int] = {}
        self._first_seen_at_s: dict[str, float] = {}
        self._admitted_tokens = 0
        self._admitted_long_tokens = 0
        self._queued_service_s = 0.0
        self._mean_residence_s = 30.0

    @property
    def waiting_count(self) -> int:
        """Number of requests in the queue."""
        return len(self._queued)

    @property
    def running_count(self) -> int:
        """Number of outstanding grants."""
        return len(self._outstanding)

    def waiting_ids(self) -> list[str]:
        """Return the grant ids in the queue."""
        return list(self._queued)

    def concurrency_limit(self, now_s: float) -> int:
        """Return how many grants may be outstanding."""
        slots = self.server.slots
        return slots if now_s >= self._full_limit_at_s else max(1, slots // 2)

    def resident_tokens(self, program_id: str) -> int:
        """Return how many of a program's tokens the engine likely caches."""
        admitted = self._admitted.get(program_id)
        return admitted.tokens if admitted else 0

    def estimate(
        self, request: messages.QuoteRequest, now_s: float
    ) -> messages.Quote:
        """Estimate when a call would finish."""
        resident = self.resident_tokens(request.program_id)
        service_s = self._estimate_service_s(request)
        wait_s = self._slot_wait_s(now_s)
        if resident == 0 and self.policy.gate:
            wait_s += self._admission_wait_s(request.prompt_tokens)
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
        """Queue a request, or refuse it at once if it would be late."""
        if request.grant_id in self._outstanding:
            return []
        refusal = self._early_refusal(request, now_s)
        if refusal is not None:
            return [refusal]
        if request.grant_id not in self._queued:
            self._first_seen_at_s.setdefault(request.program_id, now_s)
            service_s = self._estimate_service_s(request)
            self._queued_service_s += service_s
            self._queued[request.grant_id] = _QueuedRequest(
                request, now_s, service_s
            )
        return []

    def cancel(self, grant_id: str) -> None:
        """Remove a queued request whose owner no longer waits."""
        self._dequeue(grant_id)

    def renew(self, grant_id: str, now_s: float) -> bool:
        """Extend a grant's lease; return whether it was still outstanding."""
        running = self._outstanding.get(grant_id)
        if running is None:
            return False
        self._outstanding[grant_id] = dataclasses.replace(
            running, expires_at_s=now_s + GRANT_LEASE_S
        )
        return True

    def finish_grant(self, done: messages.GrantDone, now_s: float) -> None:
        """End a grant and account for the tokens that stay cached."""
        self._outstanding.pop(done.grant_id, None)
        admitted = self._admitted.get(done.program_id)
        if done.ended:
            self.end_program(done.program_id, now_s)
        elif admitted is not None:
            tokens = max(done.resident_tokens, 0)
            self._set_admitted(
                done.program_id,
                dataclasses.replace(
                    admitted,
                    tokens=tokens,
                    is_short=self._is_short(tokens),
                    awaits_caller=done.awaits_caller,
                ),
            )

    def end_program(self, program_id: str, now_s: float) -> None:
        """Free the working set of a program that has ended."""
        admitted = self._admitted.get(program_id)
        self._first_seen_at_s.pop(program_id, None)
        self._parked.pop(program_id, None)
        self._exported.pop(program_id, None)
        if admitted is not None:
            residence_s = now_s - admitted.admitted_at_s
            self._mean_residence_s += (
                residence_s - self._mean_residence_s
            ) * RESIDENCE_SMOOTHING
            self._set_admitted(program_id, None)

    def poll(self, now_s: float) -> list[Granted | Rejected | Park]:
        """Return the grants, refusals and evictions that are due."""
        self._expire_grants(now_s)
        effects = list(self._refuse_expired(now_s))
        while len(self._outstanding) < self.concurrency_limit(now_s):
            chosen = self._choose_next(now_s)
            if chosen is None:
                break
            waiting, parked = chosen
            effects += [self._park(program_id) for program_id in parked]
            effects.append(self._grant(waiting, now_s))
        return effects

    def _park(self, program_id):
        tokens = self._admitted[program_id].tokens
        self._parked[program_id] = tokens
        self._set_admitted(program_id, None)
        taken_tokens = sum(self._exported.values()) + tokens
        exports = (
            self.policy.export and taken_tokens <= self.server.export_tokens
        )
        if exports:
            self._exported[program_id] = tokens
        return Park(program_id, exports)

    def _grant(self, waiting, now_s):
        request = waiting.request
        self._dequeue(request.grant_id)
        self._parked.pop(request.program_id, None)
        exported = self._exported.pop(request.program_id, None)
        admitted = self._admitted.get(request.program_id)
        self._outstanding[request.grant_id] = _OutstandingGrant(
            request, now_s, now_s + GRANT_LEASE_S, waiting.service_s
        )
        self._set_admitted(
            request.program_id,
            _AdmittedProgram(
                tokens=request.prompt_tokens + request.answer_tokens,
                admitted_at_s=admitted.admitted_at_s if admitted else now_s,
                is_short=self._is_short(request.prompt_tokens),
            ),
        )
        grant = messages.Grant(
            self.server.name, request.grant_id, GRANT_LEASE_S
        )
        return Granted(grant, request.program_id, exported is not None)

    def _dequeue(self, grant_id):
        waiting = self._queued.pop(grant_id, None)
        if waiting is not None:
            self._queued_service_s -= waiting.service_s

    def _set_admitted(self, program_id, admitted):
        """Replace or remove an admitted program and update the totals."""
        previous = self._admitted.pop(program_id, None)
        if previous is not None:
            self._admitted_tokens -= previous.tokens
            self._admitted_long_tokens -= (
                0 if previous.is_short else previous.tokens
            )
        if admitted is not None:
            self._admitted[program_id] = admitted
            self._admitted_tokens += admitted.tokens
            self._admitted_long_tokens += (
                0 if admitted.is_short else admitted.tokens
            )

    def _choose_next(self, now_s):
        """Return the next request to grant and the programs to park."""
        if not self._queued:
            return None
        ranked = sorted(
            self._queued.values(), key=lambda w: self._rank(w, now_s)
        )
        may_park = self.policy.park
        for waiting in ranked:
            if self._can_run_without_parking(waiting):
                return waiting, []
            if not self._can_join_rotation(waiting.request):
                continue
            if self._must_wait_as_suspect(waiting):
                continue
            is_admitted = waiting.request.program_id in self._admitted
            if may_park or is_admitted:
                may_park = False
                parked = self._choose_to_park(waiting)
                if parked is not None:
                    return waiting, parked
            if is_admitted:
                return waiting, []
        return None

    def _rank(self, waiting, now_s):
        """Order by priority, slack, admitted first, then program age."""
        request = waiting.request
        if not self.policy.order:
            return (waiting.arrived_at_s,)
        waited_s = now_s - waiting.arrived_at_s
        is_admitted = request.program_id in self._admitted
        return (
            PRIORITIES.index(request.priority),
            request.slack_s - waited_s if request.slack_s >= 0 else 0.0,
            not is_admitted,
            self._first_seen_at_s.get(request.program_id, now_s),
        )

    def _must_wait_as_suspect(self, waiting):
        return waiting.request.suspect and self._has_suspect_running()

    def _can_run_without_parking(self, waiting):
        """Return whether a request may run without parking a program."""
        request = waiting.request
        if self._must_wait_as_suspect(waiting):
            return False
        if not self.policy.gate:
            return True
        is_child = '/' in request.program_id
        if is_child or request.priority == 'urgent' or not self._admitted:
            return True
        return self._missing_tokens(request) <= 0

    def _can_join_rotation(self, request):
        """Return whether a program may join those that rotate by parking."""
        known_ids = self._parked.keys() | self._admitted.keys()
        if (
            request.program_id in known_ids
            or request.priority != STANDARD_PRIORITY
        ):
            return True
        if self._is_short(request.prompt_tokens):
            return True
        parked_tokens = sum(self._parked.values())
        taken_tokens = (
            self._admitted_tokens + parked_tokens + request.prompt_tokens
        )
        return (
            taken_tokens <= self.server.cache_tokens * self.policy.overcommit
        )

    def _missing_tokens(self, request):
        """Return by how many tokens a request exceeds the free capacity."""
        needed_tokens = request.prompt_tokens + request.answer_tokens
        needed_tokens -= self.resident_tokens(request.program_id)
        free_tokens = self._free_tokens(self._is_short(request.prompt_tokens))
        return needed_tokens - max(0.0, free_tokens)

    def _has_suspect_running(self):
        """Return whether a request runs that was in flight at a crash.

        Only one runs at a time, so that a second crash identifies the
        request that causes it.
        """
        return any(r.request.suspect for r in self._outstanding.values())

    def _free_tokens(self, is_short):
        """Return how many tokens a short or long program may still take."""
        cache_tokens = self.server.cache_tokens
        free_tokens = cache_tokens * self.policy.fill - self._admitted_tokens
        if is_short:
            return free_tokens
        long_share = self.policy.fill - self.policy.short_share
        return min(
            free_tokens, cache_tokens * long_share - self._admitted_long_tokens
        )

    def _choose_to_park(self, waiting):
        """Return idle programs to park, or None if that is not enough.

        A program whose turn is over may always be parked: its caller
        usually takes long to reply, and a free slot would stay idle. A
        program that waits for a tool is parked only for an older program.
        """
        needed_tokens = self._missing_tokens(waiting.request)
        first_seen_at_s = self._first_seen_at_s[waiting.request.program_id]
        active = {r.request.program_id for r in self._outstanding.values()}
        active |= {w.request.program_id for w in self._queued.values()}
        idle = [
            (
                not admitted.awaits_caller,
                admitted.tokens < needed_tokens,
                admitted.tokens,
                program_id,
            )
            for program_id, admitted in self._admitted.items()
            if program_id not in active
            and (
                admitted.awaits_caller
                or self._first_seen_at_s[program_id] > first_seen_at_s
            )
        ]
        chosen = []
        for _, _, tokens, program_id in sorted(idle):
            chosen.append(program_id)
            needed_tokens -= tokens
            if needed_tokens <= 0:
                return chosen
        return None

    def _is_short(self, prompt_tokens):
        limit_tokens = self.server.cache_tokens * self.policy.short_tokens
        return prompt_tokens <= limit_tokens

    def _early_refusal(self, request, now_s):
        if not self.policy.early_refusal:
            return None
        resident = self.resident_tokens(request.program_id)
        service_s = self._estimate_service_s(request)
        is_new = request.attained_tokens == 0 and resident == 0
        wait_s = self._queue_wait_s(request, now_s)
        if is_new and wait_s > self.policy.backlog_s:
            return Rejected(request.grant_id, 'overloaded', wait_s)
        if 0 <= request.slack_s < wait_s + service_s and is_new:
            return Rejected(request.grant_id, 'would_be_late', wait_s)
        return None

    def _queue_wait_s(self, request, now_s):
        """Estimate the wait for requests of the same or higher priority."""
        rank = PRIORITIES.index(request.priority)
        ahead_s = sum(
            waiting.service_s
            for waiting in self._queued.values()
            if PRIORITIES.index(waiting.request.priority) <= rank
        )
        return self._next_slot_wait_s(now_s) + ahead_s / self.server.slots

    def _slot_wait_s(self, now_s):
        return (
            self._next_slot_wait_s(now_s)
            + self._queued_service_s / self.server.slots
        )

    def _next_slot_wait_s(self, now_s):
        """Estimate the time until a slot is free."""
        if len(self._outstanding) < self.concurrency_limit(now_s):
            return 0.0
        remaining_s = (
            max(0.0, r.granted_at_s + r.service_s - now_s)
            for r in self._outstanding.values()
        )
        return min(remaining_s, default=0.0)

    def _admission_wait_s(self, prompt_tokens):
        """Estimate the time until a working set fits."""
        waiting_tokens = sum(
            w.request.prompt_tokens
            for w in self._queued.values()
            if w.request.program_id not in self._admitted
        )
        free_tokens = self._free_tokens(self._is_short(prompt_tokens))
        missing = waiting_tokens + prompt_tokens - free_tokens
        if missing <= 0 or not self._admitted:
            return 0.0
        return (
            self._mean_residence_s * missing / max(1, self.server.cache_tokens)
        )

    def _estimate_service_s(self, request):
        """Estimate how long a request occupies a slot."""
        server = self.server
        exported = self._exported.get(request.program_id, 0)
        cached_tokens = self.resident_tokens(request.program_id) or exported
        uncached_tokens = max(0, request.prompt_tokens - cached_tokens)
        service_s = uncached_tokens / server.prefill_tokens_per_s
        service_s += request.answer_tokens / server.decode_tokens_per_s
        if exported:
            service_s += exported / server.import_tokens_per_s
        return service_s

    def _expire_grants(self, now_s):
        expired_grant_ids = [
            grant_id
            for grant_id, running in self._outstanding.items()
            if running.expires_at_s <= now_s
        ]
        for grant_id in expired_grant_ids:
            del self._outstanding[grant_id]

    def _refuse_expired(self, now_s):
        expired = [
            waiting
            for waiting in self._queued.values()
            if now_s - waiting.arrived_at_s > waiting.request.wait_s
        ]
        for waiting in expired:
            grant_id = waiting.request.grant_id
            self._dequeue(grant_id)
            yield Rejected(grant_id, 'overloaded', self._slot_wait_s(now_s))
