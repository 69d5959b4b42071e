"""Turns of a program, as a client sends them, and their route."""

import asyncio

from review.kit_3 import servers
from review.kit_3 import world as worlds

__all__ = ['configuration', 'input_of', 'send_turn', 'start_models']

INPUT_BYTES = 17000
# Attempts of a turn that is refused.
ATTEMPTS = 4


def configuration(keep_s):
    """Return a configuration with one route, whose turns are kept."""
    return {
        'version': 3,
        'routes': [
            {
                'name': 'dialogue',
                'host': worlds.HOST,
                'path_prefix': '/turns/',
                'kind': 'streaming',
                'timeout_ms': 4000,
                'slo_ms': 250,
                'priority': 0,
                'service': 'model',
                'attempts': 2,
                'retain_context': True,
                'keep_s': keep_s,
                'gap_aim_ms': 250,
                'sticky': True,
            }
        ],
        'services': [
            {
                'name': 'model',
                'max_conns': 250,
                'engine': {
                    'tokens_per_event': 1,
                    'slots': 32,
                    'kv_capacity': 850995,
                },
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def input_of(request_id):
    """Return the new input of a turn."""
    return (request_id.encode() + b' ') * (INPUT_BYTES // 17)


async def start_models(world, zones='abc'):
    """Start a model server in each zone."""
    models = []
    for number, zone in enumerate(zones):
        model = servers.ModelServer(f'i-{number}', world)
        address = await world.serve(model.app())
        world.register(model.server_id, 'model', address, zone, slots=32)
        models.append(model)
    return models


async def send_turn(
    world, entry, number, turn, previous, budget=4000, repeated_id=''
):
    """Send a turn of a program, again while it is refused by a 503.

    Args:
        world: the deployment.
        entry: the entry that it is sent to.
        number: number of the program.
        turn: number of the turn.
        previous: id of the turn that it continues; empty for none.
        budget: the program's budget of tokens.
        repeated_id: id of an earlier turn, which no sound client uses again.

    Returns:
        The id of the last attempt, and its answer.
    """
    for attempt in range(ATTEMPTS):
        request_id = repeated_id or f'{number:08x}{turn:04x}{attempt:04x}'
        headers = {
            'X_Program_Id': f'p{number:05x}',
            'X_Session_Id': f's{number:05x}',
            'X_Finish_Ms': 90000,
            'X_Token_Budget': budget,
            'X_Token_Usage': '4250,100',
            'X_Model': 'm',
            'X_Prompt_Prefix': f'a0:4000,{number:08x}:250',
            'X_Deadline_Ms': 4000,
        }
        if previous:
            headers['X_Previous_Turn'] = previous
        answer = await world.send(
            entry, '/turns/x', request_id, input_of(request_id), **headers
        )
        if answer.status != 503:
            break
        await asyncio.sleep(float(answer.headers.get('Retry-After', 0.3)))
    return request_id, answer
