"""Point 8: a leaving backend server receives no new work after seconds."""

import asyncio

import pytest

from tests import cluster
from tests import virtual

LIMIT_S = 4.0


@pytest.mark.point(8, 'leaving_ignored')
def test_a_leaving_server_gets_no_new_work():
    async def main():
        running = cluster.Cluster(instances=9)
        await running.start()
        names = [f'p{index}' for index in range(8)]
        for name in names:
            await running.create(name, 'follow-up')
        loop = asyncio.get_running_loop()
        working = [
            asyncio.ensure_future(_work(running, name)) for name in names
        ]
        await asyncio.sleep(2)
        accepted_s = loop.time()
        await running.accept(_leaving(running.text, 'forecast-1'))
        await asyncio.sleep(10)
        for task in working:
            task.cancel()
        sent = running.backends.sent_at_s
        late = [s for s in sent['forecast-1'] if s > accepted_s + LIMIT_S]
        others = [s for s in sent['forecast-2'] if s > accepted_s + LIMIT_S]
        assert sent['forecast-1'] and others and not late

    virtual.run(main())


async def _work(running, name):
    for number in range(1000):
        await running.turn(name, f't{number}', f'question {number}')


def _leaving(text, server):
    """Mark a backend server as leaving in a declaration."""
    head = f'name = "{server}"\n'
    return text.replace(head, head + 'state = "leaving"\n')
