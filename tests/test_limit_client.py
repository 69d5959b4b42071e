"""Tests of limits that a fleet of entries keeps together, on virtual time."""

import asyncio
import random

import pytest

from balsamdale import limit_service
from tests import limit_world
from tests import virtual

# What the platform allows a server in 4 s: one and a half times its limit,
# and 5 requests; from 3 s after it first named the limit.
SETTLE_S = 3.0


def allowed(limit_per_s):
    return 1.5 * 4.0 * limit_per_s + 5


def assert_limits_hold(world, start_s):
    for server_id, limit_per_s in world.limits_per_s.items():
        most = world.most_in_window(server_id, start_s)
        assert most <= allowed(limit_per_s), (server_id, most)


@pytest.mark.parametrize('entry_count', [1, 2, 9, 80])
@pytest.mark.parametrize('limit_per_s', [0.0, 0.5, 3.2, 30.0])
def test_servers_get_no_more_than_their_limit_from_a_fleet(
    entry_count, limit_per_s
):
    async def scenario():
        limits_per_s = {f's{n}': limit_per_s for n in range(4)}
        world = limit_world.LimitWorld(entry_count, limits_per_s)
        start_s = world.now_s() + SETTLE_S
        await world.load(20.0, 200.0)
        assert_limits_hold(world, start_s)
        for server_id in limits_per_s:
            times = [t for t in world.sent[server_id] if t >= start_s]
            assert len(times) >= 0.8 * limit_per_s * (20.0 - SETTLE_S) - 3

    virtual.run(scenario())


@pytest.mark.parametrize('entry_count', [9, 80, 300])
def test_units_that_lay_idle_do_not_add_to_a_burst(entry_count):
    """Entries that come to hold units at different times use them at once."""

    async def scenario():
        limits_per_s = {'s0': 3.2, 's1': 30.0}
        world = limit_world.LimitWorld(entry_count, limits_per_s)
        start_s = world.now_s() + SETTLE_S
        for _ in range(5):
            await world.load(2.5, 40.0)
            await world.load(1.5, 400.0)
        assert_limits_hold(world, start_s)

    virtual.run(scenario())


@pytest.mark.parametrize('seed', range(5))
def test_limits_hold_while_the_lender_dies_and_entries_restart(seed):
    """The lender stops; its registration is removed two seconds later."""

    async def scenario():
        limits_per_s = {'s0': 3.2, 's1': 5.2, 's2': 7.0}
        world = limit_world.LimitWorld(9, limits_per_s, seed=seed)
        start_s = world.now_s() + SETTLE_S
        load = asyncio.create_task(world.load(24.0, 80.0))
        await asyncio.sleep(6.0)
        lender = limit_service.lender_of(limit_world.SERVICE, world.lenders)
        for name in [*world.entries, *world.lenders]:
            world.network.cuts |= {(name, lender), (lender, name)}
        await asyncio.sleep(2.0)
        world.lenders.remove(lender)
        for name in ('e0', 'e1', 'e2'):
            await asyncio.sleep(2.0)
            world.restart(name)
        await load
        assert_limits_hold(world, start_s)

    virtual.run(scenario())


def test_limits_hold_without_any_lender():
    async def scenario():
        world = limit_world.LimitWorld(9, {'s0': 3.2, 's1': 20.0}, lenders=())
        start_s = world.now_s() + SETTLE_S
        await world.load(20.0, 80.0)
        assert_limits_hold(world, start_s)
        assert len(world.sent['s1']) >= 0.5 * 20.0 * 20.0

    virtual.run(scenario())


def test_withdrawn_limit_is_known_to_all_entries():
    async def scenario():
        world = limit_world.LimitWorld(9, {'s0': 3.0, 's1': 3.0})
        await world.load(6.0, 40.0)
        world.limits_per_s['s0'] = None
        await world.load(2.0, 40.0)
        server = world.servers[0]
        for entry in world.entries.values():
            assert entry.rate_per_s(server) is None
            assert entry.rate_per_s(world.servers[1]) == 3.0
        refused = world.refused
        await world.load(2.0, 40.0)
        assert world.refused == refused

    virtual.run(scenario())


