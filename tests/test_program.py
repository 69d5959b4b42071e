"""Tests of programs: what follows from a history."""

import dataclasses

import pytest

from balsamdale import errors
from balsamdale import program
from balsamdale import records
from tests import builders

DECLARED = builders.declared()


def history(*rows):
    """Fold records into a program."""
    held = None
    for row in (builders.created(), *rows):
        held = program.apply(row, held)
    return held


def decide(held, now_s=builders.NOW_S):
    """Return the next action of the open turn."""
    return program.next_action(
        held, program.find_open_turn(held), DECLARED, now_s
    )


def call(name, arguments='{"query": "x"}', call_id='c1'):
    """Return a model's tool call."""
    return records.ToolCall(call_id, name, arguments)


def test_a_call_goes_to_the_engine_first():
    action = decide(history(builders.accepted()))
    assert isinstance(action, program.CallEngine)
    assert action.messages == ({'role': 'user', 'content': 'hello'},)


def test_tool_calls_run_before_the_next_model_call():
    rows = [
        builders.accepted(),
        builders.started(),
        builders.finished(tool_calls=(call('pollen_counts'),)),
    ]
    action = decide(history(*rows))
    assert isinstance(action, program.CallTool)
    rows += [
        builders.started(1, kind='tool', call_id='c1'),
        builders.finished(1, output='low'),
    ]
    action = decide(history(*rows))
    assert action.messages[-1]['content'] == 'low'


def test_turns_run_in_the_order_of_the_calls():
    held = history(builders.accepted(0), builders.accepted(1))
    assert program.find_open_turn(held).accepted.turn == 0


def test_a_record_out_of_order_is_refused():
    held = history(builders.accepted())
    with pytest.raises(errors.OutOfOrder):
        program.apply(builders.finished(), held)
    with pytest.raises(errors.OutOfOrder):
        program.apply(builders.accepted(5), held)


def test_the_reservation_never_exceeds_the_budget():
    held = history(builders.accepted(text='word ' * 400))
    action = decide(held)
    reserved = action.prompt_tokens + action.answer_tokens
    assert reserved <= held.available_tokens
    small = dataclasses.replace(
        held, created=builders.created(budget_tokens=100)
    )
    assert decide(small).code == 'budget_exhausted'


def test_an_unknown_outcome_is_charged_whole():
    held = history(builders.accepted(), builders.started())
    closing = program.finish_interrupted_step(held, builders.NOW_S)
    held = program.apply(closing, held)
    assert held.spent_tokens == 600
    assert isinstance(decide(held), program.CallEngine)


def test_a_non_idempotent_step_is_never_sent_again():
    held = history(
        builders.accepted(),
        builders.started(),
        builders.finished(tool_calls=(call('clinic_alert'),)),
        builders.started(1, kind='tool', call_id='c1', idempotent=False),
    )
    held = program.apply(program.finish_interrupted_step(held, 0.0), held)
    action = decide(held)
    assert (action.code, action.ran) == ('outcome_unknown', 'unknown')


def test_a_step_that_did_not_run_is_tried_again():
    held = history(
        builders.accepted(),
        builders.started(),
        builders.finished(outcome='failed', charged_tokens=0),
    )
    assert isinstance(decide(held), program.CallEngine)


def test_attempts_are_bounded():
    rows = [builders.accepted()]
    for step in range(DECLARED.limits.attempt_limit):
        rows.append(builders.started(step))
        rows.append(builders.finished(step, outcome='failed'))
    assert decide(history(*rows)).code == 'backend_failed'


def test_a_loop_of_identical_calls_ends():
    rows = [builders.accepted()]
    for index in range(DECLARED.limits.repeat_limit + 1):
        asked = call('pollen_counts', call_id=f'c{index}')
        rows.append(builders.started(2 * index))
        rows.append(builders.finished(2 * index, tool_calls=(asked,)))
        if index < DECLARED.limits.repeat_limit:
            rows.append(
                builders.started(
                    2 * index + 1, kind='tool', call_id=f'c{index}'
                )
            )
            rows.append(builders.finished(2 * index + 1))
    assert decide(history(*rows)).code == 'loop_detected'


def test_a_tool_outside_the_contract_is_refused():
    held = history(
        builders.accepted(),
        builders.started(),
        builders.finished(tool_calls=(call('clinic_alert'),)),
    )
    assert decide(held).code == 'unknown_tool'


def test_a_passed_deadline_ends_the_turn():
    held = history(builders.accepted())
    late = dataclasses.replace(
        held, created=builders.created(deadline_at_s=builders.NOW_S)
    )
    action = decide(late)
    assert (action.code, action.ran) == ('deadline_exceeded', 'no')


def test_a_refused_turn_leaves_no_trace_in_the_conversation():
    refused = records.AnswerReady(
        'p', 0, 'failed', 'overloaded', '', 'no', 3.0, builders.NOW_S
    )
    held = history(builders.accepted(), refused, builders.accepted(1, 'two'))
    assert [m['content'] for m in decide(held).messages] == ['two']
