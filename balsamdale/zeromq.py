"""Request-reply calls between instances over TCP, with ZeroMQ.

Frames are encrypted if a key is given; only peers with the key pair of the
deployment are admitted.
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

KEEPALIVE_INTERVAL_S = 0.4
FRAME_HEADER = struct.Struct('<BQ')
# A REQUEST gets any number of REPLY frames and an END; an ASK gets one ANSWER.
REQUEST, REPLY, END, KEEPALIVE, FAILED, CANCEL, ASK, ANSWER = range(8)


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


class ZeroMQLinks(link.Links):
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
        self._addresses: dict[str, str] = {}
        self._dealers: dict[str, '_Dealer'] = {}
        self._handler_tasks: dict[tuple[bytes, int], asyncio.Task] = {}
        self._receive_task = asyncio.create_task(self._receive_frames())
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
        message_name = type(message).__name__
        dealer = self._get_dealer(peer_id)
        if dealer is None:
            raise errors.LinkTimeout(peer_id, message_name)
        call_id, replies = dealer.start_call(codec.encode(message), ASK)
        frames_before = dealer.frames_read
        try:
            async with asyncio.timeout(timeout_s):
                frame_kind, payload = await replies.get()
        except TimeoutError as error:
            # The connection may be broken although a new one would work.
            if dealer.frames_read == frames_before:
                self._close_if_current(peer_id, dealer)
            raise errors.LinkTimeout(peer_id, message_name) from error
        finally:
            dealer.finish_call(call_id, False)
        if frame_kind == FAILED:
            raise errors.RemoteError(
                message_name, payload.decode(errors='replace')
            )
        return codec.decode(payload)

    def set_peer_address(self, peer_id: str, address: str) -> None:
        if self._addresses.get(peer_id) != address:
            self._addresses[peer_id] = address
            self._close_dealer(peer_id)

    async def _stream_from(
        self, peer_id: str, message: object
    ) -> collections_abc.AsyncGenerator[object, None]:
        message_name = type(message).__name__
        dealer = self._get_dealer(peer_id)
        if dealer is None:
            raise errors.LinkTimeout(peer_id, message_name)
        call_id, replies = dealer.start_call(codec.encode(message))
        must_cancel = True
        try:
            while True:
                frame_kind, payload = await self._next_frame(
                    replies, peer_id, message_name
                )
                if frame_kind == REPLY:
                    yield codec.decode(payload)
                elif frame_kind != KEEPALIVE:
                    must_cancel = False
                    break
            if frame_kind == FAILED:
                raise errors.RemoteError(
                    message_name, payload.decode(errors='replace')
                )
        finally:
            dealer.finish_call(call_id, must_cancel)

    async def close(self) -> None:
        self._receive_task.cancel()
        for task in list(self._handler_tasks.values()):
            task.cancel()
        for peer_id in list(self._dealers):
            self._close_dealer(peer_id)
        self._router.close(0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(0)

    def count_sent(self, size_bytes: int) -> None:
        """Count a sent frame."""
        self.sent_bytes += size_bytes
        self.sent_messages += 1

    async def _next_frame(self, replies, peer_id, message_name):
        try:
            async with asyncio.timeout(link.STREAM_SILENCE_TIMEOUT_S):
                return await replies.get()
        except TimeoutError as error:
            # The connection may be broken although a new one would work.
            self._close_dealer(peer_id)
            raise errors.LinkTimeout(peer_id, message_name) from error

    def _get_dealer(self, peer_id):
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

    def _close_if_current(self, peer_id, dealer):
        """Close a connection unless a newer one has replaced it."""
        if self._dealers.get(peer_id) is dealer:
            self._close_dealer(peer_id)

    def _close_dealer(self, peer_id):
        dealer = self._dealers.pop(peer_id, None)
        if dealer is not None:
            dealer.close()

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
                self._handle_frame(identity, frame)
            except (ValueError, struct.error, errors.LinkError) as error:
                logging.warning('link: dropped a malformed frame: %s', error)

    def _handle_frame(self, identity, frame):
        self.received_bytes += len(frame)
        frame_kind, call_id = FRAME_HEADER.unpack_from(frame)
        call_key = (identity, call_id)
        if frame_kind == CANCEL:
            task = self._handler_tasks.get(call_key)
            if task is not None:
                task.cancel()
            return
        run_handler = (
            self._run_request_handler
            if frame_kind == ASK
            else self._run_stream_handler
        )
        task = asyncio.create_task(
            run_handler(call_key, frame[FRAME_HEADER.size :])
        )
        self._handler_tasks[call_key] = task
        task.add_done_callback(
            lambda _: self._handler_tasks.pop(call_key, None)
        )

    async def _run_stream_handler(self, call_key, payload):
        """Run a handler and send all of its replies."""
        async with self._report_failures(call_key):
            replies = self._call_handler('', codec.decode(payload))
            await self._send_replies(call_key, replies)
            await self._send_frame(call_key, END, b'')

    async def _run_request_handler(self, call_key, payload):
        """Run a handler and send its first reply."""
        async with self._report_failures(call_key):
            replies = self._call_handler('', codec.decode(payload))
            async with contextlib.aclosing(replies):
                reply = await anext(replies)
            await self._send_frame(call_key, ANSWER, codec.encode(reply))

    @contextlib.asynccontextmanager
    async def _report_failures(self, call_key):
        """Send the failure of a handler to the requesting peer."""
        try:
            yield
        except errors.BalsamdaleError as error:
            detail = f'{type(error).__name__}: {error}'
            await self._send_frame(call_key, FAILED, detail.encode())
        except Exception as error:
            logging.exception('link: a handler failed')
            await self._send_frame(
                call_key, FAILED, type(error).__name__.encode()
            )

    async def _send_replies(self, call_key, replies):
        """Send each reply, and keepalives while waiting for the next."""
        pending = None
        try:
            while True:
                if pending is None:
                    pending = asyncio.ensure_future(anext(replies))
                done, _ = await asyncio.wait(
                    {pending}, timeout=KEEPALIVE_INTERVAL_S
                )
                if not done:
                    await self._send_frame(call_key, KEEPALIVE, b'')
                    continue
                finished, pending = pending, None
                await self._send_frame(
                    call_key, REPLY, codec.encode(finished.result())
                )
        except StopAsyncIteration:
            return
        finally:
            if pending is not None:
                pending.cancel()
                await asyncio.wait({pending})
            await replies.aclose()

    async def _send_frame(self, call_key, frame_kind, payload):
        identity, call_id = call_key
        frame = FRAME_HEADER.pack(frame_kind, call_id) + payload
        self.count_sent(len(frame))
        await self._router.send_multipart([identity, frame])


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


class _Dealer:
    """The requesting side of a connection to one peer."""

    def __init__(self, socket, links, peer_id):
        self._socket = socket
        self._links = links
        self._peer_id = peer_id
        self._monitor = socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        self._watch_task = asyncio.create_task(self._watch_disconnects())
        self._call_ids = itertools.count(1)
        self.frames_read = 0
        self._reply_queues: dict[int, asyncio.Queue] = {}
        self._read_task = asyncio.create_task(self._read_frames())
        self._is_closed = False

    def start_call(self, payload, frame_kind=REQUEST):
        call_id = next(self._call_ids)
        replies = asyncio.Queue()
        self._reply_queues[call_id] = replies
        self._send(FRAME_HEADER.pack(frame_kind, call_id) + payload)
        return call_id, replies

    def finish_call(self, call_id, must_cancel):
        self._reply_queues.pop(call_id, None)
        if must_cancel and not self._is_closed:
            self._send(FRAME_HEADER.pack(CANCEL, call_id))

    def close(self):
        self._is_closed = True
        self._read_task.cancel()
        self._watch_task.cancel()
        self._socket.disable_monitor()
        self._monitor.close(0)
        self._socket.close(0)

    def _send(self, frame):
        self._links.count_sent(len(frame))
        send_future = self._socket.send(frame, zmq.NOBLOCK)
        send_future.add_done_callback(_log_dropped_frame)

    async def _watch_disconnects(self):
        """Report a broken connection, as after the crash of the peer."""
        while True:
            await self._monitor.recv_multipart()
            self._links.on_connection_broken(self._peer_id)

    async def _read_frames(self):
        while True:
            frame = await self._socket.recv()
            self._links.received_bytes += len(frame)
            if len(frame) < FRAME_HEADER.size:
                logging.warning('link: dropped a malformed frame')
                continue
            self.frames_read += 1
            frame_kind, call_id = FRAME_HEADER.unpack_from(frame)
            replies = self._reply_queues.get(call_id)
            if replies is not None:
                replies.put_nowait((frame_kind, frame[FRAME_HEADER.size :]))
