"""The chunked transfer coding of HTTP/1.1; no I/O.

Source: RFC 9112, section 7.1. Requests and responses are read by the same
code; sizes and extensions are never held.
"""

from collections import abc as collections_abc
import dataclasses
import re

__all__ = ['MAX_PART_BYTES', 'MAX_SIZE_DIGITS', 'Chunks', 'Part']

# Data of a body, and chunks of it, that one part has at most.
MAX_PART_BYTES = 16384
MAX_PART_LINES = 1024
# Bytes of framing that a chunk may have for each byte of data. What exceeds
# this in a body may be as large as a head. A chunk of one byte has 3 bytes, or
# 18 with leading zeros up to the digits below.
MAX_FRAMING_PER_BYTE = 32
MAX_SIZE_DIGITS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """What was read of a body.

    Attributes:
        data: its data; may be empty.
        count: chunks that were begun in it.
        used_bytes: what it has used of the received bytes.
    """

    data: bytes
    count: int
    used_bytes: int


class Chunks:
    """Reads the chunks of one body.

    Args:
        line_bytes: limit on the size of a chunk with its extensions.
        size_line: matches a chunk's size, its first group, and the rest of
            the line.
        fail: returns the error that is raised for a malformed body.

    Attributes:
        are_over: whether the last chunk has been read.
    """

    def __init__(
        self,
        line_bytes: int,
        size_line: re.Pattern[bytes],
        fail: collections_abc.Callable[[str], Exception],
    ):
        self.are_over = False
        self._line_bytes = line_bytes
        self._size_line = size_line
        self._fail = fail
        # Data that is due of the present chunk.
        self._due_bytes = 0
        self._is_line_end_due = False
        self._framing_left_bytes = line_bytes

    @property
    def is_between_chunks(self) -> bool:
        """Whether the next byte is the first one of a chunk's size."""
        return not (self._due_bytes or self._is_line_end_due)

    def read(self, received: bytearray) -> Part:
        """Return the next part of the body.

        Raises:
            Exception: what `fail` returns, if the bytes are no chunks.
        """
        pieces = []
        data_bytes = chunk_count = position = 0
        while chunk_count < MAX_PART_LINES and data_bytes < MAX_PART_BYTES:
            if self._due_bytes:
                piece = received[position : position + self._due_bytes]
                pieces.append(piece)
                data_bytes += len(piece)
                position += len(piece)
                self._due_bytes -= len(piece)
                if self._due_bytes:
                    break
                self._is_line_end_due = True
            if self._is_line_end_due:
                if len(received) < position + 2:
                    break
                if received[position : position + 2] != b'\r\n':
                    raise self._fail('a long chunk')
                position += 2
                self._is_line_end_due = False
            size = self._size_line.match(received, position)
            if size is None:
                self._check_incomplete_line(received, position)
                break
            position = size.end()
            chunk_count += 1
            self._begin_chunk(int(size[1], 16), size.end() - size.start())
            if self.are_over:
                break
        return Part(b''.join(pieces), chunk_count, position)

    def _begin_chunk(self, size_bytes, line_bytes):
        if line_bytes > self._line_bytes:
            raise self._fail('a long extension')
        self._due_bytes = size_bytes
        self.are_over = not size_bytes
        # Large chunks do not allow more framing for those behind them.
        allowed_bytes = min(size_bytes * MAX_FRAMING_PER_BYTE, line_bytes)
        self._framing_left_bytes += allowed_bytes - line_bytes
        if self._framing_left_bytes < 0:
            raise self._fail('more extensions than data')

    def _check_incomplete_line(self, received, position):
        size_bytes = len(received) - position
        if received.find(b'\n', position) >= 0:
            raise self._fail('no size of a chunk')
        if size_bytes > self._line_bytes:
            raise self._fail('a long extension')
