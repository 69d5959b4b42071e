"""Tests of following the key-value service, directly and by watchers."""

import asyncio
import random

from balsamdale import errors
from balsamdale import follower
from balsamdale import keyvalue
from balsamdale import link
from balsamdale import mirror
from balsamdale import mirror_messages as messages
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
            self.followers[name] = follower.Follower(
                mirror.Mirror(),
                self.stores[name],
                link.MemoryLinks(name, self.network),
                lambda other=other: [other],
                random.Random(name),
            )

    def start(self):
        for each in self.followers.values():
            asyncio.create_task(each.run())
            asyncio.create_task(each.run_comparisons())

    def get(self, name, key):
        return self.followers[name].mirror.get(key)


class StoreProxy:
    """One instance's client of the service, which can be made to fail."""

    def __init__(self, store):
        self._store = store
        self.is_reachable = True
        self.is_silent = False
        self.returned: asyncio.Event | None = None

    async def scan(self, prefix):
        self._check_reachable()
        return await self._store.scan(prefix)

    async def changes(self, prefix, revision, wait_s):
        self._check_reachable()
        if self.returned is not None:
            await self._wait_for_return(wait_s)
        changes = await self._store.changes(prefix, revision, wait_s)
        if self.is_silent:
            # A real client abandons a call without a response.
            await asyncio.sleep(wait_s + 1.5)
            raise errors.KeyValueUnavailable('silent', False)
        return changes

    async def _wait_for_return(self, wait_s):
        """Wait without a response until the service is back."""
        try:
            async with asyncio.timeout(wait_s + 1.5):
                await self.returned.wait()
        except TimeoutError as error:
            raise errors.KeyValueUnavailable('silent', False) from error

    def _check_reachable(self):
        if not self.is_reachable:
            raise errors.KeyValueUnavailable('simulated outage', False)


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
        x_follower = mirrors.followers['x']
        x_follower.mirror.revision = 0
        await mirrors.store.put('a', b'1')
        mirrors.store.compact()
        await asyncio.sleep(follower.WATCH_WAIT_S + 1)
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
        x_follower = mirrors.followers['x']
        received_changes = []
        x_follower.mirror.add_listener(
            '',
            lambda key, _value: received_changes.append(
                (key, x_follower.is_catching_up)
            ),
        )
        await asyncio.sleep(0.1)
        mirrors.stores['x'].is_reachable = mirrors.stores['y'].is_reachable = (
            False
        )
        await asyncio.sleep(follower.WATCH_WAIT_S + 1.0)
        await mirrors.store.put('old', b'1')
        mirrors.stores['x'].is_reachable = mirrors.stores['y'].is_reachable = (
            True
        )
        await asyncio.sleep(1.0)
        assert x_follower.is_connected
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


def test_comparing_goes_on_while_the_copy_is_read_anew():
    """Guards against restarting a watch that has already ended."""

    async def scenario():
        mirrors = MirrorPair()
        mirrors.start()
        await asyncio.sleep(0.1)
        x_follower = mirrors.followers['x']
        x_follower.restart_watch('first')
        await asyncio.sleep(0)
        x_follower.restart_watch('again, while no watch waits')
        await asyncio.sleep(1.0)
        await mirrors.store.put('a', b'1')
        await asyncio.sleep(0.1)
        assert mirrors.get('x', 'a') == b'1'

    virtual.run(scenario())


class WatchedFleet:
    """Instances of which the first ones watch for the others."""

    def __init__(self, count, watcher_count):
        self.store = keyvalue.MemoryKeyValue()
        self.network = link.MemoryNetwork()
        self.names = [f'i{number}' for number in range(count)]
        self.watchers = self.names[:watcher_count]
        self.stores = {}
        self.followers = {}
        self.tasks = {}
        for name in self.names:
            self.stores[name] = PagedProxy(self.store)
            self.followers[name] = follower.Follower(
                mirror.Mirror(),
                self.stores[name],
                link.MemoryLinks(name, self.network),
                lambda own=name: self._peers_of(own),
                random.Random(name),
                lambda own=name: self._watchers_of(own),
            )

    async def start(self):
        """Start all instances and wait until they follow."""
        for name, each in self.followers.items():
            self.tasks[name] = [
                asyncio.create_task(each.run()),
                asyncio.create_task(each.run_comparisons()),
            ]
        await asyncio.sleep(1.5)

    def kill(self, name):
        """Stop an instance; its peers get no replies."""
        for task in self.tasks[name]:
            task.cancel()
        for peer in self.names:
            self.network.cuts.add((peer, name))
            self.network.cuts.add((name, peer))

    def lagging(self, key, value, but=()):
        """Return the instances that do not have a key's value."""
        return [
            name
            for name in self.names
            if name not in but
            and self.followers[name].mirror.get(key) != value
        ]

    def _peers_of(self, own):
        is_connected = self.followers[own].is_connected
        names = self.watchers if is_connected else self.names
        return [name for name in names if name != own]

    def _watchers_of(self, own):
        if own in self.watchers:
            return []
        start = self.names.index(own) % len(self.watchers)
        return self.watchers[start:] + self.watchers[:start]


