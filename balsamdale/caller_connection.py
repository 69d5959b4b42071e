"""Connections of callers, limited in what they read."""

import asyncio
from collections import abc as collections_abc
import socket

from aiohttp import web

from balsamdale import decisions
from balsamdale import http_connection

__all__ = ['READ_BUFFER_BYTES', 'Connection', 'Server', 'accept_waiting']

# Data that one call reads from a connection, and the unread part of a body at
# which reading is paused; a connection buffers at most three times as much.
READ_BUFFER_BYTES = 16384
CLOSE_POLL_INTERVAL_S = 0.02
# Polls that a late close makes, to answer what has waited in the meantime.
MIN_CLOSE_POLLS = 4


class Connection(web.RequestHandler):
    """A connection that reads little at a time, and only requests.

    asyncio reads up to 256 KB at once by default, also of a body that is
    about to be refused. aiohttp reads for as long as a caller sends, also
    what is part of no request.
    """

    _unused_bytes = 0
    _body = None
    # aiohttp drops its own reference when it begins to close.
    _output = None

    def connection_made(self, transport):
        transport.max_size = READ_BUFFER_BYTES
        self._output = transport
        super().connection_made(transport)

    @property
    def has_queued_request(self) -> bool:
        """Whether another request was read behind the one being handled."""
        return bool(self._messages)

    @property
    def is_between_requests(self) -> bool:
        """Whether all requests that were read have their responses."""
        is_waiting = self._waiter is not None and not self._waiter.done()
        return is_waiting and not self._messages

    @property
    def is_idle(self) -> bool:
        """Whether it has had a response and no part of a next request."""
        return self.has_no_request and bool(self._request_count)

    @property
    def has_no_request(self) -> bool:
        """Whether no part of a request has arrived that is not answered."""
        return self.is_between_requests and not self._unused_bytes

    @property
    def is_unfinished(self) -> bool:
        """Whether a request or a response would be cut if it ended now.

        That is also an answer that its caller has not read.
        """
        if self._output.get_write_buffer_size():
            return True
        return not (self._output.is_closing() or self.is_between_requests)

    @property
    def awaits_request(self) -> bool:
        """Whether its first request, or the rest of a head, should follow."""
        return not self._request_count or self._unused_bytes > 0

    def data_received(self, data):
        """Parse data; end a connection that sends no request without end."""
        if self._parse(data):
            self._unused_bytes = 0
            return
        self._unused_bytes += len(data)
        if self._unused_bytes > http_connection.MAX_UNUSED_BYTES:
            decisions.record(
                'caller_disconnected',
                reason='no request',
                unused_bytes=self._unused_bytes,
            )
            self.transport.abort()

    def _parse(self, data):
        """Return whether data brought a request or a part of a body.

        A connection that is about to be closed drops data until its last
        response has left.
        """
        requests = self._request_count
        body = self._body
        if body is None or body.is_eof():
            body = None
        body_bytes = body.total_bytes if body is not None else 0
        super().data_received(data)
        if self._close or self._force_close:
            return True
        if self._request_count > requests:
            _, self._body = self._messages[-1]
            return True
        # The end of a body in chunks brings no byte of it.
        return body is not None and (
            body.total_bytes > body_bytes or body.is_eof()
        )


class Server(web.Server):
    """A server whose connections are of class `Connection`."""

    def close_idle(self) -> None:
        """Close the connections on which no request is under way.

        Those that have not had a request yet stay open.
        """
        for connection in self.connections:
            if connection.is_idle:
                connection.force_close()

    def count_unfinished(self) -> int:
        """Return the connections with a request or unread output."""
        return sum(c.is_unfinished for c in self.connections)

    async def finish(self, until_s: float) -> None:
        """Close each connection once its requests have been answered.

        One whose request has arrived in part is read on. What is left at the
        end of the time stays open.

        Args:
            until_s: time of the event loop at which this ends; it ends a
                little later if it has begun later.
        """
        polls_left = MIN_CLOSE_POLLS
        while polls_left > 0 or self._loop.time() < until_s:
            for connection in self.connections:
                if connection.has_no_request:
                    connection.force_close()
            if not self.connections:
                return
            polls_left -= 1
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)

    def count_awaited(self) -> int:
        """Return the connections whose next request should follow at once."""
        return sum(c.awaits_request for c in self.connections)

    def __call__(self):
        return Connection(self, loop=self._loop, **self._kwargs)


def accept_waiting(
    listening: socket.socket,
) -> collections_abc.Iterator[socket.socket]:
    """Yield the connections that the kernel has accepted.

    Args:
        listening: a listening socket that does not block.
    """
    while True:
        try:
            accepted, _ = listening.accept()
        except OSError as error:
            if not isinstance(error, BlockingIOError):
                decisions.record('accept_failed', reason=str(error))
            return
        accepted.setblocking(False)
        yield accepted
