"""Access to one running instance on a platform: an entry or an archive."""

import asyncio
import functools
import gc
import random
import signal
import sys
import time

from absl import logging

from balsamdale import adapter
from balsamdale import archive
from balsamdale import archive_service
from balsamdale import background
from balsamdale import balance
from balsamdale import codec
from balsamdale import decisions
from balsamdale import discovery
from balsamdale import errors
from balsamdale import exchange
from balsamdale import folders
from balsamdale import front
from balsamdale import keyvalue
from balsamdale import members
from balsamdale import metrics
from balsamdale import mirror
from balsamdale import node_settings
from balsamdale import quarantine
from balsamdale import quorum
from balsamdale import registry
from balsamdale import relay
from balsamdale import routes
from balsamdale import serving
from balsamdale import zeromq

__all__ = ['ArchiveNode', 'EntryNode', 'main']

EXIT_SETTINGS = 2
EXPIRE_INTERVAL_S = 0.25
DOUBT_S = 2.0
LINGER_S = 3.0
GRACE_RESERVE_S = 1.0
POLL_S = 0.05
ARCHIVE_LINGER_S = 0.5
EMPTYING_RETRY_S = 0.3
MEMBERSHIP_INTERVAL_S = 0.25
CRASH_LIMIT = 3
LATENCY_BOUNDS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0)


