"""Access to the shards that this instance owns, and to who owns the rest.

Performs the effects of `shard.Shard`: writes to the key-value service, and
messages to journals.
"""

import asyncio
from collections import abc as collections_abc
import functools
import uuid

from absl import logging

from balsamdale import background
from balsamdale import codec
from balsamdale import errors
from balsamdale import keyvalue
from balsamdale import link
from balsamdale import membership
from balsamdale import messages
from balsamdale import placement
from balsamdale import shard

__all__ = ['JOURNAL_RETRY_AFTER_S', 'Ownership']

OPEN_TIMEOUT_S = 6.0
RETRY_S = 0.2
REPLACE_AFTER_S = 5.0
REPLICA_COUNT = 3
JOURNAL_RETRY_AFTER_S = 3.0


class Ownership:
    """Claims shards, replicates their logs and repairs lost copies.

    Args:
        links: connections to other instances.
        store: the platform's key-value service.
        members: the live instances.
        opened: called with a shard once its log may be read.
        lost: called with a shard number once another owner has it.
    """

    def __init__(
        self,
        links: link.Links,
        store: keyvalue.KeyValue,
        members: membership.Membership,
        opened: collections_abc.Callable[[shard.Shard], None],
        lost: collections_abc.Callable[[int], None],
    ):
        self._links = links
        self._store = store
        self._members = members
        self._opened = opened
        self._lost = lost
        self._shards: dict[int, shard.Shard] = {}
        self._opening: dict[int, asyncio.Future] = {}
        self._commits: dict[int, list[tuple[int, asyncio.Future]]] = {}
        self._background = background.Background('ownership')
        self._owners: dict[int, tuple[int, str]] = {}
        self._moves: dict[int, list[tuple[str, asyncio.Future]]] = {}
        self._missing_since_s: dict[str, float] = {}
        links.serve(messages.ShardOpened, self._on_opened)

    @property
    def served_shards(self) -> list[shard.Shard]:
        """Shards that this instance serves."""
        return [s for s in self._shards.values() if s.can_serve]

    def known_owner(self, number: int) -> str:
        """Return the last known owner of a shard, or an empty string."""
        return self._owners.get(number, (0, ''))[1]

    def owners(self) -> dict[int, tuple[int, str]]:
        """Return every known owner with its epoch, by shard."""
        return dict(self._owners)

    def record_owner(self, number: int, epoch: int, owner_id: str) -> None:
        """Remember the owner of a shard unless a later one is known."""
        if epoch >= self._owners.get(number, (0, ''))[0]:
            self._owners[number] = (epoch, owner_id)
            self._wake(number, owner_id)

    def wait_for_owner_change(
        self, number: int, owner_id: str
    ) -> asyncio.Future:
        """Return a future that is done once another owner is known."""
        future = asyncio.get_running_loop().create_future()
        self._moves.setdefault(number, []).append((owner_id, future))
        future.add_done_callback(lambda done: self._drop_move(number, done))
        return future

    def _wake(self, number, owner_id):
        for expected, future in list(self._moves.get(number, ())):
            if owner_id and owner_id != expected and not future.done():
                future.set_result(None)

    def _drop_move(self, number, done):
        rows = self._moves.get(number, [])
        rows[:] = [row for row in rows if row[1] is not done]
        if not rows:
            self._moves.pop(number, None)

    def remove_owner(self, number: int) -> None:
        """Forget an owner that no longer has the shard."""
        self._owners.pop(number, None)

    async def read_owners(self) -> list[int]:
        """Learn every owner from the key-value service.

        Returns:
            The shards that are this instance's by their key.

        Raises:
            KeyValueUnavailable: the service is down.
        """
        pairs, _ = await self._store.scan(placement.SHARD_KEY_PREFIX)
        own = []
        for pair in pairs:
            held = codec.decode(pair.value)
            self.record_owner(held.shard, held.epoch, held.owner_id)
            if held.owner_id == self._members.own_id:
                own.append(held.shard)
        return own

    async def find_owner(self, number: int) -> str:
        """Return the instance that should be asked about a shard.

        Raises:
            KeyValueUnavailable: no owner is known and the service is down.
        """
        owner_id = self.known_owner(number)
        if owner_id and self._members.status(owner_id) != 'dead':
            return owner_id
        pair = await self._store.get(placement.key_of(number))
        if pair is not None:
            held = codec.decode(pair.value)
            self.record_owner(number, held.epoch, held.owner_id)
            if self._members.status(held.owner_id) in ('alive', 'leaving'):
                return held.owner_id
        return self.preferred_owner(number)

    def preferred_owner(self, number: int) -> str:
        """Return the live instance that should take a shard over."""
        names = [i.instance_id for i in self._members.usable()]
        ranked = placement.rank(f'shard-{number}', names)
        return ranked[0] if ranked else ''

    async def open(self, number: int) -> shard.Shard:
        """Return a shard that this instance serves; claim it if needed.

        Raises:
            NotOwner: another live instance owns the shard.
            KeyValueUnavailable: the shard cannot be claimed now.
        """
        held = self._shards.get(number)
        if held is not None and held.can_serve:
            return held
        if number not in self._opening:
            future = asyncio.get_running_loop().create_future()
            future.add_done_callback(background.retrieve)
            self._opening[number] = future
            self._background.spawn(self._claim(number, future))
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                return await asyncio.shield(self._opening[number])
        except TimeoutError as error:
            raise errors.KeyValueUnavailable('no takeover', False) from error

    def is_serving(self, number: int) -> bool:
        """Tell whether this instance serves a shard."""
        held = self._shards.get(number)
        return held is not None and held.can_serve

    def count_in_sync(self, number: int) -> int:
        """Return how many reachable folders hold all of a served shard."""
        present = {
            folder.folder_id
            for folder in self.data_folders(include_leaving=True)
        }
        return self._shards[number].count_in_sync(present)

    def is_writable(self, number: int) -> bool:
        """Tell whether enough journals of a served shard seem reachable."""
        if not self.is_serving(number):
            return False
        held = self._shards[number]
        present = {
            folder.folder_id
            for folder in self.data_folders(include_leaving=True)
        }
        reachable = [
            f for f in held.responsive_folders() if f.folder_id in present
        ]
        return len(reachable) >= shard.write_quorum(
            len(held.placement.folders)
        )

    async def append(
        self, number: int, program_id: str, bodies: tuple[bytes, ...]
    ) -> None:
        """Add records to a shard's log and wait until they are durable.

        Raises:
            NotOwner: the shard was lost; the records may or may not last.
        """
        held = self._shards.get(number)
        if held is None or not held.can_serve:
            raise errors.NotOwner(number, self.known_owner(number))
        effects = held.append(program_id, bodies)
        future = asyncio.get_running_loop().create_future()
        waiting = self._commits.setdefault(number, [])
        waiting.append((len(held.log), future))
        self._perform(held, effects)
        await future

    async def confirm(self, number: int) -> None:
        """Make sure that no other owner has opened a shard.

        Journals that still accept this epoch are enough to stop a takeover.
        What an owner says from its state alone, such as that a program does
        not exist, is true only after that.

        Raises:
            NotOwner: the shard was lost.
            Refused: too few journals answer.
        """
        held = self._shards.get(number)
        if held is None or not held.can_serve:
            raise errors.NotOwner(number, self.known_owner(number))
        folders = held.placement.folders
        accepted = await asyncio.gather(
            *(self._accepts(held, folder) for folder in folders)
        )
        if self._shards.get(number) is not held:
            raise errors.NotOwner(number, self.known_owner(number))
        if sum(accepted) < shard.write_quorum(len(folders)):
            raise errors.Refused(
                'journal_unavailable',
                503,
                'too few journals',
                'unknown',
                JOURNAL_RETRY_AFTER_S,
            )

    async def _accepts(self, held, folder):
        message = messages.AppendEntries(
            folder.folder_id, held.number, held.epoch, ()
        )
        reply = await self._ask(folder, message)
        if reply is not None and reply.outcome == 'stale':
            self._perform(held, held.on_stale_epoch(reply.length))
        return reply is not None and reply.outcome == 'ok'

    async def hand_over(self) -> None:
        """Give every shard up, for a planned stop."""
        for held in self.served_shards:
            effects = held.hand_over(uuid.uuid4().hex)
            for effect in effects:
                await self._swap_once(held, effect)
            self._forget(held)

    async def repair(self, now_s: float) -> None:
        """Move copies away from data folders that stay missing."""
        self._note_missing(now_s)
        for held in self.served_shards:
            for folder in held.placement.folders:
                since_s = self._missing_since_s.get(folder.folder_id)
                if since_s is None or now_s - since_s < REPLACE_AFTER_S:
                    continue
                fresh = self._spare(held)
                if fresh is not None:
                    logging.info(
                        'ownership: shard %d moves a copy to %s',
                        held.number,
                        fresh.instance_id,
                    )
                    change_id = uuid.uuid4().hex
                    self._perform(
                        held,
                        held.replace_replica(
                            folder.folder_id, fresh, change_id
                        ),
                    )
                    break

    def data_folders(
        self, include_leaving: bool = False
    ) -> list[placement.DataFolder]:
        """Return the data folders of live instances.

        Args:
            include_leaving: whether instances that are leaving count too.
        """
        return [
            placement.DataFolder(folder_id, i.instance_id, i.failure_domain)
            for i in self._members.usable(include_leaving)
            if (folder_id := self._members.folder_id(i.instance_id))
        ]

    async def close(self) -> None:
        """Stop all work without handing over."""
        self._background.cancel()
        for held in list(self._shards.values()):
            held.detach()

    async def _claim(self, number, future):
        try:
            await self._claim_once(number)
        except (errors.KeyValueUnavailable, errors.NotOwner) as error:
            self._opening.pop(number, None)
            if not future.done():
                future.set_exception(error)

    async def _claim_once(self, number):
        pair = await self._store.get(placement.key_of(number))
        placed = codec.decode(pair.value) if pair else None
        if placed is not None:
            self.record_owner(number, placed.epoch, placed.owner_id)
            status = self._members.status(placed.owner_id)
            other = placed.owner_id != self._members.own_id
            if other and status in ('alive', 'leaving'):
                raise errors.NotOwner(number, placed.owner_id)
        folders = tuple(self._fresh_folders(number))
        if placed is None and len(folders) < 2:
            raise errors.KeyValueUnavailable('fewer than two disks', False)
        held = shard.Shard(number, self._members.own_id)
        self._shards[number] = held
        revision = pair.revision if pair else 0
        change_id = uuid.uuid4().hex
        self._perform(held, held.claim(placed, revision, folders, change_id))

    def _fresh_folders(self, number):
        """Choose folders for a new shard, each in its own domain."""
        by_id = {f.folder_id: f for f in self.data_folders()}
        domains = set()
        for folder_id in placement.rank(f'copies-{number}', sorted(by_id)):
            folder = by_id[folder_id]
            if folder.failure_domain in domains:
                continue
            domains.add(folder.failure_domain)
            yield folder
            if len(domains) == REPLICA_COUNT:
                return

    def _spare(self, held):
        """Choose a folder for a lost copy, in a free domain if possible."""
        used = {f.folder_id for f in held.placement.folders}
        domains = {
            f.failure_domain
            for f in held.placement.folders
            if f.folder_id not in self._missing_since_s
        }
        free = [f for f in self.data_folders() if f.folder_id not in used]
        free.sort(key=lambda f: f.failure_domain in domains)
        return free[0] if free else None

    def _note_missing(self, now_s):
        present = {
            f.folder_id for f in self.data_folders(include_leaving=True)
        }
        for held in self.served_shards:
            for folder in held.placement.folders:
                if folder.folder_id in present:
                    self._missing_since_s.pop(folder.folder_id, None)
                else:
                    self._missing_since_s.setdefault(folder.folder_id, now_s)

    def _perform(self, held, effects):
        for effect in effects:
            self._do(effect, held)

    @functools.singledispatchmethod
    def _do(self, effect, held):
        """Carry out one effect of a shard."""
        raise TypeError(type(effect).__name__)

    @_do.register
    def _(self, effect: shard.SwapKey, held):
        self._background.spawn(self._swap(held, effect))

    @_do.register
    def _(self, effect: shard.ReadKey, held):
        self._background.spawn(self._read_key(held, effect))

    @_do.register
    def _(self, effect: shard.SendSeal, held):
        self._background.spawn(self._send_seal(held, effect))

    @_do.register
    def _(self, effect: shard.SendRead, held):
        self._background.spawn(self._send_read(held, effect))

    @_do.register
    def _(self, effect: shard.SendAppend, held):
        self._background.spawn(self._send_append(held, effect))

    @_do.register
    def _(self, effect: shard.SendDrop, held):
        self._background.spawn(self._send_drop(held, effect))

    @_do.register
    def _(self, effect: shard.Committed, held):
        self._on_committed(held, effect.length)

    @_do.register
    def _(self, _effect: shard.Opened, held):
        self._on_open(held)

    @_do.register
    def _(self, _effect: shard.Superseded, held):
        self._on_lost(held)

    async def _swap(self, held, effect):
        if self._shards.get(held.number) is held:
            self._perform(held, await self._swap_once(held, effect))

    async def _swap_once(self, held, effect):
        key = placement.key_of(held.number)
        value = codec.encode(effect.value)
        try:
            revision = await self._store.swap(key, value, effect.revision)
        except errors.KeyValueUnavailable:
            await asyncio.sleep(RETRY_S)
            return held.on_swap_unconfirmed()
        return held.on_swapped(revision)

    async def _read_key(self, held, effect):
        try:
            pair = await self._store.get(placement.key_of(held.number))
        except errors.KeyValueUnavailable:
            await asyncio.sleep(RETRY_S)
            self._perform(held, [effect])
            return
        placed = codec.decode(pair.value) if pair else None
        if placed is not None:
            self.record_owner(held.number, placed.epoch, placed.owner_id)
        revision = pair.revision if pair else 0
        self._perform(held, held.on_key_read(placed, revision))

    async def _send_seal(self, held, effect):
        folder = effect.folder
        message = messages.Seal(folder.folder_id, held.number, effect.epoch)
        reply = await self._ask(folder, message)
        if reply is None or reply.outcome == 'wrong_folder':
            await asyncio.sleep(RETRY_S)
            effects = held.on_seal_failed(folder.folder_id)
        elif reply.outcome == 'stale':
            effects = held.on_stale_epoch(reply.state.held_epoch)
        else:
            effects = held.on_sealed(folder.folder_id, reply.state)
        self._perform(held, effects)

    async def _send_read(self, held, effect):
        message = messages.ReadLog(
            effect.folder.folder_id, held.number, effect.sequence
        )
        reply = await self._ask(effect.folder, message)
        if reply is None or not reply.entries:
            await asyncio.sleep(RETRY_S)
            effects = held.on_log_read_failed()
        else:
            effects = held.on_log_read(reply.entries)
        self._perform(held, effects)

    async def _send_append(self, held, effect):
        folder = effect.folder
        message = messages.AppendEntries(
            folder.folder_id, held.number, effect.epoch, effect.entries
        )
        reply = await self._ask(folder, message)
        outcome = reply.outcome if reply is not None else 'unanswered'
        if outcome == 'ok':
            effects = held.on_appended(folder.folder_id, reply.length)
        elif outcome == 'gap':
            effects = held.on_gap(folder.folder_id, reply.length)
        elif outcome == 'stale':
            effects = held.on_stale_epoch(reply.length)
        else:
            await asyncio.sleep(RETRY_S)
            effects = held.on_append_failed(folder.folder_id)
        self._perform(held, effects)

    async def _send_drop(self, held, effect):
        message = messages.DropLog(
            effect.folder.folder_id, held.number, effect.epoch
        )
        await self._ask(effect.folder, message)

    async def _ask(self, folder, message):
        try:
            return await self._links.request(folder.instance_id, message)
        except errors.LinkError:
            return None

    def _on_committed(self, held, length):
        waiting = self._commits.get(held.number, [])
        while waiting and waiting[0][0] <= length:
            _, future = waiting.pop(0)
            if not future.done():
                future.set_result(None)

    def _on_open(self, held):
        logging.info(
            'ownership: shard %d opened at epoch %d with %d records',
            held.number,
            held.epoch,
            len(held.log),
        )
        own_id = self._members.own_id
        self.record_owner(held.number, held.epoch, own_id)
        self._opened(held)
        future = self._opening.pop(held.number, None)
        if future is not None and not future.done():
            future.set_result(held)
        notice = messages.ShardOpened(held.number, own_id, held.epoch)
        for peer_id in self._members.reachable():
            self._background.spawn(self._announce(peer_id, notice))

    async def _announce(self, peer_id, notice):
        try:
            await self._links.request(peer_id, notice)
        except errors.LinkError:
            logging.debug('ownership: %s was not told', peer_id)

    async def _on_opened(self, _sender, message):
        self.record_owner(message.shard, message.epoch, message.owner_id)
        yield messages.Ok()

    def _on_lost(self, held):
        logging.info('ownership: shard %d has another owner', held.number)
        self._forget(held)

    def _forget(self, held):
        number = held.number
        if self._shards.get(number) is not held:
            return
        del self._shards[number]
        held.detach()
        if self.known_owner(number) == self._members.own_id:
            self._owners.pop(number)
        error = errors.NotOwner(number, self.known_owner(number))
        for _, future in self._commits.pop(number, []):
            if not future.done():
                future.set_exception(error)
        opening = self._opening.pop(number, None)
        if opening is not None and not opening.done():
            opening.set_exception(error)
        self._lost(number)
