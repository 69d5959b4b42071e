"""The replica set: the data folders that hold a deployment's turns.

Majorities are counted over this set. A folder joins once it has caught up
and leaves once its records are on the others; a folder that is unreachable
for a while stays a member.
"""

import dataclasses

from balsamdale import codec
from balsamdale import decisions
from balsamdale import errors

__all__ = ['AbsenceTracker', 'Folder', 'ReplicaSet', 'folder_key']

KEY_PREFIX = 'balsamdale/folders/'
# Seconds of absence after which a folder is declared lost. An absence begins
# once the instance's lease has expired and the probes have failed.
LOSS_TIMEOUT_S = 2.5


@codec.message
class Folder:
    """A data folder in the replica set.

    Attributes:
        instance_id: instance that serves the folder.
        failure_domain: failure domain of that instance.
    """

    instance_id: str
    failure_domain: str


def folder_key(instance_id: str) -> str:
    """Return the key-value key of a folder."""
    return f'{KEY_PREFIX}{instance_id}'


class ReplicaSet:
    """The data folders in the replica set, as the mirror has them."""

    def __init__(self):
        self._folders: dict[str, Folder] = {}

    def apply_change(self, key: str, value: bytes | None) -> None:
        """Apply a change of one folder's key in the mirror."""
        instance_id = key.removeprefix(KEY_PREFIX)
        if value is None:
            self._folders.pop(instance_id, None)
            decisions.record('folder_left', folder=instance_id)
            return
        try:
            self._folders[instance_id] = codec.decode(value)
        except errors.UnknownMessage as error:
            decisions.record('folder_unreadable', key=key, reason=str(error))
            return
        decisions.record('folder_joined', folder=instance_id)

    def folders(self) -> tuple[Folder, ...]:
        """Return the folders."""
        return tuple(self._folders.values())

    def names(self) -> frozenset[str]:
        """Return the ids of the instances that serve the folders."""
        return frozenset(self._folders)


@dataclasses.dataclass
class AbsenceTracker:
    """Decides which absent folders to declare lost.

    An absent folder is declared lost only while 2 * losses + 1 folders are
    present, so that an outage does not shrink the replica set further than
    necessary.

    Attributes:
        losses: folders that may be lost at once.
    """

    losses: int
    _absent_since_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def find_lost(
        self,
        folder_names: frozenset[str],
        present: frozenset[str],
        now_s: float,
    ) -> list[str]:
        """Return the folders that have been absent for `LOSS_TIMEOUT_S`.

        Args:
            folder_names: instance ids of the replica set.
            present: ids of the instances that are registered or reply.
            now_s: the present time.
        """
        absent = folder_names - present
        self._absent_since_s = {
            name: self._absent_since_s.get(name, now_s) for name in absent
        }
        if len(folder_names & present) < 2 * self.losses + 1:
            return []
        return sorted(
            name
            for name, absent_since_s in self._absent_since_s.items()
            if now_s - absent_since_s >= LOSS_TIMEOUT_S
        )
