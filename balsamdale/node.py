"""Access to what every instance on a platform has."""

import asyncio
from collections import abc as collections_abc
import dataclasses
import gc
import random
import signal
import sys
import time

from balsamdale import adapter
from balsamdale import background
from balsamdale import decisions
from balsamdale import errors
from balsamdale import keyvalue
from balsamdale import members
from balsamdale import metrics
from balsamdale import mirror
from balsamdale import node_settings
from balsamdale import relay
from balsamdale import replica_set
from balsamdale import zeromq

__all__ = ['Clocks', 'Node', 'main']

# Exit status for settings that cannot be used.
EXIT_SETTINGS = 2


@dataclasses.dataclass(frozen=True)
class Clocks:
    """Sources of the present time, in seconds.

    Attributes:
        steady: never steps; for durations.
        wall: since the Unix epoch; for what others read.
    """

    monotonic: collections_abc.Callable[[], float] = time.monotonic
    wall: collections_abc.Callable[[], float] = time.time


class Node:
    """What every instance has: links, a mirror, and its registration.

    Args:
        given: the settings.
        adapted: the platform.
        clocks: the present time.
    """

    def __init__(
        self,
        given: node_settings.NodeSettings,
        adapted: adapter.Adapter,
        clocks: Clocks,
    ):
        self.clocks = clocks
        self.settings = given
        self.adapter = adapted
        self.store: keyvalue.LeasedKeyValue = adapted.open_store(given)
        self.links = zeromq.ZeroMQLinks(given.instance_id, given.link_address)
        self.mirror = mirror.Mirror()
        self.member_directory = members.MemberDirectory(
            self.links, given.instance_id
        )
        self.replica_set = replica_set.ReplicaSet()
        self.mirror.add_listener(
            members.KEY_PREFIX, self.member_directory.apply_change
        )
        self.mirror.add_listener(
            replica_set.KEY_PREFIX, self.replica_set.apply_change
        )
        generator = random.Random(given.instance_id)
        self.follower = mirror.Follower(
            self.mirror, self.store, self.links, self._peers, generator
        )
        self.registration = members.Registration(
            self.store,
            self.member,
            self.mirror.get,
            self.member_directory.announce,
            self.follower.restart_watch,
        )
        self.relay = relay.RelayLinks(
            self.links, self.member_directory.entry_peers, generator
        )
        self.metrics = metrics.Metrics()
        self._metrics_runner = None
        self._seeds = self._add_seeds()
        self._background = background.BackgroundTasks('node')

    def member(self) -> members.Member:
        """Return what this instance says of itself."""
        raise NotImplementedError

    async def start(self) -> None:
        """Follow the key-value service and register."""
        self._observe(self.gauges())
        if self.settings.metrics_address:
            self._metrics_runner = await metrics.serve(
                self.metrics, self.settings.metrics_address
            )
        self._background.spawn(self.follower.run())
        self._background.spawn(self.follower.run_comparisons())
        self._background.spawn(self.registration.run())

    async def leave(self) -> None:
        """Take no new work; end what is in flight."""
        self.member_directory.is_leaving = True
        await self.registration.leave()

    async def close(self) -> None:
        """Stop all work where it stands."""
        self._background.cancel()
        if self._metrics_runner is not None:
            await self._metrics_runner.cleanup()
        await self.links.close()
        await self.store.close()

    def gauges(self) -> dict[str, tuple[str, metrics.Gauge]]:
        """Return the counters of an instance by name."""
        return {
            'mirror_revision': (
                'Revision that the mirror is complete up to',
                lambda: self.mirror.revision,
            ),
            'store_connected': (
                'Whether the key-value service answers',
                lambda: float(self.follower.is_connected),
            ),
            'store_calls': (
                'Calls to the key-value service',
                lambda: self.store.calls,
            ),
            'members': (
                'Instances that are known',
                lambda: len(self.member_directory.peers()),
            ),
            'folders': (
                'Members of the set of folders',
                lambda: len(self.replica_set.names()),
            ),
            'link_sent_bytes': (
                'Bytes sent to other instances',
                lambda: self.links.sent_bytes,
            ),
            'relayed': (
                'Messages passed on for others',
                lambda: self.relay.relayed_requests,
            ),
            'log_lines': ('Log lines written', decisions.lines),
            'log_lines_dropped': ('Log lines dropped', decisions.dropped),
        }

    def _observe(self, gauges):
        for name, (description, read) in gauges.items():
            self.metrics.observe(f'balsamdale_{name}', description, read)

    def _add_seeds(self):
        names = []
        for number, address in enumerate(self.settings.seeds):
            if address != self.settings.link_address:
                name = f'seed-{number}'
                self.links.set_peer_address(name, address)
                names.append(name)
        return names

    def _peers(self):
        return self.member_directory.peers() or self._seeds


def main(
    path: str, adapted: adapter.Adapter, roles: dict[str, type[Node]]
) -> int:
    """Run an instance until SIGTERM; return the exit status.

    Args:
        path: the settings file.
        adapted: the platform.
        roles: the kind of instance for each role.
    """
    try:
        given = node_settings.load(path)
    except errors.ValidationFailed as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    log = decisions.install(given.instance_id)
    asyncio.run(_run(given, adapted, roles, log, path))
    log.flush()
    return 0


async def _run(given, adapted, roles, log, path):
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, given, path)
    flushing = asyncio.create_task(log.run())
    running = roles[given.role](given, adapted, Clocks())
    await running.start()
    decisions.record('started', role=given.role)
    gc.collect()
    gc.freeze()
    await stopping.wait()
    decisions.record('stopping')
    await running.leave()
    await running.close()
    decisions.record('stopped')
    flushing.cancel()


def _reload(given, path):
    """Check changed settings; those of a running instance stay in force."""
    try:
        changed = node_settings.load(path)
    except errors.ValidationFailed as error:
        decisions.record('reload_rejected', reason=str(error))
        return
    decisions.record('reloaded', is_changed=changed != given)
