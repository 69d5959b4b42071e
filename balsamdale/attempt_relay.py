"""Attempts at servers that another entry sends: messages and both sides.

A body counts as whole only with all of its parts and its end.
"""

from collections import abc as collections_abc
import contextlib
import itertools

import multidict

from balsamdale import codec
from balsamdale import discovery
from balsamdale import errors
from balsamdale import exchange
from balsamdale import http_connection
from balsamdale import link
from balsamdale import response_framing
from balsamdale import wire

__all__ = ['AttemptRelay', 'RelayAttempt']


@codec.message
class RelayAttempt:
    """Asks a peer to send a request to a server.

    The replies are `RelayedHead`, any number of `RelayedPart`, and
    `RelayedEnd`; or `RelayFailed` at any point.

    Attributes:
        method: HTTP method.
        target: path and query.
        headers: all headers.
        body: the whole body.
        address: IP address and port of the server.
        server_id: the server that must run the request.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    address: str
    server_id: str


@codec.message
class RelayedHead:
    """Status and headers of a server's response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    framing: str


@codec.message
class RelayedPart:
    """Bytes of the body as they arrived.

    Attributes:
        number: 0 for the first part, and so on; links may lose messages.
        data: the bytes.
    """

    number: int
    data: bytes


@codec.message
class RelayedEnd:
    """The body was whole.

    Attributes:
        parts: number of its parts.
        connection: one of `http_connection.CONNECTION_STATES`.
    """

    parts: int
    connection: str


@codec.message
class RelayFailed:
    """The attempt failed; see `errors.BackendFailed`."""

    ran: str
    detail: str
    crashed: bool


class AttemptRelay:
    """Sends attempts through other entries, and for them.

    Args:
        http_client: sends requests to servers.
        links: connections to peers.
        wire_format: translation of header names.
        paused_s: returns the length of a pause of this process that has just
            ended, or 0.

    Attributes:
        is_leaving: whether no further attempts are sent for others.
        sending: attempts of other entries that are under way here.
        sent_for_others: such attempts so far.
        sent_by_others: attempts of this entry that others have sent.
    """

    def __init__(
        self,
        http_client: exchange.HttpClient,
        links: link.Links,
        wire_format: wire.WireFormat,
        paused_s: collections_abc.Callable[[], float],
    ):
        self._http_client = http_client
        self._links = links
        self._wire_format = wire_format
        self._paused_s = paused_s
        self.is_leaving = False
        self.sending = 0
        self.sent_for_others = 0
        self.sent_by_others = 0
        links.serve(RelayAttempt, self._on_relay_attempt)

    @contextlib.asynccontextmanager
    async def send(
        self,
        request: exchange.EncodedRequest,
        server: discovery.Server,
        helper_id: str,
    ) -> collections_abc.AsyncIterator[exchange.Response]:
        """Have a helper send a request, and yield the response.

        Raises:
            HelperFailed: the helper, or its path to the server, failed.
            BackendFailed: the response is missing or incomplete.
        """
        self.sent_by_others += 1
        replies = self._links.stream(
            helper_id,
            RelayAttempt(
                request.method,
                request.target,
                _plain(request.headers),
                request.body,
                server.address,
                server.server_id,
            ),
        )
        async with contextlib.aclosing(replies):
            head = await _next_reply(replies, RelayedHead, server, helper_id)
            _check_head(head, request, server, helper_id)
            transfer = http_connection.Transfer(head.framing)
            headers = multidict.CIMultiDict(head.headers)
            yield exchange.Response(
                head.status,
                headers,
                self._wire_format.decode_response(head.status, headers),
                transfer,
                _parts(replies, server, helper_id, transfer),
            )

    async def _on_relay_attempt(self, _sender, message):
        if self.is_leaving:
            yield RelayFailed('no', 'the helper is leaving', True)
            return
        if self._paused_s():
            # The entry that asked may have given up, and may have sent the
            # request elsewhere.
            yield RelayFailed('no', 'the helper was paused', True)
            return
        request = exchange.EncodedRequest(
            message.method, message.target, message.headers, message.body
        )
        self.sent_for_others += 1
        self.sending += 1
        try:
            async with self._http_client.send_encoded(
                request, message.address, message.server_id
            ) as response:
                yield RelayedHead(
                    response.status,
                    _plain(response.headers.items()),
                    response.transfer.framing,
                )
                parts = body_bytes = 0
                async for chunk in response.chunks():
                    body_bytes += len(chunk)
                    if body_bytes > http_connection.MAX_BODY_BYTES:
                        raise errors.BackendFailed(
                            message.server_id,
                            'unknown',
                            'the body is too long',
                        )
                    yield RelayedPart(parts, chunk)
                    parts += 1
                ended = RelayedEnd(parts, response.transfer.connection)
            yield ended
        except errors.BackendFailed as failure:
            detail = str(failure).removeprefix(f'{failure.server}: ')
            yield RelayFailed(failure.ran, detail, failure.crashed)
        finally:
            self.sending -= 1


async def _parts(replies, server, helper_id, transfer):
    """Yield the parts of a body; raise if one is missing."""
    for number in itertools.count():
        reply = await _next_reply(
            replies, RelayedPart | RelayedEnd, server, helper_id
        )
        if isinstance(reply, RelayedEnd) and reply.parts == number:
            transfer.connection = reply.connection
            return
        if isinstance(reply, RelayedEnd) or reply.number != number:
            raise _failure(server, helper_id, 'a part of the body was lost')
        yield reply.data


async def _next_reply(replies, expected_type, server, helper_id):
    """Return the next reply.

    Raises:
        HelperFailed: the helper does not reply, or not as it should.
        BackendFailed: the attempt failed at the helper.
    """
    try:
        reply = await anext(replies)
    except (errors.LinkError, StopAsyncIteration) as error:
        raise _failure(server, helper_id, str(error)) from error
    if isinstance(reply, RelayFailed):
        raise errors.BackendFailed(
            server.server_id,
            reply.ran,
            f'sent by {helper_id}: {reply.detail}',
            reply.crashed,
        )
    if not isinstance(reply, expected_type):
        raise _failure(server, helper_id, 'a reply was lost')
    return reply


def _check_head(head, request, server, helper_id):
    """Check a response that a helper, perhaps of an earlier build, has read.

    Raises:
        BackendFailed: it is none.
    """
    try:
        response_framing.check_response(head.status, head.headers)
        response_framing.check_codings(
            _values(request.headers, 'accept-encoding'),
            _values(head.headers, 'content-encoding'),
        )
    except errors.ResponseMalformed as error:
        http_connection.record_invalid(server.address, str(error))
        raise errors.BackendFailed(
            server.server_id, 'unknown', f'sent by {helper_id}: {error}'
        ) from error


def _values(headers, name):
    return [value for key, value in headers if key.lower() == name]


def _failure(server, helper_id, detail):
    return errors.HelperFailed(
        server.server_id, 'unknown', f'sent by {helper_id}: {detail}'
    )


def _plain(headers):
    """Return headers that messages can carry.

    Values with bytes that are no UTF-8 are left out.
    """
    return tuple(
        (str(name), value) for name, value in headers if _is_plain(value)
    )


def _is_plain(value):
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
