"""Tests of the memory budget: slow readers, large bodies, many streams."""

import contextlib

import pytest

from balsamdale import errors
from balsamdale.scheduling import memory

LIMIT_BYTES = memory.budget_bytes(88_000_000)
TYPICAL_BODY_BYTES = 17_000


def admit_until_refused(budget, body_bytes, now_s=0.0):
    """Admit and read bodies; return the holdings and the refusal."""
    holdings = []
    while len(holdings) < 100_000:
        try:
            holding = budget.admit(body_bytes, now_s)
        except errors.Refused as refused:
            return holdings, refused
        budget.end_input(holding)
        holdings.append(holding)
    raise AssertionError('no body was refused')


def slow_readers(budget, count, buffered_bytes, now_s=0.0):
    holdings = [budget.admit(0, now_s) for _ in range(count)]
    for holding in holdings:
        budget.end_input(holding)
        budget.record_output(holding, buffered_bytes, buffered_bytes, now_s)
    return holdings


def test_normal_traffic_stays_far_from_the_limit():
    """Guards against refusals in the smallest process, of 88 MB."""
    budget = memory.MemoryBudget(LIMIT_BYTES)
    for _ in range(500):
        budget.end_input(budget.admit(TYPICAL_BODY_BYTES, 0.0))
    assert budget.held_bytes < 0.75 * memory.REFUSE_SHARE * LIMIT_BYTES


@pytest.mark.parametrize('body_bytes', [100_000, 1_000_000, 4_000_000])
def test_large_bodies_are_refused_before_the_limit(body_bytes):
    budget = memory.MemoryBudget(LIMIT_BYTES)
    holdings, refused = admit_until_refused(budget, body_bytes)
    assert len(holdings) * body_bytes <= memory.REFUSE_SHARE * LIMIT_BYTES
    assert (refused.status, refused.ran) == (503, 'no')
    assert refused.retry_after_s > 0
    assert budget.keep(holdings[0], int(0.2 * LIMIT_BYTES))
    for holding in [*holdings, holdings[0]]:
        budget.release(holding, 1.0)
    assert budget.held_bytes == 0


def test_body_of_unknown_size_is_counted_as_it_arrives():
    """Guards against chunked bodies that exceed the memory unseen."""
    budget = memory.MemoryBudget(LIMIT_BYTES)
    holding = budget.admit(None, 0.0)
    with pytest.raises(errors.Refused):
        for _ in range(100_000):
            budget.record_input(holding, 16_384, 0.0)
    assert budget.held_bytes <= memory.REFUSE_SHARE * LIMIT_BYTES


def test_refused_callers_are_spread_over_the_time_that_room_takes():
    budget = memory.MemoryBudget(LIMIT_BYTES)
    holdings, _ = admit_until_refused(budget, 100_000)
    for holding in holdings[:20]:
        budget.release(holding, 1.0)
    admit_until_refused(budget, 100_000, 1.0)
    times_s = []
    for _ in range(30):
        with pytest.raises(errors.Refused) as caught:
            budget.admit(100_000, 1.0)
        times_s.append(caught.value.retry_after_s)
    assert times_s == sorted(times_s)
    assert len(set(times_s)) > 10
    assert times_s[-1] <= memory.MAX_RETRY_AFTER_S


def test_slowest_reader_is_disconnected_first_and_no_more_than_needed():
    budget = memory.MemoryBudget(LIMIT_BYTES)
    size = LIMIT_BYTES // 100
    readers = slow_readers(budget, 86, size)
    for number, holding in enumerate(readers):
        # Each has read, and been sent, a different number of bytes.
        budget.record_output(holding, 100 * number + 5000, size, 1.0)
    assert budget.is_near_limit
    chosen = budget.choose_disconnections(1.0)
    assert [c.reason for c in chosen] == ['slowest'] * len(chosen)
    assert [c.holding for c in chosen] == readers[: len(chosen)]
    remaining_bytes = budget.held_bytes - sum(c.held_bytes for c in chosen)
    limit_bytes = memory.DISCONNECT_SHARE * LIMIT_BYTES
    assert limit_bytes - chosen[-1].held_bytes < remaining_bytes <= limit_bytes
    assert budget.choose_disconnections(1.1) == []


@pytest.mark.parametrize(
    ('moved_bytes', 'is_full', 'is_chosen'),
    [(0, True, True), (0, False, False), (100_000, True, False)],
)
def test_stalled_sender_is_disconnected_only_while_it_keeps_others_out(
    moved_bytes, is_full, is_chosen
):
    """Guards against a few stalled uploads that hold the memory for ever."""
    budget = memory.MemoryBudget(LIMIT_BYTES)
    sender = budget.admit(4_000_000, 0.0)
    budget.record_input(sender, moved_bytes, 0.5)
    if is_full:
        admit_until_refused(budget, 100_000)
        budget.keep(sender, 200_000)
    chosen = budget.choose_disconnections(memory.STALLED_AFTER_S)
    assert [c.holding for c in chosen] == [sender] * is_chosen


def test_many_slow_streams_are_paused_earlier_and_stay_within_the_limit():
    """Replays 2,000 streams that are written until they are paused."""
    budget = memory.MemoryBudget(LIMIT_BYTES)
    assert budget.output_allowance_bytes() == memory.MAX_OUTPUT_BYTES
    highest_bytes = 0
    for number in range(2000):
        now_s = number * 0.01
        with contextlib.suppress(errors.Refused):
            holding = budget.admit(TYPICAL_BODY_BYTES, now_s)
            budget.end_input(holding)
            size = budget.output_allowance_bytes() + 1
            budget.record_output(holding, size, size, now_s)
        highest_bytes = max(highest_bytes, budget.held_bytes)
        for chosen in budget.choose_disconnections(now_s):
            budget.release(chosen.holding, now_s)
    assert budget.output_allowance_bytes() < memory.MAX_OUTPUT_BYTES
    assert highest_bytes <= LIMIT_BYTES
    assert budget.disconnected_callers


def test_without_a_limit_nothing_is_refused_or_disconnected():
    budget = memory.MemoryBudget(memory.budget_bytes(0))
    slow_readers(budget, 1, 10**9)
    assert budget.keep(budget.admit(10**9, 0.0), 10**9)
    assert budget.choose_disconnections(100.0) == []
