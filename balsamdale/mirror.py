"""Access to a local copy of the key-value service's keys.

Each instance follows the service itself; while it cannot, it takes the copy
of a peer that is further. A copy never goes back.
"""

import asyncio
from collections import abc as collections_abc
import contextlib
import random

from balsamdale import codec
from balsamdale import decisions
from balsamdale import errors
from balsamdale import keyvalue
from balsamdale import link

__all__ = ['Follower', 'Mirror']

# Seconds that one watch waits: a call every ten seconds when all is calm.
WATCH_WAIT_S = 10.0
# Seconds that the first watch after an outage waits.
RETURN_WAIT_S = 0.05
# Seconds before the first try after a failed call.
SHORTEST_RETRY_S = 0.1
# Most seconds between tries, well below the time in which changes must
# be in force.
LONGEST_RETRY_S = 0.6
# Seconds between comparisons with a peer while the service answers.
COMPARE_INTERVAL_S = 1.0
# The same while it does not.
COMPARE_INTERVAL_CUT_S = 0.3
# Seconds in which the service itself should have told a change.
BEHIND_GRACE_S = 0.25
# Seconds for a peer's answer.
PEER_TIMEOUT_S = 0.5

Listener = collections_abc.Callable[[str, bytes | None], None]


@codec.message
class CompareMirror:
    """Asks for the revision of the last change that a peer knows."""

    changed: int


@codec.message
class MirrorChanged:
    """The revision of the last change that the sender knows."""

    changed: int


@codec.message
class PullMirror:
    """Asks for a peer's copy, unless it is behind a revision."""

    through: int


@codec.message
class MirrorCopy:
    """A whole copy; without keys where it is behind the asker's."""

    through: int
    keys: tuple[tuple[str, bytes, int], ...]


class Mirror:
    """The keys, complete up to a revision.

    Attributes:
        through: revision up to which the copy is complete.
        changed: revision of the last change in the copy.
    """

    def __init__(self):
        self.revision = 0
        self.last_change_revision = 0
        self._pairs: dict[str, keyvalue.Pair] = {}
        self._listeners: list[tuple[str, Listener]] = []

    def add_listener(self, prefix: str, listener: Listener) -> None:
        """Call a function with each later change below a prefix."""
        self._listeners.append((prefix, listener))

    def get(self, key: str) -> bytes | None:
        """Return a key's value."""
        pair = self._pairs.get(key)
        return pair.value if pair is not None else None

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
        through: int,
    ) -> bool:
        """Replace the copy unless it is further; return whether it was."""
        if through < self.revision:
            return False
        found = {pair.key: pair for pair in pairs}
        gone = self._pairs.keys() - found.keys()
        fresh = [
            pair
            for key, pair in found.items()
            if key not in self._pairs
            or self._pairs[key].revision < pair.revision
        ]
        if gone:
            self.last_change_revision = through
        self.revision = through
        self._pairs = found
        for pair in fresh:
            self.last_change_revision = max(
                self.last_change_revision, pair.revision
            )
            self._tell(pair.key, pair.value)
        for key in sorted(gone):
            self._tell(key, None)
        return True

    def apply_changes(
        self,
        changes: collections_abc.Iterable[keyvalue.Change],
        through: int,
    ) -> None:
        """Apply changes that follow the copy."""
        for change in changes:
            if change.revision <= self.revision:
                continue
            self.last_change_revision = max(
                self.last_change_revision, change.revision
            )
            if change.value is None:
                self._pairs.pop(change.key, None)
            else:
                self._pairs[change.key] = keyvalue.Pair(
                    change.key, change.value, change.revision
                )
            self._tell(change.key, change.value)
        self.revision = max(self.revision, through)

    def snapshot(self) -> tuple[tuple[str, bytes, int], ...]:
        """Return every key with its value and revision."""
        return tuple(
            (pair.key, pair.value, pair.revision)
            for pair in self._pairs.values()
        )

    def _tell(self, key, value):
        for prefix, listener in self._listeners:
            if key.startswith(prefix):
                listener(key, value)


