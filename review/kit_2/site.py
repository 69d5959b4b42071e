"""A small deployment on loopback: real processes, stand-ins in this one.

The processes are started by the command of the deploy file, with the fields
that its template of settings writes.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile

import aiohttp
from aiohttp import web

from standins import platform_store
from standins import routed

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = platform_store.HOST
GRACE_S = 8.0
START_TIMEOUT_S = 20.0
# Below the ports that Linux gives to outgoing connections.
FIRST_PORT, LAST_PORT = 12000, 32000


class Record:
    """What was sent, answered and run, as lines of a file."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()

    def now_s(self):
        return self._loop.time() - self._started_s

    def add(self, *words):
        print(f'{self.now_s():8.3f}', *words, file=self._file, flush=True)


class Site:
    """One store of the platform, engines, archives and entries."""

    def __init__(self, record):
        self.record = record
        self.store = platform_store.PlatformStoreServer()
        self.servers = {}
        self.processes = {}
        self.settings = {}
        self._ports = set()
        self.is_closed = False
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self._folder = pathlib.Path(folder)
        self._store_address = await self._serve(self.store.app())
        self.client = await self._stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True)
            )
        )
        return self

    async def __aexit__(self, *_):
        self.is_closed = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        await self._stack.aclose()

    def configure(self, version, routes, services, **parts):
        """Write a configuration, as the operator does."""
        table = {
            'version': version,
            'routes': routes,
            'services': services,
            **parts,
        }
        self.store.write('op/config', json.dumps(table).encode())

    async def add_server(self, name, service, zone, **switches):
        """Start an engine and register it."""
        server = routed.RoutedServer(name)
        for key, value in switches.items():
            setattr(server.switches, key, value)
        address = await self._serve(server.app())
        self.servers[name] = server
        self.write_server(name, service, address, zone, 1)

    def write_server(self, name, service, address, zone, born):
        """Write an engine's entry, as the engine does."""
        entry = {
            'service': service,
            'address': address,
            'zone': zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 1,
            'born': born,
        }
        self.store.write(f'servers/{name}', json.dumps(entry).encode())

    def start_process(self, name, role, zone, bootstrap):
        """Start a machine's process, with the settings of the template."""
        fields = self.settings.get(name)
        if fields is None:
            fields = {
                'instance_id': name,
                'failure_domain': zone,
                'key_value_address': self._store_address,
                'seeds': [],
                'losses': 1,
                'grace_s': GRACE_S,
                'metrics_address': self._free_address(),
                'contracts': ['base', 'drain', 'config', 'recover', 'agent'],
                'memory_limit_mb': 170,
                'descriptor_limit': 8200,
                'role': role,
                'link_address': self._free_address(),
            }
            if role == 'archive':
                fields['data_folder'] = str(self._folder / name)
            else:
                for key in ('entry', 'ready', 'registry'):
                    fields[f'{key}_address'] = self._free_address()
            self.settings[name] = fields
        fields['is_first_start'] = bootstrap
        path = self._folder / f'{name}.toml'
        path.write_text(
            ''.join(f'{k} = {json.dumps(v)}\n' for k, v in fields.items())
        )
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['BALSAMDALE_SETTINGS'] = str(path)
        environment['SSL_CERT_FILE'] = '/dev/null'
        log = open(self._folder / f'{name}.log', 'ab')
        self.processes[name] = subprocess.Popen(
            ('python3', '-m', 'balsamdale.platform'),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.add('process started:', name)

    def kill(self, name, number=signal.SIGKILL):
        """Send a signal to a process; wait for its end if it is SIGKILL."""
        process = self.processes[name]
        process.send_signal(number)
        self.record.add('signal', signal.Signals(number).name, 'to', name)
        if number == signal.SIGKILL:
            process.wait()

    def lose_disk(self, name):
        """Empty the data folder of a process that has ended."""
        shutil.rmtree(self.settings[name]['data_folder'])
        self.record.add('disk lost:', name)

    def entries(self):
        return [
            fields['entry_address']
            for fields in self.settings.values()
            if fields['role'] == 'entry'
        ]

    async def wait_until(self, condition, timeout_s=START_TIMEOUT_S):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.05)

    def key(self, name):
        """Return the value of a key of the store, or None."""
        item = self.store._items.get(name)
        return item and item['value']

    async def is_ready(self, name):
        address = self.settings[name]['ready_address']
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with self.client.get(
                f'http://{address}/api/readyz'
            ) as response:
                return response.status == 200
        return False

    async def wait_until_ready(self, *names):
        async with asyncio.timeout(START_TIMEOUT_S):
            for name in names:
                while not await self.is_ready(name):
                    await asyncio.sleep(0.05)

    async def send(self, address, target, body, headers, timeout_s=3.0):
        """Send one client attempt; return its status or why there is none."""
        request_id = headers['X-Request-Id']
        self.record.add('sent', request_id, target, 'to', address)
        try:
            async with asyncio.timeout(timeout_s):
                async with self.client.post(
                    f'http://{address}{target}', data=body, headers=headers
                ) as response:
                    await response.read()
                    answer = response.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            answer = type(error).__name__
        self.record.add('answered', request_id, answer)
        return answer

    def run_count(self, request_id):
        return sum(s.runs.count(request_id) for s in self.servers.values())

    def _free_address(self):
        """Return an address whose port no outgoing connection is given."""
        while True:
            port = random.randrange(FIRST_PORT, LAST_PORT)
            if port in self._ports:
                continue
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind(('127.0.0.1', port))
                self._ports.add(port)
                return f'127.0.0.1:{port}'

    async def _serve(self, app):
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        address = self._free_address()
        port = int(address.rpartition(':')[2])
        await web.TCPSite(runner, '127.0.0.1', port).start()
        return address
