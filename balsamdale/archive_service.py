"""Service that lets other instances read and write an archive over links.

A folder that lacks records pulls them from the others; a folder that is
being decommissioned pushes its records to them.
"""

import asyncio
from collections import abc as collections_abc
import contextlib

from absl import logging

from balsamdale import archive
from balsamdale import archive_messages as messages
from balsamdale import background
from balsamdale import copies
from balsamdale import decisions
from balsamdale import errors
from balsamdale import history
from balsamdale import link
from balsamdale import record_transfer
from balsamdale import relay

__all__ = ['ArchiveService']

# Errors of the clocks of the instances that wrote a record and that delete it,
# added to its retention: the time of day may jump by seconds.
CLOCK_ERROR_LIMIT_S = 15.0
# Seconds between deletions of expired records.
EXPIRY_INTERVAL_S = 2.0
CATCH_UP_RETRY_INTERVAL_S = 0.2
# Seconds for a reply of a peer that may first wait for its disk.
REQUEST_TIMEOUT_S = 1.5
# Gaps of chains that are read in one interval.
MAX_FILLED_GAPS = 50
# Records in flight while a folder is decommissioned.
MAX_CONCURRENT_PUSHES = 32


class ArchiveService:
    """Serves one archive.

    Args:
        local_archive: the archive of this instance.
        links: connections to peers, for serving their requests.
        relay_links: requests to peers.
        replica_set_names: returns the ids of the instances in the replica
            set.
        losses: folders that may be lost at once.
        wall_clock: returns the present time in seconds since the Unix epoch.
    """

    def __init__(
        self,
        local_archive: archive.Archive,
        links: link.Links,
        relay_links: relay.RelayLinks,
        replica_set_names: collections_abc.Callable[[], frozenset[str]],
        losses: int,
        wall_clock: collections_abc.Callable[[], float],
    ):
        self.archive = local_archive
        self._relay_links = relay_links
        self._replica_set_names = replica_set_names
        self.reads = copies.ReadTracker(relay_links.instance_id)
        self.transfer = record_transfer.RecordTransfer(
            local_archive, relay_links, self._put, losses
        )
        self._is_read_only = False
        self._is_writable = True
        self._losses = losses
        self._wall_clock = wall_clock
        self._background = background.BackgroundTasks('archive')
        self._sync_task: asyncio.Task | None = None
        self._next_sync: asyncio.Future | None = None
        self.stored_turns = 0
        self.opened_turns = 0
        self.syncs = 0
        links.serve(messages.OpenTurn, self._on_open_turn)
        links.serve(messages.ReadChain, self._on_read_chain)
        links.serve(messages.KeepTurn, self._on_keep_turn)
        links.serve(messages.KeepChainedTurn, self._on_keep_chained_turn)
        links.serve(messages.SettleTurn, self._on_settle_turn)
        links.serve(messages.PullRecords, self._on_pull_records)
        links.serve(messages.ListTurns, self._on_list_turns)
        links.serve(messages.ListCharges, self._on_list_charges)
        links.serve(messages.FetchTurns, self._on_fetch_turns)
        links.serve(messages.AskRepaired, self._on_ask_repaired)

    async def run(self) -> None:
        """Fill gaps of chains and delete expired records periodically."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            await self._fill_chains()
            now_s = self._wall_clock()
            try:
                await self._expire(now_s - CLOCK_ERROR_LIMIT_S)
                if self._sync_task is None:
                    self.archive.rotate(now_s)
            except errors.ArchiveWriteFailed as error:
                self._set_writable(False, str(error))

    async def _expire(self, now_s):
        """Delete what has expired, once what lives on is durable anew."""
        if self.archive.carry_over(now_s):
            await self._sync_all()
        self.archive.expire(now_s)

    async def catch_up(self) -> None:
        """Pull the records that this folder lacks until it is in sync.

        What counts as enough is decided by `copies.is_caught_up`.
        """
        own_id = self._relay_links.instance_id
        read: set[str] = set()
        whole: set[str] = set()
        while not self.archive.is_in_sync:
            folder_names = self._replica_set_names()
            for name in sorted(folder_names - {own_id} - whole):
                is_whole = await self.transfer.read(name, _needs_all)
                if is_whole is not None:
                    read.add(name)
                if is_whole:
                    whole.add(name)
            if copies.is_caught_up(
                folder_names, own_id, whole, read, self._losses
            ):
                await self._sync_all()
                self.archive.set_in_sync()
                logging.info(
                    'archive: caught up from %s', ', '.join(sorted(read))
                )
                return
            await asyncio.sleep(CATCH_UP_RETRY_INTERVAL_S)

    async def read_missed(self, name: str) -> bool:
        """Read from another folder the records that this one must hold.

        Those are the records of the programs that it is a replica of, among
        the folders that are not lost, and the chains of their turns.

        Returns:
            Whether the folder was read to its end.
        """
        needs = copies.Needs(
            self._relay_links.instance_id,
            self.reads.remaining(),
            self._losses,
        )
        if await self.transfer.read(name, needs) is None:
            return False
        await self._sync_all()
        return await self._fill_chains()

    async def unconfirmed(self, lost_name: str) -> list[str]:
        """Return the folders without which a lost one's key may not go.

        They have not read all others yet, or do not reply.
        """
        names = self.reads.remaining() - {self._relay_links.instance_id}
        replies = await asyncio.gather(
            *(self._is_repaired(name, lost_name) for name in names)
        )
        confirmed = {n for n, r in zip(names, replies, strict=True) if r}
        if self.reads.may_forget(lost_name, confirmed):
            return []
        return sorted(names - confirmed) or [self._relay_links.instance_id]

    async def _is_repaired(self, name, lost_name):
        # An older build knows no such question, and deletes the key by itself
        # once it has read the others.
        with contextlib.suppress(errors.LinkError):
            reply = await self._relay_links.request(
                name, messages.AskRepaired(lost_name), REQUEST_TIMEOUT_S
            )
            return reply.is_repaired
        return False

    async def _fill_chains(self):
        """Read the turns of chains that this folder lacks.

        Entries of older builds do not send them, and a folder that has read
        a turn of another program lacks those before it.

        Returns:
            Whether all that was asked for is here or on no other folder.
        """
        missing_ids = self.archive.missing_ids(self._wall_clock())
        peer_names = sorted(self._peer_names() & self.reads.remaining())
        have_replied = True
        # The newest first: those that no folder has any more stay missing.
        for turn_id in missing_ids[: -MAX_FILLED_GAPS - 1 : -1]:
            for name in list(peer_names):
                if self.archive.holds(turn_id):
                    break
                if not await self.transfer.read_chain(name, turn_id):
                    peer_names.remove(name)
                    have_replied = False
        if missing_ids:
            await self._sync_all()
        return have_replied

    def _peer_names(self):
        return self._replica_set_names() - {self._relay_links.instance_id}

    async def decommission(self) -> bool:
        """Become read-only and push all records to the other archives.

        A folder that lacks records catches up first, as they may be on no
        other that could hold them alone.

        Returns:
            Whether enough of them acknowledged each record.
        """
        self._is_read_only = True
        await self.catch_up()
        peer_names = self._peer_names()
        if not peer_names:
            return False
        required_count = min(self._losses + 1, len(peer_names))
        cursor = (0, 0)
        while True:
            records, cursor = self.archive.read(cursor)
            if not records:
                return True
            for start in range(0, len(records), MAX_CONCURRENT_PUSHES):
                batch = records[start : start + MAX_CONCURRENT_PUSHES]
                acknowledgement_counts = await asyncio.gather(
                    *(
                        self.transfer.push(record, peer_names)
                        for record in batch
                    )
                )
                if min(acknowledgement_counts) < required_count:
                    return False

    async def close(self) -> None:
        """Sync and release the folder."""
        self._background.cancel()
        # The disk may take long, so it is not waited for in the event loop.
        await self._sync_all()
        self.archive.close()

    async def _sync_all(self):
        """Wait until all changes so far are durable.

        The future is shared, so a waiter that is cancelled leaves it alone.

        Raises:
            ArchiveWriteFailed: some may not be.
        """
        await asyncio.shield(self._request_sync())

    def _request_sync(self) -> asyncio.Future:
        """Return a future that is done once all changes so far are durable.

        Changes that arrive during a sync share the next sync.
        """
        if self._next_sync is None:
            self._next_sync = asyncio.get_running_loop().create_future()
        sync_done = self._next_sync
        if self._sync_task is None:
            self._sync_task = asyncio.create_task(self._sync())
        return sync_done

    async def _sync(self):
        try:
            while self._next_sync is not None:
                sync_done, self._next_sync = self._next_sync, None
                try:
                    await self.archive.sync_without_blocking()
                except errors.ArchiveWriteFailed as error:
                    self._set_writable(False, str(error))
                    sync_done.set_exception(error)
                    background.retrieve_exception(sync_done)
                    continue
                self._set_writable(True)
                self.syncs += 1
                sync_done.set_result(None)
        finally:
            self._sync_task = None

    def _check_writable(self):
        if self._is_read_only:
            raise errors.ArchiveClosed('the folder is being emptied')

    def _set_writable(self, is_writable, reason=''):
        """Log when the disk begins or ceases to refuse writes."""
        if is_writable != self._is_writable:
            self._is_writable = is_writable
            decisions.record(
                'disk_regained' if is_writable else 'disk_failed',
                reason=reason,
            )

    def _put(self, record):
        """Add a record; return whether it was new."""
        try:
            return self.archive.put(record)
        except errors.ArchiveWriteFailed as error:
            self._set_writable(False, str(error))
            raise

    async def _on_open_turn(self, _sender, message):
        self.opened_turns += 1
        if message.tokens:
            self._check_writable()
            self._put(
                history.Charge(
                    message.program_id,
                    message.turn_id,
                    message.tokens,
                    False,
                    message.expires_at_s,
                )
            )
            await self._sync_all()
        turns, missing_id = (), message.parent_id
        if message.wants_chain:
            turns, missing_id = self.archive.chain(message.parent_id)
        yield messages.TurnOpened(
            self.archive.is_in_sync,
            self.archive.account(message.program_id),
            turns,
            missing_id,
        )

    async def _on_read_chain(self, _sender, message):
        yield messages.ChainRead(
            self.archive.is_in_sync, *self.archive.chain(message.turn_id)
        )

    async def _on_keep_turn(self, _sender, message):
        await self._keep(message.turn)
        yield messages.Kept(self.archive.folder_id)

    async def _on_keep_chained_turn(self, _sender, message):
        missing_id = await self._keep(message.turn)
        yield messages.ChainedTurnKept(self.archive.folder_id, missing_id)

    async def _keep(self, turn):
        """Store a turn; return what its chain lacked before the sync."""
        self._check_writable()
        self.stored_turns += 1
        self._put(turn)
        missing_id = self.archive.missing_ancestor(turn.turn_id)
        await self._sync_all()
        return missing_id

    async def _on_settle_turn(self, _sender, message):
        self._check_writable()
        self._put(message.entry)
        await self._sync_all()
        yield messages.Kept(self.archive.folder_id)

    async def _on_list_turns(self, _sender, message):
        names, next_segment = self.archive.list_turns(message.segment)
        yield messages.TurnsListed(
            self.archive.is_in_sync,
            tuple(messages.TurnName(*name) for name in names),
            next_segment,
        )

    async def _on_list_charges(self, _sender, message):
        yield messages.ChargesListed(
            self.archive.is_in_sync,
            self.archive.list_charges(message.program_id),
        )

    async def _on_fetch_turns(self, _sender, message):
        turns, count, size_bytes = [], 0, 0
        for turn_id in message.turn_ids:
            if size_bytes > archive.PULL_BATCH_BYTES:
                break
            count += 1
            turn = self.archive.find(turn_id)
            if turn is not None:
                turns.append(turn)
                size_bytes += len(turn.input) + len(turn.output)
        yield messages.TurnsFetched(tuple(turns), count)

    async def _on_ask_repaired(self, _sender, message):
        yield messages.Repaired(
            not self.archive.is_in_sync or self.reads.confirms(message.lost_id)
        )

    async def _on_pull_records(self, _sender, message):
        records, cursor = self.archive.read((message.segment, message.offset))
        yield messages.Records(
            tuple(r for r in records if isinstance(r, history.Turn)),
            tuple(r for r in records if isinstance(r, history.Charge)),
            *cursor,
        )


def _needs_all(_program_id):
    return True
