"""Load balancer that chooses a backend server for a routed request.

It does no I/O and takes the present time as an argument. A program's
requests go to the server whose prefix cache is most likely warm, unless the
cost of that server's load exceeds the cost of a cache miss elsewhere.

Servers that fail more requests than their peers are left out (`outliers`).
Where a server of the service has reported a slowdown, the cost is the
expected time to finish (`finish_time`).
"""

from collections import abc as collections_abc
import dataclasses
import heapq
import typing

from balsamdale import discovery
from balsamdale import placement
from balsamdale.scheduling import finish_time
from balsamdale.scheduling import outliers
from balsamdale.scheduling import usual_load
from balsamdale import wire

__all__ = ['Balancer', 'Choice', 'Outcome']

# Extra load, as a share of a server's slots, at which a request leaves its
# failure domain: traffic between domains is charged for.
REMOTE_DOMAIN_COST = 0.15
# Extra load, as a share of slots, at which a program leaves its preferred
# server. Prefilling 15,000 uncached tokens delays all requests of a server
# by about 55 ms; a half-full server responds about as fast as an empty one.
CACHE_MISS_COST = 0.5
# The same for the first turn of a program, of whose prompt no server has
# cached more than the others. It is above 0 so that all instances choose the
# same server for a program while servers are about equally busy.
FIRST_TURN_COST = 0.1
# Requests that may queue at a server beyond those in its slots.
QUEUED_REQUESTS_PER_SLOT = 1.0


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How one attempt at a server ended.

    Attributes:
        kind: 'ok'; 'failed' by the server; 'silent' for too long; 'not_run'.
        took_s: time from sending the request to the end of the response.
        prompt_tokens: tokens of the request's prompt; 0 for a plain request.
        answer_tokens: tokens of its answer; 0 for a plain request.
    """

    kind: typing.Literal['ok', 'failed', 'silent', 'not_run']
    took_s: float
    prompt_tokens: int = 0
    answer_tokens: int = 0


@dataclasses.dataclass
class _ServerState:
    """Load and health of a server as seen by this instance."""

    started_ms: int = 0
    service: str = ''
    in_flight: int = 0
    held_tokens: int = 0
    report: wire.LoadReport | None = None
    reported_at_s: float = 0.0
    requests_of_others: int = 0
    is_suspected: bool = False
    reports_ignored: int = 0


@dataclasses.dataclass(frozen=True)
class Choice:
    """A chosen server, and what it was chosen by.

    Attributes:
        server: the server.
        load: requests there.
        cost: its cost: a share of its slots, or the expected time to finish
            in seconds where a server of the service reports a slowdown.
        report_age_s: age of its load report.
        factor: in what it was better than the next best server.
    """

    server: discovery.Server
    load: float
    cost: float
    report_age_s: float
    factor: str = 'load'


class Balancer:
    """Tracks server loads as seen by one instance, and chooses servers.

    Args:
        failure_domain: failure domain of this instance.
        queued_per_slot: requests that may queue at a server beyond those in
            its slots, as a share of the slots.
        record_event: called with the name and the fields of each ejection
            and readmission of a server.
        compares_finish: whether the expected time to finish decides at all
            services, also where no server has reported a slowdown.

    Attributes:
        reports_ignored: load reports that were malformed or out of range.
        outliers: the servers that are ejected for their failures.
    """

    def __init__(
        self,
        failure_domain: str,
        queued_per_slot: float = QUEUED_REQUESTS_PER_SLOT,
        record_event: outliers.RecordEvent | None = None,
        compares_finish: bool = False,
    ):
        self._failure_domain = failure_domain
        self._compares_finish = compares_finish
        self._queued_per_slot = queued_per_slot
        self._states: dict[str, _ServerState] = {}
        self._speeds = finish_time.Speeds()
        self._usual_load = usual_load.UsualLoad()
        self.outliers = outliers.OutlierDetector(record_event)
        self.reports_ignored = 0

    def choose(
        self,
        servers: collections_abc.Iterable[discovery.Server],
        affinity: str,
        excluded: collections_abc.Set[str],
        now_s: float,
        *,
        prompt_tokens: int = 0,
        tokens: int = 0,
        memory_tokens: int = 0,
        is_retryable: bool = False,
        home_id: str = '',
        is_first_turn: bool = False,
    ) -> Choice | None:
        """Return the cheapest server with capacity, or None if all are full.

        Args:
            servers: servers of the service that accept requests.
            affinity: key that selects the preferred server; empty for none.
            excluded: ids of servers that must not be chosen.
            now_s: the present time.
            prompt_tokens: tokens of the prompt.
            tokens: tokens that the request needs at the server: those of the
                prompt and the answer.
            memory_tokens: tokens that a server can hold; 0 if unknown. A
                server has no capacity if the request would exceed them.
            is_retryable: whether the request may be sent again if it fails,
                so that it may soon go to a server that has failed before.
            home_id: id of the server that has cached the prompt; empty if
                unknown. `affinity` then tells where it most likely is.
            is_first_turn: whether no server has cached the prompt.
        """
        servers = tuple(servers)
        allowed = [s for s in servers if s.server_id not in excluded]
        candidates = [
            s for s in allowed if not self._current_state(s).is_suspected
        ] or allowed
        choices = self._with_capacity(candidates, now_s, tokens, memory_tokens)
        ejected = self._ejected(servers, now_s)
        may_probe = is_retryable or is_first_turn or not affinity
        for choice in choices if may_probe else ():
            server_id = choice.server.server_id
            if server_id in ejected and self.outliers.is_probe_due(
                server_id, now_s, is_retryable
            ):
                return dataclasses.replace(choice, factor='probe')
        # Ejected servers are better than none.
        if not ejected.issuperset(s.server_id for s in candidates):
            choices = [c for c in choices if c.server.server_id not in ejected]
        if self.compares_finish(servers):
            work = finish_time.Work(
                max(0, prompt_tokens), max(0, tokens - prompt_tokens)
            )
            return self._soonest(choices, servers, affinity, work, now_s)
        if not choices:
            return None
        if affinity:
            preferred_id = self._preferred_server_id(
                affinity, [c.server for c in choices], home_id
            )
            miss_cost = FIRST_TURN_COST if is_first_turn else CACHE_MISS_COST
            choices = [
                c
                if c.server.server_id == preferred_id
                else dataclasses.replace(c, cost=c.cost + miss_cost)
                for c in choices
            ]
        return min(choices, key=lambda c: (c.cost, c.server.server_id))

    def _ejected(self, servers, now_s):
        """Return the servers that fail more often than their peers."""
        if not servers:
            return set()
        return self.outliers.ejected(
            servers[0].service, [s.server_id for s in servers], now_s
        )

    def compares_finish(
        self, servers: collections_abc.Iterable[discovery.Server]
    ) -> bool:
        """Return whether the expected time to finish decides at a service."""
        states = (self._current_state(server) for server in servers)
        return self._compares_finish or any(
            s.report is not None and s.report.has_slowdown for s in states
        )

    def add_request(self, server_id: str, tokens: int = 0) -> None:
        """Count a request and its tokens as in flight at a server."""
        self.outliers.start_probe(server_id)
        state = self._state(server_id)
        state.in_flight += 1
        state.held_tokens += tokens

    def remove_request(self, server_id: str, tokens: int = 0) -> None:
        """Count a request at a server as ended, with any outcome."""
        state = self._state(server_id)
        state.in_flight -= 1
        state.held_tokens -= tokens

    def record_outcome(
        self, server_id: str, outcome: Outcome, now_s: float
    ) -> None:
        """Record how an attempt at a server ended.

        A request that a server refused without running it says nothing of
        its health.
        """
        service = self._state(server_id).service
        if outcome.kind == 'not_run' or not service:
            return
        is_failure = outcome.kind != 'ok'
        if not is_failure:
            work = finish_time.Work(
                outcome.prompt_tokens, outcome.answer_tokens
            )
            is_failure = self._speeds.record(
                service, server_id, work, outcome.took_s
            )
        self.outliers.record(service, server_id, is_failure, now_s)

    def record_load(
        self, server_id: str, load: wire.LoadReport, now_s: float
    ) -> None:
        """Record the load that a server reported, and mark it healthy."""
        state = self._state(server_id)
        state.report = load
        state.reported_at_s = now_s
        state.requests_of_others = max(
            0, load.running + load.waiting - state.in_flight
        )
        self._usual_load.record(
            state.service, state.requests_of_others / load.slots, now_s
        )
        state.is_suspected = False
        if load.has_slowdown:
            self._speeds.record_slowdown(server_id, load.slowdown)

    def ignore_report(self, server_id: str) -> int:
        """Count a load report that is malformed or out of range.

        Returns:
            The number of such reports of the server.
        """
        self.reports_ignored += 1
        state = self._state(server_id)
        state.reports_ignored += 1
        return state.reports_ignored

    def mark_suspected(self, server_id: str) -> bool:
        """Mark a server that could not be reached as suspected.

        A suspected server is chosen only if there is no healthy one.

        Returns:
            Whether the server was healthy before.
        """
        state = self._state(server_id)
        was_suspected, state.is_suspected = state.is_suspected, True
        return not was_suspected

    def mark_healthy(self, server_id: str) -> None:
        """Mark a server as healthy."""
        self._state(server_id).is_suspected = False

    def remove_departed(self, registered: collections_abc.Set[str]) -> None:
        """Remove the state of idle servers that are not registered.

        Args:
            registered: ids of the registered servers.
        """
        self._states = {
            name: state
            for name, state in self._states.items()
            if name in registered or state.in_flight
        }
        self._speeds.remove_departed(registered)
        self.outliers.remove_departed(registered)

    def estimate_load(self, server: discovery.Server, now_s: float) -> float:
        """Estimate the requests at a server, including this instance's.

        The part of a report that is due to other instances fades to the load
        that the service usually has.
        """
        state = self._state(server.server_id)
        slots = max(1, server.slots)
        share = self._usual_load.estimate(
            server.service,
            state.requests_of_others / slots,
            state.reported_at_s if state.report is not None else None,
            now_s,
        )
        return state.in_flight + share * slots

    def _current_state(self, server):
        """Return a server's state; a restart resets all but what it holds.

        Requests to the server before its restart end soon, and are then
        subtracted.
        """
        state = self._state(server.server_id)
        if state.started_ms != server.started_ms:
            state = _ServerState(
                server.started_ms,
                in_flight=state.in_flight,
                held_tokens=state.held_tokens,
            )
            self._states[server.server_id] = state
            self._speeds.reset(server.server_id)
            self.outliers.reset(server.server_id)
        state.service = server.service
        return state

    def _with_capacity(self, servers, now_s, tokens, memory_tokens):
        """Return a choice for each server that has capacity."""
        evaluated = (
            self._evaluate(server, now_s)
            for server in servers
            if not memory_tokens
            or self._state(server.server_id).held_tokens + tokens
            <= memory_tokens
        )
        return [choice for choice in evaluated if choice is not None]

    def _soonest(self, choices, servers, affinity, work, now_s):
        """Return the choice with the earliest expected finish, or None."""
        if not choices:
            return None
        preferred_id = ''
        if affinity:
            preferred_id = self._preferred_server_id(
                affinity, [c.server for c in choices]
            )
        estimator = self._speeds.estimator(
            servers[0].service, [s.server_id for s in servers], work, now_s
        )
        finishes = {}
        for choice in choices:
            server = choice.server
            state = self._state(server.server_id)
            slowdown = state.report.slowdown if state.report else 1.0
            finishes[server.server_id] = estimator.expected_finish(
                server.server_id,
                max(1, server.slots),
                choice.load,
                (slowdown, choice.report_age_s),
                bool(affinity) and server.server_id != preferred_id,
                server.failure_domain != self._failure_domain,
            )
        ranked = heapq.nsmallest(
            2,
            choices,
            key=lambda c: (
                finishes[c.server.server_id].total_s,
                c.server.server_id,
            ),
        )
        best, *others = (finishes[c.server.server_id] for c in ranked)
        factor = best.deciding_factor(others[0]) if others else 'only'
        return dataclasses.replace(ranked[0], cost=best.total_s, factor=factor)

    def _evaluate(self, server, now_s):
        state = self._current_state(server)
        slots = max(1, server.slots)
        load = self.estimate_load(server, now_s)
        if load >= slots * (1 + self._queued_per_slot):
            return None
        cost = load / slots
        if server.failure_domain != self._failure_domain:
            cost += REMOTE_DOMAIN_COST
        return Choice(server, load, cost, now_s - state.reported_at_s)

    def _preferred_server_id(self, affinity, servers, home_id=''):
        """Return the home of a program, or the server hashed from its id.

        The hashed one is the same on all instances of a domain.
        """
        if any(s.server_id == home_id for s in servers):
            return home_id
        local = [
            s for s in servers if s.failure_domain == self._failure_domain
        ]
        ids = [s.server_id for s in local or servers]
        return placement.rank(affinity, ids)[0]

    def _state(self, server_id):
        return self._states.setdefault(server_id, _ServerState())
