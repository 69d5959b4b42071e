"""Tests of the queue for slots: order, expected starts and refusals."""

import pytest

from balsamdale.scheduling import admission

NOW_S = 100.0


def request(hold_id, now_s=NOW_S, timeout_s=2.0, **fields):
    fields = {'return_key': f'key-{hold_id}', 'workspace': 'w', **fields}
    return admission.SlotRequest(
        'e', hold_id, now_s, now_s + timeout_s, **fields
    )


def queue(*requests, slots=3, now_s=NOW_S):
    """Return an admission that frees 10 slots per second."""
    waiting = admission.Admission()
    waiting.set_slots(slots)
    for each in requests:
        waiting.add(each, now_s)
    return waiting


def order(waiting, now_s=NOW_S):
    return [r.hold_id for r in waiting.ordered(now_s)]


ORDERS = {
    'rank before all': ({'rank': 1, 'is_in_progress': True}, {'rank': 0}),
    'in progress before new': (
        {'timeout_s': 1.0},
        {'timeout_s': 3.0, 'is_in_progress': True},
    ),
    'least slack by deadline': ({'timeout_s': 2.0}, {'timeout_s': 1.0}),
    'least slack by work': ({'work_s': 0.2}, {'work_s': 0.9}),
    'deadline of the program': ({}, {'order_deadline_s': NOW_S + 1.0}),
}


@pytest.mark.parametrize('name', ORDERS)
def test_more_urgent_request_goes_first(name):
    later, first = ORDERS[name]
    waiting = queue(request(1, **later), request(2, **first))
    assert order(waiting) == [2, 1]


def test_start_follows_from_the_queue_ahead_and_the_slots_freed():
    waiting = queue(*(request(n, timeout_s=n) for n in (1, 2, 3)))
    assert waiting.start_s(('e', 3), NOW_S) == pytest.approx(0.3)
    assert waiting.start_s(('e', 9), NOW_S) == 0.0
    for _ in range(200):
        waiting.record_held(0.6)
    assert waiting.start_s(('e', 3), NOW_S) == pytest.approx(0.6, rel=0.01)


def test_arrivals_of_higher_rank_delay_the_expected_start():
    """Guards against admitting requests that are then displaced."""
    waiting = queue(request(1, rank=1))
    for number in range(2, 6):
        waiting.add(request(number), NOW_S)
        waiting.start(('e', number), NOW_S)
    assert waiting.start_s(('e', 1), NOW_S) > 0.15


CASES = [
    # Remaining time, whether in progress, and whether it may wait 0.3 s.
    (2.0, False, True),
    (1.0, False, False),
    (1.0, True, True),
    (0.6, True, False),
]


@pytest.mark.parametrize(('timeout_s', 'is_in_progress', 'may_wait'), CASES)
def test_request_waits_only_if_it_still_meets_its_deadline(
    timeout_s, is_in_progress, may_wait
):
    waiting = queue(request(1, rank=0), request(2, rank=0))
    waiting._arrivals.clear()
    new = request(
        3, timeout_s=timeout_s, rank=1, is_in_progress=is_in_progress
    )
    waiting.add(new, NOW_S)
    refused = waiting.refuse_late(NOW_S, new.key)
    assert [r.reason for r in refused] == ([] if may_wait else ['late'])


def test_displaced_request_is_refused_at_once():
    last = request(1, timeout_s=0.75, rank=1)
    waiting = queue(last)
    assert not waiting.refuse_late(NOW_S)
    for number in range(2, 7):
        waiting.add(request(number), NOW_S)
    (refusal,) = waiting.refuse_late(NOW_S, ('e', 6))
    assert refusal.request == last
    assert refusal.reason == 'displaced'
    assert refusal.ahead == 5


def test_loss_of_servers_refuses_those_that_cannot_be_served():
    waiting = queue(
        *(request(n, timeout_s=1.0 + n / 100) for n in range(1, 6))
    )
    assert not waiting.refuse_late(NOW_S)
    waiting.set_slots(1)
    assert [r.request.hold_id for r in waiting.refuse_late(NOW_S)] == [3, 4, 5]
    waiting.set_slots(0)
    assert len(waiting.refuse_late(NOW_S)) == 2
    assert not len(waiting)


def refuse(waiting, each, start_s, now_s=NOW_S):
    return waiting.refuse(each, 'late', start_s, 0, now_s)


def test_returning_caller_goes_before_new_programs():
    waiting = queue(*(request(n) for n in range(1, 9)))
    refusal = refuse(waiting, request(20, return_key='again'), 0.3)
    again_s = NOW_S + refusal.retry_after_s
    again = request(21, again_s, 1.0, return_key='again')
    waiting.add(again, again_s)
    assert order(waiting)[0] == 21
    assert not waiting.refuse_late(again_s, again.key)


def test_caller_that_returns_late_finds_no_place():
    waiting = queue(request(1))
    refusal = refuse(waiting, request(20, return_key='again'), 0.3)
    late_s = NOW_S + refusal.retry_after_s + admission.RESERVED_S + 0.01
    waiting.add(request(21, late_s, return_key='again'), late_s)
    assert order(waiting) == [1, 21]


def test_reserved_places_are_bounded_in_number_and_share():
    """Guards against a flood of refusals that reserves the whole future."""
    waiting = queue(slots=3000)
    refusals = [refuse(waiting, request(n), 0.3) for n in range(1000)]
    times = [r.retry_after_s for r in refusals]
    assert len(waiting._places) <= admission.RESERVED_LIMIT
    per_s = 1 / (times[1] - times[0])
    share = admission.RESERVED_SHARE * waiting.freed_per_s
    assert per_s == pytest.approx(share)


def test_refusal_that_nobody_can_follow_reserves_no_place():
    waiting = queue()
    refusal = refuse(waiting, request(1, timeout_s=1.0), 0.5)
    assert refusal.retry_after_s == pytest.approx(0.5)
    assert not waiting._places


def test_retry_time_is_bounded_without_servers():
    refusal = refuse(queue(slots=0), request(1), float('inf'))
    assert refusal.retry_after_s == admission.MAX_RETRY_AFTER_S


def test_workspace_that_is_owed_requests_goes_first():
    waiting = queue()
    for number in range(1, 21):
        waiting.add(request(number), NOW_S)
        waiting.start(('e', number), NOW_S)
    for number in range(21, 24):
        waiting.add(request(number, workspace='poor', rank=9), NOW_S)
    waiting.add(request(30), NOW_S)
    first = order(waiting)
    assert first[0] == 21
    assert first[1] == 30
