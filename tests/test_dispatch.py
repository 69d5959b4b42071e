"""Tests of the request queue of a backend server."""

import dataclasses

from balsamdale import dispatch
from balsamdale import messages
from tests import builders

SERVER = dataclasses.replace(
    builders.declared().server('forecast-1'),
    slots=2,
    cache_tokens=10000,
    export_tokens=5000,
    import_tokens_per_s=1e6,
)


def make_dispatcher(**policy):
    """Return the dispatcher of a server with two slots."""
    return dispatch.Dispatcher(SERVER, dispatch.Policy(**policy), 0.0)


def grant_request(name, **changes):
    """Return a request for a grant, with some fields changed."""
    fields = {
        'server': SERVER.name,
        'program_id': name,
        'grant_id': f'grant-{name}',
        'priority': 'standard',
        'slack_s': -1.0,
        'attained_tokens': 0,
        'prompt_tokens': 3000,
        'answer_tokens': 100,
        'wait_s': 60.0,
    }
    return messages.GrantRequest(**{**fields, **changes})


def granted_programs(effects):
    """Return the ids of the programs that got a grant."""
    return [
        effect.program_id
        for effect in effects
        if isinstance(effect, dispatch.Granted)
    ]


def finish_grant(dispatcher, name, now_s, tokens=3100, awaits_caller=False):
    """Return a program's grant to the dispatcher."""
    dispatcher.finish_grant(
        messages.GrantDone(
            SERVER.name,
            name,
            f'grant-{name}',
            tokens,
            False,
            awaits_caller,
        ),
        now_s,
    )


def test_no_more_grants_are_out_than_slots():
    dispatcher = make_dispatcher()
    for name in 'abc':
        dispatcher.enqueue(grant_request(name), 0.0)
    assert granted_programs(dispatcher.poll(0.0)) == ['a', 'b']
    finish_grant(dispatcher, 'a', 1.0)
    assert granted_programs(dispatcher.poll(1.0)) == ['c']


def test_a_second_dispatcher_uses_half_until_old_grants_lapse():
    dispatcher = dispatch.Dispatcher(SERVER, dispatch.Policy(), 0.0, False)
    for name in 'ab':
        dispatcher.enqueue(grant_request(name), 0.0)
    assert granted_programs(dispatcher.poll(0.0)) == ['a']
    dispatcher.renew('grant-a', dispatch.GRANT_LEASE_S)
    assert granted_programs(dispatcher.poll(dispatch.GRANT_LEASE_S)) == ['b']


def test_a_grant_lapses_unless_renewed():
    dispatcher = make_dispatcher()
    dispatcher.enqueue(grant_request('a'), 0.0)
    dispatcher.poll(0.0)
    assert dispatcher.renew('grant-a', 2.0)
    dispatcher.poll(4.0)
    assert dispatcher.running_count == 1
    dispatcher.poll(2.0 + dispatch.GRANT_LEASE_S)
    assert dispatcher.running_count == 0


def test_urgent_calls_go_first_then_the_least_slack():
    dispatcher = make_dispatcher()
    dispatcher.enqueue(grant_request('standard'), 0.0)
    dispatcher.enqueue(
        grant_request('late', priority='deadline', slack_s=50.0), 0.0
    )
    dispatcher.enqueue(
        grant_request('soon', priority='deadline', slack_s=20.0), 0.0
    )
    dispatcher.enqueue(
        grant_request('urgent', priority='urgent', slack_s=90.0), 0.0
    )
    assert granted_programs(dispatcher.poll(0.0)) == ['urgent', 'soon']


def test_a_program_that_does_not_fit_waits_for_a_tool_pause():
    dispatcher = make_dispatcher()
    dispatcher.enqueue(grant_request('a', prompt_tokens=8000), 0.0)
    dispatcher.poll(0.0)
    finish_grant(dispatcher, 'a', 1.0, tokens=8100)
    dispatcher.enqueue(grant_request('b'), 1.0)
    assert not dispatcher.poll(1.0)


def test_a_program_whose_turn_is_over_makes_room_and_is_exported():
    dispatcher = make_dispatcher()
    dispatcher.enqueue(grant_request('a', prompt_tokens=4500), 0.0)
    dispatcher.enqueue(grant_request('b', prompt_tokens=4500), 0.0)
    dispatcher.poll(0.0)
    finish_grant(dispatcher, 'a', 1.0, tokens=4600, awaits_caller=True)
    finish_grant(dispatcher, 'b', 1.0, tokens=4600)
    dispatcher.enqueue(grant_request('c'), 1.0)
    effects = dispatcher.poll(1.0)
    assert effects[0] == dispatch.Park('a', True)
    assert granted_programs(effects) == ['c']
    finish_grant(dispatcher, 'c', 2.0)
    dispatcher.end_program('c', 2.0)
    dispatcher.enqueue(grant_request('a', prompt_tokens=4600), 2.0)
    assert [effect.imports for effect in dispatcher.poll(2.0)] == [True]


def test_an_ended_program_frees_its_working_set():
    dispatcher = make_dispatcher()
    dispatcher.enqueue(grant_request('a', prompt_tokens=9000), 0.0)
    dispatcher.poll(0.0)
    finish_grant(dispatcher, 'a', 1.0, tokens=9100)
    dispatcher.end_program('a', 1.0)
    dispatcher.enqueue(grant_request('b', prompt_tokens=9000), 1.0)
    assert granted_programs(dispatcher.poll(1.0)) == ['b']


def test_a_call_that_would_be_late_is_refused_at_once():
    dispatcher = make_dispatcher()
    long_answer = {'answer_tokens': 10000}
    for name in 'abcdef':
        dispatcher.enqueue(
            grant_request(name, priority='urgent', **long_answer), 0.0
        )
    dispatcher.poll(0.0)
    (rejected,) = dispatcher.enqueue(
        grant_request('g', priority='urgent', slack_s=5.0, **long_answer), 0.0
    )
    assert rejected.code == 'would_be_late' and rejected.retry_after_s > 0
    assert dispatcher.waiting_count == 4


def test_a_request_that_waited_too_long_is_refused():
    dispatcher = make_dispatcher()
    for name in 'abc':
        dispatcher.enqueue(grant_request(name, wait_s=10.0), 0.0)
    dispatcher.poll(0.0)
    for name in 'ab':
        dispatcher.renew(f'grant-{name}', 10.0)
    rejected = [
        effect
        for effect in dispatcher.poll(10.5)
        if isinstance(effect, dispatch.Rejected)
    ]
    assert [effect.grant_id for effect in rejected] == ['grant-c']


def test_a_repeated_request_does_not_queue_twice():
    dispatcher = make_dispatcher()
    dispatcher.enqueue(grant_request('a'), 0.0)
    dispatcher.enqueue(grant_request('a'), 0.5)
    assert dispatcher.waiting_count == 1
    dispatcher.poll(1.0)
    dispatcher.enqueue(grant_request('a'), 1.5)
    assert (dispatcher.waiting_count, dispatcher.running_count) == (0, 1)
