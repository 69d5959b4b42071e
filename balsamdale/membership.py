"""Failure detector, as in SWIM, of the instances that run programs.

Each instance pings its ring successors and one random peer. A peer that is
silent, or whose connection broke, is suspected: it is pinged directly and
through other instances before it is declared dead. A false positive is
harmless, because takeovers are fenced by epochs. Updates are piggybacked on
pings. Entries and archives use `members` instead.
"""

from collections import abc as collections_abc
import dataclasses
import math
import random
import typing

from balsamdale import messages
from balsamdale import placement

__all__ = [
    'Instance',
    'Membership',
    'SendPing',
    'SendProbe',
    'StatusChanged',
]

T = typing.TypeVar('T')

PING_INTERVAL_S = 0.8
SILENCE_LIMIT_S = 2.0
SUSPICION_TIMEOUT_S = 0.5
WATCHED_SUCCESSORS = 2
INDIRECT_PROBES = 2
UPDATE_FANOUT = 3
UPDATES_PER_PING = 8
JOIN_PEERS = 5


@dataclasses.dataclass(frozen=True)
class Instance:
    """An entry of the platform's instance list."""

    instance_id: str
    failure_domain: str
    entry_address: str
    link_address: str


@dataclasses.dataclass(frozen=True)
class SendPing:
    """Ping a peer; its reply is given to `record_heartbeat`."""

    peer_id: str


@dataclasses.dataclass(frozen=True)
class SendProbe:
    """Have `via_id` ping a suspected peer; call `confirm_alive` on success."""

    via_id: str
    target_id: str


@dataclasses.dataclass(frozen=True)
class StatusChanged:
    """An instance's status changed."""

    instance_id: str
    status: str


