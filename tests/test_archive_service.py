"""Tests of catching up and emptying."""

import asyncio

from tests import archives
from tests import builders_routed as builders
from tests import virtual


def test_wiped_archive_catches_up_from_all_others():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.cut('d2')
        await cluster.quorum.store_turn(builders.turn(1), 1.0)
        cluster.cut('d2', False)
        cluster.cut('d1')
        await cluster.quorum.store_turn(builders.turn(2), 1.0)
        cluster.cut('d1', False)
        service = cluster.add('d0', False)
        await service.catch_up()
        assert service.archive.is_in_sync
        assert service.archive.find('t1') is not None
        assert service.archive.find('t2') is not None

    virtual.run(scenario())


def test_archive_is_not_whole_while_others_cannot_be_read():
    async def scenario():
        cluster = archives.ArchiveCluster()
        service = cluster.add('d0', False)
        cluster.cut('d1')
        catching_up = asyncio.create_task(service.catch_up())
        await asyncio.sleep(5.0)
        assert not service.archive.is_in_sync
        cluster.cut('d1', False)
        await asyncio.wait_for(catching_up, 5.0)
        assert service.archive.is_in_sync

    virtual.run(scenario())


def test_emptied_archive_leaves_enough_copies():
    async def scenario():
        cluster = archives.ArchiveCluster(count=4)
        for number in range(1, 40):
            await cluster.quorum.store_turn(
                builders.turn(number, program=f'p{number}', size=20000), 1.0
            )
        leaving = cluster.services['d0']
        held = [
            f't{n}'
            for n in range(1, 40)
            if leaving.archive.find(f't{n}') is not None
        ]
        assert held
        assert await leaving.decommission()
        for turn_id in held:
            assert len(cluster.holders(turn_id) - {'d0'}) >= 2

    virtual.run(scenario())


def test_emptying_is_not_done_without_enough_others():
    async def scenario():
        cluster = archives.ArchiveCluster()
        await cluster.quorum.store_turn(builders.turn(1), 1.0)
        cluster.cut('d2')
        assert not await cluster.services['d0'].decommission()

    virtual.run(scenario())
