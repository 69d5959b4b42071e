"""Tests of journals; those in memory and on disk pass the same tests."""

import pytest

from balsamdale import errors
from balsamdale import journal
from tests import builders

LOG = builders.entries(1, 4)


@pytest.fixture(params=['memory', 'disk'])
def shard_journal(request, tmp_path):
    if request.param == 'memory':
        return journal.MemoryJournal()
    return journal.DiskJournal(str(tmp_path))


def test_append_returns_the_agreed_length(shard_journal):
    assert shard_journal.append(7, 1, LOG[:2]) == 2
    assert shard_journal.append(7, 1, LOG[1:]) == 4
    assert shard_journal.read(7, 0) == LOG


def test_a_lower_epoch_is_refused_after_a_seal(shard_journal):
    shard_journal.append(7, 1, LOG)
    shard_journal.seal(7, 2)
    with pytest.raises(errors.StaleEpoch) as caught:
        shard_journal.append(7, 1, builders.entries(1, 1, 4, LOG))
    assert caught.value.held_epoch == 2
    with pytest.raises(errors.StaleEpoch):
        shard_journal.seal(7, 1)


def test_a_seal_of_one_shard_leaves_others_alone(shard_journal):
    shard_journal.seal(7, 5)
    assert shard_journal.append(8, 1, LOG) == 4


def test_a_gap_is_refused(shard_journal):
    shard_journal.append(7, 1, LOG[:1])
    with pytest.raises(errors.JournalGap) as caught:
        shard_journal.append(7, 1, LOG[2:])
    assert caught.value.length == 1


def test_a_conflict_cuts_the_log(shard_journal):
    shard_journal.append(7, 1, LOG)
    replacing = builders.entries(2, 1, 2, LOG[:2])
    assert shard_journal.append(7, 2, replacing) == 3
    assert shard_journal.read(7, 0) == LOG[:2] + replacing


def test_a_late_repeat_does_not_cut_the_log(shard_journal):
    shard_journal.append(7, 1, LOG)
    assert shard_journal.append(7, 1, LOG[:1]) == 1
    assert shard_journal.state(7).length == 4


def test_a_mismatch_before_the_first_entry_is_a_gap(shard_journal):
    shard_journal.append(7, 1, LOG[:2])
    conflicting = builders.entries(2, 3)
    with pytest.raises(errors.JournalGap) as caught:
        shard_journal.append(7, 2, conflicting[2:])
    assert caught.value.length == 1


def test_a_dropped_log_is_gone_but_the_epoch_stays(shard_journal):
    shard_journal.append(7, 3, LOG)
    shard_journal.remove(7, 3)
    assert shard_journal.state(7).length == 0
    assert shard_journal.state(7).held_epoch == 3


def _reopened(shard_journal, tmp_path):
    shard_journal.close()
    return journal.DiskJournal(str(tmp_path))


def test_a_reopened_folder_holds_all(tmp_path):
    shard_journal = journal.DiskJournal(str(tmp_path))
    shard_journal.append(7, 1, LOG)
    shard_journal.seal(7, 4)
    reopened = _reopened(shard_journal, tmp_path)
    assert reopened.folder_id == shard_journal.folder_id
    assert reopened.state(7) == shard_journal.state(7)


def test_a_torn_tail_is_cut(tmp_path):
    shard_journal = journal.DiskJournal(str(tmp_path))
    shard_journal.append(7, 1, LOG)
    shard_journal.close()
    path = tmp_path / journal.LOG_FILE_NAME
    path.write_bytes(path.read_bytes()[:-3])
    reopened = journal.DiskJournal(str(tmp_path))
    assert reopened.read(7, 0) == LOG[:3]
    assert reopened.append(7, 1, LOG[3:]) == 4


def test_damage_before_the_tail_is_an_error(tmp_path):
    shard_journal = journal.DiskJournal(str(tmp_path))
    shard_journal.append(7, 1, LOG)
    shard_journal.close()
    path = tmp_path / journal.LOG_FILE_NAME
    data = bytearray(path.read_bytes())
    data[30] ^= 1
    path.write_bytes(bytes(data))
    with pytest.raises(errors.CorruptRecord) as caught:
        journal.DiskJournal(str(tmp_path))
    assert caught.value.offset_bytes == 0


def test_an_emptied_folder_has_a_new_identity(tmp_path):
    first = journal.DiskJournal(str(tmp_path / 'a'))
    second = journal.DiskJournal(str(tmp_path / 'b'))
    assert first.folder_id != second.folder_id
