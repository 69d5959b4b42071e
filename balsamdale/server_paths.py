"""Paths of one entry to backend servers, compared with those of others.

An entry that cannot connect to a server does not know whether the server or
its own link has failed. Other entries can tell.
"""

import asyncio
from collections import abc as collections_abc
import random
import typing

from balsamdale import codec
from balsamdale import decisions
from balsamdale import discovery
from balsamdale import errors
from balsamdale import exchange
from balsamdale import link

__all__ = ['AskServer', 'ServerPaths', 'ServerSeen']

# Time for a peer's reply: one connection to the server, and the way.
ASK_TIMEOUT_S = 0.4
# Peers that are asked.
MAX_ASKED = 12

Verdict = typing.Literal['direct', 'relayed', 'unreachable', 'unconfirmed']


@codec.message
class AskServer:
    """Asks a peer whether it reaches a server.

    Attributes:
        address: IP address and port of the server.
    """

    address: str


@codec.message
class ServerSeen:
    """Reply to `AskServer`.

    Attributes:
        is_reached: whether the server accepts a connection of the peer.
        is_cut: whether the peer has lost its paths to other servers, so that
            a failure says nothing of this one.
    """

    is_reached: bool
    is_cut: bool


class ServerPaths:
    """Finds out who reaches a server.

    Args:
        http_client: connects directly.
        links: connections to peers.
        peers: returns the ids of the other entries.
        generator: source of the choice between peers.
    """

    def __init__(
        self,
        http_client: exchange.HttpClient,
        links: link.Links,
        peers: collections_abc.Callable[[], list[str]],
        generator: random.Random,
    ):
        self._http_client = http_client
        self._links = links
        self._peers = peers
        self._generator = generator
        links.serve(AskServer, self._on_ask_server)

    async def check(self, server: discovery.Server) -> Verdict:
        """Find out who reaches a server, and log it.

        Returns:
            'direct'; 'relayed' if only another entry reaches the server;
            'unreachable' if others do not reach it either; 'unconfirmed' if
            no other entry could tell.
        """
        connection, verdict = await asyncio.gather(
            self._http_client.probe(server.address),
            self._ask_peers(server.address),
        )
        if connection == 'open':
            verdict = 'direct'
        decisions.record(
            'server_path',
            server=server.server_id,
            connection=connection,
            verdict=verdict,
        )
        return verdict

    async def _ask_peers(self, address):
        names = self._peers()
        self._generator.shuffle(names)
        verdict = 'unconfirmed'
        for name in names[:MAX_ASKED]:
            try:
                reply = await self._links.request(
                    name, AskServer(address), ASK_TIMEOUT_S
                )
            except errors.LinkError:
                continue
            if reply.is_reached:
                return 'relayed'
            verdict = 'unreachable'
        return verdict

    async def _on_ask_server(self, _sender, message):
        yield ServerSeen(
            await self._http_client.is_reachable(message.address), False
        )
