"""Access to the choice of a backend server for a model call."""

from collections import abc as collections_abc
import random

from balsamdale import declaration
from balsamdale import messages

__all__ = ['PREFERRED_SERVER_BONUS_S', 'candidates', 'choose']

SAMPLE = 2
SAMPLE_ABOVE = 24
PREFERRED_SERVER_BONUS_S = 0.25
PREFILL_WEIGHT = 8.0


def candidates(
    servers: collections_abc.Sequence[declaration.BackendServer],
    home: str,
    excluded: collections_abc.Collection[str],
    generator: random.Random,
) -> list[declaration.BackendServer]:
    """Return the servers to ask for a quote.

    Args:
        servers: all servers of the service.
        home: server that likely holds the program's prefix, or ''.
        excluded: servers that failed the request just now.
        generator: source of the sample.
    """
    usable = [
        server
        for server in servers
        if server.state == 'active' and server.name not in excluded
    ]
    if len(usable) <= SAMPLE_ABOVE:
        return usable
    chosen = generator.sample(usable, SAMPLE)
    chosen += [s for s in usable if s.name == home and s not in chosen]
    return chosen


def choose(
    quotes: collections_abc.Iterable[messages.Quote],
    home: str,
    generator: random.Random,
) -> messages.Quote | None:
    """Return the quote with the earliest finish.

    Prefill counts more than once, since it takes slot time from other
    programs. The home server wins unless another one is earlier
    by `PREFERRED_SERVER_BONUS_S`; other ties are broken at random, so
    that owners do not move as a herd.
    """

    def key(quote):
        bonus_s = PREFERRED_SERVER_BONUS_S if quote.server == home else 0.0
        cost_s = quote.finish_s + PREFILL_WEIGHT * quote.prefill_s
        return (cost_s - bonus_s, generator.random())

    return min(quotes, key=key, default=None)
