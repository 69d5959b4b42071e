"""Access to programs: their state, and the next thing to do for each.

State is a fold of records. Deciding needs only the state, the declaration
and the present time, so that a successor of a dead owner goes on from the
journal alone.
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
    'finish_interrupted_step',
    'digest_of',
    'next_action',
    'find_open_turn',
    'run_status',
    'build_step_started',
    'parse_agent_task',
]

AGENT_TOOL = 'spawn_agent'
MESSAGE_OVERHEAD_TOKENS = 8


@dataclasses.dataclass(frozen=True)
class Step:
    """A step with its outcome; `finished` is None while it is open."""

    started: records.StepStarted
    finished: records.StepFinished | None = None


@dataclasses.dataclass(frozen=True)
class Turn:
    """A call with its steps; `answer` is None until it is final."""

    accepted: records.CallAccepted
    steps: tuple[Step, ...] = ()
    answer: records.AnswerReady | None = None


@dataclasses.dataclass(frozen=True)
class Program:
    """Everything that the journal holds of one program.

    Attributes:
        created: the record that created it.
        turns: its calls in the order they were made.
        ended: the record that ended it, or None.
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
        """Id of the program."""
        return self.created.program_id

    @property
    def is_plain_request(self) -> bool:
        """Whether it is a single request to a plain service."""
        return not self.created.contract

    @property
    def reserved_tokens(self) -> int:
        """Tokens set aside for steps without an outcome."""
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
        """Return the latest turn that a request id opened."""
        for turn in reversed(self.turns):
            if turn.accepted.request_id == request_id:
                return turn
        return None


@dataclasses.dataclass(frozen=True)
class CallEngine:
    """Send the conversation to a model engine.

    `prompt_tokens` is an upper bound, `answer_tokens` the longest answer
    that the budget allows.
    """

    service: str
    messages: tuple[dict, ...]
    tools: tuple[declaration.Tool, ...]
    can_spawn_agents: bool
    prompt_tokens: int
    answer_tokens: int


@dataclasses.dataclass(frozen=True)
class CallTool:
    """Run a tool or a plain request."""

    call_id: str
    name: str
    service: str
    arguments: str
    idempotent: bool
    timeout_s: float


@dataclasses.dataclass(frozen=True)
class CallAgent:
    """Run a sub-agent with a carved part of the budget."""

    call_id: str
    child_id: str
    task: str
    budget_tokens: int


@dataclasses.dataclass(frozen=True)
class Finish:
    """End the turn with a final answer."""

    outcome: records.Outcome
    code: str
    text: str
    ran: str
    retry_after_s: float | None = None


Action = CallEngine | CallTool | CallAgent | Finish


def digest_of(*parts: str) -> str:
    """Return a digest that identifies a request's body."""
    data = '\0'.join(parts).encode()
    return hashlib.blake2b(data, digest_size=16).hexdigest()


@functools.singledispatch
def apply(record: object, program: Program | None) -> Program:
    """Return the program after a record.

    Raises:
        OutOfOrder: the record does not follow from the state.
    """
    raise errors.OutOfOrder(f'{type(record).__name__} is no program record')


@apply.register
def _(record: records.ProgramCreated, program):
    if program is not None:
        raise errors.OutOfOrder(f'{record.program_id} exists already')
    return Program(record)


@apply.register
def _(record: records.CallAccepted, program):
    if program.ended is not None or record.turn != len(program.turns):
        raise errors.OutOfOrder(f'{program.id}: turn {record.turn}')
    turns = (*program.turns, Turn(record))
    return dataclasses.replace(program, turns=turns)


@apply.register
def _(record: records.StepStarted, program):
    turn = _open(program, record.turn)
    if record.step != len(turn.steps) or _has_open_step(turn):
        raise errors.OutOfOrder(f'{program.id}: step {record.step}')
    grown = dataclasses.replace(turn, steps=(*turn.steps, Step(record)))
    program = _with_turn(program, grown)
    if record.kind != 'engine':
        return program
    caching_servers = program.caching_servers | {record.server}
    return dataclasses.replace(program, caching_servers=caching_servers)


@apply.register
def _(record: records.StepFinished, program):
    turn = _open(program, record.turn)
    if record.step != len(turn.steps) - 1 or not _has_open_step(turn):
        raise errors.OutOfOrder(f'{program.id}: step {record.step}')
    finished = dataclasses.replace(turn.steps[-1], finished=record)
    steps = (*turn.steps[:-1], finished)
    program = _with_turn(program, dataclasses.replace(turn, steps=steps))
    spent_tokens = program.spent_tokens + record.charged_tokens
    return dataclasses.replace(program, spent_tokens=spent_tokens)


