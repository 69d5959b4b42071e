"""Abstract archive of the turns and token accounts of routed requests.

`MemoryArchive` is for tests; `disk_archive.DiskArchive` stores records in a
data folder. A change is durable once `sync` has returned.
"""

import abc
import uuid

from balsamdale import codec
from balsamdale import history

__all__ = ['Archive', 'Cursor', 'MemoryArchive', 'Record', 'settled_charge']

# Size of a reply to a folder that catches up: a few ms on its link.
PULL_BATCH_BYTES = 262144
# Charges in one reply to a folder that reads what it missed.
CHARGE_BATCH_COUNT = 2000
# Turns that one read of a chain returns; the longest programs expected have
# 72.
MAX_CHAIN_TURNS = 256

Record = history.Turn | history.Charge
Cursor = tuple[int, int]
# The id of a turn and that of its program.
TurnName = tuple[str, str]


class Archive(abc.ABC):
    """Turns by id and accounts by program.

    Attributes:
        folder_id: identity of the data folder; a wiped folder gets a new one.
        is_in_sync: whether it has every record that it acknowledged, so that
            its reply proves a record's absence.
    """

    def __init__(self):
        self.folder_id = ''
        self.is_in_sync = False
        self._accounts: dict[str, dict[str, history.Charge]] = {}
        # Until when the turns that others continue are retained, also those
        # that are not here yet.
        self._retained_until_s: dict[str, float] = {}

    @abc.abstractmethod
    def find(self, turn_id: str) -> history.Turn | None:
        """Return a turn, or None where it is not stored here."""

    @abc.abstractmethod
    def put(self, record: Record) -> bool:
        """Add a turn or a charge; adding one again has no effect.

        Returns:
            Whether it was new.

        Raises:
            ArchiveWriteFailed: it was not added.
        """

    @abc.abstractmethod
    def sync(self) -> None:
        """Make every change before the call durable.

        Raises:
            ArchiveWriteFailed: some may not be; the next call includes them.
        """

    @abc.abstractmethod
    def read(self, cursor: Cursor) -> tuple[tuple[Record, ...], Cursor]:
        """Return a batch of records from a position, and the next position.

        No records are returned at the end.
        """

    @abc.abstractmethod
    def holds(self, turn_id: str) -> bool:
        """Return whether a turn is stored here."""

    @abc.abstractmethod
    def _parent_id(self, turn_id: str) -> str | None:
        """Return the turn that a turn continues; None if it is not here."""

    def _extend_retention(self, turn_id: str, until_s: float) -> None:
        """Take note that a turn that is here is retained for longer."""
        return

    @abc.abstractmethod
    def list_turns(self, segment: int) -> tuple[tuple[TurnName, ...], int]:
        """Return the ids and programs of turns from a segment on.

        Returns:
            The turns of one segment, of which there may be none, and the
            segment to list next; 0 if there is none.
        """

    @abc.abstractmethod
    def set_in_sync(self, is_in_sync: bool = True) -> None:
        """Store whether the folder has caught up with the others."""

    @abc.abstractmethod
    def expire(self, now_s: float) -> None:
        """Remove expired records."""

    async def sync_without_blocking(self) -> None:
        """Make changes durable without blocking the event loop."""
        self.sync()

    def carry_over(self, now_s: float) -> bool:
        """Write charges of living accounts anew before they are deleted.

        They have to be synced before `expire` is called for the same time.

        Returns:
            Whether there were any.

        Raises:
            ArchiveWriteFailed: some were not written.
        """
        return False

    def rotate(self, now_s: float) -> None:
        """Start a new file if the current one is full or old."""
        return

    def close(self) -> None:
        """Sync and release the folder."""
        self.sync()

    def chain(self, turn_id: str) -> tuple[tuple[history.Turn, ...], str]:
        """Return the part of a turn's chain that is stored here.

        Returns:
            The turns, oldest first, and the id of the turn before them if it
            is missing, beyond the limit, or one of them; an empty id if the
            chain is complete.
        """
        turns: dict[str, history.Turn] = {}
        while turn_id and turn_id not in turns:
            turn = self.find(turn_id)
            if turn is None or len(turns) == MAX_CHAIN_TURNS:
                break
            turns[turn_id] = turn
            turn_id = turn.parent_id
        return tuple(reversed(turns.values())), turn_id

    def missing_ancestor(self, turn_id: str) -> str:
        """Return the nearest turn of a chain that is not here; '' for none.

        A chain that returns to itself lacks nothing.
        """
        seen_ids = set()
        while turn_id and turn_id not in seen_ids:
            seen_ids.add(turn_id)
            parent_id = self._parent_id(turn_id)
            if parent_id is None:
                return turn_id
            turn_id = parent_id
        return ''

    def missing_ids(self, now_s: float) -> list[str]:
        """Return the turns that are not here and that turns here continue."""
        return [
            turn_id
            for turn_id, until_s in self._retained_until_s.items()
            if until_s >= now_s and not self.holds(turn_id)
        ]

    def _retain(self, turn: history.Turn) -> float:
        """Retain the chain of a turn for as long as the turn.

        A chain with a gap is retained beyond it once the missing turn has
        come; one that returns to itself ends where it is retained already.

        Returns:
            The end of the turn's retention.
        """
        until_s = max(
            turn.expires_at_s, self._retained_until_s.get(turn.turn_id, 0.0)
        )
        turn_id = turn.parent_id
        while turn_id and until_s > self._retained_until_s.get(turn_id, 0.0):
            self._retained_until_s[turn_id] = until_s
            parent_id = self._parent_id(turn_id)
            if parent_id is None:
                break
            self._extend_retention(turn_id, until_s)
            turn_id = parent_id
        return until_s

    def _expire_retained(self, now_s):
        self._retained_until_s = {
            turn_id: until_s
            for turn_id, until_s in self._retained_until_s.items()
            if until_s >= now_s
        }

    def account(self, program_id: str) -> tuple[history.Charge, ...]:
        """Return the charges of a program that are stored here."""
        return tuple(self._accounts.get(program_id, {}).values())

    def list_charges(self, program_id: str) -> tuple[history.Charge, ...]:
        """Return the accounts of the programs behind one, in their order.

        There are at least `CHARGE_BATCH_COUNT` charges, or all that is left.
        """
        charges: list[history.Charge] = []
        for name in sorted(n for n in self._accounts if n > program_id):
            if len(charges) >= CHARGE_BATCH_COUNT:
                break
            charges.extend(self.account(name))
        return tuple(charges)

    def _known_charge(self, charge):
        """Return the charge of the same turn, if there is one."""
        return self._accounts.get(charge.program_id, {}).get(charge.turn_id)

    def _merged_charge(self, charge: history.Charge) -> history.Charge:
        """Return a charge with what is known of its turn."""
        known = self._known_charge(charge)
        return (
            charge if known is None else history.merge_charges(known, charge)
        )

    def _is_new_charge(self, charge: history.Charge) -> bool:
        """Return whether adding a charge changes its account."""
        return self._merged_charge(charge) != self._known_charge(charge)

    def _add_charge(self, charge: history.Charge) -> None:
        """Add a charge to its account, which lives as long as its last one."""
        account = self._accounts.setdefault(charge.program_id, {})
        account[charge.turn_id] = self._merged_charge(charge)

    def _expire_accounts(self, now_s):
        expired_ids = [
            program_id
            for program_id, account in self._accounts.items()
            if all(charge.expires_at_s < now_s for charge in account.values())
        ]
        for program_id in expired_ids:
            del self._accounts[program_id]


