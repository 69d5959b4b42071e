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

# Seconds after which half of a told load has ended: about one answer.
LOAD_REPORT_HALF_LIFE_S = 0.5
# Share of a server's slots that may be busier before a request leaves its
# failure domain: bytes between domains are paid for.
REMOTE_DOMAIN_COST = 0.15
# The same before a program leaves the server that holds its prefix. Reading
# 15,000 tokens again holds up all requests of a server for about 55 ms; a
# server that is half full answers about as fast as an empty one.
CACHE_MISS_COST = 0.5
# Requests that may wait at a server, as a share of its slots.
QUEUED_REQUESTS_PER_SLOT = 1.0


@dataclasses.dataclass
class _ServerState:
    """What this instance knows of a server beside its registration."""

    started_ms: int = 0
    in_flight: int = 0
    report: wire.LoadReport | None = None
    reported_at_s: float = 0.0
    own_when_reported: int = 0
    is_suspected: bool = False


@dataclasses.dataclass(frozen=True)
class Choice:
    """A server with the figures that led to it."""

    server: discovery.Server
    load: float
    cost: float
    report_age_s: float


class Balancer:
    """Loads of servers as seen by one instance.

    Args:
        failure_domain: where this instance stands.
    """

    def __init__(self, failure_domain: str):
        self._failure_domain = failure_domain
        self._states: dict[str, _ServerState] = {}

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
        allowed = [s for s in servers if s.server_id not in excluded]
        healthy = [
            s for s in allowed if not self._current_state(s).is_suspected
        ]
        evaluated = (self._evaluate(s, now_s) for s in healthy or allowed)
        choices = [choice for choice in evaluated if choice is not None]
        if not choices:
            return None
        if affinity:
            preferred_id = self._preferred_server_id(
                affinity, [c.server for c in choices]
            )
            choices = [
                c
                if c.server.server_id == preferred_id
                else dataclasses.replace(c, cost=c.cost + CACHE_MISS_COST)
                for c in choices
            ]
        return min(choices, key=lambda c: (c.cost, c.server.server_id))

    def add_request(self, server_id: str) -> None:
        """Account for a request that leaves for a server."""
        self._state(server_id).in_flight += 1

    def remove_request(self, server_id: str) -> None:
        """Account for the end of a request, whatever it was."""
        self._state(server_id).in_flight -= 1

    def record_load(
        self, server_id: str, load: wire.LoadReport, now_s: float
    ) -> None:
        """Account for what a server says of its load."""
        state = self._state(server_id)
        state.report = load
        state.reported_at_s = now_s
        state.own_when_reported = state.in_flight
        state.is_suspected = False

    def mark_suspected(self, server_id: str) -> bool:
        """Account for a server that could not be reached.

        It is chosen only where there is no other, until it recovers.

        Returns:
            Whether this is news.
        """
        state = self._state(server_id)
        was_suspected, state.is_suspected = state.is_suspected, True
        return not was_suspected

    def mark_healthy(self, server_id: str) -> None:
        """Account for a server that can be reached again."""
        self._state(server_id).is_suspected = False

    def remove_departed(self, known: collections_abc.Set[str]) -> None:
        """Drop what is known of servers that are idle and not among these."""
        self._states = {
            name: state
            for name, state in self._states.items()
            if name in known or state.in_flight
        }

    def estimate_load(self, server: discovery.Server, now_s: float) -> float:
        """Return the estimated requests at a server, own ones included."""
        state = self._state(server.server_id)
        if state.report is None:
            return float(state.in_flight)
        total = state.report.running + state.report.waiting
        others = max(0, total - state.own_when_reported)
        age_s = max(0.0, now_s - state.reported_at_s)
        return state.in_flight + others * 0.5 ** (
            age_s / LOAD_REPORT_HALF_LIFE_S
        )

    def _current_state(self, server):
        """Return a server's state; one that started again has no past."""
        state = self._state(server.server_id)
        if state.started_ms != server.started_ms:
            state = _ServerState(server.started_ms, state.in_flight)
            self._states[server.server_id] = state
        return state

    def _evaluate(self, server, now_s):
        state = self._current_state(server)
        slots = max(1, server.slots)
        load = self.estimate_load(server, now_s)
        if load >= slots * (1 + QUEUED_REQUESTS_PER_SLOT):
            return None
        cost = load / slots
        if server.failure_domain != self._failure_domain:
            cost += REMOTE_DOMAIN_COST
        return Choice(server, load, cost, now_s - state.reported_at_s)

    def _preferred_server_id(self, affinity, servers):
        """Return the server that every instance of this domain prefers."""
        local = [
            s for s in servers if s.failure_domain == self._failure_domain
        ]

        def weight(server):
            return hashlib.blake2b(
                f'{affinity}|{server.server_id}'.encode(), digest_size=8
            ).digest()

        return max(local or servers, key=weight).server_id

    def _state(self, server_id):
        return self._states.setdefault(server_id, _ServerState())
