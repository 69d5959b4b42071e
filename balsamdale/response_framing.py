"""Reads HTTP/1 responses as RFC 9110 and 9112 define them; no I/O.

What a server sends is a response by their grammar, or it is none: nothing is
repaired, and no line is skipped. What is handed on is in one form that leaves
a parser no choice: HTTP/1.0 or 1.1, one length or the chunked coding, chunks
without extensions or trailers, no interim responses.
"""

from collections import abc as collections_abc
import re

from balsamdale import chunked_coding
from balsamdale import errors

__all__ = [
    'MAX_FIELDS',
    'MAX_HEAD_BYTES',
    'ResponseFraming',
    'check_codings',
    'check_response',
]

MAX_HEAD_BYTES = 65536
MAX_FIELDS = 128
# Size of a chunk with its extensions.
MAX_CHUNK_LINE_BYTES = 4096
# Interim responses before one response, all together.
MAX_INTERIM_BYTES = 65536
# Digits of a length, far more than a body that anyone sends.
MAX_LENGTH_DIGITS = 16

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# Visible characters, spaces, tabs and bytes above ASCII.
TEXT = rb'[\t\x20-\x7e\x80-\xff]*'
QUOTED = (
    rb'"(?:[\t\x20!\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"'
)
FIELD = TOKEN + rb':' + TEXT
STATUS_LINE = re.compile(rb'HTTP/([0-9])\.([0-9]) ([0-9]{3}) ' + TEXT)
HEAD = re.compile(STATUS_LINE.pattern + rb'\r\n((?:' + FIELD + rb'\r\n)*)\r\n')
FIELD_LINE = re.compile(FIELD)
NAME = re.compile(TOKEN)
VALUE = re.compile(TEXT)
FRAMING_FIELD = re.compile(
    rb'^(content-length|transfer-encoding):([^\r\n]*)\r\n',
    re.IGNORECASE | re.MULTILINE,
)
# Bytes that no head has anywhere.
NOT_IN_HEAD = re.compile(
    rb'[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r[^\n]|(?<!\r)\n'
)
LENGTH = re.compile(rb'[0-9]{1,%d}' % MAX_LENGTH_DIGITS)
CHUNK_SIZE = re.compile(
    rb'([0-9A-Fa-f]{1,%d})(?:[ \t]*;[ \t]*%s(?:[ \t]*=[ \t]*(?:%s|%s))?)*\r\n'
    % (chunked_coding.MAX_SIZE_DIGITS, TOKEN, TOKEN, QUOTED)
)
# The size of a chunk that is not the last one, without extensions.
WHOLE_CHUNK = re.compile(rb'(?!0)([0-9A-Fa-f]{1,8})\r\n')
SIMPLE_FRAMING = re.compile(rb' ?(?:[0-9]+|chunked)')
NO_WEIGHT = re.compile(r'q[ \t]*=[ \t]*0(?:\.0*)?')
CHUNKED = b'chunked'
# No coding: a request may name it, a response does not (RFC 9110, 12.5.3).
IDENTITY = 'identity'
VERSIONS = (b'1.0', b'1.1')
STATUSES = range(100, 600)
INTERIM_STATUSES = range(100, 200)
SWITCHING_PROTOCOLS = 101
NO_CONTENT = 204
# Responses that end with their head, whatever its fields say.
EMPTY_STATUSES = frozenset((NO_CONTENT, 304))
START = b'HTTP/'
LINE_END = b'\r\n'
HEAD_END = b'\r\n\r\n'


