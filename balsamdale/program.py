"""Program state, and the next action of a turn.

The state is a fold of durable records. Choosing an action needs only the
state, the declaration and the present time, so that the successor of a dead
owner continues from the journal alone.
"""

import collections
import dataclasses
import functools
import hashlib
import json

from balsamdale import declaration
from balsamdale import errors
from balsamdale import records

__all__ = [
    'CallAgent',
    'CallEngine',
    'CallTool',
    'Finish',
    'Program',
    'Step',
    'Turn',
    'apply',
    'build_step_started',
    'digest_of',
    'find_open_turn',
    'finish_interrupted_step',
    'next_action',
    'parse_agent_task',
    'run_status',
]

AGENT_TOOL = 'spawn_agent'
MESSAGE_OVERHEAD_TOKENS = 8


@dataclasses.dataclass(frozen=True)
class Step:
    """A step and its outcome; `finished` is None while the step is open."""

    started: records.StepStarted
    finished: records.StepFinished | None = None


@dataclasses.dataclass(frozen=True)
class Turn:
    """An accepted call and its steps; `answer` is None while it is open."""

    accepted: records.CallAccepted
    steps: tuple[Step, ...] = ()
    answer: records.AnswerReady | None = None


@dataclasses.dataclass(frozen=True)
class Program:
    """State of one program, rebuilt from its records.

    Attributes:
        created: the record that created the program.
        turns: its turns in the order in which they were accepted.
        ended: the record that ended the program, or None.
        spent_tokens: settled charges against the budget.
        caching_servers: model engines that may still cache its prefix.
    """

    created: records.ProgramCreated
    turns: tuple[Turn, ...] = ()
    ended: records.ProgramEnded | None = None
    spent_tokens: int = 0
    caching_servers: frozenset[str] = frozenset()

    @property
    def id(self) -> str:
        """Unique id of the program."""
        return self.created.program_id

    @property
    def is_plain_request(self) -> bool:
        """Whether it stands for a single request to a plain service."""
        return not self.created.contract

    @property
    def reserved_tokens(self) -> int:
        """Tokens reserved for steps without an outcome."""
        return sum(
            step.started.reserved_tokens
            for turn in self.turns[-1:] + self.turns[:-1]
            for step in turn.steps
            if step.finished is None
        )

    @property
    def available_tokens(self) -> int:
        """Tokens that may still be reserved."""
        budget_tokens = self.created.budget_tokens
        return budget_tokens - self.spent_tokens - self.reserved_tokens

    def find_turn(self, request_id: str) -> Turn | None:
        """Return the latest turn with a request id."""
        for turn in reversed(self.turns):
            if turn.accepted.request_id == request_id:
                return turn
        return None


@dataclasses.dataclass(frozen=True)
class CallEngine:
    """Send the conversation to a model engine.

    `prompt_tokens` is an upper bound on the prompt; `answer_tokens` is the
    longest answer that the budget and the limits allow.
    """

    service: str
    messages: tuple[dict, ...]
    tools: tuple[declaration.Tool, ...]
    can_spawn_agents: bool
    prompt_tokens: int
    answer_tokens: int


@dataclasses.dataclass(frozen=True)
class CallTool:
    """Send a tool call or a caller's request to a plain service."""

    call_id: str
    name: str
    service: str
    arguments: str
    idempotent: bool
    timeout_s: float


@dataclasses.dataclass(frozen=True)
class CallAgent:
    """Run a sub-agent with a part of the remaining budget."""

    call_id: str
    child_id: str
    task: str
    budget_tokens: int


@dataclasses.dataclass(frozen=True)
class Finish:
    """End the turn with a final answer.

    `ran` tells whether anything of the turn ran: 'no', 'yes' or 'unknown'.
    """

    outcome: records.Outcome
    code: str
    text: str
    ran: str
    retry_after_s: float | None = None


Action = CallEngine | CallTool | CallAgent | Finish


def digest_of(*parts: str) -> str:
    """Return the digest of a request's body."""
    data = '\0'.join(parts).encode()
    return hashlib.blake2b(data, digest_size=16).hexdigest()


@functools.singledispatch
def apply(record: object, program: Program | None) -> Program:
    """Return the state of a program after one more record.

    Raises:
        OutOfOrder: the record does not follow from the state.
    """
    raise errors.OutOfOrder(f'{type(record).__name__} changes no program')


@apply.register
def _(record: records.ProgramCreated, program):
    if program is not None:
        raise errors.OutOfOrder(f'program {record.program_id} already exists')
    return Program(record)


