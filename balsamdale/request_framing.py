"""Where each head and body of HTTP/1.1 requests ends; no I/O.

Source: RFC 9112. A head is handed on whole, so that its size is known before
it is parsed; of a body in chunks only the data is, so that sizes, extensions
and trailers, which nobody uses, are never held.
"""

from collections import abc as collections_abc
import dataclasses
import re

from balsamdale import chunked_coding
from balsamdale import errors

__all__ = ['Body', 'Head', 'Part', 'RequestFraming']

# Data of a body that one part has at most.
MAX_PART_BYTES = chunked_coding.MAX_PART_BYTES

CHUNK_SIZE = re.compile(
    rb'([0-9A-Fa-f]{1,%d})(?:[ \t]*;[^\r\n]*)?\r\n'
    % chunked_coding.MAX_SIZE_DIGITS
)
BAD_REQUEST = 400
HEAD_TOO_LARGE = 431


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """A whole head, from its first line to the empty line.

    Attributes:
        data: its bytes.
        cost: its fields, each of which takes time and memory.
    """

    data: bytes
    cost: int


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """A part of a body.

    Attributes:
        data: its bytes; may be empty.
        is_last: whether the body ends with it.
        cost: chunks that were begun in it, each of which takes time.
    """

    data: bytes
    is_last: bool
    cost: int = 0


Part = Head | Body


class RequestFraming:
    """Cuts what arrives on one connection into parts of requests.

    After a head, the caller tells how its body is framed, by `expect_length`
    or `expect_chunks`; without that there is none.

    Attributes:
        header_bytes: limit on the size of a request line, of the fields of a
            head, of the size of a chunk with its extensions, and of trailers.
        is_in_body: whether a body has not arrived whole.
    """

    def __init__(self, header_bytes: int):
        self.header_bytes = header_bytes
        self.is_in_body = False
        self._input = bytearray()
        # What of the input was searched for the end of a head or line.
        self._searched_bytes = 0
        self._empty_line_bytes = 0
        # What has not arrived of a body of known length.
        self._due_bytes = 0
        self._chunks: chunked_coding.Chunks | None = None
        self._trailers_left_bytes = 0
        self._take_part = self._take_head

    @property
    def held_bytes(self) -> int:
        """Bytes that were received and are in no part yet."""
        return len(self._input)

    @property
    def is_in_head(self) -> bool:
        """Whether a head has arrived in part."""
        return not self.is_in_body and bool(self._input)

    @property
    def is_length_known(self) -> bool:
        """Whether a body of known length has not arrived whole."""
        return self._due_bytes > 0

    def receive(self, data: bytes) -> None:
        """Add bytes from the connection."""
        self._input += data

    def drop(self) -> None:
        """Give up what was received and is in no part yet."""
        self._input = bytearray()

    def pass_body(self, size_bytes: int) -> bool:
        """Return whether the next bytes are all data of the present body.

        They are then counted, and need not be received: the body does not end
        with them.
        """
        if size_bytes >= self._due_bytes or self._input:
            return False
        self._due_bytes -= size_bytes
        return True

    def expect_length(self, size_bytes: int) -> None:
        """Expect a body of a size behind the head that was just taken."""
        if size_bytes:
            self._due_bytes = size_bytes
            self._begin_body(self._take_length)

    def expect_chunks(self) -> None:
        """Expect a body in chunks behind the head that was just taken."""
        self._chunks = chunked_coding.Chunks(
            self.header_bytes, CHUNK_SIZE, _malformed_body
        )
        self._begin_body(self._take_chunks)

    def next_part(self) -> Part | None:
        """Return the next part; None until more bytes arrive.

        Raises:
            RequestMalformed: the bytes are no request within the limits;
                nothing more can be taken.
        """
        return self._take_part()

    def parts(self) -> collections_abc.Iterator[Part]:
        """Yield the parts of what has arrived.

        Raises:
            RequestMalformed: see `next_part`.
        """
        while (part := self.next_part()) is not None:
            yield part

    def _begin_body(self, take_part):
        self.is_in_body = True
        self._take_part = take_part

    def _end_body(self):
        self.is_in_body = False
        self._take_part = self._take_head

    def _take_head(self):
        if not self._input:
            return None
        if not self._input[:1].isalpha():
            self._drop_empty_lines()
            if not self._input:
                return None
            if not self._input[:1].isalpha():
                raise errors.RequestMalformed(BAD_REQUEST, 'no request line')
        end = self._find(b'\r\n\r\n', 4)
        if end < 0:
            self._check_head(len(self._input))
            return None
        if end + 4 > self.header_bytes:
            self._check_head(end + 4)
        data = self._take(end + 4)
        self._empty_line_bytes = 0
        return Head(data, data.count(b'\n') - 2)

    def _drop_empty_lines(self):
        """Drop empty lines before a request (RFC 9112, 2.2)."""
        kept = self._input.lstrip(b'\r\n')
        self._empty_line_bytes += len(self._input) - len(kept)
        self._input = kept
        if self._empty_line_bytes > self.header_bytes:
            raise errors.RequestMalformed(BAD_REQUEST, 'only empty lines')

    def _check_head(self, size_bytes):
        """Check the first line and the fields of a head or a part of it."""
        line_bytes = self._input.find(b'\n', 0, self.header_bytes + 1) + 1
        if line_bytes == 0:
            line_bytes = size_bytes
        if line_bytes > self.header_bytes:
            raise errors.RequestMalformed(HEAD_TOO_LARGE, 'a long first line')
        if size_bytes - line_bytes > self.header_bytes:
            raise errors.RequestMalformed(HEAD_TOO_LARGE, 'a large head')
        if self._input.find(b'\n\n', 0, size_bytes) >= 0:
            raise errors.RequestMalformed(BAD_REQUEST, 'bare line feeds')

    def _take_length(self):
        data = self._take(min(self._due_bytes, MAX_PART_BYTES))
        if not data:
            return None
        self._due_bytes -= len(data)
        is_last = not self._due_bytes
        if is_last:
            self._end_body()
        return Body(data, is_last)

    def _take_chunks(self):
        chunks = self._chunks.read(self._input)
        self._take(chunks.used_bytes)
        part = Body(chunks.data, False, chunks.count)
        if self._chunks.are_over:
            self._chunks = None
            self._trailers_left_bytes = self.header_bytes
            self._take_part = self._take_trailers
        elif not part.cost and not part.data:
            return None
        return part

    def _take_trailers(self):
        while not self._input.startswith(b'\r\n'):
            line_end = self._find(b'\r\n', 2)
            is_whole = line_end >= 0
            size_bytes = line_end + 2 if is_whole else len(self._input)
            if size_bytes > self._trailers_left_bytes:
                raise errors.RequestMalformed(HEAD_TOO_LARGE, 'long trailers')
            if not is_whole:
                return None
            self._take(size_bytes)
            self._trailers_left_bytes -= size_bytes
        self._take(2)
        self._end_body()
        return Body(b'', True)

    def _find(self, end, overlap_bytes):
        """Find an end in the input, searching each byte about once."""
        start = max(0, self._searched_bytes - overlap_bytes)
        found = self._input.find(end, start)
        self._searched_bytes = len(self._input)
        return found

    def _take(self, size_bytes):
        with memoryview(self._input) as view:
            data = bytes(view[:size_bytes])
        del self._input[:size_bytes]
        self._searched_bytes = 0
        return data


def _malformed_body(reason):
    return errors.RequestMalformed(BAD_REQUEST, reason)
