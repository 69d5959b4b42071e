"""Access to other instances.

A call is one message to a peer, answered by one reply or by a stream of
them. `MemoryLinks` connects instances inside one process;
`zeromq.ZeroMQLinks` connects them over TCP.
"""

import abc
import asyncio
from collections import abc as collections_abc

from balsamdale import codec
from balsamdale import errors

__all__ = ['Links', 'MemoryLinks', 'MemoryNetwork']

REQUEST_TIMEOUT_S = 1.0
STREAM_SILENCE_TIMEOUT_S = 1.5

Handler = collections_abc.Callable[
    [str, object], collections_abc.AsyncIterator[object]
]


class Links(abc.ABC):
    """Calls to and from other instances.

    Args:
        instance_id: this instance.

    Attributes:
        on_connection_broken: called with a peer whose connection broke.
    """

    def __init__(self, instance_id: str):
        self.instance_id = instance_id
        self.on_connection_broken: collections_abc.Callable[[str], None] = (
            _ignore
        )
        self._handlers: dict[type, Handler] = {}

    def serve(self, message_type: type, handler: Handler) -> None:
        """Answer a type of message by an asynchronous generator."""
        self._handlers[message_type] = handler

    async def request(
        self,
        peer_id: str,
        message: object,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> object:
        """Send a message and return its first reply.

        Use it where the reply comes soon; there are no keepalives.

        Raises:
            LinkTimeout: no reply came in time; the peer may have acted.
            RemoteError: the peer's handler failed.
        """
        return await self.first_reply(peer_id, message, timeout_s)

    async def first_reply(
        self, peer_id: str, message: object, timeout_s: float
    ) -> object:
        """Return the first reply of a stream, which may take long.

        Raises:
            LinkTimeout: the peer fell silent, or no reply came in time.
            RemoteError: the peer's handler failed.
        """
        replies = self.stream(peer_id, message)
        try:
            async with asyncio.timeout(timeout_s):
                return await anext(replies)
        except (TimeoutError, StopAsyncIteration) as error:
            name = type(message).__name__
            raise errors.LinkTimeout(peer_id, name) from error
        finally:
            await replies.aclose()

    def stream(
        self, peer_id: str, message: object
    ) -> collections_abc.AsyncGenerator[object, None]:
        """Send a message and yield its replies.

        A message to this instance itself goes straight to its handler.

        Raises:
            LinkTimeout: the peer fell silent.
            RemoteError: the peer's handler failed.
        """
        if peer_id == self.instance_id:
            return self._handle(peer_id, message)
        return self._stream_from(peer_id, message)

    @abc.abstractmethod
    def _stream_from(
        self, peer_id: str, message: object
    ) -> collections_abc.AsyncGenerator[object, None]:
        """Send a message to another instance and yield its replies."""

    def set_peer_address(self, peer_id: str, address: str) -> None:
        """Tell where a peer listens."""
        return

    async def close(self) -> None:
        """Stop all calls."""
        return

    def _handle(self, sender_id, message):
        handler = self._handlers.get(type(message))
        if handler is None:
            raise errors.UnknownMessage(type(message).__name__)
        return handler(sender_id, message)


def _ignore(_peer_id):
    return


class MemoryNetwork:
    """Joins `MemoryLinks`; pairs of instances can be cut."""

    def __init__(self):
        self.links: dict[str, 'MemoryLinks'] = {}
        self.cuts: set[tuple[str, str]] = set()

    def is_open(self, sender_id: str, receiver_id: str) -> bool:
        """Tell whether messages pass in one direction."""
        known = {sender_id, receiver_id} <= self.links.keys()
        return known and (sender_id, receiver_id) not in self.cuts


class MemoryLinks(Links):
    """Links inside one process; frames still pass through the codec."""

    def __init__(self, instance_id: str, network: MemoryNetwork):
        super().__init__(instance_id)
        self._network = network
        network.links[instance_id] = self

    async def _stream_from(
        self, peer_id: str, message: object
    ) -> collections_abc.AsyncGenerator[object, None]:
        name = type(message).__name__
        await self._check_open(self.instance_id, peer_id, peer_id, name)
        peer = self._network.links[peer_id]
        copy = codec.decode(codec.encode(message))
        replies = peer._handle(self.instance_id, copy)
        try:
            while True:
                reply = await self._next(replies, peer_id, name)
                await self._check_open(
                    peer_id, self.instance_id, peer_id, name
                )
                yield codec.decode(codec.encode(reply))
        except StopAsyncIteration:
            return
        except errors.LinkError:
            raise
        except errors.BalsamdaleError as error:
            name = type(error).__name__
            raise errors.RemoteError(name, str(error)) from error
        finally:
            await replies.aclose()

    async def _next(self, replies, peer_id, name):
        """Wait for a reply as long as the peer could send keepalives."""
        pending = asyncio.ensure_future(anext(replies))
        try:
            while not pending.done():
                await asyncio.wait({pending}, timeout=STREAM_SILENCE_TIMEOUT_S)
                is_open = self._network.is_open(peer_id, self.instance_id)
                if not pending.done() and not is_open:
                    raise errors.LinkTimeout(peer_id, name)
            return pending.result()
        finally:
            if not pending.done():
                pending.cancel()
                await asyncio.wait({pending})

    async def _check_open(self, sender_id, receiver_id, peer_id, name):
        if not self._network.is_open(sender_id, receiver_id):
            await asyncio.sleep(STREAM_SILENCE_TIMEOUT_S)
            raise errors.LinkTimeout(peer_id, name)
