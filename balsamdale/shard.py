"""State machine of the owner of one shard.

Covers takeover, replication of the log and replacement of replicas. `Shard`
performs no I/O: its methods take events and return effects, which the caller
performs. It needs no clock: epochs alone fence off an earlier owner. In the
state 'bringing' the owner catches the replicas up; 'lost' means superseded
or handed over.
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
    'Opened',
    'ReadKey',
    'SendAppend',
    'SendDrop',
    'SendRead',
    'SendSeal',
    'Shard',
    'Superseded',
    'SwapKey',
    'latest_log',
    'seal_quorum',
    'write_quorum',
]

APPEND_BATCH_BYTES = 524288

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
    """Delete the log in a folder that is no longer a replica."""

    folder: placement.DataFolder
    epoch: int


@dataclasses.dataclass(frozen=True)
class Opened:
    """The takeover is complete; the log may be read and appended to."""


@dataclasses.dataclass(frozen=True)
class Committed:
    """Entries below this length are durable."""

    length: int


@dataclasses.dataclass(frozen=True)
class Superseded:
    """A later owner claimed the shard; this one must stop."""


def write_quorum(replica_count: int) -> int:
    """Return how many replicas must sync an entry to make it durable."""
    return replica_count if replica_count < 3 else replica_count // 2 + 1


def seal_quorum(replica_count: int) -> int:
    """Return how many journals a takeover must seal.

    Any set of this many journals shares a journal with every write quorum.
    """
    return replica_count - write_quorum(replica_count) + 1


def latest_log(sealed: dict[str, journal.LogState]) -> str:
    """Return the folder whose log a takeover continues.

    The last record's epoch is compared before the length: a longer log may
    end in records that an earlier owner wrote and that were never durable.
    """

    def rank(folder_id):
        return (sealed[folder_id].last_epoch, sealed[folder_id].length)

    return max(sealed, key=rank)


class Shard:
    """Claims one shard and replicates its log.

    Args:
        number: shard number.
        instance_id: the instance that claims the shard.
    """

    def __init__(self, number: int, instance_id: str):
        self.number = number
        self.instance_id = instance_id
        self.log: list[journal.Entry] = []
        self.placement: placement.Placement | None = None
        self.committed_length = 0
        self._revision = 0
        self._pending_placement: placement.Placement | None = None
        self._sealed_states: dict[str, journal.LogState] = {}
        self._source_folder: placement.DataFolder | None = None
        self._target_length = 0
        self._match_length: dict[str, int] = {}
        self._next_sequence: dict[str, int] = {}
        self._appending_to: set[str] = set()
        self._swap_sent = False
        self._unresponsive: set[str] = set()
        MACHINE.add_model(self)

    def detach(self) -> None:
        """Remove this object from the shared state machine."""
        MACHINE.remove_model(self)

    @property
    def epoch(self) -> int:
        """Epoch at which this instance owns or claims the shard."""
        return self._current_placement().epoch

    @property
    def can_serve(self) -> bool:
        """Whether programs of the shard may be served."""
        return self.state == 'serving'

    def claim(
        self,
        current: placement.Placement | None,
        revision: int,
        folders: tuple[placement.DataFolder, ...],
        change_id: str,
    ) -> list:
        """Start a takeover.

        Args:
            current: value of the shard's key, or None.
            revision: revision of the key; 0 if it does not exist.
            folders: the replicas of a new shard.
            change_id: unique id of the write.
        """
        self._pending_placement = placement.Placement(
            shard=self.number,
            owner_id=self.instance_id,
            epoch=current.epoch + 1 if current else 1,
            folders=current.folders if current else folders,
            change_id=change_id,
        )
        self._revision = revision
        self.begin_claim()
        return [SwapKey(self._pending_placement, revision)]

    def on_swapped(self, revision: int) -> list:
        """Handle the reply to a write; revision 0 is a failed comparison."""
        if self.state == 'lost' or self._pending_placement is None:
            return []
        if revision == 0:
            return [ReadKey()]
        previous = self.placement
        self.placement = self._pending_placement
        self._pending_placement = None
        self._swap_sent = False
        self._revision = revision
        if self.state == 'claiming':
            self.begin_seal()
            return [SendSeal(f, self.epoch) for f in self.placement.folders]
        return self._remove_replaced_logs(previous) + self._commit()

    def on_swap_unconfirmed(self) -> list:
        """Handle a write without a reply: it may have been made or not."""
        return [ReadKey()]

    def on_key_read(
        self, current: placement.Placement | None, revision: int
    ) -> list:
        """Tell from the key's value whether a write was made."""
        if self.state == 'lost' or self._pending_placement is None:
            return []
        if (
            current is not None
            and current.change_id == self._pending_placement.change_id
        ):
            return self.on_swapped(revision)
        if revision == self._revision:
            return [SwapKey(self._pending_placement, revision)]
        return self._become_superseded()

    def on_sealed(self, folder_id: str, state: journal.LogState) -> list:
        """Handle a journal's promise to refuse lower epochs."""
        if self.state != 'sealing':
            return []
        self._sealed_states[folder_id] = state
        if len(self._sealed_states) < seal_quorum(len(self.placement.folders)):
            return []
        latest_id = latest_log(self._sealed_states)
        self._source_folder = self._find_folder(latest_id)
        self._target_length = self._sealed_states[latest_id].length
        if self._target_length == 0:
            return self._catch_up_replicas()
        self.begin_fetch()
        return [SendRead(self._source_folder, 0)]

    def on_seal_failed(self, folder_id: str) -> list:
        """Retry a seal that got no reply."""
        if self.state != 'sealing' or folder_id in self._sealed_states:
            return []
        return [SendSeal(self._find_folder(folder_id), self.epoch)]

    def on_log_read(self, entries: tuple[journal.Entry, ...]) -> list:
        """Handle a part of the log that the takeover continues."""
        if self.state != 'fetching':
            return []
        new = (e for e in entries if e.sequence == len(self.log))
        self.log.extend(new)
        if len(self.log) < self._target_length:
            return [SendRead(self._source_folder, len(self.log))]
        return self._catch_up_replicas()

    def on_log_read_failed(self) -> list:
        """Retry a read that got no reply."""
        if self.state != 'fetching':
            return []
        return [SendRead(self._source_folder, len(self.log))]

    def append(self, program_id: str, bodies: tuple[bytes, ...]) -> list:
        """Append entries; they are durable once `Committed` covers them."""
        for body in bodies:
            self.log.append(
                journal.next_entry(self.log, self.epoch, program_id, body)
            )
        return self._send_appends()

    def on_appended(self, folder_id: str, length: int) -> list:
        """Handle a journal's acknowledgement of entries below a length."""
        if self.state not in ('bringing', 'serving'):
            return []
        self._appending_to.discard(folder_id)
        self._unresponsive.discard(folder_id)
        if folder_id not in self._match_length:
            return []
        self._match_length[folder_id] = max(
            self._match_length[folder_id], length
        )
        self._next_sequence[folder_id] = self._match_length[folder_id]
        return (
            self._commit()
            + self._swap_when_caught_up()
            + self._send_append(folder_id)
        )

    def on_gap(self, folder_id: str, length: int) -> list:
        """Handle a journal that lacks the entries before those sent."""
        self._appending_to.discard(folder_id)
        if folder_id not in self._next_sequence or self.state == 'lost':
            return []
        self._next_sequence[folder_id] = min(length, len(self.log) - 1)
        return self._send_append(folder_id)

    def on_append_failed(self, folder_id: str) -> list:
        """Retry an append that got no reply."""
        self._appending_to.discard(folder_id)
        self._unresponsive.add(folder_id)
        if self.state == 'lost':
            return []
        return self._send_append(folder_id)

    def on_stale_epoch(self, held_epoch: int) -> list:
        """Handle a journal that has promised a higher epoch."""
        if self.state == 'lost' or held_epoch <= self.epoch:
            return []
        return self._become_superseded()

    def replace_replica(
        self, folder_id: str, added: placement.DataFolder, change_id: str
    ) -> list:
        """Replace a replica; the new one must catch up before it counts."""
        if self.state != 'serving' or self._pending_placement is not None:
            return []
        remaining = (
            f for f in self.placement.folders if f.folder_id != folder_id
        )
        self._pending_placement = dataclasses.replace(
            self.placement, folders=(*remaining, added), change_id=change_id
        )
        self._match_length[added.folder_id] = 0
        self._next_sequence[added.folder_id] = 0
        return self._send_append(added.folder_id)

    def hand_over(self, change_id: str) -> list:
        """Release the shard in a planned stop."""
        if self.state != 'serving' or self._pending_placement is not None:
            return []
        released = dataclasses.replace(
            self.placement, owner_id='', change_id=change_id
        )
        self.lose()
        return [SwapKey(released, self._revision)]

    def responsive_folders(self) -> list[placement.DataFolder]:
        """Return the replicas whose last append has not failed."""
        return [
            folder
            for folder in self.placement.folders
            if folder.folder_id not in self._unresponsive
        ]

    def count_in_sync(self, reachable: collections_abc.Collection[str]) -> int:
        """Return how many replicas hold every entry.

        Args:
            reachable: ids of the folders that count.
        """
        return sum(
            folder.folder_id in reachable
            and self._match_length.get(folder.folder_id, 0) >= len(self.log)
            for folder in self.placement.folders
        )

    def _current_placement(self):
        return self.placement or self._pending_placement

    def _find_folder(self, folder_id):
        folders = list(self.placement.folders)
        if self._pending_placement is not None:
            folders += self._pending_placement.folders
        return next(f for f in folders if f.folder_id == folder_id)

    def _catch_up_replicas(self):
        self._start_catch_up()
        start = records.EpochStarted(self.instance_id, self.epoch)
        return self.append('', (codec.encode(start),))

    def _start_catch_up(self):
        self.begin_bring()
        for folder in self.placement.folders:
            self._match_length[folder.folder_id] = 0
            self._next_sequence[folder.folder_id] = self._matching_length(
                folder.folder_id
            )

    def _matching_length(self, folder_id):
        """Return how many entries a sealed journal has in common with the log.

        It is 0 if that is unknown.
        """
        state = self._sealed_states.get(folder_id)
        if state is None or not 0 < state.length <= len(self.log):
            return 0
        if self.log[state.length - 1].hash() != state.last_hash:
            return 0
        return state.length

    def _send_appends(self):
        effects = []
        for folder_id in tuple(self._next_sequence):
            effects += self._send_append(folder_id)
        return effects

    def _send_append(self, folder_id):
        start = self._next_sequence.get(folder_id)
        if (
            start is None
            or folder_id in self._appending_to
            or start >= len(self.log)
        ):
            return []
        self._appending_to.add(folder_id)
        entries = tuple(self._next_batch(start))
        return [SendAppend(self._find_folder(folder_id), self.epoch, entries)]

    def _next_batch(self, start):
        size_bytes = 0
        for entry in self.log[start:]:
            yield entry
            size_bytes += len(entry.body)
            if size_bytes > APPEND_BATCH_BYTES:
                return

    def _durable_length(self, folders):
        lengths = sorted(
            (self._match_length.get(f.folder_id, 0) for f in folders),
            reverse=True,
        )
        return lengths[write_quorum(len(folders)) - 1]

    def _commit(self):
        """Advance the committed length.

        While a new placement is being written, an entry must be durable in
        the old and in the new replicas.
        """
        length = self._durable_length(self.placement.folders)
        if self._swap_sent:
            length = min(
                length, self._durable_length(self._pending_placement.folders)
            )
        if length <= self.committed_length:
            return []
        # Entries of earlier epochs are committed only along with one of this
        # epoch: until then a takeover may still choose a log without them.
        if self.log[length - 1].epoch != self.epoch:
            return []
        self.committed_length = length
        effects = [Committed(length)]
        if self.state == 'bringing':
            self.begin_serve()
            effects.append(Opened())
        return effects

    def _swap_when_caught_up(self):
        """Write the new placement once the new replica has caught up."""
        if (
            self._pending_placement is None
            or self._swap_sent
            or not self.can_serve
        ):
            return []
        lengths = (
            self._match_length[f.folder_id] for f in self._added_folders()
        )
        if min(lengths, default=0) < self.committed_length:
            return []
        self._swap_sent = True
        return [SwapKey(self._pending_placement, self._revision)]

    def _added_folders(self):
        current_ids = {folder.folder_id for folder in self.placement.folders}
        return (
            f
            for f in self._pending_placement.folders
            if f.folder_id not in current_ids
        )

    def _remove_replaced_logs(self, previous):
        current_ids = {folder.folder_id for folder in self.placement.folders}
        effects = []
        for folder in previous.folders:
            if folder.folder_id not in current_ids:
                self._match_length.pop(folder.folder_id, None)
                self._next_sequence.pop(folder.folder_id, None)
                effects.append(SendDrop(folder, self.epoch))
        return effects

    def _become_superseded(self):
        self.lose()
        return [Superseded()]
