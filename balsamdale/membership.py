"""Access to the set of live instances.

Each instance pings a few ring successors and one other peer. A peer that
stays silent, or whose connection broke, is pinged and probed through others
before it counts as dead; a wrong verdict is harmless, because takeovers are
fenced by epochs. Changes travel with the pings.
"""

from collections import abc as collections_abc
import dataclasses
import math
import random
import typing

from balsamdale import messages
from balsamdale import placement

__all__ = [
    'StatusChanged',
    'Instance',
    'Membership',
    'SendPing',
    'SendProbe',
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
    """An instance as the platform's list names it."""

    instance_id: str
    failure_domain: str
    entry_address: str
    link_address: str


@dataclasses.dataclass(frozen=True)
class SendPing:
    """Ping a peer, then call `record_heartbeat` with its answer."""

    peer_id: str


@dataclasses.dataclass(frozen=True)
class SendProbe:
    """Ask `via_id` to ping a silent peer, then call `confirm_alive`."""

    via_id: str
    target_id: str


@dataclasses.dataclass(frozen=True)
class StatusChanged:
    """An instance's status changed."""

    instance_id: str
    status: str


class Membership:
    """Who is alive, as far as this instance knows.

    Args:
        instance: this instance.
        incarnation: a number above those of earlier lives, such as the
            start time in milliseconds.
        folder_id: the data folder of this instance, or an empty string.
        generator: source of random choices.
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
        self._remembered: dict[str, object] = {}
        self._states: dict[str, messages.MemberUpdate] = {}
        self._sends_left: dict[str, int] = {}
        self._heard_at_s: dict[str, float] = {}
        self._probed_at_s: dict[str, float] = {}
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
        """Return a value that depends on nothing but the membership.

        Args:
            key: name of the value.
            build: works it out; called again after any change.
        """
        if key not in self._remembered:
            self._remembered[key] = build()
        return self._remembered[key]

    def add_instance(self, instance: Instance) -> None:
        """Take an instance over from the platform's list."""
        if self.instances.get(instance.instance_id) != instance:
            self.instances[instance.instance_id] = instance
            self._remembered.clear()

    def remove_instance(self, instance_id: str) -> None:
        """Drop an instance that the platform no longer lists."""
        if instance_id != self.own_id and self.status(instance_id) != 'alive':
            self.instances.pop(instance_id, None)
            self._remembered.clear()

    def status(self, instance_id: str) -> str:
        """Return 'alive', 'leaving', 'dead' or 'unknown'."""
        state = self._states.get(instance_id)
        return state.status if state else 'unknown'

    def folder_id(self, instance_id: str) -> str:
        """Return an instance's data folder, or an empty string."""
        state = self._states.get(instance_id)
        return state.folder_id if state else ''

    def usable(self, leaving: bool = False) -> list[Instance]:
        """Return instances that may take on work, sorted by id.

        Args:
            leaving: whether instances that are leaving count too.
        """
        wanted = ('alive', 'leaving') if leaving else ('alive',)
        return self.cached(
            f'usable {leaving}',
            lambda: [
                self.instances[name]
                for name in sorted(self.instances)
                if self.status(name) in wanted
            ],
        )

    def reachable(self) -> list[str]:
        """Return ids of other instances that are not known to be dead."""
        return self.cached(
            'reachable',
            lambda: [
                name
                for name in sorted(self.instances)
                if name != self.own_id and self.status(name) != 'dead'
            ],
        )

    def leave(self) -> list:
        """Announce that this instance takes on no more work."""
        own = self._states[self.own_id]
        leaving = dataclasses.replace(
            own, incarnation=own.incarnation + 1, status='leaving'
        )
        self._apply(leaving)
        return self._spread()

    def tick(self, now_s: float) -> list:
        """Return the pings that are due, and verdicts on silent peers."""
        effects = [SendPing(peer_id) for peer_id in self._watched()]
        effects += self.check_peers(now_s)
        others = self.reachable()
        if others:
            effects.append(SendPing(self._generator.choice(others)))
        return effects

    def check_peers(self, now_s: float) -> list:
        """Return probes and verdicts on silent and suspected peers."""
        effects = []
        for peer_id in {**dict.fromkeys(self._watched()), **self._probed_at_s}:
            effects += self._judge(peer_id, now_s)
        return effects

    def suspect(self, peer_id: str, now_s: float) -> list:
        """Handle a broken connection: ping the peer and ask others."""
        known = self.status(peer_id) in ('alive', 'leaving')
        if not known or peer_id in self._probed_at_s:
            return []
        self._heard_at_s[peer_id] = now_s - SILENCE_LIMIT_S
        self._probed_at_s[peer_id] = now_s
        return [SendPing(peer_id), *self._probe(peer_id)]

    def next_updates(self) -> tuple[messages.MemberUpdate, ...]:
        """Return what to send along with a ping.

        That is this instance's own state, and changes, each of them a
        bounded number of times.
        """
        chosen = sorted(
            self._sends_left, key=self._sends_left.get, reverse=True
        )[:UPDATES_PER_PING]
        for name in chosen:
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                del self._sends_left[name]
        others = (name for name in chosen if name != self.own_id)
        return tuple(self._states[n] for n in (self.own_id, *others))

    def all_updates(self) -> tuple[messages.MemberUpdate, ...]:
        """Return all that is known, for an instance that joins."""
        return tuple(self._states.values())

    def choose_join_peers(self) -> list[str]:
        """Return a few instances to ask when joining."""
        others = self.reachable()
        return self._generator.sample(others, min(JOIN_PEERS, len(others)))

    def record_heartbeat(
        self,
        peer_id: str,
        updates: tuple[messages.MemberUpdate, ...],
        now_s: float,
    ) -> list:
        """Handle a ping or its answer."""
        self._heard_at_s[peer_id] = now_s
        self._probed_at_s.pop(peer_id, None)
        effects = []
        for update in updates:
            effects += self.merge(update)
        if self.status(peer_id) == 'dead':
            # Tell the peer of the verdict, so that it can refute it.
            self._queue(peer_id)
        return effects

    def confirm_alive(self, target_id: str, now_s: float) -> None:
        """Handle word from another instance that a silent peer lives."""
        self._heard_at_s[target_id] = now_s
        self._probed_at_s.pop(target_id, None)

    def merge(self, update: messages.MemberUpdate) -> list:
        """Take over what a peer knows of an instance."""
        if update.instance_id == self.own_id:
            return self._refute(update)
        held = self._states.get(update.instance_id)
        if held is not None and not _newer(update, held):
            return []
        return self._apply(update) + self._spread()

    def _refute(self, update):
        own = self._states[self.own_id]
        if not _newer(update, own):
            return []
        self._apply(
            dataclasses.replace(own, incarnation=update.incarnation + 1)
        )
        return self._spread()

    def _apply(self, update):
        before = self.status(update.instance_id)
        self._states[update.instance_id] = update
        self._remembered.clear()
        self._queue(update.instance_id)
        if before == update.status:
            return []
        return [StatusChanged(update.instance_id, update.status)]

    def _queue(self, name):
        count = len(self.instances) + 1
        self._sends_left[name] = 3 * math.ceil(math.log2(count) + 1)

    def _spread(self):
        others = self.reachable()
        count = min(UPDATE_FANOUT, len(others))
        return [SendPing(n) for n in self._generator.sample(others, count)]

    def _watched(self):
        """Return the ring successors of this instance."""
        return self.cached('watched', self._successors)

    def _successors(self):
        ring = placement.rank('ring', sorted(self.instances))
        index = ring.index(self.own_id)
        following = ring[index + 1 :] + ring[:index]
        alive = (name for name in following if self.status(name) != 'dead')
        return [name for _, name in zip(range(WATCHED_SUCCESSORS), alive)]

    def _judge(self, peer_id, now_s):
        """Probe a silent peer; without a voucher, declare it dead."""
        heard_at_s = self._heard_at_s.setdefault(peer_id, now_s)
        if now_s - heard_at_s < SILENCE_LIMIT_S:
            return []
        if peer_id not in self._probed_at_s:
            self._probed_at_s[peer_id] = now_s
            return self._probe(peer_id)
        if now_s - self._probed_at_s[peer_id] < SUSPICION_TIMEOUT_S:
            return []
        del self._probed_at_s[peer_id]
        held = self._states.get(peer_id)
        if held is None:
            return []
        dead = dataclasses.replace(held, status='dead')
        return self._apply(dead) + self._spread()

    def _probe(self, peer_id):
        others = [name for name in self.reachable() if name != peer_id]
        count = min(INDIRECT_PROBES, len(others))
        chosen = self._generator.sample(others, count)
        return [SendProbe(via, peer_id) for via in chosen]


ORDER = {'alive': 0, 'leaving': 1, 'dead': 2}


def _newer(update, held):
    """Tell whether an update supersedes what is held."""
    offered = (update.incarnation, ORDER[update.status])
    return offered > (held.incarnation, ORDER[held.status])
