"""Request-reply calls between instances in frames.

A frame is the kind, the number of the call and an encoded message. What
carries the frames is left to `zeromq` and `tcp_link`.
"""

import abc
import asyncio
from collections import abc as collections_abc
import contextlib
import itertools
import struct

from absl import logging

from balsamdale import codec
from balsamdale import errors
from balsamdale import link

__all__ = ['Channel', 'FramedLinks']

KEEPALIVE_INTERVAL_S = 0.4
# Replies of one call that wait to be used: more than the longest body that a
# peer relays.
MAX_WAITING_BYTES = 20_971_520
# Memory that a waiting reply takes beside its bytes.
REPLY_OVERHEAD_BYTES = 256
FRAME_HEADER = struct.Struct('<BQ')
# A REQUEST gets any number of REPLY frames and an END; an ASK gets one ANSWER.
REQUEST, REPLY, END, KEEPALIVE, FAILED, CANCEL, ASK, ANSWER = range(8)
# Stands for replies that were dropped; never sent.
OVERFLOW = -1


class _Replies:
    """Replies of one call that wait to be used."""

    def __init__(self):
        self._queue = asyncio.Queue()
        self._waiting_bytes = 0
        self._is_full = False

    def put(self, frame_kind, payload):
        """Add a frame, or drop all of them if there are too many."""
        if self._is_full:
            return
        self._waiting_bytes += len(payload) + REPLY_OVERHEAD_BYTES
        if self._waiting_bytes > MAX_WAITING_BYTES:
            self._is_full = True
            while not self._queue.empty():
                self._queue.get_nowait()
            frame_kind, payload = OVERFLOW, b''
            self._waiting_bytes = REPLY_OVERHEAD_BYTES
        self._queue.put_nowait((frame_kind, payload))

    async def get(self):
        """Return the next frame, its kind and its payload."""
        frame_kind, payload = await self._queue.get()
        self._waiting_bytes -= len(payload) + REPLY_OVERHEAD_BYTES
        return frame_kind, payload


class Channel(abc.ABC):
    """The requesting side of a connection to one peer.

    Attributes:
        frames_read: frames that the peer has sent.
    """

    def __init__(self):
        self._call_ids = itertools.count(1)
        self._reply_queues: dict[int, _Replies] = {}
        self._answers: dict[int, asyncio.Future] = {}
        self.frames_read = 0

    @abc.abstractmethod
    def send(self, call_id: int, frame: bytes) -> None:
        """Send a frame of a call, or drop it; never blocks."""

    @abc.abstractmethod
    def close(self) -> None:
        """End the connection; calls in flight end by their timeouts."""

    def start_ask(self, payload: bytes) -> tuple[int, asyncio.Future]:
        """Send a message; return the call's number and its one reply."""
        call_id = next(self._call_ids)
        answer = asyncio.get_running_loop().create_future()
        self._answers[call_id] = answer
        self.send(call_id, FRAME_HEADER.pack(ASK, call_id) + payload)
        return call_id, answer

    def start_stream(self, payload: bytes) -> tuple[int, _Replies]:
        """Send a message; return the call's number and its replies."""
        call_id = next(self._call_ids)
        replies = _Replies()
        self._reply_queues[call_id] = replies
        self.send(call_id, FRAME_HEADER.pack(REQUEST, call_id) + payload)
        return call_id, replies

    def finish_call(self, call_id: int, must_cancel: bool) -> None:
        """Ignore further replies, and cancel the call at the peer."""
        self._answers.pop(call_id, None)
        self._reply_queues.pop(call_id, None)
        if must_cancel:
            self.send(call_id, FRAME_HEADER.pack(CANCEL, call_id))

    def handle_frame(self, frame: bytes) -> None:
        """Hand a frame of the peer to its call."""
        if len(frame) < FRAME_HEADER.size:
            logging.warning('link: dropped a malformed frame')
            return
        self.frames_read += 1
        frame_kind, call_id = FRAME_HEADER.unpack_from(frame)
        payload = frame[FRAME_HEADER.size :]
        answer = self._answers.get(call_id)
        if answer is None:
            replies = self._reply_queues.get(call_id)
            if replies is not None:
                replies.put(frame_kind, payload)
        elif not answer.done():
            answer.set_result((frame_kind, payload))


