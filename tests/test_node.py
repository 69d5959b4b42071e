"""Tests of the whole path: entries, archives, servers and a store."""

import asyncio
import base64
import json

import aiohttp
import pytest

from balsamdale import discovery
from balsamdale import members
from balsamdale import replica_set
from tests import routed_site


def test_requests_go_to_the_service_of_their_route(tmp_path):
    async def scenario(site):
        status, body, headers = await site.post('/reads/x', b'1')
        assert (status, body) == (200, b'done 1')
        assert headers['X-Server-Seal']
        assert 'X-Server-Load' not in headers
        assert (await site.post('/nowhere/x'))[0] == 404
        status, _, _ = await site.post('/reads/x', **{'X-Request-Id': ''})
        assert status == 400

    routed_site.run(tmp_path, scenario)


def test_turns_are_rebuilt_byte_for_byte_on_any_instance(tmp_path):
    async def scenario(site):
        status, body, _ = await site.turn('t1')
        assert status == 200
        assert body.count(b'data:') == 3
        await site.turn('t2', 't1', entry='entry-b')
        await site.turn('t3', 't2')
        prompt = b'[t1]e1-4\ne2-4\ne3-4\n'
        assert site.prompt('t2') == prompt + b'[t2]'
        prompt += b'[t2]e1-23\ne2-23\ne3-23\n'
        assert site.prompt('t3') == prompt + b'[t3]'
        assert (await site.turn('t4', 'unknown'))[0] == 404

    routed_site.run(tmp_path, scenario)


def test_callers_of_an_instance_that_starts_come_back_at_once(tmp_path):
    async def scenario(site):
        site.nodes['entry-b'].table = None
        status, _, headers = await site.post('/reads/x', entry='entry-b')
        assert status == 503
        assert float(headers['Retry-After']) <= 0.1

    routed_site.run(tmp_path, scenario)


def test_servers_that_lapse_behind_a_parked_watch_are_kept(tmp_path):
    async def scenario(site):
        site.store.switches.refuse_status = 503
        await asyncio.sleep(members.LEASE_RENEWAL_INTERVAL_S + 0.5)
        for name in site.servers:
            site.store.remove(f'servers/{name}')
        await asyncio.sleep(0.3)
        assert (await site.post('/reads/x'))[0] == 200
        site.store.switches.refuse_status = 0
        entry = site.nodes['entry-a']
        await site.wait(lambda: entry.follower.is_connected)
        await asyncio.sleep(discovery.REREGISTRATION_GRACE_S / 2)
        assert (await site.post('/reads/x'))[0] == 200
        await asyncio.sleep(discovery.REREGISTRATION_GRACE_S)
        assert (await site.post('/reads/x'))[0] == 503

    routed_site.run(tmp_path, scenario)


def test_budget_holds_over_instances(tmp_path):
    async def scenario(site):
        assert (await site.turn('t1', budget=70))[0] == 200
        assert (await site.turn('t2', 't1', budget=70))[0] == 200
        status, _, _ = await site.turn('t3', 't2', budget=70, entry='entry-b')
        assert status == 402
        assert site.ran('t3') == 0

    routed_site.run(tmp_path, scenario)


def test_turns_survive_lost_archives(tmp_path):
    async def scenario(site):
        await site.turn('t1')
        await site.stop('archive-a')
        assert (await site.turn('t2', 't1', entry='entry-b'))[0] == 200
        await site.start('archive-d', 'archive')
        new = site.nodes['archive-d']
        names = {'archive-b', 'archive-c', 'archive-d'}
        entry = site.nodes['entry-a']
        await site.wait(lambda: entry.replica_set.names() == names)
        assert new.archive.find('t1') is not None
        assert new.archive.find('t2') is not None

    routed_site.run(tmp_path, scenario)


def test_archive_that_is_away_stays_in_the_set(tmp_path):
    async def scenario(site):
        await site.stop('archive-a')
        await asyncio.sleep(replica_set.LOSS_TIMEOUT_S + 3.0)
        assert len(site.nodes['entry-a'].replica_set.names()) == 3
        await site.turn('t1')
        await site.start('archive-a', 'archive')
        again = site.nodes['archive-a']
        assert again.archive.is_in_sync

    routed_site.run(tmp_path, scenario)


def test_archive_is_emptied_on_request(tmp_path):
    async def scenario(site):
        await site.turn('t1')
        site.store.write('op/retire/archive-a', b'{"duration_s": 10}')
        key = 'status/retire/archive-a'

        def is_done():
            item = site.store._items.get(key)
            return item is not None and b'completed' in _value(item)

        await site.wait(is_done)
        held = [
            site.nodes[name].archive.find('t1')
            for name in ('archive-b', 'archive-c')
        ]
        assert None not in held
        entry = site.nodes['entry-a']
        names = {'archive-b', 'archive-c'}
        await site.wait(lambda: entry.replica_set.names() == names)
        assert (await site.turn('t2', 't1'))[0] == 200

    routed_site.run(tmp_path, scenario)


