"""A turn that another program has continued is denied after machines came."""

import asyncio
import os
import sys

from balsamdale import placement
from review.kit_3 import turns
from review.kit_3 import world as worlds

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
KEEP_S = 60.0
# Duration of the first turn.
LONG_TURN_S = 3.0
# Times of the turns after all archives have joined.
FIRST_S, SECOND_S, LAST_S = 17.0, 42.0, 99.0
REPLICAS = 3


def choose_programs(names):
    """Return numbers of two programs that have no archive in common.

    With six archives that is one pair of programs in 20.
    """

    def replicas(number):
        return set(placement.rank(f'p{number:05x}', names)[:REPLICAS])

    first = replicas(1)
    for number in range(2, 1000):
        if len(names) == REPLICAS or not first & replicas(number):
            return 1, number
    raise worlds.CaseFailed('no such programs')


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
    if HAS_TROUBLE:
        # One store machine is added in each zone.
        for zone in 'abc':
            world.add_machine(f'storage-{zone}-2', 'archive', zone, False)
            world.start(f'storage-{zone}-2')
        await world.wait_for('archives', lambda: len(world.folders()) == 6)
    began_s = world.now_s()
    number, continuing = choose_programs(world.folders())
    world.log(f'programs p{number:05x} and p{continuing:05x}')

    async def send(at_s, entry, program, turn, previous):
        await asyncio.sleep(began_s + at_s - world.now_s())
        request_id, answer = await turns.send_turn(
            world, entry, program, turn, previous
        )
        return request_id, answer, world.now_s()

    for model in models:
        model.gap_s = LONG_TURN_S / model.events
    first, answer, _ = await send(FIRST_S, 'edge-a-1', number, 1, '')
    if answer.status != 200 or not answer.is_whole:
        raise worlds.CaseFailed('the first turn was not answered whole')
    for model in models:
        model.gap_s = 0.01
    second, answer, answered_s = await send(
        SECOND_S, 'edge-a-1', continuing, 2, first
    )
    if answer.status != 200 or not answer.is_whole:
        raise worlds.CaseFailed('the second turn was not answered whole')
    last, answer, _ = await send(LAST_S, 'edge-b-1', continuing, 3, second)
    age_s = world.now_s() - answered_s
    if age_s > KEEP_S:
        raise worlds.CaseFailed('the last turn came too late')
    if answer.status in (404, 410):
        return [
            f'LOST: {last}: {answer.status}, though {second} was answered '
            f'whole {age_s:.1f} s before, of {KEEP_S:.0f} s'
        ]
    return []


# The argument is the path of record.txt.
worlds.main(case, HAS_TROUBLE, sys.argv[1])
