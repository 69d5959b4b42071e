"""HTTP client for routed requests to backend servers.

It prevents aiohttp from repeating requests by itself, and from taking a late
response to one request for the response to the next on the same connection.
"""

import asyncio
import collections
from collections import abc as collections_abc
import contextlib
import dataclasses
import typing

import aiohttp
from aiohttp import client_reqrep
import multidict
import yarl

from balsamdale import errors
from balsamdale import http_connection
from balsamdale import sockets
from balsamdale import wire

__all__ = ['EncodedRequest', 'HttpClient', 'Response']

# Time for a new connection: many round trips between failure domains.
CONNECT_TIMEOUT_S = 0.25
# Longest idle time of a connection that is reused: shorter than the idle
# timeouts of servers, which are set in whole seconds.
IDLE_CONNECTION_S = 2.0
# aiohttp pauses a connection at twice this much unread data; one call reads
# at most the latter, so that a paused stream buffers up to 64 KB.
READ_BUFFER_BYTES = 16384
MAX_RECEIVE_BYTES = 32768
# Longest body that is received only to reuse its connection.
MAX_SKIPPED_BYTES = 65536
# Requests after which a connection is closed, which bounds the ids that are
# remembered for it.
MAX_REQUESTS_PER_CONNECTION = 512
# Headers that aiohttp would add to those of the caller.
LIBRARY_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent', 'Content-Type')


class _Protocol(http_connection.Connection):
    """A connection that discards responses to earlier requests.

    Only its id tells a response to an earlier request, which a server may
    send late or once more. So a connection carries an id once, and a response
    without an id is accepted only for the first request.
    """

    id_header = ''
    expected_id = ''

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._carried_ids: set[int] = set()

    def connection_made(self, transport):
        transport.max_size = MAX_RECEIVE_BYTES
        super().connection_made(transport)

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with an id may have been sent on it."""
        return hash(request_id) in self._carried_ids

    def expect(self, request_id: str) -> None:
        """Expect the response to a request that is about to be sent."""
        self.expected_id = request_id
        self._carried_ids.add(hash(request_id))
        if len(self._carried_ids) >= MAX_REQUESTS_PER_CONNECTION:
            self.force_close()

    async def read(self):
        while True:
            message, payload = await super().read()
            ids = set(message.headers.getall(self.id_header, (None,)))
            if len(ids) > 1:
                raise self.reject('more than one request id')
            (echoed,) = ids
            if echoed == self.expected_id:
                return message, payload
            if echoed is None and message.code >= 300:
                if len(self._carried_ids) == 1:
                    return message, payload
                raise aiohttp.ClientPayloadError(
                    'a response without an id on a connection that has '
                    'carried other requests'
                )
            await payload.read()


class _Request(client_reqrep.ClientRequest):
    """A request that tells its connection which request id to expect."""

    async def send(self, conn):
        protocol = conn.protocol
        protocol.expect(self.headers.get(protocol.id_header, ''))
        return await super().send(conn)


class _Connector(aiohttp.TCPConnector):
    """Provides a connection that has not carried a request's id yet."""

    async def connect(self, req, traces, timeout):
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            request_id = req.headers.get(protocol.id_header, '')
            if not protocol.has_carried(request_id):
                return connection
            connection.close()


@dataclasses.dataclass(frozen=True)
class EncodedRequest:
    """A request as it is sent to a server.

    Attributes:
        method: HTTP method.
        target: path and query.
        headers: all headers.
        body: the whole body.
    """

    method: str
    target: str
    headers: tuple[wire.Header, ...]
    body: bytes


@dataclasses.dataclass
class Response:
    """A server's response, whose body has not been read yet.

    Attributes:
        status: HTTP status.
        headers: all headers.
        metadata: what status and headers say.
        transfer: how the body is framed, and what became of it.
    """

    status: int
    headers: multidict.CIMultiDictProxy | multidict.CIMultiDict
    metadata: wire.ResponseMetadata
    transfer: http_connection.Transfer
    _parts: collections_abc.AsyncIterator[bytes]

    async def skip(self) -> bool:
        """Drop the body, and reuse the connection if it is short and whole.

        Returns:
            Whether it is.
        """
        skipped_bytes = 0
        try:
            async for chunk in self.chunks():
                skipped_bytes += len(chunk)
                if skipped_bytes > MAX_SKIPPED_BYTES:
                    return False
        except (aiohttp.ClientError, errors.BackendFailed):
            return False
        return True

    def chunks(self) -> collections_abc.AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        return self._parts