class ResponseFraming:
    """Reads what arrives on one connection."""

    def __init__(self):
        self._input = bytearray()
        self._searched_bytes = 0
        self._interim_bytes = 0
        self._has_body = True
        # What has not arrived of a body of known length.
        self._due_bytes = 0
        self._chunks: chunked_coding.Chunks | None = None
        self._trailers_left_bytes = 0
        self._take_part = self._take_head

    @property
    def held_bytes(self) -> int:
        """Bytes that were received and not handed on."""
        return len(self._input)

    def expect(self, has_body: bool) -> None:
        """Expect the response to a request that is about to be sent.

        Args:
            has_body: whether it may have a body; one to HEAD has none.
        """
        self._has_body = has_body

    def receive(self, data: bytes) -> collections_abc.Iterator[bytes]:
        """Yield the parts of responses that have arrived, for a parser.

        Raises:
            ResponseMalformed: what was received is no response from here on;
                nothing more can be read.
        """
        if not self._input and self._is_canonical(data):
            yield data
            return
        self._input += data
        while (part := self._take_part()) is not None:
            if part:
                yield part

    def _is_canonical(self, data):
        """Return whether data of a body can be handed on as it is."""
        if self._chunks is None:
            return self._take_part == self._take_until_close
        size = WHOLE_CHUNK.match(data)
        return (
            size is not None
            and self._chunks.is_between_chunks
            and size.end() + int(size[1], 16) + 2 == len(data)
            and data.endswith(LINE_END)
        )

    def _take_head(self):
        if not self._input:
            return None
        searched_bytes, self._searched_bytes = self._searched_bytes, 0
        end = self._input.find(HEAD_END, max(0, searched_bytes - 3))
        if end < 0 or end + 4 > MAX_HEAD_BYTES:
            self._check_start(max(0, searched_bytes - 1))
            return None
        head = self._take(end + 4)
        match = HEAD.fullmatch(head)
        if match is None:
            raise errors.ResponseMalformed(_explain(head))
        if head.count(b'\n') - 2 > MAX_FIELDS:
            raise errors.ResponseMalformed('too many fields')
        return self._begin(head, *match.groups())

    def _check_start(self, searched_bytes):
        """Check the part of a head that has arrived.

        Args:
            searched_bytes: what was found to be right before.
        """
        if not START.startswith(self._input[: len(START)]):
            raise errors.ResponseMalformed('no status line')
        if NOT_IN_HEAD.search(self._input, searched_bytes):
            raise errors.ResponseMalformed('a byte that no head has')
        if len(self._input) > MAX_HEAD_BYTES:
            raise errors.ResponseMalformed('a head that is too long')
        self._searched_bytes = len(self._input)

    def _begin(self, head, major, minor, status_digits, fields):
        """Begin the body behind a head; return the head in one form."""
        if major != b'1':
            raise errors.ResponseMalformed('another version of HTTP')
        status = int(status_digits)
        if status not in STATUSES:
            raise errors.ResponseMalformed('a status that does not exist')
        if status == SWITCHING_PROTOCOLS:
            raise errors.ResponseMalformed('a protocol that was not asked for')
        length, is_chunked = None, False
        if FRAMING_FIELD.search(fields):
            length, is_chunked = _read_framing(fields, minor == b'0')
        if status in INTERIM_STATUSES or status == NO_CONTENT:
            if is_chunked or length:
                raise errors.ResponseMalformed('a body where there is none')
        if status in INTERIM_STATUSES:
            self._interim_bytes += len(head)
            if self._interim_bytes > MAX_INTERIM_BYTES:
                raise errors.ResponseMalformed('too many interim responses')
            return b''
        self._interim_bytes = 0
        if not self._has_body or status in EMPTY_STATUSES:
            self._take_part = self._take_head
        elif is_chunked:
            self._chunks = chunked_coding.Chunks(
                MAX_CHUNK_LINE_BYTES, CHUNK_SIZE, errors.ResponseMalformed
            )
            self._take_part = self._take_chunks
        elif length is None:
            self._take_part = self._take_until_close
        elif length:
            self._due_bytes = length
            self._take_part = self._take_length
        return _canonical(head, fields, length, is_chunked)

    def _take_length(self):
        data = self._take(self._due_bytes)
        if not data:
            return None
        self._due_bytes -= len(data)
        if not self._due_bytes:
            self._take_part = self._take_head
        return data

    def _take_until_close(self):
        return self._take(len(self._input)) or None

    def _take_chunks(self):
        part = self._chunks.read(self._input)
        self._take(part.used_bytes)
        if self._chunks.are_over:
            self._chunks = None
            self._trailers_left_bytes = MAX_HEAD_BYTES
            self._take_part = self._take_trailers
        elif not part.count and not part.data:
            return None
        if not part.data:
            return b''
        return b'%x\r\n%b\r\n' % (len(part.data), part.data)

    def _take_trailers(self):
        """Drop trailers; return the end of the body behind them."""
        while (size_bytes := self._input.find(LINE_END)) != 0:
            if size_bytes < 0:
                if len(self._input) > self._trailers_left_bytes:
                    raise errors.ResponseMalformed(
                        'trailers that are too long'
                    )
                return None
            self._trailers_left_bytes -= size_bytes + 2
            if self._trailers_left_bytes < 0:
                raise errors.ResponseMalformed('trailers that are too long')
            if FIELD_LINE.fullmatch(self._take(size_bytes)) is None:
                raise errors.ResponseMalformed('a malformed trailer')
            self._take(2)
        self._take(2)
        self._take_part = self._take_head
        return b'0\r\n\r\n'

    def _take(self, size_bytes):
        data = bytes(self._input[:size_bytes])
        del self._input[:size_bytes]
        return data


