"""Limits of backend servers, as an entry keeps them with the other entries.

A server names the requests per second that it takes from all entries
together. An entry sends it a request only for a unit, which it gets from the
lender of the service. While no lender replies, it uses its share of the
limit.
"""

import asyncio
from collections import abc as collections_abc
import dataclasses
import math

from balsamdale import background
from balsamdale import decisions
from balsamdale import discovery
from balsamdale import errors
from balsamdale import limit_service
from balsamdale import link
from balsamdale import members
from balsamdale import metrics
from balsamdale import relay
from balsamdale.scheduling import quota_units
from balsamdale.scheduling import server_limits
from balsamdale import wire

__all__ = ['LimitClient']

REPLY_TIMEOUT_S = 0.25
# Shortest interval between two messages of an entry for one service, and the
# same while requests wait.
ASK_INTERVAL_S = 0.25
WAITING_INTERVAL_S = 0.08
# Messages to a lender are on average this far apart in a large fleet.
LENDER_SPACING_S = 0.01
MAX_INTERVAL_S = server_limits.MAX_UNIT_LIFETIME_S
# Interval between messages to a lender that does not reply.
SILENT_INTERVAL_S = 0.5


@dataclasses.dataclass
class _ServiceState:
    """Units of one service's servers, and how they are asked for.

    Attributes:
        table: limits of the servers.
        stock: units that were lent.
        shares: buckets that are used while no lender replies.
        demand: requests since the latest message.
        asked_at_s: time of the latest message.
        is_asking: whether a message is due or under way.
        is_silent: whether the lender did not reply to the latest message.
        waiting: requests that wait for units.
    """

    table: server_limits.LimitTable = dataclasses.field(
        default_factory=server_limits.LimitTable
    )
    stock: server_limits.UnitStock = dataclasses.field(
        default_factory=server_limits.UnitStock
    )
    shares: dict[server_limits.ServerKey, quota_units.TokenBucket] = (
        dataclasses.field(default_factory=dict)
    )
    demand: int = 0
    asked_at_s: float = -math.inf
    is_asking: bool = False
    is_silent: bool = False
    waiting: list[asyncio.Future] = dataclasses.field(default_factory=list)


