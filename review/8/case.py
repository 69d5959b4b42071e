"""A request that crashes engines comes again after a rolling restart."""

import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))
sys.path.insert(0, str(HERE.parents[1] / 'target' / 'deps'))

from review.kit_2 import engines as engines_of  # noqa: E402
from review.kit_2 import site as sites  # noqa: E402
from standins import platform_store  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
STABLE_WINDOW_S = 3.0
MAX_RETRIES = 3
# Pause of a crashed engine, and between two tries of the client.
ENGINE_DOWN_S = 2.0
POISON_INTERVAL_S = 1.0
ORDER_INTERVAL_S = 0.1
ENTRIES = ('entry-a', 'entry-b', 'entry-c')
ENGINES = ('engine-1', 'engine-2', 'engine-3', 'engine-4')
ROUTE = {
    **platform_store.TURNS_ROUTE,
    'name': 'orders',
    'path_prefix': '/orders/',
    'kind': 'non_idempotent',
    'service': 'orders',
    'timeout_ms': 2000,
    'attempts': 1,
    'retain_context': False,
}


class Client:
    """Sends the same request again and again, to one entry after another."""

    def __init__(self, site):
        self._site = site
        self._up_since_s = {}
        self.sent = {}
        self.orders = []
        self._tasks = set()

    def put_in(self, entry):
        self._up_since_s[entry] = time.monotonic()

    def take_out(self, entry):
        del self._up_since_s[entry]

    def _headers(self, request_id):
        return {
            'Host': sites.HOST,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': '1500',
        }

    async def _send(self, entry, request_id, body):
        address = self._site.settings[entry]['entry_address']
        return await self._site.send(
            address, '/orders/x', body, self._headers(request_id)
        )

    async def run(self):
        for number in range(1, 10**6):
            entry = ENTRIES[number % len(ENTRIES)]
            if entry in self._up_since_s:
                sent_s = time.monotonic()
                up_s = sent_s - self._up_since_s[entry]
                self.sent[f'bad{number}'] = entry, sent_s, up_s
                task = asyncio.create_task(
                    self._send(entry, f'bad{number}', b'poison')
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(POISON_INTERVAL_S)

    async def run_orders(self):
        """Send orders of other callers, which share the engines."""
        for number in range(1, 10**6):
            entry = ENTRIES[number % len(ENTRIES)]
            if entry in self._up_since_s:
                task = asyncio.create_task(self._order(entry, f'o{number}'))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(ORDER_INTERVAL_S)

    async def _order(self, entry, request_id):
        answer = await self._send(entry, request_id, request_id.encode())
        self.orders.append((time.monotonic(), answer))


async def run(record):
    async with sites.Site(record) as site:
        site.configure(1, [ROUTE], [{'name': 'orders', 'max_conns': 200}])
        engines = engines_of.Engines(site, 'orders', ENGINE_DOWN_S)
        for name in ENGINES:
            engines.start(name)
        for zone in 'abc':
            site.start_process(f'store-{zone}', 'archive', zone, True)
        for name in ENTRIES:
            site.start_process(name, 'entry', name[-1], True)
        await site.wait_until_ready(*ENTRIES)
        await asyncio.sleep(STABLE_WINDOW_S + 1.0)
        client = Client(site)
        for name in ENTRIES:
            client.put_in(name)
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (engines.run(), client.run(), client.run_orders())
        ]
        await site.wait_until(lambda: engines.crashes >= 3)
        third_s = time.monotonic()
        record.add('it has crashed the third engine')
        await asyncio.sleep(STABLE_WINDOW_S + 2.0)
        for name in ENTRIES:
            if HAS_TROUBLE:
                await restart(site, client, name)
            await asyncio.sleep(9.0)
        for task in tasks:
            task.cancel()
        counted = [
            (request_id, server)
            for ran_s, server, request_id in engines.runs()
            if request_id in client.sent
            and is_counted(*client.sent[request_id], third_s)
        ]
        for request_id, server in counted:
            record.add('reached an engine:', request_id, server)
        record.add('reached engines in later retries:', len(counted))
        cut = [a for s, a in client.orders if s > third_s and a != 200]
        record.add('other orders since then:', len(client.orders))
        record.add('of these not served:', len(cut), sorted(map(str, cut)))
        return int(len(counted) > MAX_RETRIES)


def is_counted(_entry, sent_s, up_s, third_s):
    return sent_s > third_s + STABLE_WINDOW_S and up_s > STABLE_WINDOW_S


async def restart(site, client, name):
    """Stop an entry in order, and start it again."""
    client.take_out(name)
    site.kill(name, signal.SIGTERM)
    await site.wait_until(
        lambda: site.processes[name].poll() is not None, sites.GRACE_S + 1
    )
    site.start_process(name, 'entry', name[-1], False)
    await site.wait_until_ready(name)
    client.put_in(name)
    site.record.add('ready again:', name)


async def main():
    record = sites.Record(HERE / 'record.txt')
    try:
        async with asyncio.timeout(112.0):
            status = await run(record)
    except Exception as error:
        record.add('the case could not run:', repr(error))
        status = 2
    record.add('exit status', status)
    return status


sys.exit(asyncio.run(main()))
