"""Records in the journal that a program's state is rebuilt from."""

import typing

from balsamdale import codec

__all__ = [
    'AnswerReady',
    'CacheReleased',
    'CallAccepted',
    'EpochStarted',
    'ProgramCreated',
    'ProgramEnded',
    'StepFinished',
    'StepStarted',
    'ToolCall',
]

StepKind = typing.Literal['engine', 'tool', 'agent']
Outcome = typing.Literal['ok', 'failed', 'unknown']


@codec.message
class EpochStarted:
    """First record of an owner's epoch, written when its takeover ends."""

    owner_id: str
    epoch: int


@codec.message
class ProgramCreated:
    """A program was created.

    `deadline_at_s` is in seconds since the Unix epoch; 0 means none.
    `parent_id` is the program that runs it as a sub-agent, or empty.
    """

    program_id: str
    caller: str
    service: str
    contract: str
    budget_tokens: int
    deadline_at_s: float
    created_at_s: float
    parent_id: str = ''


@codec.message
class CallAccepted:
    """A call was accepted as a turn; `digest` is that of its body."""

    program_id: str
    turn: int
    request_id: str
    digest: str
    text: str
    accepted_at_s: float


@codec.message
class ToolCall:
    """A model's request to run a tool; `arguments` is JSON text."""

    call_id: str
    name: str
    arguments: str


@codec.message
class StepStarted:
    """A request is about to be sent to a backend server.

    It is durable before the request is sent, so a later owner knows that the
    request may have run.
    """

    program_id: str
    turn: int
    step: int
    kind: StepKind
    target: str
    server: str
    call_id: str
    digest: str
    idempotent: bool
    reserved_tokens: int
    started_at_s: float


@codec.message
class StepFinished:
    """The outcome of a step.

    `charged_tokens` is charged against the budget; a step with an unknown
    outcome is charged its whole reservation.
    """

    program_id: str
    turn: int
    step: int
    outcome: Outcome
    output: str
    tool_calls: tuple[ToolCall, ...]
    prompt_tokens: int
    answer_tokens: int
    cached_tokens: int
    charged_tokens: int
    finished_at_s: float


@codec.message
class AnswerReady:
    """A turn's final answer.

    `code` names the reason of a failure, or is 'ok'; `ran` tells whether
    anything of the turn ran.
    """

    program_id: str
    turn: int
    outcome: Outcome
    code: str
    text: str
    ran: typing.Literal['no', 'yes', 'unknown']
    retry_after_s: float | None
    finished_at_s: float


@codec.message
class ProgramEnded:
    """A program ended; it accepts no further calls."""

    program_id: str
    reason: str
    ended_at_s: float


@codec.message
class CacheReleased:
    """A model engine confirmed that it released the program's cache."""

    program_id: str
    server: str
