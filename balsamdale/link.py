"""Request-reply calls between instances.

A call is one message to a peer and its one reply or stream of replies.
`MemoryLinks` connects instances in one process;
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
        instance_id: id of this instance.

    Attributes:
        on_connection_broken: called with the id of a peer whose connection
            broke.
    """

    def __init__(self, instance_id: str):
        self.instance_id = instance_id
        self.on_connection_broken: collections_abc.Callable[[str], None] = (
            _ignore_broken
        )
        self._handlers: dict[type, Handler] = {}

    def serve(self, message_type: type, handler: Handler) -> None:
        """Register the async generator that replies to a message type."""
        self._handlers[message_type] = handler

    async def request(
        self,
        peer_id: str,
        message: object,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> object:
        """Send a message and return its first reply.

        Use it where the reply comes soon; no keepalives are sent meanwhile.

        Raises:
            LinkTimeout: no reply came in time; the peer may have handled
                the message.
            RemoteError: the peer's handler failed.
        """
        return await self.first_reply(peer_id, message, timeout_s)

    async def first_reply(
        self, peer_id: str, message: object, timeout_s: float
    ) -> object:
        """Send a message and return its first reply, which may take long.

        Raises:
            LinkTimeout: the peer sent nothing for too long, or no reply came
                in time.
            RemoteError: the peer's handler failed.
        """
        replies = self.stream(peer_id, message)
        try:
            async with asyncio.timeout(timeout_s):
                return await anext(replies)
        except (TimeoutError, StopAsyncIteration) as error:
            message_name = type(message).__name__
            raise errors.LinkTimeout(peer_id, message_name) from error
        finally:
            await replies.aclose()

    def stream(
        self, peer_id: str, message: object
    ) -> collections_abc.AsyncGenerator[object, None]:
        """Send a message and yield its replies.

        A message to this instance is passed to its handler directly.

        Raises:
            LinkTimeout: neither a reply nor a keepalive came in time.
            RemoteError: the peer's handler failed.
        """
        if peer_id == self.instance_id:
            return self._call_handler(peer_id, message)
        return self._stream_from(peer_id, message)

    @abc.abstractmethod
    def _stream_from(
        self, peer_id: str, message: object
    ) -> collections_abc.AsyncGenerator[object, None]:
        """Send a message to another instance and yield its replies."""

    def set_peer_address(self, peer_id: str, address: str) -> None:
        """Set the address where a peer listens."""
        return

    async def close(self) -> None:
        """Cancel all calls and close the connections."""
        return

    def _call_handler(self, sender_id, message):
        handler = self._handlers.get(type(message))
        if handler is None:
            raise errors.UnknownMessage(type(message).__name__)
        return handler(sender_id, message)


def _ignore_broken(_peer_id):
    return


class MemoryNetwork:
    """Connects `MemoryLinks`; `cuts` holds the broken one-way paths."""

    def __init__(self):
        self.links: dict[str, 'MemoryLinks'] = {}
        self.cuts: set[tuple[str, str]] = set()

    def is_open(self, sender_id: str, receiver_id: str) -> bool:
        """Return whether messages pass from one instance to another."""
        are_known = {sender_id, receiver_id} <= self.links.keys()
        return are_known and (sender_id, receiver_id) not in self.cuts


class MemoryLinks(Links):
    """Calls in one process; messages still pass through the codec."""

    def __init__(self, instance_id: str, network: MemoryNetwork):
        super().__init__(instance_id)
        self._network = network
        network.links[instance_id] = self

    async def _stream_from(
        self, peer_id: str, message: object
    ) -> collections_abc.AsyncGenerator[object, None]:
        message_name = type(message).__name__
        await self._time_out_if_cut(
            self.instance_id, peer_id, peer_id, message_name
        )
        peer = self._network.links[peer_id]
        received = codec.decode(codec.encode(message))
        replies = peer._call_handler(self.instance_id, received)
        try:
            while True:
                reply = await self._next_reply(replies, peer_id, message_name)
                await self._time_out_if_cut(
                    peer_id, self.instance_id, peer_id, message_name
                )
                yield codec.decode(codec.encode(reply))
        except StopAsyncIteration:
            return
        except errors.LinkError:
            raise
        except errors.BalsamdaleError as error:
            error_name = type(error).__name__
            raise errors.RemoteError(error_name, str(error)) from error
        finally:
            await replies.aclose()

    async def _next_reply(self, replies, peer_id, message_name):
        """Wait for a reply as long as keepalives could arrive."""
        pending_reply = asyncio.ensure_future(anext(replies))
        try:
            while not pending_reply.done():
                await asyncio.wait(
                    {pending_reply}, timeout=STREAM_SILENCE_TIMEOUT_S
                )
                is_open = self._network.is_open(peer_id, self.instance_id)
                if not pending_reply.done() and not is_open:
                    raise errors.LinkTimeout(peer_id, message_name)
            return pending_reply.result()
        finally:
            if not pending_reply.done():
                pending_reply.cancel()
                await asyncio.wait({pending_reply})

    async def _time_out_if_cut(
        self, sender_id, receiver_id, peer_id, message_name
    ):
        if not self._network.is_open(sender_id, receiver_id):
            await asyncio.sleep(STREAM_SILENCE_TIMEOUT_S)
            raise errors.LinkTimeout(peer_id, message_name)
