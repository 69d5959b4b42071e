"""Keeps the folder of an archive in the replica set.

The folder joins once it is in sync, the folders declared lost are removed,
and the folder leaves once its records are on the others.
"""

import asyncio
from collections import abc as collections_abc

from absl import logging

from balsamdale import archive_service
from balsamdale import codec
from balsamdale import decisions
from balsamdale import errors
from balsamdale import keyvalue
from balsamdale import replica_set

__all__ = ['ReplicaMember', 'retry_write']

# Seconds between attempts to move all records away or to write to the
# key-value service: about the time that a lost archive takes to restart.
RETRY_INTERVAL_S = 0.3
CHECK_INTERVAL_S = 0.25
# Longest time to wait for one's own write to come back.
KEY_TIMEOUT_S = 3.0


class ReplicaMember:
    """Keeps one folder in the replica set.

    Args:
        folder: the folder of this instance.
        service: serves its archive.
        folders: the replica set, as this instance knows it.
        store: the key-value service.
        present: returns the ids of the instances that serve an archive and
            are registered or reply.
        losses: folders that may be lost at once.
        clock: returns the present time in seconds; never adjusted.
    """

    def __init__(
        self,
        folder: replica_set.Folder,
        service: archive_service.ArchiveService,
        folders: replica_set.ReplicaSet,
        store: keyvalue.LeasedKeyValue,
        present: collections_abc.Callable[[], frozenset[str]],
        losses: int,
        clock: collections_abc.Callable[[], float],
    ):
        self._folder = folder
        self._service = service
        self._folders = folders
        self._store = store
        self._present = present
        self._clock = clock
        self._absence_tracker = replica_set.AbsenceTracker(losses)
        self._is_leaving = False
        self._last_wait: tuple[str, ...] = ()

    async def run(self, is_first_start: bool) -> None:
        """Join, and remove the folders declared lost, until `leave`."""
        while not self._is_leaving:
            try:
                await self.update(is_first_start)
                is_first_start = False
            except errors.KeyValueError as error:
                logging.info('node: cannot update the replica set: %s', error)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def update(self, is_first_start: bool) -> None:
        """Do once what is due.

        Raises:
            KeyValueError: the key-value service could not be used.
        """
        own_id = self._folder.instance_id
        folder_names = self._folders.names()
        if own_id not in folder_names:
            if folder_names and not is_first_start:
                # This folder lacks what the others stored without it.
                self._service.archive.set_in_sync(False)
            await self._service.catch_up()
            await self._store.put(
                replica_set.folder_key(own_id), codec.encode(self._folder)
            )
            await self._wait_for_own_key()
            return
        await self._service.catch_up()
        present = self._present() | {own_id}
        lost = self._absence_tracker.find_lost(
            folder_names, present, self._clock()
        )
        reads = self._service.reads
        reads.observe(folder_names, frozenset(lost))
        for name in reads.unread():
            round_number = reads.round
            if name in present and await self._service.read_missed(name):
                reads.record_read(name, round_number)
        for lost_name in lost:
            if not reads.confirms(lost_name):
                continue
            missing = await self._service.unconfirmed(lost_name)
            if missing:
                self._record_wait(lost_name, missing)
            else:
                await self._store.delete(replica_set.folder_key(lost_name))
                decisions.record('lost_folder_forgotten', folder=lost_name)

    async def _wait_for_own_key(self):
        """Wait until this instance sees its key, so that it joins once."""
        seen_by_s = self._clock() + KEY_TIMEOUT_S
        while self._clock() < seen_by_s:
            if self._folder.instance_id in self._folders.names():
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _record_wait(self, lost_name, missing):
        """Log which folders still lack copies, once for each change."""
        wait = (lost_name, *missing)
        if wait != self._last_wait:
            self._last_wait = wait
            decisions.record(
                'lost_folder_kept',
                folder=lost_name,
                unconfirmed=' '.join(missing),
            )

    async def leave(self) -> None:
        """Move all records to the other folders and leave the set.

        Folders that have joined meanwhile get theirs, too.
        """
        self._is_leaving = True
        while True:
            folder_names = self._folders.names()
            if (
                await self._service.decommission()
                and await self._read_names() == folder_names
            ):
                break
            await asyncio.sleep(RETRY_INTERVAL_S)
        await retry_write(self._delete_own_key)

    async def _read_names(self):
        """Return the replica set as the key-value service has it now."""
        try:
            pairs, _ = await self._store.scan(replica_set.KEY_PREFIX)
        except errors.KeyValueError as error:
            logging.info('node: cannot read the replica set: %s', error)
            return None
        return {p.key.removeprefix(replica_set.KEY_PREFIX) for p in pairs}

    async def _delete_own_key(self):
        await self._store.delete(
            replica_set.folder_key(self._folder.instance_id)
        )


async def retry_write(
    write: collections_abc.Callable[[], collections_abc.Awaitable],
) -> None:
    """Write to the key-value service until it succeeds."""
    while True:
        try:
            await write()
            return
        except errors.KeyValueError as error:
            logging.info('node: cannot write to the store: %s', error)
            await asyncio.sleep(RETRY_INTERVAL_S)
