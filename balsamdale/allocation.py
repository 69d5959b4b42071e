"""Slots for the requests of an entry, asked for at the allocators.

A request asks before each attempt and holds its slot until the attempt has
ended. While an allocator is silent the entry chooses servers by itself,
within its share of the slots.
"""

import asyncio
from collections import abc as collections_abc
import contextlib
import dataclasses
import itertools
import math
import typing

from balsamdale import allocation_messages as messages
from balsamdale import allocators
from balsamdale import decisions
from balsamdale import discovery
from balsamdale import errors
from balsamdale import holdings
from balsamdale import link
from balsamdale import metrics
from balsamdale import request_state
from balsamdale.scheduling import balance
from balsamdale.scheduling import slot_reports
from balsamdale import wire

__all__ = ['SlotClient']

# Time for the first reply of an allocator: many round trips of 0.4 ms, and
# short against the objectives of 68 ms and more.
REPLY_TIMEOUT_S = 0.04
# Part of a timeout that is left for reading a reply that has arrived.
READ_TIME_SHARE = 0.25
# Silence while a request waits; three keepalives of the allocator.
QUEUED_SILENCE_S = 0.3
# Allocators that one attempt may ask: that of the domain, its successor if
# it is leaving, and that of another domain.
MAX_ASKED = 3
# Longest wait for the load if it is not known; a few round trips within a
# failure domain.
REFRESH_WAIT_S = 0.01
# Waits that are logged.
LONG_WAIT_S = 0.05
# Weight of the latest request in the expected work of its route.
WORK_SMOOTHING = 0.1
# Programs that are known to be in progress.
PROGRAM_LIMIT = 4096
# Retry-After while the entry is at its own share of the slots: about the
# time of one answer.
FALLBACK_RETRY_AFTER_S = 0.3
# Refusals after which an entry asks another allocator, or chooses itself.
LEAVING = 'leaving'
UNDECIDED_REASONS = ('stale', 'no_server')
# Replies after which the allocator knows that no slot is held.
DECIDED = (messages.SlotRefused, messages.SlotElsewhere)


@dataclasses.dataclass(frozen=True)
class _Slot:
    """A slot that a request holds."""

    book: holdings.Holdings
    hold_id: int
    choice: balance.Choice
    allocator_id: str
    since_s: float
    source: str


