"""Tests of journals; the memory and the disk form pass the same ones."""

import pytest

from balsamdale import errors
from balsamdale import journal
from tests import builders

LOG = builders.entries(1, 4)


@pytest.fixture(params=['memory', 'disk'])
def store(request, tmp_path):
    if request.param == 'memory':
        return journal.MemoryJournal()
    return journal.DiskJournal(str(tmp_path))


def test_append_returns_the_agreed_length(store):
    assert store.append(7, 1, LOG[:2]) == 2
    assert store.append(7, 1, LOG[1:]) == 4
    assert store.read(7, 0) == LOG


def test_a_lower_epoch_is_refused_after_a_seal(store):
    store.append(7, 1, LOG)
    store.seal(7, 2)
    with pytest.raises(errors.StaleEpoch) as caught:
        store.append(7, 1, builders.entries(1, 1, 4, LOG))
    assert caught.value.held_epoch == 2
    with pytest.raises(errors.StaleEpoch):
        store.seal(7, 1)


def test_a_seal_of_one_shard_leaves_others_alone(store):
    store.seal(7, 5)
    assert store.append(8, 1, LOG) == 4


def test_a_gap_is_refused(store):
    store.append(7, 1, LOG[:1])
    with pytest.raises(errors.JournalGap) as caught:
        store.append(7, 1, LOG[2:])
    assert caught.value.length == 1


def test_a_conflict_cuts_the_log(store):
    store.append(7, 1, LOG)
    fresh = builders.entries(2, 1, 2, LOG[:2])
    assert store.append(7, 2, fresh) == 3
    assert store.read(7, 0) == LOG[:2] + fresh


def test_a_late_repeat_does_not_cut_the_log(store):
    store.append(7, 1, LOG)
    assert store.append(7, 1, LOG[:1]) == 1
    assert store.state(7).length == 4


def test_a_mismatch_before_the_first_entry_is_a_gap(store):
    store.append(7, 1, LOG[:2])
    other = builders.entries(2, 3)
    with pytest.raises(errors.JournalGap) as caught:
        store.append(7, 2, other[2:])
    assert caught.value.length == 1


def test_a_dropped_log_is_gone_but_the_epoch_stays(store):
    store.append(7, 3, LOG)
    store.remove(7, 3)
    assert store.state(7).length == 0
    assert store.state(7).held_epoch == 3


def _reopened(store, tmp_path):
    store.close()
    return journal.DiskJournal(str(tmp_path))


def test_a_reopened_folder_holds_all(tmp_path):
    store = journal.DiskJournal(str(tmp_path))
    store.append(7, 1, LOG)
    store.seal(7, 4)
    again = _reopened(store, tmp_path)
    assert again.folder_id == store.folder_id
    assert again.state(7) == store.state(7)


def test_a_torn_tail_is_cut(tmp_path):
    store = journal.DiskJournal(str(tmp_path))
    store.append(7, 1, LOG)
    store.close()
    path = tmp_path / journal.LOG_FILE_NAME
    path.write_bytes(path.read_bytes()[:-3])
    again = journal.DiskJournal(str(tmp_path))
    assert again.read(7, 0) == LOG[:3]
    assert again.append(7, 1, LOG[3:]) == 4


def test_damage_before_the_tail_is_an_error(tmp_path):
    store = journal.DiskJournal(str(tmp_path))
    store.append(7, 1, LOG)
    store.close()
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
