"""An archive in a data folder.

Segment files hold the records, each after a header with its length and
checksum; the index is in memory. A segment is deleted once all its records,
and all turns that continue its turns, have expired.
"""

import asyncio
import collections
import os
import pathlib
import uuid
import zlib

from absl import logging
import msgspec

from balsamdale import archive
from balsamdale import codec
from balsamdale import errors
from balsamdale import history
from balsamdale import segments

__all__ = ['DiskArchive']

IDENTITY_FILE_NAME = 'identity'
# Size at which a new segment starts; a folder holds a few segments.
MAX_SEGMENT_BYTES = 8 * 1024 * 1024
# Age at which a new segment starts: a quarter of the retention that operators
# ask for (60 s), so that files are deleted soon after their records expire.
MAX_SEGMENT_AGE_S = 15.0


class Identity(msgspec.Struct):
    """Stored identity of a folder.

    `is_whole` tells that the folder is in sync: it holds every record that
    it acknowledged.
    """

    folder_id: str
    is_whole: bool


class DiskArchive(archive.Archive):
    """An archive in a data folder: segment files, an index in memory.

    Incomplete records at the end of a segment are ignored when the folder is
    opened. A segment is deleted once all in it has expired.

    Args:
        folder: the data folder; it is created if it does not exist.
        is_first_start: whether the deployment starts for the first time, so
            that an empty folder is in sync.
        now_s: the present time.
    """

    def __init__(self, folder: str, is_first_start: bool, now_s: float):
        super().__init__()
        self._folder = pathlib.Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)
        self._locations: dict[str, segments.TurnLocation] = {}
        self._segments: dict[int, segments.Segment] = collections.OrderedDict()
        self._read_descriptors: dict[int, int] = {}
        # The segment that has the last record of each charge, by program and
        # turn.
        self._charge_segments: dict[str, dict[str, int]] = {}
        self._load_identity(is_first_start)
        self._replay(now_s)
        self._active_file = None
        self._unsynced: list[archive.Record] = []
        self._has_sync_failed = False
        self._sync_replayed()
        self._start_segment(now_s)

    def find(self, turn_id: str) -> history.Turn | None:
        location = self._locations.get(turn_id)
        if location is None:
            return None
        data = self._read_at(
            location.segment, location.offset, location.size_bytes
        )
        return codec.decode(data)

    def holds(self, turn_id: str) -> bool:
        return turn_id in self._locations

    def list_turns(
        self, segment: int
    ) -> tuple[tuple[archive.TurnName, ...], int]:
        numbers = [n for n in self._segments if n >= segment]
        if not numbers:
            return (), 0
        names = []
        for turn_id in self._segments[numbers[0]].turn_ids:
            location = self._locations.get(turn_id)
            if location is not None and location.segment == numbers[0]:
                names.append((turn_id, location.program_id))
        return tuple(names), numbers[1] if len(numbers) > 1 else 0

    def put(self, record: archive.Record) -> bool:
        if isinstance(record, history.Turn):
            if record.turn_id in self._locations:
                return False
        elif not self._is_new_charge(record):
            return False
        else:
            record = self._merged_charge(record)
        self._append(record)
        self._unsynced.append(record)
        self._index_charge(record, self._active_segment)
        return True

    def sync(self) -> None:
        self._rewrite_after_failure()
        self._sync_records(self._take_unsynced())

    async def sync_without_blocking(self) -> None:
        self._rewrite_after_failure()
        # A sync blocks on the disk, so it runs in a thread.
        await asyncio.to_thread(self._sync_records, self._take_unsynced())

    def close(self) -> None:
        self.sync()
        self._active_file.close()
        for descriptor in self._read_descriptors.values():
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
                records, end_offset = self._read_records(segment, start)
                return records, (segment.number, end_offset)
        return (), cursor

    def set_in_sync(self, is_in_sync: bool = True) -> None:
        self.is_in_sync = is_in_sync
        self._write_identity()

    def _append(self, record):
        """Write a record to the active segment.

        What a failed write leaves behind the last record is overwritten by
        the next one.
        """
        payload = codec.encode(record)
        header = segments.RECORD_HEADER.pack(len(payload), zlib.crc32(payload))
        data = header + payload
        segment = self._active_segment
        try:
            self._active_file.seek(segment.size_bytes)
            written_bytes = self._active_file.write(data)
        except OSError as error:
            raise errors.ArchiveWriteFailed(str(error)) from error
        if written_bytes != len(data):
            raise errors.ArchiveWriteFailed('the disk is full')
        self._index_record(segment, record, len(payload))

    def _take_unsynced(self):
        """Return the records to sync; later ones belong to the next sync."""
        records, self._unsynced = self._unsynced, []
        return records

    def _sync_records(self, records):
        if not records:
            return
        try:
            os.fdatasync(self._active_file.fileno())
        except OSError as error:
            self._unsynced = records + self._unsynced
            self._has_sync_failed = True
            raise errors.ArchiveWriteFailed(str(error)) from error

    def _rewrite_after_failure(self):
        """Write the records of a failed sync once more, to a new file.

        A later sync of the same file may succeed although the disk has
        dropped them.
        """
        if not self._has_sync_failed:
            return
        self._start_segment(self._active_segment.started_at_s)
        for record in self._unsynced:
            self._append(record)
            self._index_charge(record, self._active_segment)
        self._has_sync_failed = False

    def expire(self, now_s: float) -> None:
        if self.carry_over(now_s):
            self.sync()
        for segment in self._expired_segments(now_s):
            self._delete_segment(segment)
        self._expire_retained(now_s)

    def carry_over(self, now_s: float) -> bool:
        self._expire_accounts(now_s)
        charges = [
            charge
            for segment in self._expired_segments(now_s)
            for charge in self._living_charges(segment)
        ]
        for charge in charges:
            self._append(charge)
            self._unsynced.append(charge)
            self._index_charge(charge, self._active_segment)
        return bool(charges)

    def _expire_accounts(self, now_s):
        super()._expire_accounts(now_s)
        for program_id in self._charge_segments.keys() - self._accounts:
            del self._charge_segments[program_id]

    def _expired_segments(self, now_s):
        return [
            segment
            for segment in self._segments.values()
            if segment is not self._active_segment
            and segment.expires_at_s < now_s
        ]

    def _living_charges(self, segment):
        """Return the charges whose last record is in a segment."""
        return [
            charge
            for program_id in segment.program_ids & self._accounts.keys()
            for charge in self._accounts[program_id].values()
            if self._charge_segments[program_id][charge.turn_id]
            == segment.number
        ]

    def rotate(self, now_s: float) -> None:
        segment = self._active_segment
        is_old = now_s - segment.started_at_s > MAX_SEGMENT_AGE_S
        if segment.size_bytes and (
            is_old or segment.size_bytes > MAX_SEGMENT_BYTES
        ):
            self.sync()
            self._start_segment(now_s)

    def _load_identity(self, is_first_start):
        path = self._folder / IDENTITY_FILE_NAME
        try:
            identity = msgspec.json.decode(path.read_bytes(), type=Identity)
        except FileNotFoundError:
            identity = Identity(uuid.uuid4().hex, is_first_start)
        except msgspec.MsgspecError as error:
            logging.error('archive: identity of the folder lost: %s', error)
            identity = Identity(uuid.uuid4().hex, False)
        self.folder_id = identity.folder_id
        self.is_in_sync = identity.is_whole
        self._write_identity()

    def _write_identity(self):
        temporary_path = self._folder / f'{IDENTITY_FILE_NAME}.draft'
        identity = Identity(self.folder_id, self.is_in_sync)
        with temporary_path.open('wb') as file:
            file.write(msgspec.json.encode(identity))
            file.flush()
            os.fsync(file.fileno())
        temporary_path.replace(self._folder / IDENTITY_FILE_NAME)
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
        try:
            file = path.open('wb', buffering=0)
            os.fsync(file.fileno())
            self._sync_folder()
        except OSError as error:
            raise errors.ArchiveWriteFailed(str(error)) from error
        if self._active_file is not None:
            self._active_file.close()
        self._active_file = file
        self._active_segment = segments.Segment(
            number, path, started_at_s=now_s
        )
        self._segments[number] = self._active_segment

    def _index_record(self, segment, record, size_bytes):
        offset = segment.size_bytes + segments.RECORD_HEADER.size
        expires_at_s = record.expires_at_s
        if isinstance(record, history.Turn):
            self._locations[record.turn_id] = segments.TurnLocation(
                segment.number,
                offset,
                size_bytes,
                record.parent_id,
                record.program_id,
            )
            segment.turn_ids.append(record.turn_id)
            expires_at_s = self._retain(record)
        segment.expires_at_s = max(segment.expires_at_s, expires_at_s)
        segment.size_bytes = offset + size_bytes

    def _index_charge(self, record, segment):
        """Add the charge that a record is or implies to its account."""
        charge = record
        if isinstance(record, history.Turn):
            charge = archive.settled_charge(record)
        self._add_charge(charge)
        segment.program_ids.add(charge.program_id)
        numbers = self._charge_segments.setdefault(charge.program_id, {})
        numbers[charge.turn_id] = segment.number

    def _parent_id(self, turn_id):
        location = self._locations.get(turn_id)
        return None if location is None else location.parent_id

    def _extend_retention(self, turn_id, until_s):
        segment = self._segments[self._locations[turn_id].segment]
        segment.expires_at_s = max(segment.expires_at_s, until_s)

    def _delete_segment(self, segment):
        for turn_id in segment.turn_ids:
            location = self._locations.get(turn_id)
            if location is not None and location.segment == segment.number:
                del self._locations[turn_id]
        descriptor = self._read_descriptors.pop(segment.number, None)
        if descriptor is not None:
            os.close(descriptor)
        segment.path.unlink(missing_ok=True)
        del self._segments[segment.number]

    def _read_at(self, number, offset, size_bytes):
        descriptor = self._read_descriptors.get(number)
        if descriptor is None:
            path = self._segments[number].path
            descriptor = os.open(path, os.O_RDONLY)
            self._read_descriptors[number] = descriptor
        return os.pread(descriptor, size_bytes, offset)

    def _read_records(self, segment, start):
        data = self._read_at(
            segment.number,
            start,
            min(archive.PULL_BATCH_BYTES, segment.size_bytes - start),
        )
        length, _ = segments.RECORD_HEADER.unpack_from(data)
        if segments.RECORD_HEADER.size + length > len(data):
            data = self._read_at(
                segment.number, start, segments.RECORD_HEADER.size + length
            )
        records, consumed_bytes = [], 0
        for record, end_offset in segments.iter_records(data):
            records.append(record)
            consumed_bytes = end_offset
        return tuple(records), start + consumed_bytes

    def _replay(self, now_s):
        """Rebuild the index and the accounts from the segments."""
        for path in sorted(self._folder.glob('*.log')):
            segment = segments.Segment(
                int(path.stem), path, started_at_s=now_s
            )
            self._segments[segment.number] = segment
            data = path.read_bytes()
            for record, end_offset in segments.iter_records(data):
                self._index_charge(record, segment)
                size_bytes = (
                    end_offset
                    - segment.size_bytes
                    - segments.RECORD_HEADER.size
                )
                self._index_record(segment, record, size_bytes)
            if segment.size_bytes < len(data):
                logging.warning(
                    'archive: %s: cut %d bytes after its last whole record',
                    path.name,
                    len(data) - segment.size_bytes,
                )

    def _sync_replayed(self):
        """Make durable what a killed process has written and not synced.

        Only the newest segment with records can have such; all before it
        were synced when it was started.
        """
        used = [s for s in self._segments.values() if s.size_bytes]
        if not used:
            return
        segment = used[-1]
        descriptor = os.open(segment.path, os.O_RDONLY)
        try:
            os.fdatasync(descriptor)
        except OSError as error:
            logging.error('archive: %s: %s', segment.path.name, error)
            data = segment.path.read_bytes()
            self._unsynced = [
                record for record, _ in segments.iter_records(data)
            ]
            self._has_sync_failed = True
        finally:
            os.close(descriptor)
