"""Point 8: a leaving backend server gets no new work after a few seconds."""

import asyncio

import pytest

from tests import cluster
from tests import virtual

STOP_LIMIT_S = 4.0


@pytest.mark.point(8, 'leaving_ignored')
def test_a_leaving_server_gets_no_new_work():
    async def main():
        simulated = cluster.Cluster(instances=9)
        await simulated.start()
        names = [f'p{index}' for index in range(8)]
        for name in names:
            await simulated.create(name, 'follow-up')
        loop = asyncio.get_running_loop()
        tasks = [
            asyncio.ensure_future(_run_turns(simulated, name))
            for name in names
        ]
        await asyncio.sleep(2)
        accepted_s = loop.time()
        sent = simulated.backends.sent_at_s
        busiest, second_busiest = sorted(sent, key=lambda n: -len(sent[n]))[:2]
        await simulated.accept(_mark_leaving(simulated.text, busiest))
        await asyncio.sleep(10)
        for task in tasks:
            task.cancel()
        late_s = [s for s in sent[busiest] if s > accepted_s + STOP_LIMIT_S]
        other_s = [
            s for s in sent[second_busiest] if s > accepted_s + STOP_LIMIT_S
        ]
        assert sent[busiest] and other_s and not late_s

    virtual.run(main())


async def _run_turns(simulated, name):
    for number in range(1000):
        await simulated.turn(name, f't{number}', f'question {number}')


def _mark_leaving(text, server):
    """Mark a backend server as leaving in a declaration."""
    head = f'name = "{server}"\n'
    return text.replace(head, head + 'state = "leaving"\n')