@apply.register
def _(record: records.CallAccepted, program):
    if program.ended is not None or record.turn != len(program.turns):
        raise errors.OutOfOrder(
            f'program {program.id}: turn {record.turn} cannot be accepted now'
        )
    turns = (*program.turns, Turn(record))
    return dataclasses.replace(program, turns=turns)


@apply.register
def _(record: records.StepStarted, program):
    turn = _require_open_turn(program, record.turn)
    if record.step != len(turn.steps) or _has_open_step(turn):
        raise errors.OutOfOrder(
            f'program {program.id}: step {record.step} cannot start now'
        )
    updated_turn = dataclasses.replace(turn, steps=(*turn.steps, Step(record)))
    program = _replace_turn(program, updated_turn)
    if record.kind != 'engine':
        return program
    caching_servers = program.caching_servers | {record.server}
    return dataclasses.replace(program, caching_servers=caching_servers)


@apply.register
def _(record: records.StepFinished, program):
    turn = _require_open_turn(program, record.turn)
    if record.step != len(turn.steps) - 1 or not _has_open_step(turn):
        raise errors.OutOfOrder(
            f'program {program.id}: step {record.step} is not open'
        )
    finished = dataclasses.replace(turn.steps[-1], finished=record)
    steps = (*turn.steps[:-1], finished)
    program = _replace_turn(program, dataclasses.replace(turn, steps=steps))
    spent_tokens = program.spent_tokens + record.charged_tokens
    return dataclasses.replace(program, spent_tokens=spent_tokens)


@apply.register
def _(record: records.AnswerReady, program):
    turn = _require_open_turn(program, record.turn)
    return _replace_turn(program, dataclasses.replace(turn, answer=record))


@apply.register
def _(record: records.ProgramEnded, program):
    return dataclasses.replace(program, ended=record)


@apply.register
def _(record: records.CacheReleased, program):
    caching_servers = program.caching_servers - {record.server}
    return dataclasses.replace(program, caching_servers=caching_servers)


def find_open_turn(program: Program) -> Turn | None:
    """Return the oldest turn without a final answer, or None."""
    for turn in program.turns:
        if turn.answer is None:
            return turn
    return None


def finish_interrupted_step(
    program: Program, now_s: float
) -> records.StepFinished | None:
    """Return the record that ends an interrupted step, or None.

    The outcome of a step that a dead owner left open is unknown. The whole
    reservation is charged, since the request may have run. A step that runs
    a sub-agent stays open: the sub-agent continues.
    """
    turn = find_open_turn(program)
    if turn is None or not _has_open_step(turn):
        return None
    started = turn.steps[-1].started
    if started.kind == 'agent':
        return None
    return records.StepFinished(
        program_id=program.id,
        turn=started.turn,
        step=started.step,
        outcome='unknown',
        output='',
        tool_calls=(),
        prompt_tokens=0,
        answer_tokens=0,
        cached_tokens=0,
        charged_tokens=started.reserved_tokens,
        finished_at_s=now_s,
    )


def next_action(
    program: Program,
    turn: Turn,
    current_declaration: declaration.Declaration,
    now_s: float,
) -> Action:
    """Return the next action of a turn without an open step."""
    limit_reached = _check_limits(program, turn, current_declaration, now_s)
    if limit_reached is not None:
        return limit_reached
    last_step = turn.steps[-1] if turn.steps else None
    if last_step is not None and last_step.finished.outcome != 'ok':
        return _retry_action(program, turn, current_declaration)
    if program.is_plain_request:
        return _request_action(program, turn, current_declaration)
    pending_call = _pending_call(turn)
    if pending_call is not None:
        return _tool_action(program, turn, pending_call, current_declaration)
    if last_step is not None and last_step.started.kind == 'engine':
        return Finish('ok', 'ok', last_step.finished.output, 'yes')
    return _engine_action(program, turn, current_declaration)


def build_step_started(
    program: Program, turn: Turn, action: Action, server: str, now_s: float
) -> records.StepStarted:
    """Return the record that must be durable before an action runs.

    Args:
        program: state of the program.
        turn: the turn that the action continues.
        action: what the step runs.
        server: backend server that runs it; empty for a sub-agent.
        now_s: the present time in seconds since the Unix epoch.
    """
    return records.StepStarted(
        program_id=program.id,
        turn=turn.accepted.turn,
        step=len(turn.steps),
        server=server,
        started_at_s=now_s,
        **_step_fields(action),
    )


@functools.singledispatch
def _step_fields(action):
    raise TypeError(type(action).__name__)


