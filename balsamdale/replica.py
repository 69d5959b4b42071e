"""Replica of shards: serves this instance's journal to their owners.

Changes that arrive in one pass of the event loop share one sync.
"""

import asyncio

from balsamdale import errors
from balsamdale import journal
from balsamdale import link
from balsamdale import messages

__all__ = ['Replica']


class Replica:
    """Handles journal messages.

    Args:
        own_journal: the journal of this instance.
        links: connections to the owners.
    """

    def __init__(self, own_journal: journal.Journal, links: link.Links):
        self._journal = own_journal
        self._sync_done: asyncio.Future | None = None
        links.serve(messages.Seal, self._seal)
        links.serve(messages.ReadLog, self._read)
        links.serve(messages.AppendEntries, self._append)
        links.serve(messages.DropLog, self._remove)

    async def _seal(self, _sender, message):
        outcome = 'ok'
        if message.folder_id != self._journal.folder_id:
            outcome = 'wrong_folder'
        else:
            try:
                self._journal.seal(message.shard, message.epoch)
            except errors.StaleEpoch:
                outcome = 'stale'
            await self._sync()
        yield messages.SealReply(outcome, self._journal.state(message.shard))

    async def _read(self, _sender, message):
        entries = ()
        if message.folder_id == self._journal.folder_id:
            entries = self._journal.read(message.shard, message.sequence)
        yield messages.LogPart(entries)

    async def _append(self, _sender, message):
        if message.folder_id != self._journal.folder_id:
            yield messages.AppendReply('wrong_folder', 0)
            return
        try:
            length = self._journal.append(
                message.shard, message.epoch, message.entries
            )
        except errors.StaleEpoch as error:
            yield messages.AppendReply('stale', error.held_epoch)
            return
        except errors.JournalGap as error:
            yield messages.AppendReply('gap', error.length)
            return
        await self._sync()
        yield messages.AppendReply('ok', length)

    async def _remove(self, _sender, message):
        if message.folder_id == self._journal.folder_id:
            self._journal.remove(message.shard, message.epoch)
            await self._sync()
        yield messages.Ok()

    async def _sync(self):
        """Wait for a sync that covers every change made so far."""
        if self._sync_done is None:
            loop = asyncio.get_running_loop()
            self._sync_done = loop.create_future()
            loop.call_soon(self._sync_now)
        await asyncio.shield(self._sync_done)

    def _sync_now(self):
        sync_done, self._sync_done = self._sync_done, None
        try:
            self._journal.sync()
        except OSError as error:
            sync_done.set_exception(error)
        else:
            sync_done.set_result(None)
