"""A random world around the real code of shards and journals.

Messages are lost, repeated, delayed and reordered; owners die, wake late and
race; answers of the key-value service are lost; disks come back empty.
"""

import random

from balsamdale import errors
from balsamdale import journal
from balsamdale import placement
from balsamdale import shard

OWNERS = 3
DISKS = 5
COPIES = 3


class LostRecord(AssertionError):
    """An acknowledged record is gone or changed."""


class ShardSimulation:
    """Owners, disks and one key, moved by a seed.

    Args:
        seed: decides every event.
        keep_identity: whether a wiped disk keeps its id (a broken build).
    """

    def __init__(self, seed: int, keep_identity: bool = False):
        self.random = random.Random(seed)
        self.keep_identity = keep_identity
        self.value: placement.Placement | None = None
        self.revision = 0
        self.disks = [self._disk(index, 0) for index in range(DISKS)]
        self.lives = [0] * DISKS
        self.owners: list[shard.Shard | None] = [None] * OWNERS
        self.pending: list[tuple[shard.Shard, object]] = []
        self.acknowledged: list[journal.Entry] = []
        self.append_count = 0
        self.changes = 0
        self.opened_epoch = 0
        self._made: list[shard.Shard] = []
        self.weights = self._weights()
        rates = [0.0, 0.0, 0.5, 0.95]
        self.cut_rates = [self.random.choice(rates) for _ in range(DISKS)]
        if seed % 2:
            self._steer_to_replacement()

    def _weights(self):
        """Draw the frequency of each event, so that seeds differ a lot."""
        actions = {
            self.deliver: 40,
            self.lose: self.random.choice([0, 2, 8]),
            self.repeat: self.random.choice([0, 2]),
            self.append: self.random.choice([1, 3, 10]),
            self.crash: self.random.choice([0.3, 1, 3]),
            self.claim: self.random.choice([0.5, 2, 5]),
            self.wipe: self.random.choice([0, 0.5, 2]),
            self.replace: self.random.choice([0, 2, 5]),
        }
        return actions

    def _steer_to_replacement(self):
        """Make moved copies frequent, with one old and the new one lagging."""
        self.weights.update(
            {
                self.append: 2,
                self.crash: 0.5,
                self.claim: 1,
                self.wipe: 0.5,
                self.replace: 10,
            }
        )
        self.cut_rates = [0.9, 0.0, 0.0, 0.9, 0.9]

    def run(self, steps: int) -> None:
        """Let a number of events happen.

        Raises:
            LostRecord: an acknowledged record is gone or changed.
        """
        actions = list(self.weights)
        weights = list(self.weights.values())
        try:
            for action in self.random.choices(actions, weights, k=steps):
                action()
        finally:
            for owner in self._made:
                owner.detach()

    def settle(self, reaches) -> None:
        """Deliver what may reach its goal, until nothing more does.

        Args:
            reaches: tells for an owner and an effect whether it arrives.
        """
        while True:
            ready = [row for row in self.pending if reaches(*row)]
            if not ready:
                return
            for row in ready:
                self.pending.remove(row)
                self.arrive(*row, False)

    def deliver(self):
        """Let a message arrive and its answer return, or lose the answer."""
        if self.pending:
            index = self.random.randrange(len(self.pending))
            owner, effect = self.pending.pop(index)
            self.arrive(owner, effect, self.random.random() < 0.1)

    def lose(self):
        """Lose a message."""
        if self.pending:
            index = self.random.randrange(len(self.pending))
            owner, effect = self.pending.pop(index)
            self._unanswered(owner, effect)

    def repeat(self):
        """Deliver a message that is delivered again later."""
        if self.pending:
            owner, effect = self.random.choice(self.pending)
            self.arrive(owner, effect, False)

    def append(self):
        """Let a program write a record."""
        serving = [o for o in self.owners if o is not None and o.can_serve]
        if serving and self.append_count < 40:
            self.append_count += 1
            owner = self.random.choice(serving)
            body = str(self.append_count).encode()
            self.perform(owner, owner.append('p', (body,)))

    def crash(self):
        """Kill an owner; what it has sent may still arrive."""
        self.owners[self.random.randrange(OWNERS)] = None

    def claim(self):
        """Let some instance take the shard over."""
        index = self.random.randrange(OWNERS)
        if self.owners[index] is None:
            self.take_over(index)

    def take_over(self, index: int) -> shard.Shard:
        """Let one instance take the shard over."""
        owner = shard.Shard(1, f'owner-{index}')
        self._made.append(owner)
        self.owners[index] = owner
        folders = tuple(self.folder(i) for i in range(COPIES))
        self.perform(
            owner,
            owner.claim(self.value, self.revision, folders, self._change()),
        )
        return owner

    def wipe(self):
        """Lose a disk, but never two copies of one placement."""
        if self.value is None:
            return
        live = {self.folder(i).folder_id for i in range(DISKS)}
        if any(f.folder_id not in live for f in self.value.folders):
            return
        index = self.random.randrange(DISKS)
        self.lives[index] += 1
        self.disks[index] = self._disk(index, self.lives[index])

    def replace(self):
        """Let an owner move a lost copy, or one it wrongly suspects."""
        live = {self._id(index) for index in range(DISKS)}
        for owner in self.owners:
            if owner is None or not owner.can_serve:
                continue
            used = sorted(f.folder_id for f in owner.placement.folders)
            gone = [folder_id for folder_id in used if folder_id not in live]
            if self.random.random() < 0.3:
                gone = [self.random.choice(used)]
            spare = [i for i in range(DISKS) if self._id(i) not in used]
            if gone and spare:
                fresh = self.folder(self.random.choice(spare))
                effects = owner.replace_replica(gone[0], fresh, self._change())
                self.perform(owner, effects)

    def arrive(self, owner, effect, answer_lost):
        if isinstance(effect, shard.SwapKey):
            self._swap(owner, effect, answer_lost)
        elif isinstance(effect, shard.ReadKey):
            self.perform(owner, owner.on_key_read(self.value, self.revision))
        else:
            self._reach_disk(owner, effect, answer_lost)

    def _swap(self, owner, effect, answer_lost):
        revision = 0
        if effect.revision == self.revision:
            self.revision += 1
            self.value = effect.value
            revision = self.revision
        if answer_lost:
            self.perform(owner, owner.on_swap_unconfirmed())
        else:
            self.perform(owner, owner.on_swapped(revision))

    def _reach_disk(self, owner, effect, answer_lost):
        disk = self._disk_of(effect.folder)
        if disk is None or self._is_cut(disk):
            self._unanswered(owner, effect)
            return
        folder_id = effect.folder.folder_id
        effects = self._call(owner, effect, disk, folder_id)
        if answer_lost:
            self._unanswered(owner, effect)
        else:
            self.perform(owner, effects)

    def _call(self, owner, effect, disk, folder_id):
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

    def _unanswered(self, owner, effect):
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
        """Note what an owner says; a dead owner says nothing more."""
        if owner not in self.owners:
            return
        for effect in effects:
            if isinstance(effect, shard.Committed):
                self._acknowledge(owner, effect.length)
            elif isinstance(effect, shard.Opened):
                self._check(owner)
            elif isinstance(effect, shard.Superseded):
                self.owners[self.owners.index(owner)] = None
            else:
                self.pending.append((owner, effect))

    def _acknowledge(self, owner, length):
        """Take an acknowledgement; a displaced owner may give none anew."""
        self._check_prefix(owner, min(length, len(self.acknowledged)))
        fresh = owner.log[len(self.acknowledged) : length]
        if fresh and owner.epoch < self.opened_epoch:
            raise LostRecord(f'epoch {owner.epoch} still acknowledges')
        self.acknowledged.extend(fresh)

    def _check(self, owner):
        """Check a takeover's log.

        An owner that was displaced while it took over may still open: its
        log then is an older part of what is acknowledged, and it can
        acknowledge nothing itself.
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

    def _disk(self, index, life):
        shown = 0 if self.keep_identity else life
        return journal.MemoryJournal(f'folder-{index}-{shown}')

    def _id(self, index):
        return self.disks[index].folder_id

    def folder(self, index):
        return placement.DataFolder(self._id(index), f'disk-{index}', 'd')

    def _disk_of(self, folder):
        for disk in self.disks:
            if disk.folder_id == folder.folder_id:
                return disk
        return None

    def _is_cut(self, disk):
        """Lose most messages to some disks, so that their logs lag."""
        rate = self.cut_rates[self.disks.index(disk)]
        return self.random.random() < rate

    def _change(self):
        self.changes += 1
        return f'change-{self.changes}'
