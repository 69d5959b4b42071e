"""Access to one running instance: every role, joined together."""

import asyncio
from collections import abc as collections_abc
import contextlib
import dataclasses
import random

from absl import logging

from balsamdale import backend
from balsamdale import background
from balsamdale import configuration
from balsamdale import endpoint
from balsamdale import errors
from balsamdale import forward
from balsamdale import grant
from balsamdale import heartbeat
from balsamdale import journal
from balsamdale import keyvalue
from balsamdale import link
from balsamdale import membership
from balsamdale import messages
from balsamdale import metrics
from balsamdale import owner
from balsamdale import ownership
from balsamdale import quarantine
from balsamdale import replica
from balsamdale import settings

__all__ = ['Instance', 'Dependencies']

DRAIN_S = 60.0
DRAIN_POLL_S = 0.05
REPAIR_INTERVAL_S = 1.0
SWEEP_DELAY_S = 2.0
CRASH_WINDOW_S = 10.0


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """An instance's access to the outside.

    Attributes:
        links: connections to other instances.
        store: the platform's key-value service.
        backends: requests to backend servers.
        journal: the journal on this instance's disk, or None.
        clock: returns the present time in seconds since the Unix epoch.
    """

    links: link.Links
    store: keyvalue.KeyValue
    backends: backend.Backends
    journal: journal.Journal | None
    clock: collections_abc.Callable[[], float]


