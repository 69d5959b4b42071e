"""Tests of the evidence against requests that crash servers."""

import pytest

from balsamdale import quarantine
from balsamdale import request_state
from tests import builders_routed as builders

LIMIT = 3
FIRST_S, SECOND_S, LAST_S = quarantine.QUARANTINES_S


def create(**options):
    return quarantine.Quarantine(LIMIT, **options)


def crash(crashes, digest='d', start=0, now_s=0.0, count=LIMIT, **options):
    """Report crashes with numbers from `start`."""
    return [
        crashes.report(digest, f's@{number}', now_s, **options)
        for number in range(start, start + count)
    ]


def test_third_crash_quarantines_and_a_repeated_report_counts_once():
    crashes = create()
    assert not any(crash(crashes, count=2) + crash(crashes, count=2))
    assert not crashes.is_quarantined('d', 0.0)
    assert crash(crashes, start=2, count=2) == [True, False]
    assert crashes.is_quarantined('d', 0.0)
    assert crashes.crash_ids('d') == ('s@1', 's@2', 's@3')


def test_request_that_ran_between_crashes_is_not_quarantined():
    """It was in flight at three crashes and refused until a restart."""
    crashes = create()
    for number in range(10):
        crash(crashes, start=number, count=1)
        assert crashes.is_suspected('d', 0.0)
        assert crashes.refute('d')
    assert not crashes.refute('d')
    assert not crashes.is_suspected('d', 0.0)
    assert crashes.refuted == 10


def test_suspicion_ages_from_the_latest_crash():
    crashes = create()
    crash(crashes, count=2)
    late_s = quarantine.SUSPICION_S
    assert not crashes.is_suspected('d', late_s)
    crash(crashes, start=2, count=2, now_s=late_s)
    assert not crashes.is_quarantined('d', late_s)
    assert crash(crashes, start=4, count=1, now_s=2 * late_s - 1.0) == [True]


def test_quarantine_ends_and_the_next_crash_begins_a_longer_one():
    """Nothing but a restart ended a quarantine."""
    crashes = create()
    now_s = 0.0
    crash(crashes, now_s=now_s)
    for number, length_s in enumerate((FIRST_S, SECOND_S, LAST_S, LAST_S)):
        assert crashes.is_quarantined('d', now_s + length_s - 1.0)
        now_s += length_s
        assert not crashes.is_quarantined('d', now_s)
        assert crash(crashes, start=10 + number, count=1, now_s=now_s) == [
            True
        ]


def test_crashes_during_a_quarantine_do_not_make_it_longer():
    crashes = create()
    crash(crashes)
    crash(crashes, start=3, now_s=FIRST_S - 1.0)
    assert not crashes.is_quarantined('d', FIRST_S)


def test_request_that_was_quarantined_long_ago_is_forgotten():
    crashes = create()
    crash(crashes)
    crashes.expire(2 * FIRST_S)
    assert not len(crashes)


def test_workspace_cannot_push_out_the_evidence_against_another():
    """10,000 digests of one caller made an entry forget all others."""
    crashes = create(record_limit=10)
    crash(crashes, 'poison', workspace='a')
    for number in range(100):
        crash(crashes, f'b{number}', count=1, workspace='b')
    assert len(crashes) == 10
    assert crashes.is_quarantined('poison', 0.0)
    assert crashes.is_suspected('b99', 0.0)
    assert crashes.evicted == 91


def test_suspected_requests_are_forgotten_before_quarantined_ones():
    crashes = create(record_limit=10)
    crash(crashes, 'poison', workspace='a')
    for number in range(100):
        crash(crashes, f'a{number}', count=1, workspace='a')
    assert crashes.is_quarantined('poison', 0.0)


def test_crashes_told_by_earlier_builds_count_with_those_of_this_one():
    crashes = create()
    crash(crashes, 'new', count=2)
    crash(crashes, 'old', start=1, count=1)
    assert not crashes.is_quarantined('new', 0.0, 'old')
    crash(crashes, 'old', start=2, count=1)
    assert crashes.is_quarantined('new', 0.0, 'old')
    assert not crashes.is_quarantined('other', 0.0, 'old')
    crash(crashes, 'old', start=3, count=1)
    assert crashes.is_quarantined('other', 0.0, 'old')


