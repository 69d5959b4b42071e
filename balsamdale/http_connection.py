"""Client sessions whose connections tell a whole response from any other.

What a server sends is read by `response_framing`, and only what is a response
reaches aiohttp's parser.

A body that has neither a length nor chunks ends with its connection. aiohttp
ends it however the connection ends; here only a server that closes it in
order does. aiohttp also reads for as long as a server sends; here a
connection ends once too much has arrived that is part of no response.
"""

import asyncio
from collections import abc as collections_abc
import dataclasses
import functools

import aiohttp
from aiohttp import client_proto
from aiohttp import http_exceptions

from balsamdale import decisions
from balsamdale import errors
from balsamdale import response_framing

__all__ = [
    'CONNECTION_STATES',
    'FRAMINGS',
    'ClientResponse',
    'Connection',
    'InvalidResponse',
    'Transfer',
    'count_invalid',
    'create_session',
    'read_body',
    'read_lines',
    'record_invalid',
]

# What tells the end of a body: its length, its last chunk, or only the end of
# the connection.
FRAMINGS = ('length', 'chunks', 'connection')
# Whether a connection is open, was closed by the server, was lost with an
# error, or was closed by this instance.
CONNECTION_STATES = ('open', 'closed', 'lost', 'abandoned')
# Bytes in a row that may arrive without bringing the awaited head, or a part
# of its body: heads of interim responses, late responses to other requests,
# sizes and extensions of chunks.
MAX_UNUSED_BYTES = 1_048_576
# Sent by sessions whose users take bodies as they are.
PLAIN_BODY_HEADERS = {'Accept-Encoding': 'identity'}
# Longest body that is held in memory as a whole.
MAX_BODY_BYTES = 16_777_216


@dataclasses.dataclass
class Transfer:
    """How the body of a response is framed, and what became of it.

    Attributes:
        framing: one of `FRAMINGS`.
        connection: one of `CONNECTION_STATES`.
    """

    framing: str
    connection: str = 'open'


class InvalidResponse(aiohttp.ClientPayloadError):
    """What a server sent is no response."""


class _Count:
    """Counts responses of this process that were none."""

    value = 0


def count_invalid() -> int:
    """Return how often servers have sent what is no response."""
    return _Count.value


def record_invalid(address: str, reason: str) -> None:
    """Count and log what a server has sent in place of a response."""
    _Count.value += 1
    decisions.record('response_invalid', server=address, reason=reason)


class Connection(client_proto.ResponseHandler):
    """A connection whose loss is not the end of a response.

    Attributes:
        transfer: the latest response; None before the first.
    """

    transfer: Transfer | None = None
    _state = 'open'
    _is_closed_by_server = False
    _unused_bytes = 0
    # The body whose bytes are used; None while a head is awaited.
    _body = None
    _is_awaiting_response = False

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._response_framing = response_framing.ResponseFraming()

    def set_response_params(self, *, skip_payload=False, **options):
        """Prepare for the response to a request that is about to be sent."""
        self._is_awaiting_response = True
        self._response_framing.expect(has_body=not skip_payload)
        super().set_response_params(skip_payload=skip_payload, **options)

    async def read(self):
        """Return the next message."""
        self._body = None
        self._is_awaiting_response = True
        message, payload = await super().read()
        self._is_awaiting_response = False
        self.transfer = Transfer(_framing(message), self._state)
        return message, payload

    def use_body(self, payload):
        """Regard what arrives from now on as a part of this body."""
        self._body = payload
        self._unused_bytes = 0

    @property
    def should_close(self):
        """Whether no further request may be sent on it."""
        return super().should_close or self._response_framing.held_bytes > 0

    def data_received(self, data):
        if not data:
            # aiohttp goes on with what it has held back.
            super().data_received(data)
            return
        body = self._body
        body_bytes = body.total_bytes if body is not None else 0
        parts = []
        reason = ''
        try:
            parts.extend(self._response_framing.receive(data))
        except errors.ResponseMalformed as error:
            # What came before is whole, and counts.
            reason = str(error)
        if parts:
            super().data_received(b''.join(parts))
        if reason:
            self.reject(reason)
        elif body is not None and body.total_bytes > body_bytes:
            self._unused_bytes = 0
        else:
            self._count_unused(len(data))

    def _count_unused(self, size_bytes):
        """Count bytes that have brought neither a head nor a body."""
        self._unused_bytes += size_bytes
        if self._unused_bytes > MAX_UNUSED_BYTES:
            self.reject('more than can be part of a response')
        elif self._is_idle() and (
            self._buffer or self._response_framing.held_bytes
        ):
            # It would be taken for the response to the next request.
            self.reject('a response that no request has asked for')

    def _is_idle(self):
        """Return whether no request waits for a response or its body."""
        is_body_read = self._payload is None or self._payload.is_eof()
        return is_body_read and not self._is_awaiting_response

    def reject(self, reason: str) -> InvalidResponse:
        """End the connection; whoever waits for a response or body fails.

        Args:
            reason: what the server has sent in place of a response.

        Returns:
            The error that they get.
        """
        error = InvalidResponse(f'the server sent {reason}')
        transport = self.transport
        address = ('', 0)
        if transport is not None:
            address = transport.get_extra_info('peername') or address
        record_invalid(f'{address[0]}:{address[1]}', reason)
        self.set_exception(error)
        self._fail_body(error)
        if transport is not None:
            transport.abort()
        return error

    def eof_received(self):
        self._is_closed_by_server = True
        super().eof_received()

    def connection_lost(self, exc):
        if self._is_closed_by_server:
            # What fails later concerns only the rest of the request.
            self._end('closed')
        elif exc is not None:
            self._end('lost', exc)
        else:
            self._end('abandoned')
        super().connection_lost(exc)

    def close(self):
        self._end('abandoned')
        super().close()

    def abort(self):
        self._end('abandoned')
        super().abort()

    def _end(self, state, cause=None):
        """Record the first end; only the server's close ends a body."""
        if self._state != 'open':
            return
        self._state = state
        if self.transfer is not None:
            self.transfer.connection = state
        if state != 'closed':
            error = aiohttp.ClientPayloadError(
                f'the connection was {state} in the middle of a body'
            )
            error.__cause__ = cause
            self._fail_body(error)

    def _fail_body(self, error):
        payload = self._payload
        if payload is None or payload.is_eof() or payload.exception():
            return
        payload.set_exception(error)


