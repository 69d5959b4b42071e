"""Tests of the whole path with real processes."""

import asyncio

import aiohttp
import pytest

from harness import fleet


@pytest.fixture
def serve(tmp_path):
    """Run a scenario against a fleet of real processes."""

    def run(scenario, example='pollenwacht', **sizes):
        async def go():
            running = fleet.Fleet(tmp_path, example, **sizes)
            try:
                await running.start()
                await scenario(running)
            finally:
                await running.close()

        asyncio.run(go())

    return run


def test_bad_input_is_refused_and_changes_nothing(serve):
    async def post(running, path, body, **headers):
        url = f'http://{running.entry_addresses()[0]}{path}'
        headers = {key.replace('_', '-'): v for key, v in headers.items()}
        async with running.session.post(
            url, data=body, headers=headers
        ) as response:
            problem = await response.json(content_type=None)
            return response.status, problem['code'], problem['ran']

    async def scenario(running):
        caller = running.caller('c')
        await caller.create('p', 'follow-up')
        path = '/v1/programs/p/turns'
        known = {'X_Caller': 'c', 'Idempotency_Key': 'k'}
        cases = [
            (path, '{"text": 1}', known, (422, 'bad_body', 'no')),
            (path, '{"tex": "x"}', known, (422, 'bad_body', 'no')),
            (path, 'x' * 300000, known, (413, 'body_too_large', 'no')),
            (path, '{"text": "x"}', {}, (400, 'no_caller', 'no')),
            (
                path,
                '{"text": "x"}',
                {'X_Caller': 'c'},
                (400, 'no_idempotency_key', 'no'),
            ),
            (
                path,
                '{"text": "x"}',
                {**known, 'X_Caller': 'd'},
                (403, 'wrong_caller', 'no'),
            ),
            (
                '/v1/programs/q/turns',
                '{"text": "x"}',
                known,
                (404, 'unknown_program', 'no'),
            ),
            (
                '/v1/services/none/requests',
                'x',
                known,
                (404, 'unknown_service', 'no'),
            ),
        ]
        for where, body, headers, expected in cases:
            assert await post(running, where, body, **headers) == expected
        assert (await caller.turn('p', 'k', 'one')).code == 'ok'
        assert (await caller.turn('p', 'k', 'two')).code == 'request_id_reused'
        assert len((await caller.view('p'))['turns']) == 1

    serve(scenario, instances=3)


def test_a_program_goes_on_when_its_owner_is_killed(serve):
    async def scenario(running):
        caller = running.caller('c')
        await caller.create('p', 'follow-up')
        first = await caller.turn('p', 't0', 'Read the pollen counts')
        owner = (await caller.view('p'))['owner_id']
        for server in running.declaration.servers_of('forecast'):
            await running.set_switches(server.name, decode_s_per_token=0.05)
        going = asyncio.create_task(caller.turn('p', 't1', 'And tomorrow?'))
        await asyncio.sleep(0.5)
        running.kill_instance(owner)
        second = await asyncio.wait_for(going, 20)
        view = await caller.view('p')
        assert (first.code, second.code) == ('ok', 'ok')
        assert [turn['answer'] for turn in view['turns']] == [
            first.text,
            second.text,
        ]
        assert view['owner_id'] != owner and view['epoch'] == 2

    serve(scenario)


def test_readiness_and_metrics_are_served(serve):
    async def scenario(running):
        async with aiohttp.ClientSession() as session:
            url = f'http://{running.entry_addresses()[0]}'
            async with session.get(f'{url}/readyz') as response:
                assert response.status == 200
        assert await running.fetch_metric('entry-1', 'balsamdale_live') == 3
        assert await running.stop() == [0, 0, 0]

    serve(scenario, instances=3)