def test_limit_that_rises_is_used():
    async def scenario():
        world = limit_world.LimitWorld(9, {'s0': 1.0})
        await world.load(6.0, 40.0)
        world.limits_per_s['s0'] = 20.0
        await world.load(8.0, 40.0)
        assert len(world.sent['s0']) >= 100

    virtual.run(scenario())


def test_requests_of_programs_in_progress_wait_for_units():
    async def scenario():
        for max_wait_s, refused_share in ((0.0, 1.0), (0.25, 0.1)):
            world = limit_world.LimitWorld(3, {'s0': 20.0})
            await world.load(3.0, 16.0)
            refused = world.refused
            await world.load(10.0, 16.0, max_wait_s)
            assert world.refused - refused <= refused_share * 160

    virtual.run(scenario())


@pytest.mark.parametrize(
    'fields',
    [
        {'wanted': -1},
        {'wanted': limit_service.MAX_UNITS + 1},
        {'service': ''},
        {'limits': (limit_service.ServerLimit('s', 1, -1.0, 0.0, 0),)},
        {'limits': (limit_service.ServerLimit('s', 1, 1.0, -1.0, 0),)},
        {'limits': (limit_service.ServerLimit('s', 1, 1.0, 0.0, -1),)},
        {'limits': (limit_service.ServerLimit('', 1, 1.0, 0.0, 0),)},
    ],
)
def test_malformed_message_lends_nothing(fields):
    async def scenario():
        world = limit_world.LimitWorld(1, {}, lenders=('d0',))
        limits = (limit_service.ServerLimit('s', 1, 5.0, 0.0, 0),)
        fields_of_message = {
            'service': limit_world.SERVICE,
            'limits': limits,
            'wanted': 1,
            **fields,
        }
        message = limit_service.LendServerUnits(**fields_of_message)
        links = world.entries['e0']._relay_links
        reply = await links.request('d0', message, 1.0)
        assert not reply.is_lender
        assert reply.limits == ()

    virtual.run(scenario())


async def disturb(world, generator, end_s):
    """Restart entries, lose lenders and links, and change limits."""
    while world.now_s() < end_s:
        await asyncio.sleep(generator.uniform(0.5, 3.0))
        kind = generator.choice(('restart', 'lender', 'links', 'limit'))
        if kind == 'restart':
            for name in generator.sample(list(world.entries), 2):
                world.restart(name)
        elif kind == 'lender' and len(world.lenders) > 1:
            world.lenders.remove(generator.choice(world.lenders))
        elif kind == 'links':
            lender = generator.choice(world.lenders)
            for name in generator.sample(list(world.entries), 3):
                world.network.cuts |= {(name, lender), (lender, name)}
            await asyncio.sleep(generator.uniform(0.5, 2.0))
            world.network.cuts.clear()
        elif kind == 'limit':
            name = generator.choice(list(world.limits_per_s))
            world.limits_per_s[name] *= generator.choice((1.0, 1.5, 2.0))


def test_limits_hold_in_random_days(seeds, is_long):
    """Disturbances follow each other and overlap; limits only rise."""

    async def scenario():
        entry_count = generator.choice((3, 9, 30))
        limits_per_s = {
            f's{n}': generator.uniform(0.5, 12.0) for n in range(4)
        }
        world = limit_world.LimitWorld(
            entry_count, limits_per_s, ('d0', 'd1', 'd2', 'd3'), seed
        )
        start_s = world.now_s() + SETTLE_S
        disturbing = asyncio.create_task(
            disturb(world, generator, start_s + 15.0)
        )
        while world.now_s() < start_s + 17.0:
            rate_per_s = generator.choice((5.0, 40.0, 200.0))
            await world.load(generator.uniform(0.5, 3.0), rate_per_s)
        await disturbing
        assert_limits_hold(world, start_s)

    for seed in range(seeds if is_long else 5):
        generator = random.Random(seed)
        virtual.run(scenario())