class CountingProxy(StoreProxy):
    """A client of the service that counts its calls."""

    def __init__(self, store):
        super().__init__(store)
        self.calls = 0

    async def scan(self, prefix):
        self.calls += 1
        return await super().scan(prefix)

    async def changes(self, prefix, revision, wait_s):
        self.calls += 1
        return await super().changes(prefix, revision, wait_s)


class PagedProxy(CountingProxy):
    """A client of a slow store that returns one key a page."""

    page_s = 0.0

    async def scan(self, prefix):
        pairs, revision = await super().scan(prefix)
        if not self.page_s:
            return pairs, revision
        read = []
        for key in [pair.key for pair in pairs]:
            await asyncio.sleep(self.page_s)
            pair = await self._store.get(key)
            if pair is not None:
                read.append(pair)
        return tuple(read), revision

    async def changes(self, prefix, revision, wait_s):
        await asyncio.sleep(self.page_s)
        return await super().changes(prefix, revision, wait_s)


async def start_reading_in_pages(fleet, page_s):
    """Have all watchers read their copies anew, key by key."""
    for proxy in fleet.stores.values():
        proxy.page_s = page_s
    # The watches end with an error, as their history is gone.
    await fleet.store.put('b', b'2')
    fleet.store.compact()


def record_watch_requests(fleet):
    """Return a list of what watchers are asked, each request taking 1 ms."""
    requests = []
    for name in fleet.watchers:
        links = fleet.followers[name]._links
        serve = links._handlers[messages.WatchMirror]

        async def record(sender, message, serve=serve):
            requests.append(message)
            await asyncio.sleep(0.001)
            async for reply in serve(sender, message):
                yield reply

        links.serve(messages.WatchMirror, record)
    return requests


# Time in which a change of the configuration must be in force.
CHANGE_IN_FORCE_S = 2.0


def test_followers_make_no_calls_of_their_own():
    """Load pattern: many changes in a row on a fleet of many instances."""

    async def scenario():
        fleet = WatchedFleet(40, 4)
        await fleet.start()
        for number in range(20):
            await fleet.store.put(f'k{number}', b'v')
            await asyncio.sleep(0.05)
            if number > 9:
                assert not fleet.lagging(f'k{number - 9}', b'v')
        for name in fleet.names[4:]:
            assert fleet.stores[name].calls <= 2

    virtual.run(scenario())


def test_every_instance_is_heard_by_two_watchers_at_least():
    """A dead instance must be noticed although its watcher died as well."""

    async def scenario():
        fleet = WatchedFleet(12, 4)
        heard = set()
        for name, each in fleet.followers.items():
            each.on_peer_heard = lambda peer, at=name: heard.add((peer, at))
        await fleet.start()
        heard.clear()
        await asyncio.sleep(follower.PEER_WATCH_WAIT_S + 1.3)
        for name in fleet.names:
            watchers = [at for peer, at in heard if peer == name]
            assert len(watchers) >= (1 if name in fleet.watchers else 2)

    virtual.run(scenario())


def test_changes_outlast_the_death_of_watchers():
    async def scenario():
        fleet = WatchedFleet(20, 4)
        await fleet.start()
        dead = ('i0', 'i1')
        for name in dead:
            fleet.kill(name)
        await fleet.store.put('a', b'1')
        await asyncio.sleep(CHANGE_IN_FORCE_S)
        assert not fleet.lagging('a', b'1', but=dead)

    virtual.run(scenario())


def test_followers_of_a_watcher_with_a_silent_watch_are_not_behind():
    async def scenario():
        fleet = WatchedFleet(20, 4)
        await fleet.start()
        fleet.stores['i0'].is_silent = True
        await fleet.store.put('a', b'1')
        await asyncio.sleep(CHANGE_IN_FORCE_S)
        assert not fleet.lagging('a', b'1')

    virtual.run(scenario())


