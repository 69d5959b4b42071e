"""Journals: fenced append-only logs of shards.

A journal holds, for each shard, the highest epoch that it has promised and a
log in which each record names the hash of the one before. `MemoryJournal` is
for tests, `DiskJournal` writes to a data folder. Turns of routed requests
are in an `archive` instead.
"""

import abc
import hashlib
import os
import pathlib
import struct
import uuid
import zlib

from balsamdale import codec
from balsamdale import errors

__all__ = [
    'DiskJournal',
    'Entry',
    'Journal',
    'LogState',
    'MemoryJournal',
    'next_entry',
]

HASH_BYTES = 16
EMPTY_HASH = b'\0' * HASH_BYTES
RECORD_HEADER = struct.Struct('<II')
LOG_FILE_NAME = 'journal.log'
IDENTITY_FILE_NAME = 'identity'
READ_BATCH_BYTES = 524288


@codec.message
class Entry:
    """One record of a shard's log.

    Attributes:
        epoch: epoch of the owner that wrote the entry.
        sequence: position in the log, from 0.
        program_id: the program that it belongs to; empty for an entry of the
            shard itself.
        body: the encoded record.
        previous_hash: hash of the entry before it.
    """

    epoch: int
    sequence: int
    program_id: str
    body: bytes
    previous_hash: bytes

    def hash(self) -> bytes:
        """Return the value of the next entry's `previous_hash`."""
        digest = hashlib.blake2b(digest_size=HASH_BYTES)
        digest.update(self.previous_hash)
        digest.update(struct.pack('<QQ', self.epoch, self.sequence))
        digest.update(self.program_id.encode())
        digest.update(self.body)
        return digest.digest()


@codec.message
class LogState:
    """Summary of a shard's log in a journal.

    Attributes:
        held_epoch: epoch that the journal has promised.
        length: records in the log.
        last_epoch: epoch of the last record; 0 for an empty log.
        last_hash: hash of the last record.
    """

    held_epoch: int
    length: int
    last_epoch: int
    last_hash: bytes


@codec.message
class Fence:
    """Stored form of a promised epoch."""

    shard: int
    epoch: int


@codec.message
class Stored:
    """Stored form of an entry; it truncates the log at its sequence."""

    shard: int
    entry: Entry


@codec.message
class Dropped:
    """Stored form of the removal of a shard's log."""

    shard: int


def next_entry(
    entries: list[Entry], epoch: int, program_id: str, body: bytes
) -> Entry:
    """Return the entry that continues a log."""
    previous = entries[-1].hash() if entries else EMPTY_HASH
    return Entry(epoch, len(entries), program_id, body, previous)


class Journal(abc.ABC):
    """The logs of many shards, without I/O.

    A change is durable once `sync` has returned.
    """

    def __init__(self, folder_id: str):
        self.folder_id = folder_id
        self._promised_epochs: dict[int, int] = {}
        self._logs: dict[int, list[Entry]] = {}

    def state(self, shard: int) -> LogState:
        """Return the state of a shard's log."""
        log = self._logs.get(shard, [])
        return LogState(
            held_epoch=self._promised_epochs.get(shard, 0),
            length=len(log),
            last_epoch=log[-1].epoch if log else 0,
            last_hash=log[-1].hash() if log else EMPTY_HASH,
        )

    def seal(self, shard: int, epoch: int) -> LogState:
        """Promise an epoch: appends at lower epochs fail from now on.

        Raises:
            StaleEpoch: a higher epoch is promised.
        """
        self._fence(shard, epoch)
        return self.state(shard)

    def append(
        self, shard: int, epoch: int, entries: tuple[Entry, ...]
    ) -> int:
        """Append entries to a shard's log.

        Entries that the log holds already stay. One that conflicts with an
        appended entry is removed together with all that follow it.

        Args:
            shard: shard number.
            epoch: epoch of the owner that appends.
            entries: consecutive entries.

        Returns:
            The length up to which the log matches the owner's.

        Raises:
            StaleEpoch: a higher epoch is promised.
            JournalGap: the log does not hold the entry before the first one.
        """
        self._fence(shard, epoch)
        log = self._logs.setdefault(shard, [])
        self._check_continuity(shard, log, entries)
        for entry in entries:
            present = entry.sequence < len(log)
            if present and log[entry.sequence] == entry:
                continue
            del log[entry.sequence :]
            log.append(entry)
            self._write_change(Stored(shard, entry))
        return entries[-1].sequence + 1 if entries else 0

    def read(self, shard: int, sequence: int) -> tuple[Entry, ...]:
        """Return entries from a sequence on.

        They hold at most `READ_BATCH_BYTES`, unless the first one is larger.
        """
        chosen = []
        size_bytes = 0
        for entry in self._logs.get(shard, [])[sequence:]:
            size_bytes += len(entry.body)
            if chosen and size_bytes > READ_BATCH_BYTES:
                break
            chosen.append(entry)
        return tuple(chosen)

    def remove(self, shard: int, epoch: int) -> None:
        """Remove the log of a shard that is no longer replicated here.

        Raises:
            StaleEpoch: a higher epoch is promised.
        """
        self._fence(shard, epoch)
        self._logs.pop(shard, None)
        self._write_change(Dropped(shard))

    def shards(self) -> tuple[int, ...]:
        """Return the numbers of the shards that have a log here."""
        return tuple(self._logs)

    @abc.abstractmethod
    def sync(self) -> None:
        """Make every change so far durable."""

    def close(self) -> None:
        """Sync and close the data folder."""
        self.sync()

    @abc.abstractmethod
    def _write_change(self, stored: Fence | Stored | Dropped) -> None:
        """Write one change."""

    def _fence(self, shard, epoch):
        promised = self._promised_epochs.get(shard, 0)
        if epoch < promised:
            raise errors.StaleEpoch(shard, promised)
        if epoch > promised:
            self._promised_epochs[shard] = epoch
            self._write_change(Fence(shard, epoch))

    def _check_continuity(self, shard, log, entries):
        if not entries:
            return
        first = entries[0]
        if first.sequence > len(log):
            raise errors.JournalGap(shard, len(log))
        if first.sequence == 0:
            expected = EMPTY_HASH
        else:
            expected = log[first.sequence - 1].hash()
        if first.previous_hash != expected:
            raise errors.JournalGap(shard, first.sequence - 1)


