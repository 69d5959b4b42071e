"""A deployment of a few real processes on loopback addresses.

The entries and archives run by the commands and the template of the deploy
file. The platform's store is the project's stand-in, the servers are those of
`servers`; both run in the process of the case.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

import aiohttp
from aiohttp import web

from review.kit_3 import template
from standins import platform_store

__all__ = ['Answer', 'CaseFailed', 'ROOT', 'World', 'main']

ROOT = pathlib.Path(__file__).parent.parent.parent
HOST = platform_store.HOST
# A small deployment's bounds, as on the users' sheets.
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'stable_window_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4.8,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'rollback_slack_ms': 250,
    'max_skew_ms': 5000,
    'recover_s': 12,
    'pass_ms': 120,
    'again_s': 0,
    'finish_s': 10,
    'settle_ms': 1000,
    'ttl_max_s': 5,
}
CONTRACTS = (
    'base drain config cost recover agent stream engine platform'.split()
)
HEARTBEAT_S = 1.2
START_TIMEOUT_S = 30.0
# A script may run for 120 s.
CASE_TIMEOUT_S = 117.0


class CaseFailed(Exception):
    """The case could not be run."""


class Answer:
    """What a client got.

    Attributes:
        status: HTTP status; 0 without one.
        headers: headers of the answer.
        body: what came of the body.
        is_whole: whether the answer came to its end.
    """

    def __init__(self, status=0, headers=None, body=b'', is_whole=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_whole = is_whole


class World:
    """The processes, the store, the servers and the record of one case."""

    def __init__(self, record_path):
        self._stack = contextlib.AsyncExitStack()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='review-3-'))
        self._record = open(record_path, 'w')
        self._started_s = time.monotonic()
        self._network = _free_network()
        self._machines = 0
        self._deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._seeds = []
        self.store = platform_store.PlatformStoreServer()
        self.processes = {}
        self.fields = {}

    async def __aenter__(self):
        self._store_address = await self.serve(self.store.app())
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        self.client = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=connector)
        )
        return self

    async def __aexit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        await self._stack.aclose()
        self._record.close()
        shutil.rmtree(self._folder, ignore_errors=True)

    def log(self, text):
        """Write a line to the record."""
        elapsed_s = time.monotonic() - self._started_s
        self._record.write(f'{elapsed_s:8.3f} s  {text}\n')
        self._record.flush()

    def now_s(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def new_address(self):
        """Return a free address of a new machine."""
        ip = self._new_ip()
        return f'{ip}:{_free_port(ip)}'

    async def serve(self, app, address=None):
        """Serve an application of a stand-in; return its address."""
        address = address or self.new_address()
        ip, _, port = address.rpartition(':')
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, ip, int(port)).start()
        return address

    def configure(self, configuration):
        """Write a configuration as the operator does."""
        self.store.write('op/config', json.dumps(configuration).encode())
        self.log(f'operator: configuration {configuration["version"]}')

    def register(self, server_id, service, address, zone, slots=16):
        """Register a server and write its heartbeats."""
        task = asyncio.create_task(
            self._beat(server_id, service, address, zone, slots)
        )
        self._stack.callback(task.cancel)
        return task

    async def _beat(self, server_id, service, address, zone, slots):
        entry = {
            'service': service,
            'address': address,
            'zone': zone,
            'version': 'v1',
            'slots': slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 0,
            'born': int(time.time() * 1000),
        }
        while True:
            entry['seq'] += 1
            self.store.write(
                f'servers/{server_id}', json.dumps(entry).encode()
            )
            await asyncio.sleep(HEARTBEAT_S)

    def add_machine(self, name, role, zone, is_first_start=True, **changes):
        """Prepare a machine; `start` starts its process."""
        ip = self._new_ip()
        on = 'edge' if role == 'entry' else 'storage'
        port = 21000
        fields = {
            'node_name': name,
            'role': role,
            'machine_class': on,
            'ip': ip,
            'zone': zone,
            'region': 'r',
            'port_range': [port + 10, port + 25],
            'seeds': self._seeds,
            'bootstrap': is_first_start,
            'loss_counts': on == 'storage',
            'contracts': CONTRACTS,
            'heartbeat_ms': int(HEARTBEAT_S * 1000),
            'fault_tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': dict(BOUNDS),
            'limits': {
                'cores': 2,
                'memory_mb': 150 if on == 'edge' else 170,
                'max_fds': 4100,
            },
            'provider': {'address': self._store_address, 'form': 'kv'},
        }
        if on == 'edge':
            fields['listen'] = {
                'front': f'{ip}:{port}',
                'ready': f'{ip}:{port + 1}',
                'control': f'{ip}:{port + 2}',
                'directory': f'{ip}:{port + 3}',
            }
            if len(self._seeds) < 3:
                self._seeds.append(fields['listen']['control'])
        else:
            fields['data_dir'] = str(self._folder / name)
        fields.update(changes)
        self.fields[name] = fields

    def start(self, name):
        """Start the process of a machine as the platform does."""
        fields = self.fields[name]
        role = self._deploy['roles'][fields['role']]
        path = self._folder / f'{name}.settings'
        text = (ROOT / role['template']).read_text()
        path.write_text(template.render(text, fields))
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment.update(role.get('env', {}))
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['BALSAMDALE_SETTINGS'] = str(path)
        words = role['run'].split()
        if words[0] == 'python3':
            words[0] = sys.executable
        with open(self._folder / f'{name}.log', 'ab') as output:
            self.processes[name] = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        # Only the first start of the whole system is one with empty disks.
        fields['bootstrap'] = False
        self.log(f'platform: {name} started')

    def kill(self, name):
        """End a process at once."""
        self.processes[name].kill()
        self.processes[name].wait()
        self.log(f'platform: {name} killed')

    def signal(self, name, number):
        """Send a signal to a process."""
        self.processes[name].send_signal(number)
        self.log(f'platform: {signal.Signals(number).name} to {name}')

    async def answers(self, name, timeout_s=1.0):
        """Return whether a process answers at its metrics address."""
        address = f'{self.fields[name]["ip"]}:9464'
        try:
            async with self.client.get(
                f'http://{address}/metrics',
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def processor_s(self, name):
        """Return the processor time that a process has used."""
        process_id = self.processes[name].pid
        stat = pathlib.Path(f'/proc/{process_id}/stat').read_text()
        user, system = stat.rpartition(')')[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')

    def log_text(self, name):
        """Return what a process has logged."""
        path = self._folder / f'{name}.log'
        return path.read_text(errors='replace')

    def keep_logs(self, folder):
        """Copy the logs and the data of all processes."""
        folder = pathlib.Path(folder)
        folder.mkdir(parents=True, exist_ok=True)
        shutil.copytree(self._folder, folder, dirs_exist_ok=True)

    def front(self, name):
        """Return the address of an entry for clients."""
        return self.fields[name]['listen']['front']

    async def wait_for(self, what, is_true, timeout_s=START_TIMEOUT_S):
        """Wait until a condition holds."""
        ends_s = time.monotonic() + timeout_s
        while True:
            result = is_true()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            if time.monotonic() > ends_s:
                raise CaseFailed(f'not in time: {what}')
            await asyncio.sleep(0.05)

    async def wait_until_ready(self, name):
        """Wait until an entry tells the platform that it is ready."""
        address = self.fields[name]['listen']['ready']

        async def is_ready():
            try:
                async with self.client.get(
                    f'http://{address}/api/readyz',
                    timeout=aiohttp.ClientTimeout(total=1.0),
                ) as response:
                    return response.status == 200
            except (aiohttp.ClientError, TimeoutError):
                return False

        await self.wait_for(f'{name} ready', is_ready)

    def folders(self):
        """Return the archives of the replica set, by the store's keys."""
        prefix = 'balsamdale/folders/'
        return [
            key.removeprefix(prefix)
            for key in self.store.keys()
            if key.startswith(prefix)
        ]

    async def send(
        self, entry, path, request_id, body=b'', method='POST', **headers
    ):
        """Send one request as a client does; return its answer."""
        sent = {
            'Host': HOST,
            'X-Request-Id': request_id,
            **{k.replace('_', '-'): str(v) for k, v in headers.items()},
        }
        answer = Answer()
        self.log(f'client: {request_id} {method} {path} sent to {entry}')
        try:
            async with self.client.request(
                method,
                f'http://{self.front(entry)}{path}',
                data=body or None,
                headers=sent,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=10.0),
            ) as response:
                answer.status = response.status
                answer.headers = response.headers
                async for part in response.content.iter_any():
                    answer.body += part
                answer.is_whole = True
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.log(f'client: {request_id} {type(error).__name__}: {error}')
        self.log(
            f'client: {request_id} answered {answer.status or "nothing"}, '
            f'{len(answer.body)} bytes, whole: {answer.is_whole}'
        )
        return answer

    def _new_ip(self):
        self._machines += 1
        return f'{self._network}.{self._machines}'


