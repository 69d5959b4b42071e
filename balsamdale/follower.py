"""Follower: keeps a mirror of the key-value service up to date.

A few instances watch the service; the others follow one of them, and watch
the service themselves while none of them can be followed. An instance whose
copy is behind although it should have every change pulls a peer's copy.
"""

import asyncio
from collections import abc as collections_abc
import contextlib
import itertools
import operator
import random

from balsamdale import decisions
from balsamdale import errors
from balsamdale import keyvalue
from balsamdale import link
from balsamdale import mirror
from balsamdale import mirror_messages as messages

__all__ = ['Follower']

# Long-poll time of a watch: one call every ten seconds without changes.
WATCH_WAIT_S = 10.0
# Long-poll time of a request to a watcher; a dead one is noticed after it.
PEER_WATCH_WAIT_S = 1.0
# Seconds for which a watcher that did not reply is not followed.
UNREACHABLE_WATCHER_AVOIDED_S = 3.0
# The same for one that is not connected to the service itself.
DISCONNECTED_WATCHER_AVOIDED_S = 0.4
# Seconds between calls of an instance that cannot follow any watcher while
# the service does not reply; the watchers call more often.
FOLLOWER_RETRY_INTERVAL_S = 2.0
# Changes in a row that are each fetched at once, and seconds between the
# fetches of further ones.
WATCH_BURST = 4
WATCH_INTERVAL_S = 0.25
# Long-poll time of the first watch after an outage.
RECONNECT_WATCH_WAIT_S = 0.05
# Seconds before the first retry of a failed call.
MIN_RETRY_INTERVAL_S = 0.1
# Longest retry interval, well below the time in which changes must be in
# force.
MAX_RETRY_INTERVAL_S = 0.6
# Seconds between comparisons with a peer while the service replies.
COMPARE_INTERVAL_S = 0.8
# The same while it does not reply.
DISCONNECTED_COMPARE_INTERVAL_S = 0.3
# Seconds before the first comparison, once a peer is known: until a peer has
# heard it, an instance that dies is evicted only when its lease expires.
FIRST_COMPARE_DELAY_S = 0.05
# Seconds in which this instance's watch should deliver a change that a peer
# already has.
WATCH_GRACE_S = 0.25
PEER_TIMEOUT_S = 0.3
# Timeout of a request for a whole copy, on a link shared with other replies.
PULL_TIMEOUT_S = 2.0


class _WatchPacing:
    """Limits how often a watch is repeated while changes come in a row.

    A change after a quiet time is not delayed; in a long row, such as the
    start of a fleet, the changes of an interval share one call.
    """

    def __init__(self):
        self._allowance = float(WATCH_BURST)
        self._updated_at_s = 0.0

    def delay_s(self, now_s: float) -> float:
        """Return how long to wait before a watch that follows changes."""
        elapsed_s = now_s - self._updated_at_s
        refilled = self._allowance + elapsed_s / WATCH_INTERVAL_S
        self._allowance = min(float(WATCH_BURST), refilled) - 1.0
        self._updated_at_s = now_s
        return max(0.0, -self._allowance) * WATCH_INTERVAL_S


