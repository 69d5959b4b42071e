"""Access to other instances over TCP by ZeroMQ.

Frames are encrypted when a key is given; only the deployment's own key is
admitted.
"""

import asyncio
from collections import abc as collections_abc
import contextlib
import dataclasses
import itertools
import struct

from absl import logging
import zmq
import zmq.asyncio
import zmq.auth
import zmq.auth.asyncio

from balsamdale import codec
from balsamdale import errors
from balsamdale import link

__all__ = ['KeyPair', 'ZeroMQLinks']

KEEPALIVE_S = 0.4
HEAD = struct.Struct('<BQ')
REQUEST, REPLY, END, KEEPALIVE, FAILED, CANCEL, ASK, ANSWER = range(8)


@dataclasses.dataclass(frozen=True)
class KeyPair:
    """The CURVE key pair that all instances of a deployment share."""

    public: bytes
    secret: bytes

    @classmethod
    def load(cls, path: str) -> 'KeyPair':
        """Read a certificate file that holds both keys."""
        public, secret = zmq.auth.load_certificate(path)
        return cls(public, secret)


class ZeroMQLinks(link.Links):
    """Links over TCP.

    Args:
        instance_id: this instance.
        address: IP number and port to listen on.
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
        self._addresses: dict[str, str] = {}
        self._dealers: dict[str, '_Dealer'] = {}
        self._calls: dict[tuple[bytes, int], asyncio.Task] = {}
        self._serving = asyncio.create_task(self._serve_all())
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_messages = 0

    async def request(
        self,
        peer_id: str,
        message: object,
        timeout_s: float = link.REQUEST_TIMEOUT_S,
    ) -> object:
        if peer_id == self.instance_id:
            return await self.first_reply(peer_id, message, timeout_s)
        name = type(message).__name__
        dealer = self._dealer(peer_id)
        if dealer is None:
            raise errors.LinkTimeout(peer_id, name)
        call_id, replies = dealer.start(codec.encode(message), ASK)
        heard = dealer.frames_read
        try:
            async with asyncio.timeout(timeout_s):
                kind, payload = await replies.get()
        except TimeoutError as error:
            # The connection may be dead while a new one would work.
            if dealer.frames_read == heard:
                self._drop_dealer(peer_id, dealer)
            raise errors.LinkTimeout(peer_id, name) from error
        finally:
            dealer.finish(call_id, False)
        if kind == FAILED:
            raise errors.RemoteError(name, payload.decode())
        return codec.decode(payload)

    def set_peer_address(self, peer_id: str, address: str) -> None:
        if self._addresses.get(peer_id) != address:
            self._addresses[peer_id] = address
            self._drop(peer_id)

    async def _stream_from(
        self, peer_id: str, message: object
    ) -> collections_abc.AsyncGenerator[object, None]:
        name = type(message).__name__
        dealer = self._dealer(peer_id)
        if dealer is None:
            raise errors.LinkTimeout(peer_id, name)
        call_id, replies = dealer.start(codec.encode(message))
        is_open = True
        try:
            while True:
                kind, payload = await self._next(replies, peer_id, name)
                if kind == REPLY:
                    yield codec.decode(payload)
                elif kind != KEEPALIVE:
                    is_open = False
                    break
            if kind == FAILED:
                raise errors.RemoteError(name, payload.decode())
        finally:
            dealer.finish(call_id, is_open)

    async def close(self) -> None:
        self._serving.cancel()
        for task in list(self._calls.values()):
            task.cancel()
        for peer_id in list(self._dealers):
            self._drop(peer_id)
        self._router.close(0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(0)

    def count_sent(self, size_bytes: int) -> None:
        """Account for a frame sent."""
        self.sent_bytes += size_bytes
        self.sent_messages += 1

    async def _next(self, replies, peer_id, name):
        try:
            async with asyncio.timeout(link.STREAM_SILENCE_TIMEOUT_S):
                return await replies.get()
        except TimeoutError as error:
            # The connection may be dead while a new one would work.
            self._drop(peer_id)
            raise errors.LinkTimeout(peer_id, name) from error

    def _dealer(self, peer_id):
        if peer_id not in self._dealers:
            if peer_id not in self._addresses:
                return None
            socket = self._context.socket(zmq.DEALER)
            self._set_options(socket)
            if self._keys is not None:
                socket.curve_publickey = self._keys.public
                socket.curve_secretkey = self._keys.secret
                socket.curve_serverkey = self._keys.public
            dealer = _Dealer(socket, self, peer_id)
            socket.connect(f'tcp://{self._addresses[peer_id]}')
            self._dealers[peer_id] = dealer
        return self._dealers[peer_id]

    def _drop_dealer(self, peer_id, dealer):
        """Close a connection unless a newer one took its place."""
        if self._dealers.get(peer_id) is dealer:
            self._drop(peer_id)

    def _drop(self, peer_id):
        dealer = self._dealers.pop(peer_id, None)
        if dealer is not None:
            dealer.close()

    def _start_authenticator(self):
        if self._keys is None:
            return None
        authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(
            credentials_provider=_OneKey(self._keys.public)
        )
        return authenticator

    def _set_options(self, socket):
        socket.linger = 0
        socket.sndhwm = 10000
        socket.rcvhwm = 10000
        socket.heartbeat_ivl = 1000
        socket.heartbeat_timeout = 3000

    async def _serve_all(self):
        while True:
            try:
                identity, frame = await self._router.recv_multipart()
                self._accept(identity, frame)
            except (ValueError, struct.error, errors.LinkError) as error:
                logging.warning('link: dropped a bad frame: %s', error)

    def _accept(self, identity, frame):
        self.received_bytes += len(frame)
        kind, call_id = HEAD.unpack_from(frame)
        key = (identity, call_id)
        if kind == CANCEL:
            task = self._calls.get(key)
            if task is not None:
                task.cancel()
            return
        answer = self._answer_once if kind == ASK else self._answer
        task = asyncio.create_task(answer(key, frame[HEAD.size :]))
        self._calls[key] = task
        task.add_done_callback(lambda _: self._calls.pop(key, None))

    async def _answer(self, key, payload):
        """Send every reply of a handler."""
        async with self._failures_told(key):
            replies = self._handle('', codec.decode(payload))
            await self._send_replies(key, replies)
            await self._reply(key, END, b'')

    async def _answer_once(self, key, payload):
        """Send the first reply of a handler."""
        async with self._failures_told(key):
            replies = self._handle('', codec.decode(payload))
            async with contextlib.aclosing(replies):
                reply = await anext(replies)
            await self._reply(key, ANSWER, codec.encode(reply))

    @contextlib.asynccontextmanager
    async def _failures_told(self, key):
        """Send the caller a handler's failure."""
        try:
            yield
        except errors.BalsamdaleError as error:
            detail = f'{type(error).__name__}: {error}'
            await self._reply(key, FAILED, detail.encode())
        except Exception as error:
            logging.exception('link: a handler failed')
            await self._reply(key, FAILED, type(error).__name__.encode())

    async def _send_replies(self, key, replies):
        """Send each reply, and keepalives while there is none."""
        pending = None
        try:
            while True:
                if pending is None:
                    pending = asyncio.ensure_future(anext(replies))
                done, _ = await asyncio.wait({pending}, timeout=KEEPALIVE_S)
                if not done:
                    await self._reply(key, KEEPALIVE, b'')
                    continue
                finished, pending = pending, None
                await self._reply(key, REPLY, codec.encode(finished.result()))
        except StopAsyncIteration:
            return
        finally:
            if pending is not None:
                pending.cancel()
                await asyncio.wait({pending})
            await replies.aclose()

    async def _reply(self, key, kind, payload):
        identity, call_id = key
        frame = HEAD.pack(kind, call_id) + payload
        self.count_sent(len(frame))
        await self._router.send_multipart([identity, frame])


