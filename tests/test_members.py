"""Tests of registrations under leases and of the member directory."""

import asyncio
import random

from balsamdale import codec
from balsamdale import follower
from balsamdale import keyvalue
from balsamdale import link
from balsamdale import members
from balsamdale import mirror
from tests import virtual


class MemberCluster:
    """Instances that register and mirror each other's registrations."""

    def __init__(self, *names):
        self.store = keyvalue.MemoryKeyValue()
        self.network = link.MemoryNetwork()
        self.member_directories = {}
        self.registrations = {}
        self.tasks = {}
        for name in names:
            self.start(name)

    def start(self, name):
        links = link.MemoryLinks(name, self.network)
        mirrored_keys = mirror.Mirror()
        member_directory = members.MemberDirectory(links, name)
        mirrored_keys.add_listener(
            members.KEY_PREFIX, member_directory.apply_change
        )
        mirror_follower = follower.Follower(
            mirrored_keys, self.store, links, list, random.Random(name)
        )
        member = members.Member(name, 'a', f'{name}:1', f'{name}:2')
        registration = members.Registration(
            self.store,
            lambda: member,
            mirrored_keys.get,
            member_directory.announce,
            mirror_follower.restart_watch,
        )
        mirrored_keys.add_listener(
            members.KEY_PREFIX, registration.apply_change
        )
        self.member_directories[name] = member_directory
        self.registrations[name] = registration
        self.tasks[name] = [
            asyncio.create_task(mirror_follower.run()),
            asyncio.create_task(registration.run()),
        ]

    def kill(self, name):
        for task in self.tasks[name]:
            task.cancel()
        for peer in self.member_directories:
            self.network.cuts.add((peer, name))
            self.network.cuts.add((name, peer))

    def known_entries(self, name):
        entries = self.member_directories[name].entries()
        return {member.instance_id for member in entries}


def test_instances_find_each_other():
    async def scenario():
        cluster = MemberCluster('x', 'y', 'z')
        await asyncio.sleep(0.5)
        assert cluster.known_entries('x') == {'x', 'y', 'z'}

    virtual.run(scenario())


def test_dead_instance_is_dropped_once_its_lease_ends():
    async def scenario():
        cluster = MemberCluster('x', 'y')
        await asyncio.sleep(0.5)
        cluster.kill('y')
        cluster.store.expire_lease(2)
        await asyncio.sleep(5.0)
        assert cluster.known_entries('x') == {'x'}

    virtual.run(scenario())


def test_live_instance_survives_a_lapse_of_all_leases():
    async def scenario():
        cluster = MemberCluster('x', 'y')
        await asyncio.sleep(0.5)
        cluster.store.expire_lease(1)
        cluster.store.expire_lease(2)
        await asyncio.sleep(0.2)
        assert cluster.known_entries('x') == {'x', 'y'}
        await asyncio.sleep(5.0)
        assert cluster.known_entries('x') == {'x', 'y'}
        pairs, _ = await cluster.store.scan(members.KEY_PREFIX)
        assert len(pairs) == 2

    virtual.run(scenario())


def test_live_instance_is_kept_while_it_cannot_register():
    async def scenario():
        cluster = MemberCluster('x', 'y')
        await asyncio.sleep(0.5)
        for task in cluster.tasks['y']:
            task.cancel()
        cluster.store.expire_lease(2)
        await asyncio.sleep(10.0)
        assert cluster.known_entries('x') == {'x', 'y'}

    virtual.run(scenario())


def test_leaving_instance_is_dropped():
    async def scenario():
        cluster = MemberCluster('x', 'y')
        await asyncio.sleep(0.5)
        cluster.member_directories['y'].is_leaving = True
        await cluster.registrations['y'].leave()
        for _ in range(10):
            await asyncio.sleep(0.5)
            assert cluster.known_entries('x') == {'x'}

    virtual.run(scenario())


def test_leaving_instance_is_dropped_though_its_lease_outlives_it():
    async def scenario():
        cluster = MemberCluster('x', 'y')
        await asyncio.sleep(0.5)
        cluster.member_directories['y'].is_leaving = True
        cluster.store.available = False
        await cluster.registrations['y'].leave()
        cluster.store.available = True
        await asyncio.sleep(5.0)
        assert cluster.known_entries('x') == {'x'}

    virtual.run(scenario())


def test_late_announcement_of_a_replaced_process_drops_no_successor():
    """The restarted instance has registered before it arrives."""

    async def scenario():
        cluster = MemberCluster('x', 'y')
        await asyncio.sleep(0.5)
        links = cluster.member_directories['y']._links
        own = cluster.member_directories['y'].members()
        member = next(m for m in own if m.instance_id == 'y')
        await links.request('x', members.Announce(member, True))
        assert cluster.known_entries('x') == {'x'}
        await asyncio.sleep(members.PROBE_INTERVAL_S + 0.5)
        assert cluster.known_entries('x') == {'x', 'y'}

    virtual.run(scenario())