class Membership:
    """Tracks the status of every instance, as known to this one.

    Args:
        instance: this instance.
        incarnation: a number above those used before a restart, such as
            the start time in milliseconds.
        folder_id: identity of this instance's data folder; empty for none.
        generator: source of random numbers.
    """

    def __init__(
        self,
        instance: Instance,
        incarnation: int,
        folder_id: str,
        generator: random.Random,
    ):
        self.instance = instance
        self.instances: dict[str, Instance] = {}
        self._generator = generator
        self._cache: dict[str, object] = {}
        self._states: dict[str, messages.MemberUpdate] = {}
        self._sends_left: dict[str, int] = {}
        self._last_heard_at_s: dict[str, float] = {}
        self._suspected_at_s: dict[str, float] = {}
        self.add_instance(instance)
        self._apply(
            messages.MemberUpdate(
                instance.instance_id, incarnation, 'alive', folder_id
            )
        )

    @property
    def own_id(self) -> str:
        """Id of this instance."""
        return self.instance.instance_id

    def cached(self, key: str, build: collections_abc.Callable[[], T]) -> T:
        """Return a cached value that is derived from the membership only.

        Args:
            key: cache key of the value.
            build: computes the value; called again after any change.
        """
        if key not in self._cache:
            self._cache[key] = build()
        return self._cache[key]

    def add_instance(self, instance: Instance) -> None:
        """Add or update an instance of the platform's list."""
        if self.instances.get(instance.instance_id) != instance:
            self.instances[instance.instance_id] = instance
            self._cache.clear()

    def remove_instance(self, instance_id: str) -> None:
        """Remove an instance that the platform no longer lists.

        An instance that is alive stays.
        """
        if instance_id != self.own_id and self.status(instance_id) != 'alive':
            self.instances.pop(instance_id, None)
            self._cache.clear()

    def status(self, instance_id: str) -> str:
        """Return 'alive', 'leaving', 'dead' or 'unknown'."""
        state = self._states.get(instance_id)
        return state.status if state else 'unknown'

    def folder_id(self, instance_id: str) -> str:
        """Return the identity of an instance's data folder; empty for none."""
        state = self._states.get(instance_id)
        return state.folder_id if state else ''

    def usable(self, include_leaving: bool = False) -> list[Instance]:
        """Return the instances that may accept work, sorted by id.

        Args:
            include_leaving: whether leaving instances are returned too.
        """
        wanted = ('alive', 'leaving') if include_leaving else ('alive',)
        return self.cached(
            f'usable {include_leaving}',
            lambda: [
                self.instances[instance_id]
                for instance_id in sorted(self.instances)
                if self.status(instance_id) in wanted
            ],
        )

    def reachable(self) -> list[str]:
        """Return the ids of the peers that are not known to be dead."""
        return self.cached(
            'reachable',
            lambda: [
                instance_id
                for instance_id in sorted(self.instances)
                if instance_id != self.own_id
                and self.status(instance_id) != 'dead'
            ],
        )

    def leave(self) -> list:
        """Announce that this instance accepts no more work."""
        own = self._states[self.own_id]
        leaving = dataclasses.replace(
            own, incarnation=own.incarnation + 1, status='leaving'
        )
        self._apply(leaving)
        return self._spread_updates()

    def tick(self, now_s: float) -> list:
        """Return the pings, probes and status changes that are due."""
        effects = [SendPing(peer_id) for peer_id in self._watched_peer_ids()]
        effects += self.check_peers(now_s)
        others = self.reachable()
        if others:
            effects.append(SendPing(self._generator.choice(others)))
        return effects

    def check_peers(self, now_s: float) -> list:
        """Probe silent peers; declare suspects dead after the timeout."""
        effects = []
        for peer_id in {
            **dict.fromkeys(self._watched_peer_ids()),
            **self._suspected_at_s,
        }:
            effects += self._check_peer(peer_id, now_s)
        return effects

    def suspect(self, peer_id: str, now_s: float) -> list:
        """Suspect a peer whose connection broke, and probe it."""
        is_present = self.status(peer_id) in ('alive', 'leaving')
        if not is_present or peer_id in self._suspected_at_s:
            return []
        self._last_heard_at_s[peer_id] = now_s - SILENCE_LIMIT_S
        self._suspected_at_s[peer_id] = now_s
        return [SendPing(peer_id), *self._probe_indirectly(peer_id)]

    def next_updates(self) -> tuple[messages.MemberUpdate, ...]:
        """Return the updates to send along with a ping.

        They are this instance's own state and recent changes, each of which
        is sent a bounded number of times.
        """
        chosen = sorted(
            self._sends_left, key=self._sends_left.get, reverse=True
        )[:UPDATES_PER_PING]
        for instance_id in chosen:
            self._sends_left[instance_id] -= 1
            if self._sends_left[instance_id] <= 0:
                del self._sends_left[instance_id]
        others = (
            instance_id for instance_id in chosen if instance_id != self.own_id
        )
        return tuple(
            self._states[instance_id] for instance_id in (self.own_id, *others)
        )

    def all_updates(self) -> tuple[messages.MemberUpdate, ...]:
        """Return the state of every instance, for an instance that joins."""
        return tuple(self._states.values())

    def choose_join_peers(self) -> list[str]:
        """Return the ids of a few peers to ask for updates when joining."""
        others = self.reachable()
        return self._generator.sample(others, min(JOIN_PEERS, len(others)))

    def record_heartbeat(
        self,
        peer_id: str,
        updates: tuple[messages.MemberUpdate, ...],
        now_s: float,
    ) -> list:
        """Handle a ping from a peer, or its reply to one."""
        self._last_heard_at_s[peer_id] = now_s
        self._suspected_at_s.pop(peer_id, None)
        effects = []
        for update in updates:
            effects += self.merge(update)
        if self.status(peer_id) == 'dead':
            # Send the peer its dead status, so that it can refute it.
            self._queue_update(peer_id)
        return effects

    def confirm_alive(self, target_id: str, now_s: float) -> None:
        """Clear the suspicion of a peer that replied to an indirect probe."""
        self._last_heard_at_s[target_id] = now_s
        self._suspected_at_s.pop(target_id, None)

    def merge(self, update: messages.MemberUpdate) -> list:
        """Apply an update from a peer unless a newer one is known."""
        if update.instance_id == self.own_id:
            return self._refute(update)
        current = self._states.get(update.instance_id)
        if current is not None and not _supersedes(update, current):
            return []
        return self._apply(update) + self._spread_updates()

    def _refute(self, update):
        own = self._states[self.own_id]
        if not _supersedes(update, own):
            return []
        self._apply(
            dataclasses.replace(own, incarnation=update.incarnation + 1)
        )
        return self._spread_updates()

    def _apply(self, update):
        previous_status = self.status(update.instance_id)
        self._states[update.instance_id] = update
        self._cache.clear()
        self._queue_update(update.instance_id)
        if previous_status == update.status:
            return []
        return [StatusChanged(update.instance_id, update.status)]

    def _queue_update(self, instance_id):
        # As in SWIM, a small multiple of log(n) sends is enough for an update
        # to reach all instances with high probability.
        count = len(self.instances) + 1
        self._sends_left[instance_id] = 3 * math.ceil(math.log2(count) + 1)

    def _spread_updates(self):
        others = self.reachable()
        count = min(UPDATE_FANOUT, len(others))
        return [
            SendPing(instance_id)
            for instance_id in self._generator.sample(others, count)
        ]

    def _watched_peer_ids(self):
        """Return the ids of the peers that are pinged at every tick."""
        return self.cached('watched', self._find_ring_successors)

    def _find_ring_successors(self):
        ring = placement.rank('ring', sorted(self.instances))
        index = ring.index(self.own_id)
        following = ring[index + 1 :] + ring[:index]
        alive = (
            instance_id
            for instance_id in following
            if self.status(instance_id) != 'dead'
        )
        return [
            instance_id
            for _, instance_id in zip(range(WATCHED_SUCCESSORS), alive)
        ]

    def _check_peer(self, peer_id, now_s):
        """Probe a silent peer; declare it dead if no reply comes in time."""
        last_heard_at_s = self._last_heard_at_s.setdefault(peer_id, now_s)
        if now_s - last_heard_at_s < SILENCE_LIMIT_S:
            return []
        if peer_id not in self._suspected_at_s:
            self._suspected_at_s[peer_id] = now_s
            return self._probe_indirectly(peer_id)
        if now_s - self._suspected_at_s[peer_id] < SUSPICION_TIMEOUT_S:
            return []
        del self._suspected_at_s[peer_id]
        current = self._states.get(peer_id)
        if current is None:
            return []
        dead = dataclasses.replace(current, status='dead')
        return self._apply(dead) + self._spread_updates()

    def _probe_indirectly(self, peer_id):
        others = [
            instance_id
            for instance_id in self.reachable()
            if instance_id != peer_id
        ]
        count = min(INDIRECT_PROBES, len(others))
        chosen = self._generator.sample(others, count)
        return [SendProbe(via_id, peer_id) for via_id in chosen]


STATUS_PRECEDENCE = {'alive': 0, 'leaving': 1, 'dead': 2}


def _supersedes(update, current):
    """Return whether an update supersedes the current one."""
    proposed = (update.incarnation, STATUS_PRECEDENCE[update.status])
    return proposed > (current.incarnation, STATUS_PRECEDENCE[current.status])
