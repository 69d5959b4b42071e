"""Turns of other callers are refused for good after engines have crashed."""

import asyncio
import sys

from review.kit import client
from review.kit import configuration
from review.kit import server
from review.kit import world

ENGINES = 5
CRASHES = 3
DOWN_S = 4.0
# Between the return of an engine and the next crash, and before the check.
CALM_S = 6.0
TRIES = 5
BODY = b'continue'


async def case(w):
    engines = [
        server.Server(w, 'models', 100 + n, events=8, event_gap_s=0.2)
        for n in range(ENGINES)
    ]
    await w.start(
        configuration.configuration(1, [configuration.turns_route()]), engines
    )
    if world.has_trouble():
        for number in range(CRASHES):
            await _crash_one(w, engines, number)
    # All engines are back, and no request runs.
    connection = client.Connection(w, w.entries[0])
    first = await _turn(connection, 'cc01', b'first question')
    if first.status != 200 or not first.is_whole:
        raise RuntimeError(f'the first turn was not served: {first}')
    others = await asyncio.gather(
        *(
            _turn(client.Connection(w, e), f'dd{n:02x}', b'question %d' % n)
            for n in range(4)
            for e in w.entries
        )
    )
    if any(a.status != 200 for a in others):
        raise RuntimeError(f'first turns were not served: {others}')
    tries = []
    for number in range(TRIES):
        entry = w.entries[number % len(w.entries)]
        tries.append(
            await _turn(
                client.Connection(w, entry), 'cc01', BODY, first.request_id
            )
        )
        if tries[-1].status == 200:
            break
        await asyncio.sleep(0.3)
    reached = [
        a for a in tries if any(a.request_id in e.runs for e in engines)
    ]
    if not reached and len(tries) == TRIES:
        return (
            f'LOST: a turn of a new program reaches no engine in {TRIES} '
            f'tries: {[a.status for a in tries]}, while all '
            f'{len(others)} first turns are served'
        )
    return ''


async def _crash_one(w, engines, number):
    """Crash one engine while it runs turns of some callers."""
    turns = [
        asyncio.create_task(
            _turn(client.Connection(w, e), f'aa{number}{n}{i}', BODY)
        )
        for n in range(4)
        for i, e in enumerate(w.entries)
    ]
    await asyncio.sleep(0.8)
    victim = max(engines, key=lambda e: e.running)
    await victim.crash()
    await asyncio.gather(*turns)
    await asyncio.sleep(DOWN_S)
    await victim.start()
    await asyncio.sleep(CALM_S)


async def _turn(connection, program, body, parent=''):
    answer = await connection.send(
        'POST',
        '/turns/a',
        configuration.turn_headers(program, parent),
        body,
    )
    connection.close()
    return answer


world.run(case, sys.argv[1])
