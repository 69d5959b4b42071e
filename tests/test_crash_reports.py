"""Tests of what entries tell each other of crashes, on a virtual clock."""

import asyncio

from balsamdale import codec
from balsamdale import crash_reports
from balsamdale import link
from balsamdale import peer_news
from balsamdale import quarantine
from tests import crash_world
from tests import virtual

LIMIT = crash_world.LIMIT


def run(scenario):
    async def main():
        await scenario()

    virtual.run(main())


def test_crashes_that_three_entries_see_quarantine_everywhere():
    async def scenario():
        fleet = crash_world.Fleet('a', 'b', 'c')
        for number, entry in enumerate(fleet.entries.values()):
            assert not entry.is_held()
            entry.crash(number)
            await asyncio.sleep(0.1)
        assert all(e.is_held() for e in fleet.entries.values())

    run(scenario)


def test_restarted_entries_know_what_is_quarantined():
    """After a rolling restart the request crashed three more servers."""

    async def scenario():
        fleet = crash_world.Fleet('a', 'b', 'c')
        await asyncio.sleep(2.0)
        for number in range(LIMIT):
            fleet.entries['a'].crash(number)
        await asyncio.sleep(0.1)
        for name in ('a', 'b', 'c', 'a', 'd'):
            fleet.start(name)
            await asyncio.sleep(0.1)
            assert fleet.entries[name].is_held(), name

    run(scenario)


def test_entries_that_start_together_learn_from_the_one_that_stayed():
    async def scenario():
        names = [f'e{number}' for number in range(7)]
        fleet = crash_world.Fleet(*names)
        await asyncio.sleep(2.0)
        for number in range(LIMIT):
            fleet.entries['e0'].crash(number)
        await asyncio.sleep(0.1)
        for name in names[1:]:
            fleet.start(name)
        await asyncio.sleep(2.0)
        assert all(e.is_held() for e in fleet.entries.values())

    run(scenario)


def test_entry_that_is_cut_as_it_starts_learns_once_it_is_back():
    async def scenario():
        fleet = crash_world.Fleet('a', 'b')
        await asyncio.sleep(2.0)
        for number in range(LIMIT):
            fleet.entries['a'].crash(number)
        fleet.cut('c', 'ab')
        entry = fleet.start('c')
        await asyncio.sleep(10.0)
        assert not entry.is_held()
        assert not entry.reports.news.is_informed
        fleet.network.cuts.clear()
        await asyncio.sleep(4.0)
        assert entry.is_held()
        assert entry.reports.news.is_informed

    run(scenario)


def test_entry_asks_as_soon_as_it_knows_a_peer():
    """For half a second it let the request crash servers again."""

    async def scenario():
        fleet = crash_world.Fleet('a')
        for number in range(LIMIT):
            fleet.entries['a'].crash(number)
        fleet.names.remove('a')
        entry = fleet.start('b')
        await asyncio.sleep(0.37)
        assert not entry.is_held()
        fleet.names.append('a')
        await asyncio.sleep(0.05)
        assert entry.is_held()

    run(scenario)


def test_entry_without_peers_stops_asking():
    async def scenario():
        entry = crash_world.Fleet('a').entries['a']
        await asyncio.sleep(peer_news.ALONE_AFTER_S + 1.0)
        assert entry.reports.news.is_informed

    run(scenario)


def test_more_records_than_one_message_carries_are_learned():
    async def scenario():
        fleet = crash_world.Fleet('a')
        count = 2 * crash_reports.MAX_RECORDS + 7
        for number in range(count):
            fleet.entries['a'].crash(1, f'd{number}')
        entry = fleet.start('b')
        await asyncio.sleep(1.0)
        assert len(entry.crashes) == count

    run(scenario)


def test_report_that_was_lost_is_told_once_the_peer_is_reached():
    """A cut entry would have let the request crash three more servers."""

    async def scenario():
        fleet = crash_world.Fleet('a', 'b')
        await asyncio.sleep(2.0)
        fleet.cut('b', 'a')
        for number in range(LIMIT):
            fleet.entries['a'].crash(number)
            await asyncio.sleep(3.0)
        assert not fleet.entries['b'].is_held()
        fleet.network.cuts.clear()
        await asyncio.sleep(2 * peer_news.MAX_RETRY_S)
        assert fleet.entries['b'].is_held()

    run(scenario)


