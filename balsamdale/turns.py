"""Access to what an owner reads off a turn."""

from balsamdale import messages
from balsamdale import program
from balsamdale import records

__all__ = [
    'answer_step',
    'estimate_prompt_tokens',
    'final_event',
    'preferred_server',
    'deadline_finish',
    'can_resubmit',
    'find_agent_task',
]

BYTES_PER_TOKEN = 4


def can_resubmit(turn: program.Turn) -> bool:
    """Tell whether a turn was refused unrun and may be tried again."""
    ready = turn.answer
    if ready is None or ready.ran != 'no':
        return False
    return ready.retry_after_s is not None


def final_event(ready: records.AnswerReady) -> messages.AnswerFinal:
    """Return the event that ends a caller's stream."""
    return messages.AnswerFinal(
        ready.turn,
        ready.outcome,
        ready.code,
        ready.text,
        ready.ran,
        ready.retry_after_s,
    )


def deadline_finish(turn: program.Turn) -> program.Finish:
    """Return the end of a turn whose deadline has passed."""
    return program.Finish(
        'failed', 'deadline_exceeded', '', program.run_status(turn)
    )


def preferred_server(held: program.Program) -> str:
    """Return the engine that ran the program's last model call."""
    for turn in reversed(held.turns):
        for step in reversed(turn.steps):
            if step.started.kind == 'engine':
                return step.started.server
    return ''


def answer_step(turn: program.Turn) -> int:
    """Return the step that wrote a turn's answer; -1 where none did."""
    steps = (s.started for s in turn.steps if s.started.kind == 'engine')
    return max((started.step for started in steps), default=-1)


def estimate_prompt_tokens(action: program.CallEngine) -> int:
    """Estimate a prompt; `action.prompt_tokens` bounds it."""
    size_bytes = sum(len(str(m.get('content'))) for m in action.messages)
    return size_bytes // BYTES_PER_TOKEN + 1


def find_agent_task(turn: program.Turn, started: records.StepStarted) -> str:
    """Return the task of the sub-agent that a step runs."""
    for step in turn.steps:
        if step.finished is None:
            continue
        for call in step.finished.tool_calls:
            if call.call_id == started.call_id:
                return program.parse_agent_task(call)
    return ''
