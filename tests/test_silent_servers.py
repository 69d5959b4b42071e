"""Tests of sound servers that fall silent: their processes are suspended."""

import asyncio
import contextlib

import pytest

from tests import routed_site
from tests import server_process

# Longer than an entry waits before it asks others, and than they take.
SILENCE_S = 1.3
EVENTS = 12
TURN_HEADERS = {'X-Token-Usage': '100,500', 'X-Deadline-Ms': '8000'}
ROUTES = [
    {**route, 'timeout_ms': 9000, 'attempts': 3}
    for route in routed_site.ROUTES
]


class Site:
    """A deployment whose servers of one service are processes."""

    def __init__(self, deployment, service, processes, silence_s):
        self.deployment = deployment
        self.processes = processes
        self._service = service
        self._silence_s = silence_s

    async def suspend(self, *processes):
        """Suspend processes that then take no connection either."""
        async with contextlib.AsyncExitStack() as stack:
            for process in processes:
                process.suspend()
                stack.callback(process.resume)
            await asyncio.gather(
                *(process.fill_backlog(stack) for process in processes)
            )
            await asyncio.sleep(self._silence_s)

    def register(self, process, **changes):
        self.deployment.register(
            process.name, self._service, process.address, **changes
        )


def run(folder, service, scenario, count=1, silence_s=SILENCE_S, **options):
    """Run a scenario on a deployment with server processes.

    Args:
        folder: for data folders where there is no file system in memory.
        service: the service that they belong to, instead of the stubs.
        scenario: called with the site.
        count: number of processes.
        silence_s: time for which they are suspended.
        options: options of the processes.
    """

    async def main(deployment):
        async with contextlib.AsyncExitStack() as stack:
            deployment.configure(2, ROUTES)
            processes = await asyncio.gather(
                *(
                    stack.enter_async_context(
                        server_process.running(
                            f'process-{number}',
                            deployment.reserve_port(),
                            **options,
                        )
                    )
                    for number in range(count)
                )
            )
            site = Site(deployment, service, processes, silence_s)
            for name in list(deployment.servers):
                deployment.store.remove(f'servers/{name}')
            for process in processes:
                site.register(process)
            await deployment.wait_until(
                lambda: all(
                    {s.server_id for s in entry.directory.ready(service)}
                    == {process.name for process in processes}
                    and entry.table.version == 2
                    for name, entry in deployment.nodes.items()
                    if name.startswith('entry')
                )
            )
            await scenario(site)

    routed_site.run(folder, main)


async def change_nothing(_site):
    """Leave the configuration as it is."""


async def shorten_route(site):
    changed = [{**route, 'timeout_ms': 500} for route in ROUTES]
    site.deployment.configure(3, changed)


async def move_route(site):
    changed = [{**route, 'service': 'plain'} for route in ROUTES]
    site.deployment.configure(3, changed)


async def remove_route(site):
    site.deployment.configure(3, ROUTES[1:2])


async def lose_registration(site):
    """Registrations expire while a server does not renew them."""
    for process in site.processes:
        site.deployment.store.remove(f'servers/{process.name}')


async def drain(site):
    for process in site.processes:
        site.register(process, state='draining')


CHANGES = [
    change_nothing,
    shorten_route,
    move_route,
    remove_route,
    lose_registration,
    drain,
]


@pytest.mark.parametrize('change', CHANGES)
def test_stream_of_a_suspended_server_is_not_broken_off(tmp_path, change):
    """A sound server that was silent for a second had its streams cut."""

    async def scenario(site):
        request_task = asyncio.create_task(
            site.deployment.post_turn('t1', **TURN_HEADERS)
        )
        await asyncio.sleep(0.5)
        await change(site)
        await site.suspend(*site.processes)
        status, body, _ = await request_task
        assert (status, body.count(b'data:')) == (200, EVENTS)

    run(tmp_path, 'engines', scenario, events=EVENTS, event_gap_s=0.1)


@pytest.mark.parametrize('change', CHANGES)
def test_order_at_a_suspended_server_is_answered(tmp_path, change):
    """An order that its server ran was answered 502 meanwhile."""

    async def scenario(site):
        request_task = asyncio.create_task(
            site.deployment.post(
                '/alerts/x', b'in', **{'X-Deadline-Ms': '8000'}
            )
        )
        await asyncio.sleep(0.3)
        await change(site)
        await site.suspend(*site.processes)
        status, body, _ = await request_task
        assert (status, body) == (200, b'done in')

    run(tmp_path, 'plain', scenario, delay_s=1.0)


def count_reports(deployment):
    """Return the crashes that the entries know of."""
    return sum(
        len(list(deployment.nodes[name].quarantine.reports()))
        for name in ('entry-a', 'entry-b')
    )


def test_request_that_may_repeat_moves_from_a_suspended_server(tmp_path):
    """It is answered before the server goes on, and counts as no crash."""

    async def scenario(site):
        deployment = site.deployment
        requests = [
            asyncio.create_task(
                deployment.post('/reads/x', b'in', **{'X-Deadline-Ms': '8000'})
            )
            for _ in range(4)
        ]
        await asyncio.sleep(0.3)
        suspended = asyncio.create_task(site.suspend(site.processes[0]))
        answers = await asyncio.gather(*requests)
        assert not suspended.done()
        assert [answer[:2] for answer in answers] == [(200, b'done in')] * 4
        assert not count_reports(deployment)
        await suspended

    run(tmp_path, 'plain', scenario, 2, silence_s=4.0, delay_s=0.7)


def test_request_that_may_repeat_waits_if_all_servers_are_suspended(tmp_path):
    """It was sent from one to the next, and then answered 502."""

    async def scenario(site):
        deployment = site.deployment
        requests = [
            asyncio.create_task(
                deployment.post('/reads/x', b'in', **{'X-Deadline-Ms': '8000'})
            )
            for _ in range(4)
        ]
        await asyncio.sleep(0.3)
        await site.suspend(*site.processes)
        answers = await asyncio.gather(*requests)
        assert [answer[:2] for answer in answers] == [(200, b'done in')] * 4
        assert not count_reports(deployment)

    run(tmp_path, 'plain', scenario, 3, delay_s=0.7)


def test_order_at_a_killed_server_ends_at_once(tmp_path):
    """Unlike a suspended process, a dead one ends its connections."""

    async def scenario(site):
        deployment = site.deployment
        request_task = asyncio.create_task(deployment.post('/alerts/x'))
        await asyncio.sleep(0.3)
        site.processes[0].kill()
        async with asyncio.timeout(ROUTES[0]['timeout_ms'] / 2000):
            assert (await request_task)[0] == 502
        outcomes = deployment.nodes['entry-a'].handler.outcome_counts
        assert outcomes['broken'] == 1

    run(tmp_path, 'plain', scenario, delay_s=30.0)


def test_long_order_to_a_suspended_server_is_answered(tmp_path):
    """TCP ends a connection whose peer's window stays full for 1.5 s."""

    async def scenario(site):
        site.processes[0].suspend()
        request_task = asyncio.create_task(
            site.deployment.post(
                '/alerts/x', bytes(1_000_000), **{'X-Deadline-Ms': '8000'}
            )
        )
        await asyncio.sleep(2 * SILENCE_S)
        site.processes[0].resume()
        assert (await request_task)[0] == 200

    run(tmp_path, 'plain', scenario)
