"""Turns are denied after archives restarted and one was removed."""

import asyncio
import pathlib

from review.kit_3 import turns
from review.kit_3 import world as worlds

# Programs that begin while one archive is down.
PROGRAMS = 32
KILLED = ('storage-a-1', 'storage-b-1', 'storage-a-2')
# From the last answer on; with the turns it is less than 2.8 s.
RESTART_DELAY_S = 0.9
KEEP_S = 60.0
CATCH_UP_S = 4.8


async def begin_programs(world, group, killed, has_trouble):
    """Begin programs while an archive restarts; return whole turns."""
    if has_trouble:
        world.kill(killed)
    numbers = range(group * PROGRAMS, (group + 1) * PROGRAMS)
    first = await asyncio.gather(
        *(turns.send_turn(world, 'edge-a-1', n, 1, '') for n in numbers)
    )
    await asyncio.sleep(RESTART_DELAY_S)
    if has_trouble:
        world.start(killed)
    await asyncio.sleep(CATCH_UP_S + 1.5)
    return [
        (number, request_id)
        for number, (request_id, answer) in zip(numbers, first, strict=True)
        if answer.status == 200 and answer.is_whole
    ]


async def case(world, has_trouble):
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
    # A store machine is added.
    world.add_machine('storage-a-2', 'archive', 'a', False)
    world.start('storage-a-2')
    await world.wait_for('archives', lambda: len(world.folders()) == 4)
    await asyncio.sleep(CATCH_UP_S)

    whole = []
    answered_s = world.now_s()
    for group, killed in enumerate(KILLED):
        whole += await begin_programs(world, group, killed, has_trouble)
    world.log(f'{len(whole)} first turns answered whole')
    if len(whole) < len(KILLED) * PROGRAMS // 2:
        raise worlds.CaseFailed('too few first turns were answered')
    if len(world.folders()) != 4:
        raise worlds.CaseFailed('a killed archive was given up')

    if has_trouble:
        # It is removed for good; no other machine is lost from here on.
        world.kill('storage-c-1')
        await world.wait_for(
            'the removed archive is given up',
            lambda: 'storage-c-1' not in world.folders(),
        )
    await asyncio.sleep(CATCH_UP_S)
    second = await asyncio.gather(
        *(
            turns.send_turn(world, entry, number, turn, previous)
            for number, previous in whole
            for turn, entry in ((2, 'edge-b-1'), (3, 'edge-c-1'))
        )
    )
    if world.now_s() - answered_s > KEEP_S:
        raise worlds.CaseFailed('the turns are too old')
    broken = [
        f'LOST: {request_id}: {answer.status}, though {request_id[:8]}'
        f'00000001 was answered whole less than {KEEP_S:.0f} s before'
        for request_id, answer in second
        if answer.status in (404, 410)
    ]
    counts = {}
    for _, answer in second:
        counts[answer.status] = counts.get(answer.status, 0) + 1
    world.log(f'second turns by status: {counts}')
    return broken


worlds.main(case, pathlib.Path(__file__).parent)
