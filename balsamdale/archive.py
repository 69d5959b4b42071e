"""Access to the archive of one data folder: kept turns and accounts.

`MemoryArchive` serves tests; `disk_archive.DiskArchive` keeps a folder. A
change counts once `sync` has returned.
"""

import abc
import uuid

from balsamdale import codec
from balsamdale import history

__all__ = ['Archive', 'Cursor', 'MemoryArchive', 'Record', 'settled_charge']

# Bytes of one reply to a folder that catches up: a few ms of its link.
PULL_BATCH_BYTES = 262144
# Turns of one chain; the longest programs expected have 72.
CHAIN_LIMIT = 256

Record = history.Turn | history.Charge
Cursor = tuple[int, int]


class Archive(abc.ABC):
    """Turns by id and accounts by program.

    Attributes:
        folder_id: identity of the data folder; a wiped folder has another.
        is_whole: whether its answer that something is absent can be relied
            on.
    """

    def __init__(self):
        self.folder_id = ''
        self.is_in_sync = False
        self._accounts: dict[str, dict[str, history.Charge]] = {}

    @abc.abstractmethod
    def find(self, turn_id: str) -> history.Turn | None:
        """Return a turn."""

    @abc.abstractmethod
    def put(self, record: Record) -> None:
        """Add a turn or an account's entry; repeated ones change nothing."""

    @abc.abstractmethod
    def sync(self) -> None:
        """Make every change before the call durable."""

    @abc.abstractmethod
    def read(self, cursor: Cursor) -> tuple[tuple[Record, ...], Cursor]:
        """Return records from a position on, and the position after them.

        No records are returned at the end.
        """

    @abc.abstractmethod
    def set_in_sync(self, is_whole: bool = True) -> None:
        """Record whether the folder has caught up with the others."""

    @abc.abstractmethod
    def expire(self, now_s: float) -> None:
        """Drop what is past its retention."""

    async def sync_without_blocking(self) -> None:
        """Make changes durable while the event loop goes on."""
        self.sync()

    def rotate(self, now_s: float) -> None:
        """Go on in a new file where that is due."""
        return

    def close(self) -> None:
        """Sync and release the folder."""
        self.sync()

    def chain(self, turn_id: str) -> tuple[tuple[history.Turn, ...], str]:
        """Return the end of a turn's chain as far as it is here.

        Returns:
            The turns, oldest first, and the id of the turn before them
            where it is missing; an empty id where the chain is whole.
        """
        turns: list[history.Turn] = []
        while turn_id and len(turns) < CHAIN_LIMIT:
            turn = self.find(turn_id)
            if turn is None:
                break
            turns.append(turn)
            turn_id = turn.parent_id
        return tuple(reversed(turns)), turn_id

    def account(self, program_id: str) -> tuple[history.Charge, ...]:
        """Return what is known of a program's tokens."""
        return tuple(self._accounts.get(program_id, {}).values())

    def _add_entry(self, entry: history.Charge) -> bool:
        """Keep an entry in memory; return whether it was new."""
        account = self._accounts.setdefault(entry.program_id, {})
        held = account.get(entry.turn_id)
        if held is not None and (held.is_settled or not entry.is_settled):
            return False
        account[entry.turn_id] = entry
        return True

    def _expire_accounts(self, now_s):
        ended = [
            program_id
            for program_id, account in self._accounts.items()
            if all(entry.expires_at_s < now_s for entry in account.values())
        ]
        for program_id in ended:
            del self._accounts[program_id]


def settled_charge(turn: history.Turn) -> history.Charge:
    """Return the account's entry that a kept turn stands for."""
    return history.Charge(
        turn.program_id, turn.turn_id, turn.tokens, True, turn.expires_at_s
    )


class MemoryArchive(Archive):
    """An archive that lives as long as the object."""

    def __init__(self, is_whole: bool = True):
        super().__init__()
        self.folder_id = uuid.uuid4().hex
        self.is_in_sync = is_whole
        self._turns: dict[str, history.Turn] = {}
        self._records: list[Record] = []

    def find(self, turn_id: str) -> history.Turn | None:
        return self._turns.get(turn_id)

    def put(self, record: Record) -> None:
        if isinstance(record, history.Turn):
            if record.turn_id in self._turns:
                return
            self._turns[record.turn_id] = record
            self._add_entry(settled_charge(record))
        elif not self._add_entry(record):
            return
        self._records.append(record)

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

    def set_in_sync(self, is_whole: bool = True) -> None:
        self.is_in_sync = is_whole

    def expire(self, now_s: float) -> None:
        live = (t for t in self._turns.values() if t.expires_at_s >= now_s)
        kept = {turn.turn_id for end in live for turn in self._chain_of(end)}
        self._turns = {n: t for n, t in self._turns.items() if n in kept}
        self._expire_accounts(now_s)

    def _chain_of(self, turn):
        return self.chain(turn.turn_id)[0]