class ClientResponse(aiohttp.ClientResponse):
    """A response with the record of its transfer.

    Attributes:
        transfer: how its body is framed, and what became of it.
    """

    transfer: Transfer

    async def start(self, connection):
        protocol = connection.protocol
        await super().start(connection)
        self.transfer = protocol.transfer
        protocol.use_body(self.content)
        try:
            response_framing.check_codings(
                self.request_info.headers.getall('Accept-Encoding', ()),
                self.headers.getall('Content-Encoding', ()),
            )
        except errors.ResponseMalformed as error:
            raise protocol.reject(str(error)) from error
        return self


def create_session(
    connector: aiohttp.TCPConnector,
    connection_class: type[Connection] = Connection,
    **options,
) -> aiohttp.ClientSession:
    """Return a session whose connections are of a class of this module.

    It never repeats a request by itself.

    Args:
        connector: makes the connections; owned by the session.
        connection_class: class of the connections.
        options: further arguments of the session.
    """
    # aiohttp has no public way to replace a connector's protocol.
    connector._factory = functools.partial(
        connection_class, loop=asyncio.get_running_loop()
    )
    # The parser's own limits must not be reached before those of the framing.
    options = {
        'headers': PLAIN_BODY_HEADERS,
        'auto_decompress': False,
        'max_line_size': response_framing.MAX_HEAD_BYTES,
        'max_field_size': response_framing.MAX_HEAD_BYTES,
        'max_headers': response_framing.MAX_FIELDS,
        **options,
    }
    session = aiohttp.ClientSession(
        connector=connector, response_class=ClientResponse, **options
    )
    # Keeps aiohttp from resending a request that must run at most once when
    # a pooled connection turns out to be closed.
    session._retry_connection = False
    return session


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return a whole body of at most `MAX_BODY_BYTES`.

    Raises:
        ClientPayloadError: the body was cut or is longer.
    """
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > MAX_BODY_BYTES:
            raise aiohttp.ClientPayloadError(
                f'the body has more than {MAX_BODY_BYTES} bytes'
            )
    return bytes(body)


async def read_lines(
    response: aiohttp.ClientResponse,
) -> collections_abc.AsyncIterator[bytes]:
    """Yield the lines of a body, each with its line feed.

    Raises:
        ClientPayloadError: the body was cut, ends inside a line, or has a
            line that is too long.
    """
    try:
        async for line in response.content:
            if not line.endswith(b'\n'):
                raise aiohttp.ClientPayloadError('the body ends inside a line')
            yield line
    except http_exceptions.LineTooLong as error:
        raise aiohttp.ClientPayloadError('a line is too long') from error


def _framing(message):
    if message.chunked:
        return 'chunks'
    if 'Content-Length' in message.headers:
        return 'length'
    return 'connection'
