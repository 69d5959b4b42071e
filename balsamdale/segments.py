"""Files of an archive: records, each behind a header."""

from collections import abc as collections_abc
import dataclasses
import pathlib
import struct
import zlib

from absl import logging

from balsamdale import archive
from balsamdale import codec
from balsamdale import errors

__all__ = ['RECORD_HEADER', 'Segment', 'TurnLocation', 'iter_records']

# Length and checksum in front of each record.
RECORD_HEADER = struct.Struct('<II')


@dataclasses.dataclass
class Segment:
    """A file of records.

    Attributes:
        number: its place among the files.
        path: path of the file.
        size_bytes: end of its last whole record.
        started_at_s: when it was started.
        expires_at_s: when all in it, and all turns that continue its turns,
            have expired.
        turn_ids: the turns in it, in order.
        program_ids: the programs of its records.
    """

    number: int
    path: pathlib.Path
    size_bytes: int = 0
    started_at_s: float = 0.0
    expires_at_s: float = 0.0
    turn_ids: list[str] = dataclasses.field(default_factory=list)
    program_ids: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class TurnLocation:
    """Position of a turn's record."""

    segment: int
    offset: int
    size_bytes: int
    parent_id: str
    program_id: str


def iter_records(
    data: bytes,
) -> collections_abc.Iterator[tuple[archive.Record, int]]:
    """Yield each valid record with the offset of its end.

    Stops at the first incomplete or corrupt record.
    """
    offset = 0
    while offset + RECORD_HEADER.size <= len(data):
        length, checksum = RECORD_HEADER.unpack_from(data, offset)
        start = offset + RECORD_HEADER.size
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
