"""Messages between instances."""

import typing

from balsamdale import burn_rate
from balsamdale import codec
from balsamdale import journal
from balsamdale import quarantine

__all__ = [
    'AnswerDelta',
    'AnswerFinal',
    'AnswerRestarted',
    'AppendEntries',
    'AppendReply',
    'BurnCounts',
    'BurnRequest',
    'Configuration',
    'Crashes',
    'CreateProgram',
    'DropLog',
    'EndProgram',
    'FetchProgram',
    'FetchTurn',
    'Grant',
    'GrantDone',
    'GrantRenew',
    'GrantRequest',
    'ListPrograms',
    'LogPart',
    'MemberUpdate',
    'Members',
    'NotOwnerReply',
    'Ok',
    'Owners',
    'Ping',
    'Pong',
    'Probe',
    'ProgramList',
    'ProgramSummary',
    'ProgramView',
    'PullConfiguration',
    'PullCrashes',
    'PullMembers',
    'PullOwners',
    'Quote',
    'QuoteRequest',
    'ReadLog',
    'Refusal',
    'Seal',
    'SealReply',
    'ServiceRequest',
    'ShardOpened',
    'SubmitTurn',
    'TakeOver',
    'TurnView',
]


@codec.message
class Ok:
    """Reply that reports success without data."""


@codec.message
class Refusal:
    """An `errors.Refused` as a reply."""

    code: str
    status: int
    detail: str
    ran: typing.Literal['no', 'yes', 'unknown']
    retry_after_s: float | None


@codec.message
class NotOwnerReply:
    """The receiver does not own the shard.

    `owner_id` is the owner that it knows, or empty.
    """

    shard: int
    owner_id: str


@codec.message
class Seal:
    """Request that a journal promise an epoch."""

    folder_id: str
    shard: int
    epoch: int


@codec.message
class SealReply:
    """Reply to `Seal` with the state of the log."""

    outcome: typing.Literal['ok', 'stale', 'wrong_folder']
    state: journal.LogState


@codec.message
class ReadLog:
    """Request entries of a shard's log from a sequence on."""

    folder_id: str
    shard: int
    sequence: int


@codec.message
class LogPart:
    """Reply to `ReadLog`: entries of a shard's log."""

    entries: tuple[journal.Entry, ...]


@codec.message
class AppendEntries:
    """Request that a journal append entries."""

    folder_id: str
    shard: int
    epoch: int
    entries: tuple[journal.Entry, ...]


@codec.message
class AppendReply:
    """Reply to `AppendEntries`.

    `length` is the length up to which the logs match for 'ok' and 'gap', and
    the promised epoch for 'stale'.
    """

    outcome: typing.Literal['ok', 'gap', 'stale', 'wrong_folder']
    length: int


@codec.message
class DropLog:
    """Request that a journal remove the log of a replaced replica."""

    folder_id: str
    shard: int
    epoch: int


@codec.message
class MemberUpdate:
    """State of an instance; a higher incarnation replaces a lower one."""

    instance_id: str
    incarnation: int
    status: typing.Literal['alive', 'leaving', 'dead']
    folder_id: str


@codec.message
class Ping:
    """Heartbeat with membership changes and the declaration's revision."""

    sender_id: str
    revision: int
    updates: tuple[MemberUpdate, ...]


@codec.message
class Pong:
    """Reply to `Ping`."""

    sender_id: str
    revision: int
    updates: tuple[MemberUpdate, ...]


@codec.message
class PullMembers:
    """Request the state of every instance that a peer knows."""


@codec.message
class Members:
    """Reply to `PullMembers`: the state of every known instance."""

    updates: tuple[MemberUpdate, ...]


@codec.message
class Probe:
    """Request an indirect probe: the receiver pings a third instance."""

    target_id: str


@codec.message
class PullConfiguration:
    """Request the declaration in force on a peer."""


@codec.message
class Configuration:
    """A declaration as TOML text with its revision."""

    revision: int
    text: str


@codec.message
class ShardOpened:
    """Announce the owner of a shard."""

    shard: int
    owner_id: str
    epoch: int


@codec.message
class PullOwners:
    """Request the owners of shards that a peer knows."""


@codec.message
class Owners:
    """Reply to `PullOwners`: known owners of shards."""

    shards: tuple[ShardOpened, ...]


@codec.message
class TakeOver:
    """Request that the receiver take a shard over."""

    shard: int


@codec.message
class CreateProgram:
    """Create a program, or confirm that it exists with the same terms."""

    program_id: str
    caller: str
    contract: str
    budget_tokens: int
    deadline_s: float


