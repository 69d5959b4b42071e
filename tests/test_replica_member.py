"""Tests of a folder's membership of the replica set."""

import asyncio
import contextlib

from balsamdale import archive_messages as messages
from tests import builders_routed as builders
from tests import folder_cluster
from tests import virtual

TIMEOUT_S = 15.0


@contextlib.asynccontextmanager
async def running_cluster(root, count=3):
    with folder_cluster.simulated_os() as simulated:
        cluster = folder_cluster.FolderCluster(root, simulated, 3, 1, 0)
        try:
            await wait_until(lambda: len(cluster.members()) == 3)
            for _ in range(count - 3):
                name = cluster.new_name()
                cluster.start(name)
                await wait_until(lambda n=name: n in cluster.members())
            await asyncio.sleep(1.0)
            yield cluster
        finally:
            cluster.close()


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.05)


async def store(cluster, turn, chain=()):
    await cluster.entries[0].store_turn(turn, 1.0, *([chain] if chain else []))


async def wait_until_read(reads):
    """Wait until a folder has read all others."""
    await wait_until(lambda: reads.remaining() and not reads.unread())


def replicas_of(cluster, program_id):
    folders = cluster.entries[0].replicas(program_id)
    return {folder.instance_id for folder in folders}


def holders(cluster, turn_id):
    return {
        name
        for name, process in cluster.processes.items()
        if process.archive.holds(turn_id)
    }


def test_folder_that_returns_reads_what_it_missed(tmp_path):
    """Guards against turns that stay on two folders after a restart."""

    async def scenario():
        async with running_cluster(tmp_path) as cluster:
            cluster.kill('d3')
            for number in range(1, 40):
                await store(cluster, builders.turn(number, size=20000))
            await asyncio.sleep(2.0)
            assert holders(cluster, 't1') == {'d1', 'd2'}
            cluster.start('d3')
            archive = cluster.processes['d3'].archive
            await wait_until(lambda: archive.holds('t39'))
            assert all(archive.holds(f't{n}') for n in range(1, 40))
            assert len(archive.account('p')) == 39

    virtual.run(scenario())


def test_folder_holds_only_its_share_of_what_it_missed(tmp_path):
    """Guards against disks that grow with each restart."""

    async def scenario():
        async with running_cluster(tmp_path, 6) as cluster:
            cluster.kill('d2')
            for number in range(1, 61):
                turn = builders.turn(number, program=f'p{number}')
                await store(cluster, turn)
            await asyncio.sleep(2.0)
            cluster.start('d2')
            await wait_until_read(cluster.processes['d2'].service.reads)
            for number in range(1, 61):
                replicas = replicas_of(cluster, f'p{number}')
                assert holders(cluster, f't{number}') == replicas

    virtual.run(scenario())


def test_lost_folder_stays_in_the_set_while_another_lacks_copies(tmp_path):
    """Guards against review/12: one folder's word let the key go."""

    async def scenario():
        async with running_cluster(tmp_path, 4) as cluster:
            transfer = cluster.processes['d2'].service.transfer
            read = transfer.read

            async def cannot_read(_name, _needs):
                return None

            transfer.read = cannot_read
            cluster.kill('d4')
            await asyncio.sleep(TIMEOUT_S)
            assert 'd4' in cluster.members()
            assert cluster.processes['d1'].service.reads.confirms('d4')
            transfer.read = read
            await wait_until(lambda: 'd4' not in cluster.members())

    virtual.run(scenario())


def test_older_build_is_read_by_its_own_messages(tmp_path):
    """Guards against a set of old and new archives that copies nothing."""

    async def scenario():
        async with running_cluster(tmp_path, 4) as cluster:
            for name in ('d1', 'd2', 'd4'):
                handlers = cluster.network.links[name]._handlers
                for message in (
                    messages.ListTurns,
                    messages.ListCharges,
                    messages.FetchTurns,
                    messages.AskRepaired,
                ):
                    del handlers[message]
            cluster.kill('d3')
            for number in range(1, 20):
                turn = builders.turn(number, program=f'p{number}')
                await store(cluster, turn)
            await asyncio.sleep(0.5)
            cluster.start('d3')
            await wait_until_read(cluster.processes['d3'].service.reads)
            for number in range(1, 20):
                replicas = replicas_of(cluster, f'p{number}')
                assert holders(cluster, f't{number}') >= replicas

    virtual.run(scenario())


def test_gap_that_an_older_entry_leaves_is_filled(tmp_path):
    """Guards against chains that nobody completes: older entries send none."""

    async def scenario():
        async with running_cluster(tmp_path, 6) as cluster:
            entry = cluster.entries[0]
            await store(cluster, builders.turn(1, program='first'))
            for number in range(2, 30):
                turn = builders.turn(number, 1, f'p{number}')
                await entry.store_turn(turn, 1.0)
            await asyncio.sleep(5.0)
            for process in cluster.processes.values():
                assert not process.archive.missing_ids(0.0)

    virtual.run(scenario())


def test_folder_that_has_read_a_turn_has_its_chain(tmp_path):
    """Guards against folders that confirm turns without their chains."""

    async def scenario():
        async with running_cluster(tmp_path, 6) as cluster:
            cluster.kill('d2')
            first = builders.turn(1, program='first')
            await store(cluster, first)
            for number in range(2, 40):
                turn = builders.turn(number, 1, f'p{number}')
                await store(cluster, turn, (first,))
            await asyncio.sleep(2.0)
            archive = cluster.start('d2').archive
            reads = cluster.processes['d2'].service.reads
            while not reads.remaining() or reads.unread():
                await asyncio.sleep(0.001)
            assert any(archive.holds(f't{n}') for n in range(2, 40))
            assert archive.missing_ids(0.0) == []

    virtual.run(scenario())
