"""A small deployment in one process, on stub servers and a stub store."""

import asyncio
import contextlib
import json
import pathlib
import tempfile

import aiohttp
from aiohttp import test_utils

from balsamdale import archive_node
from balsamdale import entry_node
from balsamdale import node
from balsamdale import node_settings
from balsamdale.platform import adapter
from harness import ports
from standins import platform_store
from standins import routed

HOST = platform_store.HOST
# A file system in memory, if there is one. All instances share one event loop
# here, and syncs of a disk that other processes use were seen to take 1.3 s,
# and the start of three archives 8 s: more than the timeouts of the quorum.
MEMORY_FOLDER = pathlib.Path('/dev/shm')
ROLES = {
    'archive': archive_node.ArchiveNode,
    'entry': entry_node.EntryNode,
}
TURNS = platform_store.TURNS_ROUTE
ROUTES = [
    TURNS,
    {
        **TURNS,
        'name': 'reads',
        'path_prefix': '/reads/',
        'kind': 'idempotent',
        'service': 'plain',
        'timeout_ms': 1000,
        'retain_context': False,
    },
    {
        **TURNS,
        'name': 'drafts',
        'path_prefix': '/drafts/',
        'retain_context': False,
    },
    {
        **TURNS,
        'name': 'replays',
        'path_prefix': '/replays/',
        'retain_context': False,
        'can_resume': True,
    },
    {
        **TURNS,
        'name': 'cabinets',
        'path_prefix': '/cabinets/',
        'kind': 'idempotent',
        'service': 'plain',
        'retain_context': False,
        'sticky': True,
    },
    {
        **TURNS,
        'name': 'alerts',
        'path_prefix': '/alerts/',
        'kind': 'non_idempotent',
        'service': 'plain',
        'timeout_ms': 1000,
        'retain_context': False,
    },
]


