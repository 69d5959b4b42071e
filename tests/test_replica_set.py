"""Tests of the replica set."""

from balsamdale import codec
from balsamdale import replica_set

THREE_FOLDERS = frozenset('abc')
FOUR_FOLDERS = frozenset('abcd')


def test_members_follow_the_mirror():
    replicas = replica_set.ReplicaSet()
    folder = replica_set.Folder('a', 'domain')
    replicas.apply_change(replica_set.folder_key('a'), codec.encode(folder))
    replicas.apply_change(replica_set.folder_key('x'), b'\xff')
    assert replicas.folders() == (folder,)
    replicas.apply_change(replica_set.folder_key('a'), None)
    assert replicas.names() == frozenset()


def test_member_is_given_up_only_with_enough_others():
    tracker = replica_set.AbsenceTracker(1)
    assert tracker.find_lost(THREE_FOLDERS, THREE_FOLDERS - {'c'}, 0.0) == []
    assert tracker.find_lost(THREE_FOLDERS, THREE_FOLDERS - {'c'}, 99.0) == []
    assert tracker.find_lost(FOUR_FOLDERS, THREE_FOLDERS, 99.0) == []
    assert tracker.find_lost(
        FOUR_FOLDERS, THREE_FOLDERS, 99.0 + replica_set.LOSS_TIMEOUT_S
    ) == ['d']


def test_member_that_returns_is_not_given_up():
    tracker = replica_set.AbsenceTracker(1)
    tracker.find_lost(FOUR_FOLDERS, THREE_FOLDERS, 0.0)
    tracker.find_lost(FOUR_FOLDERS, FOUR_FOLDERS, 2.0)
    assert tracker.find_lost(FOUR_FOLDERS, THREE_FOLDERS, 3.0) == []
