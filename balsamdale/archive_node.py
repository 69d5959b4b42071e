"""The archive role: an instance that stores turns on its disk."""

import asyncio
import functools

from absl import logging

from balsamdale import adapter
from balsamdale import archive_service
from balsamdale import codec
from balsamdale import decisions
from balsamdale import disk_archive
from balsamdale import errors
from balsamdale import limit_service
from balsamdale import members
from balsamdale import metrics
from balsamdale import node
from balsamdale import node_settings
from balsamdale import planned_stop
from balsamdale import quota_service
from balsamdale import replica_set
from balsamdale import shutdown

__all__ = ['ArchiveNode']

# Seconds for replies in flight when the instance shuts down.
REPLY_DRAIN_S = 0.5
# Seconds between attempts to move all records away or to write to the
# key-value service: about the time that a lost archive takes to restart.
RETRY_INTERVAL_S = 0.3
REPLICA_SET_CHECK_INTERVAL_S = 0.25


class ArchiveNode(node.Node):
    """Stores turns and accounts on its disk."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        platform_adapter: adapter.Adapter,
        clocks: node.Clocks,
    ):
        super().__init__(settings, platform_adapter, clocks)
        self.archive = disk_archive.DiskArchive(
            settings.data_folder, settings.is_first_start, self.clocks.wall()
        )
        self.service = archive_service.ArchiveService(
            self.archive,
            self.links,
            self.relay,
            self.replica_set.names,
            settings.losses,
            clocks.wall,
        )
        self.quota_service = quota_service.QuotaService(
            self.links,
            self._limiter_names,
            clocks.monotonic,
            settings.quota_bounds,
        )
        self.limit_service = limit_service.LimitService(
            self.links,
            self._limiter_names,
            lambda: [m.instance_id for m in self.member_directory.entries()],
            clocks.monotonic,
        )
        self._absence_tracker = replica_set.AbsenceTracker(settings.losses)
        self._decommission_task: asyncio.Task | None = None
        key = platform_adapter.decommission_key(settings.instance_id)
        self.mirror.add_listener(
            key, functools.partial(self._on_decommission_request, key)
        )

    def member(self) -> members.Member:
        return members.Member(
            instance_id=self.settings.instance_id,
            failure_domain=self.settings.failure_domain,
            link_address=self.settings.link_address,
            folder_id=self.archive.folder_id,
        )

    async def start(self) -> None:
        self._background.spawn_loop(self.service.run)
        self._background.spawn_loop(self.quota_service.run)
        self._background.spawn_loop(self._maintain_replica_set)
        await super().start()

    def gauges(self) -> dict[str, tuple[str, metrics.ReadGauge]]:
        return {
            **super().gauges(),
            **self.quota_service.gauges(),
            **self.limit_service.gauges(),
            'archive_whole': (
                'Whether the folder lacks nothing',
                lambda: float(self.archive.is_in_sync),
            ),
            'turns_kept': ('Turns kept', lambda: self.service.stored_turns),
            'turns_opened': (
                'Turns opened',
                lambda: self.service.opened_turns,
            ),
            'syncs': ('Syncs of the disk', lambda: self.service.syncs),
        }

    async def leave(self) -> None:
        loop = asyncio.get_running_loop()
        grace_s = self.settings.grace_s
        drain_s = grace_s - planned_stop.close_reserve_s(grace_s)
        drains_at_s = loop.time() + drain_s - REPLY_DRAIN_S
        # A store that does not reply must not use up the grace period.
        await shutdown.run_steps({'registration': super().leave}, drains_at_s)
        await asyncio.sleep(REPLY_DRAIN_S)

    def close_stages(self) -> tuple[dict[str, shutdown.Step], ...]:
        work, connections = super().close_stages()
        work |= {
            'limit_service': self.limit_service.close,
            'decommission': self._cancel_decommission,
        }
        return work, connections, {'archive': self.service.close}

    def _limiter_names(self):
        """Return the other archives, and this one until it leaves.

        Entries may know this archive before its mirror has its registration.
        """
        own_id = self.settings.instance_id
        names = {m.instance_id for m in self.member_directory.archives()}
        if self.member_directory.is_leaving:
            return sorted(names - {own_id})
        return sorted(names | {own_id})

    async def _maintain_replica_set(self):
        """Join the replica set, and remove the folders declared lost."""
        while not self.mirror.revision:
            await asyncio.sleep(REPLICA_SET_CHECK_INTERVAL_S)
        is_first_start = self.settings.is_first_start
        while self._decommission_task is None:
            try:
                await self._update_replica_set(is_first_start)
                is_first_start = False
            except errors.KeyValueError as error:
                logging.info('node: cannot update the replica set: %s', error)
            await asyncio.sleep(REPLICA_SET_CHECK_INTERVAL_S)

    async def _update_replica_set(self, is_first_start):
        instance_id = self.settings.instance_id
        folder_names = self.replica_set.names()
        if instance_id not in folder_names:
            if folder_names and not is_first_start:
                # This folder lacks what the others stored without it.
                self.archive.set_in_sync(False)
            await self.service.catch_up()
            folder = replica_set.Folder(
                instance_id, self.settings.failure_domain
            )
            await self.store.put(
                replica_set.folder_key(instance_id), codec.encode(folder)
            )
            return
        await self.service.catch_up()
        present = frozenset(
            m.instance_id for m in self.member_directory.archives()
        )
        lost = self._absence_tracker.find_lost(
            folder_names, present | {instance_id}, self.clocks.monotonic()
        )
        if lost and await self.service.repair(frozenset(lost)):
            for lost_name in lost:
                await self.store.delete(replica_set.folder_key(lost_name))

    def _on_decommission_request(self, requested_key, key, value):
        is_running = (
            self._decommission_task is not None
            and not self._decommission_task.done()
        )
        if key == requested_key and value is not None and not is_running:
            self._decommission_task = asyncio.create_task(self._decommission())

    async def _decommission(self):
        """Move all records to the other archives and report completion."""
        instance_id = self.settings.instance_id
        decisions.record('emptying_started')
        await self._write_decommission_status(False)
        while not await self.service.decommission():
            await asyncio.sleep(RETRY_INTERVAL_S)
        await self._retry_write(
            functools.partial(
                self.store.delete, replica_set.folder_key(instance_id)
            )
        )
        self.member_directory.is_leaving = True
        await self.registration.leave()
        await self._write_decommission_status(True)
        decisions.record('emptying_done', instance=instance_id)

    def _cancel_decommission(self):
        if self._decommission_task is not None:
            self._decommission_task.cancel()

    async def _write_decommission_status(self, is_done):
        key, value = self.adapter.decommission_status(
            self.settings.instance_id, is_done
        )
        await self._retry_write(functools.partial(self.store.put, key, value))

    async def _retry_write(self, write):
        while True:
            try:
                await write()
                return
            except errors.KeyValueError as error:
                logging.info('node: cannot write to the store: %s', error)
                await asyncio.sleep(RETRY_INTERVAL_S)
