"""Tests of paths to servers that only some entries reach."""

import asyncio
import dataclasses

import pytest

from balsamdale import errors
from balsamdale import server_paths
from tests import path_world
from tests import virtual

SERVER = path_world.SERVER
WHOLE = [b'id: 1\n', b'data: x\n\n']


def run(scenario, names='abcd'):
    async def main():
        world = path_world.PathWorld(names)
        try:
            await scenario(world)
        finally:
            for paths in world.paths.values():
                paths.close()

    virtual.run(main())


async def lose_path(world):
    """Cut entry 'a' from the servers; return its helper."""
    world.cut('a')
    await world.paths['a'].check(SERVER)
    return world.paths['a'].helper_id(SERVER)


async def check_replaced(world, helper_id):
    """Check that entry 'a' finds another helper."""
    assert await world.paths['a'].check(SERVER, True) == 'relayed'
    assert world.paths['a'].helper_id(SERVER) not in ('', helper_id)


def test_cut_entry_sends_through_one_that_is_not_cut():
    async def scenario(world):
        world.cut('a', 'b', 'c')
        assert await world.paths['a'].check(SERVER, True) == 'relayed'
        assert await world.send('a') == WHOLE
        assert world.paths['a'].helper_id(SERVER) == 'd'
        assert world.clients['d'].sent == [SERVER.address]

    run(scenario)


def test_other_paths_are_checked_once_the_first_is_lost():
    async def scenario(world):
        world.cut('a')
        await world.paths['a'].check(SERVER)
        await asyncio.sleep(1.0)
        assert world.paths['a'].helper_id(path_world.OTHER_SERVER)

    run(scenario)


def test_path_stays_lost_when_its_server_registers_anew():
    """Servers write their registration again and again as they warm up."""

    async def scenario(world):
        world.cut('a')
        await world.paths['a'].check(SERVER)
        renewed = dataclasses.replace(SERVER, warm_up_s=1.0)
        world.servers = (renewed, path_world.OTHER_SERVER)
        await asyncio.sleep(2 * server_paths.CHECK_INTERVAL_S)
        assert world.paths['a'].helper_id(renewed)
        world.servers = (path_world.OTHER_SERVER,)
        await asyncio.sleep(2 * server_paths.CHECK_INTERVAL_S)
        assert not world.paths['a'].helper_id(SERVER)

    run(scenario)


def test_path_that_is_back_is_used_again():
    async def scenario(world):
        world.cut('a')
        await world.paths['a'].check(SERVER)
        world.clients['a'].cut.clear()
        await asyncio.sleep(2 * server_paths.CHECK_INTERVAL_S)
        assert not world.paths['a'].helper_id(SERVER)
        assert await world.send('a') == WHOLE
        assert world.clients['a'].sent == [SERVER.address]

    run(scenario)


@pytest.mark.parametrize(
    ('cut', 'verdict'), [('abcd', 'unreachable'), ('', 'direct')]
)
def test_verdict_on_a_server_follows_all_entries(cut, verdict):
    async def scenario(world):
        world.cut(*cut, addresses=(SERVER.address,))
        assert await world.paths['a'].check(SERVER) == verdict

    run(scenario)


def test_server_that_answered_a_moment_ago_is_asked_for_anew():
    """A crash is confirmed at once, also by an entry with recent answers."""

    async def scenario(world):
        for name in 'bcd':
            await world.send(name)
        world.cut(*'abcd')
        assert await world.paths['a'].check(SERVER, True) == 'unreachable'

    run(scenario)


def test_entry_without_peers_that_reply_cannot_tell():
    async def scenario(world):
        world.cut('a')
        for name in 'bcd':
            world.network.cuts |= {('a', name), (name, 'a')}
        assert await world.paths['a'].check(SERVER) == 'unconfirmed'

    run(scenario)


def test_peers_that_are_cut_themselves_confirm_nothing():
    async def scenario(world):
        world.cut('b', 'c')
        for name in 'bc':
            assert await world.paths[name].check(SERVER) == 'relayed'
        world.cut('a', 'd')
        world.network.cuts |= {('a', 'd'), ('d', 'a')}
        assert await world.paths['a'].check(SERVER) == 'unconfirmed'

    run(scenario)