def main(case, has_trouble, record_path):
    """Run a case; exit with 1 if the rule was broken, 2 if it did not run.

    Args:
        case: a coroutine function of the world; it returns what broke the
            rule, a line each.
        has_trouble: whether the case has its disruption.
        record_path: path of the record.
    """

    async def run():
        # So that the processes of the case are ended, too.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        async with World(record_path) as world:
            world.log(f'trouble: {has_trouble}')
            try:
                async with asyncio.timeout(CASE_TIMEOUT_S):
                    broken = await case(world)
            except (CaseFailed, TimeoutError) as error:
                world.log(f'the case could not run: {error!r}')
                print(f'the case could not run: {error!r}')
                return 2
            finally:
                if keep := os.environ.get('KEEP_LOGS'):
                    world.keep_logs(keep)
            for line in broken:
                world.log(f'broken: {line}')
            verdict = 'the rule was broken' if broken else 'the rule held'
            world.log(verdict)
            print(f'{verdict}: {len(broken)} times')
            return 1 if broken else 0

    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        status = 2
    sys.exit(status)


def _free_network():
    """Return three numbers of loopback addresses that nobody listens on."""
    for offset in range(200):
        number = (os.getpid() + offset * 7919) % 60000
        network = f'127.{10 + number // 250}.{1 + number % 250}'
        with socket.socket() as tried:
            try:
                tried.bind((f'{network}.1', 9464))
            except OSError:
                continue
            return network
    raise CaseFailed('no free loopback network')


def _free_port(ip):
    with socket.socket() as tried:
        tried.bind((ip, 0))
        return tried.getsockname()[1]
