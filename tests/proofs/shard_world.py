"""Random simulation around the real code of shards and journals.

Messages are lost, duplicated, delayed and reordered; owners crash, act late
and race; replies of the key-value service are lost; disks come back empty.
"""

import random

from balsamdale import errors
from balsamdale import journal
from balsamdale import placement
from balsamdale import shard

OWNER_COUNT = 3
DISK_COUNT = 5
REPLICA_COUNT = 3


class LostRecord(AssertionError):
    """An acknowledged record is gone or changed."""


class ShardSimulation:
    """Owners, disks and the key of one shard, driven by a seed.

    Args:
        seed: seed of every event.
        wiped_disk_keeps_id: whether a wiped disk keeps its id; only a mutation
            sets it.
    """

    def __init__(self, seed: int, wiped_disk_keeps_id: bool = False):
        self.random = random.Random(seed)
        self.wiped_disk_keeps_id = wiped_disk_keeps_id
        self.placement: placement.Placement | None = None
        self.revision = 0
        self.disks = [
            self._create_disk(index, 0) for index in range(DISK_COUNT)
        ]
        self.disk_generations = [0] * DISK_COUNT
        self.owners: list[shard.Shard | None] = [None] * OWNER_COUNT
        self.pending: list[tuple[shard.Shard, object]] = []
        self.acknowledged: list[journal.Entry] = []
        self.append_count = 0
        self.change_count = 0
        self.opened_epoch = 0
        self._created: list[shard.Shard] = []
        self.weights = self._weights()
        rates = [0.0, 0.0, 0.5, 0.95]
        self.loss_rates = [
            self.random.choice(rates) for _ in range(DISK_COUNT)
        ]
        if seed % 2:
            self._favor_replacement()

    def _weights(self):
        """Draw the weight of each event, so that seeds differ widely."""
        actions = {
            self.deliver_message: 40,
            self.lose_message: self.random.choice([0, 2, 8]),
            self.duplicate_message: self.random.choice([0, 2]),
            self.append_record: self.random.choice([1, 3, 10]),
            self.crash_owner: self.random.choice([0.3, 1, 3]),
            self.claim_shard: self.random.choice([0.5, 2, 5]),
            self.wipe_disk: self.random.choice([0, 0.5, 2]),
            self.replace_replica: self.random.choice([0, 2, 5]),
        }
        return actions

    def _favor_replacement(self):
        """Replace replicas often, with an old and the new one lagging."""
        self.weights.update(
            {
                self.append_record: 2,
                self.crash_owner: 0.5,
                self.claim_shard: 1,
                self.wipe_disk: 0.5,
                self.replace_replica: 10,
            }
        )
        self.loss_rates = [0.9, 0.0, 0.0, 0.9, 0.9]

    def run(self, steps: int) -> None:
        """Run a number of random events.

        Raises:
            LostRecord: an acknowledged record is gone or changed.
        """
        actions = list(self.weights)
        weights = list(self.weights.values())
        try:
            for action in self.random.choices(actions, weights, k=steps):
                action()
        finally:
            for owner in self._created:
                owner.detach()

    def settle(self, is_delivered) -> None:
        """Deliver chosen messages until none of them is pending.

        Args:
            is_delivered: tells for an owner and an effect whether to deliver.
        """
        while True:
            ready = [sent for sent in self.pending if is_delivered(*sent)]
            if not ready:
                return
            for sent in ready:
                self.pending.remove(sent)
                self.deliver_effect(*sent, False)

    def deliver_message(self):
        """Deliver a message; lose its reply in one case of ten."""
        if self.pending:
            index = self.random.randrange(len(self.pending))
            owner, effect = self.pending.pop(index)
            self.deliver_effect(owner, effect, self.random.random() < 0.1)

    def lose_message(self):
        """Lose a message."""
        if self.pending:
            index = self.random.randrange(len(self.pending))
            owner, effect = self.pending.pop(index)
            self._fail_request(owner, effect)

    def duplicate_message(self):
        """Deliver a message and keep it pending, to be delivered again."""
        if self.pending:
            owner, effect = self.random.choice(self.pending)
            self.deliver_effect(owner, effect, False)

    def append_record(self):
        """Append a record of a program."""
        serving = [o for o in self.owners if o is not None and o.can_serve]
        if serving and self.append_count < 40:
            self.append_count += 1
            owner = self.random.choice(serving)
            body = str(self.append_count).encode()
            self.perform(owner, owner.append('p', (body,)))

    def crash_owner(self):
        """Crash an owner; what it has sent may still arrive."""
        self.owners[self.random.randrange(OWNER_COUNT)] = None

    def claim_shard(self):
        """Let a random instance take the shard over."""
        index = self.random.randrange(OWNER_COUNT)
        if self.owners[index] is None:
            self.take_over(index)

    def take_over(self, index: int) -> shard.Shard:
        """Let one instance take the shard over."""
        owner = shard.Shard(1, f'owner-{index}')
        self._created.append(owner)
        self.owners[index] = owner
        folders = tuple(self.folder(i) for i in range(REPLICA_COUNT))
        self.perform(
            owner,
            owner.claim(
                self.placement, self.revision, folders, self._next_change_id()
            ),
        )
        return owner

    def wipe_disk(self):
        """Wipe a disk, but never two replicas of one placement."""
        if self.placement is None:
            return
        live = {self.folder(i).folder_id for i in range(DISK_COUNT)}
        if any(f.folder_id not in live for f in self.placement.folders):
            return
        index = self.random.randrange(DISK_COUNT)
        self.disk_generations[index] += 1
        self.disks[index] = self._create_disk(
            index, self.disk_generations[index]
        )

    def replace_replica(self):
        """Let each owner replace a missing replica, or a healthy one.

        It replaces a healthy one that it wrongly takes for lost.
        """
        live = {self._folder_id(index) for index in range(DISK_COUNT)}
        for owner in self.owners:
            if owner is None or not owner.can_serve:
                continue
            used = sorted(f.folder_id for f in owner.placement.folders)
            missing = [
                folder_id for folder_id in used if folder_id not in live
            ]
            if self.random.random() < 0.3:
                missing = [self.random.choice(used)]
            spare = [
                i for i in range(DISK_COUNT) if self._folder_id(i) not in used
            ]
            if missing and spare:
                added = self.folder(self.random.choice(spare))
                effects = owner.replace_replica(
                    missing[0], added, self._next_change_id()
                )
                self.perform(owner, effects)

    def deliver_effect(self, owner, effect, reply_lost):
        if isinstance(effect, shard.SwapKey):
            self._swap(owner, effect, reply_lost)
        elif isinstance(effect, shard.ReadKey):
            self.perform(
                owner, owner.on_key_read(self.placement, self.revision)
            )
        else:
            self._send_to_disk(owner, effect, reply_lost)

    def _swap(self, owner, effect, reply_lost):
        revision = 0
        if effect.revision == self.revision:
            self.revision += 1
            self.placement = effect.value
            revision = self.revision
        if reply_lost:
            self.perform(owner, owner.on_swap_unconfirmed())
        else:
            self.perform(owner, owner.on_swapped(revision))

    def _send_to_disk(self, owner, effect, reply_lost):
        disk = self._find_disk(effect.folder)
        if disk is None or self._is_message_lost(disk):
            self._fail_request(owner, effect)
            return
        folder_id = effect.folder.folder_id
        effects = self._call_journal(owner, effect, disk, folder_id)
        if reply_lost:
            self._fail_request(owner, effect)
        else:
            self.perform(owner, effects)

    def _call_journal(self, owner, effect, disk, folder_id):
        try:
            if isinstance(effect, shard.SendSeal):
                state = disk.seal(1, effect.epoch)
                return owner.on_sealed(folder_id, state)
            if isinstance(effect, shard.SendRead):
                return owner.on_log_read(disk.read(1, effect.sequence))
            if isinstance(effect, shard.SendDrop):
                disk.remove(1, effect.epoch)
                return []
            length = disk.append(1, effect.epoch, effect.entries)
            return owner.on_appended(folder_id, length)
        except errors.StaleEpoch as error:
            return owner.on_stale_epoch(error.held_epoch)
        except errors.JournalGap as error:
            return owner.on_gap(folder_id, error.length)

    def _fail_request(self, owner, effect):
        if isinstance(effect, (shard.SwapKey, shard.ReadKey)):
            effects = owner.on_swap_unconfirmed()
        elif isinstance(effect, shard.SendSeal):
            effects = owner.on_seal_failed(effect.folder.folder_id)
        elif isinstance(effect, shard.SendRead):
            effects = owner.on_log_read_failed()
        elif isinstance(effect, shard.SendAppend):
            effects = owner.on_append_failed(effect.folder.folder_id)
        else:
            effects = []
        self.perform(owner, effects)

    def perform(self, owner, effects):
        """Perform the effects of an owner; a crashed owner has none."""
        if owner not in self.owners:
            return
        for effect in effects:
            if isinstance(effect, shard.Committed):
                self._record_commit(owner, effect.length)
            elif isinstance(effect, shard.Opened):
                self._check_opened(owner)
            elif isinstance(effect, shard.Superseded):
                self.owners[self.owners.index(owner)] = None
            else:
                self.pending.append((owner, effect))

    def _record_commit(self, owner, length):
        """Record newly durable entries; a superseded owner must add none."""
        self._check_prefix(owner, min(length, len(self.acknowledged)))
        added = owner.log[len(self.acknowledged) : length]
        if added and owner.epoch < self.opened_epoch:
            raise LostRecord(f'epoch {owner.epoch} still acknowledges records')
        self.acknowledged.extend(added)

    def _check_opened(self, owner):
        """Check a takeover's log.

        An owner that was superseded during its takeover may still open: its
        log is then a prefix of the acknowledged records, and it can
        acknowledge none itself.
        """
        length = len(self.acknowledged)
        if owner.epoch < self.opened_epoch:
            length = min(length, owner.committed_length)
        self.opened_epoch = max(self.opened_epoch, owner.epoch)
        if len(owner.log) < length:
            raise LostRecord(f'{len(owner.log)} records left')
        self._check_prefix(owner, length)

    def _check_prefix(self, owner, length):
        for index in range(length):
            if owner.log[index] != self.acknowledged[index]:
                raise LostRecord(f'record {index} changed')

    def _create_disk(self, index, generation):
        shown_generation = 0 if self.wiped_disk_keeps_id else generation
        return journal.MemoryJournal(f'folder-{index}-{shown_generation}')

    def _folder_id(self, index):
        return self.disks[index].folder_id

    def folder(self, index):
        return placement.DataFolder(
            self._folder_id(index), f'disk-{index}', 'd'
        )

    def _find_disk(self, folder):
        for disk in self.disks:
            if disk.folder_id == folder.folder_id:
                return disk
        return None

    def _is_message_lost(self, disk):
        """Tell whether a message is lost.

        Some disks lose most of their messages, so that their logs lag.
        """
        rate = self.loss_rates[self.disks.index(disk)]
        return self.random.random() < rate

    def _next_change_id(self):
        self.change_count += 1
        return f'change-{self.change_count}'
