"""Limits that backend servers name: requests per second over all instances.

It does no I/O and takes the present time as an argument. Load pattern: some
or all servers of a service name a limit far below what they get, through many
entries, and withdraw it seconds later.
"""

import collections
from collections import abc as collections_abc
import dataclasses

from balsamdale.scheduling import quota_units

__all__ = ['Lender', 'LimitTable', 'NamedLimit', 'ServerKey', 'UnitStock']

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
# Time after which an entry gives a unit back.
UNIT_LIFETIME_S = 1.0
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


class Lender:
    """Divides the limits of servers among entries, in whole units.

    A unit is the right to send one request. A bucket starts empty, so that a
    lender that replaces another one adds nothing to what that one has lent.
    """

    def __init__(self):
        self._table = LimitTable()
        self._buckets: dict[ServerKey, quota_units.TokenBucket] = {}

    def __len__(self) -> int:
        return self._table.count_limited()

    def record(self, key: ServerKey, named: NamedLimit, now_s: float) -> None:
        """Record what a server said to an entry."""
        if not self._table.record(key, named):
            return
        if named.rate_per_s is None:
            self._buckets.pop(key, None)
            return
        rate_per_s = max(MIN_RATE_PER_S, named.rate_per_s)
        capacity = max(1.0, rate_per_s * LEND_AHEAD_S)
        if key in self._buckets:
            self._buckets[key].set_limit(rate_per_s, capacity, now_s)
        else:
            self._buckets[key] = quota_units.TokenBucket(
                rate_per_s, capacity, 0.0, now_s
            )

    def named(self, key: ServerKey) -> NamedLimit | None:
        """Return the latest that is known of a server's limit."""
        return self._table.named(key)

    def lend(
        self,
        keys: collections_abc.Iterable[ServerKey],
        wanted: int,
        now_s: float,
    ) -> dict[ServerKey, int]:
        """Lend units of the given servers, of the fullest buckets first.

        Args:
            keys: the servers.
            wanted: units of all servers together.
            now_s: the present time.

        Returns:
            The units lent of each server that has some.
        """
        levels = {
            key: self._buckets[key].level(now_s)
            for key in keys
            if key in self._buckets
        }
        lent: dict[ServerKey, int] = {}
        for _ in range(wanted if levels else 0):
            key = max(levels, key=levels.__getitem__)
            if levels[key] < 1 - quota_units.ROUNDING:
                break
            levels[key] -= 1
            lent[key] = lent.get(key, 0) + 1
        for key, units in lent.items():
            self._buckets[key].add(-units, now_s)
        return lent

    def give_back(self, key: ServerKey, units: int, now_s: float) -> None:
        """Take back units that an entry has not used."""
        if key in self._buckets:
            self._buckets[key].add(units, now_s)

    def remove_old(self, now_s: float) -> None:
        """Remove limits that no entry has named for a long time."""
        for key in self._table.remove_older(now_s - FORGET_AFTER_S):
            self._buckets.pop(key, None)


class UnitStock:
    """The units of one entry, which expire if they are not used."""

    def __init__(self):
        self._expiries_s: dict[ServerKey, collections.deque[float]] = {}
        self._expired: collections.Counter[ServerKey] = collections.Counter()

    def add(self, key: ServerKey, units: int, now_s: float) -> None:
        """Add units that were lent now."""
        expiries_s = self._expiries_s.setdefault(key, collections.deque())
        expiries_s.extend([now_s + UNIT_LIFETIME_S] * units)

    def has(self, key: ServerKey, now_s: float) -> bool:
        """Return whether there is a unit of a server."""
        expiries_s = self._expiries_s.get(key)
        while expiries_s and expiries_s[0] <= now_s:
            expiries_s.popleft()
            self._expired[key] += 1
        return bool(expiries_s)

    def take(self, key: ServerKey, now_s: float) -> bool:
        """Use the unit that expires next; return whether there was one."""
        if not self.has(key, now_s):
            return False
        self._expiries_s[key].popleft()
        return True

    def count(self, now_s: float) -> int:
        """Return the units of all servers."""
        return sum(
            len(expiries_s)
            for key, expiries_s in self._expiries_s.items()
            if self.has(key, now_s)
        )

    def pop_expired(self, now_s: float) -> dict[ServerKey, int]:
        """Return the units that have expired, to give them back."""
        for key in self._expiries_s:
            self.has(key, now_s)
        self._expiries_s = {k: v for k, v in self._expiries_s.items() if v}
        expired, self._expired = dict(self._expired), collections.Counter()
        return expired
