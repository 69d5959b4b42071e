"""The archive role: an instance that stores turns on its disk."""

import asyncio
import functools

from balsamdale import adapter
from balsamdale import archive_service
from balsamdale import decisions
from balsamdale import disk_archive
from balsamdale import limit_service
from balsamdale import members
from balsamdale import metrics
from balsamdale import node
from balsamdale import node_settings
from balsamdale import planned_stop
from balsamdale import quota_service
from balsamdale import replica_member
from balsamdale import replica_set
from balsamdale import shutdown

__all__ = ['ArchiveNode']

# Seconds for replies in flight when the instance shuts down.
REPLY_DRAIN_S = 0.5
# Seconds between looks whether the mirror has a state to start from.
MIRROR_CHECK_INTERVAL_S = 0.25


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
        self.replica_member = replica_member.ReplicaMember(
            replica_set.Folder(settings.instance_id, settings.failure_domain),
            self.service,
            self.replica_set,
            self.store,
            self._present_archives,
            settings.losses,
            clocks.monotonic,
        )
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
            'turns_missed': (
                'Turns that were stored while this folder was away',
                lambda: self.service.transfer.missed_turns,
            ),
            'folders_unread': (
                'Folders that this one has still to read',
                lambda: len(self.service.reads.unread()),
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
        """Keep the folder in the replica set until it is to leave."""
        while not self.mirror.revision:
            await asyncio.sleep(MIRROR_CHECK_INTERVAL_S)
        await self.replica_member.run(self.settings.is_first_start)

    def _present_archives(self):
        return frozenset(
            m.instance_id for m in self.member_directory.archives()
        )

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
        await self.replica_member.leave()
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
        await replica_member.retry_write(
            functools.partial(self.store.put, key, value)
        )