class LimitClient:
    """Keeps the limits that servers name.

    Args:
        links: connections to peers.
        relay_links: requests to peers, also while a link is down.
        candidates: returns the ids of the instances that may lend.
        entry_count: returns the number of entries.
        clock: returns the present time in seconds.
    """

    def __init__(
        self,
        links: link.Links,
        relay_links: relay.RelayLinks,
        candidates: collections_abc.Callable[[], list[str]],
        entry_count: collections_abc.Callable[[], int],
        clock: collections_abc.Callable[[], float],
    ):
        self._relay_links = relay_links
        self._candidates = candidates
        self._entry_count = entry_count
        self._clock = clock
        self._states: dict[str, _ServiceState] = {}
        # None until the servers are known.
        self._registered: collections_abc.Set[str] | None = None
        self._background = background.BackgroundTasks('limits')
        self._counts = dict.fromkeys(
            ('ignored', 'units', 'messages', 'unanswered', 'shared', 'waits'),
            0,
        )
        links.serve(limit_service.LimitsNamed, self._on_limits_named)

    def gauges(self) -> dict[str, tuple[str, metrics.ReadGauge]]:
        """Return the gauges by name."""
        descriptions = {
            'ignored': 'Limits of servers that were malformed',
            'units': 'Requests to limited servers lent to this entry',
            'messages': 'Messages to lenders',
            'unanswered': 'Messages to lenders without a reply',
            'shared': 'Requests to limited servers sent without a lender',
            'waits': 'Waits of requests for limited servers',
        }
        return {
            'servers_limited': (
                'Servers that have named a limit',
                self._count_limited,
            )
        } | {
            f'server_limits_{name}': (
                text,
                lambda name=name: self._counts[name],
            )
            for name, text in descriptions.items()
        }

    def rate_per_s(self, server: discovery.Server) -> float | None:
        """Return the limit of a server; None if it has none."""
        return self._state(server.service).table.rate_per_s(_key(server))

    def record_answer(
        self, server: discovery.Server, metadata: wire.ResponseMetadata
    ) -> None:
        """Record whether an answer of a server names a limit.

        A server withdraws its limit by a signed answer without one: what
        rejects a request may leave it out.
        """
        if metadata.is_limit_malformed:
            self._counts['ignored'] += 1
        elif metadata.limit_per_s is not None or metadata.is_signed:
            now_s = self._clock()
            named = server_limits.NamedLimit(metadata.limit_per_s, now_s)
            if self._record(self._state(server.service), _key(server), named):
                self._start_asking(server.service)

    def withheld(
        self, servers: collections_abc.Sequence[discovery.Server]
    ) -> set[str]:
        """Return the ids of limited servers that this entry has no unit of.

        Args:
            servers: servers of one service.
        """
        if not servers or not self._is_limited(servers[0].service):
            return set()
        now_s = self._clock()
        return {
            server.server_id
            for server in servers
            if self.rate_per_s(server) is not None
            and not self._has_unit(server, now_s)
        }

    def take(self, server: discovery.Server) -> bool:
        """Count a request to a server, and use a unit if it is limited.

        Returns:
            Whether the request may be sent.
        """
        if not self._is_limited(server.service):
            return True
        state, key = self._state(server.service), _key(server)
        state.demand += 1
        self._start_asking(server.service)
        if state.table.rate_per_s(key) is None:
            return True
        now_s = self._clock()
        if state.stock.take(key, now_s):
            return True
        if not self._has_unit(server, now_s):
            return False
        state.shares[key].add(-1.0, now_s)
        self._counts['shared'] += 1
        return True

    def give_back(self, server: discovery.Server) -> None:
        """Give back the unit of a request that did not reach its server."""
        if self.rate_per_s(server) is not None:
            state = self._state(server.service)
            now_s = self._clock()
            expires_at_s = now_s + server_limits.UNIT_LIFETIME_S
            state.stock.add(_key(server), 1, now_s, expires_at_s)

    async def wait(self, service: str, max_wait_s: float) -> bool:
        """Wait until units of a service are lent.

        Returns:
            Whether any were.
        """
        state = self._state(service)
        state.demand += 1
        self._counts['waits'] += 1
        future = asyncio.get_running_loop().create_future()
        state.waiting.append(future)
        self._start_asking(service)
        try:
            async with asyncio.timeout(max_wait_s):
                await future
        except TimeoutError:
            return False
        finally:
            if future in state.waiting:
                state.waiting.remove(future)
        return True

    def remove_departed(self, registered: collections_abc.Set[str]) -> None:
        """Remove the limits of servers that are not registered."""
        self._registered = registered
        for state in self._states.values():
            state.table.remove_departed(registered, self._clock())

    def close(self) -> None:
        """Cancel messages in flight."""
        self._background.cancel()

    def _state(self, service):
        state = self._states.get(service)
        if state is None:
            state = self._states[service] = _ServiceState()
            # The lender may know of limits from before this entry started.
            self._start_asking(service)
        return state

    async def _on_limits_named(self, _sender, message):
        now_s = self._clock()
        state = self._state(message.service)
        for limit in message.limits:
            if limit.is_valid():
                self._use_news(state, limit, now_s)
        yield members.Heard()

    def _is_limited(self, service):
        return self._state(service).table.count_limited() > 0

    def _count_limited(self):
        return sum(s.table.count_limited() for s in self._states.values())

    def _use_news(self, state, limit, now_s):
        """Use what a lender said at a time, unless the server is gone."""
        if self._registered is None or limit.server_id in self._registered:
            named = limit_service.to_named_limit(limit, now_s)
            self._record(state, limit.key, named)

    def _record(self, state, key, named):
        before_per_s = state.table.rate_per_s(key)
        is_changed = state.table.record(key, named)
        if is_changed:
            decisions.record(
                'server_limit',
                server=key[0],
                started_ms=key[1],
                rate_per_s=named.rate_per_s,
                before_per_s=before_per_s,
            )
        return is_changed

    def _has_unit(self, server, now_s):
        state, key = self._state(server.service), _key(server)
        if state.stock.has(key, now_s):
            return True
        if not state.is_silent:
            return False
        rate_per_s = max(
            server_limits.MIN_RATE_PER_S, state.table.rate_per_s(key)
        ) / max(1, self._entry_count())
        if key not in state.shares:
            state.shares[key] = quota_units.TokenBucket(
                rate_per_s, 1.0, 0.0, now_s
            )
        return state.shares[key].level(now_s) >= 1 - quota_units.ROUNDING

    def _start_asking(self, service):
        state = self._state(service)
        if not state.is_asking:
            state.is_asking = True
            self._background.spawn(self._ask_when_due(service, state))

    async def _ask_when_due(self, service, state):
        """Ask for units until no request waits for any."""
        try:
            while True:
                due_s = state.asked_at_s + self._interval_s(state)
                await asyncio.sleep(max(0.0, due_s - self._clock()))
                await self._ask(service, state)
                if not state.waiting:
                    return
        finally:
            state.is_asking = False

    def _interval_s(self, state):
        if state.is_silent:
            return SILENT_INTERVAL_S
        shortest_s = WAITING_INTERVAL_S if state.waiting else ASK_INTERVAL_S
        spacing_s = LENDER_SPACING_S * self._entry_count()
        return max(shortest_s, min(MAX_INTERVAL_S, spacing_s))

    async def _ask(self, service, state):
        """Send one message to the lender, and use its reply."""
        now_s = self._clock()
        state.asked_at_s = now_s
        wanted = max(0, state.demand - state.stock.count(now_s))
        state.demand = 0
        unused = state.stock.pop_expired(now_s)
        message = limit_service.LendServerUnits(
            service,
            tuple(
                _to_message(key, named, unused.get(key), now_s)
                for key, named in state.table.items()
            ),
            min(wanted, limit_service.MAX_UNITS),
        )
        reply = await self._request(service, message)
        is_silent = reply is None
        if is_silent != state.is_silent:
            state.is_silent = is_silent
            state.shares.clear()
            decisions.record(
                'limit_lender_silent' if is_silent else 'limit_lender_replies',
                service=service,
            )
        if not is_silent:
            self._use_reply(state, reply, now_s)

    async def _request(self, service, message):
        """Return the lender's reply; None if there is none to use."""
        lender_id = limit_service.lender_of(service, self._candidates())
        self._counts['messages'] += 1
        if lender_id:
            try:
                reply = await self._relay_links.request(
                    lender_id, message, REPLY_TIMEOUT_S
                )
            except errors.LinkError:
                reply = None
            if (
                isinstance(reply, limit_service.ServerUnitsLent)
                and reply.is_lender
                and all(limit.is_valid() for limit in reply.limits)
            ):
                return reply
        self._counts['unanswered'] += 1
        return None

    def _use_reply(self, state, reply, asked_at_s):
        """Use a reply to a message that was sent at the given time."""
        lifetime_s = max(
            server_limits.UNIT_LIFETIME_S, self._interval_s(state)
        )
        expires_at_s = asked_at_s + lifetime_s
        units = 0
        for limit in reply.limits:
            # By the time of the message, so that news that came meanwhile
            # count as newer.
            self._use_news(state, limit, asked_at_s)
            state.stock.add(limit.key, limit.units, asked_at_s, expires_at_s)
            units += limit.units
        self._counts['units'] += units
        has_unlimited = any(limit.rate_per_s is None for limit in reply.limits)
        served = state.waiting[: None if has_unlimited else units]
        for future in served:
            if not future.done():
                future.set_result(None)


def _key(server):
    return server.server_id, server.started_ms


def _to_message(key, named, unused, now_s):
    if unused is None:
        return limit_service.to_message(key, named, now_s)
    return limit_service.to_message(
        key, named, now_s, unused.units, unused.lent_at_s
    )
