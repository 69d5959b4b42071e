"""Shards that this instance owns, and the known owners of the others.

Performs the effects of `shard.Shard`: writes to the key-value service and
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
EFFECT_RETRY_INTERVAL_S = 0.2
REPLICA_REPLACE_DELAY_S = 5.0
REPLICA_COUNT = 3
JOURNAL_RETRY_AFTER_S = 3.0


class Ownership:
    """Claims shards, replicates their logs and replaces missing replicas.

    Args:
        links: connections to peers.
        store: the platform's key-value service.
        members: the live instances.
        opened: called with a shard once its log may be read.
        superseded: called with the number of a shard once this instance no
            longer owns it.
    """

    def __init__(
        self,
        links: link.Links,
        store: keyvalue.KeyValue,
        members: membership.Membership,
        opened: collections_abc.Callable[[shard.Shard], None],
        superseded: collections_abc.Callable[[int], None],
    ):
        self._links = links
        self._store = store
        self._members = members
        self._report_opened = opened
        self._report_superseded = superseded
        self._shards: dict[int, shard.Shard] = {}
        self._pending_claims: dict[int, asyncio.Future] = {}
        self._commit_waits: dict[int, list[tuple[int, asyncio.Future]]] = {}
        self._background = background.BackgroundTasks('ownership')
        self._owners: dict[int, tuple[int, str]] = {}
        self._owner_waits: dict[int, list[tuple[str, asyncio.Future]]] = {}
        self._missing_since_s: dict[str, float] = {}
        links.serve(messages.ShardOpened, self._on_shard_opened)

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
        """Record the owner of a shard unless a later one is known."""
        if epoch >= self._owners.get(number, (0, ''))[0]:
            self._owners[number] = (epoch, owner_id)
            self._resolve_owner_waits(number, owner_id)

    def wait_for_owner_change(
        self, number: int, owner_id: str
    ) -> asyncio.Future:
        """Return a future that is done once another owner is known."""
        future = asyncio.get_running_loop().create_future()
        self._owner_waits.setdefault(number, []).append((owner_id, future))
        future.add_done_callback(
            lambda done: self._remove_owner_wait(number, done)
        )
        return future

    def _resolve_owner_waits(self, number, owner_id):
        for expected, future in list(self._owner_waits.get(number, ())):
            if owner_id and owner_id != expected and not future.done():
                future.set_result(None)

    def _remove_owner_wait(self, number, future):
        waits = self._owner_waits.get(number, [])
        waits[:] = [wait for wait in waits if wait[1] is not future]
        if not waits:
            self._owner_waits.pop(number, None)

    def remove_owner(self, number: int) -> None:
        """Remove the known owner of a shard once that proved wrong."""
        self._owners.pop(number, None)

    async def read_owners(self) -> list[int]:
        """Read the owner of every shard from the key-value service.

        Returns:
            The shards whose key names this instance.

        Raises:
            KeyValueUnavailable: the key-value service is unreachable.
        """
        pairs, _ = await self._store.scan(placement.SHARD_KEY_PREFIX)
        own_numbers = []
        for pair in pairs:
            current = codec.decode(pair.value)
            self.record_owner(current.shard, current.epoch, current.owner_id)
            if current.owner_id == self._members.own_id:
                own_numbers.append(current.shard)
        return own_numbers

    async def find_owner(self, number: int) -> str:
        """Return the instance to send requests for a shard to.

        Raises:
            KeyValueUnavailable: no owner is known and the key-value service
                is unreachable.
        """
        owner_id = self.known_owner(number)
        if owner_id and self._members.status(owner_id) != 'dead':
            return owner_id
        pair = await self._store.get(placement.key_of(number))
        if pair is not None:
            current = codec.decode(pair.value)
            self.record_owner(number, current.epoch, current.owner_id)
            if self._members.status(current.owner_id) in (
                'alive',
                'leaving',
            ):
                return current.owner_id
        return self.preferred_owner(number)

    def preferred_owner(self, number: int) -> str:
        """Return the live instance that should take over a shard."""
        names = [i.instance_id for i in self._members.usable()]
        ranked = placement.rank(f'shard-{number}', names)
        return ranked[0] if ranked else ''

    async def open(self, number: int) -> shard.Shard:
        """Return a shard that this instance serves; claim it if needed.

        Raises:
            NotOwner: another live instance owns the shard.
            KeyValueUnavailable: the shard cannot be claimed now.
        """
        own_shard = self._shards.get(number)
        if own_shard is not None and own_shard.can_serve:
            return own_shard
        if number not in self._pending_claims:
            future = asyncio.get_running_loop().create_future()
            future.add_done_callback(background.retrieve_exception)
            self._pending_claims[number] = future
            self._background.spawn(self._claim(number, future))
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                return await asyncio.shield(self._pending_claims[number])
        except TimeoutError as error:
            raise errors.KeyValueUnavailable('no takeover', False) from error

    def is_serving(self, number: int) -> bool:
        """Return whether this instance serves a shard."""
        own_shard = self._shards.get(number)
        return own_shard is not None and own_shard.can_serve

    def count_in_sync(self, number: int) -> int:
        """Return how many reachable replicas of a served shard are in sync."""
        reachable_ids = {
            folder.folder_id
            for folder in self.data_folders(include_leaving=True)
        }
        return self._shards[number].count_in_sync(reachable_ids)

    def is_writable(self, number: int) -> bool:
        """Return whether a write quorum of journals seems reachable."""
        if not self.is_serving(number):
            return False
        own_shard = self._shards[number]
        reachable_ids = {
            folder.folder_id
            for folder in self.data_folders(include_leaving=True)
        }
        reachable = [
            f
            for f in own_shard.responsive_folders()
            if f.folder_id in reachable_ids
        ]
        return len(reachable) >= shard.write_quorum(
            len(own_shard.placement.folders)
        )

    async def append(
        self, number: int, program_id: str, bodies: tuple[bytes, ...]
    ) -> None:
        """Append records to a shard's log and wait until they are durable.

        Raises:
            NotOwner: the shard has another owner; whether the records are
                durable is unknown.
        """
        own_shard = self._shards.get(number)
        if own_shard is None or not own_shard.can_serve:
            raise errors.NotOwner(number, self.known_owner(number))
        effects = own_shard.append(program_id, bodies)
        future = asyncio.get_running_loop().create_future()
        waiting = self._commit_waits.setdefault(number, [])
        waiting.append((len(own_shard.log), future))
        self._perform(own_shard, effects)
        await future

    async def confirm(self, number: int) -> None:
        """Make sure that no other owner has opened a shard.

        A write quorum of journals that still accept this epoch rules out a
        completed takeover. Without this check, a reply that comes from the
        owner's state alone, such as that a program does not exist, may be
        out of date.

        Raises:
            NotOwner: the shard has another owner.
            Refused: fewer journals than the write quorum reply.
        """
        own_shard = self._shards.get(number)
        if own_shard is None or not own_shard.can_serve:
            raise errors.NotOwner(number, self.known_owner(number))
        folders = own_shard.placement.folders
        accepted = await asyncio.gather(
            *(self._accepts_epoch(own_shard, folder) for folder in folders)
        )
        if self._shards.get(number) is not own_shard:
            raise errors.NotOwner(number, self.known_owner(number))
        if sum(accepted) < shard.write_quorum(len(folders)):
            raise errors.Refused(
                'journal_unavailable',
                503,
                'too few journals',
                'unknown',
                JOURNAL_RETRY_AFTER_S,
            )

    async def _accepts_epoch(self, own_shard, folder):
        message = messages.AppendEntries(
            folder.folder_id, own_shard.number, own_shard.epoch, ()
        )
        reply = await self._request(folder, message)
        if reply is not None and reply.outcome == 'stale':
            self._perform(own_shard, own_shard.on_stale_epoch(reply.length))
        return reply is not None and reply.outcome == 'ok'

    async def hand_over(self) -> None:
        """Release every shard in a planned stop."""
        for own_shard in self.served_shards:
            effects = own_shard.hand_over(uuid.uuid4().hex)
            for effect in effects:
                await self._swap_key(own_shard, effect)
            self._close_shard(own_shard)

    async def repair(self, now_s: float) -> None:
        """Replace replicas whose data folders stay missing."""
        self._record_missing_folders(now_s)
        for own_shard in self.served_shards:
            for folder in own_shard.placement.folders:
                since_s = self._missing_since_s.get(folder.folder_id)
                if (
                    since_s is None
                    or now_s - since_s < REPLICA_REPLACE_DELAY_S
                ):
                    continue
                replacement = self._choose_replacement(own_shard)
                if replacement is not None:
                    logging.info(
                        'ownership: shard %d replaces a replica by one on %s',
                        own_shard.number,
                        replacement.instance_id,
                    )
                    change_id = uuid.uuid4().hex
                    self._perform(
                        own_shard,
                        own_shard.replace_replica(
                            folder.folder_id, replacement, change_id
                        ),
                    )
                    break

    def data_folders(
        self, include_leaving: bool = False
    ) -> list[placement.DataFolder]:
        """Return the data folders of live instances.

        Args:
            include_leaving: whether leaving instances count too.
        """
        return [
            placement.DataFolder(folder_id, i.instance_id, i.failure_domain)
            for i in self._members.usable(include_leaving)
            if (folder_id := self._members.folder_id(i.instance_id))
        ]

    async def close(self) -> None:
        """Stop all work without handing over."""
        self._background.cancel()
        for own_shard in list(self._shards.values()):
            own_shard.detach()

    async def _claim(self, number, future):
        try:
            await self._claim_once(number)
        except (errors.KeyValueUnavailable, errors.NotOwner) as error:
            self._pending_claims.pop(number, None)
            if not future.done():
                future.set_exception(error)

    async def _claim_once(self, number):
        pair = await self._store.get(placement.key_of(number))
        current = codec.decode(pair.value) if pair else None
        if current is not None:
            self.record_owner(number, current.epoch, current.owner_id)
            status = self._members.status(current.owner_id)
            is_peer = current.owner_id != self._members.own_id
            if is_peer and status in ('alive', 'leaving'):
                raise errors.NotOwner(number, current.owner_id)
        folders = tuple(self._choose_folders(number))
        if current is None and len(folders) < 2:
            raise errors.KeyValueUnavailable('fewer than two disks', False)
        own_shard = shard.Shard(number, self._members.own_id)
        self._shards[number] = own_shard
        revision = pair.revision if pair else 0
        change_id = uuid.uuid4().hex
        self._perform(
            own_shard, own_shard.claim(current, revision, folders, change_id)
        )

    def _choose_folders(self, number):
        """Choose replicas for a new shard, each in its own failure domain."""
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

    def _choose_replacement(self, own_shard):
        """Choose a new replica, in an unused failure domain if possible."""
        used = {f.folder_id for f in own_shard.placement.folders}
        domains = {
            f.failure_domain
            for f in own_shard.placement.folders
            if f.folder_id not in self._missing_since_s
        }
        free = [f for f in self.data_folders() if f.folder_id not in used]
        free.sort(key=lambda f: f.failure_domain in domains)
        return free[0] if free else None

    def _record_missing_folders(self, now_s):
        reachable_ids = {
            f.folder_id for f in self.data_folders(include_leaving=True)
        }
        for own_shard in self.served_shards:
            for folder in own_shard.placement.folders:
                if folder.folder_id in reachable_ids:
                    self._missing_since_s.pop(folder.folder_id, None)
                else:
                    self._missing_since_s.setdefault(folder.folder_id, now_s)

    def _perform(self, own_shard, effects):
        for effect in effects:
            self._perform_effect(effect, own_shard)

    @functools.singledispatchmethod
    def _perform_effect(self, effect, own_shard):
        """Perform one effect of a shard."""
        raise TypeError(type(effect).__name__)

    @_perform_effect.register
    def _(self, effect: shard.SwapKey, own_shard):
        self._background.spawn(self._swap_if_current(own_shard, effect))

    @_perform_effect.register
    def _(self, effect: shard.ReadKey, own_shard):
        self._background.spawn(self._read_key(own_shard, effect))

    @_perform_effect.register
    def _(self, effect: shard.SendSeal, own_shard):
        self._background.spawn(self._send_seal(own_shard, effect))

    @_perform_effect.register
    def _(self, effect: shard.SendRead, own_shard):
        self._background.spawn(self._send_read(own_shard, effect))

    @_perform_effect.register
    def _(self, effect: shard.SendAppend, own_shard):
        self._background.spawn(self._send_append(own_shard, effect))

    @_perform_effect.register
    def _(self, effect: shard.SendDrop, own_shard):
        self._background.spawn(self._send_drop(own_shard, effect))

    @_perform_effect.register
    def _(self, effect: shard.Committed, own_shard):
        self._on_committed(own_shard, effect.length)

    @_perform_effect.register
    def _(self, _effect: shard.Opened, own_shard):
        self._on_takeover_complete(own_shard)

    @_perform_effect.register
    def _(self, _effect: shard.Superseded, own_shard):
        self._on_superseded(own_shard)

    async def _swap_if_current(self, own_shard, effect):
        if self._shards.get(own_shard.number) is own_shard:
            self._perform(own_shard, await self._swap_key(own_shard, effect))

    async def _swap_key(self, own_shard, effect):
        key = placement.key_of(own_shard.number)
        value = codec.encode(effect.value)
        try:
            revision = await self._store.compare_and_swap(
                key, value, effect.revision
            )
        except errors.KeyValueUnavailable:
            await asyncio.sleep(EFFECT_RETRY_INTERVAL_S)
            return own_shard.on_swap_unconfirmed()
        return own_shard.on_swapped(revision)

    async def _read_key(self, own_shard, effect):
        try:
            pair = await self._store.get(placement.key_of(own_shard.number))
        except errors.KeyValueUnavailable:
            await asyncio.sleep(EFFECT_RETRY_INTERVAL_S)
            self._perform(own_shard, [effect])
            return
        current = codec.decode(pair.value) if pair else None
        if current is not None:
            self.record_owner(
                own_shard.number, current.epoch, current.owner_id
            )
        revision = pair.revision if pair else 0
        self._perform(own_shard, own_shard.on_key_read(current, revision))

    async def _send_seal(self, own_shard, effect):
        folder = effect.folder
        message = messages.Seal(
            folder.folder_id, own_shard.number, effect.epoch
        )
        reply = await self._request(folder, message)
        if reply is None or reply.outcome == 'wrong_folder':
            await asyncio.sleep(EFFECT_RETRY_INTERVAL_S)
            effects = own_shard.on_seal_failed(folder.folder_id)
        elif reply.outcome == 'stale':
            effects = own_shard.on_stale_epoch(reply.state.held_epoch)
        else:
            effects = own_shard.on_sealed(folder.folder_id, reply.state)
        self._perform(own_shard, effects)

    async def _send_read(self, own_shard, effect):
        message = messages.ReadLog(
            effect.folder.folder_id, own_shard.number, effect.sequence
        )
        reply = await self._request(effect.folder, message)
        if reply is None or not reply.entries:
            await asyncio.sleep(EFFECT_RETRY_INTERVAL_S)
            effects = own_shard.on_log_read_failed()
        else:
            effects = own_shard.on_log_read(reply.entries)
        self._perform(own_shard, effects)

    async def _send_append(self, own_shard, effect):
        folder = effect.folder
        message = messages.AppendEntries(
            folder.folder_id, own_shard.number, effect.epoch, effect.entries
        )
        reply = await self._request(folder, message)
        outcome = reply.outcome if reply is not None else 'unanswered'
        if outcome == 'ok':
            effects = own_shard.on_appended(folder.folder_id, reply.length)
        elif outcome == 'gap':
            effects = own_shard.on_gap(folder.folder_id, reply.length)
        elif outcome == 'stale':
            effects = own_shard.on_stale_epoch(reply.length)
        else:
            await asyncio.sleep(EFFECT_RETRY_INTERVAL_S)
            effects = own_shard.on_append_failed(folder.folder_id)
        self._perform(own_shard, effects)

    async def _send_drop(self, own_shard, effect):
        message = messages.DropLog(
            effect.folder.folder_id, own_shard.number, effect.epoch
        )
        await self._request(effect.folder, message)

    async def _request(self, folder, message):
        try:
            return await self._links.request(folder.instance_id, message)
        except errors.LinkError:
            return None

    def _on_committed(self, own_shard, length):
        waiting = self._commit_waits.get(own_shard.number, [])
        while waiting and waiting[0][0] <= length:
            _, future = waiting.pop(0)
            if not future.done():
                future.set_result(None)

    def _on_takeover_complete(self, own_shard):
        logging.info(
            'ownership: shard %d opened at epoch %d with %d records',
            own_shard.number,
            own_shard.epoch,
            len(own_shard.log),
        )
        own_id = self._members.own_id
        self.record_owner(own_shard.number, own_shard.epoch, own_id)
        self._report_opened(own_shard)
        future = self._pending_claims.pop(own_shard.number, None)
        if future is not None and not future.done():
            future.set_result(own_shard)
        notice = messages.ShardOpened(
            own_shard.number, own_id, own_shard.epoch
        )
        for peer_id in self._members.reachable():
            self._background.spawn(self._announce_owner(peer_id, notice))

    async def _announce_owner(self, peer_id, notice):
        try:
            await self._links.request(peer_id, notice)
        except errors.LinkError:
            logging.debug('ownership: %s missed an announced owner', peer_id)

    async def _on_shard_opened(self, _sender, message):
        self.record_owner(message.shard, message.epoch, message.owner_id)
        yield messages.Ok()

    def _on_superseded(self, own_shard):
        logging.info('ownership: shard %d has another owner', own_shard.number)
        self._close_shard(own_shard)

    def _close_shard(self, own_shard):
        number = own_shard.number
        if self._shards.get(number) is not own_shard:
            return
        del self._shards[number]
        own_shard.detach()
        if self.known_owner(number) == self._members.own_id:
            self._owners.pop(number)
        error = errors.NotOwner(number, self.known_owner(number))
        for _, future in self._commit_waits.pop(number, []):
            if not future.done():
                future.set_exception(error)
        pending_claim = self._pending_claims.pop(number, None)
        if pending_claim is not None and not pending_claim.done():
            pending_claim.set_exception(error)
        self._report_superseded(number)
