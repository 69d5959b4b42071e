"""Tests of the mirror of the key-value service."""

import asyncio
import random

from balsamdale import errors
from balsamdale import keyvalue
from balsamdale import link
from balsamdale import mirror
from tests import virtual


class MirrorPair:
    """A key-value service and two instances that mirror it."""

    def __init__(self):
        self.store = keyvalue.MemoryKeyValue()
        self.network = link.MemoryNetwork()
        self.stores = {}
        self.followers = {}
        for name, other in (('x', 'y'), ('y', 'x')):
            self.stores[name] = StoreProxy(self.store)
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


class StoreProxy:
    """One instance's client of the service, which can be made to fail."""

    def __init__(self, store):
        self._store = store
        self.is_reachable = True
        self.is_silent = False

    async def scan(self, prefix):
        self._store.available = self.is_reachable
        try:
            return await self._store.scan(prefix)
        finally:
            self._store.available = True

    async def changes(self, prefix, revision, wait_s):
        self._store.available = self.is_reachable
        try:
            await self._store._check_available()
        finally:
            self._store.available = True
        changes = await self._store.changes(prefix, revision, wait_s)
        if self.is_silent:
            # A real client abandons a call without a response.
            await asyncio.sleep(wait_s + 1.5)
            raise errors.KeyValueUnavailable('silent', False)
        return changes


def test_changes_arrive_at_once():
    async def scenario():
        mirrors = MirrorPair()
        await mirrors.store.put('a', b'1')
        mirrors.start()
        await asyncio.sleep(0.1)
        assert mirrors.get('x', 'a') == b'1'
        await mirrors.store.put('a', b'2')
        mirrors.store.remove('a')
        await mirrors.store.put('b', b'3')
        await asyncio.sleep(0.05)
        assert mirrors.get('x', 'a') is None
        assert mirrors.get('x', 'b') == b'3'

    virtual.run(scenario())


def test_dropped_history_is_read_anew():
    async def scenario():
        mirrors = MirrorPair()
        mirrors.start()
        await asyncio.sleep(0.1)
        follower = mirrors.followers['x']
        follower.mirror.revision = 0
        await mirrors.store.put('a', b'1')
        mirrors.store.compact()
        await asyncio.sleep(mirror.WATCH_WAIT_S + 1)
        assert mirrors.get('x', 'a') == b'1'

    virtual.run(scenario())


def test_instance_that_is_refused_follows_a_peer():
    async def scenario():
        mirrors = MirrorPair()
        mirrors.stores['x'].is_reachable = False
        mirrors.start()
        await asyncio.sleep(0.1)
        await mirrors.store.put('a', b'1')
        await asyncio.sleep(1.5)
        assert mirrors.get('x', 'a') == b'1'
        mirrors.store.remove('a')
        await mirrors.store.put('b', b'2')
        await asyncio.sleep(1.5)
        assert mirrors.get('x', 'a') is None
        assert mirrors.get('x', 'b') == b'2'

    virtual.run(scenario())


def test_changes_of_an_outage_are_told_apart_from_news():
    async def scenario():
        mirrors = MirrorPair()
        mirrors.start()
        follower = mirrors.followers['x']
        received_changes = []
        follower.mirror.add_listener(
            '',
            lambda key, _value: received_changes.append(
                (key, follower.is_catching_up)
            ),
        )
        await asyncio.sleep(0.1)
        mirrors.stores['x'].is_reachable = mirrors.stores['y'].is_reachable = (
            False
        )
        await asyncio.sleep(mirror.WATCH_WAIT_S + 1.0)
        await mirrors.store.put('old', b'1')
        mirrors.stores['x'].is_reachable = mirrors.stores['y'].is_reachable = (
            True
        )
        await asyncio.sleep(1.0)
        assert follower.is_connected
        await mirrors.store.put('new', b'1')
        await asyncio.sleep(0.1)
        assert received_changes == [('old', True), ('new', False)]

    virtual.run(scenario())


def test_watch_that_stays_silent_is_made_anew():
    async def scenario():
        mirrors = MirrorPair()
        mirrors.start()
        await asyncio.sleep(0.1)
        mirrors.stores['x'].is_silent = True
        await mirrors.store.put('a', b'1')
        await asyncio.sleep(2.0)
        assert mirrors.get('x', 'a') == b'1'
        mirrors.stores['x'].is_silent = False
        await asyncio.sleep(2.5)
        await mirrors.store.put('a', b'2')
        await asyncio.sleep(0.1)
        assert mirrors.get('x', 'a') == b'2'

    virtual.run(scenario())


def test_copy_never_goes_back():
    copy = mirror.Mirror()
    pair = keyvalue.Pair('a', b'new', 9)
    assert copy.load_snapshot([pair], 9)
    assert not copy.load_snapshot([keyvalue.Pair('a', b'old', 5)], 8)
    copy.apply_changes([keyvalue.Change('a', b'old', 7)], 7)
    assert copy.get('a') == b'new'


def test_listeners_hear_each_change_below_their_prefix():
    received_changes = []
    copy = mirror.Mirror()
    copy.add_listener(
        'a/', lambda key, value: received_changes.append((key, value))
    )
    copy.load_snapshot(
        [keyvalue.Pair('a/1', b'x', 1), keyvalue.Pair('b', b'y', 2)], 3
    )
    copy.apply_changes([keyvalue.Change('a/1', None, 4)], 4)
    copy.load_snapshot([keyvalue.Pair('a/2', b'z', 6)], 7)
    copy.load_snapshot([], 8)
    assert received_changes == [
        ('a/1', b'x'),
        ('a/1', None),
        ('a/2', b'z'),
        ('a/2', None),
    ]


def test_loaded_copy_is_told_as_a_change_of_the_copy():
    copy = mirror.Mirror()
    copy.load_snapshot([keyvalue.Pair('a', b'x', 5)], 10)
    assert (copy.revision, copy.last_change_revision) == (10, 5)
    copy.load_snapshot([], 12)
    assert (copy.revision, copy.last_change_revision) == (12, 12)


def test_comparing_goes_on_while_the_copy_is_read_anew():
    """Guards against restarting a watch that has already ended."""

    async def scenario():
        mirrors = MirrorPair()
        mirrors.start()
        await asyncio.sleep(0.1)
        follower = mirrors.followers['x']
        follower.restart_watch('first')
        await asyncio.sleep(0)
        follower.restart_watch('again, while no watch waits')
        await asyncio.sleep(1.0)
        await mirrors.store.put('a', b'1')
        await asyncio.sleep(0.1)
        assert mirrors.get('x', 'a') == b'1'

    virtual.run(scenario())
