"""Tests of which copies a folder must hold and what it may confirm."""

import pytest

from balsamdale import copies

FOUR_FOLDERS = frozenset('abcd')
NONE_LOST = frozenset()


def tracker_of(own_id, folder_names=FOUR_FOLDERS, lost=NONE_LOST):
    tracker = copies.ReadTracker(own_id)
    tracker.observe(folder_names, lost)
    return tracker


def read_all(tracker):
    for name in tracker.unread():
        tracker.record_read(name, tracker.round)


def test_folder_that_starts_reads_all_others():
    tracker = tracker_of('a')
    assert tracker.unread() == ['b', 'c', 'd']
    read_all(tracker)
    tracker.observe(FOUR_FOLDERS, NONE_LOST)
    assert tracker.unread() == []


def test_lost_or_gone_folder_begins_another_round():
    tracker = tracker_of('a')
    read_all(tracker)
    tracker.observe(FOUR_FOLDERS, frozenset('d'))
    assert tracker.unread() == ['b', 'c']
    read_all(tracker)
    tracker.observe(FOUR_FOLDERS - {'d'}, NONE_LOST)
    assert tracker.unread() == ['b', 'c']


def test_folder_that_has_joined_reads_what_was_stored_meanwhile():
    tracker = tracker_of('a', FOUR_FOLDERS - {'a'})
    read_all(tracker)
    tracker.observe(FOUR_FOLDERS, NONE_LOST)
    assert tracker.unread() == ['b', 'c', 'd']


def test_lost_folder_that_returns_is_read():
    tracker = tracker_of('a', lost=frozenset('d'))
    read_all(tracker)
    tracker.observe(FOUR_FOLDERS, NONE_LOST)
    assert tracker.unread() == ['d']


def test_read_that_began_before_an_event_does_not_count():
    tracker = tracker_of('a')
    round_number = tracker.round
    tracker.observe(FOUR_FOLDERS, frozenset('d'))
    tracker.record_read('b', round_number)
    assert tracker.unread() == ['b', 'c']


def test_key_of_a_lost_folder_stays_until_all_others_confirm():
    """Guards against review/12: the first one to read deleted the key."""
    tracker = tracker_of('a', lost=frozenset('d'))
    assert not tracker.may_forget('d', {'b', 'c'})
    read_all(tracker)
    assert not tracker.may_forget('d', {'b'})
    assert tracker.may_forget('d', {'b', 'c'})
    assert not tracker.may_forget('c', {'b', 'd'})


@pytest.mark.parametrize(
    'names, whole, read, losses, expected',
    [
        ('abc', 'bc', 'bc', 1, True),
        ('abc', 'b', 'b', 1, False),
        # All that there is has been read.
        ('abc', 'b', 'bc', 1, True),
        ('abcde', 'bcd', 'bcd', 2, True),
        # One of three is not in sync and may lack what only 'e' has.
        ('abcde', 'bc', 'bcd', 2, False),
        ('ab', 'b', 'b', 1, True),
        ('a', '', '', 1, False),
        # A folder that joins reads all but one of the set.
        ('bcd', 'bc', 'bc', 1, True),
    ],
)
def test_folder_is_in_sync_once_holders_of_every_record_were_read(
    names, whole, read, losses, expected
):
    assert expected == copies.is_caught_up(
        frozenset(names), 'a', frozenset(whole), frozenset(read), losses
    )


def test_replicas_are_few_of_many_folders():
    names = frozenset(f'd{n}' for n in range(9))
    for number in range(50):
        program_id = f'p{number}'
        replicas = copies.replicas(program_id, names, 1)
        assert len(set(replicas)) == 3
        assert replicas == copies.replicas(program_id, sorted(names), 1)
        for name in names:
            needs = copies.Needs(name, names, 1)
            assert needs(program_id) == (name in replicas)
            assert copies.Needs(name, frozenset('abc'), 1)(program_id)


def test_earlier_sets_count_until_all_have_seen_the_change():
    overlap = copies.SetOverlap(1.0)
    overlap.observe(('a', 'b'), 0.0)
    assert overlap.observe(('a', 'b'), 5.0) == [('a', 'b')]
    assert overlap.observe(('a', 'b', 'c'), 5.5) == [
        ('a', 'b', 'c'),
        ('a', 'b'),
    ]
    assert overlap.observe(('a', 'c'), 6.0) == [
        ('a', 'c'),
        ('a', 'b'),
        ('a', 'b', 'c'),
    ]
    assert overlap.observe(('a', 'c'), 6.6) == [('a', 'c'), ('a', 'b', 'c')]
    assert overlap.observe(('a', 'c'), 7.0) == [('a', 'c')]
