"""Tests that routed requests are held to the quota of their workspace."""

import asyncio

from balsamdale.scheduling import quota_account
from tests import routed_site
from tests import test_workspaces

A = {'name': 'a', 'api_keys': ['key-a'], 'rate_per_s': 0.1, 'burst': 3.5}
B = {'name': 'b', 'api_keys': ['key-b']}


def messages_sent(deployment):
    return sum(
        deployment.nodes[name].quota_client.gauges()['quota_messages'][1]()
        for name in ('entry-a', 'entry-b')
    )


def test_workspace_is_limited_over_all_entries(tmp_path):
    async def scenario(deployment):
        await test_workspaces.configure(deployment, 2, A, B)
        responses = [
            await deployment.post(
                '/reads/x',
                entry=('entry-a', 'entry-b')[number % 2],
                **{'Api-Key': 'key-a', 'X-Request-Id': f'r{number}'},
            )
            for number in range(7)
        ]
        assert [r[0] for r in responses] == [200] * 4 + [429] * 3
        times_s = [float(r[2]['Retry-After']) for r in responses[4:]]
        assert 0 < times_s[0] < 10.1
        assert not any(deployment.run_count(f'r{n}') for n in (4, 5, 6))
        sent = messages_sent(deployment)
        for _ in range(5):
            response = await deployment.post(
                '/reads/x', **{'Api-Key': 'key-b'}
            )
            assert response[0] == 200
        assert messages_sent(deployment) == sent
        # The limit is raised by a new version.
        await test_workspaces.configure(deployment, 3, {**A, 'rate_per_s': 0})
        response = await deployment.post('/reads/x', **{'Api-Key': 'key-a'})
        assert response[0] == 200

    routed_site.run(tmp_path, scenario)


def test_request_that_reaches_no_server_does_not_count(tmp_path):
    async def scenario(deployment):
        await test_workspaces.configure(deployment, 2, A)
        for number in range(6):
            response = await deployment.post_turn(
                f't{number}', 'missing', **{'Api-Key': 'key-a'}
            )
            assert response[0] == 404
        statuses = [
            (await deployment.post('/reads/x', **{'Api-Key': 'key-a'}))[0]
            for _ in range(5)
        ]
        assert statuses == [200] * 4 + [429]

    routed_site.run(tmp_path, scenario)


def test_units_of_each_entry_are_returned(tmp_path):
    async def scenario(deployment):
        await test_workspaces.configure(deployment, 2, A)
        headers = {'Api-Key': 'key-a'}
        # The entry that started last numbers its messages highest.
        for entry in ('entry-b', 'entry-a'):
            assert (await deployment.post('/reads/x', entry=entry, **headers))[
                0
            ] == 200
        await asyncio.gather(
            *(
                deployment.post_turn(f't{n}', 'missing', **headers)
                for n in range(2)
            )
        )
        await asyncio.sleep(1.2 * quota_account.REUSE_S)
        statuses = [
            (await deployment.post('/reads/x', entry='entry-b', **headers))[0]
            for _ in range(3)
        ]
        assert statuses == [200, 200, 429]

    routed_site.run(tmp_path, scenario)


def test_quota_holds_while_archives_are_stopped(tmp_path):
    async def scenario(deployment):
        await test_workspaces.configure(deployment, 2, A)
        await deployment.post('/reads/x', **{'Api-Key': 'key-a'})
        for name in ('archive-a', 'archive-b', 'archive-c'):
            await deployment.stop(name)
        statuses = [
            (await deployment.post('/reads/x', **{'Api-Key': 'key-a'}))[0]
            for _ in range(12)
        ]
        assert set(statuses) <= {200, 429}
        assert 429 in statuses
        assert statuses.count(200) <= 6

    routed_site.run(tmp_path, scenario)
