"""Tests of program states and of the actions that follow from them."""

import dataclasses

import pytest

from balsamdale import errors
from balsamdale import program
from balsamdale import records
from tests import builders

DECLARATION = builders.declared()


def fold_records(*history):
    """Return the state of a new program after further records."""
    program_state = None
    for record in (builders.created(), *history):
        program_state = program.apply(record, program_state)
    return program_state


def choose_action(program_state, now_s=builders.NOW_S):
    """Return the next action of the oldest open turn."""
    return program.next_action(
        program_state,
        program.find_open_turn(program_state),
        DECLARATION,
        now_s,
    )


def tool_call(name, arguments='{"query": "x"}', call_id='c1'):
    """Return a tool call of a model."""
    return records.ToolCall(call_id, name, arguments)


def test_a_call_goes_to_the_engine_first():
    action = choose_action(fold_records(builders.accepted()))
    assert isinstance(action, program.CallEngine)
    assert action.messages == ({'role': 'user', 'content': 'hello'},)


def test_tool_calls_run_before_the_next_model_call():
    history = [
        builders.accepted(),
        builders.started(),
        builders.finished(tool_calls=(tool_call('pollen_counts'),)),
    ]
    action = choose_action(fold_records(*history))
    assert isinstance(action, program.CallTool)
    history += [
        builders.started(1, kind='tool', call_id='c1'),
        builders.finished(1, output='low'),
    ]
    action = choose_action(fold_records(*history))
    assert action.messages[-1]['content'] == 'low'


def test_turns_run_in_the_order_of_the_calls():
    program_state = fold_records(builders.accepted(0), builders.accepted(1))
    assert program.find_open_turn(program_state).accepted.turn == 0


def test_a_record_out_of_order_is_refused():
    program_state = fold_records(builders.accepted())
    with pytest.raises(errors.OutOfOrder):
        program.apply(builders.finished(), program_state)
    with pytest.raises(errors.OutOfOrder):
        program.apply(builders.accepted(5), program_state)


def test_the_reservation_never_exceeds_the_budget():
    program_state = fold_records(builders.accepted(text='word ' * 400))
    action = choose_action(program_state)
    reserved_tokens = action.prompt_tokens + action.answer_tokens
    assert reserved_tokens <= program_state.available_tokens
    low_budget = dataclasses.replace(
        program_state, created=builders.created(budget_tokens=100)
    )
    assert choose_action(low_budget).code == 'budget_exhausted'


def test_an_unknown_outcome_is_charged_whole():
    program_state = fold_records(builders.accepted(), builders.started())
    step_finished = program.finish_interrupted_step(
        program_state, builders.NOW_S
    )
    program_state = program.apply(step_finished, program_state)
    assert program_state.spent_tokens == 600
    assert isinstance(choose_action(program_state), program.CallEngine)


def test_a_non_idempotent_step_is_never_sent_again():
    program_state = fold_records(
        builders.accepted(),
        builders.started(),
        builders.finished(tool_calls=(tool_call('clinic_alert'),)),
        builders.started(1, kind='tool', call_id='c1', idempotent=False),
    )
    program_state = program.apply(
        program.finish_interrupted_step(program_state, 0.0), program_state
    )
    action = choose_action(program_state)
    assert (action.code, action.ran) == ('outcome_unknown', 'unknown')


def test_a_step_that_did_not_run_is_tried_again():
    program_state = fold_records(
        builders.accepted(),
        builders.started(),
        builders.finished(outcome='failed', charged_tokens=0),
    )
    assert isinstance(choose_action(program_state), program.CallEngine)


def test_attempts_are_bounded():
    history = [builders.accepted()]
    for step in range(DECLARATION.limits.attempt_limit):
        history.append(builders.started(step))
        history.append(builders.finished(step, outcome='failed'))
    assert choose_action(fold_records(*history)).code == 'backend_failed'


def test_a_loop_of_identical_calls_ends():
    history = [builders.accepted()]
    for index in range(DECLARATION.limits.repeat_limit + 1):
        repeated_call = tool_call('pollen_counts', call_id=f'c{index}')
        history.append(builders.started(2 * index))
        history.append(
            builders.finished(2 * index, tool_calls=(repeated_call,))
        )
        if index < DECLARATION.limits.repeat_limit:
            history.append(
                builders.started(
                    2 * index + 1, kind='tool', call_id=f'c{index}'
                )
            )
            history.append(builders.finished(2 * index + 1))
    assert choose_action(fold_records(*history)).code == 'loop_detected'


def test_a_tool_outside_the_contract_is_refused():
    program_state = fold_records(
        builders.accepted(),
        builders.started(),
        builders.finished(tool_calls=(tool_call('clinic_alert'),)),
    )
    assert choose_action(program_state).code == 'unknown_tool'


def test_a_passed_deadline_ends_the_turn():
    program_state = fold_records(builders.accepted())
    expired = dataclasses.replace(
        program_state, created=builders.created(deadline_at_s=builders.NOW_S)
    )
    action = choose_action(expired)
    assert (action.code, action.ran) == ('deadline_exceeded', 'no')


def test_a_refused_turn_leaves_no_trace_in_the_conversation():
    refused_answer = records.AnswerReady(
        'p', 0, 'failed', 'overloaded', '', 'no', 3.0, builders.NOW_S
    )
    program_state = fold_records(
        builders.accepted(), refused_answer, builders.accepted(1, 'two')
    )
    assert [m['content'] for m in choose_action(program_state).messages] == [
        'two'
    ]
