"""Tests of archives; those in memory and on disk pass the same tests."""

import os

import pytest

from balsamdale import archive
from balsamdale import disk_archive
from balsamdale import errors
from tests import builders_routed as builders


@pytest.fixture(params=['memory', 'disk'])
def tested_archive(request, tmp_path):
    if request.param == 'memory':
        return archive.MemoryArchive()
    return disk_archive.DiskArchive(str(tmp_path), True, 0.0)


def reopen(folder):
    return disk_archive.DiskArchive(str(folder), False, 0.0)


def test_chain_is_found_oldest_first(tested_archive):
    for number in (1, 2, 3):
        tested_archive.put(builders.turn(number, number - 1))
    tested_archive.sync()
    turns, missing_id = tested_archive.chain('t3')
    assert [turn.turn_id for turn in turns] == ['t1', 't2', 't3']
    assert missing_id == ''
    assert tested_archive.chain('t9') == ((), 't9')


def test_chain_with_a_hole_ends_there(tested_archive):
    tested_archive.put(builders.turn(1))
    tested_archive.put(builders.turn(3, 2))
    assert tested_archive.chain('t3') == ((builders.turn(3, 2),), 't2')


def test_chain_is_kept_as_long_as_its_last_turn(tested_archive):
    tested_archive.put(builders.turn(1, expires_at_s=10.0))
    tested_archive.rotate(disk_archive.MAX_SEGMENT_AGE_S + 1)
    tested_archive.put(builders.turn(2, 1, expires_at_s=100.0))
    tested_archive.put(builders.turn(3, expires_at_s=10.0))
    tested_archive.expire(50.0)
    assert len(tested_archive.chain('t2')[0]) == 2


def test_chain_is_kept_through_a_gap_that_is_filled_later(tested_archive):
    """Guards against review/14: a turn that came late expired by itself."""
    tested_archive.put(builders.turn(1, expires_at_s=10.0))
    tested_archive.rotate(disk_archive.MAX_SEGMENT_AGE_S + 1)
    tested_archive.put(builders.turn(3, 2, expires_at_s=100.0))
    assert tested_archive.missing_ancestor('t3') == 't2'
    assert tested_archive.missing_ids(50.0) == ['t2']
    tested_archive.rotate(2 * disk_archive.MAX_SEGMENT_AGE_S + 2)
    tested_archive.put(builders.turn(2, 1, expires_at_s=20.0))
    tested_archive.rotate(3 * disk_archive.MAX_SEGMENT_AGE_S + 3)
    assert tested_archive.missing_ancestor('t3') == ''
    assert tested_archive.missing_ids(50.0) == []
    tested_archive.expire(50.0)
    assert len(tested_archive.chain('t3')[0]) == 3
    tested_archive.expire(101.0)
    tested_archive.put(builders.turn(4, expires_at_s=200.0))
    assert tested_archive.chain('t3') == ((), 't3')
    assert tested_archive.missing_ids(101.0) == []


def test_chain_that_has_expired_is_missed_again(tested_archive):
    tested_archive.put(builders.turn(1, expires_at_s=10.0))
    tested_archive.rotate(disk_archive.MAX_SEGMENT_AGE_S + 1)
    tested_archive.expire(50.0)
    tested_archive.put(builders.turn(2, 1, expires_at_s=100.0))
    assert tested_archive.missing_ancestor('t2') == 't1'
    tested_archive.put(builders.turn(1, expires_at_s=10.0))
    tested_archive.expire(51.0)
    assert len(tested_archive.chain('t2')[0]) == 2


@pytest.mark.parametrize('parents', [{1: 1}, {1: 2, 2: 1}, {1: 2, 2: 3, 3: 2}])
def test_chain_that_returns_to_itself_ends(tested_archive, parents):
    """Guards against review/15: archives followed such a chain for ever."""
    for number, parent in parents.items():
        tested_archive.put(builders.turn(number, parent, expires_at_s=100.0))
    turns, missing_id = tested_archive.chain('t1')
    assert len(turns) == len(parents)
    assert missing_id in {turn.turn_id for turn in turns}
    assert tested_archive.missing_ancestor('t1') == ''
    tested_archive.put(builders.turn(9, 1, expires_at_s=200.0))
    tested_archive.expire(150.0)
    assert len(tested_archive.chain('t9')[0]) == len(parents) + 1