class MemoryJournal(Journal):
    """A journal in memory; it is lost with the object."""

    def __init__(self, folder_id: str = ''):
        super().__init__(folder_id or uuid.uuid4().hex)
        self.sync_count = 0

    def sync(self) -> None:
        self.sync_count += 1

    def _write_change(self, stored):
        return


class DiskJournal(Journal):
    """A journal in a data folder.

    All shards share one file, so that one sync covers them all. A torn tail
    is truncated when the folder is opened.

    Args:
        folder: the data folder; it is created if it does not exist.

    Raises:
        CorruptRecord: a record before the tail fails its check.
    """

    def __init__(self, folder: str):
        self._folder = pathlib.Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)
        super().__init__(self._load_folder_id())
        self._path = self._folder / LOG_FILE_NAME
        self._path.touch()
        self._file = None
        size_bytes = self._replay()
        self._file = self._path.open('r+b')
        self._file.truncate(size_bytes)
        self._file.seek(size_bytes)
        self._is_dirty = False

    def sync(self) -> None:
        if self._is_dirty:
            self._file.flush()
            os.fdatasync(self._file.fileno())
            self._is_dirty = False

    def close(self) -> None:
        self.sync()
        self._file.close()

    def _write_change(self, stored):
        payload = codec.encode(stored)
        self._file.write(RECORD_HEADER.pack(len(payload), zlib.crc32(payload)))
        self._file.write(payload)
        self._is_dirty = True

    def _load_folder_id(self):
        path = self._folder / IDENTITY_FILE_NAME
        if not path.exists():
            draft = path.with_suffix('.draft')
            draft.write_text(uuid.uuid4().hex)
            draft.replace(path)
        return path.read_text()

    def _replay(self):
        """Rebuild the logs from the file.

        Returns:
            The file's size in bytes without a torn tail.
        """
        data = self._path.read_bytes()
        offset = 0
        while offset + RECORD_HEADER.size <= len(data):
            length, checksum = RECORD_HEADER.unpack_from(data, offset)
            start = offset + RECORD_HEADER.size
            payload = data[start : start + length]
            if len(payload) < length:
                break
            if zlib.crc32(payload) != checksum:
                if start + length == len(data):
                    break
                self._raise_corrupt(offset, 'checksum mismatch')
            self._apply(codec.decode(payload), offset)
            offset = start + length
        return offset

    def _apply(self, stored, offset):
        if isinstance(stored, Fence):
            self._promised_epochs[stored.shard] = stored.epoch
        elif isinstance(stored, Dropped):
            self._logs.pop(stored.shard, None)
        else:
            self._apply_entry(stored.shard, stored.entry, offset)

    def _apply_entry(self, shard, entry, offset):
        log = self._logs.setdefault(shard, [])
        del log[entry.sequence :]
        previous = log[-1].hash() if log else EMPTY_HASH
        if entry.sequence != len(log) or entry.previous_hash != previous:
            self._raise_corrupt(offset, 'record does not continue its log')
        log.append(entry)

    def _raise_corrupt(self, offset, detail):
        raise errors.CorruptRecord(str(self._path), offset, detail)