class HttpClient:
    """Sends requests to backend servers over pooled connections.

    Args:
        wire_format: translation of header names.
        connections_per_server: limit on open connections to one server; 0
            for none.

    Attributes:
        requests_sent: attempts so far, including failed ones.
        response_counts: responses by framing of the body and state of the
            connection at their end.
    """

    def __init__(
        self, wire_format: wire.WireFormat, connections_per_server: int = 0
    ):
        self._wire_format = wire_format
        self._connections_per_server = connections_per_server
        self._session: aiohttp.ClientSession | None = None
        self.requests_sent = 0
        self.response_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def encode(
        self, call: wire.Call, body: bytes, server_id: str, timeout_s: float
    ) -> EncodedRequest:
        """Return a request as it is sent to a server.

        Args:
            call: the caller's request.
            body: the body to send.
            server_id: the server that must run the request.
            timeout_s: remaining time that is sent to the server; not
                enforced here.
        """
        headers = self._wire_format.request_headers(call, server_id, timeout_s)
        return EncodedRequest(call.method, call.target, tuple(headers), body)

    @contextlib.asynccontextmanager
    async def send(
        self,
        call: wire.Call,
        body: bytes,
        address: str,
        server_id: str,
        timeout_s: float,
    ) -> collections_abc.AsyncIterator[Response]:
        """Encode and send one request, and yield its response.

        See `encode` and `send_encoded`.
        """
        request = self.encode(call, body, server_id, timeout_s)
        async with self.send_encoded(request, address, server_id) as response:
            yield response

    @contextlib.asynccontextmanager
    async def send_encoded(
        self, request: EncodedRequest, address: str, server_id: str
    ) -> collections_abc.AsyncIterator[Response]:
        """Send one request and yield its response.

        The connection is reused only if the body was read to its end.

        Args:
            request: the request.
            address: IP address and port of the server.
            server_id: the server that must run the request.

        Raises:
            BackendFailed: the response is missing or incomplete; `ran` tells
                whether the request may have run.
        """
        url = yarl.URL(f'http://{address}{request.target}', encoded=True)
        self.requests_sent += 1
        try:
            async with self._get_session().request(
                request.method,
                url,
                headers=multidict.CIMultiDict(request.headers),
                data=request.body or None,
                allow_redirects=False,
                skip_auto_headers=LIBRARY_HEADERS,
            ) as response:
                metadata = self._wire_format.decode_response(
                    response.status, response.headers
                )
                transfer = response.transfer
                try:
                    yield Response(
                        response.status,
                        response.headers,
                        metadata,
                        transfer,
                        response.content.iter_any(),
                    )
                finally:
                    ending = transfer.framing, transfer.connection
                    self.response_counts[ending] += 1
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise errors.BackendFailed(
                server_id, 'no', f'no connection: {error}', True
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise errors.BackendFailed(
                server_id, 'unknown', f'{type(error).__name__}: {error}'
            ) from error

    async def is_reachable(self, address: str) -> bool:
        """Return whether a server accepts a new connection."""
        return await self.probe(address) == 'open'

    async def probe(
        self, address: str
    ) -> typing.Literal['open', 'refused', 'silent']:
        """Return what becomes of a new connection to a server."""
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except TimeoutError:
            return 'silent'
        except OSError:
            return 'refused'
        writer.close()
        return 'open'

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()

    def _get_session(self):
        if self._session is None:
            connector = _Connector(
                limit=0,
                limit_per_host=self._connections_per_server,
                keepalive_timeout=IDLE_CONNECTION_S,
                socket_factory=sockets.create_client_socket,
                use_dns_cache=False,
            )
            protocol = type(
                'BoundProtocol',
                (_Protocol,),
                {'id_header': self._wire_format.request_id_header},
            )
            self._session = http_connection.create_session(
                connector,
                protocol,
                request_class=_Request,
                # Callers say which codings they take.
                headers=None,
                cookie_jar=aiohttp.DummyCookieJar(),
                trust_env=False,
                read_bufsize=READ_BUFFER_BYTES,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT_S
                ),
            )
        return self._session
