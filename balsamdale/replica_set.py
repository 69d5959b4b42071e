"""Access to the set of data folders that hold a deployment's turns.

The set changes only when a folder has all it needs, or has passed all it
has to the others; a folder that is merely away stays in it. Majorities are
counted over this set.
"""

import dataclasses

from balsamdale import codec
from balsamdale import decisions
from balsamdale import errors

__all__ = ['AbsenceTracker', 'Folder', 'ReplicaSet', 'folder_key']

KEY_PREFIX = 'balsamdale/folders/'
# Seconds until a member is given up: the lease and the probes after it
# are over by then.
LOSS_TIMEOUT_S = 2.5


@codec.message
class Folder:
    """A member of the set.

    Attributes:
        instance_id: instance that serves the folder.
        failure_domain: where it stands.
    """

    instance_id: str
    failure_domain: str


def folder_key(instance_id: str) -> str:
    """Return the key of a member."""
    return f'{KEY_PREFIX}{instance_id}'


class ReplicaSet:
    """The members as the mirror has them."""

    def __init__(self):
        self._folders: dict[str, Folder] = {}

    def apply_change(self, key: str, value: bytes | None) -> None:
        """Account for a change in the mirror."""
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
        """Return the members."""
        return tuple(self._folders.values())

    def names(self) -> frozenset[str]:
        """Return the names of the members' instances."""
        return frozenset(self._folders)


@dataclasses.dataclass
class AbsenceTracker:
    """Finds members that are gone for good.

    A member that is away is given up only where enough others are present,
    so that an outage does not make the set smaller than it has to be.

    Attributes:
        losses: folders that may be lost at once.
    """

    losses: int
    _since_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def find_lost(
        self,
        members: frozenset[str],
        present: frozenset[str],
        now_s: float,
    ) -> list[str]:
        """Return the members that have been away for long enough.

        Args:
            members: the set.
            present: instances that are registered or answer.
            now_s: the present time.
        """
        absent = members - present
        self._since_s = {
            name: self._since_s.get(name, now_s) for name in absent
        }
        if len(members & present) < 2 * self.losses + 1:
            return []
        return sorted(
            name
            for name, since_s in self._since_s.items()
            if now_s - since_s >= LOSS_TIMEOUT_S
        )
