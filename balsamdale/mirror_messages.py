"""Messages between instances that compare, pull and follow mirrors."""

from balsamdale import codec
from balsamdale import mirror

__all__ = [
    'CompareMirror',
    'MirrorChanged',
    'MirrorChanges',
    'MirrorCopy',
    'PullMirror',
    'WatchMirror',
]


@codec.message
class CompareMirror:
    """Requests the revision of the last change in a peer's copy.

    Attributes:
        changed: revision of the last change in the sender's copy.
        instance_id: the sender.
    """

    changed: int
    instance_id: str = ''


@codec.message
class MirrorChanged:
    """Reply with the revision of the last change in the sender's copy."""

    changed: int


@codec.message
class PullMirror:
    """Requests a peer's copy if it is complete beyond a revision."""

    through: int


@codec.message
class MirrorCopy:
    """Reply with a copy; without keys if it is not beyond the revision."""

    through: int
    keys: tuple[tuple[str, bytes, int], ...]


@codec.message
class WatchMirror:
    """Requests the changes of a watcher's copy after a revision.

    Attributes:
        instance_id: the instance that follows.
        through: revision up to which its copy is complete.
        wait_s: how long to wait for a change.
    """

    instance_id: str
    through: int
    wait_s: float


@codec.message
class MirrorChanges:
    """Reply with the changes of a watcher's copy.

    Attributes:
        is_watching: whether the sender watches the service, which replies.
        is_complete: whether the changes are all that the follower lacks.
        through: revision up to which the copy is complete.
        changes: the changes, in order.
    """

    is_watching: bool
    is_complete: bool
    through: int
    changes: tuple[mirror.LoggedChange, ...]
