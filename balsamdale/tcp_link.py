"""Calls between instances over TCP, in the wire protocol of ZeroMQ.

asyncio carries the bytes, so that a call costs one write and one read at each
end and no thread. Instances that use ZeroMQ sockets without encryption are
spoken to as peers (`zeromq`).
"""

import asyncio
import struct

from absl import logging

from balsamdale import errors
from balsamdale import framed_link
from balsamdale import sockets
from balsamdale import zmtp

__all__ = ['TcpLinks']

# Seconds between checks of all connections for silence. A connection is
# asked for a sign of life after one check without bytes from the peer, and
# broken at the last one.
SILENCE_CHECK_INTERVAL_S = 1.0
MAX_SILENT_CHECKS = 4
# Size of the buffer that all connections read into, one after the other.
READ_BUFFER_BYTES = 64 << 10
# Seconds between attempts to connect while a call waits.
CONNECT_RETRY_INTERVAL_S = 0.1
# Connections that may wait to be accepted, as when a fleet starts.
BACKLOG = 1024
# Replies wait for the peer to read while more than this is unsent.
MAX_BUFFERED_BYTES = 1 << 20
# Messages to a peer that does not read are dropped beyond this.
MAX_UNSENT_BYTES = 8 << 20


class TcpLinks(framed_link.FramedLinks):
    """Calls over TCP, without encryption.

    Args:
        instance_id: id of this instance.
        address: IP address and port to listen on.

    Attributes:
        read_buffer: where connections put the bytes that they just read.

    Raises:
        OSError: the address cannot be listened on.
    """

    def __init__(self, instance_id: str, address: str):
        super().__init__(instance_id)
        self._connections: set['_Connection'] = set()
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self._socket = sockets.create_listening_socket(address)
        self._socket.listen(BACKLOG)
        self._socket.setblocking(False)
        self._server: asyncio.Server | None = None
        self._tasks = (
            asyncio.create_task(self._accept()),
            asyncio.create_task(self._check_silence()),
        )

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await super().close()
        if self._server is not None:
            self._server.close()
        self._socket.close()
        for connection in list(self._connections):
            connection.close()

    def connection_opened(self, connection: '_Connection') -> None:
        """Watch a connection for silence."""
        self._connections.add(connection)

    def connection_ended(self, connection: '_Connection') -> None:
        """Forget a connection, and end the streams that it carried.

        Requests of one reply go on: they may be writing to disk.
        """
        self._connections.discard(connection)
        self._cancel_streams(connection)

    def handle_call(self, connection: '_Connection', frame: bytes) -> None:
        """Start or cancel the call of a frame that a peer has sent."""
        try:
            self._handle_frame(connection, frame)
        except struct.error as error:
            logging.warning('link: dropped a malformed frame: %s', error)

    def _open_channel(self, peer_id, address):
        return _TcpChannel(self, peer_id, address)

    async def _send_reply(self, connection, frame):
        connection.send(frame)
        await connection.wait_until_writable()

    async def _accept(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self, zmtp.Role.SERVING, self.handle_call),
            sock=self._socket,
            backlog=BACKLOG,
        )

    async def _check_silence(self):
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            for connection in list(self._connections):
                connection.check_silence()


