"""Test of a planned stop of an entry under load."""

import asyncio
import itertools

import aiohttp

from tests import routed_site

CALLERS = 12
REQUESTS_BEFORE_STOP = 5 * CALLERS


async def call_until_refused(deployment, number, cut_ids):
    """Send requests on a kept connection until no new one is accepted."""
    for turn in itertools.count():
        request_id = f'r{number}-{turn}'
        try:
            status, body, _ = await deployment.post(
                '/reads/x', b'b', **{'X-Request-Id': request_id}
            )
        except aiohttp.ClientConnectorError:
            return
        except aiohttp.ClientError:
            cut_ids.append(request_id)
            continue
        assert (status, body) in ((200, b'done b'), (503, b''))


def test_request_that_was_just_accepted_is_answered_at_a_planned_stop(
    tmp_path,
):
    """Callers keep their connections until the entry is gone."""

    async def scenario(deployment):
        for server in deployment.servers.values():
            server.switches.delay_s = 0.05
        cut_ids = []
        entry = deployment.nodes['entry-a']
        calls = [
            asyncio.create_task(call_until_refused(deployment, n, cut_ids))
            for n in range(CALLERS)
        ]
        counts = entry.handler.outcome_counts
        await deployment.wait_until(
            lambda: sum(counts.values()) >= REQUESTS_BEFORE_STOP
        )
        await entry.leave()
        assert entry.handler.in_flight == 0
        await entry.close()
        async with asyncio.timeout(5.0):
            await asyncio.gather(*calls)
        del deployment.nodes['entry-a']
        assert set(counts) == {'ok'}
        assert not [i for i in cut_ids if deployment.run_count(i)]

    routed_site.run(tmp_path, scenario)