def test_followers_watch_themselves_if_all_watchers_are_refused():
    async def scenario():
        fleet = WatchedFleet(20, 4)
        await fleet.start()
        for name in fleet.watchers:
            fleet.stores[name].is_reachable = False
            fleet.followers[name].restart_watch('refused')
        await fleet.store.put('a', b'1')
        await asyncio.sleep(CHANGE_IN_FORCE_S)
        assert not fleet.lagging('a', b'1')

    virtual.run(scenario())


def test_followers_do_not_press_a_service_that_is_away():
    """Load pattern: an outage that every instance notices at once."""

    async def scenario():
        fleet = WatchedFleet(40, 4)
        await fleet.start()
        for name, proxy in fleet.stores.items():
            proxy.is_reachable = False
            proxy.calls = 0
            fleet.followers[name].restart_watch('refused')
        await asyncio.sleep(10.0)
        for name in fleet.names[4:]:
            assert fleet.stores[name].calls <= 6
        for proxy in fleet.stores.values():
            proxy.is_reachable = True
        await fleet.store.put('a', b'1')
        await asyncio.sleep(CHANGE_IN_FORCE_S)
        assert not fleet.lagging('a', b'1')

    virtual.run(scenario())


def test_changes_of_an_outage_are_passed_on_as_such():
    async def scenario():
        fleet = WatchedFleet(8, 2)
        await fleet.start()
        received_changes = []
        last = fleet.followers['i7']
        last.mirror.add_listener(
            '',
            lambda key, _value: received_changes.append(
                (key, last.is_catching_up or not last.is_connected)
            ),
        )
        for name, proxy in fleet.stores.items():
            proxy.is_reachable = False
            fleet.followers[name].restart_watch('refused')
        await asyncio.sleep(1.0)
        await fleet.store.put('old', b'1')
        for proxy in fleet.stores.values():
            proxy.is_reachable = True
        await asyncio.sleep(3.0)
        await fleet.store.put('new', b'1')
        await asyncio.sleep(0.1)
        assert received_changes == [('old', True), ('new', False)]

    virtual.run(scenario())


def test_a_follower_that_lags_beyond_the_log_gets_the_whole_copy(monkeypatch):
    async def scenario():
        monkeypatch.setattr(mirror, 'LOG_LIMIT_BYTES', 2)
        fleet = WatchedFleet(4, 2)
        await fleet.start()
        for number in range(5):
            await fleet.store.put(f'k{number}', b'long')
        await asyncio.sleep(0.5)
        assert not fleet.lagging('k0', b'long')
        assert not fleet.lagging('k4', b'long')

    virtual.run(scenario())


def test_a_long_row_of_changes_shares_calls():
    """Load pattern: all instances of a fleet register within a second."""

    async def scenario():
        fleet = WatchedFleet(4, 2)
        await fleet.start()
        calls_before = fleet.stores['i0'].calls
        for number in range(200):
            await fleet.store.put(f'k{number}', b'v')
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.5)
        assert not fleet.lagging('k199', b'v')
        assert fleet.stores['i0'].calls - calls_before <= 12

    virtual.run(scenario())


def test_a_change_after_a_quiet_time_is_not_delayed():
    async def scenario():
        fleet = WatchedFleet(4, 2)
        await fleet.start()
        for number in range(50):
            await fleet.store.put(f'k{number}', b'v')
        await asyncio.sleep(2.0)
        await fleet.store.put('a', b'1')
        await asyncio.sleep(0.01)
        assert not fleet.lagging('a', b'1')

    virtual.run(scenario())


def test_changes_of_one_transaction_are_all_passed_on():
    """Keys that are written together have the same revision."""

    async def scenario():
        fleet = WatchedFleet(8, 2)
        await fleet.start()
        changes = [keyvalue.Change(key, b'1', 100) for key in ('a', 'b', 'c')]
        fleet.followers['i0']._apply(changes, 100, False)
        await asyncio.sleep(0.1)
        for name in ('i2', 'i4', 'i6'):
            copy = fleet.followers[name].mirror
            assert [copy.get(key) for key in ('a', 'b', 'c')] == 3 * [b'1']

    virtual.run(scenario())


def test_followers_take_part_in_an_outage_that_their_watchers_noticed():
    """Guards against a follower's own watch that waits through an outage.

    It would return the registrations that expired meanwhile as ordinary
    removals.
    """

    async def scenario():
        fleet = WatchedFleet(8, 2)
        await fleet.start()
        received_changes = []
        last = fleet.followers['i7']
        last.mirror.add_listener(
            '',
            lambda key, _value: received_changes.append(
                (key, last.is_catching_up or not last.is_connected)
            ),
        )
        returned = asyncio.Event()
        for proxy in fleet.stores.values():
            proxy.returned = returned
        for name in fleet.watchers:
            fleet.followers[name].restart_watch('a renewal failed')
        await asyncio.sleep(4.0)
        await fleet.store.put('expired meanwhile', b'1')
        returned.set()
        await asyncio.sleep(2.0)
        assert received_changes == [('expired meanwhile', True)]

    virtual.run(scenario())


