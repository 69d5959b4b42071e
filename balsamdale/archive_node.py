"""Access to an archive: an instance that keeps turns on its disk."""

import asyncio
import functools

from absl import logging

from balsamdale import adapter
from balsamdale import archive_service
from balsamdale import codec
from balsamdale import decisions
from balsamdale import disk_archive
from balsamdale import errors
from balsamdale import members
from balsamdale import metrics
from balsamdale import node
from balsamdale import node_settings
from balsamdale import replica_set

__all__ = ['ArchiveNode']

# Seconds for replies that are under way when the instance leaves.
LINGER_S = 0.5
# Seconds between tries to empty the folder or to write to the key-value
# service, about the time that a lost archive takes to come back.
RETRY_S = 0.3
# Seconds between looks at the set of folders.
MEMBERSHIP_INTERVAL_S = 0.25


class ArchiveNode(node.Node):
    """Keeps turns and accounts on its disk."""

    def __init__(
        self,
        given: node_settings.NodeSettings,
        adapted: adapter.Adapter,
        clocks: node.Clocks,
    ):
        super().__init__(given, adapted, clocks)
        self.archive = disk_archive.DiskArchive(
            given.data_folder, given.is_first_start, self.clocks.wall()
        )
        self.service = archive_service.ArchiveService(
            self.archive,
            self.links,
            self.relay,
            self.replica_set.names,
            given.losses,
            clocks.wall,
        )
        self._absences = replica_set.AbsenceTracker(given.losses)
        self._emptying: asyncio.Task | None = None
        key = adapted.decommission_key(given.instance_id)
        self.mirror.add_listener(
            key, functools.partial(self._asked_empty, key)
        )

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
        await super().leave()
        await asyncio.sleep(LINGER_S)

    async def close(self) -> None:
        await super().close()
        await self.service.close()

    async def _run_membership(self):
        """Join the set of folders, and keep it to those that are there."""
        while not self.mirror.revision:
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
        names = self.replica_set.names()
        if name not in names:
            if names and not is_first:
                # Others went on without this folder, so it lacks records.
                self.archive.set_in_sync(False)
            await self.service.catch_up()
            folder = replica_set.Folder(name, self.settings.failure_domain)
            await self.store.put(
                replica_set.folder_key(name), codec.encode(folder)
            )
            return
        await self.service.catch_up()
        present = frozenset(
            m.instance_id for m in self.member_directory.archives()
        )
        gone = self._absences.find_lost(
            names, present | {name}, self.clocks.monotonic()
        )
        if gone and await self.service.repair(frozenset(gone)):
            for other in gone:
                await self.store.delete(replica_set.folder_key(other))

    def _asked_empty(self, wanted_key, key, value):
        is_running = self._emptying is not None and not self._emptying.done()
        if key == wanted_key and value is not None and not is_running:
            self._emptying = asyncio.create_task(self._empty())

    async def _empty(self):
        """Move every record to the other archives, then say so."""
        name = self.settings.instance_id
        decisions.record('emptying_started')
        await self._answer_empty(False)
        while not await self.service.decommission():
            await asyncio.sleep(RETRY_S)
        await self._until_written(
            functools.partial(self.store.delete, replica_set.folder_key(name))
        )
        self.member_directory.is_leaving = True
        await self.registration.leave()
        await self._answer_empty(True)
        decisions.record('emptying_done', instance=name)

    async def _answer_empty(self, is_done):
        key, value = self.adapter.decommission_status(
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
                await asyncio.sleep(RETRY_S)
