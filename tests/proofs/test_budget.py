"""Point 3: a program never uses more tokens than its budget."""

import asyncio
import random

import pytest

from balsamdale import errors
from tests import cluster
from tests import virtual

BUDGET_TOKENS = 4000


def spend_budget(seed: int) -> tuple[int, object]:
    """Spend a small budget while owners crash.

    Returns:
        The tokens that the engines processed, and the view of the program.
    """
    return virtual.run(_spend_budget(seed))


async def _spend_budget(seed):
    sim_cluster = cluster.Cluster(seed=seed)
    generator = random.Random(seed)
    await sim_cluster.start()
    await sim_cluster.create('p', 'briefing', BUDGET_TOKENS)
    crash_task = asyncio.ensure_future(_crash_owners(sim_cluster, generator))
    for index in range(30):
        text = 'spawn an agent to look up the pollen counts'
        if generator.random() < 0.7:
            text = f'question {index}'
        try:
            reply = await sim_cluster.turn('p', f't{index}', text)
        except errors.Refused:
            continue
        if reply.code == 'budget_exhausted':
            break
    crash_task.cancel()
    await asyncio.sleep(8)
    used_tokens = sum(
        tokens
        for name, tokens in sim_cluster.backends.used_tokens.items()
        if name.partition('/')[0] == 'p'
    )
    return used_tokens, await sim_cluster.view('p')


async def _crash_owners(sim_cluster, generator):
    """Crash and restart the owner of the program repeatedly."""
    while True:
        await asyncio.sleep(generator.uniform(0.3, 3))
        owner_ids = [
            name
            for name, running_instance in sim_cluster.instances.items()
            if 'p' in running_instance.owner.programs
        ]
        if owner_ids:
            sim_cluster.crash(owner_ids[0])
            await asyncio.sleep(3)
            await sim_cluster.boot(owner_ids[0])


@pytest.mark.point(3, 'answer_not_cut', 'unknown_uncharged')
def test_true_use_stays_within_the_budget(seeds):
    max_spent_tokens = 0
    for seed in range(max(6, seeds // 5)):
        used_tokens, view = spend_budget(seed)
        assert view.spent_tokens <= BUDGET_TOKENS
        assert view.spent_tokens + view.reserved_tokens <= BUDGET_TOKENS
        assert used_tokens <= view.spent_tokens + view.reserved_tokens
        max_spent_tokens = max(max_spent_tokens, view.spent_tokens)
    assert max_spent_tokens > BUDGET_TOKENS / 2
