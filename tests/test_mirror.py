"""Tests of the copy of the key-value service."""

import asyncio
import random

from balsamdale import errors
from balsamdale import keyvalue
from balsamdale import link
from balsamdale import mirror
from tests import virtual


class Site:
    """A key-value service and two instances that follow it."""

    def __init__(self):
        self.store = keyvalue.MemoryKeyValue()
        self.network = link.MemoryNetwork()
        self.stores = {}
        self.followers = {}
        for name, other in (('x', 'y'), ('y', 'x')):
            self.stores[name] = Door(self.store)
            self.followers[name] = mirror.Follower(
                mirror.Mirror(),
                self.stores[name],
                link.MemoryLinks(name, self.network),
                lambda other=other: [other],
                random.Random(name),
            )

    def start(self):
        for follower in self.followers.values():
            asyncio.create_task(follower.run())
            asyncio.create_task(follower.run_comparisons())

    def get(self, name, key):
        return self.followers[name].mirror.get(key)


class Door:
    """One instance's way to the service, which can be shut."""

    def __init__(self, store):
        self._store = store
        self.is_open = True
        self.is_silent = False

    async def scan(self, prefix):
        self._store.available = self.is_open
        try:
            return await self._store.scan(prefix)
        finally:
            self._store.available = True

    async def changes(self, prefix, revision, wait_s):
        self._store.available = self.is_open
        try:
            await self._store._check()
        finally:
            self._store.available = True
        found = await self._store.changes(prefix, revision, wait_s)
        if self.is_silent:
            # The client gives a call up that is not answered.
            await asyncio.sleep(wait_s + 1.5)
            raise errors.KeyValueUnavailable('silent', False)
        return found


def test_changes_arrive_at_once():
    async def scenario():
        site = Site()
        await site.store.put('a', b'1')
        site.start()
        await asyncio.sleep(0.1)
        assert site.get('x', 'a') == b'1'
        await site.store.put('a', b'2')
        site.store.remove('a')
        await site.store.put('b', b'3')
        await asyncio.sleep(0.05)
        assert site.get('x', 'a') is None
        assert site.get('x', 'b') == b'3'

    virtual.run(scenario())


def test_dropped_history_is_read_anew():
    async def scenario():
        site = Site()
        site.start()
        await asyncio.sleep(0.1)
        follower = site.followers['x']
        follower.mirror.revision = 0
        await site.store.put('a', b'1')
        site.store.compact()
        await asyncio.sleep(mirror.WATCH_WAIT_S + 1)
        assert site.get('x', 'a') == b'1'

    virtual.run(scenario())


def test_instance_that_is_refused_follows_a_peer():
    async def scenario():
        site = Site()
        site.stores['x'].is_open = False
        site.start()
        await asyncio.sleep(0.1)
        await site.store.put('a', b'1')
        await asyncio.sleep(1.5)
        assert site.get('x', 'a') == b'1'
        site.store.remove('a')
        await site.store.put('b', b'2')
        await asyncio.sleep(1.5)
        assert site.get('x', 'a') is None
        assert site.get('x', 'b') == b'2'

    virtual.run(scenario())


def test_changes_of_an_outage_are_told_apart_from_news():
    async def scenario():
        site = Site()
        site.start()
        follower = site.followers['x']
        heard = []
        follower.mirror.add_listener(
            '',
            lambda key, _value: heard.append((key, follower.is_catching_up)),
        )
        await asyncio.sleep(0.1)
        site.stores['x'].is_open = site.stores['y'].is_open = False
        await asyncio.sleep(mirror.WATCH_WAIT_S + 1.0)
        await site.store.put('old', b'1')
        site.stores['x'].is_open = site.stores['y'].is_open = True
        await asyncio.sleep(1.0)
        assert follower.is_connected
        await site.store.put('new', b'1')
        await asyncio.sleep(0.1)
        assert heard == [('old', True), ('new', False)]

    virtual.run(scenario())


def test_watch_that_stays_silent_is_made_anew():
    async def scenario():
        site = Site()
        site.start()
        await asyncio.sleep(0.1)
        site.stores['x'].is_silent = True
        await site.store.put('a', b'1')
        await asyncio.sleep(2.0)
        assert site.get('x', 'a') == b'1'
        site.stores['x'].is_silent = False
        await asyncio.sleep(2.5)
        await site.store.put('a', b'2')
        await asyncio.sleep(0.1)
        assert site.get('x', 'a') == b'2'

    virtual.run(scenario())


def test_copy_never_goes_back():
    held = mirror.Mirror()
    pair = keyvalue.Pair('a', b'new', 9)
    assert held.load_snapshot([pair], 9)
    assert not held.load_snapshot([keyvalue.Pair('a', b'old', 5)], 8)
    held.apply_changes([keyvalue.Change('a', b'old', 7)], 7)
    assert held.get('a') == b'new'


def test_listeners_hear_each_change_below_their_prefix():
    heard = []
    held = mirror.Mirror()
    held.add_listener('a/', lambda key, value: heard.append((key, value)))
    held.load_snapshot(
        [keyvalue.Pair('a/1', b'x', 1), keyvalue.Pair('b', b'y', 2)], 3
    )
    held.apply_changes([keyvalue.Change('a/1', None, 4)], 4)
    held.load_snapshot([keyvalue.Pair('a/2', b'z', 6)], 7)
    held.load_snapshot([], 8)
    assert heard == [
        ('a/1', b'x'),
        ('a/1', None),
        ('a/2', b'z'),
        ('a/2', None),
    ]


def test_loaded_copy_is_told_as_a_change_of_the_copy():
    held = mirror.Mirror()
    held.load_snapshot([keyvalue.Pair('a', b'x', 5)], 10)
    assert (held.revision, held.last_change_revision) == (10, 5)
    held.load_snapshot([], 12)
    assert (held.revision, held.last_change_revision) == (12, 12)


def test_comparing_goes_on_while_the_copy_is_read_anew():
    """A watch that has ended cannot be given up again."""

    async def scenario():
        site = Site()
        site.start()
        await asyncio.sleep(0.1)
        follower = site.followers['x']
        follower.restart_watch('first')
        await asyncio.sleep(0)
        follower.restart_watch('again, while no watch waits')
        await asyncio.sleep(1.0)
        await site.store.put('a', b'1')
        await asyncio.sleep(0.1)
        assert site.get('x', 'a') == b'1'

    virtual.run(scenario())
