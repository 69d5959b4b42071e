"""Followers of a watcher that reads the store in pages miss a change."""

import asyncio
import os
import sys

from review.kit import client
from review.kit import configuration
from review.kit import server
from review.kit import world

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
PAGE_ITEMS = 50
SERVERS = 60
SLOW_S, SLOW_FOR_S = 0.2, 4.5
SILENT_S = 1.0
# Times after the first watcher has begun to read the keys again: the next
# page is read SLOW_S later.
CHANGE_AT_S, DRAIN_AT_S = 0.12, 0.15
# Until all machines are in touch and every bound has passed.
CALM_S = 15.0
REQUESTS = 20


class PagedStore(world.Store):
    """A store whose watches hear nothing for a while."""

    page_items = PAGE_ITEMS
    is_silent = False
    reading = None

    async def _watch(self, request):
        while self.is_silent:
            await asyncio.sleep(0.01)
        response = await super()._watch(request)
        if response.status == 410:
            self.record.line('the store answers a watch with 410')
        return response

    async def _range(self, request):
        after = request.query.get('after', '')
        if not after and self.reading is not None:
            self.reading.set()
        self.record.line(f'the store reads the page after {after!r}')
        return await super()._range(request)


async def case(w):
    w.store = PagedStore()
    w.store.record = w.record
    old = [server.Server(w, 'orders', 60 + n) for n in range(SERVERS)]
    new = [server.Server(w, 'orders-2', 160 + n) for n in range(3)]
    await w.start(_version(1, 'orders'), [*old, *new])
    for entry in w.entries:
        await _send(w, entry, 3)
    store = w.store
    started_s = w.record.now_s()
    if HAS_TROUBLE:
        w.record.line('the store answers slowly, and watches hear nothing')
        store.switches.delay_s = SLOW_S
        store.is_silent = True
    await asyncio.sleep(SILENT_S)
    if HAS_TROUBLE:
        store.compact_history()
        store.is_silent = False
        w.record.line('the store has dropped its history')
        store.reading = asyncio.Event()
        await store.reading.wait()
    await asyncio.sleep(CHANGE_AT_S)
    w.configure(_version(2, 'orders-2'))
    await asyncio.sleep(DRAIN_AT_S - CHANGE_AT_S)
    old[-1].state = 'draining'
    old[-1].register()
    w.record.line(f'{old[-1].server_id} reports that it is draining')
    await asyncio.sleep(started_s + SLOW_FOR_S - w.record.now_s())
    store.switches.delay_s = 0
    w.record.line('the store answers as usual')
    await asyncio.sleep(CALM_S)
    stale = {}
    for entry in w.entries:
        answers = await _send(w, entry, REQUESTS)
        by_old = sum(any(a.request_id in s.runs for s in old) for a in answers)
        w.record.line(
            f'{entry.name}: {by_old} of {REQUESTS} run by the old service'
        )
        if by_old:
            stale[entry.name] = by_old
    if stale:
        return (
            f'CONFIG: {CALM_S} s after the last disruption, requests are run '
            f'by the service of version 1: {stale}'
        )
    return ''


def _version(number, service):
    return configuration.configuration(
        number,
        [configuration.orders_route(service=service)],
        ('orders', 'orders-2'),
    )


async def _send(w, entry, count):
    connection = client.Connection(w, entry)
    answers = []
    for _ in range(count):
        answer = await connection.send('POST', '/orders/1', {}, b'order')
        if answer.status != 200:
            raise RuntimeError(f'no service: {answer}')
        answers.append(answer)
    connection.close()
    return answers


# The argument is the path of record.txt.
world.run(case, sys.argv[1])
