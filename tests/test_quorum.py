"""Tests of kept turns and accounts over several archives."""

import asyncio

import pytest

from balsamdale import archive_messages as messages
from balsamdale import errors
from tests import archives
from tests import builders_routed as builders
from tests import virtual


def opening(number, tokens=0, parent='', wants_chain=False):
    return messages.OpenTurn(
        'p', f't{number}', tokens, parent, wants_chain, 1e9
    )


def test_kept_turn_is_found_with_any_archive_lost():
    async def scenario():
        cluster = archives.ArchiveCluster()
        await cluster.quorum.store_turn(builders.turn(1), 1.0)
        await cluster.quorum.store_turn(builders.turn(2, 1), 1.0)
        for name in cluster.names:
            cluster.cut(name)
            chain = await cluster.quorum.read_chain('t2', 1.0)
            assert [turn.turn_id for turn in chain] == ['t1', 't2']
            cluster.cut(name, False)

    virtual.run(scenario())


def test_chain_is_joined_from_folders_that_each_lack_a_part():
    async def scenario():
        cluster = archives.ArchiveCluster()
        for number, name in enumerate(cluster.names, 1):
            cluster.cut(name)
            turn = builders.turn(number, number - 1)
            await cluster.quorum.store_turn(turn, 0.3)
            await asyncio.sleep(2.0)
            cluster.cut(name, False)
            assert name not in cluster.holders(turn.turn_id)
        for name in [None, *cluster.names]:
            if name:
                cluster.cut(name)
            chain = await cluster.quorum.read_chain('t3', 2.0)
            assert [turn.turn_id for turn in chain] == ['t1', 't2', 't3']
            message = opening(4, 10, 't3', True)
            opened = await cluster.quorum.reserve(message, 1000, 2.0)
            assert opened.chain == chain
            if name:
                cluster.cut(name, False)

    virtual.run(scenario())


def test_turn_is_not_kept_by_fewer_than_a_majority():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.cut('d0')
        cluster.cut('d1')
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.store_turn(builders.turn(1), 1.0)

    virtual.run(scenario())


def test_write_waits_for_an_archive_that_returns():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.cut('d0')
        cluster.cut('d1')
        loop = asyncio.get_running_loop()
        loop.call_later(1.0, cluster.cut, 'd1', False)
        await cluster.quorum.store_turn(builders.turn(1), 5.0)
        assert cluster.holders('t1') >= {'d1', 'd2'}

    virtual.run(scenario())


def test_absent_turn_is_certain_only_where_enough_archives_are_whole():
    async def scenario():
        cluster = archives.ArchiveCluster()
        with pytest.raises(errors.NoSuchTurn):
            await cluster.quorum.read_chain('t9', 1.0)
        cluster.cut('d2')
        with pytest.raises(errors.NoSuchTurn):
            await cluster.quorum.read_chain('t9', 1.0)
        cluster.cut('d1')
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.read_chain('t9', 1.0)

    virtual.run(scenario())


def test_wiped_archive_does_not_deny_a_turn():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.cut('d2')
        await cluster.quorum.store_turn(builders.turn(1), 1.0)
        cluster.cut('d2', False)
        cluster.cut('d0')
        cluster.add('d1', False)
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.read_chain('t1', 1.0)

    virtual.run(scenario())


def test_one_of_two_archives_knows_every_record():
    async def scenario():
        cluster = archives.ArchiveCluster(count=2)
        await cluster.quorum.store_turn(builders.turn(1), 1.0)
        cluster.cut('d1')
        assert await cluster.quorum.read_chain('t1', 1.0)
        with pytest.raises(errors.NoSuchTurn):
            await cluster.quorum.read_chain('t9', 1.0)
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.store_turn(builders.turn(2), 1.0)

    virtual.run(scenario())


def test_wiped_one_of_two_archives_does_not_stop_reservations():
    async def scenario():
        cluster = archives.ArchiveCluster(count=2)
        await cluster.quorum.reserve(opening(1, 100), 1000, 1.0)
        cluster.add('d0', False)
        opened = await cluster.quorum.reserve(opening(2, 100), 1000, 1.0)
        assert opened.spent_tokens == 100
        cluster.cut('d1')
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.reserve(opening(3, 100), 1000, 1.0)

    virtual.run(scenario())


def test_absent_member_of_three_still_counts():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.cut('d2')
        cluster.add('d1', False)
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.reserve(opening(1, 100), 1000, 1.0)
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.read_chain('t9', 1.0)

    virtual.run(scenario())


def test_reservations_are_seen_by_each_other():
    async def scenario():
        cluster = archives.ArchiveCluster()
        first = await cluster.quorum.reserve(opening(1, 100), 1000, 1.0)
        second = await cluster.quorum.reserve(opening(2, 50), 1000, 1.0)
        assert (first.spent_tokens, second.spent_tokens) == (0, 100)
        cluster.quorum.settle(builders.charge(1, 30, True))
        await asyncio.sleep(0.5)
        third = await cluster.quorum.reserve(opening(3, 50), 1000, 1.0)
        assert third.spent_tokens == 80

    virtual.run(scenario())


def test_reservations_meet_whichever_archive_is_cut():
    async def scenario():
        cluster = archives.ArchiveCluster()
        spent = []
        for number, name in enumerate(cluster.names, 1):
            cluster.cut(name)
            opened = await cluster.quorum.reserve(
                opening(number, 100), 1000, 1.0
            )
            spent.append(opened.spent_tokens)
            cluster.cut(name, False)
        assert spent == [0, 100, 200]

    virtual.run(scenario())


def test_wiped_archive_does_not_admit():
    async def scenario():
        cluster = archives.ArchiveCluster()
        cluster.add('d0', False)
        cluster.cut('d1')
        with pytest.raises(errors.NoQuorum):
            await cluster.quorum.reserve(opening(1, 100), 1000, 1.0)

    virtual.run(scenario())


def test_chain_comes_with_the_reservation():
    async def scenario():
        cluster = archives.ArchiveCluster()
        await cluster.quorum.store_turn(builders.turn(1), 1.0)
        message = opening(2, 10, 't1', True)
        opened = await cluster.quorum.reserve(message, 1000, 1.0)
        assert opened.chain == (builders.turn(1),)
        cluster.cut('d0')
        opened = await cluster.quorum.reserve(message, 1000, 1.0)
        assert opened.chain == (builders.turn(1),)

    virtual.run(scenario())


def test_unknown_parent_is_told():
    async def scenario():
        cluster = archives.ArchiveCluster()
        with pytest.raises(errors.NoSuchTurn):
            await cluster.quorum.reserve(opening(2, 10, 't9', True), 1000, 1.0)

    virtual.run(scenario())