def test_answer_ends_only_once_its_turn_is_kept(tmp_path):
    async def scenario(site):
        for name in ('archive-a', 'archive-b'):
            await site.stop(name)
        with pytest.raises(aiohttp.ClientPayloadError):
            await site.turn('t1')
        assert site.ran('t1') == 1

    routed_site.run(tmp_path, scenario)


def test_request_that_may_not_repeat_is_sent_once(tmp_path):
    async def scenario(site):
        for server in site.servers.values():
            server.switches.drop = 1
        status, _, _ = await site.post('/alerts/x', **{'X-Request-Id': 'a1'})
        assert status == 502
        assert site.ran('a1') == 1
        for server in site.servers.values():
            server.switches.drop = 0
        site.servers['plain-1'].switches.drop = 1
        site.servers['plain-2'].switches.drop = 0
        status, _, _ = await site.post('/reads/x')
        assert status == 200

    routed_site.run(tmp_path, scenario)


def test_request_that_may_have_run_is_not_refused_as_unrun(tmp_path):
    async def scenario(site):
        for server in site.servers.values():
            server.switches.drop = 10
        status, _, headers = await site.post('/reads/x')
        assert status == 502
        assert 'Retry-After' not in headers
        site.servers['plain-1'].switches.refuse = 10
        status, _, _ = await site.post('/reads/x')
        assert status == 502

    routed_site.run(tmp_path, scenario)


def test_request_that_did_not_run_goes_elsewhere(tmp_path):
    async def scenario(site):
        site.servers['plain-1'].switches.refuse = 1
        site.servers['plain-2'].switches.refuse = 1
        first = await site.post('/alerts/x')
        second = await site.post('/alerts/x')
        assert {first[0], second[0]} <= {200, 503}
        assert second[0] == 200
        for server in site.servers.values():
            server.switches.refuse = 10
        status, _, headers = await site.post(
            '/alerts/x', **{'X-Request-Id': 'a3'}
        )
        assert status == 503
        assert float(headers['Retry-After']) > 0
        assert site.ran('a3') == 0

    routed_site.run(tmp_path, scenario)


def test_broken_stream_does_not_look_whole(tmp_path):
    async def scenario(site):
        for server in site.servers.values():
            server.switches.break_after = 2
        with pytest.raises(aiohttp.ClientError):
            await site.turn('t1')
        for server in site.servers.values():
            server.switches.break_after = 0
        assert (await site.turn('t2', 't1'))[0] == 404

    routed_site.run(tmp_path, scenario)


def test_caller_that_leaves_ends_the_work(tmp_path):
    async def scenario(site):
        for server in site.servers.values():
            server.switches.event_gap_s = 5.0
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                await site.turn('t1')
        engines = [site.servers[n] for n in ('engine-1', 'engine-2')]
        await site.wait(lambda: not any(e.running for e in engines))
        assert sum(engine.cancelled for engine in engines) == 1

    routed_site.run(tmp_path, scenario)


def test_route_times_out(tmp_path):
    async def scenario(site):
        for server in site.servers.values():
            server.switches.delay_s = 5.0
        status, _, headers = await site.post('/reads/x')
        assert status == 504
        assert 'Retry-After' not in headers

    routed_site.run(tmp_path, scenario)


def test_silent_server_that_is_gone_is_given_up(tmp_path):
    async def scenario(site):
        entry = site.nodes['entry-a']
        for server in site.servers.values():
            server.switches.delay_s = 30.0

        async def is_reachable(_address):
            return False

        waiting = asyncio.create_task(site.post('/alerts/x'))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        entry.http_client.is_reachable = is_reachable
        status, _, _ = await waiting
        assert status == 502
        assert entry.handler.outcome_counts['broken'] == 1

    routed_site.run(tmp_path, scenario)


def test_silent_server_that_takes_connections_is_waited_for(tmp_path):
    async def scenario(site):
        for server in site.servers.values():
            server.switches.delay_s = 0.8
        assert (await site.post('/alerts/x'))[0] == 200

    routed_site.run(tmp_path, scenario)


def test_request_that_crashes_servers_is_stopped_everywhere(tmp_path):
    async def scenario(site):
        entries = [site.nodes[name] for name in ('entry-a', 'entry-b')]

        async def is_reachable(_address):
            return False

        for number in range(3):
            entries[0].http_client.is_reachable = is_reachable
            for server in site.servers.values():
                server.switches.drop = 1
            assert (await site.post('/alerts/x', b'poison'))[0] == 502
            reports = entries[1].quarantine.reports
            await site.wait(lambda n=number: len(list(reports())) > n)
            for server in list(site.servers):
                address = _address(site, server)
                name = f'{server}-{number}'
                site.store.remove(f'servers/{server}')
                site.servers[name] = site.servers.pop(server)
                site.servers[name].server_id = name
                service = 'plain' if 'plain' in name else 'engines'
                site.register(name, service, address)
            await site.wait(
                lambda n=number: all(
                    s.server_id.endswith(f'-{n}')
                    for s in entries[0].directory.ready('plain')
                )
            )
        for server in site.servers.values():
            server.switches.drop = 0
        for entry in ('entry-a', 'entry-b'):
            found = await site.post('/alerts/x', b'poison', entry=entry)
            assert found[0] == 503
        assert (await site.post('/alerts/x', b'sound'))[0] == 200

    routed_site.run(tmp_path, scenario)


