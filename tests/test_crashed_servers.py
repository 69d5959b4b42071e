"""Tests of requests that are in flight as servers crash."""

import asyncio

import pytest

from balsamdale import codec
from balsamdale import members
from tests import routed_site

CRASHES = 3
COMMON_INPUT = b'yes, please go on'
KEYS = ({'name': 'a', 'api_keys': ['ka']}, {'name': 'b', 'api_keys': ['kb']})


async def begin(deployment, service='plain'):
    """Let servers that close a connection count as crashed."""

    async def probe(_address):
        return 'refused'

    for name in ('entry-a', 'entry-b'):
        deployment.nodes[name].http_client.probe = probe
    return [n for n in deployment.servers if n.startswith(service)]


async def crash(deployment, names, number, send, count=1, service='plain'):
    """Send requests while servers crash, which then start again."""
    entries = [deployment.nodes[name] for name in ('entry-a', 'entry-b')]
    for name in names:
        deployment.servers[name].switches.drop = count
    answers = await send()
    await deployment.wait_until(
        lambda: all(not entry.crash_reports._checks for entry in entries)
    )
    for name in names:
        deployment.servers[name].switches.drop = 0
        address = entries[0].directory._servers[name].address
        deployment.register(name, service, address, born=number + 1)
    await deployment.wait_until(
        lambda: all(
            server.started_ms == number + 1
            for entry in entries
            for server in entry.directory
            if server.server_id in names
        )
    )
    return answers


async def quarantine(deployment, **headers):
    """Have a request crash servers until it is quarantined everywhere."""
    names = await begin(deployment)
    for number in range(CRASHES):
        status, _, _ = await crash(
            deployment,
            names,
            number,
            lambda: deployment.post('/alerts/x', b'poison', **headers),
        )
        assert status == 502
    await deployment.wait_until(
        lambda: all(
            deployment.nodes[name].quarantine.count_held(0.0)
            for name in ('entry-a', 'entry-b')
        )
    )


def test_common_input_of_other_programs_is_served_after_crashes(tmp_path):
    """That input of every program was refused until a restart."""

    async def scenario(deployment):
        async def send_turn(turn_id, parent=''):
            return await deployment.post(
                '/turns/x',
                COMMON_INPUT,
                **{
                    'X-Request-Id': turn_id,
                    'X-Program-Id': f'p{turn_id}',
                    'X-Token-Usage': '100,30',
                    **({'X-Previous-Turn': parent} if parent else {}),
                },
            )

        for number in range(CRASHES + 1):
            status, _, _ = await deployment.post_turn(f't{number}')
            assert status == 200
        names = await begin(deployment, 'engine')
        for number in range(CRASHES):
            status, _, _ = await crash(
                deployment,
                names,
                number,
                lambda n=number: send_turn(f'u{n}', f't{n}'),
                service='engines',
            )
            assert status == 502
        entry = deployment.nodes['entry-a']
        assert len(entry.quarantine) == CRASHES
        status, _, _ = await send_turn('last', f't{CRASHES}')
        assert status == 200

    routed_site.run(tmp_path, scenario)


def test_request_that_ran_at_another_server_is_no_suspect(tmp_path):
    """Reads that were repeated and served were refused after three crashes."""

    async def scenario(deployment):
        names = await begin(deployment)
        for number in range(2 * CRASHES):
            status, _, _ = await crash(
                deployment,
                names[:1],
                number,
                lambda: deployment.post('/reads/x', b'same'),
                count=2,
            )
            assert status == 200
        for name in ('entry-a', 'entry-b'):
            assert not len(deployment.nodes[name].quarantine)

    routed_site.run(tmp_path, scenario)


@pytest.mark.parametrize('name', ('entry-a', 'entry-b'))
def test_restarted_entry_refuses_what_the_others_refuse(tmp_path, name):
    """Each restarted entry let the request crash three more servers."""

    async def scenario(deployment):
        await quarantine(deployment)
        entry = deployment.nodes[name]
        addresses = {
            field: getattr(entry.settings, field)
            for field in (
                'entry_address',
                'ready_address',
                'registry_address',
                'link_address',
            )
        }
        await deployment.stop(name)
        entry = await deployment.start(name, 'entry', **addresses)
        await deployment.wait_until(
            lambda: deployment.is_up() and entry.crash_reports.news.is_informed
        )
        for _ in range(5):
            status, _, _ = await deployment.post(
                '/alerts/x', b'poison', entry=name
            )
            assert status == 503
        assert (await deployment.post('/alerts/x', b'sound'))[0] == 200

    routed_site.run(tmp_path, scenario)


@pytest.mark.parametrize('is_evicted', (True, False))
def test_entry_that_was_taken_for_dead_learns_what_it_missed(
    tmp_path, is_evicted
):
    """Nobody tells an instance that is not among the members."""

    async def scenario(deployment):
        known = deployment.nodes['entry-a'].quarantine
        entry = deployment.nodes['entry-b']
        await deployment.wait_until(
            lambda: entry.crash_reports.news.is_informed
        )
        for number in range(CRASHES):
            known.report('d', f's@{number}', entry.clocks.monotonic())
        key = members.registration_key('entry-b')
        if is_evicted:
            deployment.store.write(key, codec.encode(members.Evicted('x')))
        else:
            deployment.store.remove(key)
        await deployment.wait_until(
            lambda: entry.quarantine.is_suspected('d', 0.0)
        )

    routed_site.run(tmp_path, scenario)


def test_entry_that_was_suspended_learns_what_it_missed(tmp_path):
    """A suspended entry let the request crash three more servers."""

    async def scenario(deployment):
        known = deployment.nodes['entry-a'].quarantine
        entry = deployment.nodes['entry-b']
        await deployment.wait_until(
            lambda: entry.crash_reports.news.is_informed
        )
        for number in range(CRASHES):
            known.report('d', f's@{number}', entry.clocks.monotonic())
        entry.pauses.start(asyncio.get_running_loop().time() - 5.0)
        await deployment.wait_until(
            lambda: entry.quarantine.is_suspected('d', 0.0)
        )

    routed_site.run(tmp_path, scenario)


def test_quarantine_of_one_workspace_does_not_reach_another(tmp_path):
    """The same request of every caller was refused."""

    async def scenario(deployment):
        deployment.configure(2, routed_site.ROUTES, KEYS)
        await deployment.wait_until(
            lambda: all(
                deployment.nodes[name].table.version == 2
                for name in ('entry-a', 'entry-b')
            )
        )
        await quarantine(deployment, **{'Api-Key': 'ka'})
        for entry in ('entry-a', 'entry-b'):
            for key, expected in (('ka', 503), ('kb', 200)):
                status, _, _ = await deployment.post(
                    '/alerts/x', b'poison', entry, **{'Api-Key': key}
                )
                assert status == expected

    routed_site.run(tmp_path, scenario)
