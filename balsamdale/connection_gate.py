"""Keeps what clients' connections take of a process within its limits.

One gate serves all HTTP addresses of a process. What it carries out is decided
in `scheduling.connections`.
"""

import abc
import asyncio
import collections
from collections import abc as collections_abc
import functools
import resource

from balsamdale import background
from balsamdale import decisions
from balsamdale import errors
from balsamdale import limits_in_force
from balsamdale import routes
from balsamdale.scheduling import connections
from balsamdale.scheduling import memory

__all__ = ['REFUSALS', 'Client', 'ConnectionGate', 'create']

# Why clients were refused or disconnected.
REFUSALS = (
    'malformed',
    'head_too_large',
    'body_too_large',
    'slow_head',
    'idle',
    'no_descriptor',
    'no_memory',
)
HEAD_TIMEOUT = 408
# Descriptors of a process where neither settings nor system limit them.
DEFAULT_DESCRIPTOR_LIMIT = 1 << 20
# Seconds between checks of all connections.
CHECK_INTERVAL_S = 0.5
# A check that comes later than this after the one before ends no connection:
# what has arrived in the meantime is read first.
MAX_CHECK_DELAY_S = 2 * CHECK_INTERVAL_S
# Shortest time between log lines of one kind of refusal.
LOG_INTERVAL_S = 1.0
# Shortest pause between two turns of expensive input.
MIN_TURN_PAUSE_S = 0.001


RecordEvent = collections_abc.Callable[..., None]


class Client(abc.ABC):
    """What a gate needs of a connection; `caller_connection` implements it.

    Attributes:
        record: the connection in the account.
    """

    record: connections.Connection

    @abc.abstractmethod
    def observe(self) -> None:
        """Report to the account what the connection waits for."""

    @abc.abstractmethod
    def refuse(self, error: errors.RequestMalformed) -> None:
        """Answer that a request is refused, and close."""

    @abc.abstractmethod
    def close_idle(self) -> None:
        """Close without an answer what has no request."""

    @abc.abstractmethod
    def disconnect(self) -> None:
        """Close at once."""

    @abc.abstractmethod
    def take_turn(self) -> None:
        """Process a limited amount of expensive input."""


