"""Tests of what entries tell each other of crashes, on a virtual clock."""

import asyncio

from balsamdale import codec
from balsamdale import link
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
