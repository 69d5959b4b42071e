"""Tests of the archives; both forms pass the same ones."""

import pytest

from balsamdale import archive
from balsamdale import disk_archive
from tests import builders_routed as builders


@pytest.fixture(params=['memory', 'disk'])
def held(request, tmp_path):
    if request.param == 'memory':
        return archive.MemoryArchive()
    return disk_archive.DiskArchive(str(tmp_path), True, 0.0)


def reopened(folder):
    return disk_archive.DiskArchive(str(folder), False, 0.0)


def test_chain_is_found_oldest_first(held):
    for number in (1, 2, 3):
        held.put(builders.turn(number, number - 1))
    held.sync()
    turns, missing_id = held.chain('t3')
    assert [turn.turn_id for turn in turns] == ['t1', 't2', 't3']
    assert missing_id == ''
    assert held.chain('t9') == ((), 't9')


def test_chain_with_a_hole_ends_there(held):
    held.put(builders.turn(1))
    held.put(builders.turn(3, 2))
    assert held.chain('t3') == ((builders.turn(3, 2),), 't2')


def test_chain_is_kept_as_long_as_its_last_turn(held):
    held.put(builders.turn(1, expires_at_s=10.0))
    held.rotate(disk_archive.MAX_SEGMENT_AGE_S + 1)
    held.put(builders.turn(2, 1, expires_at_s=100.0))
    held.put(builders.turn(3, expires_at_s=10.0))
    held.expire(50.0)
    assert len(held.chain('t2')[0]) == 2


def test_account_settles_once(held):
    held.put(builders.charge(1, 100))
    assert held.account('p') == (builders.charge(1, 100),)
    held.put(builders.charge(1, 30, True))
    held.put(builders.charge(1, 100))
    assert held.account('p') == (builders.charge(1, 30, True),)


def test_kept_turn_settles_its_account(held):
    held.put(builders.charge(1, 100))
    held.put(builders.turn(1))
    assert held.account('p')[0].tokens == 1
    assert held.account('p')[0].is_settled


def test_read_returns_every_record(held):
    put = [builders.turn(n, size=50000) for n in range(1, 20)]
    put.append(builders.charge(77, 5))
    for record in put:
        held.put(record)
    found, cursor = [], (0, 0)
    while True:
        records, cursor = held.read(cursor)
        if not records:
            break
        found.extend(records)
    assert found == put
    held.put(builders.turn(99))
    assert held.read(cursor)[0] == (builders.turn(99),)


def test_expired_accounts_are_dropped(held):
    held.put(builders.charge(1, 100, expires_at_s=5.0))
    held.expire(4.0)
    assert held.account('p')
    held.expire(6.0)
    assert not held.account('p')


def test_reopened_folder_has_all(tmp_path):
    held = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    held.put(builders.turn(1))
    held.put(builders.charge(2, 50))
    held.close()
    again = reopened(tmp_path)
    assert again.folder_id == held.folder_id
    assert again.is_in_sync
    assert again.find('t1') == builders.turn(1)
    assert len(again.account('p')) == 2


def test_empty_folder_after_the_first_start_is_not_whole(tmp_path):
    assert not reopened(tmp_path).is_in_sync
    held = reopened(tmp_path)
    held.set_in_sync()
    assert reopened(tmp_path).is_in_sync


@pytest.mark.parametrize('cut', [1, 5, 30])
def test_torn_tail_is_cut(tmp_path, cut):
    held = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    held.put(builders.turn(1))
    held.put(builders.turn(2))
    held.close()
    path = next(tmp_path.glob('*.log'))
    path.write_bytes(path.read_bytes()[:-cut])
    again = reopened(tmp_path)
    assert again.find('t1') == builders.turn(1)
    assert again.find('t2') is None
    again.put(builders.turn(3))
    again.close()
    assert reopened(tmp_path).find('t3') == builders.turn(3)


def test_spoiled_record_ends_its_segment(tmp_path):
    held = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    held.put(builders.turn(1))
    held.put(builders.turn(2))
    held.close()
    path = next(tmp_path.glob('*.log'))
    data = bytearray(path.read_bytes())
    data[-3] ^= 0xFF
    path.write_bytes(data)
    assert reopened(tmp_path).find('t1') == builders.turn(1)
    assert reopened(tmp_path).find('t2') is None


def test_unreadable_identity_is_not_whole(tmp_path):
    disk_archive.DiskArchive(str(tmp_path), True, 0.0).close()
    (tmp_path / disk_archive.IDENTITY_FILE_NAME).write_bytes(b'{')
    assert not reopened(tmp_path).is_in_sync


def test_reopened_folder_keeps_chains_as_long_as_before(tmp_path):
    held = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    held.put(builders.turn(1, expires_at_s=10.0))
    held.rotate(disk_archive.MAX_SEGMENT_AGE_S + 1)
    held.put(builders.turn(2, 1, expires_at_s=100.0))
    held.close()
    again = reopened(tmp_path)
    again.expire(50.0)
    assert len(again.chain('t2')[0]) == 2


def test_old_segments_are_deleted(tmp_path):
    held = disk_archive.DiskArchive(str(tmp_path), True, 0.0)
    held.put(builders.turn(1, expires_at_s=10.0))
    held.rotate(disk_archive.MAX_SEGMENT_AGE_S + 1)
    held.put(builders.turn(2, expires_at_s=100.0))
    held.expire(50.0)
    assert held.find('t1') is None
    assert held.find('t2') is not None
    assert len(list(tmp_path.glob('*.log'))) == 1
