"""Decides which copies a folder must hold and what it may confirm.

Nothing here does I/O. docs/design/copies.md has the reasons.
"""

from collections import abc as collections_abc

from balsamdale import placement

__all__ = [
    'Needs',
    'ReadTracker',
    'SetOverlap',
    'is_caught_up',
    'replicas',
]


def replicas(
    program_id: str, names: collections_abc.Iterable[str], losses: int
) -> list[str]:
    """Return the folders that hold the records of a program.

    Args:
        program_id: the program.
        names: instance ids of the replica set.
        losses: folders that may be lost at once.
    """
    return placement.rank(program_id, list(names))[: 2 * losses + 1]


def is_caught_up(
    folder_names: frozenset[str],
    own_id: str,
    whole: collections_abc.Set[str],
    read: collections_abc.Set[str],
    losses: int,
) -> bool:
    """Return whether a folder has read all that it can have acknowledged.

    Each record is on `losses + 1` folders of the set, so all but `losses` of
    them include a holder, if they lack nothing themselves. Once all others
    have been read, no more can be had.

    Args:
        folder_names: instance ids of the replica set.
        own_id: instance id of the folder.
        whole: folders that were in sync while they were read.
        read: all folders that were read.
        losses: folders that may be lost at once.
    """
    others = folder_names - {own_id}
    if not others:
        return False
    required_count = max(1, len(folder_names) - losses)
    return len(whole & others) >= required_count or others <= read


class SetOverlap:
    """Tells which replica sets instances may count majorities over.

    Instances see a change of the set at different times. Two of them that
    count over different sets may miss what the other has stored, so that a
    reservation has to be made in each set that another may still use.

    Args:
        overlap_s: seconds within which all instances see a change.
    """

    def __init__(self, overlap_s: float):
        self._overlap_s = overlap_s
        self._names: tuple[str, ...] = ()
        # Earlier sets, and until when they may be used.
        self._earlier: list[tuple[tuple[str, ...], float]] = []

    def observe(
        self, names: tuple[str, ...], now_s: float
    ) -> list[tuple[str, ...]]:
        """Return the sets that may be in use, the present one first.

        Args:
            names: instance ids of the replica set.
            now_s: the present time.
        """
        if names != self._names:
            until_s = now_s + self._overlap_s
            self._earlier.append((self._names, until_s))
            self._names = names
        if self._earlier:
            self._earlier = [e for e in self._earlier if e[1] > now_s]
        return [names, *(earlier for earlier, _ in self._earlier)]


class Needs:
    """Whether a folder is a replica of a program.

    Args:
        own_id: instance id of the folder.
        folder_names: instance ids of the replica set.
        losses: folders that may be lost at once.
    """

    def __init__(self, own_id: str, folder_names: frozenset[str], losses: int):
        self._own_id = own_id
        self._names = folder_names
        self._losses = losses
        self._known: dict[str, bool] = {}

    def __call__(self, program_id: str) -> bool:
        """Return whether the folder must hold a program's records."""
        if len(self._names) <= 2 * self._losses + 1:
            return True
        is_needed = self._known.get(program_id)
        if is_needed is None:
            is_needed = self._own_id in replicas(
                program_id, self._names, self._losses
            )
            self._known[program_id] = is_needed
        return is_needed


class ReadTracker:
    """Decides which folders this one must read, and what that confirms.

    A folder may lack what was stored while it was away, and is a replica of
    more programs once another folder is gone. So it reads all others after
    its start, after it has joined, and after one of them is lost or gone.
    The key of a lost folder may go once all that remain have read each other
    without it: each record is then on all its replicas of the new set.

    Args:
        own_id: instance id of the folder.

    Attributes:
        round: number of the present round of reads.
    """

    def __init__(self, own_id: str):
        self._own_id = own_id
        self._folder_names: frozenset[str] = frozenset()
        self._lost: frozenset[str] = frozenset()
        self._read: set[str] = set()
        self.round = 0

    def observe(
        self, folder_names: frozenset[str], lost: frozenset[str]
    ) -> None:
        """Take note of the replica set and of the folders declared lost."""
        has_joined = self._own_id in folder_names - self._folder_names
        are_gone = bool(self._folder_names - folder_names)
        if has_joined or are_gone or lost - self._lost:
            self._read.clear()
            self.round += 1
        self._folder_names, self._lost = folder_names, lost

    def remaining(self) -> frozenset[str]:
        """Return the folders that are not lost, this one included."""
        return self._folder_names - self._lost

    def unread(self) -> list[str]:
        """Return the folders that are still to be read in this round."""
        return sorted(self.remaining() - {self._own_id} - self._read)

    def record_read(self, name: str, round_number: int) -> None:
        """Take note that a folder was read, in the round that it began."""
        if round_number == self.round:
            self._read.add(name)

    def confirms(self, lost_name: str) -> bool:
        """Return whether this folder lacks nothing without a lost one."""
        return lost_name in self._lost and not self.unread()

    def may_forget(
        self, lost_name: str, confirmed: collections_abc.Set[str]
    ) -> bool:
        """Return whether the key of a lost folder may go.

        Args:
            lost_name: instance id of the lost folder.
            confirmed: folders that lack nothing without it, or are not in
                sync and so prove no absence.
        """
        others = self.remaining() - {self._own_id}
        return self.confirms(lost_name) and others <= confirmed