class FramedLinks(link.Links):
    """Calls in frames.

    Args:
        instance_id: id of this instance.

    Attributes:
        sent_bytes: bytes of the frames that were sent.
        received_bytes: bytes of the frames that were received.
        sent_messages: frames that were sent.
    """

    def __init__(self, instance_id: str):
        super().__init__(instance_id)
        self._addresses: dict[str, str] = {}
        self._channels: dict[str, Channel] = {}
        # By connection and number of the call.
        self._stream_tasks: dict[tuple[object, int], asyncio.Task] = {}
        self._request_tasks: set[asyncio.Task] = set()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_messages = 0

    @abc.abstractmethod
    def _open_channel(self, peer_id: str, address: str) -> Channel:
        """Return a channel to a peer, which may connect later."""

    @abc.abstractmethod
    async def _send_reply(self, connection: object, frame: bytes) -> None:
        """Send a frame to the peer whose call came over a connection."""

    async def request(
        self,
        peer_id: str,
        message: object,
        timeout_s: float = link.REQUEST_TIMEOUT_S,
    ) -> object:
        if peer_id == self.instance_id:
            return await self.first_reply(peer_id, message, timeout_s)
        message_name = type(message).__name__
        channel = self._get_channel(peer_id)
        if channel is None:
            raise errors.LinkTimeout(peer_id, message_name)
        call_id, answer = channel.start_ask(codec.encode(message))
        frames_before = channel.frames_read
        timer = asyncio.get_running_loop().call_later(
            timeout_s, _set_timed_out, answer
        )
        try:
            frame_kind, payload = await answer
        except TimeoutError as error:
            # The connection may be broken although a new one would work.
            if channel.frames_read == frames_before:
                self._close_if_current(peer_id, channel)
            raise errors.LinkTimeout(peer_id, message_name) from error
        finally:
            timer.cancel()
            channel.finish_call(call_id, False)
        if frame_kind == FAILED:
            raise errors.RemoteError(
                message_name, payload.decode(errors='replace')
            )
        return codec.decode(payload)

    def set_peer_address(self, peer_id: str, address: str) -> None:
        if self._addresses.get(peer_id) != address:
            self._addresses[peer_id] = address
            self._close_channel(peer_id)

    async def _stream_from(
        self, peer_id: str, message: object
    ) -> collections_abc.AsyncGenerator[object, None]:
        message_name = type(message).__name__
        channel = self._get_channel(peer_id)
        if channel is None:
            raise errors.LinkTimeout(peer_id, message_name)
        call_id, replies = channel.start_stream(codec.encode(message))
        must_cancel = True
        try:
            while True:
                frame_kind, payload = await self._next_frame(
                    replies, peer_id, message_name
                )
                if frame_kind == REPLY:
                    yield codec.decode(payload)
                elif frame_kind == OVERFLOW:
                    raise errors.ProtocolError(
                        f'{peer_id} sent too many replies to {message_name}'
                    )
                elif frame_kind != KEEPALIVE:
                    must_cancel = False
                    break
            if frame_kind == FAILED:
                raise errors.RemoteError(
                    message_name, payload.decode(errors='replace')
                )
        finally:
            channel.finish_call(call_id, must_cancel)

    async def close(self) -> None:
        for task in (*self._stream_tasks.values(), *self._request_tasks):
            task.cancel()
        for peer_id in list(self._channels):
            self._close_channel(peer_id)

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
            self._close_channel(peer_id)
            raise errors.LinkTimeout(peer_id, message_name) from error

    def _get_channel(self, peer_id):
        channel = self._channels.get(peer_id)
        if channel is None and peer_id in self._addresses:
            channel = self._open_channel(peer_id, self._addresses[peer_id])
            self._channels[peer_id] = channel
        return channel

    def _close_if_current(self, peer_id, channel):
        """Close a channel unless a newer one has replaced it."""
        if self._channels.get(peer_id) is channel:
            self._close_channel(peer_id)

    def _close_channel(self, peer_id):
        channel = self._channels.pop(peer_id, None)
        if channel is not None:
            channel.close()

    def _handle_frame(self, connection, frame):
        """Start or cancel the call of a frame that a peer has sent.

        Raises:
            struct.error: the frame is too short.
        """
        frame_kind, call_id = FRAME_HEADER.unpack_from(frame)
        call_key = (connection, call_id)
        payload = frame[FRAME_HEADER.size :]
        if frame_kind == CANCEL:
            task = self._stream_tasks.get(call_key)
            if task is not None:
                task.cancel()
        elif frame_kind == ASK:
            task = asyncio.create_task(
                self._run_request_handler(call_key, payload)
            )
            self._request_tasks.add(task)
            task.add_done_callback(self._request_tasks.discard)
        else:
            task = asyncio.create_task(
                self._run_stream_handler(call_key, payload)
            )
            self._stream_tasks[call_key] = task
            task.add_done_callback(
                lambda _: self._stream_tasks.pop(call_key, None)
            )

    def _cancel_streams(self, connection):
        """Cancel the streams whose replies reach nobody any more."""
        for (carrier, _), task in list(self._stream_tasks.items()):
            if carrier is connection:
                task.cancel()

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
        connection, call_id = call_key
        frame = FRAME_HEADER.pack(frame_kind, call_id) + payload
        self.count_sent(len(frame))
        await self._send_reply(connection, frame)


def _set_timed_out(answer):
    if not answer.done():
        answer.set_exception(TimeoutError())
