"""Access to the messages that instances send each other."""

import typing

from balsamdale import burn
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
    'MemberUpdate',
    'Members',
    'NotOwnerReply',
    'Ok',
    'Owners',
    'Ping',
    'Pong',
    'Probe',
    'ProgramView',
    'ProgramSummary',
    'ListPrograms',
    'ProgramList',
    'PullConfiguration',
    'PullCrashes',
    'PullMembers',
    'PullOwners',
    'Quote',
    'QuoteRequest',
    'ReadLog',
    'LogPart',
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
    """Plain success."""


@codec.message
class Refusal:
    """The wire form of `errors.Refused`."""

    code: str
    status: int
    detail: str
    ran: typing.Literal['no', 'yes', 'unknown']
    retry_after_s: float | None


@codec.message
class NotOwnerReply:
    """The receiver does not own the shard; `owner_id` may be empty."""

    shard: int
    owner_id: str


@codec.message
class Seal:
    """Ask a journal to promise an epoch."""

    folder_id: str
    shard: int
    epoch: int


@codec.message
class SealReply:
    """Answer to `Seal`; `state` describes the log that is held."""

    outcome: typing.Literal['ok', 'stale', 'wrong_folder']
    state: journal.LogState


@codec.message
class ReadLog:
    """Ask for entries of a shard's log from a sequence on."""

    folder_id: str
    shard: int
    sequence: int


@codec.message
class LogPart:
    """Entries of a shard's log."""

    entries: tuple[journal.Entry, ...]


@codec.message
class AppendEntries:
    """Ask a journal to hold entries."""

    folder_id: str
    shard: int
    epoch: int
    entries: tuple[journal.Entry, ...]


@codec.message
class AppendReply:
    """Answer to `AppendEntries`.

    `length` is the agreed length for 'ok' and 'gap', the held epoch for
    'stale'.
    """

    outcome: typing.Literal['ok', 'gap', 'stale', 'wrong_folder']
    length: int


@codec.message
class DropLog:
    """Ask a journal to delete a displaced log."""

    folder_id: str
    shard: int
    epoch: int


@codec.message
class MemberUpdate:
    """What is known of an instance; a higher incarnation wins."""

    instance_id: str
    incarnation: int
    status: typing.Literal['alive', 'leaving', 'dead']
    folder_id: str


@codec.message
class Ping:
    """Heartbeat with membership changes and the configuration held."""

    sender_id: str
    revision: int
    updates: tuple[MemberUpdate, ...]


@codec.message
class Pong:
    """Answer to `Ping`."""

    sender_id: str
    revision: int
    updates: tuple[MemberUpdate, ...]


@codec.message
class PullMembers:
    """Ask a peer for all that it knows of the instances."""


@codec.message
class Members:
    """Everything that is known of the instances."""

    updates: tuple[MemberUpdate, ...]


@codec.message
class Probe:
    """Ask another instance to ping a third one."""

    target_id: str


@codec.message
class PullConfiguration:
    """Ask a peer for the configuration it holds."""


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
    """Ask a peer for the owners of shards that it knows."""


@codec.message
class Owners:
    """Known owners of shards."""

    shards: tuple[ShardOpened, ...]


@codec.message
class TakeOver:
    """Ask the receiver to take a shard over."""

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

    `offset` characters of the answer that `step` writes are delivered
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
    """Read one turn; `offset` characters of `step` are delivered."""

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
    """End a program and release what it holds."""

    program_id: str


@codec.message
class AnswerDelta:
    """A part of an answer, `offset` characters from its start.

    `step` is the model call that writes the answer; offsets of different
    steps have nothing to do with each other.
    """

    offset: int
    text: str
    step: int = -1


@codec.message
class AnswerRestarted:
    """The answer starts again from offset 0; discard what came before."""


@codec.message
class AnswerFinal:
    """The durable end of a turn."""

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
    """Ask an instance for the programs that it owns."""


@codec.message
class ProgramSummary:
    """One line about a program."""

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
    """Answer to `ListPrograms`."""

    programs: tuple[ProgramSummary, ...]


@codec.message
class BurnRequest:
    """Ask an instance for the burn counts of its programs."""


@codec.message
class BurnCounts:
    """Answer to `BurnRequest`."""

    counts: tuple[burn.Counts, ...]


@codec.message
class QuoteRequest:
    """Ask a dispatcher how long a call would take on its server."""

    server: str
    program_id: str
    prompt_tokens: int
    answer_tokens: int


@codec.message
class Quote:
    """Expected finish of a call on one backend server.

    `prefill_s` is the part of it that reads the prompt; it takes slot time
    from others.
    """

    server: str
    wait_s: float
    prefill_s: float
    finish_s: float


@codec.message
class GrantRequest:
    """Ask a dispatcher for the right to send one request to its server.

    Attributes:
        server: backend server.
        program_id: root program, whose working set is accounted.
        grant_id: unique id; a repeat joins the queued request.
        priority: 'urgent', 'deadline' or 'standard'.
        slack_s: time until the turn is late; negative for no deadline.
        attained_tokens: service that the program has had so far.
        prompt_tokens: expected prompt.
        answer_tokens: expected answer.
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
    """The right to send one request, until it lapses unless renewed."""

    server: str
    grant_id: str
    lease_s: float


@codec.message
class GrantRenew:
    """Keep a grant while its request runs."""

    server: str
    grant_id: str


@codec.message
class GrantDone:
    """Return a grant.

    `resident_tokens` is what the program now has in the server's cache;
    `ended` tells that the program needs none of it any more,
    `awaits_caller` that its turn is over and its next call may take long.
    """

    server: str
    program_id: str
    grant_id: str
    resident_tokens: int
    ended: bool
    awaits_caller: bool = False


@codec.message
class PullCrashes:
    """Ask a peer for the crashes that it knows."""


@codec.message
class Crashes:
    """Known crashes."""

    crashes: tuple[quarantine.ReportCrash, ...]
