"""Access to this instance's journal for the owners of shards.

Changes that arrive together share one sync.
"""

import asyncio

from balsamdale import errors
from balsamdale import journal
from balsamdale import link
from balsamdale import messages

__all__ = ['Replica']


class Replica:
    """Answers journal messages.

    Args:
        store: the journal of this instance.
        links: where the messages come from.
    """

    def __init__(self, store: journal.Journal, links: link.Links):
        self.store = store
        self._synced: asyncio.Future | None = None
        links.serve(messages.Seal, self._seal)
        links.serve(messages.ReadLog, self._read)
        links.serve(messages.AppendEntries, self._append)
        links.serve(messages.DropLog, self._drop)

    async def _seal(self, _sender, message):
        outcome = 'ok'
        if message.folder_id != self.store.folder_id:
            outcome = 'wrong_folder'
        else:
            try:
                self.store.seal(message.shard, message.epoch)
            except errors.StaleEpoch:
                outcome = 'stale'
            await self._sync()
        yield messages.SealReply(outcome, self.store.state(message.shard))

    async def _read(self, _sender, message):
        entries = ()
        if message.folder_id == self.store.folder_id:
            entries = self.store.read(message.shard, message.sequence)
        yield messages.LogPart(entries)

    async def _append(self, _sender, message):
        if message.folder_id != self.store.folder_id:
            yield messages.AppendReply('wrong_folder', 0)
            return
        try:
            length = self.store.append(
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

    async def _drop(self, _sender, message):
        if message.folder_id == self.store.folder_id:
            self.store.remove(message.shard, message.epoch)
            await self._sync()
        yield messages.Ok()

    async def _sync(self):
        """Wait for a sync that covers every change made before."""
        if self._synced is None:
            loop = asyncio.get_running_loop()
            self._synced = loop.create_future()
            loop.call_soon(self._sync_now)
        await asyncio.shield(self._synced)

    def _sync_now(self):
        synced, self._synced = self._synced, None
        try:
            self.store.sync()
        except OSError as error:
            synced.set_exception(error)
        else:
            synced.set_result(None)
