"""Limits that backend servers name: requests per second over all instances.

It does no I/O and takes the present time as an argument. Load pattern: some
or all servers of a service name a limit far below what they get, through many
entries, and withdraw it seconds later.
"""

from collections import abc as collections_abc
import dataclasses

__all__ = ['LimitTable', 'NamedLimit', 'ServerKey']

# Id of a server and its start: one that starts again names its limit anew.
ServerKey = tuple[str, int]

# Time for which it is remembered that a server has withdrawn its limit, so
# that older news from another instance does not bring it back.
WITHDRAWN_S = 30.0


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

    def items(self) -> list[tuple[ServerKey, NamedLimit]]:
        """Return the limits, and those withdrawn a short while ago."""
        return list(self._named.items())

    def count_limited(self) -> int:
        """Return how many servers have a limit."""
        return sum(n.rate_per_s is not None for n in self._named.values())

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
