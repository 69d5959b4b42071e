"""Access to an instance's archive for the others, over links.

A folder that lacks records pulls them from the others; a folder that is to
be emptied pushes its own to them.
"""

import asyncio
from collections import abc as collections_abc
import contextlib

from absl import logging

from balsamdale import archive
from balsamdale import archive_messages as messages
from balsamdale import background
from balsamdale import errors
from balsamdale import history
from balsamdale import link
from balsamdale import relay

__all__ = ['ArchiveService']

# Seconds between deletions of what is past its retention.
SWEEP_INTERVAL_S = 2.0
# Seconds between tries to catch up.
RETRY_S = 0.2
# Seconds for one reply of a folder that may wait for its disk.
PULL_TIMEOUT_S = 1.5
# Records in flight while a folder is emptied.
PUSH_PARALLEL = 32


class ArchiveService:
    """Serves one archive.

    Args:
        held: the archive.
        links: connections to other instances, to serve.
        senders: requests to other instances.
        members: returns the names of the instances in the set of folders.
        losses: folders that may be lost at once.
        clock: returns the present time in seconds since the Unix epoch.
    """

    def __init__(
        self,
        held: archive.Archive,
        links: link.Links,
        senders: relay.RelayLinks,
        members: collections_abc.Callable[[], frozenset[str]],
        losses: int,
        clock: collections_abc.Callable[[], float],
    ):
        self.archive = held
        self._links = senders
        self._members = members
        self._is_closed = False
        self._losses = losses
        self._clock = clock
        self._background = background.BackgroundTasks('archive')
        self._syncing: asyncio.Task | None = None
        self._waiting: asyncio.Future | None = None
        self.stored_turns = 0
        self.opened_turns = 0
        self.syncs = 0
        links.serve(messages.OpenTurn, self._on_open)
        links.serve(messages.ReadChain, self._on_read)
        links.serve(messages.KeepTurn, self._on_keep)
        links.serve(messages.SettleTurn, self._on_settle)
        links.serve(messages.PullRecords, self._on_pull)

    async def run(self) -> None:
        """Delete what is past its retention, for ever."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = self._clock()
            self.archive.expire(now_s)
            if self._syncing is None:
                self.archive.rotate(now_s)

    async def catch_up(self) -> None:
        """Pull what this folder lacks, until it can be relied on.

        Of the set, all but as many as may be lost have to answer: a record
        that this folder once acknowledged lies on one of those.
        """
        done: set[str] = set()
        while not self.archive.is_in_sync:
            members = self._members()
            others = members - {self._links.instance_id}
            for name in sorted(others - done):
                if await self._pull_all(name):
                    done.add(name)
            needed = max(1, len(members) - self._losses)
            if len(done & others) >= needed:
                await self._synced()
                self.archive.set_in_sync()
                logging.info(
                    'archive: caught up from %s', ', '.join(sorted(done))
                )
                return
            await asyncio.sleep(RETRY_S)

    async def repair(self, absent: frozenset[str]) -> bool:
        """Pull from all others, as some members are gone for good.

        Args:
            absent: the members that are gone.

        Returns:
            Whether all others could be read.
        """
        others = self._members() - absent - {self._links.instance_id}
        for name in sorted(others):
            if not await self._pull_all(name):
                return False
        await self._synced()
        return True

    async def decommission(self) -> bool:
        """Take no more records and push all to the other archives.

        Returns:
            Whether each record is acknowledged by enough of them.
        """
        self._is_closed = True
        names = self._members() - {self._links.instance_id}
        needed = min(self._losses + 1, len(names))
        if not needed:
            return False
        cursor = (0, 0)
        while True:
            records, cursor = self.archive.read(cursor)
            if not records:
                return True
            for start in range(0, len(records), PUSH_PARALLEL):
                part = records[start : start + PUSH_PARALLEL]
                counts = await asyncio.gather(
                    *(self._push(record, names) for record in part)
                )
                if min(counts) < needed:
                    return False

    async def close(self) -> None:
        """Sync and release the folder."""
        self._background.cancel()
        if self._syncing is not None:
            await self._syncing
        self.archive.close()

    async def _push(self, record, names):
        if isinstance(record, history.Turn):
            message = messages.KeepTurn(record)
        else:
            message = messages.SettleTurn(record)
        answers = await asyncio.gather(
            *(self._ask(name, message) for name in names)
        )
        return sum(answers)

    async def _ask(self, name, message):
        with contextlib.suppress(errors.LinkError):
            await self._links.request(name, message, PULL_TIMEOUT_S)
            return True
        return False

    async def _pull_all(self, name):
        cursor = (0, 0)
        while True:
            message = messages.PullRecords(*cursor)
            try:
                reply = await self._links.request(
                    name, message, PULL_TIMEOUT_S
                )
            except errors.LinkError as error:
                logging.info('archive: cannot catch up from %s', error)
                return False
            for record in (*reply.turns, *reply.entries):
                self.archive.put(record)
            if not reply.turns and not reply.entries:
                return True
            cursor = (reply.segment, reply.offset)

    def _synced(self) -> asyncio.Future:
        """Return a future that is done once all changes so far are durable.

        Changes that arrive during a sync share the next one.
        """
        if self._waiting is None:
            self._waiting = asyncio.get_running_loop().create_future()
        waiting = self._waiting
        if self._syncing is None:
            self._syncing = asyncio.create_task(self._sync())
        return waiting

    async def _sync(self):
        try:
            while self._waiting is not None:
                waiting, self._waiting = self._waiting, None
                try:
                    await self.archive.sync_without_blocking()
                except OSError as error:
                    waiting.set_exception(error)
                    background.retrieve_exception(waiting)
                    raise
                self.syncs += 1
                waiting.set_result(None)
        finally:
            self._syncing = None

    def _check_open(self):
        if self._is_closed:
            raise errors.DecommissionInProgress('the folder is being emptied')

    async def _on_open(self, _sender, message):
        self.opened_turns += 1
        if message.tokens:
            self._check_open()
            self.archive.put(
                history.Charge(
                    message.program_id,
                    message.turn_id,
                    message.tokens,
                    False,
                    message.expires_at_s,
                )
            )
            await asyncio.shield(self._synced())
        turns, missing_id = (), message.parent_id
        if message.wants_chain:
            turns, missing_id = self.archive.chain(message.parent_id)
        yield messages.TurnOpened(
            self.archive.is_in_sync,
            self.archive.account(message.program_id),
            turns,
            missing_id,
        )

    async def _on_read(self, _sender, message):
        yield messages.ChainRead(
            self.archive.is_in_sync, *self.archive.chain(message.turn_id)
        )

    async def _on_keep(self, _sender, message):
        self._check_open()
        self.stored_turns += 1
        self.archive.put(message.turn)
        await asyncio.shield(self._synced())
        yield messages.Kept(self.archive.folder_id)

    async def _on_settle(self, _sender, message):
        self._check_open()
        self.archive.put(message.entry)
        await asyncio.shield(self._synced())
        yield messages.Kept(self.archive.folder_id)

    async def _on_pull(self, _sender, message):
        records, cursor = self.archive.read((message.segment, message.offset))
        yield messages.Records(
            tuple(r for r in records if isinstance(r, history.Turn)),
            tuple(r for r in records if isinstance(r, history.Charge)),
            *cursor,
        )
