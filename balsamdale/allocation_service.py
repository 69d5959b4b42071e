"""Allocation of slots to the entries, at the instance that allocates.

The decisions are in `scheduling.slots`; this module passes them on.
"""

import asyncio
from collections import abc as collections_abc
import dataclasses
import functools

from balsamdale import allocation_messages as messages
from balsamdale import allocators
from balsamdale import background
from balsamdale import decisions
from balsamdale import errors
from balsamdale import link
from balsamdale.scheduling import admission
from balsamdale.scheduling import slots

__all__ = ['SlotService']

# Interval of the checks of the queue while requests wait.
CHECK_INTERVAL_S = 0.02
# Interval of the keepalives of a request that waits.
QUEUED_INTERVAL_S = 0.1
# Shortest interval between reports to the other domains, and the longest
# while requests arrive; shorter than they are valid.
LOAD_REPORT_INTERVAL_S = 0.1
MAX_LOAD_REPORT_INTERVAL_S = 0.4
# Time after the last request in which the other domains are told the load.
ACTIVE_S = 2.0
# Smaller changes of the load are reported with the next regular report.
MIN_WAIT_CHANGE_S = 0.02
MIN_FREE_CHANGE = 4
LOAD_REPORT_TIMEOUT_S = 0.3


@dataclasses.dataclass
class _Running:
    """An allocator at work, and the replies that are due."""

    service: str
    failure_domain: str
    allocator: slots.SlotAllocator
    waiters: dict[tuple[str, int], asyncio.Future] = dataclasses.field(
        default_factory=dict
    )
    request_ids: dict[tuple[str, int], str] = dataclasses.field(
        default_factory=dict
    )
    is_checking: bool = False
    is_reporting: bool = False
    asked_at_s: float = 0.0


