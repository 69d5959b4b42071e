"""Facts that an owner derives from a turn."""

from balsamdale import messages
from balsamdale import program
from balsamdale import records

__all__ = [
    'answer_step',
    'can_resubmit',
    'deadline_finish',
    'estimate_prompt_tokens',
    'final_event',
    'find_agent_task',
    'preferred_server',
]

BYTES_PER_TOKEN = 4


def can_resubmit(turn: program.Turn) -> bool:
    """Return whether a turn did not run and its caller may submit it again."""
    answer_record = turn.answer
    if answer_record is None or answer_record.ran != 'no':
        return False
    return answer_record.retry_after_s is not None


def final_event(answer_record: records.AnswerReady) -> messages.AnswerFinal:
    """Return the event that ends a caller's stream."""
    return messages.AnswerFinal(
        answer_record.turn,
        answer_record.outcome,
        answer_record.code,
        answer_record.text,
        answer_record.ran,
        answer_record.retry_after_s,
    )


def deadline_finish(turn: program.Turn) -> program.Finish:
    """Return the action that ends a turn whose deadline has passed."""
    return program.Finish(
        'failed', 'deadline_exceeded', '', program.run_status(turn)
    )


def preferred_server(program_state: program.Program) -> str:
    """Return the engine that ran the program's last model call, or ''.

    Its prefix cache is warm.
    """
    for turn in reversed(program_state.turns):
        for step in reversed(turn.steps):
            if step.started.kind == 'engine':
                return step.started.server
    return ''


def answer_step(turn: program.Turn) -> int:
    """Return the number of the step that wrote the answer; -1 for none."""
    steps = (s.started for s in turn.steps if s.started.kind == 'engine')
    return max((started.step for started in steps), default=-1)


def estimate_prompt_tokens(action: program.CallEngine) -> int:
    """Return an estimate of a prompt's length.

    `action.prompt_tokens` is the upper bound.
    """
    size_bytes = sum(len(str(m.get('content'))) for m in action.messages)
    return size_bytes // BYTES_PER_TOKEN + 1


def find_agent_task(turn: program.Turn, started: records.StepStarted) -> str:
    """Return the task of the sub-agent that a step runs, or ''."""
    for step in turn.steps:
        if step.finished is None:
            continue
        for call in step.finished.tool_calls:
            if call.call_id == started.call_id:
                return program.parse_agent_task(call)
    return ''
