"""Point 3: a program's budget holds and is never overrun."""

import asyncio
import random

import pytest

from balsamdale import errors
from tests import cluster
from tests import virtual

BUDGET_TOKENS = 4000


def play(seed: int) -> tuple[int, object]:
    """Spend a small budget under crashes; return the true use."""
    return virtual.run(_play(seed))


async def _play(seed):
    running = cluster.Cluster(seed=seed)
    generator = random.Random(seed)
    await running.start()
    await running.create('p', 'briefing', BUDGET_TOKENS)
    crashing = asyncio.ensure_future(_crash_owners(running, generator))
    for number in range(30):
        text = 'spawn an agent to look up the pollen counts'
        if generator.random() < 0.7:
            text = f'question {number}'
        try:
            reply = await running.turn('p', f't{number}', text)
        except errors.Refused:
            continue
        if reply.code == 'budget_exhausted':
            break
    crashing.cancel()
    await asyncio.sleep(8)
    used = sum(
        tokens
        for name, tokens in running.backends.used_tokens.items()
        if name.partition('/')[0] == 'p'
    )
    return used, await running.view('p')


async def _crash_owners(running, generator):
    """Kill whichever instance runs the program, again and again."""
    while True:
        await asyncio.sleep(generator.uniform(0.3, 3))
        victims = [
            name
            for name, one in running.instances.items()
            if 'p' in one.owner.programs
        ]
        if victims:
            running.crash(victims[0])
            await asyncio.sleep(3)
            await running.boot(victims[0])


@pytest.mark.point(3, 'answer_not_cut', 'unknown_uncharged')
def test_true_use_stays_within_the_budget(seeds):
    spent = 0
    for seed in range(max(6, seeds // 5)):
        used, view = play(seed)
        assert view.spent_tokens <= BUDGET_TOKENS
        assert view.spent_tokens + view.reserved_tokens <= BUDGET_TOKENS
        assert used <= view.spent_tokens + view.reserved_tokens
        spent = max(spent, view.spent_tokens)
    assert spent > BUDGET_TOKENS / 2
