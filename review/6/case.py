"""A store machine is retired, another replaced, a third loses its disk."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))
sys.path.insert(0, str(HERE.parents[1] / 'target' / 'deps'))

from review.kit_2 import site as sites  # noqa: E402
from standins import platform_store  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CATCH_UP_S = 4.8
RECOVER_S = 12.0
TURN_INTERVAL_S = 0.1


class Callers:
    """Programs of three turns, one begun every so often."""

    def __init__(self, site):
        self.site = site
        self.outcomes = []
        self._tasks = set()
        self._count = 0

    async def run(self):
        while True:
            self._count += 1
            task = asyncio.create_task(self._run_program(self._count))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(TURN_INTERVAL_S)

    async def _run_program(self, number):
        parent = ''
        for turn in range(3):
            sent_s = self.site.record.now_s()
            turn_id = f'p{number}t{turn}'
            addresses = self.site.entries()
            headers = {
                'Host': sites.HOST,
                'X-Request-Id': turn_id,
                'X-Deadline-Ms': '2500',
                'X-Program-Id': f'p{number}',
                'X-Session-Id': f's{number}',
                'X-Finish-Ms': '9000',
                'X-Token-Budget': '3000',
                'X-Token-Usage': '100,30',
            }
            if parent:
                headers['X-Previous-Turn'] = parent
            answer = await self.site.send(
                addresses[(number + turn) % len(addresses)],
                '/turns/x',
                b'[%s]' % turn_id.encode(),
                headers,
            )
            self.outcomes.append((sent_s, answer))
            if answer != 200:
                return
            parent = turn_id

    def served(self, from_s, until_s):
        answers = [a for s, a in self.outcomes if from_s <= s < until_s]
        return answers.count(200), len(answers)


async def run(record):
    async with sites.Site(record) as site:
        site.configure(
            1,
            [platform_store.TURNS_ROUTE],
            [
                {
                    'name': 'engines',
                    'max_conns': 200,
                    'engine': {'slots': 8, 'tokens_per_event': 10},
                }
            ],
        )
        for name, zone in (('engine-1', 'a'), ('engine-2', 'b')):
            await site.add_server(name, 'engines', zone)
        for zone in 'abc':
            site.start_process(f'store-{zone}', 'archive', zone, True)
        for zone in 'ab':
            site.start_process(f'entry-{zone}', 'entry', zone, True)
        await site.wait_until_ready('entry-a', 'entry-b')
        await asyncio.sleep(2.0)
        callers = Callers(site)
        task = asyncio.create_task(callers.run())
        await asyncio.sleep(3.0)
        if HAS_TROUBLE:
            await cause_trouble(site)
        else:
            await asyncio.sleep(30.0)
        fault_s = record.now_s()
        if HAS_TROUBLE:
            site.kill('store-c')
            site.lose_disk('store-c')
            await asyncio.sleep(1.0)
            site.start_process('store-c', 'archive', 'c', False)
        back_s = record.now_s()
        await asyncio.sleep(RECOVER_S + 8.0)
        task.cancel()
        before = callers.served(fault_s - 4.0, fault_s)
        after = callers.served(back_s + RECOVER_S, back_s + RECOVER_S + 6.0)
        record.add('served in the 4 s before the last fault:', *before)
        record.add('served later than recover_s after it:', *after)
        if before[0] * 4 < before[1] or not after[1]:
            record.add('the case could not run')
            return 2
        return int(after[0] * 4 < after[1])


async def cause_trouble(site):
    """Retire a store machine, and replace another one for good."""
    site.store.write('op/retire/store-a', b'{"duration_s": 8}')
    site.record.add('asked to retire store-a')
    done = '"completed"'
    await site.wait_until(lambda: is_retired(site, done))
    site.record.add('store-a is retired')
    site.kill('store-a')
    await asyncio.sleep(5.0)
    site.kill('store-b')
    await asyncio.sleep(2.0)
    site.start_process('store-d', 'archive', 'b', False)
    # A removed machine counts as lost until its successor has caught up.
    await asyncio.sleep(CATCH_UP_S + 8.0)


def is_retired(site, done):
    import base64

    value = site.key('status/retire/store-a')
    return value is not None and done in base64.b64decode(value).decode()


async def main():
    record = sites.Record(HERE / 'record.txt')
    try:
        async with asyncio.timeout(110.0):
            status = await run(record)
    except Exception as error:
        record.add('the case could not run:', repr(error))
        status = 2
    record.add('exit status', status)
    return status


sys.exit(asyncio.run(main()))