@apply.register
def _(record: records.AnswerReady, program):
    turn = _open(program, record.turn)
    return _with_turn(program, dataclasses.replace(turn, answer=record))


@apply.register
def _(record: records.ProgramEnded, program):
    return dataclasses.replace(program, ended=record)


@apply.register
def _(record: records.CacheReleased, program):
    caching_servers = program.caching_servers - {record.server}
    return dataclasses.replace(program, caching_servers=caching_servers)


def find_open_turn(program: Program) -> Turn | None:
    """Return the oldest turn without a final answer."""
    for turn in program.turns:
        if turn.answer is None:
            return turn
    return None


def finish_interrupted_step(
    program: Program, now_s: float
) -> records.StepFinished | None:
    """Close a step that a dead owner left open: its outcome is unknown.

    The whole reservation is charged, since the request may have run.
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
    declared: declaration.Declaration,
    now_s: float,
) -> Action:
    """Decide what a turn without an open step needs next."""
    limited = _limit(program, turn, declared, now_s)
    if limited is not None:
        return limited
    last = turn.steps[-1] if turn.steps else None
    if last is not None and last.finished.outcome != 'ok':
        return _retry(program, turn, declared)
    if program.is_plain_request:
        return _request_action(program, turn, declared)
    pending = _pending_call(turn)
    if pending is not None:
        return _tool_action(program, turn, pending, declared)
    if last is not None and last.started.kind == 'engine':
        return Finish('ok', 'ok', last.finished.output, 'yes')
    return _engine_action(program, turn, declared)


def build_step_started(
    program: Program, turn: Turn, action: Action, server: str, now_s: float
) -> records.StepStarted:
    """Return the record that must be durable before an action runs."""
    return records.StepStarted(
        program_id=program.id,
        turn=turn.accepted.turn,
        step=len(turn.steps),
        server=server,
        started_at_s=now_s,
        **_start_fields(action),
    )


@functools.singledispatch
def _start_fields(action):
    raise TypeError(type(action).__name__)


@_start_fields.register
def _(action: CallEngine):
    return {
        'kind': 'engine',
        'target': action.service,
        'call_id': '',
        'digest': '',
        'idempotent': True,
        'reserved_tokens': action.prompt_tokens + action.answer_tokens,
    }


@_start_fields.register
def _(action: CallTool):
    return {
        'kind': 'tool',
        'target': action.name,
        'call_id': action.call_id,
        'digest': digest_of(action.name, action.arguments),
        'idempotent': action.idempotent,
        'reserved_tokens': 0,
    }


@_start_fields.register
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
    """Return the task that a model gives a sub-agent; '' if malformed."""
    try:
        return str(json.loads(call.arguments)['task'])
    except (ValueError, KeyError, TypeError):
        return ''


def _open(program, number):
    turn = find_open_turn(program)
    if turn is None or turn.accepted.turn != number:
        raise errors.OutOfOrder(f'{program.id}: turn {number} is not open')
    return turn


def _has_open_step(turn):
    return bool(turn.steps) and turn.steps[-1].finished is None


def _with_turn(program, turn):
    number = turn.accepted.turn
    turns = program.turns[:number] + (turn,) + program.turns[number + 1 :]
    return dataclasses.replace(program, turns=turns)


def run_status(turn: Turn) -> str:
    """Tell truthfully whether anything of a turn ran."""
    outcomes = {
        step.finished.outcome if step.finished else 'unknown'
        for step in turn.steps
    }
    if 'unknown' in outcomes:
        return 'unknown'
    return 'yes' if 'ok' in outcomes else 'no'


def _limit(program, turn, declared, now_s):
    """Return the end of a turn that has reached a bound."""
    if program.ended is not None:
        return Finish('failed', 'program_ended', '', run_status(turn))
    deadline_at_s = program.created.deadline_at_s
    if deadline_at_s and now_s >= deadline_at_s:
        return Finish('failed', 'deadline_exceeded', '', run_status(turn))
    if len(turn.steps) >= declared.limits.step_limit:
        return Finish('failed', 'step_limit', '', run_status(turn))
    return None


def _retry(program, turn, declared):
    """Repeat a step that failed, where that is safe and allowed."""
    last = turn.steps[-1]
    unknown = last.finished.outcome == 'unknown'
    if unknown and not last.started.idempotent:
        return Finish('unknown', 'outcome_unknown', '', 'unknown')
    attempts = 0
    for step in reversed(turn.steps):
        if step.started.call_id != last.started.call_id:
            break
        attempts += step.finished.outcome != 'ok'
    if attempts >= declared.limits.attempt_limit:
        return Finish('failed', 'backend_failed', '', run_status(turn))
    if program.is_plain_request:
        return _request_action(program, turn, declared)
    pending = _pending_call(turn)
    if pending is not None:
        return _tool_action(program, turn, pending, declared)
    return _engine_action(program, turn, declared)


def _request_action(program, turn, declared):
    last = turn.steps[-1] if turn.steps else None
    if last is not None and last.finished.outcome == 'ok':
        return Finish('ok', 'ok', last.finished.output, 'yes')
    service = declared.service(program.created.service)
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
    """Return the first tool call of the last model answer not yet done."""
    done = {
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
    return next((call for call in calls if call.call_id not in done), None)


def _tool_action(program, turn, call, declared):
    if _repeats(turn, call) > declared.limits.repeat_limit:
        return Finish('failed', 'loop_detected', '', run_status(turn))
    if call.name == AGENT_TOOL:
        return _agent_action(program, turn, call, declared)
    tool = declared.tool(call.name)
    contract = declared.contract(program.created.contract)
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


def _repeats(turn, call):
    """Count how often a turn has asked for the same tool call."""
    counts = collections.Counter(
        (asked.name, asked.arguments)
        for step in turn.steps
        for asked in (step.finished.tool_calls if step.finished else ())
    )
    return counts[call.name, call.arguments]


def _agent_action(program, turn, call, declared):
    share = declared.limits.agent_share
    budget_tokens = int(program.available_tokens * share)
    number = f'{turn.accepted.turn}-{len(turn.steps)}'
    task = parse_agent_task(call)
    if not task:
        return Finish(
            'failed', 'bad_tool_call', call.arguments, run_status(turn)
        )
    return CallAgent(
        call_id=call.call_id,
        child_id=f'{program.id}/{number}',
        task=task,
        budget_tokens=budget_tokens,
    )


def _engine_action(program, turn, declared):
    contract = declared.contract(program.created.contract)
    if contract is None:
        return Finish('failed', 'unknown_contract', '', run_status(turn))
    messages = tuple(_conversation(program))
    prompt_tokens = _prompt_bound(program, messages)
    room_tokens = program.available_tokens - prompt_tokens
    if room_tokens < 1:
        return Finish('failed', 'budget_exhausted', '', run_status(turn))
    return CallEngine(
        service=contract.service,
        messages=messages,
        tools=tuple(declared.tool(name) for name in contract.tools),
        can_spawn_agents=contract.agents,
        prompt_tokens=prompt_tokens,
        answer_tokens=min(room_tokens, declared.limits.answer_tokens),
    )


def _conversation(program):
    """Yield the chat messages of every turn that ran or is open."""
    for turn in program.turns:
        refused = turn.answer is not None and turn.answer.ran == 'no'
        if not refused:
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
                'tool_calls': [_wire_call(c) for c in finished.tool_calls],
            }
        else:
            yield {'role': 'assistant', 'content': finished.output}


def _wire_call(call):
    function = {'name': call.name, 'arguments': call.arguments}
    return {'id': call.call_id, 'type': 'function', 'function': function}


def _prompt_bound(program, messages):
    """Bound the prompt: what an engine counted, plus a token per byte."""
    counted_tokens, counted_messages = _last_count(program)
    fresh = messages[counted_messages:]
    fresh_bytes = sum(len(json.dumps(message)) for message in fresh)
    overhead_tokens = MESSAGE_OVERHEAD_TOKENS * len(fresh)
    return counted_tokens + fresh_bytes + overhead_tokens


def _last_count(program):
    """Return the tokens and messages that the last model call covered."""
    messages = 0
    counted = (0, 0)
    for turn in program.turns:
        refused = turn.answer is not None and turn.answer.ran == 'no'
        if refused:
            continue
        messages += 1
        for step in turn.steps:
            finished = step.finished
            if finished is None or finished.outcome != 'ok':
                continue
            messages += 1
            if step.started.kind == 'engine':
                tokens = finished.prompt_tokens + finished.answer_tokens
                counted = (tokens, messages)
    return counted
