"""Access to a whole deployment of real processes on this machine.

Starts the stand-ins and the instances, with ports that the system chooses.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import aiohttp
import zmq.auth

from balsamdale import configuration
from balsamdale import declaration
from balsamdale import heartbeat
from balsamdale import keyvalue
from balsamdale import membership
from harness import client

__all__ = ['EXAMPLES', 'Fleet', 'free_ports']

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
INSTANCES_PER_DOMAIN = 3
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
PEERS = 3
HOST = '127.0.0.1'


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago, all different."""
    sockets = [socket.socket() for _ in range(count)]
    for listener in sockets:
        listener.bind((HOST, 0))
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports


@dataclasses.dataclass
class InstanceProcess:
    """An instance's place in the fleet."""

    instance: membership.Instance
    settings_path: pathlib.Path
    process: subprocess.Popen | None = None


class Fleet:
    """Stand-ins and instances of one deployment.

    Args:
        folder: folder for settings, logs and data folders.
        example: name of the declaration in the examples.
        instances: instances in all, spread over the failure domains.
        disks: instances with a data folder, spread likewise.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        example: str,
        instances: int = 9,
        disks: int = 3,
    ):
        self.folder = folder
        self.declaration = declaration.load(str(EXAMPLES / f'{example}.toml'))
        self.text = (EXAMPLES / f'{example}.toml').read_text()
        self.members: dict[str, InstanceProcess] = {}
        self.addresses: dict[str, str] = {}
        self.standins: dict[str, subprocess.Popen] = {}
        self._disks = disks
        self._count = instances
        self.store: keyvalue.EtcdKeyValue | None = None
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Start everything and wait until it is ready."""
        self.session = aiohttp.ClientSession()
        self.folder.mkdir(parents=True, exist_ok=True)
        self._start_standins()
        await self._wait_standins()
        self.store = keyvalue.EtcdKeyValue((self.addresses['keyvalue'],))
        self._plan_instances()
        for member in self.members.values():
            await self._list_instance(member.instance)
        await self.accept(self.text)
        for name in self.members:
            self.start_instance(name)
        await self.wait_ready(self.members)

    async def accept(self, text: str) -> int:
        """Accept a declaration; return its revision."""
        _, revision = await configuration.fetch_head(self.store)
        accepted = await configuration.accept(
            self.store, text, revision, 'harness', 'harness', time.time()
        )
        return accepted.revision

    def start_instance(self, name: str) -> None:
        """Start one instance's process."""
        member = self.members[name]
        member.process = self._spawn(
            name,
            ['-m', 'balsamdale.daemon', '--settings', member.settings_path],
        )

    def signal_instance(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one instance."""
        self.members[name].process.send_signal(number)

    def kill_instance(self, name: str) -> None:
        """End one instance without warning."""
        self.signal_instance(name, signal.SIGKILL)
        self.members[name].process.wait()

    async def stop_instance(self, name: str) -> int:
        """Stop one instance gracefully; return its exit code."""
        self.signal_instance(name, signal.SIGTERM)
        return await _exit_code(self.members[name].process)

    async def wait_ready(self, names) -> None:
        """Wait until instances serve callers and know one another."""
        end_s = time.monotonic() + START_TIMEOUT_S
        for name in names:
            address = self.members[name].instance.entry_address
            while not await self._sees(address, len(self.members)):
                if time.monotonic() > end_s:
                    raise TimeoutError(f'{name} is not ready')
                await asyncio.sleep(0.1)

    async def set_switches(self, name: str, **switches) -> None:
        """Set switches of a stand-in."""
        url = f'http://{self.addresses[name]}/standin/switch'
        async with self.session.post(url, json=switches) as response:
            response.raise_for_status()

    async def fetch_counts(self, name: str) -> dict:
        """Return a stand-in's own records."""
        url = f'http://{self.addresses[name]}/standin/counts'
        async with self.session.get(url) as response:
            return await response.json()

    async def fetch_metric(self, name: str, metric: str) -> float:
        """Return one metric of an instance."""
        address = self.members[name].instance.entry_address
        async with self.session.get(f'http://{address}/metrics') as response:
            for line in (await response.text()).splitlines():
                if line.startswith(metric) and not line.startswith('#'):
                    return float(line.split()[-1])
        raise KeyError(metric)

    def entry_addresses(self) -> list[str]:
        """Return the entry addresses of running instances."""
        return [
            member.instance.entry_address
            for member in self.members.values()
            if member.process is not None and member.process.poll() is None
        ]

    def caller(self, name: str) -> client.Caller:
        """Return a caller that knows every running entry."""
        return client.Caller(self.session, name, self.entry_addresses())

    async def stop(self) -> list[int]:
        """Stop all gracefully; return the instances' exit codes."""
        running = [
            member.process
            for member in self.members.values()
            if member.process is not None and member.process.poll() is None
        ]
        for process in running:
            process.send_signal(signal.SIGTERM)
        codes = [await _exit_code(process) for process in running]
        await self.close()
        return codes

    async def close(self) -> None:
        """End whatever still runs."""
        if self.store is not None:
            await self.store.close()
        if self.session is not None:
            await self.session.close()
        processes = [m.process for m in self.members.values() if m.process]
        processes += self.standins.values()
        for process in processes:
            if process.poll() is None:
                process.kill()
                process.wait()

    def _start_standins(self):
        names = ['keyvalue']
        names += [server.name for server in self.declaration.backend_servers]
        for name, port in zip(names, free_ports(len(names))):
            self.addresses[name] = f'{HOST}:{port}'
            self.start_standin(name)
        for server in self.declaration.backend_servers:
            self.text = self.text.replace(
                f'"{server.address}"', f'"{self.addresses[server.name]}"'
            )

    def start_standin(self, name: str) -> None:
        """Start one stand-in's process."""
        port = self.addresses[name].rpartition(':')[2]
        server = self.declaration.server(name)
        arguments = ['-m', 'standins']
        if server is None:
            arguments += ['keyvalue', '--port', port]
        elif server.cache_tokens:
            arguments += ['engine', '--port', port, '--name', name]
            arguments += ['--slots', str(server.slots)]
            arguments += ['--cache-tokens', str(server.cache_tokens)]
            if server.honours_fencing:
                arguments.append('--honours-fencing')
        else:
            arguments += ['plain', '--port', port, '--name', name]
        self.standins[name] = self._spawn(f'standin-{name}', arguments)

    async def _wait_standins(self):
        end_s = time.monotonic() + START_TIMEOUT_S
        for name in self.standins:
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    await self.fetch_counts(name)
                    break
                if time.monotonic() > end_s:
                    raise TimeoutError(f'{name} is not ready')
                await asyncio.sleep(0.05)

    def _plan_instances(self):
        public, secret = zmq.auth.create_certificates(self.folder, 'fleet')
        domains = [domain.name for domain in self.declaration.failure_domains]
        ports = free_ports(2 * self._count)
        planned = [
            membership.Instance(
                f'entry-{index + 1}',
                domains[index % len(domains)],
                f'{HOST}:{ports[2 * index]}',
                f'{HOST}:{ports[2 * index + 1]}',
            )
            for index in range(self._count)
        ]
        for index, instance in enumerate(planned):
            path = self._write_settings(
                instance, secret, index < self._disks, planned[:PEERS]
            )
            self.members[instance.instance_id] = InstanceProcess(
                instance, path
            )

    def _write_settings(self, instance, key_file, has_disk, peers):
        name = instance.instance_id
        lines = [
            f'instance_id = "{name}"',
            f'failure_domain = "{instance.failure_domain}"',
            f'entry_address = "{instance.entry_address}"',
            f'link_address = "{instance.link_address}"',
            f'key_value_addresses = ["{self.addresses["keyvalue"]}"]',
            f'key_file = "{key_file}"',
        ]
        if has_disk:
            lines.append(f'data_folder = "{self.folder / "data" / name}"')
        for peer in peers:
            lines.append('[[peers]]')
            for key, value in dataclasses.asdict(peer).items():
                lines.append(f'{key} = "{value}"')
        path = self.folder / f'{name}.toml'
        path.write_text('\n'.join(lines) + '\n')
        return path

    async def _list_instance(self, instance):
        key = heartbeat.INSTANCES_PREFIX + instance.instance_id
        await self.store.compare_and_swap(
            key, heartbeat.encode_instance(instance), 0
        )

    async def _sees(self, address, count):
        try:
            url = f'http://{address}/metrics'
            async with self.session.get(url) as response:
                text = await response.text()
        except aiohttp.ClientError:
            return False
        lines = dict(
            line.rsplit(' ', 1)
            for line in text.splitlines()
            if not line.startswith('#')
        )
        live = next(
            (v for k, v in lines.items() if 'live_instances' in k), '0'
        )
        revision = next(
            (v for k, v in lines.items() if 'configuration_rev' in k), '0'
        )
        return float(live) >= count and float(revision) > 0

    def _spawn(self, name, arguments):
        log = (self.folder / f'{name}.log').open('ab')
        with log:
            return subprocess.Popen(
                [sys.executable, *map(str, arguments)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )


async def _exit_code(process):
    end_s = time.monotonic() + STOP_TIMEOUT_S
    while process.poll() is None:
        if time.monotonic() > end_s:
            process.kill()
        await asyncio.sleep(0.02)
    return process.returncode