class ConnectionGate:
    """Admits, watches and closes the connections of clients.

    Args:
        account: the account of this process.
        limits: limits on what clients may send.
        record_event: writes a line of the log from an event and fields.

    Attributes:
        refusals: clients refused or disconnected, by one of `REFUSALS`.
    """

    def __init__(
        self,
        account: connections.ConnectionAccount,
        limits: limits_in_force.LimitsInForce,
        record_event: RecordEvent = decisions.record,
    ):
        self._record_event = record_event
        self.account = account
        self.limits = limits
        self.refusals = dict.fromkeys(REFUSALS, 0)
        self._clients: dict[connections.Connection, Client] = {}
        self._waiting_servers: set[collections_abc.Callable] = set()
        self._turns: collections.deque[Client] = collections.deque()
        self._is_giving_turns = False
        self._logged: dict[str, tuple[float, int]] = {}
        self._background = background.BackgroundTasks('connections')
        self._is_checking = False

    def open(self) -> connections.Connection:
        """Count a connection that was accepted."""
        record = self.account.open(_now_s())
        if not self._is_checking:
            self._is_checking = True
            self._background.spawn_loop(self._run_checks)
        return record

    def attach(self, client: Client) -> None:
        """Watch the connection of a record."""
        self._clients[client.record] = client

    def close(self, record: connections.Connection) -> None:
        """Stop counting a connection, and let others in."""
        self._clients.pop(record, None)
        self.account.close(record, _now_s())
        if self._waiting_servers and self.account.has_room():
            self._resume_servers()

    def make_room(self, wanted: int) -> bool:
        """Return whether a connection may be accepted.

        Without room, others are being closed for it where that is possible.

        Args:
            wanted: connections that wait to be accepted.
        """
        if self.account.has_room():
            return True
        self._observe_all()
        self._remove_for_room(wanted)
        return False

    def wait_for_room(self, resume: collections_abc.Callable) -> None:
        """Call a function, perhaps in vain, once there may be room."""
        self._waiting_servers.add(resume)

    def request_turn(self, client: Client) -> None:
        """Let a client whose input is expensive take a turn.

        Turns take at most half of the processor's time, whatever waits.
        """
        self._turns.append(client)
        if not self._is_giving_turns:
            self._is_giving_turns = True
            asyncio.get_running_loop().call_soon(self._give_turn)

    def count_refusal(self, reason: str, **fields) -> None:
        """Count a refusal; log at most one of a kind within a second."""
        self.refusals[reason] += 1
        logged_at_s, count = self._logged.get(reason, (float('-inf'), 0))
        if _now_s() - logged_at_s < LOG_INTERVAL_S:
            return
        total = self.refusals[reason]
        self._logged[reason] = _now_s(), total
        self._record_event(
            'client_refused',
            reason=reason,
            count=total - count,
            connections=len(self.account),
            held_bytes=self.account.budget.held_bytes,
            **fields,
        )

    def gauges(self) -> dict[str, tuple[str, collections_abc.Callable]]:
        """Return the gauges of clients' connections by name."""
        return {
            'connections': (
                'Connections of clients, at all HTTP addresses',
                lambda: len(self.account),
            ),
            'connections_limit': (
                'Connections of clients that are kept at once',
                lambda: self.account.limit,
            ),
            'connections_held_bytes': (
                'Memory that connections of clients hold without requests',
                lambda: self.account.held_bytes,
            ),
            **{
                f'clients_refused_{reason}': (
                    f'Clients refused or disconnected: {reason}',
                    functools.partial(self.refusals.__getitem__, reason),
                )
                for reason in REFUSALS
            },
        }

    def cancel(self) -> None:
        """Stop watching."""
        self._background.cancel()

    async def _run_checks(self):
        checked_at_s = _now_s()
        while len(self.account):
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = _now_s()
            self._observe_all()
            if now_s - checked_at_s <= MAX_CHECK_DELAY_S:
                self._remove_expired(now_s)
            checked_at_s = now_s
            self._remove_for_room(0)
            self._resume_servers()
        self._is_checking = False

    def _remove_expired(self, now_s):
        limits = self.limits.at(now_s)
        for removal in self.account.choose_expired(
            limits.header_timeout_s, limits.idle_timeout_s, now_s
        ):
            client = self._clients.get(removal.connection)
            if client is None:
                continue
            if removal.reason == 'slow_head':
                client.refuse(_slow_head())
            else:
                self.count_refusal(removal.reason)
                client.close_idle()

    def _observe_all(self):
        for client in self._clients.values():
            client.observe()

    def _remove_for_room(self, wanted):
        now_s = _now_s()
        for removal in self.account.choose_for_room(wanted, now_s):
            client = self._clients.get(removal.connection)
            if client is None:
                continue
            self.count_refusal(
                removal.reason,
                phase=removal.connection.phase.name.lower(),
                waited_s=round(now_s - removal.connection.since_s, 3),
            )
            client.disconnect()

    def _resume_servers(self):
        waiting, self._waiting_servers = self._waiting_servers, set()
        for resume in waiting:
            resume()

    def _give_turn(self):
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        try:
            self._turns.popleft().take_turn()
        finally:
            pause_s = max(loop.time() - began_s, MIN_TURN_PAUSE_S)
            self._is_giving_turns = bool(self._turns)
            if self._is_giving_turns:
                loop.call_later(pause_s, self._give_turn)


def create(
    budget: memory.MemoryBudget,
    limits: routes.Limits | None = None,
    descriptor_limit: int = 0,
    record_event: RecordEvent = decisions.record,
) -> ConnectionGate:
    """Return a gate for this process.

    Args:
        budget: memory that its requests and connections may hold.
        limits: limits on what clients may send; the defaults without them.
        descriptor_limit: descriptors that it may have open; 0 for the limit
            that its system has set.
        record_event: writes a line of the log from an event and fields.
    """
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits_known = {descriptor_limit, system_limit} - {
        0,
        resource.RLIM_INFINITY,
    }
    limit = min(limits_known, default=DEFAULT_DESCRIPTOR_LIMIT)
    return ConnectionGate(
        connections.ConnectionAccount(
            budget, connections.max_connections(limit, budget.limit_bytes)
        ),
        limits_in_force.LimitsInForce(limits or routes.Limits()),
        record_event,
    )


def _slow_head():
    return errors.RequestMalformed(HEAD_TIMEOUT, 'a head took too long')


def _now_s():
    return asyncio.get_running_loop().time()
