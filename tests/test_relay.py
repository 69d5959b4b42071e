"""Tests of messages that go around cut links."""

import asyncio

import pytest

from balsamdale import errors
from tests import archives
from tests import builders_routed as builders
from tests import virtual


def test_cut_entry_reaches_archives_through_another():
    async def scenario():
        world = archives.World()
        world.cut_entry()
        await world.quorum.store_turn(builders.turn(1), 4.0)
        assert len(world.holders('t1')) >= 2
        assert await world.quorum.read_chain('t1', 4.0)
        assert world.helper.relayed_requests

    virtual.run(scenario())


def test_known_cut_costs_no_waiting():
    async def scenario():
        world = archives.World()
        world.cut_entry()
        await world.quorum.store_turn(builders.turn(1), 4.0)
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        await world.quorum.store_turn(builders.turn(2), 4.0)
        assert loop.time() - start_s < 0.1

    virtual.run(scenario())


def test_healed_link_is_used_again():
    async def scenario():
        world = archives.World()
        world.cut_entry()
        await world.quorum.store_turn(builders.turn(1), 4.0)
        world.network.cuts.clear()
        await asyncio.sleep(3.0)
        relayed_requests = world.helper.relayed_requests
        await world.quorum.store_turn(builders.turn(2), 4.0)
        assert world.helper.relayed_requests == relayed_requests

    virtual.run(scenario())


def test_dead_archive_is_not_reached_by_any_way():
    async def scenario():
        world = archives.World()
        world.cut('d0')
        for _ in range(3):
            with pytest.raises(errors.LinkError):
                await world.relay.request('d0', builders.turn(1), 0.5)

    virtual.run(scenario())
