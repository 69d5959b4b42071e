"""A small deployment of real processes on loopback addresses.

The instances run by the commands, the environment and the settings template
of the deploy file. The platform's store and the servers run in this process.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib

from aiohttp import web

from review.kit import template
from standins import platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'desk.example'
STORE_PORT, LINK_PORT, FRONT_PORT = 8142, 8144, 8149
READY_PORT, REGISTRY_PORT, PEER_PORT = 8141, 8143, 7380
SERVER_PORT = 8320
METRICS_PORT = 9464
PORTS = (
    STORE_PORT,
    LINK_PORT,
    FRONT_PORT,
    READY_PORT,
    REGISTRY_PORT,
    PEER_PORT,
    SERVER_PORT,
    METRICS_PORT,
)
TIME_LIMIT_S = 105
BOUNDS = {
    'stable_window_ms': 3000,
    'catch_up_s': 4.8,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'max_skew_ms': 5000,
    'recover_s': 12,
}
CONTRACTS = [
    'base', 'drain', 'config', 'cost', 'recover', 'agent', 'stream',
    'engine', 'platform',
]  # fmt: skip


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._started_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._started_s

    def line(self, text):
        self._file.write(f'{self.now_s():8.3f}  {text}\n')
        self._file.flush()

    def close(self):
        self._file.close()


class Store(platform_store.PlatformStoreServer):
    """The project's stand-in of the store, with pages of a chosen size."""

    page_items = 500

    async def _range(self, request):
        self._expire()
        prefix = request.query['path_prefix']
        after = request.query.get('after', '')
        keys = sorted(
            key
            for key in self._items
            if key > after and key.startswith(prefix)
        )
        body = {
            'items': [self._items[k] for k in keys[: self.page_items]],
            'truncated': len(keys) > self.page_items,
            'store_revision': self.revision,
        }
        return web.json_response(body)

    def value(self, key):
        """Return the value of a key, None without it."""
        item = self._items.get(key)
        if item is None:
            return None
        return platform_store.base64.b64decode(item['value'])


class Instance:
    """One process of the system, with its settings file."""

    def __init__(self, world, name, role, zone, ip):
        self.world, self.name, self.role = world, name, role
        self.zone, self.ip = zone, ip
        self.process = None
        self.data_dir = world.folder / name / 'data'
        self._log = None

    @property
    def front(self):
        return self.ip, FRONT_PORT

    async def start(self, is_first=False):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles'][self.role]
        path = self.world.folder / self.name / 'settings.conf'
        path.parent.mkdir(parents=True, exist_ok=True)
        text = (ROOT / role['template']).read_text()
        path.write_text(template.fill(text, self._fields(is_first)))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env |= role.get('env', {})
        env['BALSAMDALE_SETTINGS'] = str(path)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        self._log = open(path.parent / 'log.txt', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            *role['run'].split(),
            cwd=ROOT,
            env=env,
            stdout=self._log,
            stderr=self._log,
        )
        self.world.record.line(f'start {self.name}')

    def _fields(self, is_first):
        fields = {
            'node_name': self.name,
            'zone': self.zone,
            'ip': self.ip,
            'port_range': [PEER_PORT, PEER_PORT + 15],
            'seeds': self.world.seeds(),
            'bootstrap': is_first,
            'fault_tolerance': {'machines': 1},
            'bounds': BOUNDS,
            'limits': {'memory_mb': 170},
            'contracts': CONTRACTS,
            'provider': {'address': self.world.store_address},
            'listen': {
                'front': f'{self.ip}:{FRONT_PORT}',
                'ready': f'{self.ip}:{READY_PORT}',
                'control': f'{self.ip}:{LINK_PORT}',
                'directory': f'{self.ip}:{REGISTRY_PORT}',
            },
        }
        if self.role == 'archive':
            fields['data_dir'] = str(self.data_dir)
        return fields

    def signal(self, number):
        self.world.record.line(f'{signal.Signals(number).name} {self.name}')
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def wipe(self):
        self.world.record.line(f'disk of {self.name} is lost')
        shutil.rmtree(self.data_dir, ignore_errors=True)

    def log_text(self):
        return (self.world.folder / self.name / 'log.txt').read_text()


