"""Replaces a fleet instance by instance, with an older build and back.

An older commit is built from the history beside the present sources. A fleet
of real processes starts on the older build, on the project's stand-ins. Each
instance is then stopped and started again on the present build while callers
send turns, plain requests and orders, and afterwards back again. What callers
and servers have seen is checked at the end.
"""

import asyncio
import collections
import contextlib
import dataclasses
import io
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tarfile
import tempfile
import time
import typing

import aiohttp
import typer

from balsamdale import http_connection
from harness import ports
from standins import platform_store
from standins import routed

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = 'balsamdale'
HOST = platform_store.HOST
ARCHIVES = ('archive-a', 'archive-b', 'archive-c')
ENTRIES = ('entry-a', 'entry-b', 'entry-c')
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 12.0
# Time between two replacements, in which the fleet serves as it is.
SETTLE_S = 2.0
GRACE_S = 6.0
REQUEST_TIMEOUT_S = 4.0
CALLERS = 6
TURNS_PER_PROGRAM = 4
# What the limited server names, and the window of the promise.
SERVER_LIMIT_PER_S = 4.0
LIMIT_WINDOW_S = 4.0
LIMIT_SLACK = 5
WORKSPACE_RATE_PER_S = 8.0
WORKSPACE_BURST = 8.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVERRUN = (1.1, 20.0)
# Share of the requests that must be served in time at the first caller's try
# or one of its retries.
MIN_SERVED_SHARE = 0.99
PAUSE_S = 0.05
# Start of the ids of requests that may run more than once.
READ_PREFIX = 'read-'

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@dataclasses.dataclass
class Instance:
    """An instance, its settings and its process.

    Attributes:
        name: its id.
        settings_path: path of the settings file.
        ready_address: where it tells whether it is ready; entries only.
        entry_address: where it serves callers; entries only.
        process: the running process.
    """

    name: str
    settings_path: pathlib.Path
    ready_address: str = ''
    entry_address: str = ''
    process: subprocess.Popen | None = None


@dataclasses.dataclass(frozen=True)
class Unanswered:
    """An attempt that ended without an answer, or with 502 or 504.

    Attributes:
        request_id: id of the request.
        entry: the entry that it was sent to.
        status: status of the answer; -1 without one.
        reason: error of the connection; empty with an answer.
        sent_at_s: time since the Unix epoch, as in the logs.
        took_s: time until it ended.
    """

    request_id: str
    entry: str
    status: int
    reason: str
    sent_at_s: float
    took_s: float


@dataclasses.dataclass
class Seen:
    """What callers have seen.

    Attributes:
        sent: requests, each counted once whatever its retries.
        served: requests that ended with a whole answer.
        refused: attempts with an answer that says that they did not run.
        unanswered: attempts that ended without an answer, or with 502 or 504.
        faults: broken promises.
    """

    sent: int = 0
    served: int = 0
    refused: int = 0
    unanswered: list[Unanswered] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)


class TimedServer(routed.RoutedServer):
    """A stand-in that records when and for which workspace it ran."""

    def __init__(self, server_id: str):
        super().__init__(server_id)
        self.run_times: list[tuple[float, str]] = []

    async def _send_response(self, request, headers, body):
        workspace = request.headers.get('X-Tenant', '')
        self.run_times.append((time.monotonic(), workspace))
        return await super()._send_response(request, headers, body)


def build(commit: str, folder: pathlib.Path) -> pathlib.Path:
    """Extract the package of a commit; return the folder it lies in."""
    archive = subprocess.run(
        ('git', 'archive', '--format=tar', commit, PACKAGE),
        cwd=ROOT,
        check=True,
        capture_output=True,
    ).stdout
    target = folder / 'older'
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(target, filter='data')
    return target


