"""Tests of quorum reads and writes of turns and accounts."""

import asyncio

import pytest

from balsamdale import archive_messages as messages
from balsamdale import errors
from tests import archives
from tests import builders_routed as builders
from tests import virtual


def open_turn_message(number, tokens=0, parent='', wants_chain=False):
    return messages.OpenTurn(
        'p', f't{number}', tokens, parent, wants_chain, 1e9
    )


def test_kept_turn_is_found_with_any_archive_lost():
    async def scenario():
        cluster = archives.ArchiveCluster()
        await cluster.quorum.store_turn(builders.turn(1), 1.0)
        await cluster.quorum.store_turn(builders.turn(2, 1), 1.0)
        for name in cluster.names:
            cluster.set_disconnected(name)
            chain = await cluster.quorum.read_chain('t2', 1.0)
            assert [turn.turn_id for turn in chain] == ['t1', 't2']
            cluster.set_disconnected(name, False)

    virtual.run(scenario())


def test_chain_is_joined_from_folders_that_each_lack_a_part():
    async def scenario():
        cluster = archives.ArchiveCluster()
        for number, name in enumerate(cluster.names, 1):
            cluster.set_disconnected(name)
            turn = builders.turn(number, number - 1)
            await cluster.quorum.store_turn(turn, 0.3)
            await asyncio.sleep(2.0)
            cluster.set_disconnected(name, False)
            assert name not in cluster.holders(turn.turn_id)
        for name in [None, *cluster.names]:
            if name:
                cluster.set_disconnected(name)
            chain = await cluster.quorum.read_chain('t3', 2.0)
            assert [turn.turn_id for turn in chain] == ['t1', 't2', 't3']
            message = open_turn_message(4, 10, 't3', True)
            opened = await cluster.quorum.reserve(message, 1000, 2.0)
            assert opened.chain == chain
            if name:
                cluster.set_disconnected(name, False)

    virtual.run(scenario())


def test_turn_is_stored_with_what_its_folders_lack_of_its_chain():
    """Guards against review/14: folders of two programs shared no turn."""

    async def scenario():
        cluster = archives.ArchiveCluster(count=6)
        chain = tuple(builders.turn(n, n - 1, 'first') for n in (1, 2, 3))
        for number, turn in enumerate(chain):
            await cluster.quorum.store_turn(turn, 1.0, chain[:number])
        for number in range(40):
            turn = builders.turn(10 + number, 3, f'p{number}')
            await cluster.quorum.store_turn(turn, 1.0, chain)
            await asyncio.sleep(0.5)
            for name in cluster.holders(turn.turn_id):
                tested_archive = cluster.services[name].archive
                assert len(tested_archive.chain(turn.turn_id)[0]) == 4

    virtual.run(scenario())


def test_folder_that_lacks_the_chain_does_not_count():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.set_disconnected('d0')
        for name in ('d1', 'd2'):
            service = cluster.services[name]
            service.archive.put(builders.turn(1))
        chain = (builders.turn(1),)
        cluster.set_disconnected('d0', False)
        cluster.set_disconnected('d1')
        links = cluster.network.links['d0']

        async def refuse(_sender, _message):
            raise errors.ArchiveWriteFailed('the disk is full')
            yield

        links.serve(messages.KeepTurn, refuse)
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.store_turn(builders.turn(2, 1), 0.5, chain)
        cluster.set_disconnected('d1', False)
        await cluster.quorum.store_turn(builders.turn(2, 1), 1.0, chain)

    virtual.run(scenario())


@pytest.mark.parametrize('parents', [{1: 1}, {1: 2, 2: 1}])
def test_chain_that_returns_to_itself_is_no_chain(parents):
    """Guards against review/15 at entries: the read had no end."""

    async def scenario():
        cluster = archives.ArchiveCluster()
        for number, parent in parents.items():
            turn = builders.turn(number, parent)
            await cluster.quorum.store_turn(turn, 1.0)
        with pytest.raises(errors.NoSuchTurn):
            await cluster.quorum.read_chain('t1', 1.0)
        message = open_turn_message(9, 10, 't1', True)
        with pytest.raises(errors.NoSuchTurn):
            await cluster.quorum.reserve(message, 1000, 1.0)

    virtual.run(scenario())


def test_older_archive_keeps_a_turn_by_its_own_message():
    async def scenario():
        cluster = archives.ArchiveCluster()
        for name in cluster.names:
            del cluster.network.links[name]._handlers[messages.KeepChainedTurn]
        chain = (builders.turn(1),)
        await cluster.quorum.store_turn(builders.turn(2, 1), 1.0, chain)
        assert len(cluster.holders('t2')) >= 2

    virtual.run(scenario())


def test_turn_is_not_kept_by_fewer_than_a_majority():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.set_disconnected('d0')
        cluster.set_disconnected('d1')
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.store_turn(builders.turn(1), 1.0)

    virtual.run(scenario())


