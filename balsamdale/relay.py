"""Access to instances that cannot be reached directly, through others.

A partition often cuts an instance from a few peers only. While a peer does
not answer, messages to it go through another instance that reaches both.
"""

import asyncio
from collections import abc as collections_abc
import contextlib
import random

from balsamdale import background
from balsamdale import codec
from balsamdale import decisions
from balsamdale import errors
from balsamdale import link
from balsamdale import members

__all__ = ['RelayLinks']

# Seconds between checks of a cut link.
CHECK_INTERVAL_S = 0.5
# Seconds for the answer to a check.
CHECK_TIMEOUT_S = 0.3
# Seconds after which a link counts as cut.
DIRECT_TIMEOUT_S = 0.25


@codec.message
class PassOn:
    """Asks an instance to send a message on.

    Attributes:
        target: instance that is to get it.
        frame: the encoded message.
        timeout_s: how long its reply may take.
    """

    target: str
    frame: bytes
    timeout_s: float


@codec.message
class PassedBack:
    """The encoded reply to a message that was sent on."""

    frame: bytes


class RelayLinks:
    """Requests that go around cut links.

    Args:
        links: connections to other instances.
        helpers: returns the instances that may pass messages on, the
            preferred ones first.
        generator: source of the choice between helpers.
    """

    def __init__(
        self,
        links: link.Links,
        helpers: collections_abc.Callable[[], list[str]],
        generator: random.Random,
    ):
        self._links = links
        self._helpers = helpers
        self._generator = generator
        self._cut: set[str] = set()
        self._background = background.BackgroundTasks('relay')
        self.relayed_requests = 0
        links.serve(PassOn, self._on_pass_on)

    @property
    def instance_id(self) -> str:
        """This instance."""
        return self._links.instance_id

    async def request(
        self, peer_id: str, message: object, timeout_s: float
    ) -> object:
        """Send a message, directly or through another instance.

        Raises:
            LinkTimeout: no reply came in time; the peer may have acted.
            RemoteError: the peer's handler failed.
        """
        if peer_id in self._cut:
            return await self._request_around(peer_id, message, timeout_s)
        try:
            return await self._links.request(
                peer_id, message, min(timeout_s, DIRECT_TIMEOUT_S)
            )
        except errors.LinkTimeout:
            self._cut_off(peer_id)
            raise

    def _cut_off(self, peer_id):
        if peer_id not in self._cut:
            self._cut.add(peer_id)
            decisions.record('link_lost', peer=peer_id)
            self._background.spawn(self._check(peer_id))

    async def _check(self, peer_id):
        """Ask a peer directly until it answers."""
        while True:
            with contextlib.suppress(errors.LinkError):
                await self._links.request(
                    peer_id, members.AskAlive(), CHECK_TIMEOUT_S
                )
                break
            await asyncio.sleep(CHECK_INTERVAL_S)
        self._cut.discard(peer_id)
        decisions.record('link_regained', peer=peer_id)

    async def _request_around(self, peer_id, message, timeout_s):
        helpers = [
            name
            for name in self._helpers()
            if name not in self._cut and name != peer_id
        ]
        if not helpers:
            raise errors.LinkTimeout(peer_id, type(message).__name__)
        helper = self._generator.choice(helpers[:3])
        wrapped = PassOn(peer_id, codec.encode(message), timeout_s)
        reply = await self._links.request(helper, wrapped, timeout_s)
        return codec.decode(reply.frame)

    async def _on_pass_on(self, _sender, message):
        self.relayed_requests += 1
        if message.target in self._cut:
            raise errors.LinkTimeout(message.target, 'PassOn')
        reply = await self.request(
            message.target, codec.decode(message.frame), message.timeout_s
        )
        yield PassedBack(codec.encode(reply))