class MixedFleet:
    """Stand-ins in this process, and instances as processes of two builds.

    Args:
        folder: folder for settings, logs and data folders.
        knows_limits: whether both builds keep the limits of servers.
        entries: ids of the instances that serve callers.
        grace_s: time from SIGTERM until an instance is killed.
    """

    server_type: type[TimedServer] = TimedServer

    def __init__(
        self,
        folder: pathlib.Path,
        knows_limits: bool,
        entries: tuple[str, ...] = ENTRIES,
        grace_s: float = GRACE_S,
    ):
        self._folder = folder
        self.knows_limits = knows_limits
        self.entries = entries
        self._grace_s = grace_s
        self._stack = contextlib.AsyncExitStack()
        self._ports = ports.PortReservations()
        self._stack.callback(self._ports.close)
        self.store = platform_store.PlatformStoreServer()
        self.servers: dict[str, TimedServer] = {}
        self.instances: dict[str, Instance] = {}

    async def __aenter__(self):
        store_address = await self._serve(self.store.app())
        self.store.write('op/config', json.dumps(configuration()).encode())
        for service, count in (('engines', 3), ('plain', 2)):
            for number in range(count):
                await self._add_server(f'{service}-{number}', service)
        self.servers['engines-0'].switches.limit = str(SERVER_LIMIT_PER_S)
        for name in (*ARCHIVES, *self.entries):
            self._add_instance(name, store_address)
        return self

    async def __aexit__(self, *_):
        for instance in self.instances.values():
            if instance.process is not None:
                instance.process.kill()
                instance.process.wait()
        await self._stack.aclose()

    async def start(
        self,
        name: str,
        build_folder: pathlib.Path,
        wrapper: tuple[str, ...] = (),
    ) -> None:
        """Start an instance on a build, and wait until it is ready.

        Args:
            name: its id.
            build_folder: folder of the build.
            wrapper: a command that runs the instance's command.
        """
        instance = self.launch(name, build_folder, wrapper)
        if instance.ready_address:
            await self._wait_until_ready(instance)

    def launch(
        self,
        name: str,
        build_folder: pathlib.Path,
        wrapper: tuple[str, ...] = (),
    ) -> Instance:
        """Start an instance on a build without waiting for it."""
        instance = self.instances[name]
        with self._open_log(name) as log:
            instance.process = subprocess.Popen(
                (*wrapper, sys.executable, '-m', 'balsamdale.platform'),
                cwd=build_folder,
                env={
                    **os.environ,
                    'PYTHONPATH': str(build_folder),
                    'BALSAMDALE_SETTINGS': str(instance.settings_path),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        return instance

    async def stop(self, name: str) -> int:
        """Stop an instance in order; return its exit status."""
        process = self.instances[name].process
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            while process.poll() is None:
                await asyncio.sleep(0.02)
        return process.returncode

    def _open_log(self, name):
        """Return the file that an instance writes its log to."""
        return open(self._folder / f'{name}.log', 'ab')

    def logged_errors(self) -> list[str]:
        """Return the lines of tracebacks and errors in the logs."""
        return [
            f'{path.stem}: {line[:200]}'
            for path in sorted(self._folder.glob('*.log'))
            for line in path.read_text(errors='replace').splitlines()
            if 'Traceback' in line or '"level":"error"' in line
        ]

    async def _wait_until_ready(self, instance):
        url = f'http://{instance.ready_address}/api/readyz'
        async with (
            asyncio.timeout(START_TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                if instance.process.poll() is not None:
                    raise RuntimeError(f'{instance.name} ended at its start')
                await asyncio.sleep(0.05)

    async def _add_server(self, name, service):
        server = self.server_type(name)
        server.switches.event_gap_s = 0.02
        self.servers[name] = server
        registration = {
            'service': service,
            'address': await self._serve(server.app()),
            'zone': 'abc'[len(self.servers) % 3],
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 1,
        }
        self.store.write(f'servers/{name}', json.dumps(registration).encode())

    def _add_instance(self, name, store_address):
        fields = {
            'instance_id': name,
            'role': name.partition('-')[0],
            'failure_domain': name[-1],
            'link_address': self._ports.reserve(),
            'key_value_address': store_address,
            'grace_s': self._grace_s,
        }
        instance = Instance(name, self._folder / f'{name}.toml')
        if name in self.entries:
            for key in ('entry', 'ready', 'registry'):
                fields[f'{key}_address'] = self._ports.reserve()
            instance.entry_address = fields['entry_address']
            instance.ready_address = fields['ready_address']
        else:
            fields['data_folder'] = str(self._folder / f'{name}.data')
            fields['is_first_start'] = True
        lines = (f'{key} = {json.dumps(fields[key])}\n' for key in fields)
        instance.settings_path.write_text(''.join(lines))
        self.instances[name] = instance

    async def _serve(self, web_app):
        runner = aiohttp.web.AppRunner(
            web_app, access_log=None, shutdown_timeout=0.1
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        address = self._ports.reserve()
        host, _, port = address.rpartition(':')
        await aiohttp.web.TCPSite(
            runner, host, int(port), reuse_address=True
        ).start()
        return address


def configuration() -> dict:
    """Return the operator's configuration as the platform writes it."""
    turns = platform_store.TURNS_ROUTE
    plain = {**turns, 'service': 'plain', 'retain_context': False}
    return {
        'version': 1,
        'routes': [
            turns,
            {
                **plain,
                'name': 'reads',
                'path_prefix': '/reads/',
                'kind': 'idempotent',
            },
            {
                **plain,
                'name': 'alerts',
                'path_prefix': '/alerts/',
                'kind': 'non_idempotent',
            },
        ],
        'services': [
            {
                'name': 'engines',
                'max_conns': 50,
                'engine': {'slots': 8, 'tokens_per_event': 10},
            },
            {'name': 'plain', 'max_conns': 50},
        ],
        'tenants': [
            {'name': 'open', 'api_keys': ['key-open']},
            {
                'name': 'held',
                'api_keys': ['key-held'],
                'rate_per_s': WORKSPACE_RATE_PER_S,
                'burst': WORKSPACE_BURST,
            },
        ],
    }


class Caller:
    """Sends requests to the entries, and checks what it gets.

    Args:
        number: its number.
        addresses: address of each entry.
        seen: where it records what it sees.
        seed: seed of its choices, together with its number.
    """

    def __init__(
        self, number: int, addresses: dict[str, str], seen: Seen, seed: int
    ):
        self._number = number
        self._addresses = addresses
        self._seen = seen
        self._generator = random.Random(f'{seed}-{number}')
        self._ids = itertools.count()

    async def run(self, stop: asyncio.Event) -> None:
        """Send programs, reads and orders until told to stop."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not stop.is_set():
                await self._run_program(session)
                for path in ('/reads/x', '/alerts/x'):
                    await self._send_plain(session, path)

    async def _run_program(self, session):
        """Send the turns of a program; each must have its whole chain."""
        parent, chain_bytes = '', 0
        program = f'p{self._number}-{next(self._ids)}'
        for _ in range(TURNS_PER_PROGRAM):
            turn_id = f'{program}-{next(self._ids)}'
            body = f'[{turn_id}]'.encode()
            headers = {
                'X-Program-Id': program,
                'X-Token-Usage': '100,30',
                'X-Token-Budget': '100000',
            }
            if parent:
                headers['X-Previous-Turn'] = parent
            answer = await self._send(
                session, '/turns/x', turn_id, body, headers, may_repeat=False
            )
            if answer is None:
                return
            chain_bytes += len(body)
            events = [
                line.removeprefix(b'data: ')
                for line in answer.split(b'\n')
                if line.startswith(b'data: ')
            ]
            if any(
                event != f'e{number}-{chain_bytes}'.encode()
                for number, event in enumerate(events, 1)
            ):
                self._seen.faults.append(f'{turn_id}: wrong events {events}')
                return
            chain_bytes += sum(len(event) + 1 for event in events)
            parent = turn_id

    async def _send_plain(self, session, path):
        may_repeat = path.startswith('/reads/')
        prefix = READ_PREFIX if may_repeat else 'alert-'
        request_id = f'{prefix}{self._number}-{next(self._ids)}'
        body = request_id.encode()
        key = self._generator.choice(('key-open', 'key-held'))
        answer = await self._send(
            session,
            path,
            request_id,
            body,
            {'Api-Key': key},
            may_repeat=may_repeat,
        )
        if answer not in (None, b'done ' + body):
            self._seen.faults.append(f'{request_id}: wrong body {answer[:80]}')

    async def _send(
        self, session, path, request_id, body, headers, may_repeat
    ):
        """Send a request until it has an answer; None if it has none.

        Only an answer that says that it did not run allows another try, or
        that no connection was made, or that it may run more than once.
        """
        self._seen.sent += 1
        ends_at_s = time.monotonic() + REQUEST_TIMEOUT_S
        while (left_s := ends_at_s - time.monotonic()) > 0:
            sent_at_s, entry = time.time(), self._choose_entry()
            status, answer, retry_after_s = await self._try(
                session,
                f'http://{self._addresses[entry]}{path}',
                {
                    'Host': HOST,
                    'Api-Key': 'key-open',
                    'X-Request-Id': request_id,
                    'X-Deadline-Ms': str(int(left_s * 1000)),
                    **headers,
                },
                body,
            )
            if status == 200:
                self._seen.served += 1
                await asyncio.sleep(PAUSE_S)
                return answer
            if status in (0, 429, 503):
                self._seen.refused += status != 0
                await asyncio.sleep(retry_after_s)
                continue
            if status in (401, 402, 404):
                self._seen.faults.append(f'{request_id}: status {status}')
                return None
            self._seen.unanswered.append(
                Unanswered(
                    request_id,
                    entry,
                    status,
                    answer.decode() if status < 0 else '',
                    sent_at_s,
                    round(time.time() - sent_at_s, 4),
                )
            )
            if not may_repeat:
                return None
        return None

    def _choose_entry(self):
        return self._generator.choice(list(self._addresses))

    async def _try(self, session, url, headers, body):
        """Return status, body and pause.

        The status is 0 if no connection was made, and -1, with the error as
        the body, if there was no whole answer.
        """
        try:
            async with session.post(
                url, data=body, headers=headers
            ) as response:
                answer = await http_connection.read_body(response)
                pause_s = float(response.headers.get('Retry-After', PAUSE_S))
                return response.status, answer, min(pause_s, 1.0)
        except aiohttp.ClientConnectorError:
            return 0, b'', PAUSE_S
        except (aiohttp.ClientError, TimeoutError) as error:
            return -1, repr(error).encode(), PAUSE_S


def _most_in_window(times, window_s):
    """Return the most of the given moments within a window."""
    ordered = sorted(times)
    return max(
        (
            sum(start <= t < start + window_s for t in ordered[index:])
            for index, start in enumerate(ordered)
        ),
        default=0,
    )


def check(fleet: MixedFleet, seen: Seen) -> list[str]:
    """Return the promises that were broken."""
    faults = list(seen.faults)
    runs = collections.Counter(
        run for server in fleet.servers.values() for run in server.runs
    )
    repeated = [
        run
        for run, count in runs.items()
        if count > 1 and not run.startswith(READ_PREFIX)
    ]
    if repeated:
        faults.append(f'ran more than once: {sorted(repeated)[:5]}')
    limited = fleet.servers['engines-0'].run_times
    most = _most_in_window([t for t, _ in limited], LIMIT_WINDOW_S)
    allowed = 1.5 * SERVER_LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_SLACK
    if most > allowed and fleet.knows_limits:
        faults.append(f'limited server: {most} requests, {allowed} allowed')
    held = [
        t
        for server in fleet.servers.values()
        for t, workspace in server.run_times
        if workspace == 'held'
    ]
    most = _most_in_window(held, QUOTA_WINDOW_S)
    share, slack = QUOTA_OVERRUN
    allowed = (
        WORKSPACE_RATE_PER_S * QUOTA_WINDOW_S + WORKSPACE_BURST
    ) * share + slack
    if most > allowed:
        faults.append(f'quota: {most} requests, {allowed} allowed')
    if seen.served < MIN_SERVED_SHARE * seen.sent:
        faults.append(f'served {seen.served} of {seen.sent}')
    return faults + fleet.logged_errors()


async def replace_all(
    fleet: MixedFleet, build_folder: pathlib.Path
) -> list[str]:
    """Replace the instances one after the other; return what went wrong."""
    faults = []
    for name in (*ENTRIES, *ARCHIVES):
        status = await fleet.stop(name)
        if status:
            faults.append(f'{name}: exit status {status}')
        await fleet.start(name, build_folder)
        await asyncio.sleep(SETTLE_S)
    return faults


async def play(older: pathlib.Path, folder: pathlib.Path, seed: int) -> dict:
    """Upgrade a fleet under traffic, and back; return what was seen."""
    limits = older / PACKAGE / 'scheduling' / 'server_limits.py'
    async with MixedFleet(folder, limits.exists()) as fleet:
        await asyncio.gather(
            *(fleet.start(name, older) for name in fleet.instances)
        )
        seen, stop = Seen(), asyncio.Event()
        addresses = {n: fleet.instances[n].entry_address for n in ENTRIES}
        callers = [
            asyncio.create_task(Caller(n, addresses, seen, seed).run(stop))
            for n in range(CALLERS)
        ]
        await asyncio.sleep(SETTLE_S)
        faults = await replace_all(fleet, ROOT)
        faults += await replace_all(fleet, older)
        stop.set()
        await asyncio.gather(*callers)
        faults += check(fleet, seen)
        return {
            'sent': seen.sent,
            'served': seen.served,
            'refused': seen.refused,
            'unknown': len(seen.unanswered),
            'unanswered': [dataclasses.asdict(u) for u in seen.unanswered],
            'runs': sum(len(s.runs) for s in fleet.servers.values()),
            'faults': faults,
        }


def _keep_logs(folder):
    """Copy the logs out of a folder that is removed; return where to."""
    target = tempfile.mkdtemp(prefix='upgrade-logs-')
    for path in folder.glob('*.log'):
        shutil.copy(path, target)
    return target


@app.command()
def main(
    older: typing.Annotated[
        str, typer.Option('--from', help='commit of the older build')
    ],
    seed: typing.Annotated[
        int, typer.Option(help="seed of the callers' choices")
    ] = 0,
):
    """Replace a fleet of an older build with the present one, and back.

    The logs of all processes are kept if a request had no answer or a promise
    was broken.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        result = asyncio.run(play(build(older, folder), folder, seed))
        if result['unanswered'] or result['faults']:
            result['logs'] = _keep_logs(folder)
    print(json.dumps({'from': older, 'seed': seed, **result}))
    if result['faults']:
        raise typer.Exit(1)


if __name__ == '__main__':
    app()