def test_chain_that_returns_to_itself_is_replayed(tmp_path):
    tested_archive = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    tested_archive.put(builders.turn(1, 1))
    tested_archive.close()
    assert reopen(tmp_path).chain('t1') == ((builders.turn(1, 1),), 't1')


def test_turns_are_listed_once_by_segment(tested_archive):
    for number in range(1, 7):
        tested_archive.put(builders.turn(number, program=f'p{number}'))
        tested_archive.rotate(number * disk_archive.MAX_SEGMENT_AGE_S + number)
    names, segment = [], -1
    while segment:
        listed, segment = tested_archive.list_turns(max(segment, 0))
        names.extend(listed)
    assert names == [(f't{n}', f'p{n}') for n in range(1, 7)]


def test_accounts_are_listed_whole(tested_archive, monkeypatch):
    monkeypatch.setattr(archive, 'CHARGE_BATCH_COUNT', 3)
    for number in range(1, 9):
        charge = builders.charge(number, 5, program=f'p{number % 4}')
        tested_archive.put(charge)
    listed = tested_archive.list_charges('')
    assert [c.program_id for c in listed] == ['p0', 'p0', 'p1', 'p1']
    listed = tested_archive.list_charges('p1')
    assert [c.program_id for c in listed] == ['p2', 'p2', 'p3', 'p3']
    assert tested_archive.list_charges('p3') == ()


def test_account_settles_once(tested_archive):
    tested_archive.put(builders.charge(1, 100))
    assert tested_archive.account('p') == (builders.charge(1, 100),)
    tested_archive.put(builders.charge(1, 30, True))
    tested_archive.put(builders.charge(1, 100))
    assert tested_archive.account('p') == (builders.charge(1, 30, True),)


def test_kept_turn_settles_its_account(tested_archive):
    tested_archive.put(builders.charge(1, 100))
    tested_archive.put(builders.turn(1))
    assert tested_archive.account('p')[0].tokens == 1
    assert tested_archive.account('p')[0].is_settled


def test_settled_charge_is_kept_as_long_as_its_reservation(tested_archive):
    """Guards against review/13: an account ended with its last stored turn."""
    tested_archive.put(builders.charge(1, 100, expires_at_s=180.0))
    tested_archive.put(builders.turn(1, expires_at_s=60.0))
    tested_archive.expire(100.0)
    (charge,) = tested_archive.account('p')
    assert charge == builders.charge(1, 1, True, expires_at_s=180.0)
    tested_archive.expire(181.0)
    assert not tested_archive.account('p')


def test_charge_that_was_read_again_is_kept_for_longer(tested_archive):
    tested_archive.put(builders.charge(1, 30, True, expires_at_s=60.0))
    assert tested_archive.put(builders.charge(1, 100, expires_at_s=180.0))
    tested_archive.expire(100.0)
    (charge,) = tested_archive.account('p')
    assert charge == builders.charge(1, 30, True, expires_at_s=180.0)
    assert not tested_archive.put(charge)


def test_late_reservation_does_not_undo_a_settlement(tmp_path):
    """Guards against turns that a restart counts at their highest price.

    The reservation came after the stored turn, was kept for longer, and was
    all that its segment had.
    """
    tested_archive = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    tested_archive.put(builders.turn(1, expires_at_s=60.0))
    tested_archive.rotate(disk_archive.MAX_SEGMENT_AGE_S + 1)
    tested_archive.put(builders.charge(1, 100, expires_at_s=180.0))
    tested_archive.expire(70.0)
    assert not tested_archive.holds('t1')
    tested_archive.close()
    (charge,) = reopen(tmp_path).account('p')
    assert charge == builders.charge(1, 1, True, expires_at_s=180.0)


