"""Eviction: removal of instances that died before their leases expired.

Each instance sends a request about once a second to the watcher that it
follows and to another one, with which it compares. One that falls silent is
probed and, if it does not reply, its registration is replaced, so that
callers are not sent to it.
"""

import asyncio
from collections import abc as collections_abc

from balsamdale import background
from balsamdale import codec
from balsamdale import decisions
from balsamdale import errors
from balsamdale import keyvalue
from balsamdale import link
from balsamdale import members
from balsamdale import mirror

__all__ = ['Evictor', 'PeerTracker']

# Longest time between two requests of an instance to a watcher, with a margin
# for a slow link.
MAX_SILENCE_S = 1.6
CHECK_INTERVAL_S = 0.3


class PeerTracker:
    """Tells which peers of a watcher have fallen silent, without I/O."""

    def __init__(self):
        self._heard_at_s: dict[str, float] = {}

    def record(self, instance_id: str, now_s: float) -> None:
        """Record a request of a peer."""
        self._heard_at_s[instance_id] = now_s

    def remove_silent(self, now_s: float) -> list[str]:
        """Return the peers that are silent, and stop tracking them."""
        silent = [
            name
            for name, heard_at_s in self._heard_at_s.items()
            if now_s - heard_at_s > MAX_SILENCE_S
        ]
        for name in silent:
            del self._heard_at_s[name]
        return silent


class Evictor:
    """Evicts dead peers that this instance heard from.

    Args:
        store: the key-value service.
        links: connections to peers.
        copy: the mirror of the service.
        lease: returns the lease of this instance's registration.
    """

    def __init__(
        self,
        store: keyvalue.LeasedKeyValue,
        links: link.Links,
        copy: mirror.Mirror,
        lease: collections_abc.Callable[[], int],
    ):
        self._store = store
        self._links = links
        self._mirror = copy
        self._lease = lease
        self._tracker = PeerTracker()
        self._background = background.BackgroundTasks('eviction')

    def record_peer(self, instance_id: str) -> None:
        """Record a request of a peer."""
        now_s = asyncio.get_running_loop().time()
        self._tracker.record(instance_id, now_s)

    async def run(self) -> None:
        """Probe peers that fall silent until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            for name in self._tracker.remove_silent(now_s):
                self._background.spawn(self._evict_if_dead(name))

    async def _evict_if_dead(self, instance_id):
        """Replace the registration of an instance that does not reply."""
        key = members.registration_key(instance_id)
        revision = self._mirror.get_revision(key)
        for _ in range(members.MAX_FAILED_PROBES):
            try:
                await self._links.request(
                    instance_id, members.AskAlive(), members.PROBE_TIMEOUT_S
                )
                return
            except errors.LinkError:
                continue
        lease = self._lease()
        if not revision or not lease:
            return
        value = codec.encode(members.Evicted(self._links.instance_id))
        try:
            # A restarted instance has written its key anew, and stays.
            written = await self._store.compare_and_swap(
                key, value, revision, lease
            )
        except errors.KeyValueError as error:
            decisions.record(
                'eviction_failed', member=instance_id, reason=str(error)
            )
            # It is probed and evicted once more when it is still silent.
            self.record_peer(instance_id)
            return
        decisions.record(
            'evicted', member=instance_id, is_written=bool(written)
        )
