"""Entries with paths to one another, and servers that only some reach."""

import asyncio
import contextlib
import random

import multidict

from balsamdale import discovery
from balsamdale import errors
from balsamdale import exchange
from balsamdale import http_connection
from balsamdale import link
from balsamdale.platform import headers
from balsamdale import server_paths
from tests import builders_routed as builders

SERVER = discovery.Server('i-1', 's', 'h:1', 'a', 8, 'ready')
OTHER_SERVER = discovery.Server('i-2', 's', 'h:2', 'a', 8, 'ready')


class ScriptedClient:
    """Sends requests to servers that answer with the given parts.

    Attributes:
        cut: servers' addresses that this client does not reach.
        parts: the body; a part that is an exception is raised.
        sent: addresses of requests.
    """

    def __init__(self):
        self.cut = set()
        self.is_refused = False
        self.parts = [b'id: 1\n', b'data: x\n\n']
        self.sent = []

    def encode(self, call, body, server_id, timeout_s):
        return exchange.EncodedRequest(call.method, call.target, (), body)

    def send(self, call, body, address, server_id, timeout_s):
        request = self.encode(call, body, server_id, timeout_s)
        return self.send_encoded(request, address, server_id)

    @contextlib.asynccontextmanager
    async def send_encoded(self, request, address, server_id):
        if await self.probe(address) != 'open':
            raise errors.BackendFailed(server_id, 'no', 'no connection', True)
        self.sent.append(address)
        transfer = http_connection.Transfer('chunks')
        head = multidict.CIMultiDict({'X-Server-Seal': 's'})
        yield exchange.Response(
            200,
            head,
            headers.PlatformWireFormat().decode_response(200, head),
            transfer,
            self._parts(server_id),
        )

    async def probe(self, address):
        if address not in self.cut:
            return 'open'
        if self.is_refused:
            return 'refused'
        await asyncio.sleep(0.25)
        return 'silent'

    async def is_reachable(self, address):
        return await self.probe(address) == 'open'

    async def _parts(self, server_id):
        for part in self.parts:
            await asyncio.sleep(0.01)
            if isinstance(part, Exception):
                raise part
            yield part


class PathWorld:
    """Entries by name, each with a client of its own."""

    def __init__(self, names='abcd'):
        self.network = link.MemoryNetwork()
        self.servers = (SERVER, OTHER_SERVER)
        self.links = {n: link.MemoryLinks(n, self.network) for n in names}
        self.clients = {name: ScriptedClient() for name in names}
        self.paused_s = dict.fromkeys(names, 0.0)
        self.paths = {
            name: server_paths.ServerPaths(
                self.clients[name],
                self.links[name],
                lambda name=name: [n for n in self.links if n != name],
                headers.PlatformWireFormat(),
                lambda _service: self.servers,
                random.Random(name),
                lambda name=name: self.paused_s[name],
            )
            for name in names
        }

    def cut(self, *names, addresses=(SERVER.address, OTHER_SERVER.address)):
        for name in names:
            self.clients[name].cut = set(addresses)

    async def send(self, name, server=SERVER):
        """Send a request; return the parts of the body."""
        async with self.paths[name].send(
            builders.call(), b'in', server, 1.0
        ) as response:
            assert response.status == 200
            assert response.metadata.is_signed
            return [part async for part in response.chunks()]
