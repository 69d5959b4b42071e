"""Access to the records that make up a program's history."""

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
    """An owner finished its takeover; it opens the owner's epoch."""

    owner_id: str
    epoch: int


@codec.message
class ProgramCreated:
    """A program exists.

    `deadline_at_s` is in seconds since the Unix epoch; 0 means none.
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
    """A caller's call became a turn; `digest` identifies its body."""

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
    """A request is about to leave for a backend server.

    It is durable before the request leaves, so a later owner knows that the
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

    `charged_tokens` is what the step takes from the budget; a step with an
    unknown outcome is charged its whole reservation.
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
    """A turn's final answer; `code` names the reason unless it is 'ok'."""

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
    """A program takes no further calls."""

    program_id: str
    reason: str
    ended_at_s: float


@codec.message
class CacheReleased:
    """A model engine confirmed that it dropped the program's cache."""

    program_id: str
    server: str
