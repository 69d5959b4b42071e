"""Access to an archive in a data folder.

Records lie in segment files, each with its length and checksum before it;
the index is in memory. A segment is deleted once all in it, and all that
continues it, is past its retention.
"""

import asyncio
import collections
from collections import abc as collections_abc
import dataclasses
import os
import pathlib
import struct
import uuid
import zlib

from absl import logging
import msgspec

from balsamdale import archive
from balsamdale import codec
from balsamdale import errors
from balsamdale import history

__all__ = ['DiskArchive']

# Length and checksum before each record.
HEADER = struct.Struct('<II')
IDENTITY_FILE_NAME = 'identity'
# Size in bytes at which a segment ends; a folder holds a few of them.
MAX_SEGMENT_BYTES = 8 * 1024 * 1024
# Age in seconds at which a segment ends: a quarter of the retention that
# operators ask for today, so that files go soon after their records.
MAX_SEGMENT_AGE_S = 15.0


class Identity(msgspec.Struct):
    """Stored identity of a folder.

    `is_whole` tells that the folder holds all that was acknowledged by it.
    """

    folder_id: str
    is_whole: bool


@dataclasses.dataclass
class _Segment:
    """One file of records."""

    number: int
    path: pathlib.Path
    size_bytes: int = 0
    started_at_s: float = 0.0
    expires_at_s: float = 0.0
    turn_ids: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class _Place:
    """Where a turn lies."""

    segment: int
    offset: int
    size_bytes: int
    parent_id: str