def test_write_waits_for_an_archive_that_returns():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.set_disconnected('d0')
        cluster.set_disconnected('d1')
        loop = asyncio.get_running_loop()
        loop.call_later(1.0, cluster.set_disconnected, 'd1', False)
        await cluster.quorum.store_turn(builders.turn(1), 5.0)
        assert cluster.holders('t1') >= {'d1', 'd2'}

    virtual.run(scenario())


def test_absent_turn_is_certain_only_where_enough_archives_are_whole():
    async def scenario():
        cluster = archives.ArchiveCluster()
        with pytest.raises(errors.NoSuchTurn):
            await cluster.quorum.read_chain('t9', 1.0)
        cluster.set_disconnected('d2')
        with pytest.raises(errors.NoSuchTurn):
            await cluster.quorum.read_chain('t9', 1.0)
        cluster.set_disconnected('d1')
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.read_chain('t9', 1.0)

    virtual.run(scenario())


def test_wiped_archive_does_not_deny_a_turn():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.set_disconnected('d2')
        await cluster.quorum.store_turn(builders.turn(1), 1.0)
        cluster.set_disconnected('d2', False)
        cluster.set_disconnected('d0')
        cluster.add_archive('d1', False)
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.read_chain('t1', 1.0)

    virtual.run(scenario())


def test_one_of_two_archives_knows_every_record():
    async def scenario():
        cluster = archives.ArchiveCluster(count=2)
        await cluster.quorum.store_turn(builders.turn(1), 1.0)
        cluster.set_disconnected('d1')
        assert await cluster.quorum.read_chain('t1', 1.0)
        with pytest.raises(errors.NoSuchTurn):
            await cluster.quorum.read_chain('t9', 1.0)
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.store_turn(builders.turn(2), 1.0)

    virtual.run(scenario())


def test_wiped_one_of_two_archives_does_not_stop_reservations():
    async def scenario():
        cluster = archives.ArchiveCluster(count=2)
        await cluster.quorum.reserve(open_turn_message(1, 100), 1000, 1.0)
        cluster.add_archive('d0', False)
        opened = await cluster.quorum.reserve(
            open_turn_message(2, 100), 1000, 1.0
        )
        assert opened.spent_tokens == 100
        cluster.set_disconnected('d1')
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.reserve(open_turn_message(3, 100), 1000, 1.0)

    virtual.run(scenario())


def test_absent_member_of_three_still_counts():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.set_disconnected('d2')
        cluster.add_archive('d1', False)
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.reserve(open_turn_message(1, 100), 1000, 1.0)
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.read_chain('t9', 1.0)

    virtual.run(scenario())


def test_reservations_are_seen_by_each_other():
    async def scenario():
        cluster = archives.ArchiveCluster()
        first = await cluster.quorum.reserve(
            open_turn_message(1, 100), 1000, 1.0
        )
        second = await cluster.quorum.reserve(
            open_turn_message(2, 50), 1000, 1.0
        )
        assert (first.spent_tokens, second.spent_tokens) == (0, 100)
        cluster.quorum.settle(builders.charge(1, 30, True))
        await asyncio.sleep(0.5)
        third = await cluster.quorum.reserve(
            open_turn_message(3, 50), 1000, 1.0
        )
        assert third.spent_tokens == 80

    virtual.run(scenario())


def test_reservations_meet_whichever_archive_is_cut():
    async def scenario():
        cluster = archives.ArchiveCluster()
        spent = []
        for number, name in enumerate(cluster.names, 1):
            cluster.set_disconnected(name)
            opened = await cluster.quorum.reserve(
                open_turn_message(number, 100), 1000, 1.0
            )
            spent.append(opened.spent_tokens)
            cluster.set_disconnected(name, False)
        assert spent == [0, 100, 200]

    virtual.run(scenario())


def test_wiped_archive_does_not_admit():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.add_archive('d0', False)
        cluster.set_disconnected('d1')
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.reserve(open_turn_message(1, 100), 1000, 1.0)

    virtual.run(scenario())


def test_chain_comes_with_the_reservation():
    async def scenario():
        cluster = archives.ArchiveCluster()
        await cluster.quorum.store_turn(builders.turn(1), 1.0)
        message = open_turn_message(2, 10, 't1', True)
        opened = await cluster.quorum.reserve(message, 1000, 1.0)
        assert opened.chain == (builders.turn(1),)
        cluster.set_disconnected('d0')
        opened = await cluster.quorum.reserve(message, 1000, 1.0)
        assert opened.chain == (builders.turn(1),)

    virtual.run(scenario())


def test_unknown_parent_is_told():
    async def scenario():
        cluster = archives.ArchiveCluster()
        with pytest.raises(errors.NoSuchTurn):
            await cluster.quorum.reserve(
                open_turn_message(2, 10, 't9', True), 1000, 1.0
            )

    virtual.run(scenario())
