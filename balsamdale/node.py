"""Base class of entry and archive instances, and their main function."""

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
from balsamdale import connection_gate
from balsamdale import decisions
from balsamdale import errors
from balsamdale import eviction
from balsamdale import follower
from balsamdale import http_connection
from balsamdale import keyvalue
from balsamdale import members
from balsamdale import metrics
from balsamdale import mirror
from balsamdale import node_settings
from balsamdale import planned_stop
from balsamdale import relay
from balsamdale import replica_set
from balsamdale.scheduling import memory
from balsamdale import shutdown
from balsamdale import tcp_link
from balsamdale import watchers

__all__ = ['Clocks', 'Node', 'main']

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
# Shares of the reserve for closing: what is left of it when the leaving of an
# instance is ended, when its close is, and when the last lines are written.
LEAVE_RESERVE_SHARE = 0.5
EXIT_RESERVE_SHARE = 0.3
LOG_RESERVE_SHARE = 0.1
# Time without reading after which the reader of the log is given up, when the
# last lines are written.
LOG_STALL_S = 0.5


@dataclasses.dataclass(frozen=True)
class Clocks:
    """Sources of the present time, in seconds.

    Attributes:
        monotonic: for durations; never adjusted.
        wall: since the Unix epoch; for times that other processes read.
    """

    monotonic: collections_abc.Callable[[], float] = time.monotonic
    wall: collections_abc.Callable[[], float] = time.time


