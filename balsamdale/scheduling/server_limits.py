"""Limits that backend servers name: requests per second over all instances.

It does no I/O and takes the present time as an argument. Load pattern: some
or all servers of a service name a limit far below what they get, through many
entries, and withdraw it seconds later.
"""

import collections
from collections import abc as collections_abc
import dataclasses

from balsamdale.scheduling import quota_units
from balsamdale.scheduling import quota_window

__all__ = [
    'ExpiredUnits',
    'Lender',
    'LimitTable',
    'NamedLimit',
    'ServerKey',
    'UnitStock',
]

# Id of a server and its start: one that starts again names its limit anew.
ServerKey = tuple[str, int]

# Time for which it is remembered that a server has withdrawn its limit, so
# that older news from another instance does not bring it back.
WITHDRAWN_S = 30.0
# Lowest rate that is lent: a server that takes nothing at all could never
# withdraw its limit, as it does so by an answer.
MIN_RATE_PER_S = 0.25
# Units that a lender keeps for entries that have not asked yet.
LEND_AHEAD_S = 0.5
# Shortest and longest time after which an entry gives a unit back.
UNIT_LIFETIME_S = 1.0
MAX_UNIT_LIFETIME_S = 2.0
# What is used within 4 s was lent within this time.
LENT_WINDOW_S = 4.0 + MAX_UNIT_LIFETIME_S
# Units that may be lent in that window beyond the limit, so that servers
# with the lowest limits are used.
LENT_SLACK = 2.0
# Time after which a lender forgets a limit that no entry has named.
FORGET_AFTER_S = 60.0


@dataclasses.dataclass(frozen=True)
class NamedLimit:
    """What a server said of its limit, and when.

    Attributes:
        rate_per_s: requests per second; None if it named no limit.
        said_at_s: time of the answer by the clock of this instance.
    """

    rate_per_s: float | None
    said_at_s: float


class LimitTable:
    """The latest known limit of each server that has named one."""

    def __init__(self):
        self._named: dict[ServerKey, NamedLimit] = {}

    def record(self, key: ServerKey, named: NamedLimit) -> bool:
        """Record what a server said; return whether its limit changed.

        What is older than what is known is ignored.
        """
        known = self._named.get(key)
        if known is None:
            if named.rate_per_s is None:
                return False
        elif named.said_at_s < known.said_at_s:
            return False
        self._named[key] = named
        return known is None or known.rate_per_s != named.rate_per_s

    def rate_per_s(self, key: ServerKey) -> float | None:
        """Return a server's limit; None if it has none."""
        named = self._named.get(key)
        return named.rate_per_s if named is not None else None

    def named(self, key: ServerKey) -> NamedLimit | None:
        """Return the latest that a server said; None if it named none."""
        return self._named.get(key)

    def items(self) -> list[tuple[ServerKey, NamedLimit]]:
        """Return the limits, and those withdrawn a short while ago."""
        return list(self._named.items())

    def count_limited(self) -> int:
        """Return how many servers have a limit."""
        return sum(n.rate_per_s is not None for n in self._named.values())

    def remove_older(self, earliest_s: float) -> list[ServerKey]:
        """Remove what was said before a time; return those servers."""
        removed = [
            key
            for key, named in self._named.items()
            if named.said_at_s < earliest_s
        ]
        for key in removed:
            del self._named[key]
        return removed

    def remove_departed(
        self, registered: collections_abc.Container[str], now_s: float
    ) -> None:
        """Remove servers that are not registered, and withdrawn limits.

        Args:
            registered: ids of the registered servers.
            now_s: the present time.
        """
        self._named = {
            key: named
            for key, named in self._named.items()
            if key[0] in registered
            and (
                named.rate_per_s is not None
                or now_s - named.said_at_s < WITHDRAWN_S
            )
        }


class _Bucket:
    """The units of one server that may be lent.

    What is lent in a window counts as well as the level: units that come
    back and are lent again could otherwise be used together with others.
    """

    def __init__(self, rate_per_s, now_s):
        self._rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._tokens = quota_units.TokenBucket(
            self._rate_per_s, self._capacity, 0.0, now_s
        )
        self._lent = quota_window.LentLog(LENT_WINDOW_S)

    @property
    def _capacity(self):
        return max(1.0, self._rate_per_s * LEND_AHEAD_S)

    def set_rate(self, rate_per_s, now_s):
        self._rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._tokens.set_limit(self._rate_per_s, self._capacity, now_s)

    def level(self, now_s):
        room = self._rate_per_s * LENT_WINDOW_S + LENT_SLACK
        return min(self._tokens.level(now_s), room - self._lent.count(now_s))

    def lend(self, units, now_s):
        self._tokens.add(-units, now_s)
        self._lent.add(units, now_s)

    def give_back(self, units, lent_until_s, now_s):
        self._tokens.add(units, now_s)
        self._lent.remove(units, lent_until_s)