class Node:
    """What every instance has: links, a mirror, and its registration.

    Args:
        given: the settings.
        adapted: the platform.
    """

    def __init__(
        self, given: node_settings.NodeSettings, adapted: adapter.Adapter
    ):
        self.settings = given
        self.adapter = adapted
        self.store: keyvalue.LeasedKeyValue = adapted.open_store(given)
        self.links = zeromq.ZeroMQLinks(given.instance_id, given.link_address)
        self.mirror = mirror.Mirror()
        self.roster = members.Roster(self.links, given.instance_id)
        self.folder_set = folders.FolderSet()
        self.mirror.listen(members.PREFIX, self.roster.changed)
        self.mirror.listen(folders.PREFIX, self.folder_set.changed)
        generator = random.Random(given.instance_id)
        self.follower = mirror.Follower(
            self.mirror, self.store, self.links, self._peers, generator
        )
        self.presence = members.Presence(
            self.store,
            self.member,
            self.mirror.get,
            self.roster.announce,
        )
        self.relay = relay.RelayLinks(
            self.links, self.roster.entry_peers, generator
        )
        self.metrics = metrics.Metrics()
        self._metrics_runner = None
        self._seeds = self._add_seeds()
        self._background = background.Background('node')

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
        self._background.spawn(self.follower.run_compare())
        self._background.spawn(self.presence.run())

    async def leave(self) -> None:
        """Take no new work; end what is in flight."""
        self.roster.is_leaving = True
        await self.presence.leave()

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
                lambda: self.mirror.through,
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
                lambda: len(self.roster.peers()),
            ),
            'folders': (
                'Members of the set of folders',
                lambda: len(self.folder_set.names()),
            ),
            'link_sent_bytes': (
                'Bytes sent to other instances',
                lambda: self.links.sent_bytes,
            ),
            'relayed': (
                'Messages passed on for others',
                lambda: self.relay.passed_on,
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
                self.links.set_peer(name, address)
                names.append(name)
        return names

    def _peers(self):
        return self.roster.peers() or self._seeds


class EntryNode(Node):
    """Serves callers."""

    def __init__(
        self, given: node_settings.NodeSettings, adapted: adapter.Adapter
    ):
        super().__init__(given, adapted)
        self.table: routes.RouteTable | None = None
        self.directory = discovery.Directory()
        self.quorum = quorum.Quorum(
            self.relay,
            self.folder_set.all,
            given.losses,
            given.failure_domain,
        )
        self.exchange = exchange.Exchange(adapted.form)
        self.quarantine = quarantine.Quarantine(CRASH_LIMIT)
        self.links.serve(quarantine.ReportCrash, self._on_crash)
        self.serving = serving.Serving(
            serving.Context(
                table=lambda: self.table,
                directory=self.directory,
                balancer=balance.Balancer(given.failure_domain),
                exchange=self.exchange,
                quorum=self.quorum,
                form=adapted.form,
                clock=time.monotonic,
                wall_clock=time.time,
                quarantine=self.quarantine,
                report_crash=self._report_crash,
                record_latency=self.metrics.histogram(
                    'balsamdale_request_seconds',
                    'Time from a request to the end of its answer',
                    LATENCY_BOUNDS_S,
                ),
            )
        )
        self.front = front.Front(self.serving, adapted.form, routes.Limits())
        self._stop_questions = None
        self.mirror.listen(adapted.table_key, self._table_changed)
        self.mirror.listen(adapted.server_prefix, self._server_changed)

    def member(self) -> members.Member:
        return members.Member(
            instance_id=self.settings.instance_id,
            failure_domain=self.settings.failure_domain,
            link_address=self.settings.link_address,
            entry_address=self.settings.entry_address,
        )

    async def start(self) -> None:
        await self.front.listen(self.settings.entry_address)
        self._stop_questions = await self.adapter.answer_questions(
            self.settings,
            adapter.Questions(self.is_ready, self._addresses),
        )
        self._background.spawn(self._run_expiry())
        await super().start()

    def gauges(self) -> dict[str, tuple[str, metrics.Gauge]]:
        return {
            **super().gauges(),
            'requests_in_flight': (
                'Requests of callers',
                lambda: self.serving.in_flight,
            ),
            'requests_sent': (
                'Requests sent to backend servers',
                lambda: self.exchange.sent,
            ),
            'configuration_version': (
                'Version in force',
                lambda: self.table.version if self.table is not None else 0,
            ),
            'servers': (
                'Backend servers that are known',
                lambda: len(list(self.directory)),
            ),
        }

    async def leave(self) -> None:
        self.front.is_leaving = True
        await super().leave()
        loop = asyncio.get_running_loop()
        linger_end_s = loop.time() + LINGER_S
        end_s = loop.time() + self.settings.grace_s - GRACE_RESERVE_S
        while loop.time() < end_s:
            if loop.time() > linger_end_s and not self.serving.in_flight:
                return
            await asyncio.sleep(POLL_S)

    async def close(self) -> None:
        await self.front.close()
        await self._stop_questions()
        await self.exchange.close()
        await super().close()

    def is_ready(self) -> bool:
        """Tell whether callers' requests can be served."""
        is_known = self.table is not None and bool(self.folder_set.names())
        return is_known and not self.roster.is_leaving

    def _report_crash(self, report):
        for name in self.roster.entry_peers():
            self._background.spawn(self._tell(name, report))

    async def _tell(self, name, message):
        try:
            await self.links.request(name, message)
        except errors.LinkError as error:
            decisions.record('report_lost', peer=name, reason=str(error))

    async def _on_crash(self, _sender, message):
        self.quarantine.report(message.digest, message.crash_id)
        yield members.Heard()

    def _addresses(self, failure_domain):
        return registry.addresses(self.roster.entries(), failure_domain)

    def _table_changed(self, key, value):
        if key != self.adapter.table_key or value is None:
            return
        try:
            table = self.adapter.table(value)
        except errors.CheckFailed as error:
            decisions.record('configuration_unreadable', reason=str(error))
            return
        before = self.table.version if self.table is not None else 0
        if table.version <= before:
            return
        self.table = table
        decisions.record(
            'configuration_in_force',
            version=table.version,
            before=before,
            routes=len(table.routes),
        )

    def _server_changed(self, key, value):
        server_id = key.removeprefix(self.adapter.server_prefix)
        now_s = time.monotonic()
        if value is None:
            since_s = now_s - self.follower.connected_at_s
            in_doubt = not self.follower.is_connected or since_s < DOUBT_S
            self.directory.remove(server_id, now_s, in_doubt)
            return
        try:
            server = self.adapter.server(server_id, value)
        except errors.CheckFailed as error:
            decisions.record(
                'server_unreadable', server=server_id, reason=str(error)
            )
            self.directory.remove(server_id, now_s, False)
            return
        self.directory.put(server)

    async def _run_expiry(self):
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            self.directory.expire(time.monotonic())


class ArchiveNode(Node):
    """Keeps turns and accounts on its disk."""

    def __init__(
        self, given: node_settings.NodeSettings, adapted: adapter.Adapter
    ):
        super().__init__(given, adapted)
        self.archive = archive.DiskArchive(
            given.data_folder, given.is_first_start, time.time()
        )
        self.service = archive_service.ArchiveService(
            self.archive,
            self.links,
            self.relay,
            self.folder_set.names,
            given.losses,
            time.time,
        )
        self._absences = folders.Absences(given.losses)
        self._emptying: asyncio.Task | None = None
        key = adapted.emptying_key(given.instance_id)
        self.mirror.listen(key, functools.partial(self._asked_empty, key))

    def member(self) -> members.Member:
        return members.Member(
            instance_id=self.settings.instance_id,
            failure_domain=self.settings.failure_domain,
            link_address=self.settings.link_address,
            folder_id=self.archive.folder_id,
        )

    async def start(self) -> None:
        self._background.spawn(self.service.run())
        self._background.spawn(self._run_membership())
        await super().start()

    def gauges(self) -> dict[str, tuple[str, metrics.Gauge]]:
        return {
            **super().gauges(),
            'archive_whole': (
                'Whether the folder lacks nothing',
                lambda: float(self.archive.is_whole),
            ),
            'turns_kept': ('Turns kept', lambda: self.service.kept),
            'turns_opened': ('Turns opened', lambda: self.service.opened),
            'syncs': ('Syncs of the disk', lambda: self.service.syncs),
        }

    async def leave(self) -> None:
        await super().leave()
        await asyncio.sleep(ARCHIVE_LINGER_S)

    async def close(self) -> None:
        await super().close()
        await self.service.close()

    async def _run_membership(self):
        """Join the set of folders, and keep it to those that are there."""
        while not self.mirror.through:
            await asyncio.sleep(MEMBERSHIP_INTERVAL_S)
        is_first = self.settings.is_first_start
        while self._emptying is None:
            try:
                await self._step_membership(is_first)
                is_first = False
            except errors.KeyValueError as error:
                logging.info('node: the folder set cannot change: %s', error)
            await asyncio.sleep(MEMBERSHIP_INTERVAL_S)

    async def _step_membership(self, is_first):
        name = self.settings.instance_id
        names = self.folder_set.names()
        if name not in names:
            if names and not is_first:
                # Others went on without this folder, so it lacks records.
                self.archive.set_whole(False)
            await self.service.catch_up()
            folder = folders.Folder(name, self.settings.failure_domain)
            await self.store.put(folders.key_of(name), codec.encode(folder))
            return
        await self.service.catch_up()
        present = frozenset(m.instance_id for m in self.roster.archives())
        gone = self._absences.given_up(
            names, present | {name}, time.monotonic()
        )
        if gone and await self.service.repair(frozenset(gone)):
            for other in gone:
                await self.store.delete(folders.key_of(other))

    def _asked_empty(self, wanted_key, key, value):
        is_running = self._emptying is not None and not self._emptying.done()
        if key == wanted_key and value is not None and not is_running:
            self._emptying = asyncio.create_task(self._empty())

    async def _empty(self):
        """Move every record to the other archives, then say so."""
        name = self.settings.instance_id
        decisions.record('emptying_started')
        await self._answer_empty(False)
        while not await self.service.empty():
            await asyncio.sleep(EMPTYING_RETRY_S)
        await self._until_written(
            functools.partial(self.store.delete, folders.key_of(name))
        )
        self.roster.is_leaving = True
        await self.presence.leave()
        await self._answer_empty(True)
        decisions.record('emptying_done', instance=name)

    async def _answer_empty(self, is_done):
        key, value = self.adapter.emptying_answer(
            self.settings.instance_id, is_done
        )
        await self._until_written(
            functools.partial(self.store.put, key, value)
        )

    async def _until_written(self, write):
        while True:
            try:
                await write()
                return
            except errors.KeyValueError as error:
                logging.info('node: cannot write: %s', error)
                await asyncio.sleep(EMPTYING_RETRY_S)


ROLES = {'entry': EntryNode, 'archive': ArchiveNode}


def main(path: str, adapted: adapter.Adapter) -> int:
    """Run an instance until SIGTERM; return the exit status."""
    try:
        given = node_settings.load(path)
    except errors.CheckFailed as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    log = decisions.install(given.instance_id)
    asyncio.run(_run(given, adapted, log, path))
    log.flush()
    return 0


async def _run(given, adapted, log, path):
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, given, path)
    flushing = asyncio.create_task(log.run())
    running = ROLES[given.role](given, adapted)
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
    except errors.CheckFailed as error:
        decisions.record('reload_rejected', reason=str(error))
        return
    decisions.record('reloaded', is_changed=changed != given)