def test_what_a_peer_tells_of_is_known_with_its_age():
    known, told = create(), create()
    crash(known, 'held', now_s=100.0, workspace='a')
    crash(known, 'suspected', now_s=400.0, count=2)
    for record in known.records(500.0):
        assert told.merge(record, 7000.0) == (record.digest == 'held')
    assert told.is_quarantined('held', 7000.0 + FIRST_S - 401.0)
    assert not told.is_quarantined('held', 7000.0 + FIRST_S - 399.0)
    left_s = quarantine.SUSPICION_S - 100.0
    assert told.is_suspected('suspected', 7000.0 + left_s - 1.0)
    assert not told.is_suspected('suspected', 7000.0 + left_s + 1.0)


def test_evidence_does_not_grow_younger_on_its_way_between_peers():
    first, second = create(), create()
    crash(first, count=2)
    for now_s in range(0, 590, 10):
        for record in first.records(now_s):
            second.merge(record, now_s)
        first, second = second, first
    assert not first.is_suspected('d', 601.0)
    assert not second.is_suspected('d', 601.0)


def test_end_of_a_quarantine_is_told_too():
    """A peer that learned of it anew would hold the request once more."""
    known, told = create(), create()
    crash(known)
    (record,) = known.records(FIRST_S + 1.0)
    assert not told.merge(record, 0.0)
    assert crash(told, start=9, count=1) == [True]
    assert told.is_quarantined('d', SECOND_S - 1.0)


@pytest.mark.parametrize(
    'changes',
    (
        {'digest': ''},
        {'digest': 'd' * 1000},
        {'crash_ids': ('c',) * 1000},
        {'workspace': 'w' * 1000},
        {'age_s': float('nan')},
        {'held_s': float('inf')},
    ),
)
def test_record_out_of_range_is_not_valid(changes):
    fields = {'digest': 'd', 'workspace': 'a', 'crash_ids': ('c',)}
    assert quarantine.CrashRecord(**fields).is_valid()
    assert not quarantine.CrashRecord(**{**fields, **changes}).is_valid()


def test_times_that_a_peer_tells_are_cut_to_the_range():
    crashes = create()
    crashes.merge(
        quarantine.CrashRecord('d', '', ('a', 'b', 'c'), -1e9, -5, 0.0), 0.0
    )
    crashes.merge(
        quarantine.CrashRecord('e', '', ('a', 'b', 'c'), 0.0, 9**9, 1e12), 0.0
    )
    assert crashes.is_quarantined('e', LAST_S - 1.0)
    for digest in 'de':
        assert not crashes.is_quarantined(digest, LAST_S)


def test_digest_tells_callers_histories_and_methods_apart():
    """All programs that sent the same short input were refused together."""
    stored = builders.route(stores_turns=True)
    call = builders.call(body=b'yes, please go on')

    def digest(call=call, route=stored, workspace='a', parent_id='t1'):
        return request_state.crash_digest(call, route, workspace, parent_id)

    variants = {
        digest(),
        digest(workspace='b'),
        digest(parent_id='t2'),
        digest(builders.call(body=b'yes')),
        digest(builders.call(body=call.body, method='PUT')),
        digest(builders.call(body=call.body, target='/a/x?y')),
    }
    assert len(variants) == 6
    again = builders.call(
        body=call.body, request_id='q2', headers=(('X', 'y'),), timeout_s=9.0
    )
    assert digest(again) == digest()
    plain = builders.route()
    assert digest(route=plain) == digest(route=plain, parent_id='t2')


def test_parts_of_a_digest_cannot_be_moved_from_one_to_the_next():
    first = builders.call(method='POST', target='/ab')
    second = builders.call(method='POST/', target='ab')
    route = builders.route()
    assert request_state.crash_digest(
        first, route, 'w', ''
    ) != request_state.crash_digest(second, route, 'w', '')
