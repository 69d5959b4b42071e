"""Tests of API keys and of what belongs to a workspace."""

from tests import routed_site

PUBLIC = {
    **routed_site.ROUTES[1],
    'name': 'open',
    'path_prefix': '/open/',
    'public': True,
}
A = {'name': 'a', 'api_keys': ['key-a', 'key-2']}
B = {'name': 'b', 'api_keys': ['key-b']}


async def configure(deployment, version, *workspaces):
    routes = [*routed_site.ROUTES, PUBLIC]
    deployment.configure(version, routes, workspaces)
    await deployment.wait_until(
        lambda: all(
            deployment.nodes[name].table.version == version
            for name in ('entry-a', 'entry-b')
        )
    )


def headers(key):
    return {'Api-Key': key, 'X-Tenant': 'forged'}


def test_key_decides_the_workspace_that_servers_are_told(tmp_path):
    async def scenario(deployment):
        await configure(deployment, 2, A, B)
        for path, key, request_id, status, workspace in (
            ('/reads/x', 'key-2', 'r1', 200, 'a'),
            ('/reads/x', 'key-b', 'r2', 200, 'b'),
            ('/reads/x', 'key-c', 'r3', 401, None),
            ('/reads/x', '', 'r4', 401, None),
            ('/open/x', 'key-c', 'r5', 200, None),
        ):
            response = await deployment.post(
                path, **headers(key), **{'X-Request-Id': request_id}
            )
            assert response[0] == status
            assert deployment.run_count(request_id) == (status == 200)
            for server in deployment.servers.values():
                sent = server.headers.get(request_id)
                if sent is not None:
                    assert sent.get('X-Tenant') == workspace
                    assert 'Api-Key' not in sent

    routed_site.run(tmp_path, scenario)


def test_revoked_key_is_refused_on_an_open_connection(tmp_path):
    async def scenario(deployment):
        await configure(deployment, 2, A, B)
        assert (await deployment.post('/reads/x', **headers('key-a')))[0] == (
            200
        )
        await configure(deployment, 3, {**A, 'api_keys': ['key-2']}, B)
        assert (await deployment.post('/reads/x', **headers('key-a')))[0] == (
            401
        )
        assert (await deployment.post('/reads/x', **headers('key-2')))[0] == (
            200
        )

    routed_site.run(tmp_path, scenario)


def test_request_that_is_repeated_does_not_outlive_its_key(tmp_path):
    async def scenario(deployment):
        await configure(deployment, 2, A)
        for server in deployment.servers.values():
            server.switches.refuse = 1
        entry = deployment.nodes['entry-a']
        send = entry.http_client.send

        def send_and_revoke(*args):
            entry.table = revoked_table
            return send(*args)

        table = entry.table
        await configure(deployment, 3, {**A, 'api_keys': []})
        revoked_table, entry.table = entry.table, table
        entry.http_client.send = send_and_revoke
        response = await deployment.post(
            '/reads/x', **headers('key-a'), **{'X-Request-Id': 'r1'}
        )
        assert response[0] == 401
        assert deployment.run_count('r1') == 0

    routed_site.run(tmp_path, scenario)


def test_turns_and_budgets_belong_to_their_workspace(tmp_path):
    async def scenario(deployment):
        await configure(deployment, 2, A, B)
        for turn_id, parent, key, entry, status in (
            ('t1', '', 'key-a', 'entry-a', 200),
            ('t2', 't1', 'key-2', 'entry-b', 200),
            ('t3', 't1', 'key-b', 'entry-a', 404),
            ('t4', '1:a:t1', 'key-b', 'entry-a', 404),
            # The same program id in another workspace has its own account.
            ('t5', '', 'key-b', 'entry-a', 200),
            ('t6', '', 'key-a', 'entry-a', 402),
        ):
            response = await deployment.post_turn(
                turn_id, parent, budget=70, entry=entry, **headers(key)
            )
            assert (turn_id, response[0]) == (turn_id, status)

    routed_site.run(tmp_path, scenario)


def test_no_key_is_asked_for_before_a_configuration_is_read(tmp_path):
    async def scenario(deployment):
        deployment.nodes['entry-b'].table = None
        assert (await deployment.post('/reads/x', entry='entry-b'))[0] == 503

    routed_site.run(tmp_path, scenario)