def test_instance_is_heard_soon_after_its_start():
    """One that dies unheard is evicted only when its lease expires."""

    async def scenario():
        pair = MirrorPair()
        heard = []
        pair.followers['y'].on_peer_heard = heard.append
        pair.start()
        await asyncio.sleep(2 * follower.FIRST_COMPARE_DELAY_S)
        assert heard == ['x']
        await asyncio.sleep(follower.COMPARE_INTERVAL_S / 2)
        assert heard == ['x']

    virtual.run(scenario())


def test_change_during_a_snapshot_in_pages_reaches_all_followers():
    """Guards against followers that take a later page for their position."""

    async def scenario():
        fleet = WatchedFleet(8, 4)
        for key in 'abcdef':
            await fleet.store.put(key, b'1')
        record_watch_requests(fleet)
        await fleet.start()
        await start_reading_in_pages(fleet, 0.05)
        await asyncio.sleep(0.2)
        await fleet.store.put('a', b'2')
        await fleet.store.put('f', b'2')
        await asyncio.sleep(CHANGE_IN_FORCE_S)
        assert not fleet.lagging('a', b'2')
        assert not fleet.lagging('f', b'2')
        for each in fleet.followers.values():
            assert each.mirror.revision == fleet.store.revision

    virtual.run(scenario())


def test_followers_wait_for_a_watcher_with_an_early_part_of_its_copy():
    """Guards against requests in a loop while the store is slow."""

    async def scenario():
        fleet = WatchedFleet(8, 4)
        for key in 'abcdef':
            await fleet.store.put(key, b'1')
        requests = record_watch_requests(fleet)
        await fleet.start()
        await start_reading_in_pages(fleet, 0.05)
        await asyncio.sleep(0.2)
        await fleet.store.put('f', b'2')
        for name in fleet.watchers:
            fleet.stores[name].returned = asyncio.Event()
        requests.clear()
        await asyncio.sleep(1.2)
        assert len(requests) < 30

    virtual.run(scenario())


def test_later_write_of_an_older_build_is_no_position():
    """An older build passes on what is later than its own revision."""

    async def scenario():
        fleet = WatchedFleet(3, 2)
        await fleet.start()
        last = fleet.followers['i2']
        last._apply_from_watcher(
            messages.MirrorChanges(
                True, True, 10, (mirror.LoggedChange('z', b'2', 15, False),)
            )
        )
        assert (last.mirror.get('z'), last.mirror.revision) == (b'2', 10)
        last._apply_from_watcher(
            messages.MirrorChanges(
                True,
                True,
                15,
                (
                    mirror.LoggedChange('z', b'2', 15, True),
                    mirror.LoggedChange('a', b'1', 12, False),
                    mirror.LoggedChange('z', b'1', 13, False),
                    mirror.LoggedChange('z', b'2', 15, False),
                ),
            )
        )
        assert last.mirror.revision == 15
        assert last.mirror.get('a') == b'1'
        assert last.mirror.get('z') == b'2'

    virtual.run(scenario())


def test_copy_of_a_watcher_that_was_away_is_of_an_outage():
    """Guards against removals that are believed although leases lapsed.

    The follower has not noticed the outage: its other watcher waits through
    it, and it gets a whole copy, since the history was dropped.
    """

    async def scenario():
        fleet = WatchedFleet(3, 2)
        await fleet.store.put('lapsed', b'1')
        await fleet.start()
        last = fleet.followers['i2']
        first, second = last._watchers()
        last._peers = list
        received_changes = []
        last.mirror.add_listener(
            '',
            lambda key, value: received_changes.append(
                (key, value, last.is_catching_up)
            ),
        )
        fleet.stores[second].is_silent = True
        fleet.stores[first].is_reachable = False
        fleet.followers[first].restart_watch('refused')
        await asyncio.sleep(0.1)
        await fleet.store.put('other', b'1')
        fleet.store.remove('lapsed')
        # The history that it needs is gone.
        fleet.followers[first]._is_loaded = False
        fleet.stores[first].is_reachable = True
        await asyncio.sleep(2.0)
        assert ('lapsed', None, True) in received_changes
        assert ('lapsed', None, False) not in received_changes

    virtual.run(scenario())