@_step_fields.register
def _(action: CallEngine):
    return {
        'kind': 'engine',
        'target': action.service,
        'call_id': '',
        'digest': '',
        'idempotent': True,
        'reserved_tokens': action.prompt_tokens + action.answer_tokens,
    }


@_step_fields.register
def _(action: CallTool):
    return {
        'kind': 'tool',
        'target': action.name,
        'call_id': action.call_id,
        'digest': digest_of(action.name, action.arguments),
        'idempotent': action.idempotent,
        'reserved_tokens': 0,
    }


@_step_fields.register
def _(action: CallAgent):
    return {
        'kind': 'agent',
        'target': action.child_id,
        'call_id': action.call_id,
        'digest': digest_of(AGENT_TOOL, action.task),
        'idempotent': True,
        'reserved_tokens': action.budget_tokens,
    }


def parse_agent_task(call: records.ToolCall) -> str:
    """Return the task that a model gave a sub-agent; '' if malformed."""
    try:
        return str(json.loads(call.arguments)['task'])
    except (ValueError, KeyError, TypeError):
        return ''


def _require_open_turn(program, turn_number):
    turn = find_open_turn(program)
    if turn is None or turn.accepted.turn != turn_number:
        raise errors.OutOfOrder(
            f'program {program.id}: turn {turn_number} is not open'
        )
    return turn


def _has_open_step(turn):
    return bool(turn.steps) and turn.steps[-1].finished is None


def _replace_turn(program, turn):
    index = turn.accepted.turn
    turns = program.turns[:index] + (turn,) + program.turns[index + 1 :]
    return dataclasses.replace(program, turns=turns)


def run_status(turn: Turn) -> str:
    """Return whether anything of a turn ran: 'no', 'yes' or 'unknown'."""
    outcomes = {
        step.finished.outcome if step.finished else 'unknown'
        for step in turn.steps
    }
    if 'unknown' in outcomes:
        return 'unknown'
    return 'yes' if 'ok' in outcomes else 'no'


def _check_limits(program, turn, current_declaration, now_s):
    """Return the end of a turn that may not go on, or None."""
    if program.ended is not None:
        return Finish('failed', 'program_ended', '', run_status(turn))
    deadline_at_s = program.created.deadline_at_s
    if deadline_at_s and now_s >= deadline_at_s:
        return Finish('failed', 'deadline_exceeded', '', run_status(turn))
    if len(turn.steps) >= current_declaration.limits.step_limit:
        return Finish('failed', 'step_limit', '', run_status(turn))
    return None


def _retry_action(program, turn, current_declaration):
    """Repeat a failed step, or end the turn.

    A step with an unknown outcome may have run: it is repeated only if it is
    idempotent.
    """
    last_step = turn.steps[-1]
    is_unknown = last_step.finished.outcome == 'unknown'
    if is_unknown and not last_step.started.idempotent:
        return Finish('unknown', 'outcome_unknown', '', 'unknown')
    attempts = 0
    for step in reversed(turn.steps):
        if step.started.call_id != last_step.started.call_id:
            break
        attempts += step.finished.outcome != 'ok'
    if attempts >= current_declaration.limits.attempt_limit:
        return Finish('failed', 'backend_failed', '', run_status(turn))
    if program.is_plain_request:
        return _request_action(program, turn, current_declaration)
    pending_call = _pending_call(turn)
    if pending_call is not None:
        return _tool_action(program, turn, pending_call, current_declaration)
    return _engine_action(program, turn, current_declaration)


def _request_action(program, turn, current_declaration):
    last_step = turn.steps[-1] if turn.steps else None
    if last_step is not None and last_step.finished.outcome == 'ok':
        return Finish('ok', 'ok', last_step.finished.output, 'yes')
    service = current_declaration.service(program.created.service)
    if service is None:
        return Finish('failed', 'unknown_service', '', run_status(turn))
    return CallTool(
        call_id=turn.accepted.request_id,
        name=service.name,
        service=service.name,
        arguments=turn.accepted.text,
        idempotent=service.idempotent,
        timeout_s=declaration.Tool.timeout_s,
    )


def _pending_call(turn):
    """Return the first tool call of the turn without a result, or None."""
    completed_ids = {
        step.started.call_id
        for step in turn.steps
        if step.started.kind != 'engine' and step.finished.outcome == 'ok'
    }
    calls = (
        call
        for step in turn.steps
        if step.started.kind == 'engine'
        for call in step.finished.tool_calls
    )
    return next(
        (call for call in calls if call.call_id not in completed_ids), None
    )


