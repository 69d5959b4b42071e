"""Turns with a common input are refused after engines have crashed."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))
sys.path.insert(0, str(HERE.parents[1] / 'target' / 'deps'))

from review.kit_2 import engines as engines_of  # noqa: E402
from review.kit_2 import site as sites  # noqa: E402
from standins import platform_store  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
STABLE_WINDOW_S = 3.0
ENGINE_DOWN_S = 2.0
CRASHES = 3
TRIES = 5
ENTRIES = ('entry-a', 'entry-b', 'entry-c')
ENGINES = tuple(f'engine-{number}' for number in range(1, 6))
COMMON_INPUT = b'yes, please go on'
# Programs that have a turn with this input under way at each crash, and
# programs that send it later.
BUSY, LATER = 10, 20


class Programs:
    """Programs whose first turns are kept and that send a second one."""

    def __init__(self, site):
        self._site = site
        self._tries = 0

    async def send(self, program, turn, body, parent=''):
        """Send one client attempt; return its id and its answer."""
        self._tries += 1
        turn_id = f'{program}{turn}n{self._tries}'
        headers = {
            'Host': sites.HOST,
            'X-Request-Id': turn_id,
            'X-Deadline-Ms': '2500',
            'X-Program-Id': program,
            'X-Session-Id': f's{program}',
            'X-Finish-Ms': '60000',
            'X-Token-Budget': '3000',
            'X-Token-Usage': '100,30',
        }
        if parent:
            headers['X-Previous-Turn'] = parent
        addresses = self._site.entries()
        answer = await self._site.send(
            addresses[self._tries % len(addresses)],
            '/turns/x',
            body,
            headers,
        )
        return turn_id, answer

    async def begin(self, programs):
        """Return the id of the kept first turn of each program served."""
        sent = [
            self.send(program, 'a', f'question of {program}'.encode())
            for program in programs
        ]
        answers = await asyncio.gather(*sent)
        return {
            program: turn_id
            for program, (turn_id, answer) in zip(
                programs, answers, strict=True
            )
            if answer == 200
        }


async def crash_engines(site, engines, programs):
    """Crash an engine three times, each while such turns are under way."""
    for number in range(CRASHES):
        names = [f'busy{number}x{index}' for index in range(BUSY)]
        kept = await programs.begin(names)
        under_way = [
            asyncio.create_task(
                programs.send(name, 'b', COMMON_INPUT, turn_id)
            )
            for name, turn_id in kept.items()
        ]
        await asyncio.sleep(0.3)
        if HAS_TROUBLE:
            running = {
                server
                for _, server, request_id in engines.runs()
                if request_id.startswith(tuple(f'{n}b' for n in names))
            }
            site.kill(min(running), signal.SIGKILL)
        await asyncio.gather(*under_way)
        await asyncio.sleep(ENGINE_DOWN_S + 2.0)


async def run(record):
    async with sites.Site(record) as site:
        site.configure(
            1,
            [platform_store.TURNS_ROUTE],
            [
                {
                    'name': 'engines',
                    'max_conns': 250,
                    'engine': {'slots': 8, 'tokens_per_event': 10},
                }
            ],
        )
        engines = engines_of.Engines(site, 'engines', ENGINE_DOWN_S)
        for name in ENGINES:
            engines.start(name)
        for zone in 'abc':
            site.start_process(f'store-{zone}', 'archive', zone, True)
        for name in ENTRIES:
            site.start_process(name, 'entry', name[-1], True)
        await site.wait_until_ready(*ENTRIES)
        await asyncio.sleep(STABLE_WINDOW_S)
        watching = asyncio.create_task(engines.run())
        programs = Programs(site)
        kept = await programs.begin([f'later{n}' for n in range(LATER)])
        await crash_engines(site, engines, programs)
        await asyncio.sleep(STABLE_WINDOW_S + 2.0)
        record.add('calm since stable_window_ms and 2 s')
        unreached = 0
        for program, parent in kept.items():
            sent = []
            while len(sent) < TRIES and 200 not in dict(sent).values():
                sent.append(
                    await programs.send(program, 'b', COMMON_INPUT, parent)
                )
            ran = {request_id for _, _, request_id in engines.runs()}
            unreached += not ran & {turn_id for turn_id, _ in sent}
        first = await programs.begin([f'new{n}' for n in range(LATER)])
        watching.cancel()
        record.add('crashes:', engines.crashes)
        record.add('first turns served now:', len(first), 'of', LATER)
        record.add(
            f'turns that reached no engine in {TRIES} tries:',
            unreached,
            'of',
            len(kept),
        )
        if len(first) < 0.9 * LATER or len(kept) < 0.9 * LATER:
            record.add('the case could not run')
            return 2
        if HAS_TROUBLE and engines.crashes < CRASHES:
            record.add('the case could not run')
            return 2
        return int(unreached > 0)


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