class Follower:
    """Keeps a mirror up to date from the service, and from peers.

    Attributes:
        is_connected: whether the service answered the last call.
        is_returning: whether changes are those of an outage that ended.

    Args:
        mirror: the copy.
        store: the key-value service.
        links: connections to other instances.
        peers: returns the instances that may be asked.
        generator: source of jitter and of the choice of a peer.
    """

    def __init__(
        self,
        mirror: Mirror,
        store: keyvalue.LeasedKeyValue,
        links: link.Links,
        peers: collections_abc.Callable[[], list[str]],
        generator: random.Random,
    ):
        self.mirror = mirror
        self._store = store
        self._links = links
        self._peers = peers
        self._generator = generator
        self._is_loaded = False
        self.is_connected = False
        self.is_catching_up = False
        self._watching: asyncio.Timeout | None = None
        self._doubt = ''
        self.pulls = 0
        links.serve(CompareMirror, self._on_compare)
        links.serve(PullMirror, self._on_pull)

    async def run(self) -> None:
        """Follow the service, for ever."""
        delay_s = SHORTEST_RETRY_S
        while True:
            try:
                await self._follow()
                delay_s = SHORTEST_RETRY_S
            except errors.RevisionCompacted as error:
                self._is_loaded = False
                decisions.record('mirror_reload', reason=str(error))
            except errors.KeyValueError as error:
                self._disconnected(error)
                await asyncio.sleep(
                    delay_s * self._generator.uniform(0.5, 1.0)
                )
                delay_s = min(LONGEST_RETRY_S, 2 * delay_s)

    async def run_comparisons(self) -> None:
        """Compare with a random peer now and then, for ever."""
        while True:
            interval_s = (
                COMPARE_INTERVAL_S
                if self.is_connected
                else COMPARE_INTERVAL_CUT_S
            )
            await asyncio.sleep(interval_s * self._generator.uniform(0.8, 1.2))
            peers = self._peers()
            if peers:
                await self._compare(self._generator.choice(peers))

    def restart_watch(self, reason: str) -> None:
        """Make the watch anew, as the service may be away behind it.

        A watch that waits outlives an outage without a sign, and answers
        with the registrations that lapsed meanwhile as if they were news.

        Args:
            reason: what raised the doubt.
        """
        watching, self._watching = self._watching, None
        if self.is_connected and watching is not None:
            self._doubt = reason
            watching.reschedule(asyncio.get_running_loop().time())

    async def _follow(self):
        if not self._is_loaded:
            pairs, revision = await self._store.scan('')
            self._connected()
            self.mirror.load_snapshot(pairs, revision)
            self._is_loaded = True
            self.is_catching_up = False
        # After an outage, what changed meanwhile is told apart from news.
        wait_s = WATCH_WAIT_S if self.is_connected else RETURN_WAIT_S
        changes, revision = await self._watch(wait_s)
        self._connected()
        self.mirror.apply_changes(changes, revision)
        self.is_catching_up = False

    async def _watch(self, wait_s):
        try:
            async with asyncio.timeout(None) as self._watching:
                return await self._store.changes(
                    '', self.mirror.revision, wait_s
                )
        except TimeoutError as error:
            raise errors.KeyValueUnavailable(
                f'the watch was given up: {self._doubt}', False
            ) from error
        finally:
            self._watching = None

    def _connected(self):
        if not self.is_connected:
            self.is_connected = True
            self.is_catching_up = True
            decisions.record('store_regained', through=self.mirror.revision)

    def _disconnected(self, error):
        if self.is_connected:
            self.is_connected = False
            decisions.record(
                'store_lost', reason=str(error), through=self.mirror.revision
            )

    async def _compare(self, peer_id):
        with contextlib.suppress(errors.LinkError):
            reply = await self._links.request(
                peer_id,
                CompareMirror(self.mirror.last_change_revision),
                PEER_TIMEOUT_S,
            )
            if reply.changed <= self.mirror.revision:
                return
            await asyncio.sleep(BEHIND_GRACE_S)
            if reply.changed <= self.mirror.revision:
                return
            self.restart_watch(f'{peer_id} knows a later change')
            await self._pull(peer_id)

    async def _pull(self, peer_id):
        copy = await self._links.request(
            peer_id, PullMirror(self.mirror.revision), PEER_TIMEOUT_S
        )
        pairs = (keyvalue.Pair(*row) for row in copy.keys)
        if copy.keys and self.mirror.load_snapshot(pairs, copy.through):
            self.pulls += 1
            decisions.record(
                'mirror_from_peer', peer=peer_id, through=copy.through
            )

    async def _on_compare(self, _sender, _message):
        yield MirrorChanged(self.mirror.last_change_revision)

    async def _on_pull(self, _sender, message):
        is_later = self.mirror.revision > message.through
        keys = self.mirror.snapshot() if is_later else ()
        yield MirrorCopy(self.mirror.revision, keys)