def _tool_action(program, turn, call, current_declaration):
    if _count_repeats(turn, call) > current_declaration.limits.repeat_limit:
        return Finish('failed', 'loop_detected', '', run_status(turn))
    if call.name == AGENT_TOOL:
        return _agent_action(program, turn, call, current_declaration)
    tool = current_declaration.tool(call.name)
    contract = current_declaration.contract(program.created.contract)
    if tool is None or contract is None or call.name not in contract.tools:
        return Finish('failed', 'unknown_tool', call.name, run_status(turn))
    return CallTool(
        call_id=call.call_id,
        name=call.name,
        service=tool.service,
        arguments=call.arguments,
        idempotent=tool.idempotent,
        timeout_s=tool.timeout_s,
    )


def _count_repeats(turn, call):
    """Count how often the model requested the same tool call in a turn."""
    counts = collections.Counter(
        (requested.name, requested.arguments)
        for step in turn.steps
        for requested in (step.finished.tool_calls if step.finished else ())
    )
    return counts[call.name, call.arguments]


def _agent_action(program, turn, call, current_declaration):
    agent_share = current_declaration.limits.agent_share
    budget_tokens = int(program.available_tokens * agent_share)
    step_key = f'{turn.accepted.turn}-{len(turn.steps)}'
    task = parse_agent_task(call)
    if not task:
        return Finish(
            'failed', 'bad_tool_call', call.arguments, run_status(turn)
        )
    return CallAgent(
        call_id=call.call_id,
        child_id=f'{program.id}/{step_key}',
        task=task,
        budget_tokens=budget_tokens,
    )


def _engine_action(program, turn, current_declaration):
    contract = current_declaration.contract(program.created.contract)
    if contract is None:
        return Finish('failed', 'unknown_contract', '', run_status(turn))
    messages = tuple(_conversation(program))
    prompt_tokens = _bound_prompt_tokens(program, messages)
    max_answer_tokens = program.available_tokens - prompt_tokens
    if max_answer_tokens < 1:
        return Finish('failed', 'budget_exhausted', '', run_status(turn))
    return CallEngine(
        service=contract.service,
        messages=messages,
        tools=tuple(current_declaration.tool(name) for name in contract.tools),
        can_spawn_agents=contract.agents,
        prompt_tokens=prompt_tokens,
        answer_tokens=min(
            max_answer_tokens, current_declaration.limits.answer_tokens
        ),
    )


def _conversation(program):
    """Yield the chat messages of all turns up to the open one.

    Turns that were refused without running are left out.
    """
    for turn in program.turns:
        is_refused = turn.answer is not None and turn.answer.ran == 'no'
        if not is_refused:
            yield {'role': 'user', 'content': turn.accepted.text}
            yield from _turn_messages(turn)
        if turn.answer is None:
            return


def _turn_messages(turn):
    for step in turn.steps:
        finished = step.finished
        if finished is None or finished.outcome != 'ok':
            continue
        if step.started.kind != 'engine':
            yield {
                'role': 'tool',
                'tool_call_id': step.started.call_id,
                'content': finished.output,
            }
        elif finished.tool_calls:
            yield {
                'role': 'assistant',
                'content': finished.output,
                'tool_calls': [
                    _chat_tool_call(c) for c in finished.tool_calls
                ],
            }
        else:
            yield {'role': 'assistant', 'content': finished.output}


def _chat_tool_call(call):
    function = {'name': call.name, 'arguments': call.arguments}
    return {'id': call.call_id, 'type': 'function', 'function': function}


def _bound_prompt_tokens(program, messages):
    """Return an upper bound on the tokens of a prompt.

    For each message that no engine has counted yet, it adds a token per byte
    and `MESSAGE_OVERHEAD_TOKENS`.
    """
    counted_tokens, counted_messages = _last_counted_prompt(program)
    uncounted = messages[counted_messages:]
    uncounted_bytes = sum(len(json.dumps(message)) for message in uncounted)
    overhead_tokens = MESSAGE_OVERHEAD_TOKENS * len(uncounted)
    return counted_tokens + uncounted_bytes + overhead_tokens


def _last_counted_prompt(program):
    """Return the tokens of the last model call and the messages it covers."""
    message_count = 0
    last_counted = (0, 0)
    for turn in program.turns:
        is_refused = turn.answer is not None and turn.answer.ran == 'no'
        if is_refused:
            continue
        message_count += 1
        for step in turn.steps:
            finished = step.finished
            if finished is None or finished.outcome != 'ok':
                continue
            message_count += 1
            if step.started.kind == 'engine':
                tokens = finished.prompt_tokens + finished.answer_tokens
                last_counted = (tokens, message_count)
    return last_counted
