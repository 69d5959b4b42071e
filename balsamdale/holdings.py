"""What an entry holds at the servers of each allocator, and its reports.

Each report names all slots that are held or waited for, so that lost and
repeated reports do no harm, and a new allocator knows them after one report
from each entry.
"""

import asyncio
import collections
from collections import abc as collections_abc
import dataclasses
import math

from balsamdale import allocation_messages as messages
from balsamdale import allocators
from balsamdale import background
from balsamdale import decisions
from balsamdale import errors
from balsamdale import link
from balsamdale.scheduling import balance
from balsamdale.scheduling import slot_reports
from balsamdale import wire

__all__ = ['Breaker', 'Holdings', 'Reporter']

# Time after a silence in which no request asks; then a single one does.
PAUSE_S = 0.1
# Delay of the report of a freed slot while no request waits for one: long
# enough to be combined with others, short against a request.
FREED_DELAY_S = 0.02
# Interval of the checks of what was reported, and of regular reports.
CHECK_INTERVAL_S = 0.2
REFRESH_INTERVAL_S = 0.7
# Age up to which the load that an allocator reported is used as it is. By an
# older one, entries take more slots than there are.
FRESH_S = 0.05
# Outcomes kept for the next report to one allocator.
OUTCOME_LIMIT = 64


@dataclasses.dataclass
class Breaker:
    """Keeps requests from a silent allocator, but for one probe."""

    is_open: bool = False
    is_probing: bool = False
    closed_until_s: float = 0.0
    heard_s: float = 0.0

    def try_pass(self, now_s):
        if self.is_open:
            if self.is_probing or now_s < self.closed_until_s:
                return False
            self.is_probing = True
        return True

    def record_reply(self, now_s):
        self.is_open, self.is_probing, self.heard_s = False, False, now_s

    def record_silence(self, now_s):
        self.is_open, self.is_probing = True, False
        self.closed_until_s = now_s + PAUSE_S


@dataclasses.dataclass
class Holdings:
    """What this entry holds at the servers of one allocator."""

    service: str
    failure_domain: str
    sequence: int = 0
    held: dict[int, slot_reports.Hold] = dataclasses.field(
        default_factory=dict
    )
    awaited: set[int] = dataclasses.field(default_factory=set)
    loads: dict[str, tuple[wire.LoadReport, float]] = dataclasses.field(
        default_factory=dict
    )
    outcomes: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=OUTCOME_LIMIT)
    )
    unreachable: set[str] = dataclasses.field(default_factory=set)
    sent_at_s: float = -math.inf
    sent_to: str = ''
    incarnation: int = 0
    is_changed: bool = False
    has_waiting: bool = False
    is_contended: bool = False
    ejected: frozenset[str] = frozenset()
    noted_at_s: float = -math.inf
    refresh_task: asyncio.Task | None = None

    def report(self, entry_id, started_ms, now_s, receiver_id):
        """Return a report of everything held, and note it as sent."""
        self.sequence += 1
        self.sent_at_s, self.sent_to = now_s, receiver_id
        self.is_changed = False
        report = slot_reports.Report(
            entry_id,
            started_ms,
            self.sequence,
            tuple(self.held.values()),
            tuple(self.awaited),
            tuple(self.unreachable),
            tuple(
                (server_id, load, max(0.0, now_s - at_s))
                for server_id, (load, at_s) in self.loads.items()
            ),
            tuple(self.outcomes),
        )
        self.loads.clear()
        self.outcomes.clear()
        return report