def test_account_outlives_the_segments_of_its_early_turns(tmp_path):
    """Guards against budgets that a restart hands out again.

    The early charges of a long program were deleted with their segments and
    lived on in memory alone.
    """
    tested_archive = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    age_s = disk_archive.MAX_SEGMENT_AGE_S + 1
    for number in range(1, 9):
        now_s = number * age_s
        expires_at_s = now_s + 2 * age_s
        tested_archive.put(
            builders.charge(number, 50, expires_at_s=expires_at_s + age_s)
        )
        tested_archive.put(builders.turn(number, expires_at_s=expires_at_s))
        tested_archive.rotate(now_s)
        tested_archive.expire(now_s)
    assert not tested_archive.holds('t1')
    assert len(list(tmp_path.glob('*.log'))) < 7
    tested_archive.close()
    reopened_archive = reopen(tmp_path)
    charges = reopened_archive.account('p')
    assert {c.turn_id: c.tokens for c in charges} == {
        f't{n}': n for n in range(1, 9)
    }
    assert all(charge.is_settled for charge in charges)
    reopened_archive.expire(99 * age_s)
    assert not reopened_archive.account('p')


def test_read_returns_every_record(tested_archive):
    expected = [builders.turn(n, size=50000) for n in range(1, 20)]
    expected.append(builders.charge(77, 5))
    for record in expected:
        tested_archive.put(record)
    found_records, cursor = [], (0, 0)
    while True:
        records, cursor = tested_archive.read(cursor)
        if not records:
            break
        found_records.extend(records)
    assert found_records == expected
    tested_archive.put(builders.turn(99))
    assert tested_archive.read(cursor)[0] == (builders.turn(99),)


def test_expired_accounts_are_dropped(tested_archive):
    tested_archive.put(builders.charge(1, 100, expires_at_s=5.0))
    tested_archive.expire(4.0)
    assert tested_archive.account('p')
    tested_archive.expire(6.0)
    assert not tested_archive.account('p')


def test_reopened_folder_has_all(tmp_path):
    tested_archive = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    tested_archive.put(builders.turn(1))
    tested_archive.put(builders.charge(2, 50))
    tested_archive.close()
    reopened_archive = reopen(tmp_path)
    assert reopened_archive.folder_id == tested_archive.folder_id
    assert reopened_archive.is_in_sync
    assert reopened_archive.find('t1') == builders.turn(1)
    assert len(reopened_archive.account('p')) == 2


def test_empty_folder_after_the_first_start_is_not_whole(tmp_path):
    assert not reopen(tmp_path).is_in_sync
    tested_archive = reopen(tmp_path)
    tested_archive.set_in_sync()
    assert reopen(tmp_path).is_in_sync


@pytest.mark.parametrize('cut_bytes', [1, 5, 30])
def test_torn_tail_is_cut(tmp_path, cut_bytes):
    tested_archive = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    tested_archive.put(builders.turn(1))
    tested_archive.put(builders.turn(2))
    tested_archive.close()
    path = next(tmp_path.glob('*.log'))
    path.write_bytes(path.read_bytes()[:-cut_bytes])
    reopened_archive = reopen(tmp_path)
    assert reopened_archive.find('t1') == builders.turn(1)
    assert reopened_archive.find('t2') is None
    reopened_archive.put(builders.turn(3))
    reopened_archive.close()
    assert reopen(tmp_path).find('t3') == builders.turn(3)


def test_spoiled_record_ends_its_segment(tmp_path):
    tested_archive = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    tested_archive.put(builders.turn(1))
    tested_archive.put(builders.turn(2))
    tested_archive.close()
    path = next(tmp_path.glob('*.log'))
    data = bytearray(path.read_bytes())
    data[-3] ^= 0xFF
    path.write_bytes(data)
    assert reopen(tmp_path).find('t1') == builders.turn(1)
    assert reopen(tmp_path).find('t2') is None


def test_unreadable_identity_is_not_whole(tmp_path):
    disk_archive.DiskArchive(str(tmp_path), True, 0.0).close()
    (tmp_path / disk_archive.IDENTITY_FILE_NAME).write_bytes(b'{')
    assert not reopen(tmp_path).is_in_sync


def test_reopened_folder_keeps_chains_as_long_as_before(tmp_path):
    tested_archive = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    tested_archive.put(builders.turn(1, expires_at_s=10.0))
    tested_archive.rotate(disk_archive.MAX_SEGMENT_AGE_S + 1)
    tested_archive.put(builders.turn(2, 1, expires_at_s=100.0))
    tested_archive.close()
    reopened_archive = reopen(tmp_path)
    reopened_archive.expire(50.0)
    assert len(reopened_archive.chain('t2')[0]) == 2


