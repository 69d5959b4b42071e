"""Chooses a backend server for a model call of a program.

It compares the estimates of the servers' dispatchers; `balance` chooses for
routed requests.
"""

from collections import abc as collections_abc
import random

from balsamdale import declaration
from balsamdale import messages

__all__ = ['PREFERRED_SERVER_BONUS_S', 'candidates', 'choose']

SAMPLE_SERVERS = 2
SAMPLE_ABOVE_SERVERS = 24
PREFERRED_SERVER_BONUS_S = 0.25
PREFILL_WEIGHT = 8.0


def candidates(
    servers: collections_abc.Sequence[declaration.BackendServer],
    preferred_server: str,
    excluded: collections_abc.Collection[str],
    generator: random.Random,
) -> list[declaration.BackendServer]:
    """Return the servers to ask for an estimate.

    Above `SAMPLE_ABOVE_SERVERS` usable servers only a random sample and the
    preferred server are asked.

    Args:
        servers: all servers of the service.
        preferred_server: name of the server that likely caches the
            program's prefix, or an empty string.
        excluded: names of servers that failed recently.
        generator: source of random numbers.
    """
    usable = [
        server
        for server in servers
        if server.state == 'active' and server.name not in excluded
    ]
    if len(usable) <= SAMPLE_ABOVE_SERVERS:
        return usable
    chosen = generator.sample(usable, SAMPLE_SERVERS)
    chosen += [
        s for s in usable if s.name == preferred_server and s not in chosen
    ]
    return chosen


def choose(
    estimates: collections_abc.Iterable[messages.Quote],
    preferred_server: str,
    generator: random.Random,
) -> messages.Quote | None:
    """Return the estimate with the lowest cost, or None without estimates.

    The cost is the finish time plus weighted prefill time, since prefill
    takes slot time from other programs. The preferred server is chosen
    unless another one is cheaper by `PREFERRED_SERVER_BONUS_S`. Ties are
    broken at random, so that owners do not all choose the same server.
    """

    def cost(estimate):
        bonus_s = (
            PREFERRED_SERVER_BONUS_S
            if estimate.server == preferred_server
            else 0.0
        )
        cost_s = estimate.finish_s + PREFILL_WEIGHT * estimate.prefill_s
        return (cost_s - bonus_s, generator.random())

    return min(estimates, key=cost, default=None)
