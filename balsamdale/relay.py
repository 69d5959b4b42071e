"""Requests to peers, relayed by a third instance while a link is down.

A network partition often separates an instance from only some of its peers.
While a peer is unreachable, requests to it are sent through another instance
that may reach both. `configuration.Relay` distributes declarations instead.
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

# Seconds between probes of an unreachable peer.
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.3
# Seconds without a reply after which a peer counts as unreachable.
DIRECT_TIMEOUT_S = 0.25


@codec.message
class PassOn:
    """Requests that an instance relays a message.

    Attributes:
        target: instance to which it is relayed.
        frame: the encoded message.
        timeout_s: how long its reply may take.
    """

    target: str
    frame: bytes
    timeout_s: float


@codec.message
class PassedBack:
    """The encoded reply to a relayed message."""

    frame: bytes


class RelayLinks:
    """Sends requests directly, or through a relay to an unreachable peer.

    Args:
        links: connections to peers.
        relay_peers: returns the instances that may relay, preferred ones
            first.
        generator: source of the choice between relays.

    Attributes:
        relayed_requests: requests that this instance relayed for others.
    """

    def __init__(
        self,
        links: link.Links,
        relay_peers: collections_abc.Callable[[], list[str]],
        generator: random.Random,
    ):
        self._links = links
        self._relay_peers = relay_peers
        self._generator = generator
        self._unreachable_peers: set[str] = set()
        self._background = background.BackgroundTasks('relay')
        self.relayed_requests = 0
        links.serve(PassOn, self._on_pass_on)

    @property
    def instance_id(self) -> str:
        """Id of this instance."""
        return self._links.instance_id

    async def request(
        self, peer_id: str, message: object, timeout_s: float
    ) -> object:
        """Send a request, directly or through a relay, and return its reply.

        Raises:
            LinkTimeout: no reply came in time; the peer may have acted.
            RemoteError: the peer's handler failed.
        """
        if peer_id in self._unreachable_peers:
            return await self._request_via_relay(peer_id, message, timeout_s)
        try:
            return await self._links.request(
                peer_id, message, min(timeout_s, DIRECT_TIMEOUT_S)
            )
        except errors.LinkTimeout:
            self._mark_unreachable(peer_id)
            raise

    def _mark_unreachable(self, peer_id):
        if peer_id not in self._unreachable_peers:
            self._unreachable_peers.add(peer_id)
            decisions.record('link_lost', peer=peer_id)
            self._background.spawn(self._probe_until_reachable(peer_id))

    async def _probe_until_reachable(self, peer_id):
        """Probe a peer directly until it replies."""
        while True:
            with contextlib.suppress(errors.LinkError):
                await self._links.request(
                    peer_id, members.AskAlive(), PROBE_TIMEOUT_S
                )
                break
            await asyncio.sleep(PROBE_INTERVAL_S)
        self._unreachable_peers.discard(peer_id)
        decisions.record('link_regained', peer=peer_id)

    async def _request_via_relay(self, peer_id, message, timeout_s):
        relay_peers = [
            name
            for name in self._relay_peers()
            if name not in self._unreachable_peers and name != peer_id
        ]
        if not relay_peers:
            raise errors.LinkTimeout(peer_id, type(message).__name__)
        relay_peer = self._generator.choice(relay_peers[:3])
        relayed_message = PassOn(peer_id, codec.encode(message), timeout_s)
        reply = await self._links.request(
            relay_peer, relayed_message, timeout_s
        )
        return codec.decode(reply.frame)

    async def _on_pass_on(self, _sender, message):
        self.relayed_requests += 1
        if message.target in self._unreachable_peers:
            raise errors.LinkTimeout(message.target, 'PassOn')
        reply = await self.request(
            message.target, codec.decode(message.frame), message.timeout_s
        )
        yield PassedBack(codec.encode(reply))
