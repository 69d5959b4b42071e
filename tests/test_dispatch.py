"""Tests of the queue before a backend server."""

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


def make(**policy):
    """Return a queue."""
    return dispatch.Dispatcher(SERVER, dispatch.Policy(**policy), 0.0)


def ask(name, **changes):
    """Return a request for a grant."""
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


def granted(effects):
    """Return the programs that got a grant."""
    return [e.program_id for e in effects if isinstance(e, dispatch.Granted)]


def finish(queue, name, now_s, tokens=3100, awaits_caller=False):
    """Return a program's grant."""
    queue.finish_grant(
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
    queue = make()
    for name in 'abc':
        queue.enqueue(ask(name), 0.0)
    assert granted(queue.poll(0.0)) == ['a', 'b']
    finish(queue, 'a', 1.0)
    assert granted(queue.poll(1.0)) == ['c']


def test_a_second_dispatcher_uses_half_until_old_grants_lapse():
    queue = dispatch.Dispatcher(SERVER, dispatch.Policy(), 0.0, False)
    for name in 'ab':
        queue.enqueue(ask(name), 0.0)
    assert granted(queue.poll(0.0)) == ['a']
    queue.renew('grant-a', dispatch.GRANT_LEASE_S)
    assert granted(queue.poll(dispatch.GRANT_LEASE_S)) == ['b']


def test_a_grant_lapses_unless_renewed():
    queue = make()
    queue.enqueue(ask('a'), 0.0)
    queue.poll(0.0)
    assert queue.renew('grant-a', 2.0)
    queue.poll(4.0)
    assert queue.running_count == 1
    queue.poll(2.0 + dispatch.GRANT_LEASE_S)
    assert queue.running_count == 0


def test_urgent_calls_go_first_then_the_least_slack():
    queue = make()
    queue.enqueue(ask('standard'), 0.0)
    queue.enqueue(ask('late', priority='deadline', slack_s=50.0), 0.0)
    queue.enqueue(ask('soon', priority='deadline', slack_s=20.0), 0.0)
    queue.enqueue(ask('urgent', priority='urgent', slack_s=90.0), 0.0)
    assert granted(queue.poll(0.0)) == ['urgent', 'soon']


def test_a_program_that_does_not_fit_waits_for_a_tool_pause():
    queue = make()
    queue.enqueue(ask('a', prompt_tokens=8000), 0.0)
    queue.poll(0.0)
    finish(queue, 'a', 1.0, tokens=8100)
    queue.enqueue(ask('b'), 1.0)
    assert not queue.poll(1.0)


def test_a_program_whose_turn_is_over_makes_room_and_is_exported():
    queue = make()
    queue.enqueue(ask('a', prompt_tokens=4500), 0.0)
    queue.enqueue(ask('b', prompt_tokens=4500), 0.0)
    queue.poll(0.0)
    finish(queue, 'a', 1.0, tokens=4600, awaits_caller=True)
    finish(queue, 'b', 1.0, tokens=4600)
    queue.enqueue(ask('c'), 1.0)
    effects = queue.poll(1.0)
    assert effects[0] == dispatch.Park('a', True)
    assert granted(effects) == ['c']
    finish(queue, 'c', 2.0)
    queue.end_program('c', 2.0)
    queue.enqueue(ask('a', prompt_tokens=4600), 2.0)
    assert [e.imports for e in queue.poll(2.0)] == [True]


def test_an_ended_program_frees_its_working_set():
    queue = make()
    queue.enqueue(ask('a', prompt_tokens=9000), 0.0)
    queue.poll(0.0)
    finish(queue, 'a', 1.0, tokens=9100)
    queue.end_program('a', 1.0)
    queue.enqueue(ask('b', prompt_tokens=9000), 1.0)
    assert granted(queue.poll(1.0)) == ['b']


def test_a_call_that_would_be_late_is_refused_at_once():
    queue = make()
    slow = {'answer_tokens': 10000}
    for name in 'abcdef':
        queue.enqueue(ask(name, priority='urgent', **slow), 0.0)
    queue.poll(0.0)
    (rejected,) = queue.enqueue(
        ask('g', priority='urgent', slack_s=5.0, **slow), 0.0
    )
    assert rejected.code == 'would_be_late' and rejected.retry_after_s > 0
    assert queue.waiting_count == 4


def test_a_request_that_waited_too_long_is_refused():
    queue = make()
    for name in 'abc':
        queue.enqueue(ask(name, wait_s=10.0), 0.0)
    queue.poll(0.0)
    for name in 'ab':
        queue.renew(f'grant-{name}', 10.0)
    rejected = [
        e for e in queue.poll(10.5) if isinstance(e, dispatch.Rejected)
    ]
    assert [e.grant_id for e in rejected] == ['grant-c']


def test_a_repeated_request_does_not_queue_twice():
    queue = make()
    queue.enqueue(ask('a'), 0.0)
    queue.enqueue(ask('a'), 0.5)
    assert queue.waiting_count == 1
    queue.poll(1.0)
    queue.enqueue(ask('a'), 1.5)
    assert (queue.waiting_count, queue.running_count) == (0, 1)
