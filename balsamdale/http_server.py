"""HTTP servers whose connections are admitted by the gate of the process."""

import asyncio
from collections import abc as collections_abc
import functools
import socket

from aiohttp import web

from balsamdale import caller_connection
from balsamdale import connection_gate
from balsamdale import decisions
from balsamdale.scheduling import connections
from balsamdale import sockets

__all__ = ['Handler', 'HttpServer', 'Server', 'serve']

BACKLOG = 512
# Connections that are accepted in one step of the event loop.
ACCEPTS_PER_STEP = 16
# Pause after the system has refused to accept a connection.
ACCEPT_RETRY_S = 0.1
# Time for a handler to end when its server is closed, and then for the rest of
# a request that nobody reads.
SHUTDOWN_TIMEOUT_S = 0.05
CLOSE_POLL_INTERVAL_S = 0.02
# Polls that a late close makes, to answer what has waited in the meantime.
MIN_CLOSE_POLLS = 4

Handler = collections_abc.Callable[
    [web.BaseRequest], collections_abc.Awaitable[web.StreamResponse]
]


class Server(web.Server):
    """A server whose connections are of class `caller_connection.Connection`.

    Args:
        handler: handles requests.
        gate: admits connections.
        counts_requests: whether the handler counts bodies and answers in the
            budget.
        options: further arguments of aiohttp's server and handler.
    """

    def __init__(self, handler, gate, counts_requests=False, **options):
        super().__init__(
            handler,
            access_log=None,
            read_bufsize=caller_connection.READ_BUFFER_BYTES,
            **options,
        )
        self._gate = gate
        self.counts_requests = counts_requests

    def create_connection(
        self, record: connections.Connection
    ) -> caller_connection.Connection:
        """Return the protocol of a connection that the gate has admitted."""
        return caller_connection.Connection(
            self, self._gate, record, loop=self._loop, **self._kwargs
        )

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


class HttpServer:
    """Listens on one address.

    Args:
        handler: handles requests.
        gate: admits connections.
        options: further arguments of `Server`.

    Attributes:
        server: its connections.
    """

    def __init__(
        self,
        handler: Handler,
        gate: connection_gate.ConnectionGate,
        **options,
    ):
        self.server = Server(handler, gate, **options)
        self._gate = gate
        self._socket: socket.socket | None = None
        self._opening: set[asyncio.Task] = set()
        self._is_accepting = False

    async def listen(
        self, address: str, send_bytes: int = sockets.CLIENT_BUFFER_BYTES
    ) -> None:
        """Listen on an IP address and port.

        Args:
            address: IP address and port.
            send_bytes: what the kernel may hold of the answers to one client.
        """
        self._socket = sockets.create_listening_socket(
            address, sockets.CLIENT_BUFFER_BYTES, send_bytes
        )
        self._socket.listen(BACKLOG)
        self._socket.setblocking(False)
        self._is_accepting = True
        self._watch_socket()

    async def stop_accepting(self) -> None:
        """Accept what waits, and close the listening socket."""
        if self._socket is None:
            return
        self._is_accepting = False
        asyncio.get_running_loop().remove_reader(self._socket)
        while self._gate.make_room(1) and self._accept_one():
            pass
        self._socket.close()
        self._socket = None
        await asyncio.gather(*self._opening, return_exceptions=True)

    async def close(self, timeout_s: float = SHUTDOWN_TIMEOUT_S) -> None:
        """Close all connections.

        Args:
            timeout_s: time, twice, for requests that are handled.
        """
        await self.stop_accepting()
        self.server.pre_shutdown()
        # Lets connections without a request end first.
        await asyncio.sleep(0)
        await self.server.shutdown(timeout_s)

    def _watch_socket(self):
        if self._is_accepting:
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self):
        for _ in range(ACCEPTS_PER_STEP):
            if not self._gate.make_room(ACCEPTS_PER_STEP):
                break
            if not self._accept_one():
                return
        else:
            return
        self._wait_for_room()

    def _wait_for_room(self):
        asyncio.get_running_loop().remove_reader(self._socket)
        self._gate.wait_for_room(self._watch_socket)

    def _accept_one(self):
        """Return whether a connection was accepted."""
        try:
            accepted, _ = self._socket.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            decisions.record('accept_failed', reason=str(error))
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._socket)
            loop.call_later(ACCEPT_RETRY_S, self._watch_socket)
            return False
        accepted.setblocking(False)
        opening = asyncio.create_task(self._open(accepted, self._gate.open()))
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)
        return True

    async def _open(self, accepted, record):
        create = functools.partial(self.server.create_connection, record)
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(create, accepted)
        except OSError as error:
            self._gate.close(record)
            accepted.close()
            decisions.record('accept_failed', reason=repr(error))


async def serve(
    handler: Handler, address: str, gate: connection_gate.ConnectionGate
) -> HttpServer:
    """Serve HTTP requests on an IP address and port by one handler."""
    server = HttpServer(handler, gate)
    await server.listen(address)
    return server
