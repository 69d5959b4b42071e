"""Tests of catching up and decommissioning."""

import asyncio

import pytest

from balsamdale import archive_service
from balsamdale import errors
from tests import archives
from tests import builders_routed as builders
from tests import virtual


def test_wiped_archive_catches_up_from_all_others():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.set_disconnected('d2')
        await cluster.quorum.store_turn(builders.turn(1), 1.0)
        cluster.set_disconnected('d2', False)
        cluster.set_disconnected('d1')
        await cluster.quorum.store_turn(builders.turn(2), 1.0)
        cluster.set_disconnected('d1', False)
        service = cluster.add_archive('d0', False)
        await service.catch_up()
        assert service.archive.is_in_sync
        assert service.archive.find('t1') is not None
        assert service.archive.find('t2') is not None

    virtual.run(scenario())


def test_archive_is_not_whole_while_others_cannot_be_read():
    async def scenario():
        cluster = archives.ArchiveCluster()
        service = cluster.add_archive('d0', False)
        cluster.set_disconnected('d1')
        catching_up = asyncio.create_task(service.catch_up())
        await asyncio.sleep(5.0)
        assert not service.archive.is_in_sync
        cluster.set_disconnected('d1', False)
        await asyncio.wait_for(catching_up, 5.0)
        assert service.archive.is_in_sync

    virtual.run(scenario())


def test_archive_does_not_catch_up_from_one_that_has_lost_its_disk():
    """Guards against folders in sync that have read none with the turn.

    A folder that catches up counted another that had just lost its disk.
    """

    async def scenario():
        cluster = archives.ArchiveCluster(count=5, losses=2)
        for name in ('d3', 'd4'):
            cluster.set_disconnected(name)
        await cluster.quorum.store_turn(builders.turn(1), 1.0)
        await asyncio.sleep(3.0)
        for name in ('d3', 'd4'):
            cluster.set_disconnected(name, False)
        assert cluster.holders('t1') == {'d0', 'd1', 'd2'}
        cluster.add_archive('d1', False)
        service = cluster.add_archive('d0', False)
        cluster.set_disconnected('d2')
        catching_up = asyncio.create_task(service.catch_up())
        await asyncio.sleep(10.0)
        assert not service.archive.is_in_sync
        cluster.set_disconnected('d2', False)
        await asyncio.wait_for(catching_up, 10.0)
        assert service.archive.holds('t1')

    virtual.run(scenario())


def test_archives_that_all_lost_their_disks_come_back():
    async def scenario():
        cluster = archives.ArchiveCluster()
        services = [cluster.add_archive(n, False) for n in cluster.names]
        async with asyncio.timeout(10.0):
            await asyncio.gather(*(s.catch_up() for s in services))
        await cluster.quorum.store_turn(builders.turn(1), 1.0)

    virtual.run(scenario())


def test_emptied_archive_leaves_enough_copies():
    async def scenario():
        cluster = archives.ArchiveCluster(count=4)
        for number in range(1, 40):
            await cluster.quorum.store_turn(
                builders.turn(number, program=f'p{number}', size=20000), 1.0
            )
        leaving = cluster.services['d0']
        held_ids = [
            f't{n}'
            for n in range(1, 40)
            if leaving.archive.find(f't{n}') is not None
        ]
        assert held_ids
        assert await leaving.decommission()
        for turn_id in held_ids:
            assert len(cluster.holders(turn_id) - {'d0'}) >= 2

    virtual.run(scenario())


def test_emptied_archive_leaves_whole_chains():
    async def scenario():
        cluster = archives.ArchiveCluster(count=4)
        leaving = cluster.services['d0']
        for number in range(1, 40):
            leaving.archive.put(builders.turn(number, number - 1))
        leaving.archive.put(builders.turn(50, 49))
        assert await leaving.decommission()
        whole = [
            name
            for name, service in cluster.services.items()
            if name != 'd0' and len(service.archive.chain('t39')[0]) == 39
        ]
        assert len(whole) >= 2
        assert len(cluster.holders('t50') - {'d0'}) >= 2

    virtual.run(scenario())


def test_emptied_archive_gives_each_record_to_its_replicas_alone():
    """Guards against disks that grow with each emptied archive."""

    async def scenario():
        cluster = archives.ArchiveCluster(count=7)
        leaving = cluster.services['d0']
        for number in range(1, 40):
            leaving.archive.put(builders.turn(number, program=f'p{number}'))
        assert await leaving.decommission()
        cluster.names.remove('d0')
        for number in range(1, 40):
            replicas = {
                f.instance_id for f in cluster.quorum.replicas(f'p{number}')
            }
            assert cluster.holders(f't{number}') - {'d0'} == replicas

    virtual.run(scenario())


def test_emptying_is_not_done_without_enough_others():
    async def scenario():
        cluster = archives.ArchiveCluster()
        await cluster.quorum.store_turn(builders.turn(1), 1.0)
        cluster.set_disconnected('d2')
        assert not await cluster.services['d0'].decommission()

    virtual.run(scenario())


def test_archive_whose_disk_refuses_writes_does_not_count():
    async def scenario():
        cluster = archives.ArchiveCluster()
        full_archive = cluster.services['d0'].archive
        put = full_archive.put

        def refuse(_record):
            raise errors.ArchiveWriteFailed('the disk is full')

        full_archive.put = refuse
        await cluster.quorum.store_turn(builders.turn(1), 1.0)
        assert full_archive.find('t1') is None
        cluster.set_disconnected('d1')
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.store_turn(builders.turn(2), 0.5)
        full_archive.put = put
        await cluster.quorum.store_turn(builders.turn(3), 1.0)

    virtual.run(scenario())


def test_cancelled_wait_for_a_sync_leaves_it_to_the_others():
    """Guards against syncs that fail at a planned stop.

    A loop that was cancelled there took the future that others waited for.
    """

    async def scenario():
        cluster = archives.ArchiveCluster()
        service = cluster.services['d0']
        started = asyncio.Event()

        async def sync_slowly():
            started.set()
            await asyncio.sleep(1.0)

        service.archive.sync_without_blocking = sync_slowly
        waits = [asyncio.create_task(service.read_missed('d1'))]
        await started.wait()
        service.archive.put(builders.turn(1))
        waits.append(asyncio.create_task(service.read_missed('d2')))
        waits.append(asyncio.create_task(service.close()))
        await asyncio.sleep(0.1)
        waits[0].cancel()
        waits[1].cancel()
        await asyncio.wait_for(waits[2], 5.0)

    virtual.run(scenario())


def test_turns_outlive_a_clock_that_is_wrong_by_seconds():
    async def scenario():
        cluster = archives.ArchiveCluster()
        service = cluster.services['d0']
        now_s = service._wall_clock()
        service.archive.put(builders.turn(1, expires_at_s=now_s - 5.0))
        asyncio.create_task(service.run())
        await asyncio.sleep(archive_service.EXPIRY_INTERVAL_S + 1.0)
        assert service.archive.find('t1') is not None

    virtual.run(scenario())
