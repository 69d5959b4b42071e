"""Tests of what entries tell each other of leaving servers."""

import asyncio
import random

from balsamdale import discovery
from balsamdale import leaving_reports
from balsamdale import link
from balsamdale import peer_news
from tests import builders_routed as builders
from tests import virtual

SERVER = builders.server('leaving', started_ms=5)


class Fleet:
    """Directories of entries that tell each other."""

    def __init__(self):
        self.network = link.MemoryNetwork()
        self.reports = {}
        self.directories = {}

    def start(self, name):
        directory = discovery.Directory()
        directory.put(SERVER)
        directory.put(builders.server('other'))
        self.directories[name] = directory
        self.reports[name] = leaving_reports.LeavingReports(
            link.MemoryLinks(name, self.network),
            lambda: [n for n in self.directories if n != name],
            directory,
            asyncio.get_running_loop().time,
            random.Random(name),
        )
        return asyncio.create_task(self.reports[name].news.learn())

    def mark(self, name):
        self.directories[name].mark_leaving('leaving', 5)
        self.reports[name].news.tell(discovery.ReportLeaving('leaving', 5))

    def ready(self, name):
        return {s.server_id for s in self.directories[name].ready('s')}


def test_restarted_entry_knows_which_servers_are_leaving():
    """It sent one request to each of them first."""

    async def main():
        fleet = Fleet()
        await asyncio.gather(fleet.start('a'), fleet.start('b'))
        fleet.mark('a')
        await asyncio.sleep(0.1)
        assert fleet.ready('b') == {'other'}
        await fleet.start('b')
        assert fleet.ready('b') == {'other'}
        await fleet.start('c')
        assert fleet.ready('c') == {'other'}

    virtual.run(main())


def test_report_that_was_lost_is_told_again():
    async def main():
        fleet = Fleet()
        await asyncio.gather(fleet.start('a'), fleet.start('b'))
        fleet.network.cuts |= {('a', 'b'), ('b', 'a')}
        fleet.mark('a')
        await asyncio.sleep(5.0)
        assert 'leaving' in fleet.ready('b')
        fleet.network.cuts.clear()
        await asyncio.sleep(2 * peer_news.MAX_RETRY_S)
        assert fleet.ready('b') == {'other'}

    virtual.run(main())
