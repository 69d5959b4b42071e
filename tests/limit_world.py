"""A fleet of entries before limited servers, in one process."""

import asyncio
import random

from balsamdale import discovery
from balsamdale import limit_client
from balsamdale import limit_service
from balsamdale import link
from balsamdale import relay
from balsamdale import wire

SERVICE = 'engines'
ANSWER_S = 0.02


class LimitWorld:
    """Entries that send requests, and servers that name a limit.

    Args:
        entry_count: number of entries.
        limits_per_s: limit of each server; None for no limit.
        lenders: ids of the instances that may lend.
        seed: of the random numbers.

    Attributes:
        sent: times of requests by server.
        refused: requests that found no server.
    """

    def __init__(
        self, entry_count, limits_per_s, lenders=('d0', 'd1'), seed=0
    ):
        self.network = link.MemoryNetwork()
        self.random = random.Random(seed)
        self.limits_per_s = limits_per_s
        self.servers = [
            discovery.Server(name, SERVICE, name, 'a', 8, 'ready')
            for name in limits_per_s
        ]
        self.sent = {name: [] for name in limits_per_s}
        self.refused = 0
        self.lenders = list(lenders)
        for name in lenders:
            limit_service.LimitService(
                link.MemoryLinks(name, self.network),
                lambda: self.lenders,
                lambda: list(self.entries),
                self.now_s,
            )
        names = [f'e{number}' for number in range(entry_count)]
        self.entries = {name: self._add_entry(name, names) for name in names}

    def now_s(self):
        return asyncio.get_running_loop().time()

    def restart(self, name):
        """Replace an entry by one that knows nothing."""
        self.entries[name].close()
        self.entries[name] = self._add_entry(name, list(self.entries))

    async def send(self, name, max_wait_s=0.0):
        """Send one request from an entry to any server with room."""
        entry = self.entries[name]
        while True:
            withheld = entry.withheld(self.servers)
            free = [s for s in self.servers if s.server_id not in withheld]
            if free and entry.take(server := self.random.choice(free)):
                break
            if not await entry.wait(SERVICE, max_wait_s):
                self.refused += 1
                return
        self.sent[server.server_id].append(self.now_s())
        limit_per_s = self.limits_per_s[server.server_id]
        await asyncio.sleep(ANSWER_S)
        entry.record_answer(
            server,
            wire.ResponseMetadata(True, False, None, limit_per_s=limit_per_s),
        )

    async def load(self, duration_s, rate_per_s, max_wait_s=0.0):
        """Send requests through random entries."""
        tasks = []
        end_s = self.now_s() + duration_s
        while self.now_s() < end_s:
            name = self.random.choice(list(self.entries))
            tasks.append(asyncio.create_task(self.send(name, max_wait_s)))
            await asyncio.sleep(self.random.expovariate(rate_per_s))
        await asyncio.gather(*tasks)

    def most_in_window(self, server_id, start_s, window_s=4.0):
        """Return the most requests that a server got in a window."""
        times = [t for t in self.sent[server_id] if t >= start_s]
        return max(
            (
                sum(first <= t < first + window_s for t in times)
                for first in times
            ),
            default=0,
        )

    def _add_entry(self, name, names):
        links = link.MemoryLinks(name, self.network)
        relay_links = relay.RelayLinks(
            links, lambda: [n for n in names if n != name], self.random
        )
        return limit_client.LimitClient(
            links,
            relay_links,
            lambda: self.lenders,
            lambda: len(self.entries),
            self.now_s,
        )
