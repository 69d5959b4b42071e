"""Mirror: a local copy of the key-value service's keys, without I/O.

`follower` keeps it up to date. The revision of a copy never decreases. A copy
is complete up to its revision and may have later writes of some keys: a
snapshot that is read in pages is complete up to its first page. Those writes
are not logged for followers before the copy's revision has reached them, so
that the position of a follower is always one that its source was complete at.
"""

import collections
from collections import abc as collections_abc
import operator

from balsamdale import codec
from balsamdale import keyvalue

__all__ = ['LoggedChange', 'Mirror']

# Bytes of recent changes that are kept for followers of this copy.
LOG_LIMIT_BYTES = 4 * 1024 * 1024

Listener = collections_abc.Callable[[str, bytes | None], None]


@codec.message
class LoggedChange:
    """A change of the copy, as it is passed on to a follower.

    Attributes:
        key: the key.
        value: its new value; None if it was removed.
        revision: revision of the change.
        is_catching_up: whether it was made during an outage of the service.
    """

    key: str
    value: bytes | None
    revision: int
    is_catching_up: bool


class Mirror:
    """A copy of all keys, complete up to a revision.

    Attributes:
        revision: revision up to which the copy is complete.
        last_change_revision: revision of the last change up to `revision`.
    """

    def __init__(self):
        self.revision = 0
        self.last_change_revision = 0
        self._pairs: dict[str, keyvalue.Pair] = {}
        self._listeners: list[tuple[str, Listener]] = []
        self._log: collections.deque[LoggedChange] = collections.deque()
        self._log_bytes = 0
        # Revision after which the log has every change.
        self._log_start = 0

    def add_listener(self, prefix: str, listener: Listener) -> None:
        """Call a function with each later change below a prefix."""
        self._listeners.append((prefix, listener))

    def get(self, key: str) -> bytes | None:
        """Return a key's value."""
        pair = self._pairs.get(key)
        return pair.value if pair is not None else None

    def get_revision(self, key: str) -> int:
        """Return the revision of a key's last write; 0 without the key."""
        pair = self._pairs.get(key)
        return pair.revision if pair is not None else 0

    def iter_prefix(
        self, prefix: str
    ) -> collections_abc.Iterator[tuple[str, bytes]]:
        """Yield keys and values below a prefix."""
        for key, pair in self._pairs.items():
            if key.startswith(prefix):
                yield key, pair.value

    def load_snapshot(
        self,
        pairs: collections_abc.Iterable[keyvalue.Pair],
        revision: int,
        is_of_peer: bool = False,
    ) -> bool:
        """Replace the copy; return False if it is newer than the snapshot.

        Keys of which the copy has a later write keep it.

        Args:
            pairs: all keys.
            revision: revision up to which the snapshot is complete.
            is_of_peer: whether it is a peer's copy. A write in it that this
                copy was complete at and lacks has been removed since.
        """
        if revision < self.revision:
            return False
        new_pairs = {pair.key: pair for pair in pairs}
        removed_keys = [
            key
            for key in sorted(self._pairs.keys() - new_pairs.keys())
            if self._pairs[key].revision <= revision
        ]
        changes = [
            keyvalue.Change(pair.key, pair.value, pair.revision)
            for pair in new_pairs.values()
            if not is_of_peer
            or pair.key in self._pairs
            or pair.revision > self.revision
        ]
        changes.sort(key=operator.attrgetter('revision'))
        changes += [
            keyvalue.Change(key, None, revision) for key in removed_keys
        ]
        for change in changes:
            if self._apply(change):
                self._record_change(min(change.revision, revision))
        # Keys that came and went between two snapshots are in neither.
        self._log.clear()
        self._log_bytes = 0
        self._log_start = self.revision = revision
        return True

    def apply_changes(
        self,
        changes: collections_abc.Iterable[keyvalue.Change],
        revision: int,
        is_catching_up: bool = False,
    ) -> None:
        """Apply changes; those that the copy already has are skipped.

        Args:
            changes: the changes after some revision, in order.
            revision: revision up to which they are complete.
            is_catching_up: whether they were made during an outage.
        """
        self.apply_part(changes, revision, is_catching_up)
        self.revision = max(self.revision, revision)

    def apply_part(
        self,
        changes: collections_abc.Iterable[keyvalue.Change | LoggedChange],
        revision: int,
        is_catching_up: bool,
    ) -> None:
        """Apply a part of the changes up to a revision, without reaching it.

        The arguments are those of `apply_changes`.
        """
        for change in changes:
            if change.revision <= self.revision:
                continue
            if change.revision <= revision:
                self._log_change(
                    LoggedChange(
                        change.key,
                        change.value,
                        change.revision,
                        is_catching_up,
                    )
                )
            self._apply(change)

    def snapshot(self) -> tuple[tuple[str, bytes, int], ...]:
        """Return every key with its value and revision."""
        return tuple(
            (pair.key, pair.value, pair.revision)
            for pair in self._pairs.values()
        )

    def changes_after(self, revision: int) -> tuple[LoggedChange, ...] | None:
        """Return the changes after a revision, or None if some are gone."""
        if revision < self._log_start:
            return None
        later = []
        for change in reversed(self._log):
            if change.revision <= revision:
                break
            later.append(change)
        return tuple(reversed(later))

    def _apply(self, change):
        """Apply a change unless a later write is held.

        Returns:
            Whether it was applied; the listeners were called then.
        """
        if change.revision <= self.get_revision(change.key):
            return False
        if change.value is None:
            self._pairs.pop(change.key, None)
        else:
            self._pairs[change.key] = keyvalue.Pair(
                change.key, change.value, change.revision
            )
        for prefix, listener in self._listeners:
            if change.key.startswith(prefix):
                listener(change.key, change.value)
        return True

    def _record_change(self, revision):
        self.last_change_revision = max(self.last_change_revision, revision)

    def _log_change(self, change):
        self._record_change(change.revision)
        self._log.append(change)
        self._log_bytes += len(change.key) + len(change.value or b'')
        while self._log_bytes > LOG_LIMIT_BYTES:
            oldest = self._log.popleft()
            self._log_bytes -= len(oldest.key) + len(oldest.value or b'')
            self._log_start = oldest.revision
