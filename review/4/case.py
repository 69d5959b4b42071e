"""A planned stop cuts streams that a leaving entry accepts late."""

import asyncio
import os
import signal
import sys

from review.kit import client
from review.kit import configuration
from review.kit import server
from review.kit import world

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
STREAM_EVENTS, EVENT_GAP_S = 15, 0.2
CLIENTS, SPACING_S = 12, 0.5
EXCUSED_S = 3.0
TIMEOUT_S = 4.0


async def case(w):
    engines = [
        server.Server(
            w, 'models', n, events=STREAM_EVENTS, event_gap_s=EVENT_GAP_S
        )
        for n in (100, 101)
    ]
    await w.start(
        configuration.configuration(1, [configuration.turns_route()]), engines
    )
    entry = w.entries[0]
    connections = [client.Connection(w, entry) for _ in range(CLIENTS)]
    # Each client has used its connection before.
    await asyncio.gather(
        *(_turn(c, f'{n:04x}') for n, c in enumerate(connections))
    )
    # Each asks where to connect and keeps the answer three times as long.
    kept_s = 3 * min([await _resolve(w, entry) for _ in connections])
    if kept_s <= SPACING_S * (CLIENTS - 1):
        raise RuntimeError(f'clients keep an answer for {kept_s} s only')
    stopped_s = w.record.now_s()
    stop = asyncio.create_task(_stop(w, entry))
    answers = await asyncio.gather(
        *(_late_turn(c, n, stopped_s) for n, c in enumerate(connections))
    )
    await stop
    broken = []
    for answer, sent_s, ended_s in answers:
        was_passed_on = any(answer.request_id in e.runs for e in engines)
        is_late = sent_s > EXCUSED_S
        took_s = ended_s - sent_s
        if was_passed_on and not answer.is_whole and is_late:
            if took_s < TIMEOUT_S:
                broken.append(f'{answer.request_id} after {took_s:.1f} s')
    if broken:
        return (
            f'LOST: {len(broken)} of {len(answers)} requests that were read '
            f'and passed on got no complete answer: {", ".join(broken)}'
        )
    return ''


async def _resolve(w, entry):
    """Ask the entry where to connect; return the answer's time to live."""
    answer = await client.fetch(
        w,
        (entry.ip, world.REGISTRY_PORT),
        f'/api/resolve?name={world.HOST}&region=r1&zone={entry.zone}',
    )
    if f'{entry.ip}:{world.FRONT_PORT}' not in answer['addresses']:
        raise RuntimeError(f'{entry.name} is not in {answer}')
    return min(answer['ttl_s'], 5)


async def _turn(connection, program):
    answer = await connection.send(
        'POST',
        '/turns/a',
        configuration.turn_headers(program),
        b'hello ' * 50,
    )
    if not answer.is_whole or answer.status != 200:
        raise RuntimeError(f'no service before the disruption: {answer}')


async def _late_turn(connection, number, stopped_s):
    record = connection.world.record
    await asyncio.sleep(SPACING_S * number)
    sent_s = record.now_s() - stopped_s
    answer = await connection.send(
        'POST',
        '/turns/a',
        configuration.turn_headers(f'f{number:03x}'),
        b'hello ' * 50,
    )
    return answer, sent_s, record.now_s() - stopped_s


async def _stop(w, entry):
    if not HAS_TROUBLE:
        return
    entry.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(entry.process.wait(), world.BOUNDS['grace_s'])
    except TimeoutError:
        entry.signal(signal.SIGKILL)
        await entry.process.wait()
    w.record.line(f'{entry.name} has ended')
    await entry.start()


# The argument is the path of record.txt.
world.run(case, sys.argv[1])