class _Connection(asyncio.BufferedProtocol):
    """One TCP connection.

    Args:
        links: the links of this instance.
        role: role of this end.
        on_message: called with the connection and each message.
    """

    def __init__(self, links, role, on_message):
        self._links = links
        self._on_message = on_message
        self._peer = zmtp.Peer(role)
        self._transport = None
        self._silent_checks = 0
        self._writable = asyncio.Event()
        self._writable.set()
        self.ended = asyncio.get_running_loop().create_future()
        self.ready = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_BUFFERED_BYTES)
        transport.write(self._peer.opening())
        self._links.connection_opened(self)

    def get_buffer(self, sizehint):
        return self._links.read_buffer

    def buffer_updated(self, nbytes):
        self._silent_checks = 0
        self._links.received_bytes += nbytes
        try:
            messages = self._peer.receive(self._links.read_buffer[:nbytes])
        except errors.ProtocolError as error:
            logging.warning('link: ended a connection: %s', error)
            self._transport.abort()
            return
        if self._peer.replies:
            self._transport.write(bytes(self._peer.replies))
            self._peer.replies.clear()
        if self._peer.is_ready and not self.ready.done():
            self.ready.set_result(None)
        for message in messages:
            self._on_message(self, message)

    def connection_lost(self, exc):
        self._links.connection_ended(self)
        self._writable.set()
        if not self.ended.done():
            self.ended.set_result(None)

    def pause_writing(self):
        self._writable.clear()

    def resume_writing(self):
        self._writable.set()

    def send(self, frame):
        """Send a message, or drop it if the peer has stopped reading."""
        if self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            logging.debug('link: dropped a frame: the peer does not read')
            return
        self._transport.write(zmtp.frame(frame))

    async def wait_until_writable(self):
        """Wait until the peer has read most of what was sent."""
        if not self._writable.is_set():
            await self._writable.wait()

    def check_silence(self):
        """Ask a silent peer for a sign of life, or give it up."""
        self._silent_checks += 1
        if self._silent_checks >= MAX_SILENT_CHECKS:
            self._transport.abort()
        elif self._silent_checks > 1 and self._peer.is_ready:
            self._transport.write(zmtp.PING)

    def close(self):
        """Send what is written, and close."""
        self._transport.close()

    def discard(self):
        """End a connection that never opened."""
        if self._transport is not None:
            self._transport.abort()


class _TcpChannel(framed_link.Channel):
    """Connects when a call needs it, and again after the connection broke.

    Messages wait for the connection until their call ends.
    """

    def __init__(self, links, peer_id, address):
        super().__init__()
        self._links = links
        self._peer_id = peer_id
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._connection: _Connection | None = None
        self._waiting: dict[int, bytes] = {}
        self._connect_task: asyncio.Task | None = None
        self._is_closed = False

    def send(self, call_id, frame):
        if self._is_closed:
            return
        if self._connection is not None:
            self._links.count_sent(len(frame))
            self._connection.send(frame)
            return
        self._waiting[call_id] = frame
        if self._connect_task is None:
            self._connect_task = asyncio.create_task(self._connect())

    def finish_call(self, call_id, must_cancel):
        was_sent = self._waiting.pop(call_id, None) is None
        super().finish_call(
            call_id, must_cancel and was_sent and self._connection is not None
        )

    def close(self):
        self._is_closed = True
        self._waiting.clear()
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._connection is not None:
            self._connection.close()

    async def _connect(self):
        """Connect while a call waits for it, and send what waits."""
        try:
            while self._waiting:
                connection = await self._open_connection()
                if connection is None:
                    await asyncio.sleep(CONNECT_RETRY_INTERVAL_S)
                    continue
                self._connection = connection
                connection.ended.add_done_callback(self._on_ended)
                frames, self._waiting = self._waiting.values(), {}
                for frame in frames:
                    self._links.count_sent(len(frame))
                    connection.send(frame)
                return
        finally:
            self._connect_task = None

    async def _open_connection(self):
        """Return a connection after its handshake, None if it failed."""
        loop = asyncio.get_running_loop()
        connection = _Connection(
            self._links, zmtp.Role.REQUESTING, self._on_message
        )
        is_open = False
        try:
            await loop.create_connection(
                lambda: connection, self._host, self._port
            )
            await asyncio.wait(
                (connection.ready, connection.ended),
                return_when=asyncio.FIRST_COMPLETED,
            )
            is_open = not connection.ended.done()
        except OSError as error:
            logging.debug('link: cannot connect: %s', error)
        finally:
            if not is_open:
                connection.discard()
        return connection if is_open else None

    def _on_message(self, _connection, frame):
        self.handle_frame(frame)

    def _on_ended(self, _future):
        self._connection = None
        if not self._is_closed:
            self._links.on_connection_broken(self._peer_id)