def test_checks_of_one_server_are_shared():
    async def scenario(world):
        world.cut('a')
        checks = [world.paths['a'].check(SERVER) for _ in range(50)]
        assert set(await asyncio.gather(*checks)) == {'relayed'}
        messages = world.paths['a'].gauges()['server_paths_lost'][1]()
        assert messages == 1

    run(scenario)


def test_refused_connections_are_told_from_silent_ones():
    async def scenario(world):
        for is_refused in (True, False):
            world.cut('a')
            world.clients['a'].is_refused = is_refused
            await world.paths['a'].check(SERVER, True)
            await asyncio.sleep(0.3)
            assert world.paths['a'].is_refused(SERVER) == is_refused
            world.clients['a'].cut.clear()
            await asyncio.sleep(2 * server_paths.CHECK_INTERVAL_S)

    run(scenario)


@pytest.mark.parametrize('parts', [[], [b'id: 1\n']])
def test_body_that_breaks_at_the_helper_is_not_whole(parts):
    async def scenario(world):
        helper_id = await lose_path(world)
        world.clients[helper_id].parts = [
            *parts,
            errors.BackendFailed('i-1', 'unknown', 'reset'),
        ]
        with pytest.raises(errors.BackendFailed) as raised:
            await world.send('a')
        assert raised.value.ran == 'unknown'

    run(scenario)


@pytest.mark.parametrize('lost_number', [0, 1, 2, 3])
def test_body_with_a_lost_message_is_not_whole(lost_number):
    """Links may lose messages: head, parts, or the end."""

    async def scenario(world):
        world.cut('a')
        await world.paths['a'].check(SERVER)
        links = world.links['a']
        stream = links.stream

        async def lossy(peer_id, message):
            number = 0
            async for reply in stream(peer_id, message):
                if number != lost_number:
                    yield reply
                number += 1

        links.stream = lossy
        with pytest.raises(errors.BackendFailed) as raised:
            await world.send('a')
        assert raised.value.ran == 'unknown'

    run(scenario)


def test_helper_that_lost_the_server_as_well_has_not_run_the_request():
    async def scenario(world):
        helper_id = await lose_path(world)
        world.cut(helper_id)
        with pytest.raises(errors.BackendFailed) as raised:
            await world.send('a')
        assert raised.value.ran == 'no'
        await check_replaced(world, helper_id)
        assert await world.send('a') == WHOLE

    run(scenario)


def test_helper_that_leaves_ends_what_it_sends_and_takes_no_more():
    async def scenario(world):
        helper_id = await lose_path(world)
        sent = asyncio.create_task(world.send('a'))
        await asyncio.sleep(0.005)
        world.paths[helper_id].leave()
        assert await sent == WHOLE
        with pytest.raises(errors.BackendFailed) as raised:
            await world.send('a')
        assert raised.value.ran == 'no'
        await check_replaced(world, helper_id)

    run(scenario)


def test_helper_that_dies_may_have_sent_the_request():
    async def scenario(world):
        helper_id = await lose_path(world)
        world.network.cuts |= {('a', helper_id), (helper_id, 'a')}
        with pytest.raises(errors.BackendFailed) as raised:
            await world.send('a')
        assert raised.value.ran == 'unknown'
        assert await world.paths['a'].check(SERVER, True) == 'relayed'
        assert await world.send('a') == WHOLE

    run(scenario)


def test_caller_that_leaves_ends_the_attempt_at_the_helper():
    async def scenario(world):
        helper_id = await lose_path(world)
        world.clients[helper_id].parts = [b'x'] * 1000
        async with world.paths['a'].send(
            path_world.builders.call(), b'', SERVER, 1.0
        ) as response:
            await anext(response.chunks())
            assert world.paths[helper_id].count_sending() == 1
        await asyncio.sleep(0.1)
        assert world.paths[helper_id].count_sending() == 0

    run(scenario)


def test_paused_helper_sends_nothing_that_it_was_asked_for_before():
    """The entry that asked has given up, or has sent it elsewhere."""

    async def scenario(world):
        helper_id = await lose_path(world)
        world.paused_s[helper_id] = 3.0
        with pytest.raises(errors.BackendFailed) as caught:
            await world.send('a')
        assert caught.value.ran == 'no'
        assert not world.clients[helper_id].sent
        world.paused_s[helper_id] = 0.0
        assert await world.paths['a'].check(SERVER, True) == 'relayed'
        assert await world.send('a') == WHOLE

    run(scenario)
