"""Point 1: the calls of one program run in the order it made them."""

import pytest


@pytest.mark.point(1, 'newest_turn_first')
def test_every_prompt_holds_the_calls_before_it_in_order(sweep):
    for case in sweep:
        for program_id, prompt in case.result.backends.prompts:
            view = case.result.views[program_id]
            prompt_calls = [
                m['content'] for m in prompt if m['role'] == 'user'
            ]
            accepted_calls = [turn.text for turn in view.turns]
            assert prompt_calls == accepted_calls[: len(prompt_calls)], (
                case.name
            )


@pytest.mark.point(1, 'newest_turn_first')
def test_every_prompt_holds_the_answers_before_it(sweep):
    for case in sweep:
        for program_id, prompt in case.result.backends.prompts:
            answers = [
                turn.answer
                for turn in case.result.views[program_id].turns
                if turn.outcome == 'ok'
            ]
            prompt_answers = [
                message['content']
                for message in prompt
                if message['role'] == 'assistant'
                and 'tool_calls' not in message
            ]
            assert prompt_answers == answers[: len(prompt_answers)], case.name