class DiskArchive(archive.Archive):
    """An archive in a data folder: segment files, an index in memory.

    Torn tails are cut when the folder is opened. A segment is deleted once
    all in it is past its retention.

    Args:
        folder: the data folder; it is made where it does not exist.
        is_first: whether the deployment starts for the first time, so that
            an empty folder lacks nothing.
        now_s: the present time.
    """

    def __init__(self, folder: str, is_first: bool, now_s: float):
        super().__init__()
        self._folder = pathlib.Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)
        self._places: dict[str, _Place] = {}
        self._segments: dict[int, _Segment] = collections.OrderedDict()
        self._readers: dict[int, int] = {}
        self._load_identity(is_first)
        self._replay(now_s)
        self._file = None
        self._is_dirty = False
        self._start_segment(now_s)

    def find(self, turn_id: str) -> history.Turn | None:
        place = self._places.get(turn_id)
        if place is None:
            return None
        data = self._read_at(place.segment, place.offset, place.size_bytes)
        return codec.decode(data)

    def put(self, record: archive.Record) -> None:
        if isinstance(record, history.Turn):
            if record.turn_id in self._places:
                return
            self._add_entry(archive.settled_charge(record))
        elif not self._add_entry(record):
            return
        payload = codec.encode(record)
        segment = self._current
        self._index(segment, record, len(payload))
        self._file.write(
            HEADER.pack(len(payload), zlib.crc32(payload)) + payload
        )
        self._is_dirty = True

    def sync(self) -> None:
        if self._is_dirty:
            self._is_dirty = False
            os.fdatasync(self._file.fileno())

    async def sync_without_blocking(self) -> None:
        # The thread that syncs waits for the disk; the loop must not.
        await asyncio.to_thread(self.sync)

    def close(self) -> None:
        self.sync()
        self._file.close()
        for descriptor in self._readers.values():
            os.close(descriptor)

    def read(
        self, cursor: archive.Cursor
    ) -> tuple[tuple[archive.Record, ...], archive.Cursor]:
        number, offset = cursor
        for segment in list(self._segments.values()):
            if segment.number < number:
                continue
            start = offset if segment.number == number else 0
            if start < segment.size_bytes:
                records, end = self._read_part(segment, start)
                return records, (segment.number, end)
        return (), cursor

    def set_in_sync(self, is_whole: bool = True) -> None:
        self.is_in_sync = is_whole
        self._write_identity()

    def expire(self, now_s: float) -> None:
        for segment in list(self._segments.values()):
            is_current = segment is self._current
            if not is_current and segment.expires_at_s < now_s:
                self._drop(segment)
        self._expire_accounts(now_s)

    def rotate(self, now_s: float) -> None:
        segment = self._current
        is_old = now_s - segment.started_at_s > MAX_SEGMENT_AGE_S
        if segment.size_bytes and (
            is_old or segment.size_bytes > MAX_SEGMENT_BYTES
        ):
            self.sync()
            self._file.close()
            self._start_segment(now_s)

    def _load_identity(self, is_first):
        path = self._folder / IDENTITY_FILE_NAME
        try:
            identity = msgspec.json.decode(path.read_bytes(), type=Identity)
        except FileNotFoundError:
            identity = Identity(uuid.uuid4().hex, is_first)
        except msgspec.MsgspecError as error:
            logging.error('archive: identity of the folder lost: %s', error)
            identity = Identity(uuid.uuid4().hex, False)
        self.folder_id = identity.folder_id
        self.is_in_sync = identity.is_whole
        self._write_identity()

    def _write_identity(self):
        draft = self._folder / f'{IDENTITY_FILE_NAME}.draft'
        identity = Identity(self.folder_id, self.is_in_sync)
        with draft.open('wb') as file:
            file.write(msgspec.json.encode(identity))
            file.flush()
            os.fsync(file.fileno())
        draft.replace(self._folder / IDENTITY_FILE_NAME)
        self._sync_folder()

    def _sync_folder(self):
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _start_segment(self, now_s):
        number = max(self._segments, default=0) + 1
        path = self._folder / f'{number:08d}.log'
        self._file = path.open('wb', buffering=0)
        os.fsync(self._file.fileno())
        self._sync_folder()
        self._current = _Segment(number, path, started_at_s=now_s)
        self._segments[number] = self._current

    def _index(self, segment, record, size_bytes):
        offset = segment.size_bytes + HEADER.size
        if isinstance(record, history.Turn):
            self._places[record.turn_id] = _Place(
                segment.number, offset, size_bytes, record.parent_id
            )
            segment.turn_ids.append(record.turn_id)
            self._extend(record.parent_id, record.expires_at_s)
        segment.expires_at_s = max(segment.expires_at_s, record.expires_at_s)
        segment.size_bytes = offset + size_bytes

    def _extend(self, turn_id, expires_at_s):
        """Keep a chain for as long as its last turn."""
        place = self._places.get(turn_id)
        while place is not None:
            segment = self._segments[place.segment]
            segment.expires_at_s = max(segment.expires_at_s, expires_at_s)
            place = self._places.get(place.parent_id)

    def _drop(self, segment):
        for turn_id in segment.turn_ids:
            place = self._places.get(turn_id)
            if place is not None and place.segment == segment.number:
                del self._places[turn_id]
        descriptor = self._readers.pop(segment.number, None)
        if descriptor is not None:
            os.close(descriptor)
        segment.path.unlink(missing_ok=True)
        del self._segments[segment.number]

    def _read_at(self, number, offset, size_bytes):
        descriptor = self._readers.get(number)
        if descriptor is None:
            path = self._segments[number].path
            descriptor = os.open(path, os.O_RDONLY)
            self._readers[number] = descriptor
        return os.pread(descriptor, size_bytes, offset)

    def _read_part(self, segment, start):
        data = self._read_at(
            segment.number,
            start,
            min(archive.PULL_BATCH_BYTES, segment.size_bytes - start),
        )
        length, _ = HEADER.unpack_from(data)
        if HEADER.size + length > len(data):
            data = self._read_at(segment.number, start, HEADER.size + length)
        records, used = [], 0
        for record, end in _records(data):
            records.append(record)
            used = end
        return tuple(records), start + used

    def _replay(self, now_s):
        """Rebuild index and accounts from the segments."""
        for path in sorted(self._folder.glob('*.log')):
            segment = _Segment(int(path.stem), path, started_at_s=now_s)
            self._segments[segment.number] = segment
            data = path.read_bytes()
            for record, end in _records(data):
                if isinstance(record, history.Turn):
                    self._add_entry(archive.settled_charge(record))
                else:
                    self._add_entry(record)
                size_bytes = end - segment.size_bytes - HEADER.size
                self._index(segment, record, size_bytes)
            if segment.size_bytes < len(data):
                logging.warning(
                    'archive: %s: cut %d bytes after its last whole record',
                    path.name,
                    len(data) - segment.size_bytes,
                )


def _records(
    data: bytes,
) -> collections_abc.Iterator[tuple[archive.Record, int]]:
    """Yield each whole record with the offset of its end."""
    offset = 0
    while offset + HEADER.size <= len(data):
        length, checksum = HEADER.unpack_from(data, offset)
        start = offset + HEADER.size
        payload = data[start : start + length]
        if len(payload) < length or zlib.crc32(payload) != checksum:
            return
        try:
            record = codec.decode(payload)
        except errors.UnknownMessage as error:
            logging.error('archive: a record cannot be read: %s', error)
            return
        offset = start + length
        yield record, offset
