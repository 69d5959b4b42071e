"""Messages between entries and the allocators of slots."""

import functools
import math

from balsamdale import codec
from balsamdale.scheduling import admission
from balsamdale.scheduling import slot_reports

__all__ = [
    'AllocateSlot',
    'DomainLoadNoted',
    'ReportDomainLoad',
    'SlotAllocated',
    'SlotElsewhere',
    'SlotQueued',
    'SlotRefused',
    'SlotsHeld',
    'SlotsNoted',
    'find_mistake',
    'to_slot_request',
]

MAX_RANK = 1000
# Longer than any deadline; larger values are mistakes.
MAX_DURATION_S = 3600.0


@codec.message
class AllocateSlot:
    """Asks for a slot; the replies are streamed until one decides.

    Attributes:
        service: the service that runs the request.
        failure_domain: the domain of the servers that may run it.
        report: what the entry holds there and has observed.
        hold_id: the entry's number of the slot; the report awaits it.
        request_id: the caller's id of the request, for the log.
        remaining_s: time until it times out.
        program_remaining_s: time until its program's deadline; None if it
            has none.
        rank: see `admission.SlotRequest`, as all that follow.
    """

    service: str
    failure_domain: str
    report: slot_reports.Report
    hold_id: int
    request_id: str
    remaining_s: float
    program_remaining_s: float | None = None
    rank: int = 0
    is_in_progress: bool = False
    work_s: float = 0.0
    workspace: str = ''
    return_key: str = ''
    affinity: str = ''
    excluded: tuple[str, ...] = ()
    prompt_tokens: int = 0
    tokens: int = 0
    memory_tokens: int = 0
    is_retryable: bool = False
    is_forwarded: bool = False


@codec.message
class SlotQueued:
    """The request waits; repeated as a keepalive.

    Attributes:
        incarnation: the start of the allocator; see all other replies.
    """

    incarnation: int


@codec.message
class SlotAllocated:
    """The request has a slot of a server.

    Attributes:
        has_waiting: whether other requests wait, so that freed slots are to
            be reported at once.
        factor: what the server was chosen by.
    """

    incarnation: int
    server_id: str
    load: float
    cost: float
    report_age_s: float
    has_waiting: bool
    factor: str = 'load'


@codec.message
class SlotRefused:
    """The request is not served here; `reason` is a stable code."""

    incarnation: int
    reason: str
    retry_after_s: float


@codec.message
class SlotElsewhere:
    """The allocator of another failure domain is to be asked."""

    incarnation: int
    failure_domain: str


@codec.message
class SlotsHeld:
    """Tells an allocator what an entry holds, after slots were freed."""

    service: str
    failure_domain: str
    report: slot_reports.Report


@codec.message
class SlotsNoted:
    """Acknowledges `SlotsHeld`; `has_waiting` as in `SlotAllocated`.

    Attributes:
        summary: loads by which entries choose while slots are free; None
            from an instance that does not allocate.
    """

    incarnation: int
    has_waiting: bool
    summary: slot_reports.Summary | None = None


@codec.message
class ReportDomainLoad:
    """Tells the allocator of another domain the load of this one.

    Attributes:
        service: the service.
        failure_domain: the domain whose allocator is told.
        load: the load of the sender's domain.
    """

    service: str
    failure_domain: str
    load: slot_reports.DomainLoad


@codec.message
class DomainLoadNoted:
    """Reply to a reported load: that of the receiver; None if unknown."""

    load: slot_reports.DomainLoad | None


@functools.singledispatch
def find_mistake(message: object) -> str:
    """Return what is out of range in a message; empty if nothing is."""
    raise TypeError(type(message).__name__)


@find_mistake.register
def _find_in_load(message: ReportDomainLoad) -> str:
    load = message.load
    is_valid = (
        _is_duration(load.wait_s)
        and math.isfinite(load.freed_per_s)
        and load.freed_per_s >= 0
    )
    return '' if is_valid else 'load'


@find_mistake.register
def _find_in_holdings(message: SlotsHeld) -> str:
    report = message.report
    if report.sequence < 1 or report.started_ms < 0:
        return 'sequence'
    if any(hold.tokens < 0 for hold in report.held):
        return 'held tokens'
    if any(
        min(load.running, load.waiting) < 0 or not _is_duration(age_s)
        for _, load, age_s in report.loads
    ):
        return 'load report'
    return ''


@find_mistake.register
def _find_in_request(message: AllocateSlot) -> str:
    program_s = message.program_remaining_s or 0.0
    counts = (message.tokens, message.prompt_tokens, message.memory_tokens)
    if not _is_duration(message.remaining_s):
        return 'remaining time'
    if not _is_duration(message.work_s) or not math.isfinite(program_s):
        return 'time'
    if not 0 <= message.rank <= MAX_RANK or min(counts) < 0:
        return 'rank or tokens'
    return _find_in_holdings(message)


def _is_duration(value_s):
    return 0 <= value_s <= MAX_DURATION_S


def to_slot_request(
    message: AllocateSlot, now_s: float
) -> admission.SlotRequest:
    """Return the request of a message in the clock of the allocator."""
    order_deadline_s = math.inf
    if message.program_remaining_s is not None:
        order_deadline_s = now_s + message.program_remaining_s
    return admission.SlotRequest(
        entry_id=message.report.entry_id,
        hold_id=message.hold_id,
        arrived_s=now_s,
        deadline_s=now_s + message.remaining_s,
        rank=message.rank,
        is_in_progress=message.is_in_progress,
        order_deadline_s=order_deadline_s,
        work_s=message.work_s,
        workspace=message.workspace,
        return_key=message.return_key,
        affinity=message.affinity,
        excluded=frozenset(message.excluded),
        prompt_tokens=message.prompt_tokens,
        tokens=message.tokens,
        memory_tokens=message.memory_tokens,
        is_retryable=message.is_retryable,
        is_forwarded=message.is_forwarded,
    )