class _OneKey:
    """Admits the one key that the deployment's instances share."""

    def __init__(self, public):
        self._public = public

    def callback(self, domain, key):
        return key == self._public


def _note_dropped(sent):
    """Retrieve a failed send; the call's own timeout deals with it."""
    if not sent.cancelled() and sent.exception() is not None:
        logging.debug('link: a frame was dropped: %r', sent.exception())


class _Dealer:
    """The sending side of a connection to one peer."""

    def __init__(self, socket, owner, peer_id):
        self._socket = socket
        self._owner = owner
        self._peer_id = peer_id
        self._monitor = socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        self._watching = asyncio.create_task(self._watch())
        self._ids = itertools.count(1)
        self.frames_read = 0
        self._waiting: dict[int, asyncio.Queue] = {}
        self._reading = asyncio.create_task(self._read())
        self._is_closed = False

    def start(self, payload, kind=REQUEST):
        call_id = next(self._ids)
        replies = asyncio.Queue()
        self._waiting[call_id] = replies
        self._send(HEAD.pack(kind, call_id) + payload)
        return call_id, replies

    def finish(self, call_id, is_open):
        self._waiting.pop(call_id, None)
        if is_open and not self._is_closed:
            self._send(HEAD.pack(CANCEL, call_id))

    def close(self):
        self._is_closed = True
        self._reading.cancel()
        self._watching.cancel()
        self._socket.disable_monitor()
        self._monitor.close(0)
        self._socket.close(0)

    def _send(self, frame):
        self._owner.count_sent(len(frame))
        sent = self._socket.send(frame, zmq.NOBLOCK)
        sent.add_done_callback(_note_dropped)

    async def _watch(self):
        """Report when the connection breaks, as at a peer's death."""
        while True:
            await self._monitor.recv_multipart()
            self._owner.on_connection_broken(self._peer_id)

    async def _read(self):
        while True:
            frame = await self._socket.recv()
            self._owner.received_bytes += len(frame)
            self.frames_read += 1
            kind, call_id = HEAD.unpack_from(frame)
            replies = self._waiting.get(call_id)
            if replies is not None:
                replies.put_nowait((kind, frame[HEAD.size :]))
