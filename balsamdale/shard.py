"""Access to the ownership of one shard: takeover, replication, re-placement.

`Shard` decides only: events go in, effects come out, and the caller performs
them. It needs no clock, since epochs alone keep two owners apart.
"""

from collections import abc as collections_abc
import dataclasses

import transitions

from balsamdale import codec
from balsamdale import journal
from balsamdale import placement
from balsamdale import records

__all__ = [
    'Committed',
    'Superseded',
    'Opened',
    'ReadKey',
    'SendAppend',
    'SendDrop',
    'SendRead',
    'SendSeal',
    'Shard',
    'SwapKey',
    'write_quorum',
    'latest_log',
    'seal_quorum',
]

APPEND_BYTES = 524288

STATES = ['idle', 'claiming', 'sealing', 'fetching', 'bringing', 'serving']
STATES.append('lost')
TRANSITIONS = [
    {'trigger': 'begin_claim', 'source': 'idle', 'dest': 'claiming'},
    {'trigger': 'begin_seal', 'source': 'claiming', 'dest': 'sealing'},
    {'trigger': 'begin_fetch', 'source': 'sealing', 'dest': 'fetching'},
    {
        'trigger': 'begin_bring',
        'source': ['sealing', 'fetching'],
        'dest': 'bringing',
    },
    {'trigger': 'begin_serve', 'source': 'bringing', 'dest': 'serving'},
    {'trigger': 'lose', 'source': '*', 'dest': 'lost'},
]
MACHINE = transitions.Machine(
    model=None,
    states=STATES,
    transitions=TRANSITIONS,
    initial='idle',
    auto_transitions=False,
)


@dataclasses.dataclass(frozen=True)
class ReadKey:
    """Read the shard's key, then call `on_key_read`."""


@dataclasses.dataclass(frozen=True)
class SwapKey:
    """Write the shard's key if its revision is unchanged.

    Then call `on_swapped` or `on_swap_unconfirmed`.
    """

    value: placement.Placement
    revision: int


@dataclasses.dataclass(frozen=True)
class SendSeal:
    """Seal a journal.

    Then call `on_sealed`, `on_stale_epoch` or `on_seal_failed`.
    """

    folder: placement.DataFolder
    epoch: int


@dataclasses.dataclass(frozen=True)
class SendRead:
    """Read a journal's log.

    Then call `on_log_read` or `on_log_read_failed`.
    """

    folder: placement.DataFolder
    sequence: int


@dataclasses.dataclass(frozen=True)
class SendAppend:
    """Append entries to a journal.

    Then call `on_appended`, `on_gap`, `on_stale_epoch` or `on_append_failed`.
    """

    folder: placement.DataFolder
    epoch: int
    entries: tuple[journal.Entry, ...]


@dataclasses.dataclass(frozen=True)
class SendDrop:
    """Delete the log in a folder that no longer holds the shard."""

    folder: placement.DataFolder
    epoch: int


@dataclasses.dataclass(frozen=True)
class Opened:
    """The takeover is complete; the log may be read and extended."""


@dataclasses.dataclass(frozen=True)
class Committed:
    """Entries below this length are durable."""

    length: int


@dataclasses.dataclass(frozen=True)
class Superseded:
    """Another owner holds the shard; nothing more may be done."""


def write_quorum(folders: int) -> int:
    """Return the synced copies that make an entry durable."""
    return folders if folders < 3 else folders // 2 + 1


def seal_quorum(folders: int) -> int:
    """Return the journals that a takeover must seal."""
    return folders - write_quorum(folders) + 1


def latest_log(sealed: dict[str, journal.LogState]) -> str:
    """Return the folder whose log a takeover goes on with.

    The last record's epoch counts first: a longer log may end in records
    that an older owner wrote and nobody acknowledged.
    """

    def rank(folder_id):
        return (sealed[folder_id].last_epoch, sealed[folder_id].length)

    return max(sealed, key=rank)


