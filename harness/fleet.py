"""Runs a whole deployment as real processes on this machine.

Starts the stand-ins and the instances on ports that the system chooses.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import signal
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
from harness import ports

__all__ = ['EXAMPLES', 'Fleet']

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
INSTANCES_PER_DOMAIN = 3
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
SETTINGS_PEERS = 3


@dataclasses.dataclass
class InstanceProcess:
    """An instance, its settings file and its process if it was started."""

    instance: membership.Instance
    settings_path: pathlib.Path
    process: subprocess.Popen | None = None


class Fleet:
    """Stand-ins and instances of one deployment.

    Args:
        folder: folder for settings, logs and data folders.
        example: name of the declaration in the examples.
        instances: number of instances, spread over the failure domains.
        disks: number of instances with a data folder, spread likewise.
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
        self._ports = ports.PortReservations()
        self._disk_count = disks
        self._instance_count = instances
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
            await self._write_instance_key(member.instance)
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

    def signal_instance(
        self, name: str, signal_number: signal.Signals
    ) -> None:
        """Send a signal to an instance's process."""
        self.members[name].process.send_signal(signal_number)

    def kill_instance(self, name: str) -> None:
        """Kill an instance's process with SIGKILL."""
        self.signal_instance(name, signal.SIGKILL)
        self.members[name].process.wait()

    async def stop_instance(self, name: str) -> int:
        """Stop one instance gracefully; return its exit code."""
        self.signal_instance(name, signal.SIGTERM)
        return await _exit_code(self.members[name].process)

    async def wait_ready(self, names) -> None:
        """Wait until instances serve callers and see all others as live."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        for name in names:
            address = self.members[name].instance.entry_address
            while not await self._is_ready(address, len(self.members)):
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f'{name} is not ready')
                await asyncio.sleep(0.1)

    async def set_switches(self, name: str, **switches) -> None:
        """Set switches of a stand-in."""
        url = f'http://{self.addresses[name]}/standin/switch'
        async with self.session.post(url, json=switches) as response:
            response.raise_for_status()

    async def fetch_counts(self, name: str) -> dict:
        """Return a stand-in's own counts."""
        url = f'http://{self.addresses[name]}/standin/counts'
        async with self.session.get(url) as response:
            return await response.json()

    async def fetch_metric(self, name: str, metric_name: str) -> float:
        """Return one metric of an instance."""
        address = self.members[name].instance.entry_address
        async with self.session.get(f'http://{address}/metrics') as response:
            for line in (await response.text()).splitlines():
                if line.startswith(metric_name) and not line.startswith('#'):
                    return float(line.split()[-1])
        raise KeyError(metric_name)

    def entry_addresses(self) -> list[str]:
        """Return the entry addresses of running instances."""
        return [
            member.instance.entry_address
            for member in self.members.values()
            if member.process is not None and member.process.poll() is None
        ]

    def caller(self, name: str) -> client.Caller:
        """Return a caller that knows every running instance's address."""
        return client.Caller(self.session, name, self.entry_addresses())

    async def stop(self) -> list[int]:
        """Stop all instances gracefully and close; return their exit codes."""
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
        """Kill the processes that still run and close the connections."""
        if self.store is not None:
            await self.store.close()
        if self.session is not None:
            await self.session.close()
        processes = [
            member.process
            for member in self.members.values()
            if member.process
        ]
        processes += self.standins.values()
        for process in processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        self._ports.close()

    def _start_standins(self):
        names = ['keyvalue']
        names += [server.name for server in self.declaration.backend_servers]
        for name in names:
            self.addresses[name] = self._ports.reserve()
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
        deadline_s = time.monotonic() + START_TIMEOUT_S
        for name in self.standins:
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    await self.fetch_counts(name)
                    break
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f'{name} is not ready')
                await asyncio.sleep(0.05)

    def _plan_instances(self):
        _, key_file = zmq.auth.create_certificates(self.folder, 'fleet')
        domain_names = [
            domain.name for domain in self.declaration.failure_domains
        ]
        instances = [
            membership.Instance(
                f'entry-{index + 1}',
                domain_names[index % len(domain_names)],
                self._ports.reserve(),
                self._ports.reserve(),
            )
            for index in range(self._instance_count)
        ]
        for index, instance in enumerate(instances):
            path = self._write_settings(
                instance,
                key_file,
                index < self._disk_count,
                instances[:SETTINGS_PEERS],
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

    async def _write_instance_key(self, instance):
        key = heartbeat.INSTANCES_PREFIX + instance.instance_id
        await self.store.compare_and_swap(
            key, heartbeat.encode_instance(instance), 0
        )

    async def _is_ready(self, address, count):
        try:
            url = f'http://{address}/metrics'
            async with self.session.get(url) as response:
                text = await response.text()
        except aiohttp.ClientError:
            return False
        values_by_metric = dict(
            line.rsplit(' ', 1)
            for line in text.splitlines()
            if not line.startswith('#')
        )
        live_instances = next(
            (
                value
                for key, value in values_by_metric.items()
                if 'live_instances' in key
            ),
            '0',
        )
        revision = next(
            (
                value
                for key, value in values_by_metric.items()
                if 'configuration_rev' in key
            ),
            '0',
        )
        return float(live_instances) >= count and float(revision) > 0

    def _spawn(self, name, arguments):
        log_file = (self.folder / f'{name}.log').open('ab')
        with log_file:
            return subprocess.Popen(
                [sys.executable, *map(str, arguments)],
                stdout=log_file,
                stderr=log_file,
                stdin=subprocess.DEVNULL,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )


async def _exit_code(process):
    deadline_s = time.monotonic() + STOP_TIMEOUT_S
    while process.poll() is None:
        if time.monotonic() > deadline_s:
            process.kill()
        await asyncio.sleep(0.02)
    return process.returncode