def test_peer_that_was_taken_for_dead_is_told_once_it_is_back():
    """A suspended entry let the request crash three more servers."""

    async def scenario():
        fleet = crash_world.Fleet('a', 'b')
        await asyncio.sleep(2.0)
        fleet.cut('b', 'a')
        for number in range(LIMIT):
            fleet.entries['a'].crash(number)
        fleet.names.remove('b')
        await asyncio.sleep(60.0)
        fleet.network.cuts.clear()
        fleet.names.append('b')
        await asyncio.sleep(peer_news.MAX_RETRY_S + 0.5)
        assert fleet.entries['b'].is_held()

    run(scenario)


def test_entry_that_was_suspended_asks_again():
    async def scenario():
        fleet = crash_world.Fleet('a', 'b')
        await asyncio.sleep(2.0)
        fleet.names.remove('b')
        for number in range(LIMIT):
            fleet.entries['a'].crash(number)
        await asyncio.sleep(1.0)
        entry = fleet.entries['b']
        assert not entry.is_held()
        entry.reports.news.learn_again()
        await asyncio.sleep(0.05)
        assert entry.is_held()

    run(scenario)


def test_peer_that_is_gone_is_given_up(monkeypatch):
    async def scenario():
        fleet = crash_world.Fleet('a', 'b')
        await asyncio.sleep(2.0)
        fleet.cut('b', 'a')
        fleet.entries['a'].crash(1)
        await asyncio.sleep(3.0)
        assert fleet.entries['a'].reports.news._behind
        await asyncio.sleep(peer_news.GIVE_UP_S)
        assert not fleet.entries['a'].reports.news._behind

    monkeypatch.setattr(peer_news, 'GIVE_UP_S', 20.0)
    run(scenario)


def test_earlier_builds_are_told_in_their_own_message():
    async def scenario():
        fleet = crash_world.Fleet('a', 'b')
        earlier = fleet.add_earlier('c')
        await asyncio.sleep(2.0)
        fleet.entries['a'].crash(1)
        fleet.entries['b'].reports.record_run('new', 'old')
        await asyncio.sleep(0.1)
        assert earlier.reports == [('old', 's@1')]

    run(scenario)


def test_crashes_that_earlier_builds_report_count():
    async def scenario():
        fleet = crash_world.Fleet('a', 'b')
        earlier = fleet.add_earlier('c')
        await asyncio.sleep(2.0)
        for name in 'ab':
            await earlier.links.request(
                name, quarantine.ReportCrash('s@1', 'old')
            )
        fleet.entries['a'].crash(2)
        await asyncio.sleep(0.1)
        assert not fleet.entries['b'].is_held()
        fleet.entries['b'].crash(3)
        await asyncio.sleep(0.1)
        assert all(e.is_held() for e in fleet.entries.values())

    run(scenario)


def test_entry_among_earlier_builds_does_not_ask_for_ever():
    async def scenario():
        fleet = crash_world.Fleet()
        fleet.add_earlier('old')
        entry = fleet.start('a')
        await asyncio.sleep(1.0)
        assert entry.reports.news.is_informed

    run(scenario)


def test_run_at_one_entry_clears_a_request_at_all():
    async def scenario():
        fleet = crash_world.Fleet('a', 'b', 'c')
        for number in range(6):
            fleet.entries['a'].crash(number)
            await asyncio.sleep(0.1)
            fleet.entries['b'].reports.record_run('new', 'old')
            await asyncio.sleep(0.1)
            assert not any(e.is_held() for e in fleet.entries.values())
        assert not any(len(e.crashes) for e in fleet.entries.values())

    run(scenario)


def test_run_that_ends_before_the_crash_is_reported_counts():
    """The crash is confirmed late, when the request has run elsewhere."""

    async def scenario():
        reports = crash_world.Fleet('a').entries['a'].reports
        assert reports.is_idle
        with reports.checking('new') as check:
            assert not reports.is_idle
            with reports.checking('new'):
                pass
            assert not check.has_run
            reports.record_run('new', 'old')
            assert check.has_run
        with reports.checking('new') as check:
            assert not check.has_run
        assert reports.is_idle

    run(scenario)


def test_reports_out_of_range_are_ignored():
    async def scenario():
        fleet = crash_world.Fleet('a')
        stranger = link.MemoryLinks('x', fleet.network)
        record = quarantine.CrashRecord('', 'a', ('s@1',))
        message = quarantine.ReportedCrashes((record,) * 3)
        codec.decode(codec.encode(message))
        await stranger.request('a', message)
        entry = fleet.entries['a']
        assert not len(entry.crashes)
        _, read = entry.reports.gauges()['crash_reports_ignored']
        assert read() == 3

    run(scenario)