@codec.message
class SubmitTurn:
    """Run a turn, or join the turn with the same request id.

    The first `offset` characters of the answer of `step` were delivered
    already.
    """

    program_id: str
    caller: str
    request_id: str
    digest: str
    text: str
    offset: int = 0
    step: int = -1


@codec.message
class ServiceRequest:
    """Run one request on a plain service."""

    service: str
    caller: str
    request_id: str
    digest: str
    text: str


@codec.message
class FetchTurn:
    """Read one turn.

    The first `offset` characters of the answer of `step` were delivered
    already.
    """

    program_id: str
    turn: int
    offset: int = 0
    step: int = -1


@codec.message
class FetchProgram:
    """Read a program's history."""

    program_id: str


@codec.message
class EndProgram:
    """End a program and release its resources."""

    program_id: str


@codec.message
class AnswerDelta:
    """A part of an answer, `offset` characters from its start.

    `step` is the model call that generates the answer; offsets of different
    steps are unrelated.
    """

    offset: int
    text: str
    step: int = -1


@codec.message
class AnswerRestarted:
    """The answer starts again from offset 0; discard what came before."""


@codec.message
class AnswerFinal:
    """The outcome of a turn, sent once it is durable."""

    turn: int
    outcome: str
    code: str
    text: str
    ran: typing.Literal['no', 'yes', 'unknown']
    retry_after_s: float | None


@codec.message
class TurnView:
    """One turn for display; `answer` is empty while it runs."""

    turn: int
    request_id: str
    text: str
    outcome: str
    code: str
    answer: str
    steps: tuple[str, ...]
    accepted_at_s: float
    finished_at_s: float


@codec.message
class ProgramView:
    """A program for display."""

    program_id: str
    caller: str
    contract: str
    owner_id: str
    shard: int
    epoch: int
    copies: int
    budget_tokens: int
    spent_tokens: int
    reserved_tokens: int
    ended_reason: str
    waiting_for: str
    turns: tuple[TurnView, ...]


@codec.message
class ListPrograms:
    """Request the programs that an instance owns."""


@codec.message
class ProgramSummary:
    """Summary of one program in a list."""

    program_id: str
    caller: str
    contract: str
    turns: int
    spent_tokens: int
    budget_tokens: int
    copies: int
    waiting_for: str


@codec.message
class ProgramList:
    """Reply to `ListPrograms`."""

    programs: tuple[ProgramSummary, ...]


@codec.message
class BurnRequest:
    """Request the burn-rate counts of an instance's programs."""


@codec.message
class BurnCounts:
    """Reply to `BurnRequest`."""

    counts: tuple[burn_rate.Counts, ...]


@codec.message
class QuoteRequest:
    """Request an estimate of when a call finishes on a dispatcher's server."""

    server: str
    program_id: str
    prompt_tokens: int
    answer_tokens: int


@codec.message
class Quote:
    """Estimate of when a call finishes on one backend server.

    `prefill_s` is the part of that time that the prefill of the prompt takes;
    it takes slot time from other calls.
    """

    server: str
    wait_s: float
    prefill_s: float
    finish_s: float


@codec.message
class GrantRequest:
    """Request the right to send one request to a dispatcher's server.

    Attributes:
        server: backend server.
        program_id: root program, to which the working set is charged.
        grant_id: unique id; a retry joins the queued request.
        priority: 'urgent', 'deadline' or 'standard'.
        slack_s: time until the deadline; negative if there is none.
        attained_tokens: tokens that the program has used so far.
        prompt_tokens: expected length of the prompt.
        answer_tokens: expected length of the answer.
        wait_s: how long the request may stay queued.
        suspect: whether a server crashed with the request in flight.
    """

    server: str
    program_id: str
    grant_id: str
    priority: str
    slack_s: float
    attained_tokens: int
    prompt_tokens: int
    answer_tokens: int
    wait_s: float
    suspect: bool = False


@codec.message
class Grant:
    """The right to send one request; it expires unless renewed."""

    server: str
    grant_id: str
    lease_s: float


@codec.message
class GrantRenew:
    """Renew a grant while its request runs."""

    server: str
    grant_id: str


@codec.message
class GrantDone:
    """Return a grant.

    `resident_tokens` is what the program now has in the server's cache;
    `ended` tells that the program needs none of it any more,
    `awaits_caller` that its turn is over and its next call may come late.
    """

    server: str
    program_id: str
    grant_id: str
    resident_tokens: int
    ended: bool
    awaits_caller: bool = False


@codec.message
class PullCrashes:
    """Request the crashes that a peer knows."""


@codec.message
class Crashes:
    """Reply to `PullCrashes`: known crashes."""

    crashes: tuple[quarantine.ReportCrash, ...]