class Lender:
    """Divides the limits of a service's servers among entries.

    A unit is the right to send one request. A bucket starts empty, so that a
    lender that replaces another one adds nothing to what that one has lent.
    """

    def __init__(self):
        self._table = LimitTable()
        self._buckets: dict[ServerKey, _Bucket] = {}

    def __len__(self) -> int:
        return self._table.count_limited()

    def record(self, key: ServerKey, named: NamedLimit, now_s: float) -> bool:
        """Record what a server said; return whether its limit changed."""
        if not self._table.record(key, named):
            return False
        if named.rate_per_s is None:
            self._buckets.pop(key, None)
        elif key in self._buckets:
            self._buckets[key].set_rate(named.rate_per_s, now_s)
        else:
            self._buckets[key] = _Bucket(named.rate_per_s, now_s)
        return True

    def items(self) -> list[tuple[ServerKey, NamedLimit]]:
        """Return the limits, and those withdrawn a short while ago."""
        return self._table.items()

    def lend(self, wanted: int, now_s: float) -> dict[ServerKey, int]:
        """Lend units of any servers, of the fullest buckets first.

        Args:
            wanted: units of all servers together.
            now_s: the present time.

        Returns:
            The units lent of each server that has some.
        """
        levels = {
            key: bucket.level(now_s) for key, bucket in self._buckets.items()
        }
        lent: dict[ServerKey, int] = {}
        for _ in range(wanted if levels else 0):
            key = max(levels, key=levels.__getitem__)
            if levels[key] < 1 - quota_units.ROUNDING:
                break
            levels[key] -= 1
            lent[key] = lent.get(key, 0) + 1
        for key, units in lent.items():
            self._buckets[key].lend(units, now_s)
        return lent

    def give_back(
        self, key: ServerKey, units: int, lent_until_s: float, now_s: float
    ) -> None:
        """Take back units that an entry has not used.

        Args:
            key: the server.
            units: number of units.
            lent_until_s: time at which the oldest of them was lent.
            now_s: the present time.
        """
        if key in self._buckets:
            self._buckets[key].give_back(units, lent_until_s, now_s)

    def remove_old(self, now_s: float) -> None:
        """Remove limits that no entry has named for a long time."""
        for key in self._table.remove_older(now_s - FORGET_AFTER_S):
            self._buckets.pop(key, None)


@dataclasses.dataclass(frozen=True)
class ExpiredUnits:
    """Units of one server that an entry gives back.

    Attributes:
        units: number of units.
        lent_at_s: time at which the oldest of them was lent.
    """

    units: int
    lent_at_s: float


class UnitStock:
    """The units of one entry, which expire if they are not used."""

    def __init__(self):
        # Times of expiry and of lending, in order of the latter.
        self._units: dict[ServerKey, collections.deque] = {}
        self._expired: dict[ServerKey, ExpiredUnits] = {}

    def add(
        self, key: ServerKey, units: int, lent_at_s: float, expires_at_s: float
    ) -> None:
        """Add units."""
        held = self._units.setdefault(key, collections.deque())
        held.extend([(expires_at_s, lent_at_s)] * units)

    def has(self, key: ServerKey, now_s: float) -> bool:
        """Return whether there is a unit of a server."""
        held = self._units.get(key)
        while held and held[0][0] <= now_s:
            _, lent_at_s = held.popleft()
            known = self._expired.get(key, ExpiredUnits(0, lent_at_s))
            self._expired[key] = ExpiredUnits(
                known.units + 1, min(known.lent_at_s, lent_at_s)
            )
        return bool(held)

    def take(self, key: ServerKey, now_s: float) -> bool:
        """Use the unit that expires next; return whether there was one."""
        if not self.has(key, now_s):
            return False
        self._units[key].popleft()
        return True

    def count(self, now_s: float) -> int:
        """Return the units of all servers."""
        return sum(
            len(held)
            for key, held in self._units.items()
            if self.has(key, now_s)
        )

    def pop_expired(self, now_s: float) -> dict[ServerKey, ExpiredUnits]:
        """Return the units that have expired, to give them back."""
        for key in self._units:
            self.has(key, now_s)
        self._units = {key: held for key, held in self._units.items() if held}
        expired, self._expired = self._expired, {}
        return expired
