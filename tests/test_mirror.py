"""Tests of the mirror of the key-value service."""

import random

from balsamdale import keyvalue
from balsamdale import mirror
from tests import mirror_world


def test_copy_never_goes_back():
    copy = mirror.Mirror()
    pair = keyvalue.Pair('a', b'new', 9)
    assert copy.load_snapshot([pair], 9)
    assert not copy.load_snapshot([keyvalue.Pair('a', b'old', 5)], 8)
    copy.apply_changes([keyvalue.Change('a', b'old', 7)], 7)
    assert copy.get('a') == b'new'


def test_listeners_hear_each_change_below_their_prefix():
    received_changes = []
    copy = mirror.Mirror()
    copy.add_listener(
        'a/', lambda key, value: received_changes.append((key, value))
    )
    copy.load_snapshot(
        [keyvalue.Pair('a/1', b'x', 1), keyvalue.Pair('b', b'y', 2)], 3
    )
    copy.apply_changes([keyvalue.Change('a/1', None, 4)], 4)
    copy.load_snapshot([keyvalue.Pair('a/2', b'z', 6)], 7)
    copy.load_snapshot([], 8)
    assert received_changes == [
        ('a/1', b'x'),
        ('a/1', None),
        ('a/2', b'z'),
        ('a/2', None),
    ]


def test_loaded_copy_is_told_as_a_change_of_the_copy():
    copy = mirror.Mirror()
    copy.load_snapshot([keyvalue.Pair('a', b'x', 5)], 10)
    assert (copy.revision, copy.last_change_revision) == (10, 5)
    copy.load_snapshot([], 12)
    assert (copy.revision, copy.last_change_revision) == (12, 12)


def test_older_write_does_not_replace_a_later_one_of_a_snapshot():
    """A snapshot in pages has writes that the watch delivers afterwards."""
    received_changes = []
    copy = mirror.Mirror()
    copy.add_listener(
        '', lambda key, value: received_changes.append((key, value))
    )
    copy.load_snapshot([keyvalue.Pair('z', b'new', 15)], 10)
    copy.apply_changes([keyvalue.Change('z', b'old', 12)], 12)
    assert copy.get('z') == b'new'
    copy.apply_changes(
        [keyvalue.Change('a', b'1', 13), keyvalue.Change('z', b'new', 15)], 15
    )
    assert received_changes == [('z', b'new'), ('a', b'1')]


def test_followers_hear_of_a_write_once_the_copy_is_complete_at_it():
    """Guards against a position that the source of the copy never had."""
    copy = mirror.Mirror()
    copy.load_snapshot([keyvalue.Pair('z', b'new', 15)], 10)
    assert (copy.revision, copy.last_change_revision) == (10, 10)
    assert copy.changes_after(10) == ()
    copy.apply_changes(
        [keyvalue.Change('a', b'1', 13), keyvalue.Change('z', b'new', 15)], 15
    )
    assert [c.key for c in copy.changes_after(10)] == ['a', 'z']


def test_copy_of_a_peer_does_not_replace_a_later_write():
    copy = mirror.Mirror()
    copy.load_snapshot(
        [keyvalue.Pair('y', b'new', 14), keyvalue.Pair('z', b'new', 15)], 10
    )
    copy.load_snapshot([keyvalue.Pair('z', b'old', 12)], 13)
    assert copy.get('y') == copy.get('z') == b'new'
    copy.apply_changes([keyvalue.Change('y', None, 16)], 16)
    assert copy.get('y') is None


def test_copy_of_a_peer_does_not_restore_a_key_that_was_removed_later():
    """The own snapshot was read after the removal, and is complete before."""
    copy = mirror.Mirror()
    copy.load_snapshot([keyvalue.Pair('a', b'1', 3)], 10)
    copy.load_snapshot([], 12)
    peer_pairs = [keyvalue.Pair('a', b'1', 3), keyvalue.Pair('b', b'1', 13)]
    copy.load_snapshot(peer_pairs, 14, is_of_peer=True)
    assert (copy.get('a'), copy.get('b')) == (None, b'1')


def test_followers_get_the_whole_copy_after_a_snapshot():
    """A key that came and went between two snapshots is in neither."""
    copy = mirror.Mirror()
    copy.load_snapshot([keyvalue.Pair('a', b'1', 3)], 10)
    copy.apply_changes([keyvalue.Change('a', b'2', 15)], 20)
    copy.load_snapshot([keyvalue.Pair('a', b'2', 15)], 30)
    assert copy.changes_after(20) is None
    assert copy.changes_after(30) == ()


def test_copies_are_complete_up_to_their_revisions():
    """Guards against positions taken from anything but the source's own."""
    for seed in range(300):
        world = mirror_world.PagedWorld(random.Random(seed))
        for _ in range(120):
            world.step()
        world.converge()
