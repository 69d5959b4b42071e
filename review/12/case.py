"""Turns are denied after archives restarted and one was removed."""

import asyncio
import collections
import os
import sys

from review.kit_3 import turns
from review.kit_3 import world as worlds

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Programs that begin while one archive is down.
PROGRAMS = 32
KILLED = ('storage-a-1', 'storage-b-1')
# From the last answer on; with the turns it is less than 2.8 s.
RESTART_DELAY_S = 0.9
KEEP_S = 60.0
CATCH_UP_S = 4.8
# Time until which another round may begin; one lasts less than 30 s.
ROUNDS_END_S = 80.0


async def begin_programs(world, numbers, killed):
    """Begin programs while an archive restarts; return whole turns."""
    if HAS_TROUBLE:
        world.kill(killed)
    first = await asyncio.gather(
        *(turns.send_turn(world, 'edge-a-1', n, 1, '') for n in numbers)
    )
    await asyncio.sleep(RESTART_DELAY_S)
    if HAS_TROUBLE:
        world.start(killed)
    # It is lost until it is back and has had the time to catch up.
    await world.wait_for(f'{killed} back', lambda: world.answers(killed))
    world.log(f'platform: {killed} answers')
    await asyncio.sleep(CATCH_UP_S)
    return [
        (number, request_id)
        for number, (request_id, answer) in zip(numbers, first, strict=True)
        if answer.status == 200 and answer.is_whole
    ]


async def play_round(world, number):
    """Begin programs, remove an archive, and go on; return what broke."""
    removed = f'storage-c-{number}'
    count = len(world.folders())
    began_s = world.now_s()
    whole = []
    for group, killed in enumerate(KILLED):
        start = (number * len(KILLED) + group) * PROGRAMS
        whole += await begin_programs(
            world, range(start, start + PROGRAMS), killed
        )
    world.log(f'{len(whole)} first turns answered whole')
    if len(whole) < len(KILLED) * PROGRAMS // 2:
        raise worlds.CaseFailed('too few first turns were answered')
    if len(world.folders()) != count:
        raise worlds.CaseFailed('a killed archive was given up')
    if HAS_TROUBLE:
        # For good; no other machine is lost until its successor is there.
        world.kill(removed)
        await world.wait_for(
            'the removed archive is given up',
            lambda: removed not in world.folders(),
        )
    await asyncio.sleep(1.0)
    sent = [
        (entry, number, turn, previous)
        for number, previous in whole
        for turn, entry in ((2, 'edge-b-1'), (3, 'edge-c-1'))
    ]
    second = await asyncio.gather(
        *(turns.send_turn(world, *arguments) for arguments in sent)
    )
    if world.now_s() - began_s > KEEP_S:
        raise worlds.CaseFailed('the turns are too old')
    statuses = collections.Counter(answer.status for _, answer in second)
    world.log(f'continued turns by status: {dict(statuses)}')
    return [
        f'LOST: {request_id}: {answer.status}, though {previous} was '
        f'answered whole less than {KEEP_S:.0f} s before'
        for (_, _, _, previous), (request_id, answer) in zip(
            sent, second, strict=True
        )
        if answer.status in (404, 410)
    ]


async def case(world):
    world.configure(turns.configuration(KEEP_S))
    await turns.start_models(world)
    for zone in 'abc':
        world.add_machine(f'edge-{zone}-1', 'entry', zone)
        world.add_machine(f'storage-{zone}-1', 'archive', zone)
    for name in world.fields:
        world.start(name)
    for zone in 'abc':
        await world.wait_until_ready(f'edge-{zone}-1')
    await world.wait_for('archives', lambda: len(world.folders()) == 3)
    broken = []
    number = 1
    added = 'storage-a-2'
    while not broken and world.now_s() < ROUNDS_END_S:
        # A store machine is added; later the successor of the removed one.
        world.add_machine(added, 'archive', added[-3], False)
        world.start(added)
        await world.wait_for('archive', lambda: added in world.folders())
        await asyncio.sleep(CATCH_UP_S)
        broken += await play_round(world, number)
        number += 1
        added = f'storage-c-{number}'
    return broken


# The argument is the path of record.txt.
worlds.main(case, HAS_TROUBLE, sys.argv[1])
