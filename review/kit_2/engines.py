"""Engines of a site as processes, which come back after a crash."""

import asyncio
import os
import pathlib
import subprocess
import sys

from review.kit_2 import site as site_module

HERE = pathlib.Path(__file__).resolve().parent


class Engines:
    """Engines as processes; one that crashes is back after a while."""

    def __init__(self, site, service, down_s):
        self._site = site
        self._service = service
        self._down_s = down_s
        self.log = site._folder / 'runs'
        self.log.touch()
        self._ports = {}
        self._starts = 0
        self.crashes = 0

    def start(self, name):
        site = self._site
        if site.is_closed:
            return
        address = self._ports.setdefault(name, site._free_address())
        port = address.rpartition(':')[2]
        self._starts += 1
        site.processes[name] = subprocess.Popen(
            (
                sys.executable,
                str(HERE / 'fragile_engine.py'),
                port,
                name,
                str(self.log),
            ),
            env={
                **os.environ,
                'PYTHONPATH': str(site_module.ROOT / 'target' / 'deps'),
            },
            stdin=subprocess.DEVNULL,
        )
        site.write_server(name, self._service, address, 'a', self._starts)

    async def run(self):
        """Start engines again that have crashed."""
        while True:
            await asyncio.sleep(0.05)
            for name in list(self._ports):
                process = self._site.processes.get(name)
                if process is not None and process.poll() is not None:
                    self.crashes += 1
                    self._site.record.add('crashed:', name)
                    asyncio.get_running_loop().call_later(
                        self._down_s, self.start, name
                    )
                    del self._site.processes[name]

    def runs(self):
        for line in self.log.read_text().splitlines():
            ran_s, server, request_id = line.split()
            yield float(ran_s), server, request_id