class Instance:
    """An instance of the system.

    Args:
        given: the settings of this instance.
        parts: its access to the outside.
    """

    def __init__(self, given: settings.Settings, parts: Dependencies):
        self.settings = given
        self.dependencies = parts
        self.links = parts.links
        self._store = parts.store
        self._backends = parts.backends
        self._clock = parts.clock
        self._generator = random.Random(given.instance_id)
        self._beside = background.BackgroundTasks('instance')
        self._background: list[asyncio.Task] = []
        self.quarantine = quarantine.Quarantine()
        self._build()

    def _build(self):
        given = self.settings
        self.journal = self.dependencies.journal
        if self.journal is not None:
            replica.Replica(self.journal, self.links)
        self.members = membership.Membership(
            membership.Instance(
                given.instance_id,
                given.failure_domain,
                given.entry_address,
                given.link_address,
            ),
            incarnation=int(self._clock() * 1000),
            folder_id=self.journal.folder_id if self.journal else '',
            generator=self._generator,
        )
        self.relay = configuration.Relay(
            self._store, self.links, self.members, self._applied
        )
        self.heartbeat = heartbeat.Heartbeat(
            self.links,
            self._store,
            self.members,
            self.relay,
            self._changed,
            self._clock,
        )
        for peer in given.peers:
            self.heartbeat.add_instance(peer)
        self._build_owner()
        self.forwarder = forward.Forwarder(
            self.links, self.ownership, self._generator
        )
        self._serve_messages()
        self._build_metrics()

    def _build_owner(self):
        self.granter = grant.Granter(
            self.links,
            self.members,
            self._backends,
            self.relay.current_declaration,
            self._clock,
        )
        grants = grant.GrantRequester(
            self.links,
            self.members,
            self.relay.current_declaration,
            self._clock,
            self._generator,
        )
        self.owner = owner.Owner(
            owner.Context(
                backends=self._backends,
                grants=grants,
                get_declaration=self.relay.current_declaration,
                clock=self._clock,
                quarantine=self.quarantine,
                report_crash=self._report_crash,
                generator=self._generator,
            )
        )
        self.ownership = ownership.Ownership(
            self.links,
            self._store,
            self.members,
            self.owner.restore_shard,
            self.owner.stop_shard,
        )
        self.owner.ownership = self.ownership
        self.endpoint = endpoint.Endpoint(
            self.links, self.ownership, self.owner
        )

    def _serve_messages(self):
        self.links.serve(quarantine.ReportCrash, self._on_crash)
        self.links.serve(messages.TakeOver, self._on_take_over)
        self.links.serve(messages.PullOwners, self._on_pull_owners)
        self.links.serve(messages.PullCrashes, self._on_pull_crashes)

    def _build_metrics(self):
        self.metrics = metrics.Metrics()
        gauges = (
            ('programs', 'Programs held', lambda: len(self.owner.programs)),
            (
                'turns_running',
                'Turns that run',
                lambda: self.owner.running_count,
            ),
            (
                'shards',
                'Shards served',
                lambda: len(self.ownership.served_shards),
            ),
            ('calls_served', 'Calls answered', lambda: self.forwarder.served),
            (
                'configuration_revision',
                'Revision in force',
                lambda: self.relay.revision,
            ),
            (
                'programs_short_of_copies',
                'Shards with fewer than three copies',
                self._short_of_copies,
            ),
            ('link_sent_bytes', 'Sent', lambda: self.links.sent_bytes),
            (
                'link_received_bytes',
                'Received',
                lambda: self.links.received_bytes,
            ),
            ('key_value_calls', 'Calls', lambda: self._store.calls),
            ('live_instances', 'Live', lambda: len(self.members.usable())),
        )
        for name, description, read in gauges:
            self.metrics.observe(f'balsamdale_{name}', description, read)

    async def start(self) -> None:
        """Join the deployment and listen for callers."""
        self._background = [
            asyncio.create_task(self.heartbeat.poll_instance_list()),
            asyncio.create_task(self.heartbeat.run()),
            asyncio.create_task(self.relay.run()),
            asyncio.create_task(self.granter.run()),
            asyncio.create_task(self._run_repair()),
        ]
        await self.relay.wait_ready()
        await self.heartbeat.join()
        await self._pull_crashes()
        await self._restore_owners()
        logging.info('instance: %s is ready', self.settings.instance_id)

    async def leave(self) -> None:
        """Prepare a planned stop: finish what is in flight, hand over."""
        logging.info('instance: leaving')
        self.endpoint.is_leaving = True
        self.heartbeat.perform(self.members.leave())
        await self._drain()
        numbers = [held.number for held in self.ownership.served_shards]
        await self.ownership.hand_over()
        for number in numbers:
            await self._ask_take_over(number)

    async def close(self) -> None:
        """Stop all work where it stands."""
        for task in self._background:
            task.cancel()
        self._beside.cancel()
        await self.owner.close()
        await self.ownership.close()
        await self.links.close()
        await self._backends.close()
        await self._store.close()
        if self.journal is not None:
            self.journal.close()
        logging.info('instance: stopped')

    async def _drain(self):
        """Wait until no call, turn or owned queue is in use."""
        end_s = self._clock() + DRAIN_S
        while self._clock() < end_s:
            queued = sum(
                q.waiting_count + q.running_count
                for q in self.granter.queues()
            )
            if (
                not self.owner.running_count
                + self.forwarder.in_flight
                + queued
            ):
                return
            await asyncio.sleep(DRAIN_POLL_S)

    async def _restore_owners(self):
        """Learn who owns what, and take back what was this instance's."""
        try:
            numbers = await self.ownership.read_owners()
        except errors.KeyValueUnavailable:
            await self._pull_owners()
            return
        for number in numbers:
            self._beside.spawn(self._open(number))

    async def _pull_owners(self):
        for peer_id in self.members.reachable():
            with contextlib.suppress(errors.LinkError):
                reply = await self.links.request(
                    peer_id, messages.PullOwners()
                )
                for row in reply.shards:
                    self.ownership.record_owner(
                        row.shard, row.epoch, row.owner_id
                    )
                return

    async def _pull_crashes(self):
        """Learn from a peer which requests crashed backend servers."""
        for peer_id in self.members.reachable():
            with contextlib.suppress(errors.LinkError):
                reply = await self.links.request(
                    peer_id, messages.PullCrashes()
                )
                for row in reply.crashes:
                    self.quarantine.report(row.digest, row.crash_id)
                return

    async def _run_repair(self):
        while True:
            await asyncio.sleep(REPAIR_INTERVAL_S)
            await self.ownership.repair(self._clock())

    def _applied(self, revision):
        return

    def _changed(self, instance_id, status):
        if status != 'dead' or self.endpoint.is_leaving:
            return
        for number, (_, owner_id) in self.ownership.owners().items():
            mine = (
                self.ownership.preferred_owner(number)
                == self.settings.instance_id
            )
            if owner_id == instance_id and mine:
                self._beside.spawn(self._open(number))
        if self.ownership.preferred_owner(-1) == self.settings.instance_id:
            self._beside.spawn(self._sweep())

    async def _sweep(self):
        """Find shards of dead owners that no announcement told of."""
        await asyncio.sleep(SWEEP_DELAY_S)
        with contextlib.suppress(errors.KeyValueUnavailable):
            await self.ownership.read_owners()
            for number, (_, owner_id) in self.ownership.owners().items():
                if self.members.status(owner_id) == 'dead':
                    await self._ask_take_over(number)

    async def _ask_take_over(self, number):
        peer_id = self.ownership.preferred_owner(number)
        with contextlib.suppress(errors.LinkError):
            await self.links.request(peer_id, messages.TakeOver(number))

    async def _open(self, number):
        try:
            await self.ownership.open(number)
        except errors.NotOwner:
            return
        except errors.KeyValueUnavailable:
            await asyncio.sleep(REPAIR_INTERVAL_S)
            if (
                self.ownership.preferred_owner(number)
                == self.settings.instance_id
            ):
                self._beside.spawn(self._open(number))

    async def _on_take_over(self, _sender, message):
        self._beside.spawn(self._open(message.shard))
        yield messages.Ok()

    async def _on_pull_owners(self, _sender, _message):
        rows = (
            messages.ShardOpened(number, owner_id, epoch)
            for number, (
                epoch,
                owner_id,
            ) in self.ownership.owners().items()
        )
        yield messages.Owners(tuple(rows))

    def _report_crash(self, digest, server):
        """Count a crash here and on every other instance."""
        crash_id = f'{server}@{int(self._clock() / CRASH_WINDOW_S)}'
        self.quarantine.report(digest, crash_id)
        message = quarantine.ReportCrash(crash_id, digest)
        for peer_id in self.members.reachable():
            self._beside.spawn(self._tell(peer_id, message))

    async def _tell(self, peer_id, message):
        with contextlib.suppress(errors.LinkError):
            await self.links.request(peer_id, message)

    async def _on_crash(self, _sender, message):
        self.quarantine.report(message.digest, message.crash_id)
        yield messages.Ok()

    async def _on_pull_crashes(self, _sender, _message):
        rows = (
            quarantine.ReportCrash(crash_id, digest)
            for digest, crash_id in self.quarantine.reports()
        )
        yield messages.Crashes(tuple(rows))

    async def request_all(self, message: object) -> dict[str, object]:
        """Return the answer of every live instance that gives one."""
        names = [*self.members.reachable(), self.settings.instance_id]
        replies = await asyncio.gather(
            *(self._ask_one(name, message) for name in names)
        )
        pairs = zip(names, replies)
        return {name: reply for name, reply in pairs if reply is not None}

    async def _ask_one(self, name, message):
        try:
            return await self.links.request(name, message)
        except errors.LinkError:
            return None

    def _short_of_copies(self):
        return sum(
            self.ownership.count_in_sync(held.number) < ownership.REPLICA_COUNT
            for held in self.ownership.served_shards
        )