class SlotService:
    """Serves the allocators that run at this instance.

    Args:
        links: connections to peers.
        allocators_: finds the other allocators.
        clock: returns the present time of the monotonic clock in seconds.
        incarnation: start of this instance, since the Unix epoch in ms.
        is_leaving: returns whether this instance is shutting down.
        compares_finish: see `balance.Balancer`.

    Attributes:
        counts: decisions by kind; refusals by reason.
    """

    def __init__(
        self,
        links: link.Links,
        allocators_: allocators.Allocators,
        clock: collections_abc.Callable[[], float],
        incarnation: int,
        is_leaving: collections_abc.Callable[[], bool],
        compares_finish: bool = False,
    ):
        self._links = links
        self._allocators = allocators_
        self._clock = clock
        self._incarnation = incarnation
        self._is_leaving = is_leaving
        self._compares_finish = compares_finish
        self._running: dict[tuple[str, str], _Running] = {}
        self._background = background.BackgroundTasks('allocation')
        self.counts = dict.fromkeys(
            (
                'allocated',
                'elsewhere',
                'refused_late',
                'refused_displaced',
                'refused_no_server',
                'refused_leaving',
                'stale',
                'malformed',
            ),
            0,
        )
        links.serve(messages.AllocateSlot, self._on_allocate)
        links.serve(messages.SlotsHeld, self._on_held)
        links.serve(messages.ReportDomainLoad, self._on_domain_load)

    @property
    def waiting(self) -> int:
        """Requests that wait for slots now."""
        return sum(r.allocator.waiting for r in self._running.values())

    @property
    def ejected(self) -> int:
        """Servers that the allocators here have ejected."""
        return sum(r.allocator.ejected for r in self._running.values())

    def close(self) -> None:
        """Stop all checks and reports."""
        self._background.cancel()

    async def _on_allocate(self, _sender, message):
        """Reply with `SlotQueued` until one of the other replies decides."""
        running = self._find(message)
        if running is None or self._is_leaving():
            reason = 'leaving' if running is not None else 'no_server'
            self.counts[f'refused_{reason}'] += 1
            yield messages.SlotRefused(self._incarnation, reason, 0.0)
            return
        now_s = running.asked_at_s = self._clock()
        allocator = running.allocator
        allocator.record(message.report, now_s)
        request = messages.to_slot_request(message, now_s)
        waiter = self._add_waiter(running, request.key, message.request_id)
        self._settle(running, allocator.ask(request, now_s))
        self._check_again(running)
        self._report_load(running)
        is_decided = False
        try:
            while not waiter.done() and allocator.is_waiting(request.key):
                yield messages.SlotQueued(self._incarnation)
                await asyncio.wait({waiter}, timeout=QUEUED_INTERVAL_S)
            decision = (
                waiter.result()
                if waiter.done()
                else admission.Refusal(request, 'stale', 0.0, 0.0, 0)
            )
            is_decided = True
            yield _reply(decision, self._incarnation, bool(allocator.waiting))
        finally:
            if running.waiters.get(request.key) is waiter:
                del running.waiters[request.key]
                running.request_ids.pop(request.key, None)
                if not is_decided:
                    allocator.cancel(request.key, self._clock())
                    self._advance(running)

    async def _on_held(self, _sender, message):
        running = self._find(message)
        has_waiting, summary = False, None
        if running is not None:
            now_s = running.asked_at_s = self._clock()
            running.allocator.record(message.report, now_s)
            self._advance(running)
            has_waiting = bool(running.allocator.waiting)
            if not self._is_leaving():
                summary = running.allocator.summary(now_s)
                self._report_load(running)
        yield messages.SlotsNoted(self._incarnation, has_waiting, summary)

    async def _on_domain_load(self, _sender, message):
        running = self._find(message)
        load = None
        if running is not None and not self._is_leaving():
            now_s = self._clock()
            running.allocator.record_domain(message.load, now_s)
            load = running.allocator.domain_load(now_s)
        yield messages.DomainLoadNoted(load)

    def _find(self, message):
        """Return the allocator of a message, with its present servers.

        Raises:
            UnknownMessage: the message is malformed.
        """
        mistake = messages.find_mistake(message)
        if mistake:
            self.counts['malformed'] += 1
            decisions.record(
                'slot_message_malformed',
                kind=type(message).__name__,
                service=message.service,
                reason=mistake,
            )
            raise errors.UnknownMessage(mistake)
        key = (message.service, message.failure_domain)
        servers = self._allocators.servers(*key)
        if key not in self._running:
            if not servers:
                return None
            self._running[key] = _Running(
                *key,
                slots.SlotAllocator(
                    message.failure_domain,
                    decisions.record,
                    self._compares_finish,
                ),
            )
        self._running[key].allocator.set_servers(servers)
        return self._running[key]

    def _add_waiter(self, running, key, request_id):
        """Return the future of a decision; a duplicate replaces it."""
        waiter = asyncio.get_running_loop().create_future()
        running.waiters[key] = waiter
        running.request_ids[key] = request_id
        return waiter

    def _advance(self, running):
        self._settle(running, running.allocator.advance(self._clock()))
        self._check_again(running)

    def _settle(self, running, made):
        """Pass decisions on to the handlers that wait for them."""
        for decision in made:
            key = decision.request.key
            request_id = running.request_ids.get(key, '')
            waiter = running.waiters.get(key)
            _count(decision, self.counts)
            if isinstance(decision, admission.Refusal):
                self._log_refusal(running, decision, request_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(decision)
            elif isinstance(decision, slots.Granted):
                running.allocator.cancel(key, self._clock())

    def _log_refusal(self, running, refusal, request_id):
        now_s = self._clock()
        request = refusal.request
        decisions.record(
            'slot_refused',
            id=request_id,
            service=running.service,
            domain=running.failure_domain,
            peer=request.entry_id,
            reason=refusal.reason,
            rank=request.rank,
            in_progress=request.is_in_progress,
            ahead=refusal.ahead,
            start_s=round(min(refusal.start_s, 999.0), 3),
            remaining_s=round(request.deadline_s - now_s, 3),
            waited_s=round(now_s - request.arrived_s, 3),
            retry_after_s=round(refusal.retry_after_s, 3),
            told_age_s=round(running.allocator.heard_age_s(now_s), 3),
        )

    def _check_again(self, running):
        """Check the queue at an interval while requests wait."""
        if running.allocator.waiting and not running.is_checking:
            running.is_checking = True
            self._background.spawn(self._run_checks(running))

    async def _run_checks(self, running):
        try:
            while running.allocator.waiting:
                await asyncio.sleep(CHECK_INTERVAL_S)
                key = (running.service, running.failure_domain)
                running.allocator.set_servers(self._allocators.servers(*key))
                now_s = self._clock()
                self._settle(running, running.allocator.advance(now_s))
                if self._is_leaving():
                    self._refuse_waiting(running)
        finally:
            running.is_checking = False

    def _refuse_waiting(self, running):
        """Refuse what waits, so that it asks the next allocator."""
        for key, waiter in list(running.waiters.items()):
            if not waiter.done() and running.allocator.is_waiting(key):
                request = running.allocator.withdraw(key)
                self.counts['refused_leaving'] += 1
                waiter.set_result(
                    admission.Refusal(request, 'leaving', 0.0, 0.0, 0)
                )

    def _report_load(self, running):
        if not running.is_reporting:
            running.is_reporting = True
            self._background.spawn(self._run_load_reports(running))

    async def _run_load_reports(self, running):
        """Tell the allocators of the other domains the load of this one."""
        last_load, sent_at_s = None, 0.0
        try:
            while not self._is_leaving():
                now_s = self._clock()
                if now_s - running.asked_at_s > ACTIVE_S:
                    return
                load = running.allocator.domain_load(now_s)
                is_due = now_s - sent_at_s >= MAX_LOAD_REPORT_INTERVAL_S
                if is_due or _has_changed(last_load, load):
                    last_load, sent_at_s = load, now_s
                    await asyncio.gather(
                        *(
                            self._send_load(running, domain, load)
                            for domain in self._allocators.domains(
                                running.service
                            )
                            if domain != running.failure_domain
                        )
                    )
                await asyncio.sleep(LOAD_REPORT_INTERVAL_S)
        finally:
            running.is_reporting = False

    async def _send_load(self, running, domain, load):
        peer_id = self._allocators.find(running.service, domain)
        message = messages.ReportDomainLoad(running.service, domain, load)
        try:
            reply = await self._links.request(
                peer_id, message, LOAD_REPORT_TIMEOUT_S
            )
        except errors.LinkError as error:
            decisions.record('report_lost', peer=peer_id, reason=str(error))
            return
        if reply.load is not None:
            running.allocator.record_domain(reply.load, self._clock())


def _has_changed(last_load, load):
    if last_load is None:
        return True
    return (
        abs(last_load.wait_s - load.wait_s) > MIN_WAIT_CHANGE_S
        or abs(last_load.free_slots - load.free_slots) >= MIN_FREE_CHANGE
        or (last_load.free_slots > 0) != (load.free_slots > 0)
    )


@functools.singledispatch
def _count(decision, counts):
    raise TypeError(type(decision).__name__)


@_count.register
def _count_refusal(decision: admission.Refusal, counts):
    kind = f'refused_{decision.reason}'
    counts[kind if kind in counts else 'stale'] += 1


@_count.register
def _count_granted(decision: slots.Granted, counts):
    counts['allocated'] += 1


@_count.register
def _count_elsewhere(decision: slots.Elsewhere, counts):
    counts['elsewhere'] += 1


@functools.singledispatch
def _reply(decision, incarnation, has_waiting):
    raise TypeError(type(decision).__name__)


@_reply.register
def _reply_refused(decision: admission.Refusal, incarnation, has_waiting):
    return messages.SlotRefused(
        incarnation, decision.reason, decision.retry_after_s
    )


@_reply.register
def _reply_granted(decision: slots.Granted, incarnation, has_waiting):
    choice = decision.choice
    return messages.SlotAllocated(
        incarnation,
        choice.server.server_id,
        choice.load,
        choice.cost,
        min(choice.report_age_s, messages.MAX_DURATION_S),
        has_waiting,
        choice.factor,
    )


@_reply.register
def _reply_elsewhere(decision: slots.Elsewhere, incarnation, has_waiting):
    return messages.SlotElsewhere(incarnation, decision.failure_domain)
