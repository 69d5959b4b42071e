"""Copies records between the folder of this instance and other folders.

What a folder must hold is decided in `copies`; this module asks the others
for it, and stores records in them when the folder is emptied.
"""

import asyncio
from collections import abc as collections_abc
import contextlib

from absl import logging

from balsamdale import archive
from balsamdale import archive_messages as messages
from balsamdale import copies
from balsamdale import decisions
from balsamdale import errors
from balsamdale import history
from balsamdale import relay

__all__ = ['RecordTransfer']

# Seconds for a reply of a peer that may first wait for its disk.
REQUEST_TIMEOUT_S = 1.5
# Turns that are asked for at once; a reply may have fewer.
MAX_FETCHED_TURNS = 200
# Errors of peers whose build does not know a message.
NOT_UNDERSTOOD = (errors.RemoteError, errors.UnknownMessage)


class RecordTransfer:
    """Copies records from and to other folders.

    Args:
        local_archive: the archive of this instance.
        relay_links: requests to peers.
        put: adds a record to the archive; returns whether it was new.
        losses: folders that may be lost at once.

    Attributes:
        missed_turns: turns that were read from other folders.
    """

    def __init__(
        self,
        local_archive: archive.Archive,
        relay_links: relay.RelayLinks,
        put: collections_abc.Callable[[archive.Record], bool],
        losses: int,
    ):
        self._archive = local_archive
        self._relay_links = relay_links
        self._put = put
        self._losses = losses
        self.missed_turns = 0

    async def read(
        self, name: str, needs: collections_abc.Callable[[str], bool]
    ) -> bool | None:
        """Add the records of a folder that this one needs and lacks.

        They are not synced yet.

        Args:
            name: instance that serves the folder.
            needs: returns whether the records of a program are needed.

        Returns:
            Whether the folder is in sync; None if it was not read to its end.
        """
        try:
            return await self._read_listed(name, needs)
        except NOT_UNDERSTOOD as error:
            logging.info('archive: %s is of an older build: %s', name, error)
        except (errors.LinkError, errors.ArchiveWriteFailed) as error:
            logging.info('archive: cannot read %s: %s', name, error)
            return None
        # An older build lists nothing, nor does it tell if it is in sync.
        return True if await self._pull_records(name, needs) else None

    async def _read_listed(self, name, needs):
        is_whole, turn_count, charge_count = True, 0, 0
        segment = -1
        while segment:
            listed = await self._relay_links.request(
                name, messages.ListTurns(max(segment, 0)), REQUEST_TIMEOUT_S
            )
            turn_count += await self._fetch(
                name,
                [
                    turn.turn_id
                    for turn in listed.turns
                    if not self._archive.holds(turn.turn_id)
                    and needs(turn.program_id)
                ],
            )
            is_whole = is_whole and listed.is_whole
            segment = listed.next_segment
        program_id = ''
        while True:
            listed = await self._relay_links.request(
                name, messages.ListCharges(program_id), REQUEST_TIMEOUT_S
            )
            is_whole = is_whole and listed.is_whole
            if not listed.charges:
                break
            program_id = listed.charges[-1].program_id
            for charge in listed.charges:
                if needs(charge.program_id):
                    charge_count += self._put(charge)
        if turn_count or charge_count:
            decisions.record(
                'missed_records_read',
                folder=name,
                turns=turn_count,
                charges=charge_count,
            )
            self.missed_turns += turn_count
        return is_whole

    async def _fetch(self, name, turn_ids):
        """Add turns of a folder; return how many were new."""
        added_count = 0
        while turn_ids:
            reply = await self._relay_links.request(
                name,
                messages.FetchTurns(tuple(turn_ids[:MAX_FETCHED_TURNS])),
                REQUEST_TIMEOUT_S,
            )
            for turn in reply.turns:
                added_count += self._put(turn)
            turn_ids = turn_ids[max(1, reply.count) :]
        return added_count

    async def _pull_records(self, name, needs):
        cursor = (0, 0)
        while True:
            message = messages.PullRecords(*cursor)
            try:
                reply = await self._relay_links.request(
                    name, message, REQUEST_TIMEOUT_S
                )
            except errors.LinkError as error:
                logging.info('archive: cannot catch up from %s', error)
                return False
            try:
                for record in (*reply.turns, *reply.entries):
                    if needs(record.program_id):
                        self._put(record)
            except errors.ArchiveWriteFailed:
                return False
            if not reply.turns and not reply.entries:
                return True
            cursor = (reply.segment, reply.offset)

    async def read_chain(self, name: str, turn_id: str) -> bool:
        """Add what a folder has of a chain; return whether it replied."""
        try:
            reply = await self._relay_links.request(
                name, messages.ReadChain(turn_id), REQUEST_TIMEOUT_S
            )
            for turn in reply.turns:
                self.missed_turns += self._put(turn)
        except (errors.LinkError, errors.ArchiveWriteFailed) as error:
            logging.info('archive: cannot read a chain: %s', error)
            return False
        return True

    async def push(
        self, record: archive.Record, peer_names: frozenset[str]
    ) -> int:
        """Store a record in the folders that must hold it without this one.

        Returns:
            How many of them have it, with all that this folder has of its
            chain.
        """
        names = copies.replicas(record.program_id, peer_names, self._losses)
        acknowledgements = await asyncio.gather(
            *(self._push_to(name, record) for name in names)
        )
        return sum(acknowledgements)

    async def _push_to(self, name, record):
        with contextlib.suppress(errors.LinkError):
            if not isinstance(record, history.Turn):
                message = messages.SettleTurn(record)
                await self._relay_links.request(
                    name, message, REQUEST_TIMEOUT_S
                )
                return True
            missing_id = await self._push_turn(name, record)
            return not missing_id or not self._archive.holds(missing_id)
        return False

    async def _push_turn(self, name, turn):
        """Store a turn in another folder; return what its chain lacks."""
        try:
            reply = await self._relay_links.request(
                name, messages.KeepChainedTurn(turn), REQUEST_TIMEOUT_S
            )
        except NOT_UNDERSTOOD:
            await self._relay_links.request(
                name, messages.KeepTurn(turn), REQUEST_TIMEOUT_S
            )
            return ''
        if reply.missing_id and self._archive.holds(reply.missing_id):
            # The next of the chain may be missing, too, or on its way.
            await self._push_turn(name, self._archive.find(reply.missing_id))
            return await self._push_turn(name, turn)
        return reply.missing_id