class Deployment:
    """Two entries and three archives on stub backend servers.

    Args:
        folder: for data folders where there is no file system in memory.
    """

    def __init__(self, folder):
        self._stack = contextlib.AsyncExitStack()
        if MEMORY_FOLDER.is_dir():
            folder = self._stack.enter_context(
                tempfile.TemporaryDirectory(dir=MEMORY_FOLDER)
            )
        self._folder = pathlib.Path(folder)
        self._ports = ports.PortReservations()
        self._stack.callback(self._ports.close)
        self._ids = iter(range(1, 10**6))
        self.store = platform_store.PlatformStoreServer()
        self.store_address = ''
        self.servers: dict[str, routed.RoutedServer] = {}
        self.nodes: dict[str, node.Node] = {}

    async def __aenter__(self):
        self.store_address = await self._serve(self.store.app())
        self.configure(1, ROUTES)
        for name in ('engine-1', 'engine-2'):
            await self.add_server(name, 'engines')
        for name in ('plain-1', 'plain-2'):
            await self.add_server(name, 'plain')
        for name in ('archive-a', 'archive-b', 'archive-c'):
            await self.start(name, 'archive', is_first_start=True)
        for name in ('entry-a', 'entry-b'):
            await self.start(name, 'entry')
        await self.wait_until(self.is_up)
        self.client = await self._stack.enter_async_context(
            aiohttp.ClientSession()
        )
        return self

    async def __aexit__(self, *_):
        for name in list(self.nodes):
            await self.stop(name)
        await self._stack.aclose()

    def configure(self, version, route_records, workspaces=()):
        """Write a configuration to the store, as the operator does."""
        config = {
            'version': version,
            'routes': route_records,
            'services': [
                {
                    'name': 'engines',
                    'max_conns': 50,
                    'engine': {'slots': 8, 'tokens_per_event': 10},
                },
                {'name': 'plain', 'max_conns': 50},
            ],
            'tenants': list(workspaces),
        }
        self.store.write('op/config', json.dumps(config).encode())

    async def add_server(self, name, service):
        """Start a stub backend server and register it."""
        server = routed.RoutedServer(name)
        address = await self._serve(server.app())
        self.servers[name] = server
        self.register(name, service, address)

    def reserve_port(self):
        """Return an address that is free until the deployment ends."""
        return self._ports.reserve()

    def register(self, name, service, address, **changes):
        """Write a server's registration."""
        registration = {
            'service': service,
            'address': address,
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 1,
        }
        value = json.dumps({**registration, **changes}).encode()
        self.store.write(f'servers/{name}', value)

    async def start(self, name, role, **changes):
        """Start an instance."""
        fields = {
            'instance_id': name,
            'role': role,
            'failure_domain': name[-1],
            'link_address': self._ports.reserve(),
            'key_value_address': self.store_address,
            'grace_s': 1.5,
        }
        if role == 'entry':
            for key in ('entry', 'ready', 'registry'):
                fields[f'{key}_address'] = self._ports.reserve()
        else:
            fields['data_folder'] = str(self._folder / name)
        settings = node_settings.NodeSettings(**{**fields, **changes})
        instance = ROLES[role](
            settings, adapter.PlatformAdapter(), node.Clocks()
        )
        self.nodes[name] = instance
        await instance.start()
        return instance

    async def stop(self, name):
        """Stop an instance without a graceful shutdown."""
        await self.nodes.pop(name).close()

    async def wait_until(self, condition, timeout_s=10.0):
        """Wait until a condition holds."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.02)

    async def post(self, path, body=b'', entry='entry-a', **headers):
        """Send a request; return status, body and headers."""
        address = self.nodes[entry].settings.entry_address
        request_headers = {
            'Host': HOST,
            'X-Request-Id': f'q{next(self._ids)}',
            'X-Deadline-Ms': '3000',
            **headers,
        }
        async with self.client.post(
            f'http://{address}{path}', data=body, headers=request_headers
        ) as response:
            return response.status, await response.read(), response.headers

    async def post_turn(
        self,
        turn_id,
        parent='',
        program='p',
        budget=0,
        path='/turns/x',
        **extra,
    ):
        """Send a turn whose body is its id in brackets."""
        headers = {
            'X-Request-Id': turn_id,
            'X-Program-Id': program,
            'X-Token-Usage': '100,30',
        }
        if parent:
            headers['X-Previous-Turn'] = parent
        if budget:
            headers['X-Token-Budget'] = str(budget)
        return await self.post(
            path, f'[{turn_id}]'.encode(), **{**headers, **extra}
        )

    @contextlib.asynccontextmanager
    async def streamed_turn(self, turn_id):
        """Send a turn; yield its response while it is being received."""
        address = self.nodes['entry-a'].settings.entry_address
        headers = {
            'Host': HOST,
            'X-Request-Id': turn_id,
            'X-Program-Id': 'p',
            'X-Token-Usage': '100,30',
        }
        async with self.client.post(
            f'http://{address}/turns/x',
            data=f'[{turn_id}]'.encode(),
            headers=headers,
        ) as response:
            assert response.status == 200
            yield response

    def run_count(self, request_id):
        """Return how often servers ran a request."""
        return sum(s.runs.count(request_id) for s in self.servers.values())

    def received_body(self, request_id):
        """Return the body that a server received."""
        for server in self.servers.values():
            if request_id in server.bodies:
                return server.bodies[request_id]
        return None

    def is_up(self):
        """Return whether every entry serves and knows all instances."""
        return all(
            instance.is_ready()
            and len(instance.member_directory.archives()) == 3
            and len(instance.member_directory.entries()) == 2
            and len(instance.replica_set.names()) == 3
            and len(instance.directory.ready('plain')) == 2
            for instance in self.nodes.values()
            if isinstance(instance, entry_node.EntryNode)
        )

    async def _serve(self, app):
        server = await self._stack.enter_async_context(
            test_utils.TestServer(app)
        )
        return f'{server.host}:{server.port}'


def run(folder, scenario):
    """Run a scenario on a new deployment."""

    async def main():
        async with asyncio.timeout(60.0):
            async with Deployment(folder) as deployment:
                await scenario(deployment)

    asyncio.run(main())
