"""Tests of the set of folders."""

from balsamdale import codec
from balsamdale import replica_set

THREE = frozenset('abc')
FOUR = frozenset('abcd')


def test_members_follow_the_mirror():
    known = replica_set.FolderSet()
    folder = replica_set.Folder('a', 'domain')
    known.changed(replica_set.key_of('a'), codec.encode(folder))
    known.changed(replica_set.key_of('x'), b'\xff')
    assert known.all() == (folder,)
    known.changed(replica_set.key_of('a'), None)
    assert known.names() == frozenset()


def test_member_is_given_up_only_with_enough_others():
    absences = replica_set.Absences(1)
    assert absences.given_up(THREE, THREE - {'c'}, 0.0) == []
    assert absences.given_up(THREE, THREE - {'c'}, 99.0) == []
    assert absences.given_up(FOUR, THREE, 99.0) == []
    assert absences.given_up(FOUR, THREE, 99.0 + replica_set.ABSENT_S) == ['d']


def test_member_that_returns_is_not_given_up():
    absences = replica_set.Absences(1)
    absences.given_up(FOUR, THREE, 0.0)
    absences.given_up(FOUR, FOUR, 2.0)
    assert absences.given_up(FOUR, THREE, 3.0) == []
