"""A conversation is denied after each archive has restarted once."""

import asyncio
import os
import sys

from review.kit_3 import turns
from review.kit_3 import world as worlds

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
KEEP_S = 30.0
# Duration of the first turn.
LONG_TURN_S = 3.0
# Times of the turns after the archives have started.
FIRST_S, SECOND_S, THIRD_S, LAST_S = 17.0, 36.0, 58.0, 85.0
# From the end of a turn until the killed archive starts again.
RESTART_DELAY_S = 1.0


async def case(world):
    world.configure(turns.configuration(KEEP_S))
    models = await turns.start_models(world)
    for zone in 'abc':
        world.add_machine(f'edge-{zone}-1', 'entry', zone)
        world.add_machine(f'storage-{zone}-1', 'archive', zone)
    for name in world.fields:
        world.start(name)
    for zone in 'abc':
        await world.wait_until_ready(f'edge-{zone}-1')
    await world.wait_for('archives', lambda: len(world.folders()) == 3)
    began_s = world.now_s()

    async def wait_until(time_s):
        await asyncio.sleep(began_s + time_s - world.now_s())

    answered_s = {}

    async def converse(turn, previous, killed, killed_after_s=0.0):
        """Send a turn, and kill an archive before it is stored."""
        sending = asyncio.create_task(
            turns.send_turn(world, 'edge-a-1', 1, turn, previous)
        )
        if killed_after_s:
            await asyncio.sleep(killed_after_s)
        if HAS_TROUBLE:
            world.kill(killed)
        request_id, answer = await sending
        answered_s[request_id] = world.now_s()
        await asyncio.sleep(RESTART_DELAY_S)
        if HAS_TROUBLE:
            world.start(killed)
        if answer.status != 200 or not answer.is_whole:
            raise worlds.CaseFailed(f'turn {turn} was not answered whole')
        return request_id

    await wait_until(FIRST_S)
    for model in models:
        model.gap_s = LONG_TURN_S / model.events
    first = await converse(1, '', 'storage-c-1', LONG_TURN_S - 0.5)
    for model in models:
        model.gap_s = 0.01
    await wait_until(SECOND_S)
    second = await converse(2, first, 'storage-b-1')
    await wait_until(THIRD_S)
    third = await converse(3, second, 'storage-a-1')
    await wait_until(LAST_S)
    request_id, answer = await turns.send_turn(world, 'edge-b-1', 1, 4, third)
    age_s = world.now_s() - answered_s[third]
    if age_s > KEEP_S:
        raise worlds.CaseFailed('the last turn came too late')
    if answer.status in (404, 410):
        return [
            f'LOST: {request_id}: {answer.status}, though {third} was '
            f'answered whole {age_s:.1f} s before, of {KEEP_S:.0f} s'
        ]
    return []


# The argument is the path of record.txt.
worlds.main(case, HAS_TROUBLE, sys.argv[1])