def check_response(
    status: int, headers: collections_abc.Iterable[tuple[str, str]]
) -> None:
    """Check a final response that was read by another instance.

    Args:
        status: its status.
        headers: its fields.

    Raises:
        ResponseMalformed: it is none.
    """
    if status not in STATUSES or status in INTERIM_STATUSES:
        raise errors.ResponseMalformed('a status that does not exist')
    for name, value in headers:
        if not NAME.fullmatch(_encode(name)) or not VALUE.fullmatch(
            _encode(value)
        ):
            raise errors.ResponseMalformed('a malformed field')


def check_codings(
    asked: collections_abc.Iterable[str], sent: collections_abc.Iterable[str]
) -> None:
    """Check that a body has no content coding but those asked for.

    A request that names none takes a body as it is.

    Args:
        asked: values of the request's `Accept-Encoding`.
        sent: values of the response's `Content-Encoding`.

    Raises:
        ResponseMalformed: the body has another one.
    """
    codings = {coding for coding, _ in _list_elements(sent)}
    if not codings:
        return
    accepted = {
        coding
        for coding, weight in _list_elements(asked)
        if coding != IDENTITY and not NO_WEIGHT.fullmatch(weight)
    }
    if '*' not in accepted and not codings <= accepted:
        raise errors.ResponseMalformed(
            'a content coding that was not asked for'
        )


def _list_elements(values):
    """Yield each element of a list in lower case, and its parameter."""
    for element in ','.join(values).lower().split(','):
        name, _, parameter = element.partition(';')
        if name.strip(' \t'):
            yield name.strip(' \t'), parameter.strip(' \t')


def _read_framing(fields, is_http_1_0):
    """Return the length of a body, if any, and whether it is in chunks."""
    lengths, codings = [], []
    for name, value in FRAMING_FIELD.findall(fields):
        elements = [e.strip(b' \t') for e in value.split(b',')]
        is_length = name.lower() == b'content-length'
        # Empty elements of a list are skipped (RFC 9110, 5.6.1.2).
        (lengths if is_length else codings).extend(
            list(filter(None, elements)) or [b'']
        )
    if codings and (lengths or is_http_1_0):
        raise errors.ResponseMalformed(
            'a transfer coding beside a length or in HTTP/1.0'
        )
    if codings and [coding.lower() for coding in codings] != [CHUNKED]:
        raise errors.ResponseMalformed('a transfer coding that is not spoken')
    if len(set(lengths)) > 1 or not all(map(LENGTH.fullmatch, lengths)):
        raise errors.ResponseMalformed('a malformed length')
    return int(lengths[0]) if lengths else None, bool(codings)


def _canonical(head, fields, length, is_chunked):
    """Return a head whose framing a parser reads in one way only."""
    if head[5:8] not in VERSIONS:
        head = START + VERSIONS[-1] + head[8:]
    framing = FRAMING_FIELD.findall(fields)
    if len(framing) < 2 and all(
        SIMPLE_FRAMING.fullmatch(value) for _, value in framing
    ):
        return head
    status_line = head[: head.index(LINE_END) + 2]
    line = b'Transfer-Encoding: chunked'
    if not is_chunked:
        line = b'Content-Length: %d' % length
    other_fields = FRAMING_FIELD.sub(b'', fields)
    return status_line + other_fields + line + HEAD_END


def _explain(head):
    """Return what is wrong with a head."""
    if STATUS_LINE.fullmatch(head[: head.index(LINE_END)]) is None:
        return 'a malformed status line'
    return 'a malformed field line'


def _encode(text):
    return text.encode(errors='surrogateescape')