class SlotClient(request_state.SlotSource):
    """Asks the allocators for slots, and reports to them what is held.

    Args:
        links: connections to peers.
        allocators_: finds the allocators.
        directory: the registered backend servers.
        mode: 'on': every attempt asks; 'off': none does; 'auto': those ask
            whose allocator has few free slots left, and the others choose
            by the loads that it reports.
        is_for_all: whether 'auto' is for all services, and not only for
            those whose servers report a slowdown.
        balancer: chooses servers by this entry's own view.
        clock: returns the present time of the monotonic clock in seconds.
        started_ms: start of this entry, since the Unix epoch.
        record_wait: records how long a request waited, by its outcome.

    Attributes:
        counts: attempts by how they got a slot: 'allocated', 'chosen' by
            this entry while slots are free, 'fallback' or 'refused'.
    """

    def __init__(
        self,
        links: link.Links,
        allocators_: allocators.Allocators,
        directory: discovery.Directory,
        mode: typing.Literal['auto', 'on', 'off'],
        is_for_all: bool,
        balancer: balance.Balancer,
        clock: collections_abc.Callable[[], float],
        started_ms: int,
        record_wait: metrics.RecordValue,
    ):
        self._links = links
        self._allocators = allocators_
        self._directory = directory
        self._mode = mode
        self._is_for_all = is_for_all
        self._clock = clock
        self._reporter = holdings.Reporter(
            links, allocators_, clock, started_ms, balancer
        )
        self._record_wait = record_wait
        self._hold_ids = itertools.count(1)
        self._auto_services: set[str] = set()
        self._work_s: dict[str, float] = {}
        self._programs: dict[str, None] = {}
        self.counts = dict.fromkeys(
            ('allocated', 'chosen', 'fallback', 'refused'), 0
        )

    def is_used(self, service: str) -> bool:
        return self._mode == 'on' or (
            self._mode == 'auto'
            and (self._is_for_all or service in self._auto_services)
        )

    def prepare(self, service: str) -> None:
        if self._mode == 'auto' and self.is_used(service):
            domain = self._allocators.home_domain(service)
            self._reporter.refresh(self._reporter.book(service, domain))

    def record_load(
        self, server: discovery.Server, load: wire.LoadReport
    ) -> None:
        if load.has_slowdown:
            self._auto_services.add(server.service)
        if self.is_used(server.service):
            book = self._reporter.book(server.service, server.failure_domain)
            book.loads[server.server_id] = load, self._clock()

    def record_outcome(
        self, server: discovery.Server, outcome: balance.Outcome
    ) -> None:
        if self.is_used(server.service):
            book = self._reporter.book(server.service, server.failure_domain)
            book.outcomes.append((server.server_id, outcome))

    def record_reachable(
        self, server: discovery.Server, is_reachable: bool
    ) -> None:
        if not self.is_used(server.service):
            return
        book = self._reporter.book(server.service, server.failure_domain)
        if is_reachable:
            book.unreachable.discard(server.server_id)
        else:
            book.unreachable.add(server.server_id)
        self._reporter.report_change(book)

    @contextlib.asynccontextmanager
    async def acquire(
        self,
        state: request_state.RequestState,
        excluded: collections_abc.Set[str],
        choose: request_state.Choose,
    ) -> collections_abc.AsyncIterator[balance.Choice]:
        started_s = self._clock()
        outcome = 'cancelled'
        try:
            slot = await self._allocate(state, excluded, choose)
            outcome = slot.source
            state.allocator = slot.allocator_id
            self.counts[outcome] += 1
        except errors.Refused:
            outcome = 'refused'
            self.counts[outcome] += 1
            raise
        finally:
            waited_s = self._clock() - started_s
            state.waited_s += waited_s
            self._record_wait(waited_s, {'outcome': outcome})
        try:
            if waited_s > LONG_WAIT_S:
                decisions.record(
                    'slot_waited',
                    id=state.call.request_id,
                    allocator=slot.allocator_id,
                    server=slot.choice.server.server_id,
                    waited_s=round(waited_s, 4),
                    rank=state.priority,
                    told_age_s=round(min(slot.choice.report_age_s, 999.0), 2),
                )
            yield slot.choice
        finally:
            self._release(state, slot)

    async def run(self) -> None:
        """Report what is held until cancelled."""
        await self._reporter.run()

    def close(self) -> None:
        """Stop reporting."""
        self._reporter.close()

    async def _allocate(self, state, excluded, choose):
        """Return a slot, from an allocator or by the entry's own choice."""
        service = state.service.name
        domain = self._allocators.home_domain(service)
        slot = await self._choose(state, excluded, choose, domain)
        if slot is not None:
            return slot
        is_forwarded = False
        allocator_id = ''
        for _ in range(MAX_ASKED):
            allocator_id = self._allocators.find(service, domain)
            if not allocator_id:
                return self._fall_back(state, excluded, choose, '', 'none')
            book = self._reporter.book(service, domain)
            slot, reply = await self._ask(
                book, allocator_id, state, excluded, is_forwarded
            )
            if slot is not None:
                return slot
            if isinstance(reply, messages.SlotElsewhere):
                if is_forwarded:
                    break
                domain, is_forwarded = reply.failure_domain, True
                continue
            if not isinstance(reply, messages.SlotRefused):
                break
            if reply.reason == LEAVING:
                self._allocators.mark_leaving(allocator_id)
            elif reply.reason in UNDECIDED_REASONS:
                break
            else:
                raise _refused(state, reply.reason, reply.retry_after_s)
        return self._fall_back(
            state, excluded, choose, allocator_id, _reason(reply)
        )

    async def _choose(self, state, excluded, choose, domain):
        """Return a slot by this entry's own choice while many are free."""
        if self._mode != 'auto':
            return None
        book = self._reporter.book(state.service.name, domain)
        self._reporter.refresh(book)
        if book.refresh_task is not None:
            await asyncio.wait({book.refresh_task}, timeout=REFRESH_WAIT_S)
        is_probe_possible = book.ejected and (
            state.route.is_idempotent or state.route.can_resume
        )
        if book.is_contended or is_probe_possible:
            return None
        choice = choose(state, book.ejected | excluded)
        if choice is None:
            return None
        slot = self._hold(book, next(self._hold_ids), choice, '', state)
        self._reporter.report_change(slot.book)
        return slot

    async def _ask(self, book, allocator_id, state, excluded, is_forwarded):
        """Ask an allocator; return a slot or None, and its last reply.

        The reply is None if the allocator is silent.
        """
        breaker = self._reporter.breaker(allocator_id)
        if not breaker.try_pass(self._clock()):
            return None, None
        hold_id = next(self._hold_ids)
        book.awaited.add(hold_id)
        replies = self._links.stream(
            allocator_id,
            self._request(
                book, hold_id, allocator_id, state, excluded, is_forwarded
            ),
        )
        slot = reply = None
        timeout_s = REPLY_TIMEOUT_S
        try:
            while reply is None or isinstance(reply, messages.SlotQueued):
                reply = await _next_reply(replies, timeout_s)
                breaker.record_reply(self._clock())
                self._reporter.note_reply(book, reply)
                timeout_s = QUEUED_SILENCE_S
            if isinstance(reply, messages.SlotAllocated):
                slot = self._begin(book, hold_id, allocator_id, state, reply)
        except (TimeoutError, StopAsyncIteration, errors.LinkError):
            reply = None
            breaker.record_silence(self._clock())
        finally:
            breaker.is_probing = False
            book.awaited.discard(hold_id)
            if slot is None and not isinstance(reply, DECIDED):
                self._reporter.report_change(book)
            await replies.aclose()
        return slot, reply

    def _request(
        self, book, hold_id, allocator_id, state, excluded, is_forwarded
    ):
        call, now_s = state.call, self._clock()
        program_remaining_s = call.program_time_left_s
        if program_remaining_s is not None:
            program_remaining_s -= now_s - state.started_s
        program_id = state.record_ids.program_id if call.program_id else ''
        caller_key = program_id or request_state.digest(call)
        return messages.AllocateSlot(
            service=book.service,
            failure_domain=book.failure_domain,
            report=self._reporter.report(book, allocator_id),
            hold_id=hold_id,
            request_id=call.request_id,
            remaining_s=_duration(state.deadline_s - now_s),
            program_remaining_s=program_remaining_s,
            rank=min(messages.MAX_RANK, max(0, state.priority)),
            is_in_progress=self._is_in_progress(state, program_id),
            work_s=_duration(self._work_s.get(state.route.name, 0.0)),
            workspace=call.workspace,
            return_key=f'{call.workspace}|{caller_key}',
            affinity=state.affinity,
            excluded=tuple(excluded),
            prompt_tokens=call.prompt_tokens,
            tokens=call.prompt_tokens + call.answer_tokens,
            memory_tokens=state.service.memory_tokens,
            is_retryable=state.route.is_idempotent or state.route.can_resume,
            is_forwarded=is_forwarded,
        )

    def _is_in_progress(self, state, program_id):
        """Return whether the request's program has begun to be served."""
        return bool(
            state.call.parent_id
            or state.attempts
            or program_id in self._programs
        )

    def _begin(self, book, hold_id, allocator_id, state, reply):
        """Return the allocated slot; None if its server is not known here."""
        server = next(
            (
                s
                for s in self._directory.ready(book.service)
                if s.server_id == reply.server_id
            ),
            None,
        )
        if server is None:
            return None
        choice = balance.Choice(
            server,
            reply.load,
            reply.cost,
            reply.report_age_s,
            reply.factor,
        )
        return self._hold(
            book, hold_id, choice, allocator_id, state, 'allocated'
        )

    def _hold(
        self, book, hold_id, choice, allocator_id, state, source='chosen'
    ):
        call = state.call
        book.held[hold_id] = slot_reports.Hold(
            hold_id,
            choice.server.server_id,
            call.prompt_tokens + call.answer_tokens,
        )
        if call.program_id:
            self._programs.pop(state.record_ids.program_id, None)
            self._programs[state.record_ids.program_id] = None
            while len(self._programs) > PROGRAM_LIMIT:
                del self._programs[next(iter(self._programs))]
        return _Slot(
            book, hold_id, choice, allocator_id, self._clock(), source
        )

    def _release(self, state, slot):
        """Free a slot; its allocator learns it with the next report."""
        del slot.book.held[slot.hold_id]
        held_s = self._clock() - slot.since_s
        name = state.route.name
        if state.status == 200:
            previous_s = self._work_s.get(name, held_s)
            self._work_s[name] = previous_s + WORK_SMOOTHING * (
                held_s - previous_s
            )
        self._reporter.report_change(slot.book)

    def _fall_back(self, state, excluded, choose, allocator_id, reason):
        """Choose a server as entries without allocators do.

        Raises:
            Refused: this entry holds its share of the slots, or the servers
                are full.
        """
        service = state.service.name
        domain = self._allocators.home_domain(service)
        total = sum(s.slots for s in self._allocators.servers(service, domain))
        entries = max(1, self._allocators.count_asking(service, domain))
        share = max(1, math.ceil(total / entries))
        held = self._reporter.count_held(service)
        # Where entries choose by themselves while slots are free, they also
        # do while the allocator is silent.
        is_within_share = self._mode == 'auto' or held < share
        choice = choose(state, excluded) if is_within_share else None
        breaker = self._reporter.breaker(allocator_id)
        decisions.record(
            'slot_fallback',
            id=state.call.request_id,
            service=service,
            allocator=allocator_id,
            reason=reason,
            held=held,
            share=share,
            server=choice.server.server_id if choice is not None else '',
            told_age_s=round(self._clock() - breaker.heard_s, 2),
        )
        if choice is None:
            raise _refused(state, reason, FALLBACK_RETRY_AFTER_S)
        book = self._reporter.book(service, choice.server.failure_domain)
        return self._hold(
            book, next(self._hold_ids), choice, '', state, 'fallback'
        )


def _refused(state, reason, retry_after_s):
    return errors.Refused(
        'no_room',
        503,
        f'service {state.service.name} has no slot in time: {reason}',
        'no',
        retry_after_s,
    )


async def _next_reply(replies, timeout_s):
    """Return the next reply.

    The last part of the time is waited for separately: a loop that was busy
    until the first part ended has had no time to read a reply.

    Raises:
        TimeoutError: none came in time.
    """
    pending = asyncio.ensure_future(anext(replies))
    try:
        for part in (1 - READ_TIME_SHARE, READ_TIME_SHARE):
            await asyncio.wait({pending}, timeout=part * timeout_s)
            if pending.done():
                return pending.result()
        raise TimeoutError
    finally:
        if not pending.done():
            pending.cancel()
            await asyncio.wait({pending})


def _duration(value_s):
    return min(messages.MAX_DURATION_S, max(0.0, value_s))


def _reason(reply):
    """Return why an entry chooses by itself after this last reply."""
    if reply is None:
        return 'silent'
    return getattr(reply, 'reason', type(reply).__name__)
