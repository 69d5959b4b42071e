"""Mirror: a local copy of the key-value service's keys.

Each instance watches the service itself; while it cannot, it pulls the copy
of a peer with a later revision. The revision of a copy never decreases.
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

# Long-poll time of a watch: one call every ten seconds without changes.
WATCH_WAIT_S = 10.0
# Long-poll time of the first watch after an outage.
RECONNECT_WATCH_WAIT_S = 0.05
# Seconds before the first retry of a failed call.
MIN_RETRY_INTERVAL_S = 0.1
# Longest retry interval, well below the time in which changes must be in
# force.
MAX_RETRY_INTERVAL_S = 0.6
# Seconds between comparisons with a peer while the service replies.
COMPARE_INTERVAL_S = 1.0
# The same while it does not reply.
DISCONNECTED_COMPARE_INTERVAL_S = 0.3
# Seconds in which this instance's watch should deliver a change that a peer
# already has.
WATCH_GRACE_S = 0.25
PEER_TIMEOUT_S = 0.5

Listener = collections_abc.Callable[[str, bytes | None], None]


@codec.message
class CompareMirror:
    """Requests the revision of the last change in a peer's copy."""

    changed: int


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


class Mirror:
    """A copy of all keys, complete up to a revision.

    Attributes:
        revision: revision up to which the copy is complete.
        last_change_revision: revision of the last change in the copy.
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
        revision: int,
    ) -> bool:
        """Replace the copy; return False if it is newer than the snapshot."""
        if revision < self.revision:
            return False
        new_pairs = {pair.key: pair for pair in pairs}
        removed_keys = self._pairs.keys() - new_pairs.keys()
        changed_pairs = [
            pair
            for key, pair in new_pairs.items()
            if key not in self._pairs
            or self._pairs[key].revision < pair.revision
        ]
        if removed_keys:
            self.last_change_revision = revision
        self.revision = revision
        self._pairs = new_pairs
        for pair in changed_pairs:
            self.last_change_revision = max(
                self.last_change_revision, pair.revision
            )
            self._notify(pair.key, pair.value)
        for key in sorted(removed_keys):
            self._notify(key, None)
        return True

    def apply_changes(
        self,
        changes: collections_abc.Iterable[keyvalue.Change],
        revision: int,
    ) -> None:
        """Apply changes; those that the copy already has are skipped."""
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
            self._notify(change.key, change.value)
        self.revision = max(self.revision, revision)

    def snapshot(self) -> tuple[tuple[str, bytes, int], ...]:
        """Return every key with its value and revision."""
        return tuple(
            (pair.key, pair.value, pair.revision)
            for pair in self._pairs.values()
        )

    def _notify(self, key, value):
        for prefix, listener in self._listeners:
            if key.startswith(prefix):
                listener(key, value)


class Follower:
    """Keeps a mirror up to date from the key-value service, and from peers.

    Attributes:
        is_connected: whether the service replied to the last call.
        is_catching_up: whether the changes being applied were made during an
            outage that has ended.

    Args:
        mirror: the copy.
        store: the key-value service.
        links: connections to peers.
        peers: returns the instances to compare with.
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
        self._watch_timeout: asyncio.Timeout | None = None
        self._restart_reason = ''
        self.pulls = 0
        links.serve(CompareMirror, self._on_compare_mirror)
        links.serve(PullMirror, self._on_pull_mirror)

    async def run(self) -> None:
        """Follow the service until cancelled."""
        retry_interval_s = MIN_RETRY_INTERVAL_S
        while True:
            try:
                await self._follow()
                retry_interval_s = MIN_RETRY_INTERVAL_S
            except errors.RevisionCompacted as error:
                self._is_loaded = False
                decisions.record('mirror_reload', reason=str(error))
            except errors.KeyValueError as error:
                self._set_disconnected(error)
                await asyncio.sleep(
                    retry_interval_s * self._generator.uniform(0.5, 1.0)
                )
                retry_interval_s = min(
                    MAX_RETRY_INTERVAL_S, 2 * retry_interval_s
                )

    async def run_comparisons(self) -> None:
        """Compare with a random peer periodically until cancelled."""
        while True:
            interval_s = (
                COMPARE_INTERVAL_S
                if self.is_connected
                else DISCONNECTED_COMPARE_INTERVAL_S
            )
            await asyncio.sleep(interval_s * self._generator.uniform(0.8, 1.2))
            peers = self._peers()
            if peers:
                await self._compare_with(self._generator.choice(peers))

    def restart_watch(self, reason: str) -> None:
        """Restart the watch, as the service may be down unnoticed.

        A waiting watch survives an outage without an error and then returns
        the registrations that expired meanwhile as ordinary changes.

        Args:
            reason: why the watch is distrusted.
        """
        watch_timeout, self._watch_timeout = self._watch_timeout, None
        if self.is_connected and watch_timeout is not None:
            self._restart_reason = reason
            watch_timeout.reschedule(asyncio.get_running_loop().time())

    async def _follow(self):
        if not self._is_loaded:
            pairs, revision = await self._store.scan('')
            self._set_connected()
            self.mirror.load_snapshot(pairs, revision)
            self._is_loaded = True
            self.is_catching_up = False
        # The first watch after an outage is short: it returns the changes
        # made meanwhile, which listeners tell apart by `is_catching_up`.
        wait_s = WATCH_WAIT_S if self.is_connected else RECONNECT_WATCH_WAIT_S
        changes, revision = await self._watch(wait_s)
        self._set_connected()
        self.mirror.apply_changes(changes, revision)
        self.is_catching_up = False

    async def _watch(self, wait_s):
        try:
            async with asyncio.timeout(None) as self._watch_timeout:
                return await self._store.changes(
                    '', self.mirror.revision, wait_s
                )
        except TimeoutError as error:
            raise errors.KeyValueUnavailable(
                f'the watch was given up: {self._restart_reason}', False
            ) from error
        finally:
            self._watch_timeout = None

    def _set_connected(self):
        if not self.is_connected:
            self.is_connected = True
            self.is_catching_up = True
            decisions.record('store_regained', through=self.mirror.revision)

    def _set_disconnected(self, error):
        if self.is_connected:
            self.is_connected = False
            decisions.record(
                'store_lost', reason=str(error), through=self.mirror.revision
            )

    async def _compare_with(self, peer_id):
        with contextlib.suppress(errors.LinkError):
            reply = await self._links.request(
                peer_id,
                CompareMirror(self.mirror.last_change_revision),
                PEER_TIMEOUT_S,
            )
            if reply.changed <= self.mirror.revision:
                return
            await asyncio.sleep(WATCH_GRACE_S)
            if reply.changed <= self.mirror.revision:
                return
            self.restart_watch(f'{peer_id} knows a later change')
            await self._pull_copy(peer_id)

    async def _pull_copy(self, peer_id):
        copy = await self._links.request(
            peer_id, PullMirror(self.mirror.revision), PEER_TIMEOUT_S
        )
        pairs = (keyvalue.Pair(*pair_fields) for pair_fields in copy.keys)
        if copy.keys and self.mirror.load_snapshot(pairs, copy.through):
            self.pulls += 1
            decisions.record(
                'mirror_from_peer', peer=peer_id, through=copy.through
            )

    async def _on_compare_mirror(self, _sender, _message):
        yield MirrorChanged(self.mirror.last_change_revision)

    async def _on_pull_mirror(self, _sender, message):
        is_newer = self.mirror.revision > message.through
        keys = self.mirror.snapshot() if is_newer else ()
        yield MirrorCopy(self.mirror.revision, keys)