class Reporter:
    """Reports to the allocators what this entry holds.

    Args:
        links: connections to peers.
        allocators_: finds the allocators.
        clock: returns the present time of the monotonic clock in seconds.
        started_ms: start of this entry, since the Unix epoch.
        balancer: learns the loads that the allocators know.
    """

    def __init__(
        self,
        links: link.Links,
        allocators_: allocators.Allocators,
        clock: collections_abc.Callable[[], float],
        started_ms: int,
        balancer: balance.Balancer,
    ):
        self._links = links
        self._allocators = allocators_
        self._clock = clock
        self._started_ms = started_ms
        self._balancer = balancer
        self._books: dict[tuple[str, str], Holdings] = {}
        self._has_books = asyncio.Event()
        self._breakers: dict[str, Breaker] = {}
        self._background = background.BackgroundTasks('slots')

    def book(self, service: str, failure_domain: str) -> Holdings:
        """Return what is held at the servers of one allocator."""
        key = (service, failure_domain)
        if key not in self._books:
            self._books[key] = Holdings(*key)
            self._has_books.set()
        return self._books[key]

    def breaker(self, allocator_id: str) -> Breaker:
        """Return the breaker of an allocator."""
        return self._breakers.setdefault(allocator_id, Breaker())

    def count_held(self, service: str) -> int:
        """Return how many slots of a service this entry holds."""
        return sum(
            len(book.held)
            for book in self._books.values()
            if book.service == service
        )

    def report(self, book: Holdings, receiver_id: str) -> slot_reports.Report:
        """Return a report for an allocator, and note it as sent."""
        return book.report(
            self._links.instance_id,
            self._started_ms,
            self._clock(),
            receiver_id,
        )

    def report_change(self, book: Holdings) -> None:
        """Report a change soon; at once if requests wait for a slot."""
        if book.is_changed and not book.has_waiting:
            return
        book.is_changed = True
        delay_s = 0.0 if book.has_waiting else FREED_DELAY_S
        self._background.spawn(self._report_after(book, delay_s))

    def note_reply(self, book: Holdings, reply: object) -> None:
        """Note whether requests wait, and a restart of the allocator."""
        book.has_waiting = getattr(reply, 'has_waiting', True)
        is_new = book.incarnation not in (0, reply.incarnation)
        book.incarnation = reply.incarnation
        if is_new and book.held:
            self.report_change(book)

    def refresh(self, book: Holdings) -> None:
        """Learn the load from the allocator unless it is known."""
        is_fresh = self._clock() - book.noted_at_s < FRESH_S
        if is_fresh or (book.refresh_task and not book.refresh_task.done()):
            return
        receiver_id = self._allocators.find(book.service, book.failure_domain)
        if receiver_id and not self.breaker(receiver_id).is_open:
            book.refresh_task = asyncio.create_task(
                self._send(book, receiver_id)
            )

    async def run(self) -> None:
        """Report what is held regularly, and at once to a new allocator."""
        await self._has_books.wait()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = self._clock()
            for book in self._books.values():
                receiver_id = self._allocators.find(
                    book.service, book.failure_domain
                )
                is_new = receiver_id != book.sent_to
                is_due = now_s - book.sent_at_s >= REFRESH_INTERVAL_S
                holds = book.held or book.awaited or book.unreachable
                if book.is_changed or (holds and (is_new or is_due)):
                    self._background.spawn(self._send(book, receiver_id))

    def close(self) -> None:
        """Stop reporting."""
        self._background.cancel()

    async def _report_after(self, book, delay_s):
        await asyncio.sleep(delay_s)
        receiver_id = self._allocators.find(book.service, book.failure_domain)
        if book.is_changed and not self.breaker(receiver_id).is_open:
            await self._send(book, receiver_id)

    async def _send(self, book, receiver_id):
        if not receiver_id:
            return
        message = messages.SlotsHeld(
            book.service, book.failure_domain, self.report(book, receiver_id)
        )
        own = collections.Counter(h.server_id for h in book.held.values())
        try:
            reply = await self._links.request(receiver_id, message)
        except errors.LinkError as error:
            book.is_changed = True
            decisions.record(
                'report_lost', peer=receiver_id, reason=str(error)
            )
            return
        self.note_reply(book, reply)
        if reply.summary is not None:
            self._note_summary(book, reply.summary, own)

    def _note_summary(self, book, summary, own):
        now_s = book.noted_at_s = self._clock()
        book.is_contended = summary.is_contended
        book.ejected = frozenset(summary.ejected)
        for server_id, load in summary.loads:
            self._balancer.record_known_load(
                server_id, load, own[server_id], now_s
            )
