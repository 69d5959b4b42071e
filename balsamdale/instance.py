"""An instance that runs programs: builds its parts and connects them."""

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

__all__ = ['Dependencies', 'Instance']

DRAIN_TIMEOUT_S = 60.0
DRAIN_POLL_INTERVAL_S = 0.05
REPAIR_INTERVAL_S = 1.0
ORPHAN_SCAN_DELAY_S = 2.0
CRASH_ID_WINDOW_S = 10.0


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Connections, storage and clock of an instance.

    Attributes:
        links: connections to peers.
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
    """An instance that runs programs.

    Args:
        instance_settings: the settings of this instance.
        dependencies: its connections, storage and clock.
    """

    def __init__(
        self, instance_settings: settings.Settings, dependencies: Dependencies
    ):
        self.settings = instance_settings
        self.dependencies = dependencies
        self.links = dependencies.links
        self._store = dependencies.store
        self._backends = dependencies.backends
        self._clock = dependencies.clock
        self._generator = random.Random(instance_settings.instance_id)
        self._background = background.BackgroundTasks('instance')
        self._tasks: list[asyncio.Task] = []
        self.quarantine = quarantine.Quarantine()
        self._build_roles()

    def _build_roles(self):
        instance_settings = self.settings
        self.journal = self.dependencies.journal
        if self.journal is not None:
            replica.Replica(self.journal, self.links)
        self.members = membership.Membership(
            membership.Instance(
                instance_settings.instance_id,
                instance_settings.failure_domain,
                instance_settings.entry_address,
                instance_settings.link_address,
            ),
            incarnation=int(self._clock() * 1000),
            folder_id=self.journal.folder_id if self.journal else '',
            generator=self._generator,
        )
        self.relay = configuration.Relay(
            self._store,
            self.links,
            self.members,
            self._on_configuration_applied,
        )
        self.heartbeat = heartbeat.Heartbeat(
            self.links,
            self._store,
            self.members,
            self.relay,
            self._on_member_changed,
            self._clock,
        )
        for peer in instance_settings.peers:
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
        self.links.serve(quarantine.ReportCrash, self._on_crash_reported)
        self.links.serve(messages.TakeOver, self._on_take_over)
        self.links.serve(messages.PullOwners, self._on_pull_owners)
        self.links.serve(messages.PullCrashes, self._on_pull_crashes)

    def _build_metrics(self):
        self.metrics = metrics.Metrics()
        gauges = (
            (
                'programs',
                'Programs held',
                lambda: len(self.owner.programs),
            ),
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
            (
                'calls_served',
                'Calls answered',
                lambda: self.forwarder.served,
            ),
            (
                'configuration_revision',
                'Revision in force',
                lambda: self.relay.revision,
            ),
            (
                'programs_short_of_copies',
                'Shards with fewer than three copies',
                self._count_under_replicated,
            ),
            (
                'link_sent_bytes',
                'Sent',
                lambda: self.links.sent_bytes,
            ),
            (
                'link_received_bytes',
                'Received',
                lambda: self.links.received_bytes,
            ),
            (
                'key_value_calls',
                'Calls',
                lambda: self._store.calls,
            ),
            (
                'live_instances',
                'Live',
                lambda: len(self.members.usable()),
            ),
        )
        for name, description, read in gauges:
            self.metrics.add_gauge(f'balsamdale_{name}', description, read)

    async def start(self) -> None:
        """Start the background tasks and join the deployment."""
        self._tasks = [
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
        """Prepare a planned stop: finish work in flight, hand shards over."""
        logging.info('instance: leaving')
        self.endpoint.is_leaving = True
        self.heartbeat.perform(self.members.leave())
        await self._drain()
        numbers = [
            own_shard.number for own_shard in self.ownership.served_shards
        ]
        await self.ownership.hand_over()
        for number in numbers:
            await self._request_take_over(number)

    async def close(self) -> None:
        """Stop at once, without finishing work in flight."""
        for task in self._tasks:
            task.cancel()
        self._background.cancel()
        await self.owner.close()
        await self.ownership.close()
        await self.links.close()
        await self._backends.close()
        await self._store.close()
        if self.journal is not None:
            self.journal.close()
        logging.info('instance: stopped')

    async def _drain(self):
        """Wait until no call, turn or queued request is left.

        It gives up after `DRAIN_TIMEOUT_S`.
        """
        deadline_s = self._clock() + DRAIN_TIMEOUT_S
        while self._clock() < deadline_s:
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
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def _restore_owners(self):
        """Read the owners of all shards and reopen this instance's own."""
        try:
            numbers = await self.ownership.read_owners()
        except errors.KeyValueUnavailable:
            await self._pull_owners()
            return
        for number in numbers:
            self._background.spawn(self._open_shard(number))

    async def _pull_owners(self):
        for peer_id in self.members.reachable():
            with contextlib.suppress(errors.LinkError):
                reply = await self.links.request(
                    peer_id, messages.PullOwners()
                )
                for opened in reply.shards:
                    self.ownership.record_owner(
                        opened.shard, opened.epoch, opened.owner_id
                    )
                return

    async def _pull_crashes(self):
        """Fetch from a peer which requests crashed backend servers."""
        for peer_id in self.members.reachable():
            with contextlib.suppress(errors.LinkError):
                reply = await self.links.request(
                    peer_id, messages.PullCrashes()
                )
                for crash in reply.crashes:
                    self.quarantine.report(
                        crash.digest, crash.crash_id, self._clock()
                    )
                return

    async def _run_repair(self):
        while True:
            await asyncio.sleep(REPAIR_INTERVAL_S)
            await self.ownership.repair(self._clock())

    def _on_configuration_applied(self, revision):
        return

    def _on_member_changed(self, instance_id, status):
        if status != 'dead' or self.endpoint.is_leaving:
            return
        for number, (_, owner_id) in self.ownership.owners().items():
            is_preferred = (
                self.ownership.preferred_owner(number)
                == self.settings.instance_id
            )
            if owner_id == instance_id and is_preferred:
                self._background.spawn(self._open_shard(number))
        if self.ownership.preferred_owner(-1) == self.settings.instance_id:
            self._background.spawn(self._take_over_orphans())

    async def _take_over_orphans(self):
        """Request takeover of dead owners' shards that were not announced."""
        await asyncio.sleep(ORPHAN_SCAN_DELAY_S)
        with contextlib.suppress(errors.KeyValueUnavailable):
            await self.ownership.read_owners()
            for number, (_, owner_id) in self.ownership.owners().items():
                if self.members.status(owner_id) == 'dead':
                    await self._request_take_over(number)

    async def _request_take_over(self, number):
        peer_id = self.ownership.preferred_owner(number)
        with contextlib.suppress(errors.LinkError):
            await self.links.request(peer_id, messages.TakeOver(number))

    async def _open_shard(self, number):
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
                self._background.spawn(self._open_shard(number))

    async def _on_take_over(self, _sender, message):
        self._background.spawn(self._open_shard(message.shard))
        yield messages.Ok()

    async def _on_pull_owners(self, _sender, _message):
        owners = (
            messages.ShardOpened(number, owner_id, epoch)
            for number, (epoch, owner_id) in self.ownership.owners().items()
        )
        yield messages.Owners(tuple(owners))

    def _report_crash(self, digest, server):
        """Record a crash here and on every peer.

        Crashes of a server in the same window of `CRASH_ID_WINDOW_S` share an
        id.
        """
        crash_id = f'{server}@{int(self._clock() / CRASH_ID_WINDOW_S)}'
        self.quarantine.report(digest, crash_id, self._clock())
        message = quarantine.ReportCrash(crash_id, digest)
        for peer_id in self.members.reachable():
            self._background.spawn(self._notify(peer_id, message))

    async def _notify(self, peer_id, message):
        with contextlib.suppress(errors.LinkError):
            await self.links.request(peer_id, message)

    async def _on_crash_reported(self, _sender, message):
        self.quarantine.report(message.digest, message.crash_id, self._clock())
        yield messages.Ok()

    async def _on_pull_crashes(self, _sender, _message):
        crashes = (
            quarantine.ReportCrash(crash_id, digest)
            for digest, crash_id in self.quarantine.reports()
        )
        yield messages.Crashes(tuple(crashes))

    async def request_all(self, message: object) -> dict[str, object]:
        """Return the reply of every live instance that sends one."""
        instance_ids = [*self.members.reachable(), self.settings.instance_id]
        replies = await asyncio.gather(
            *(
                self._request_one(instance_id, message)
                for instance_id in instance_ids
            )
        )
        pairs = zip(instance_ids, replies)
        return {
            instance_id: reply
            for instance_id, reply in pairs
            if reply is not None
        }

    async def _request_one(self, instance_id, message):
        try:
            return await self.links.request(instance_id, message)
        except errors.LinkError:
            return None

    def _count_under_replicated(self):
        return sum(
            self.ownership.count_in_sync(own_shard.number)
            < ownership.REPLICA_COUNT
            for own_shard in self.ownership.served_shards
        )