class Shard:
    """The owner's side of one shard.

    Args:
        number: shard number.
        instance_id: the instance that wants to own it.
    """

    def __init__(self, number: int, instance_id: str):
        self.number = number
        self.instance_id = instance_id
        self.log: list[journal.Entry] = []
        self.placement: placement.Placement | None = None
        self.committed_length = 0
        self._revision = 0
        self._wanted: placement.Placement | None = None
        self._sealed: dict[str, journal.LogState] = {}
        self._source: placement.DataFolder | None = None
        self._target_length = 0
        self._match: dict[str, int] = {}
        self._next: dict[str, int] = {}
        self._busy: set[str] = set()
        self._swap_sent = False
        self._silent: set[str] = set()
        MACHINE.add_model(self)

    def detach(self) -> None:
        """Forget the state machine's link to this object."""
        MACHINE.remove_model(self)

    @property
    def epoch(self) -> int:
        """Epoch of this ownership."""
        return self._current().epoch

    @property
    def can_serve(self) -> bool:
        """Whether programs of the shard may be served."""
        return self.state == 'serving'

    def claim(
        self,
        held: placement.Placement | None,
        revision: int,
        folders: tuple[placement.DataFolder, ...],
        change_id: str,
    ) -> list:
        """Start a takeover.

        Args:
            held: what the shard's key holds, or None.
            revision: revision of the key; 0 where it does not exist.
            folders: where to keep the journal of a new shard.
            change_id: unique mark of the write.
        """
        self._wanted = placement.Placement(
            shard=self.number,
            owner_id=self.instance_id,
            epoch=held.epoch + 1 if held else 1,
            folders=held.folders if held else folders,
            change_id=change_id,
        )
        self._revision = revision
        self.begin_claim()
        return [SwapKey(self._wanted, revision)]

    def on_swapped(self, revision: int) -> list:
        """Handle a write's answer; revision 0 is a failed comparison."""
        if self.state == 'lost' or self._wanted is None:
            return []
        if revision == 0:
            return [ReadKey()]
        previous = self.placement
        self.placement = self._wanted
        self._wanted = None
        self._swap_sent = False
        self._revision = revision
        if self.state == 'claiming':
            self.begin_seal()
            return [SendSeal(f, self.epoch) for f in self.placement.folders]
        return self._displace(previous) + self._commit()

    def on_swap_unconfirmed(self) -> list:
        """Handle a write whose answer was lost."""
        return [ReadKey()]

    def on_key_read(
        self, held: placement.Placement | None, revision: int
    ) -> list:
        """Settle a write by what the key holds."""
        if self.state == 'lost' or self._wanted is None:
            return []
        if held is not None and held.change_id == self._wanted.change_id:
            return self.on_swapped(revision)
        if revision == self._revision:
            return [SwapKey(self._wanted, revision)]
        return self._lose()

    def on_sealed(self, folder_id: str, state: journal.LogState) -> list:
        """Handle a journal's promise."""
        if self.state != 'sealing':
            return []
        self._sealed[folder_id] = state
        if len(self._sealed) < seal_quorum(len(self.placement.folders)):
            return []
        best_id = latest_log(self._sealed)
        self._source = self._folder(best_id)
        self._target_length = self._sealed[best_id].length
        if self._target_length == 0:
            return self._bring()
        self.begin_fetch()
        return [SendRead(self._source, 0)]

    def on_seal_failed(self, folder_id: str) -> list:
        """Repeat a seal without an answer."""
        if self.state != 'sealing' or folder_id in self._sealed:
            return []
        return [SendSeal(self._folder(folder_id), self.epoch)]

    def on_log_read(self, entries: tuple[journal.Entry, ...]) -> list:
        """Handle a part of the chosen log."""
        if self.state != 'fetching':
            return []
        fresh = (e for e in entries if e.sequence == len(self.log))
        self.log.extend(fresh)
        if len(self.log) < self._target_length:
            return [SendRead(self._source, len(self.log))]
        return self._bring()

    def on_log_read_failed(self) -> list:
        """Repeat a read without an answer."""
        if self.state != 'fetching':
            return []
        return [SendRead(self._source, len(self.log))]

    def append(self, program_id: str, bodies: tuple[bytes, ...]) -> list:
        """Add entries; they count once `Committed` covers them."""
        for body in bodies:
            self.log.append(
                journal.next_entry(self.log, self.epoch, program_id, body)
            )
        return self._send_all()

    def on_appended(self, folder_id: str, length: int) -> list:
        """Handle a journal's acknowledgement up to a length."""
        if self.state not in ('bringing', 'serving'):
            return []
        self._busy.discard(folder_id)
        self._silent.discard(folder_id)
        if folder_id not in self._match:
            return []
        self._match[folder_id] = max(self._match[folder_id], length)
        self._next[folder_id] = self._match[folder_id]
        return self._commit() + self._swap_caught_up() + self._send(folder_id)

    def on_gap(self, folder_id: str, length: int) -> list:
        """Handle a journal that does not hold what was assumed."""
        self._busy.discard(folder_id)
        if folder_id not in self._next or self.state == 'lost':
            return []
        self._next[folder_id] = min(length, len(self.log) - 1)
        return self._send(folder_id)

    def on_append_failed(self, folder_id: str) -> list:
        """Repeat an append without an answer."""
        self._busy.discard(folder_id)
        self._silent.add(folder_id)
        if self.state == 'lost':
            return []
        return self._send(folder_id)

    def on_stale_epoch(self, held_epoch: int) -> list:
        """Handle a journal's refusal of this epoch."""
        if self.state == 'lost' or held_epoch <= self.epoch:
            return []
        return self._lose()

    def replace_replica(
        self, folder_id: str, fresh: placement.DataFolder, change_id: str
    ) -> list:
        """Move a lost copy to another folder, caught up before it counts."""
        if self.state != 'serving' or self._wanted is not None:
            return []
        kept = (f for f in self.placement.folders if f.folder_id != folder_id)
        self._wanted = dataclasses.replace(
            self.placement, folders=(*kept, fresh), change_id=change_id
        )
        self._match[fresh.folder_id] = 0
        self._next[fresh.folder_id] = 0
        return self._send(fresh.folder_id)

    def hand_over(self, change_id: str) -> list:
        """Give the shard up in a planned stop."""
        if self.state != 'serving' or self._wanted is not None:
            return []
        freed = dataclasses.replace(
            self.placement, owner_id='', change_id=change_id
        )
        self.lose()
        return [SwapKey(freed, self._revision)]

    def responsive_folders(self) -> list[placement.DataFolder]:
        """Return the folders whose last append was answered."""
        return [
            folder
            for folder in self.placement.folders
            if folder.folder_id not in self._silent
        ]

    def count_in_sync(self, present: collections_abc.Collection[str]) -> int:
        """Return how many of the folders present hold every entry."""
        return sum(
            folder.folder_id in present
            and self._match.get(folder.folder_id, 0) >= len(self.log)
            for folder in self.placement.folders
        )

    def _current(self):
        return self.placement or self._wanted

    def _folder(self, folder_id):
        folders = list(self.placement.folders)
        if self._wanted is not None:
            folders += self._wanted.folders
        return next(f for f in folders if f.folder_id == folder_id)

    def _bring(self):
        self._start_bringing()
        start = records.EpochStarted(self.instance_id, self.epoch)
        return self.append('', (codec.encode(start),))

    def _start_bringing(self):
        self.begin_bring()
        for folder in self.placement.folders:
            self._match[folder.folder_id] = 0
            self._next[folder.folder_id] = self._agreed(folder.folder_id)

    def _agreed(self, folder_id):
        """Return how much of the log a sealed journal surely holds."""
        state = self._sealed.get(folder_id)
        if state is None or not 0 < state.length <= len(self.log):
            return 0
        if self.log[state.length - 1].hash() != state.last_hash:
            return 0
        return state.length

    def _send_all(self):
        effects = []
        for folder_id in tuple(self._next):
            effects += self._send(folder_id)
        return effects

    def _send(self, folder_id):
        start = self._next.get(folder_id)
        if start is None or folder_id in self._busy or start >= len(self.log):
            return []
        self._busy.add(folder_id)
        entries = tuple(self._chunk(start))
        return [SendAppend(self._folder(folder_id), self.epoch, entries)]

    def _chunk(self, start):
        size_bytes = 0
        for entry in self.log[start:]:
            yield entry
            size_bytes += len(entry.body)
            if size_bytes > APPEND_BYTES:
                return

    def _durable_length(self, folders):
        lengths = sorted(
            (self._match.get(f.folder_id, 0) for f in folders), reverse=True
        )
        return lengths[write_quorum(len(folders)) - 1]

    def _commit(self):
        """Advance what is durable in the old and, if written, new set."""
        length = self._durable_length(self.placement.folders)
        if self._swap_sent:
            length = min(length, self._durable_length(self._wanted.folders))
        if length <= self.committed_length:
            return []
        if self.log[length - 1].epoch != self.epoch:
            return []
        self.committed_length = length
        effects = [Committed(length)]
        if self.state == 'bringing':
            self.begin_serve()
            effects.append(Opened())
        return effects

    def _swap_caught_up(self):
        """Write the new placement once the new copy holds everything."""
        if self._wanted is None or self._swap_sent or not self.can_serve:
            return []
        lengths = (self._match[f.folder_id] for f in self._fresh_folders())
        if min(lengths, default=0) < self.committed_length:
            return []
        self._swap_sent = True
        return [SwapKey(self._wanted, self._revision)]

    def _fresh_folders(self):
        placed = {folder.folder_id for folder in self.placement.folders}
        return (f for f in self._wanted.folders if f.folder_id not in placed)

    def _displace(self, previous):
        kept = {folder.folder_id for folder in self.placement.folders}
        effects = []
        for folder in previous.folders:
            if folder.folder_id not in kept:
                self._match.pop(folder.folder_id, None)
                self._next.pop(folder.folder_id, None)
                effects.append(SendDrop(folder, self.epoch))
        return effects

    def _lose(self):
        self.lose()
        return [Superseded()]
