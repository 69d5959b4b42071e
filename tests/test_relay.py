"""Tests of messages that go around cut links."""

import asyncio

import pytest

from balsamdale import errors
from tests import archives
from tests import builders_routed as builders
from tests import virtual


def test_cut_entry_reaches_archives_through_another():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.cut_entry()
        await cluster.quorum.store_turn(builders.turn(1), 4.0)
        assert len(cluster.holders('t1')) >= 2
        assert await cluster.quorum.read_chain('t1', 4.0)
        assert cluster.helper.relayed_requests

    virtual.run(scenario())


def test_known_cut_costs_no_waiting():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.cut_entry()
        await cluster.quorum.store_turn(builders.turn(1), 4.0)
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        await cluster.quorum.store_turn(builders.turn(2), 4.0)
        assert loop.time() - start_s < 0.1

    virtual.run(scenario())


def test_healed_link_is_used_again():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.cut_entry()
        await cluster.quorum.store_turn(builders.turn(1), 4.0)
        cluster.network.cuts.clear()
        await asyncio.sleep(3.0)
        relayed_requests = cluster.helper.relayed_requests
        await cluster.quorum.store_turn(builders.turn(2), 4.0)
        assert cluster.helper.relayed_requests == relayed_requests

    virtual.run(scenario())


def test_dead_archive_is_not_reached_by_any_way():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.cut('d0')
        for _ in range(3):
            with pytest.raises(errors.LinkError):
                await cluster.relay.request('d0', builders.turn(1), 0.5)

    virtual.run(scenario())