class Node:
    """An instance with its links, mirror and registration.

    Args:
        settings: the settings of the instance.
        platform_adapter: names, formats and calls of the platform.
        clocks: sources of the present time.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        platform_adapter: adapter.Adapter,
        clocks: Clocks,
    ):
        self.clocks = clocks
        self.settings = settings
        self.adapter = platform_adapter
        self.store: keyvalue.LeasedKeyValue = platform_adapter.open_store(
            settings
        )
        self.links = tcp_link.TcpLinks(
            settings.instance_id, settings.link_address
        )
        self.mirror = mirror.Mirror()
        self.member_directory = members.MemberDirectory(
            self.links, settings.instance_id
        )
        self.replica_set = replica_set.ReplicaSet()
        self.mirror.add_listener(
            members.KEY_PREFIX, self.member_directory.apply_change
        )
        self.mirror.add_listener(
            replica_set.KEY_PREFIX, self.replica_set.apply_change
        )
        generator = random.Random(settings.instance_id)
        self.follower = follower.Follower(
            self.mirror,
            self.store,
            self.links,
            self._peers_to_compare,
            generator,
            self._watchers_to_follow,
        )
        self.registration = members.Registration(
            self.store,
            self.member,
            self.mirror.get,
            self.member_directory.announce,
            self.follower.restart_watch,
            lambda: not self._watchers_to_follow(),
        )
        self.mirror.add_listener(
            members.registration_key(settings.instance_id),
            self.registration.apply_change,
        )
        self.evictor = eviction.Evictor(
            self.store,
            self.links,
            self.mirror,
            lambda: self.registration.lease,
        )
        self.follower.on_connected = self.registration.wake
        self.follower.on_peer_heard = self.evictor.record_peer
        self.relay = relay.RelayLinks(
            self.links, self.member_directory.entry_peers, generator
        )
        self.budget = memory.MemoryBudget(
            memory.budget_bytes(
                int(settings.memory_limit_mb * node_settings.MEGABYTE)
            )
        )
        self.gate = connection_gate.create(
            self.budget, descriptor_limit=settings.descriptor_limit
        )
        self.metrics = metrics.Metrics()
        self._metrics_server = None
        self._seed_names = self._add_seed_peers()
        self._background = background.BackgroundTasks('node')

    def member(self) -> members.Member:
        """Return the registration of this instance."""
        raise NotImplementedError

    async def start(self) -> None:
        """Follow the key-value service and register."""
        self._register_gauges(self.gauges())
        if self.settings.metrics_address:
            self._metrics_server = await metrics.serve(
                self.metrics, self.settings.metrics_address, self.gate
            )
        self._background.spawn_loop(self.follower.run)
        self._background.spawn_loop(self.follower.run_comparisons)
        self._background.spawn_loop(self.registration.run)
        self._background.spawn_loop(self.evictor.run)

    async def leave(self) -> None:
        """Stop taking work and wait for requests in flight."""
        self.member_directory.is_leaving = True
        await self.registration.leave()

    async def close(self, deadline_s: float | None = None) -> None:
        """Cancel all work and close connections.

        Args:
            deadline_s: time of the event loop at which it returns whether or
                not all has ended; by default after `CLOSE_RESERVE_S`.
        """
        if deadline_s is None:
            now_s = asyncio.get_running_loop().time()
            deadline_s = now_s + planned_stop.CLOSE_RESERVE_S
        for steps in self.close_stages():
            await shutdown.run_steps(steps, deadline_s)

    def close_stages(self) -> tuple[dict[str, shutdown.Step], ...]:
        """Return the steps of the close by name, one stage after the other.

        Those of a stage are carried out at the same time.
        """
        connections = {'links': self.links.close, 'store': self.store.close}
        if self._metrics_server is not None:
            connections['metrics'] = self._metrics_server.close
        return {
            'background': self._background.cancel,
            'gate': self.gate.cancel,
        }, connections

    def gauges(self) -> dict[str, tuple[str, metrics.ReadGauge]]:
        """Return the gauges of an instance by name."""
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
            'responses_invalid': (
                'Responses of servers that were none',
                http_connection.count_invalid,
            ),
            **self.gate.gauges(),
            'log_lines': ('Log lines written', decisions.count_lines),
            'log_lines_dropped': (
                'Log lines dropped',
                decisions.count_dropped,
            ),
        }

    def _register_gauges(self, gauges):
        for name, (description, read) in gauges.items():
            self.metrics.add_gauge(f'balsamdale_{name}', description, read)

    def _add_seed_peers(self):
        names = []
        for seed_number, address in enumerate(self.settings.seeds):
            if address != self.settings.link_address:
                name = f'seed-{seed_number}'
                self.links.set_peer_address(name, address)
                names.append(name)
        return names

    def _peers_to_compare(self):
        """Return the watchers; all peers if those may be disconnected."""
        if self.follower.is_connected:
            names = watchers.watchers_to_compare(
                self.member_directory.members(), self.settings.instance_id
            )
        else:
            names = self.member_directory.peers()
        return names or self._seed_names

    def _watchers_to_follow(self):
        return watchers.watchers_to_follow(
            self.member_directory.members(), self.settings.instance_id
        )


def main(
    path: str,
    platform_adapter: adapter.Adapter,
    roles: dict[str, collections_abc.Callable[[], type[Node]]],
) -> int:
    """Run an instance until SIGTERM; return the exit status.

    Threads may still wait for a disk, so the process should end at once.

    Args:
        path: path of the settings file.
        platform_adapter: names, formats and calls of the platform.
        roles: for each role, what loads its class of instance.
    """
    try:
        settings = node_settings.load(path)
    except errors.ValidationFailed as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    log = decisions.install(settings.instance_id)
    node_type = roles[settings.role]()
    # The loop is not closed: this would wait for threads, which may wait for
    # a disk, and let signals end the process before the last lines are out.
    runner = asyncio.Runner()
    writes_until_s = None
    try:
        writes_until_s = runner.run(
            _run(settings, platform_adapter, node_type, log, path)
        )
    except Exception as error:
        decisions.record(
            'failed',
            reason=repr(error),
            traceback=decisions.format_traceback(error),
        )
    if writes_until_s is None:
        log.drain(LOG_STALL_S, LOG_STALL_S)
        return EXIT_FAILED
    log.drain(LOG_STALL_S, writes_until_s - time.monotonic())
    return 0


async def _run(settings, platform_adapter, node_type, log, path):
    """Run until SIGTERM; return until when the last lines may be written.

    All parts of a stop are counted from the signal, so that they end before
    the process is killed.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, settings, path)
    flushing = background.BackgroundTasks('log')
    flushing.spawn_loop(log.run)
    instance = node_type(settings, platform_adapter, Clocks())
    await instance.start()
    decisions.record('started', role=settings.role)
    gc.collect()
    gc.freeze()
    await stop_requested.wait()
    # An instance that stops has no use for new settings.
    loop.add_signal_handler(signal.SIGHUP, _ignore_reload)
    stopping_at_s = loop.time()
    killed_at_s = stopping_at_s + settings.grace_s
    reserve_s = planned_stop.close_reserve_s(settings.grace_s)
    closes_at_s = killed_at_s - EXIT_RESERVE_SHARE * reserve_s
    # A process that is killed at the end of its grace period still tells
    # what it was doing.
    decisions.write_through()
    decisions.record('stopping', grace_s=settings.grace_s)
    await shutdown.run_steps(
        {'leave': instance.leave},
        killed_at_s - LEAVE_RESERVE_SHARE * reserve_s,
    )
    await instance.close(closes_at_s)
    await shutdown.cancel_tasks(closes_at_s)
    took_s = round(loop.time() - stopping_at_s, 3)
    decisions.record('stopped', took_s=took_s)
    return killed_at_s - LOG_RESERVE_SHARE * reserve_s


def _ignore_reload():
    return


def _reload(settings, path):
    """Check the settings file; a running instance keeps its settings."""
    try:
        new_settings = node_settings.load(path)
    except errors.ValidationFailed as error:
        decisions.record('reload_rejected', reason=str(error))
        return
    decisions.record('reloaded', is_changed=new_settings != settings)
