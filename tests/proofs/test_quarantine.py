"""Point 5 on entries: who is refused after servers have crashed.

Entries start again, or are cut off for a while, between crashes. At each of
them requests that are harmless share the server with one that is not.
"""

import asyncio
import random

import pytest

from tests import crash_world
from tests import virtual

NAMES = ('a', 'b', 'c', 'd')
HARMLESS = tuple(f'h{number}' for number in range(5))
STEPS = 10
# Longer than a lost report takes to be told again.
SETTLE_S = 6.0
POISON = 'poison'


class World:
    """A fleet that serves requests, one of which crashes servers.

    Attributes:
        crashes: servers that it has crashed.
        refused: harmless requests that were refused.
    """

    def __init__(self, seed):
        self._random = random.Random(seed)
        self.fleet = crash_world.Fleet(*NAMES)
        self.crashes = 0
        self.refused = []

    def any_entry(self):
        return self.fleet.entries[self._random.choice(NAMES)]

    async def step(self):
        await self.disturb()
        entry = self.any_entry()
        if not entry.is_held(POISON, f'old {POISON}'):
            await self.crash(entry)
        for digest in HARMLESS:
            if self.any_entry().is_held(digest, f'old {digest}'):
                self.refused.append(digest)

    async def disturb(self):
        name = self._random.choice(NAMES)
        if self._random.random() < 0.4:
            self.fleet.start(name)
        elif self._random.random() < 0.4:
            self.fleet.cut(name, set(NAMES) - {name})
            if self._random.random() < 0.5:
                # It is taken for dead, and comes back as it was.
                self.fleet.names.remove(name)
            await self.crash_of_harmless(name)
            await asyncio.sleep(1.0)
            self.fleet.network.cuts.clear()
            if name not in self.fleet.names:
                self.fleet.names[:] = NAMES
                self.fleet.entries[name].reports.news.learn_again()
        await asyncio.sleep(SETTLE_S)

    async def crash_of_harmless(self, cut_name):
        """Have a server crash beside requests while an entry is cut off."""
        entry = self.fleet.entries[
            self._random.choice([n for n in NAMES if n != cut_name])
        ]
        if not entry.is_held(POISON, f'old {POISON}'):
            await self.crash(entry)

    async def crash(self, entry):
        self.crashes += 1
        number = self.crashes
        in_flight = [h for h in HARMLESS if self._random.random() < 0.7]
        runs_early = [h for h in in_flight if self._random.random() < 0.5]
        for digest in (POISON, *in_flight):
            with entry.reports.checking(digest) as check:
                if digest in runs_early:
                    entry.reports.record_run(digest, f'old {digest}')
                await asyncio.sleep(0.01)
            if not check.has_run:
                entry.crash(number, digest, f'old {digest}')
        await asyncio.sleep(SETTLE_S)
        for digest in in_flight:
            runner = self.any_entry()
            runner.reports.record_run(digest, f'old {digest}')
        await asyncio.sleep(0.1)


@pytest.mark.point(
    5, 'suspects_never_cleared', 'crashes_never_learned', 'crashes_told_once'
)
def test_only_the_request_that_crashes_servers_is_quarantined(seeds):
    async def main(seed):
        world = World(seed)
        await asyncio.sleep(SETTLE_S)
        for _ in range(STEPS):
            await world.step()
        assert world.crashes == crash_world.LIMIT, seed
        assert not world.refused, seed

    for seed in range(seeds):
        virtual.run(main(seed))
