"""Access to the choice of a backend server for a request.

Decides only; the present time is an argument. A program's requests go to
the server that most likely holds its prefix, unless that server is busier
than others by more than reading the prompt again costs.
"""

from collections import abc as collections_abc
import dataclasses
import hashlib

from balsamdale import discovery
from balsamdale import wire

__all__ = ['Balancer', 'Choice']

TOLD_HALF_LIFE_S = 0.5
FAR_COST = 0.15
COLD_PREFIX_COST = 0.2
SUSPECT_S = 0.5
LONGEST_SUSPECT_S = 4.0
QUEUE_SHARE = 1.0


@dataclasses.dataclass
class _State:
    """What this instance knows of a server beside its registration."""

    started_ms: int = 0
    in_flight: int = 0
    told: wire.ToldLoad | None = None
    told_at_s: float = 0.0
    own_when_told: int = 0
    failures: int = 0
    suspect_until_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Choice:
    """A server with the figures that led to it."""

    server: discovery.Server
    load: float
    cost: float
    told_age_s: float


class Balancer:
    """Loads of servers as seen by one instance.

    Args:
        failure_domain: where this instance stands.
    """

    def __init__(self, failure_domain: str):
        self._failure_domain = failure_domain
        self._states: dict[str, _State] = {}

    def choose(
        self,
        servers: collections_abc.Iterable[discovery.Server],
        affinity: str,
        excluded: collections_abc.Set[str],
        now_s: float,
    ) -> Choice | None:
        """Return the cheapest server with room, or None where there is none.

        Args:
            servers: servers of the service that take work.
            affinity: key whose prefix a server may hold; empty for none.
            excluded: ids of servers that are not to be chosen.
            now_s: the present time.
        """
        choices = [
            self._weigh(server, now_s)
            for server in servers
            if server.server_id not in excluded
        ]
        choices = [c for c in choices if c is not None]
        if not choices:
            return None
        if affinity:
            home = self._home(affinity, [c.server for c in choices])
            choices = [
                c
                if c.server.server_id == home
                else dataclasses.replace(c, cost=c.cost + COLD_PREFIX_COST)
                for c in choices
            ]
        return min(choices, key=lambda c: (c.cost, c.server.server_id))

    def started(self, server_id: str) -> None:
        """Account for a request that leaves for a server."""
        self._state(server_id).in_flight += 1

    def ended(self, server_id: str) -> None:
        """Account for the end of a request, whatever it was."""
        self._state(server_id).in_flight -= 1

    def told(self, server_id: str, load: wire.ToldLoad, now_s: float) -> None:
        """Account for what a server says of its load."""
        state = self._state(server_id)
        state.told = load
        state.told_at_s = now_s
        state.own_when_told = state.in_flight
        state.failures = 0
        state.suspect_until_s = 0.0

    def failed(self, server_id: str, now_s: float) -> None:
        """Account for a server that could not be reached or fell silent."""
        state = self._state(server_id)
        state.failures += 1
        pause_s = min(LONGEST_SUSPECT_S, SUSPECT_S * 2 ** (state.failures - 1))
        state.suspect_until_s = now_s + pause_s

    def load(self, server: discovery.Server, now_s: float) -> float:
        """Return the estimated requests at a server, own ones included."""
        state = self._state(server.server_id)
        if state.told is None:
            return float(state.in_flight)
        total = state.told.running + state.told.waiting
        others = max(0, total - state.own_when_told)
        age_s = max(0.0, now_s - state.told_at_s)
        return state.in_flight + others * 0.5 ** (age_s / TOLD_HALF_LIFE_S)

    def _weigh(self, server, now_s):
        state = self._state(server.server_id)
        if state.started_ms != server.started_ms:
            # The server started again under its id.
            self._states[server.server_id] = state = _State(
                started_ms=server.started_ms, in_flight=state.in_flight
            )
        if state.suspect_until_s > now_s:
            return None
        slots = max(1, server.slots)
        load = self.load(server, now_s)
        if load >= slots * (1 + QUEUE_SHARE):
            return None
        cost = load / slots
        if server.failure_domain != self._failure_domain:
            cost += FAR_COST
        return Choice(server, load, cost, now_s - state.told_at_s)

    def _home(self, affinity, servers):
        """Return the server that every instance of this domain prefers."""
        near = [s for s in servers if s.failure_domain == self._failure_domain]

        def weight(server):
            return hashlib.blake2b(
                f'{affinity}|{server.server_id}'.encode(), digest_size=8
            ).digest()

        return max(near or servers, key=weight).server_id

    def _state(self, server_id):
        return self._states.setdefault(server_id, _State())
