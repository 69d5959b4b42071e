"""Tests of the set of folders."""

from balsamdale import codec
from balsamdale import replica_set

THREE = frozenset('abc')
FOUR = frozenset('abcd')


def test_members_follow_the_mirror():
    known = replica_set.ReplicaSet()
    folder = replica_set.Folder('a', 'domain')
    known.apply_change(replica_set.folder_key('a'), codec.encode(folder))
    known.apply_change(replica_set.folder_key('x'), b'\xff')
    assert known.folders() == (folder,)
    known.apply_change(replica_set.folder_key('a'), None)
    assert known.names() == frozenset()


def test_member_is_given_up_only_with_enough_others():
    absences = replica_set.AbsenceTracker(1)
    assert absences.find_lost(THREE, THREE - {'c'}, 0.0) == []
    assert absences.find_lost(THREE, THREE - {'c'}, 99.0) == []
    assert absences.find_lost(FOUR, THREE, 99.0) == []
    assert absences.find_lost(
        FOUR, THREE, 99.0 + replica_set.LOSS_TIMEOUT_S
    ) == ['d']


def test_member_that_returns_is_not_given_up():
    absences = replica_set.AbsenceTracker(1)
    absences.find_lost(FOUR, THREE, 0.0)
    absences.find_lost(FOUR, FOUR, 2.0)
    assert absences.find_lost(FOUR, THREE, 3.0) == []
