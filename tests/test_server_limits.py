"""Tests of servers that name a limit, with two entries in one deployment."""

import asyncio
import time

from tests import routed_site

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
# What the platform allows a server to get in a window.
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5


async def send_for(deployment, duration_s, rate_per_s=50):
    """Send requests to both entries in turn; return their statuses."""
    tasks = []
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        entry = ('entry-a', 'entry-b')[len(tasks) % 2]
        tasks.append(
            asyncio.create_task(deployment.post('/reads/x', entry=entry))
        )
        await asyncio.sleep(1 / rate_per_s)
    return [status for status, _, _ in await asyncio.gather(*tasks)]


def test_server_gets_more_than_the_limit_that_it_named(tmp_path):
    """The limit holds for all entries together."""

    async def scenario(deployment):
        servers = [deployment.servers[f'plain-{n}'] for n in (1, 2)]
        for server in servers:
            server.switches.limit = str(LIMIT_PER_S)
        await send_for(deployment, 1.0)
        ran_before = [len(server.runs) for server in servers]
        statuses = await send_for(deployment, WINDOW_S)
        for server, count in zip(servers, ran_before, strict=True):
            assert len(server.runs) - count <= ALLOWED
        assert set(statuses) <= {200, 503}

    routed_site.run(tmp_path, scenario)