class World:
    """The deployment, its store and its servers."""

    def __init__(self, record_path, archives=3, entries=3):
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.base = _find_free_base()
        self.store = Store()
        self.store_address = f'{self.base}.1:{STORE_PORT}'
        self.archives = [
            Instance(self, f'store-{n}', 'archive', f'z{n}', self.ip(10 + n))
            for n in range(1, archives + 1)
        ]
        self.entries = [
            Instance(self, f'edge-{n}', 'entry', f'z{n}', self.ip(40 + n))
            for n in range(1, entries + 1)
        ]
        self._runners = []
        self._tasks = []

    def ip(self, number):
        return f'{self.base}.{number}'

    def seeds(self):
        return [f'{e.ip}:{LINK_PORT}' for e in self.entries[:3]]

    async def serve(self, app, ip, port):
        """Serve an application of this process."""
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1,
            handler_cancellation=True,
        )  # fmt: skip
        await runner.setup()
        await web.TCPSite(runner, ip, port).start()
        self._runners.append(runner)
        return runner

    async def start(self, configuration, servers):
        """Start the store, the servers and all instances."""
        await self.serve(self.store.app(), f'{self.base}.1', STORE_PORT)
        self.configure(configuration)
        for server in servers:
            await server.start()
            self._tasks.append(asyncio.create_task(server.beat()))
        for instance in (*self.archives, *self.entries):
            await instance.start(is_first=True)
        await self.wait_ready()
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(4)

    def configure(self, configuration):
        """Write a configuration as the operator does."""
        value = json.dumps(configuration).encode()
        self.store.write('op/config', value)
        self.record.line(
            f'operator: version {configuration["version"]} acknowledged'
        )

    async def wait_ready(self, timeout_s=30):
        """Wait until all archives have joined and all entries are ready."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            folders = [
                k for k in self.store.keys() if 'balsamdale/folders/' in k
            ]
            if len(folders) >= len(self.archives):
                states = [await self.is_ready(e) for e in self.entries]
                if all(states):
                    self.record.line('all instances are ready')
                    return
            await asyncio.sleep(0.2)
        raise RuntimeError('the deployment does not become ready')

    async def is_ready(self, entry):
        """Ask an entry as the platform does, once."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    entry.ip, READY_PORT
                )
                writer.write(
                    b'GET /api/readyz HTTP/1.1\r\nHost: x\r\n'
                    b'Connection: close\r\n\r\n'
                )
                head = await reader.readline()
                writer.close()
                return b' 200 ' in head
        except (OSError, TimeoutError):
            return False

    async def close(self):
        for task in self._tasks:
            task.cancel()
        for instance in (*self.archives, *self.entries):
            process = instance.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for runner in self._runners:
            await runner.cleanup()
        self.record.close()
        if os.environ.get('KEEP'):
            print('kept', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _find_free_base():
    """Return the start of loopback addresses whose ports are free."""
    for _ in range(50):
        base = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        if all(_is_free(f'{base}.1', port) for port in PORTS):
            return base
    raise SystemExit(2)


def _is_free(ip, port):
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def run(case, record_path, **options):
    """Run a case; exit with 1 if it finds the rule broken, 2 on an error."""

    async def main():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        world = World(record_path, **options)
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                broken = await case(world)
            world.record.line(f'result: {broken or "the rule held"}')
            print(broken or 'the rule held')
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:
            world.record.line(f'could not run: {error!r}')
            print(f'could not run: {error!r}')
            return 2
        finally:
            await world.close()

    raise SystemExit(asyncio.run(main()))