def test_announced_instance_that_dies_is_dropped():
    async def scenario():
        cluster = MemberCluster('x', 'y')
        await asyncio.sleep(0.5)
        for task in cluster.tasks['y']:
            task.cancel()
        cluster.store.expire_lease(2)
        member = members.Member('y', 'a', 'y:1', 'y:2')
        await cluster.member_directories['y'].announce(member, False)
        assert cluster.known_entries('x') == {'x', 'y'}
        cluster.kill('y')
        await asyncio.sleep(8.0)
        assert cluster.known_entries('x') == {'x'}

    virtual.run(scenario())


def test_unreadable_registration_is_passed_over():
    async def scenario():
        cluster = MemberCluster('x')
        await cluster.store.put(f'{members.KEY_PREFIX}bad', b'\xff\x00')
        await asyncio.sleep(0.5)
        assert cluster.known_entries('x') == {'x'}

    virtual.run(scenario())


def test_removed_key_is_written_again():
    async def scenario():
        cluster = MemberCluster('x')
        await asyncio.sleep(0.5)
        cluster.store.remove(f'{members.KEY_PREFIX}x')
        await asyncio.sleep(2.0)
        pair = await cluster.store.get(f'{members.KEY_PREFIX}x')
        assert codec.decode(pair.value).instance_id == 'x'

    virtual.run(scenario())


def test_calls_during_an_outage_become_rarer_and_end_with_it():
    """Load pattern: the service is away for long, and then returns."""

    async def scenario():
        store = keyvalue.MemoryKeyValue()
        failures = []
        registration = members.Registration(
            store,
            lambda: members.Member('x', 'a', 'x:1'),
            lambda key: None,
            _announce_nothing,
            failures.append,
        )
        task = asyncio.create_task(registration.run())
        store.available = False
        await asyncio.sleep(20.0)
        assert len(failures) <= 9
        store.available = True
        registration.wake()
        await asyncio.sleep(0.1)
        assert (await store.get(f'{members.KEY_PREFIX}x')) is not None
        task.cancel()

    virtual.run(scenario())


def test_evicted_instance_that_lives_registers_again_at_once():
    async def scenario():
        cluster = MemberCluster('x', 'y')
        await asyncio.sleep(0.5)
        key = f'{members.KEY_PREFIX}y'
        await cluster.store.put(key, codec.encode(members.Evicted('x')))
        await asyncio.sleep(0.2)
        assert cluster.known_entries('x') == {'x', 'y'}
        pair = await cluster.store.get(key)
        assert codec.decode(pair.value).instance_id == 'y'

    virtual.run(scenario())


def test_announcements_do_not_grow_with_the_fleet():
    """Load pattern: the service refuses many instances of a large fleet.

    An instance that cannot register announces itself at each retry.
    """

    async def scenario():
        network = link.MemoryNetwork()
        received = []
        names = [f'i{number}' for number in range(200)]
        directories = {
            name: members.MemberDirectory(
                CountingLinks(name, network, received), name
            )
            for name in names
        }
        own = directories['i0']
        for name in names:
            member = members.Member(name, 'a', f'{name}:1')
            own.apply_change(
                members.registration_key(name), codec.encode(member)
            )
        for _ in range(5):
            await own.announce(members.Member('i0', 'a', 'i0:1'), False)
            await asyncio.sleep(1.0)
        assert received.count('Announce') == len(names) - 1
        received.clear()
        await own.announce(members.Member('i0', 'a', 'i0:1'), True)
        assert received.count('Announce') == len(names) - 1

    virtual.run(scenario())


class CountingLinks(link.MemoryLinks):
    """Links that record the messages they send."""

    def __init__(self, name, network, sent):
        super().__init__(name, network)
        self._sent = sent

    async def request(self, peer_id, message, timeout_s=1.0):
        self._sent.append(type(message).__name__)
        return await super().request(peer_id, message, timeout_s)


async def _announce_nothing(_member, _is_leaving):
    """Take the place of the announcement to peers."""


def test_announcement_that_fails_does_not_keep_a_registration():
    """Guards against an instance that callers look for after its stop."""

    async def scenario():
        cluster = MemberCluster('x', 'y')
        await asyncio.sleep(0.5)

        async def fail(_member, _is_leaving):
            raise ValueError('odd')

        registration = cluster.registrations['y']
        registration._announce = fail
        await registration.leave()
        pairs, _ = await cluster.store.scan(members.KEY_PREFIX)
        assert [p.key for p in pairs] == [members.registration_key('x')]

    virtual.run(scenario())
