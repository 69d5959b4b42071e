"""Calls between instances over encrypted ZeroMQ sockets.

Only peers with the key pair of the deployment are admitted. `tcp_link` speaks
the same protocol without encryption.
"""

import asyncio
import dataclasses
import struct

from absl import logging
import zmq
import zmq.asyncio
import zmq.auth
import zmq.auth.asyncio

from balsamdale import errors
from balsamdale import framed_link

__all__ = ['KeyPair', 'ZeroMQLinks']


@dataclasses.dataclass(frozen=True)
class KeyPair:
    """The CURVE key pair that all instances of a deployment share."""

    public: bytes
    secret: bytes

    @classmethod
    def load(cls, path: str) -> 'KeyPair':
        """Read a certificate file that contains both keys."""
        public, secret = zmq.auth.load_certificate(path)
        return cls(public, secret)


class ZeroMQLinks(framed_link.FramedLinks):
    """Calls over TCP.

    Args:
        instance_id: id of this instance.
        address: IP address and port to listen on.
        keys: key pair of the deployment, or None for plain text.
    """

    def __init__(
        self, instance_id: str, address: str, keys: KeyPair | None = None
    ):
        super().__init__(instance_id)
        self._keys = keys
        self._context = zmq.asyncio.Context()
        self._authenticator = self._start_authenticator()
        self._router = self._context.socket(zmq.ROUTER)
        self._set_options(self._router)
        if keys is not None:
            self._router.curve_server = True
            self._router.curve_secretkey = keys.secret
            self._router.curve_publickey = keys.public
        self._router.bind(f'tcp://{address}')
        self._receive_task = asyncio.create_task(self._receive_frames())

    async def close(self) -> None:
        self._receive_task.cancel()
        await super().close()
        self._router.close(0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(0)

    def _open_channel(self, peer_id, address):
        socket = self._context.socket(zmq.DEALER)
        self._set_options(socket)
        if self._keys is not None:
            socket.curve_publickey = self._keys.public
            socket.curve_secretkey = self._keys.secret
            socket.curve_serverkey = self._keys.public
        channel = _SocketChannel(socket, self, peer_id)
        socket.connect(f'tcp://{address}')
        return channel

    def _start_authenticator(self):
        if self._keys is None:
            return None
        authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(
            credentials_provider=_SingleKeyProvider(self._keys.public)
        )
        return authenticator

    def _set_options(self, socket):
        socket.linger = 0
        socket.sndhwm = 10000
        socket.rcvhwm = 10000
        socket.heartbeat_ivl = 1000
        socket.heartbeat_timeout = 3000

    async def _receive_frames(self):
        while True:
            try:
                identity, frame = await self._router.recv_multipart()
                self.received_bytes += len(frame)
                self._handle_frame(identity, frame)
            except (ValueError, struct.error, errors.LinkError) as error:
                logging.warning('link: dropped a malformed frame: %s', error)

    async def _send_reply(self, connection, frame):
        await self._router.send_multipart([connection, frame])


class _SingleKeyProvider:
    """Admits only the key that the deployment's instances share."""

    def __init__(self, public):
        self._public = public

    def callback(self, domain, key):
        return key == self._public


def _log_dropped_frame(send_future):
    """Log a failed send; the call then ends by its own timeout."""
    if not send_future.cancelled() and send_future.exception() is not None:
        logging.debug('link: cannot send a frame: %r', send_future.exception())


class _SocketChannel(framed_link.Channel):
    """A DEALER socket."""

    def __init__(self, socket, links, peer_id):
        super().__init__()
        self._socket = socket
        self._links = links
        self._peer_id = peer_id
        self._monitor = socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        self._watch_task = asyncio.create_task(self._watch_disconnects())
        self._read_task = asyncio.create_task(self._read_frames())
        self._is_closed = False

    def send(self, call_id, frame):
        if self._is_closed:
            return
        self._links.count_sent(len(frame))
        send_future = self._socket.send(frame, zmq.NOBLOCK)
        send_future.add_done_callback(_log_dropped_frame)

    def close(self):
        self._is_closed = True
        self._read_task.cancel()
        self._watch_task.cancel()
        self._socket.disable_monitor()
        self._monitor.close(0)
        self._socket.close(0)

    async def _watch_disconnects(self):
        """Report a broken connection, as after the crash of the peer."""
        while True:
            await self._monitor.recv_multipart()
            self._links.on_connection_broken(self._peer_id)

    async def _read_frames(self):
        while True:
            frame = await self._socket.recv()
            self._links.received_bytes += len(frame)
            self.handle_frame(frame)