def test_newer_configuration_comes_into_force_and_older_does_not(tmp_path):
    async def scenario(site):
        entry = site.nodes['entry-a']
        site.configure(7, routed_site.ROUTES[:1])
        await site.wait(lambda: entry.table.version == 7)
        assert (await site.post('/reads/x'))[0] == 404
        site.configure(5, routed_site.ROUTES)
        site.store.write('op/config', b'not readable')
        await asyncio.sleep(0.2)
        assert entry.table.version == 7

    routed_site.run(tmp_path, scenario)


def test_draining_server_takes_no_new_work(tmp_path):
    async def scenario(site):
        directory = site.nodes['entry-a'].directory
        address = directory.ready('plain')[0].address
        name = directory.ready('plain')[0].server_id
        site.register(name, 'plain', address, state='draining')
        await site.wait(lambda: len(directory.ready('plain')) == 1)
        site.store.write('servers/odd', b'\xff')
        for _ in range(4):
            assert (await site.post('/reads/x'))[0] == 200
        assert not site.servers[name].runs

    routed_site.run(tmp_path, scenario)


def test_server_removed_after_an_outage_is_dropped_at_once(tmp_path):
    async def scenario(site):
        entry = site.nodes['entry-a']
        site.store.switches.reset = True
        await site.wait(lambda: not entry.follower.is_connected)
        site.store.remove('servers/plain-1')
        site.store.switches.reset = False
        await site.wait(lambda: entry.follower.is_connected)
        await asyncio.sleep(0.2)
        names = {s.server_id for s in entry.directory.ready('plain')}
        assert names == {'plain-1', 'plain-2'}
        site.store.remove('servers/plain-2')
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        await site.wait(lambda: len(entry.directory.ready('plain')) == 1)
        assert entry.directory.ready('plain')[0].server_id == 'plain-1'
        assert loop.time() - start_s < discovery.REREGISTRATION_GRACE_S
        await site.wait(lambda: not entry.directory.ready('plain'))

    routed_site.run(tmp_path, scenario)


def test_reused_address_does_not_run_the_request(tmp_path):
    async def scenario(site):
        directory = site.nodes['entry-a'].directory
        address = directory.ready('plain')[0].address
        site.store.remove('servers/plain-1')
        site.store.remove('servers/plain-2')
        site.register('gone', 'plain', address)
        await site.wait(
            lambda: [s.server_id for s in directory.ready('plain')] == ['gone']
        )
        status, _, _ = await site.post('/alerts/x')
        assert status == 503
        assert not any(server.runs for server in site.servers.values())

    routed_site.run(tmp_path, scenario)


def test_registry_and_readiness_follow_a_planned_stop(tmp_path):
    async def scenario(site):
        leaving = site.nodes['entry-b'].settings
        staying = site.nodes['entry-a'].settings
        ready = f'http://{leaving.ready_address}/api/readyz'
        registry = (
            f'http://{staying.registry_address}/api/resolve'
            '?name=h.example&region=r&zone=z'
        )
        async with site.client.get(ready) as response:
            assert response.status == 200
        async with site.client.get(registry) as response:
            answer = json.loads(await response.read())
        assert len(answer['addresses']) == 2
        stopping = asyncio.create_task(site.nodes['entry-b'].leave())
        await asyncio.sleep(0.1)
        async with site.client.get(ready) as response:
            assert response.status == 503
        status, _, headers = await site.post('/reads/x', entry='entry-b')
        assert status == 200
        assert headers['Connection'] == 'close'
        await stopping
        async with site.client.get(registry) as response:
            answer = json.loads(await response.read())
        assert answer['addresses'] == [staying.entry_address]

    routed_site.run(tmp_path, scenario)


def test_service_goes_on_while_the_store_is_away(tmp_path):
    async def scenario(site):
        site.store.switches.reset = True
        site.store.lapse()
        await asyncio.sleep(0.5)
        assert (await site.turn('t1'))[0] == 200
        assert (await site.turn('t2', 't1', entry='entry-b'))[0] == 200
        site.store.switches.reset = False
        await site.wait(
            lambda: (
                len([k for k in site.store.keys() if 'instances' in k]) == 5
            )
        )
        assert (await site.turn('t3', 't2'))[0] == 200

    routed_site.run(tmp_path, scenario)


def _value(item):
    return base64.b64decode(item['value'])


def _address(site, server_id):
    item = site.store._items[f'servers/{server_id}']
    return json.loads(_value(item))['address']
