"""Limits of backend servers as one entry knows them."""

from collections import abc as collections_abc

from balsamdale import decisions
from balsamdale import discovery
from balsamdale import metrics
from balsamdale.scheduling import server_limits
from balsamdale import wire

__all__ = ['LimitClient']


class LimitClient:
    """Keeps the limits that servers name.

    Args:
        clock: returns the present time in seconds.
    """

    def __init__(self, clock: collections_abc.Callable[[], float]):
        self._clock = clock
        self._table = server_limits.LimitTable()
        self._counts = dict.fromkeys(('limits_ignored',), 0)

    def gauges(self) -> dict[str, tuple[str, metrics.ReadGauge]]:
        """Return the gauges by name."""
        return {
            'servers_limited': (
                'Servers that have named a limit',
                self._table.count_limited,
            ),
            'server_limits_ignored': (
                'Limits of servers that were malformed',
                lambda: self._counts['limits_ignored'],
            ),
        }

    def rate_per_s(self, server: discovery.Server) -> float | None:
        """Return the limit of a server; None if it has none."""
        return self._table.rate_per_s(_key(server))

    def record_answer(
        self, server: discovery.Server, metadata: wire.ResponseMetadata
    ) -> None:
        """Record whether an answer of a server names a limit.

        A server withdraws its limit by a signed answer without one: what
        rejects a request may leave it out.
        """
        if metadata.is_limit_malformed:
            self._counts['limits_ignored'] += 1
        elif metadata.limit_per_s is not None or metadata.is_signed:
            self._record(_key(server), metadata.limit_per_s)

    def remove_departed(self, registered: collections_abc.Set[str]) -> None:
        """Remove the limits of servers that are not registered."""
        self._table.remove_departed(registered, self._clock())

    def _record(self, key, rate_per_s):
        before = self._table.rate_per_s(key)
        named = server_limits.NamedLimit(rate_per_s, self._clock())
        if self._table.record(key, named):
            decisions.record(
                'server_limit',
                server=key[0],
                started_ms=key[1],
                rate_per_s=rate_per_s,
                before_per_s=before,
            )


def _key(server):
    return server.server_id, server.started_ms