def settled_charge(turn: history.Turn) -> history.Charge:
    """Return the settled charge that a stored turn implies."""
    return history.Charge(
        turn.program_id, turn.turn_id, turn.tokens, True, turn.expires_at_s
    )


class MemoryArchive(Archive):
    """An archive in memory."""

    def __init__(self, is_in_sync: bool = True):
        super().__init__()
        self.folder_id = uuid.uuid4().hex
        self.is_in_sync = is_in_sync
        self._turns: dict[str, history.Turn] = {}
        self._records: list[Record] = []

    def find(self, turn_id: str) -> history.Turn | None:
        return self._turns.get(turn_id)

    def holds(self, turn_id: str) -> bool:
        return turn_id in self._turns

    def list_turns(self, segment: int) -> tuple[tuple[TurnName, ...], int]:
        return tuple(
            (t.turn_id, t.program_id) for t in self._turns.values()
        ), 0

    def put(self, record: Record) -> bool:
        if isinstance(record, history.Turn):
            if record.turn_id in self._turns:
                return False
            self._turns[record.turn_id] = record
            self._retain(record)
            self._add_charge(settled_charge(record))
        elif not self._is_new_charge(record):
            return False
        else:
            record = self._merged_charge(record)
            self._add_charge(record)
        self._records.append(record)
        return True

    def sync(self) -> None:
        return

    def read(self, cursor: Cursor) -> tuple[tuple[Record, ...], Cursor]:
        start = cursor[1]
        chosen = []
        size_bytes = 0
        for record in self._records[start:]:
            chosen.append(record)
            size_bytes += len(codec.encode(record))
            if size_bytes > PULL_BATCH_BYTES:
                break
        return tuple(chosen), (0, start + len(chosen))

    def set_in_sync(self, is_in_sync: bool = True) -> None:
        self.is_in_sync = is_in_sync

    def expire(self, now_s: float) -> None:
        self._turns = {
            turn_id: turn
            for turn_id, turn in self._turns.items()
            if max(turn.expires_at_s, self._retained_until_s.get(turn_id, 0.0))
            >= now_s
        }
        self._expire_retained(now_s)
        self._expire_accounts(now_s)

    def _parent_id(self, turn_id):
        turn = self._turns.get(turn_id)
        return None if turn is None else turn.parent_id