def test_old_segments_are_deleted(tmp_path):
    tested_archive = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    tested_archive.put(builders.turn(1, expires_at_s=10.0))
    tested_archive.rotate(disk_archive.MAX_SEGMENT_AGE_S + 1)
    tested_archive.put(builders.turn(2, expires_at_s=100.0))
    tested_archive.expire(50.0)
    assert tested_archive.find('t1') is None
    assert tested_archive.find('t2') is not None
    assert len(list(tmp_path.glob('*.log'))) == 1


class FaultyFile:
    """A file whose writes and syncs can be made to fail."""

    def __init__(self, file):
        self._file = file
        self.accepted_bytes = None

    def write(self, data):
        if self.accepted_bytes is None:
            return self._file.write(data)
        self._file.write(data[: self.accepted_bytes])
        if not self.accepted_bytes:
            raise OSError(28, 'No space left on device')
        return self.accepted_bytes

    def __getattr__(self, name):
        return getattr(self._file, name)


@pytest.mark.parametrize('accepted_bytes', [0, 20])
def test_record_that_the_disk_refused_is_not_acknowledged(
    tmp_path, accepted_bytes
):
    """Guards against an index that holds what a full disk did not take.

    A repeated request then found the record and acknowledged it.
    """
    tested_archive = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    tested_archive.put(builders.turn(1))
    faulty = FaultyFile(tested_archive._active_file)
    tested_archive._active_file = faulty
    faulty.accepted_bytes = accepted_bytes
    for _ in range(2):
        with pytest.raises(errors.ArchiveWriteFailed):
            tested_archive.put(builders.turn(2))
        with pytest.raises(errors.ArchiveWriteFailed):
            tested_archive.put(builders.charge(7, 50))
    assert tested_archive.find('t2') is None
    assert len(tested_archive.account('p')) == 1
    faulty.accepted_bytes = None
    tested_archive.put(builders.turn(3))
    tested_archive.put(builders.turn(2))
    tested_archive.close()
    reopened_archive = reopen(tmp_path)
    for number in (1, 2, 3):
        assert reopened_archive.find(f't{number}') == builders.turn(number)


def test_records_of_a_failed_sync_are_written_again(tmp_path, monkeypatch):
    """Guards against a sync that fails once and then reports success.

    The disk may have dropped what the first sync did not write.
    """
    tested_archive = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    tested_archive.put(builders.turn(1))
    tested_archive.sync()
    tested_archive.put(builders.turn(2))

    def refuse(_descriptor):
        raise OSError(5, 'Input/output error')

    with monkeypatch.context() as patched:
        patched.setattr(disk_archive.os, 'fdatasync', refuse)
        for _ in range(2):
            with pytest.raises(errors.ArchiveWriteFailed):
                tested_archive.sync()
    first_segment = min(tmp_path.glob('*.log'))
    tested_archive.put(builders.turn(3))
    tested_archive.sync()
    assert tested_archive.find('t2') == builders.turn(2)
    first_segment.unlink()
    reopened_archive = reopen(tmp_path)
    assert reopened_archive.find('t2') == builders.turn(2)
    assert reopened_archive.find('t3') == builders.turn(3)


def test_what_a_killed_process_left_unsynced_is_synced_at_the_start(
    tmp_path, monkeypatch
):
    """Guards against turns that are acknowledged and lost with the power.

    A record that was replayed was taken for durable, though the process that
    wrote it was killed before its sync.
    """
    killed = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    killed.put(builders.turn(1))
    (used_path,) = tmp_path.glob('*.log')
    synced = []

    def note_sync(descriptor):
        synced.append(os.fstat(descriptor).st_ino)

    monkeypatch.setattr(disk_archive.os, 'fdatasync', note_sync)
    reopen(tmp_path)
    assert used_path.stat().st_ino in synced


def test_replayed_records_that_cannot_be_synced_are_written_again(
    tmp_path, monkeypatch
):
    killed = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    killed.put(builders.turn(1))

    def refuse(_descriptor):
        raise OSError(5, 'Input/output error')

    with monkeypatch.context() as patched:
        patched.setattr(disk_archive.os, 'fdatasync', refuse)
        reopened_archive = reopen(tmp_path)
    used_path = min(tmp_path.glob('*.log'))
    reopened_archive.put(builders.turn(1))
    reopened_archive.sync()
    used_path.unlink()
    assert reopen(tmp_path).find('t1') == builders.turn(1)
