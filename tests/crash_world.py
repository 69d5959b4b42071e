"""Entries that tell each other of crashes, on links in memory."""

import asyncio
import random

from balsamdale import crash_reports
from balsamdale import link
from balsamdale import members
from balsamdale import quarantine

LIMIT = 3


class EarlierEntry:
    """An entry of a build that knows `ReportCrash` only."""

    def __init__(self, name, network):
        self.links = link.MemoryLinks(name, network)
        self.links.serve(quarantine.ReportCrash, self._on_crash)
        self.reports = []

    async def _on_crash(self, _sender, message):
        self.reports.append((message.digest, message.crash_id))
        yield members.Heard()


class Entry:
    """The parts of an entry that learn of crashes."""

    def __init__(self, name, fleet):
        self.crashes = quarantine.Quarantine(LIMIT)
        self.links = link.MemoryLinks(name, fleet.network)
        self.reports = crash_reports.CrashReports(
            self.links,
            lambda: [n for n in fleet.names if n != name],
            self.crashes,
            asyncio.get_running_loop().time,
            random.Random(name),
        )
        self.running = asyncio.create_task(self.reports.run())

    def crash(self, number, digest='new', earlier_digest='old'):
        self.reports.report(digest, earlier_digest, f's@{number}', 'a')

    def is_held(self, digest='new', earlier_digest='old'):
        now_s = asyncio.get_running_loop().time()
        return self.crashes.is_quarantined(digest, now_s, earlier_digest)

    def stop(self):
        self.running.cancel()
        self.reports.news.close()


class Fleet:
    """Entries on links in memory."""

    def __init__(self, *names):
        self.network = link.MemoryNetwork()
        self.names = list(names)
        self.entries = {}
        for name in names:
            self.start(name)

    def start(self, name):
        if name in self.entries:
            self.entries[name].stop()
        if name not in self.names:
            self.names.append(name)
        self.entries[name] = Entry(name, self)
        return self.entries[name]

    def add_earlier(self, name):
        self.names.append(name)
        return EarlierEntry(name, self.network)

    def cut(self, name, others):
        for other in others:
            self.network.cuts |= {(name, other), (other, name)}
