"""Tests of the deadlines of a stop under short grace periods."""

import asyncio

import pytest

from tests import real_node


async def start_order(site, entry):
    """Send an order with much time; return its task once it runs."""
    headers = {
        'Host': real_node.HOST,
        'X-Request-Id': 'late',
        'X-Deadline-Ms': '9000',
    }
    address = entry.settings['entry_address']
    order = asyncio.create_task(
        site.client.post(
            f'http://{address}/alerts/x', data=b'b', headers=headers
        )
    )
    async with asyncio.timeout(real_node.TIMEOUT_S):
        while 'late' not in site.server.runs:
            await asyncio.sleep(0.005)
    return order


def unfinished_steps(entry):
    return [
        line['step']
        for line in entry.output.lines()
        if line['event'] == 'stop_step_unfinished'
    ]


@pytest.mark.parametrize(('grace_s', 'order_s'), [(1.0, 0.65), (2.0, 1.55)])
def test_order_that_ends_within_a_short_drain_is_answered(
    tmp_path, grace_s, order_s
):
    """Guards against a process that ends its drain before its reserve."""

    async def scenario(site):
        entry = await site.start(grace_s=grace_s)
        await site.wait_until_served(entry)
        site.server.switches.delay_s = order_s
        order = await start_order(site, entry)
        entry.signal()
        assert (await order).status == 200
        assert await entry.wait() == 0
        assert not unfinished_steps(entry)

    real_node.run(tmp_path, scenario)


def test_short_stop_under_load_carries_out_all_steps(tmp_path):
    """Guards against a drain that is cancelled before its last looks."""

    async def scenario(site):
        entry = await site.start(grace_s=3.0)
        await site.wait_until_served(entry)
        site.server.switches.delay_s = 30.0
        order = await start_order(site, entry)
        entry.signal()
        assert (await order).status == 504
        assert await entry.wait() == 0
        assert not unfinished_steps(entry)

    real_node.run(tmp_path, scenario)