class Follower:
    """Keeps a mirror up to date from the key-value service, and from peers.

    Attributes:
        is_connected: whether the service replied to the last call of this
            instance or of the watcher that it follows.
        is_catching_up: whether the changes being applied were made during an
            outage that has ended.

    Args:
        copy: the copy to keep up to date.
        store: the key-value service.
        links: connections to peers.
        peers: returns the instances to compare with, preferred ones first.
        generator: source of jitter, and of the choice of a peer while the
            service does not reply.
        watchers: returns the watchers to follow, preferred ones first; none
            if this instance watches the service itself.
    """

    def __init__(
        self,
        copy: mirror.Mirror,
        store: keyvalue.LeasedKeyValue,
        links: link.Links,
        peers: collections_abc.Callable[[], list[str]],
        generator: random.Random,
        watchers: collections_abc.Callable[[], list[str]] = list,
    ):
        self.mirror = copy
        self._store = store
        self._links = links
        self._peers = peers
        self._generator = generator
        self._watchers = watchers
        self._is_loaded = False
        self.is_connected = False
        self.is_catching_up = False
        self._is_watching = False
        self._followed_id = ''
        self._avoided_until_s: dict[str, float] = {}
        self._next_call_s = 0.0
        self._pacing = _WatchPacing()
        self._watch_timeout: asyncio.Timeout | None = None
        self._restart_reason = ''
        self._changed = asyncio.Event()
        # Called when the service replies again, and with each peer that sent
        # a request, so that the death of a silent one is noticed.
        self.on_connected: collections_abc.Callable[[], None] = _ignore
        self.on_peer_heard: collections_abc.Callable[[str], None] = _ignore
        self.pulls = 0
        links.serve(messages.CompareMirror, self._on_compare_mirror)
        links.serve(messages.PullMirror, self._on_pull_mirror)
        links.serve(messages.WatchMirror, self._on_watch_mirror)

    async def run(self) -> None:
        """Follow the service until cancelled."""
        retry_interval_s = MIN_RETRY_INTERVAL_S
        while True:
            try:
                await self._advance()
                retry_interval_s = MIN_RETRY_INTERVAL_S
            except errors.RevisionCompacted as error:
                self._is_loaded = False
                decisions.record('mirror_reload', reason=str(error))
            except errors.KeyValueError as error:
                self._set_disconnected(error)
                if self._watchers():
                    self._next_call_s = _now_s() + FOLLOWER_RETRY_INTERVAL_S
                await asyncio.sleep(
                    retry_interval_s * self._generator.uniform(0.5, 1.0)
                )
                retry_interval_s = min(
                    MAX_RETRY_INTERVAL_S, 2 * retry_interval_s
                )

    async def run_comparisons(self) -> None:
        """Compare with a peer periodically until cancelled."""
        has_compared = False
        while True:
            interval_s = (
                COMPARE_INTERVAL_S
                if self.is_connected
                else DISCONNECTED_COMPARE_INTERVAL_S
            )
            if not has_compared:
                interval_s = FIRST_COMPARE_DELAY_S
            await asyncio.sleep(interval_s * self._generator.uniform(0.8, 1.2))
            while peer_id := self._choose_peer_to_compare():
                has_compared = True
                if await self._compare_with(peer_id):
                    break

    def _choose_peer_to_compare(self):
        """Return the first usable peer; any of them while disconnected."""
        now_s = _now_s()
        peers = [
            name
            for name in self._peers()
            if name != self._followed_id
            and self._avoided_until_s.get(name, 0.0) <= now_s
        ]
        if not peers:
            return ''
        return peers[0] if self.is_connected else self._generator.choice(peers)

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
            watch_timeout.reschedule(_now_s())

    async def _advance(self):
        """Wait for changes from a watcher, or from the service itself."""
        watcher_id = self._choose_watcher() if self._is_loaded else ''
        if watcher_id:
            await self._follow_watcher(watcher_id)
        elif self._next_call_s > _now_s() and self._watchers():
            await asyncio.sleep(MIN_RETRY_INTERVAL_S)
        else:
            await self._follow_service()

    def _choose_watcher(self):
        now_s = _now_s()
        for name in self._watchers():
            if self._avoided_until_s.get(name, 0.0) <= now_s:
                return name
        return ''

    def _avoid(self, watcher_id, avoided_s, reason):
        """Leave a watcher for a while; log it once until it is followed."""
        if watcher_id not in self._avoided_until_s:
            decisions.record('watcher_avoided', peer=watcher_id, reason=reason)
        self._avoided_until_s[watcher_id] = _now_s() + avoided_s

    async def _follow_watcher(self, watcher_id):
        """Apply the changes that a watcher has, waiting for the first."""
        request = messages.WatchMirror(
            self._links.instance_id, self.mirror.revision, PEER_WATCH_WAIT_S
        )
        self._followed_id = watcher_id
        self._is_watching = False
        try:
            reply = await self._links.request(
                watcher_id, request, PEER_WATCH_WAIT_S + PEER_TIMEOUT_S
            )
            if reply.is_watching and not reply.is_complete:
                # One that was away may have read its copy after an outage.
                was_away = watcher_id in self._avoided_until_s
                await self._pull_copy(watcher_id, was_away)
        except errors.LinkError as error:
            self._avoid(watcher_id, UNREACHABLE_WATCHER_AVOIDED_S, str(error))
            return
        finally:
            self._followed_id = ''
        if not reply.is_watching:
            self._avoid(
                watcher_id, DISCONNECTED_WATCHER_AVOIDED_S, 'not connected'
            )
            if not self._choose_watcher():
                self._set_disconnected('no watcher is connected')
            return
        self._avoided_until_s.pop(watcher_id, None)
        self._set_connected()
        self._apply_from_watcher(reply)
        if reply.changes and self.mirror.revision == request.through:
            # An older build replies at once with what it is not complete at.
            await asyncio.sleep(WATCH_INTERVAL_S)

    def _apply_from_watcher(self, reply):
        """Apply a watcher's changes, those of an outage marked as such.

        Only `through` tells up to where the watcher's copy is complete: older
        builds also pass on later writes that a snapshot in pages has.
        """
        was_catching_up = self.is_catching_up
        if reply.is_complete:
            changes = sorted(
                reply.changes, key=operator.attrgetter('revision')
            )
            groups = itertools.groupby(
                changes, operator.attrgetter('is_catching_up')
            )
            for is_catching_up, group in groups:
                self.is_catching_up = was_catching_up or is_catching_up
                self.mirror.apply_part(
                    group, reply.through, self.is_catching_up
                )
            self.mirror.apply_changes([], reply.through)
            if changes:
                self._wake_followers()
        self.is_catching_up = False

    async def _follow_service(self):
        if not self._is_loaded:
            pairs, revision = await self._store.scan('')
            self._set_connected()
            self.mirror.load_snapshot(pairs, revision)
            self._is_loaded = self._is_watching = True
            self.is_catching_up = False
            self._wake_followers()
            return
        # The first watch after an outage is short: it returns the changes
        # made meanwhile, which listeners tell apart by `is_catching_up`.
        wait_s = WATCH_WAIT_S if self.is_connected else RECONNECT_WATCH_WAIT_S
        changes, revision = await self._watch(wait_s)
        self._set_connected()
        self._is_watching = True
        self._apply(changes, revision, self.is_catching_up)
        self.is_catching_up = False
        if changes:
            await asyncio.sleep(self._pacing.delay_s(_now_s()))

    def _apply(self, changes, revision, is_catching_up):
        self.mirror.apply_changes(changes, revision, is_catching_up)
        if changes:
            self._wake_followers()

    def _wake_followers(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

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
            self.on_connected()

    def _set_disconnected(self, reason):
        self._is_watching = False
        if self.is_connected:
            self.is_connected = False
            decisions.record(
                'store_lost', reason=str(reason), through=self.mirror.revision
            )
            self._wake_followers()

    async def _compare_with(self, peer_id):
        """Compare with a peer; return whether it replied."""
        request = messages.CompareMirror(
            self.mirror.last_change_revision, self._links.instance_id
        )
        try:
            reply = await self._links.request(peer_id, request, PEER_TIMEOUT_S)
            if reply.changed <= self.mirror.revision:
                return True
            await asyncio.sleep(WATCH_GRACE_S)
            if reply.changed <= self.mirror.revision:
                return True
            reason = f'{peer_id} knows a later change'
            if self._followed_id:
                self._avoid(
                    self._followed_id, UNREACHABLE_WATCHER_AVOIDED_S, reason
                )
            self.restart_watch(reason)
            await self._pull_copy(peer_id)
            return True
        except errors.LinkError as error:
            self._avoid(peer_id, UNREACHABLE_WATCHER_AVOIDED_S, str(error))
            return False

    async def _pull_copy(self, peer_id, is_catching_up=False):
        copy = await self._links.request(
            peer_id, messages.PullMirror(self.mirror.revision), PULL_TIMEOUT_S
        )
        pairs = (keyvalue.Pair(*pair_fields) for pair_fields in copy.keys)
        was_catching_up = self.is_catching_up
        self.is_catching_up = was_catching_up or is_catching_up
        is_loaded = copy.keys and self.mirror.load_snapshot(
            pairs, copy.through, is_of_peer=True
        )
        self.is_catching_up = was_catching_up
        if is_loaded:
            self.pulls += 1
            self._is_loaded = True
            self._wake_followers()
            decisions.record(
                'mirror_from_peer', peer=peer_id, through=copy.through
            )

    async def _on_compare_mirror(self, _sender, message):
        if message.instance_id:
            self.on_peer_heard(message.instance_id)
        yield messages.MirrorChanged(self.mirror.last_change_revision)

    async def _on_pull_mirror(self, _sender, message):
        is_newer = self.mirror.revision > message.through
        keys = self.mirror.snapshot() if is_newer else ()
        yield messages.MirrorCopy(self.mirror.revision, keys)

    async def _on_watch_mirror(self, _sender, message):
        self.on_peer_heard(message.instance_id)
        deadline_s = _now_s() + message.wait_s
        while (
            self._is_watching
            and self.mirror.last_change_revision <= message.through
            and (remaining_s := deadline_s - _now_s()) > 0
        ):
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
        changes = self.mirror.changes_after(message.through)
        yield messages.MirrorChanges(
            self._is_watching,
            changes is not None,
            self.mirror.revision,
            changes or (),
        )


def _now_s():
    return asyncio.get_running_loop().time()


def _ignore(*_arguments):
    """Do nothing."""
