"""Service that lends the requests which limited servers take.

The lender of a service is the first archive by rendezvous hashing, or the
first entry where there are no archives. Every instance serves; one that is
not the lender as far as it knows lends nothing.
"""

import asyncio
from collections import abc as collections_abc
import math

from balsamdale import background
from balsamdale import codec
from balsamdale import decisions
from balsamdale import errors
from balsamdale import link
from balsamdale import metrics
from balsamdale import placement
from balsamdale.scheduling import server_limits

__all__ = [
    'LendServerUnits',
    'LimitService',
    'LimitsNamed',
    'ServerLimit',
    'ServerUnitsLent',
    'lender_of',
    'to_message',
    'to_named_limit',
]

# Servers and units of one message; one that names more is malformed.
MAX_SERVERS = 10000
MAX_UNITS = 10000
# Changes within this time are announced together.
ANNOUNCE_DELAY_S = 0.05
ANNOUNCED_AT_ONCE = 20
ANNOUNCE_TIMEOUT_S = 0.25


@codec.message
class ServerLimit:
    """What a server said of its limit.

    Attributes:
        server_id: id of the server.
        started_ms: start of the server, as in its registration.
        rate_per_s: requests per second; None if it named no limit.
        age_s: time since it said so.
        units: in a request, units that were lent and not used; in a reply,
            units that are lent.
        units_age_s: in a request, time since the oldest of them was lent.
    """

    server_id: str
    started_ms: int
    rate_per_s: float | None
    age_s: float
    units: int = 0
    units_age_s: float = 0.0

    @property
    def key(self) -> server_limits.ServerKey:
        """Id and start of the server."""
        return self.server_id, self.started_ms

    def is_valid(self) -> bool:
        """Return whether the fields are in range."""
        return (
            bool(self.server_id)
            and (self.rate_per_s is None or 0 <= self.rate_per_s < math.inf)
            and 0 <= self.age_s < math.inf
            and 0 <= self.units <= MAX_UNITS
            and 0 <= self.units_age_s < math.inf
        )


@codec.message
class LendServerUnits:
    """Asks the lender of a service for units of its limited servers.

    Attributes:
        service: name of the service.
        limits: what the entry knows of limited servers.
        wanted: units of all these servers together.
    """

    service: str
    limits: tuple[ServerLimit, ...]
    wanted: int


@codec.message
class ServerUnitsLent:
    """Reply with the units that are lent.

    Attributes:
        limits: what the lender knows of the service's servers.
        is_lender: False if the instance does not lend for this service as
            far as it knows, or the message was malformed.
    """

    limits: tuple[ServerLimit, ...]
    is_lender: bool = True


@codec.message
class LimitsNamed:
    """Tells an entry of limits that have changed.

    Attributes:
        service: name of the service.
        limits: what the lender knows of its servers.
    """

    service: str
    limits: tuple[ServerLimit, ...]


def lender_of(service: str, candidates: collections_abc.Iterable[str]) -> str:
    """Return the instance that lends for a service; empty for none."""
    return next(iter(placement.rank(service, list(candidates))), '')


def to_message(
    key: server_limits.ServerKey,
    named: server_limits.NamedLimit,
    now_s: float,
    units: int = 0,
    units_lent_at_s: float = math.inf,
) -> ServerLimit:
    """Return what is known of a server's limit as part of a message."""
    return ServerLimit(
        *key,
        named.rate_per_s,
        max(0.0, now_s - named.said_at_s),
        units,
        max(0.0, now_s - units_lent_at_s),
    )


def to_named_limit(
    limit: ServerLimit, now_s: float
) -> server_limits.NamedLimit:
    """Return a part of a message by the clock of this instance."""
    return server_limits.NamedLimit(limit.rate_per_s, now_s - limit.age_s)


class LimitService:
    """Lends units of the services that this instance is the lender of.

    Args:
        links: connections to peers.
        candidates: returns the ids of the instances that may lend, with this
            one if it may.
        entries: returns the ids of the entries.
        clock: returns the present time in seconds.
    """

    def __init__(
        self,
        links: link.Links,
        candidates: collections_abc.Callable[[], list[str]],
        entries: collections_abc.Callable[[], list[str]],
        clock: collections_abc.Callable[[], float],
    ):
        self._links = links
        self._own_id = links.instance_id
        self._candidates = candidates
        self._entries = entries
        self._clock = clock
        self._lenders: dict[str, server_limits.Lender] = {}
        self._announcing: set[str] = set()
        self._background = background.BackgroundTasks('limits')
        self._counts = dict.fromkeys(('lent', 'ignored'), 0)
        links.serve(LendServerUnits, self._on_lend_units)

    def gauges(self) -> dict[str, tuple[str, metrics.ReadGauge]]:
        """Return the gauges by name."""
        return {
            'server_units_lent': (
                'Requests to limited servers that this instance has lent',
                lambda: self._counts['lent'],
            ),
            'server_units_ignored': (
                'Messages to this lender that were ignored',
                lambda: self._counts['ignored'],
            ),
            'server_limits_lent': (
                'Limited servers that this instance lends for',
                lambda: sum(map(len, self._lenders.values())),
            ),
        }

    def close(self) -> None:
        """Cancel messages in flight."""
        self._background.cancel()

    async def _on_lend_units(self, _sender, message):
        now_s = self._clock()
        is_valid = _is_valid(message)
        lender_id = lender_of(message.service, self._candidates())
        if not is_valid or lender_id != self._own_id:
            self._counts['ignored'] += 1
            decisions.record(
                'server_units_ignored',
                service=message.service[:80],
                factor='not_lender' if is_valid else 'malformed',
            )
            yield ServerUnitsLent((), is_lender=False)
            return
        lender = self._lenders.setdefault(
            message.service, server_limits.Lender()
        )
        lender.remove_old(now_s)
        is_changed = False
        for limit in message.limits:
            named = to_named_limit(limit, now_s)
            is_changed |= lender.record(limit.key, named, now_s)
            lent_until_s = now_s - limit.units_age_s
            lender.give_back(limit.key, limit.units, lent_until_s, now_s)
        if is_changed and message.service not in self._announcing:
            self._announcing.add(message.service)
            self._background.spawn(self._announce(message.service))
        lent = lender.lend(message.wanted, now_s)
        self._counts['lent'] += sum(lent.values())
        yield ServerUnitsLent(self._limits(lender, lent, now_s))

    def _limits(self, lender, lent, now_s):
        return tuple(
            to_message(key, named, now_s, lent.get(key, 0))
            for key, named in lender.items()
        )

    async def _announce(self, service):
        """Tell all entries of a change, also those that did not ask."""
        await asyncio.sleep(ANNOUNCE_DELAY_S)
        self._announcing.discard(service)
        limits = self._limits(self._lenders[service], {}, self._clock())
        message = LimitsNamed(service, limits)
        names = self._entries()
        for start in range(0, len(names), ANNOUNCED_AT_ONCE):
            await asyncio.gather(
                *(
                    self._send_limits(name, message)
                    for name in names[start : start + ANNOUNCED_AT_ONCE]
                )
            )

    async def _send_limits(self, name, message):
        try:
            await self._links.request(name, message, ANNOUNCE_TIMEOUT_S)
        except errors.LinkError as error:
            decisions.record('limits_lost', peer=name, reason=str(error))


def _is_valid(message):
    return (
        bool(message.service)
        and len(message.limits) <= MAX_SERVERS
        and 0 <= message.wanted <= MAX_UNITS
        and all(limit.is_valid() for limit in message.limits)
    )
