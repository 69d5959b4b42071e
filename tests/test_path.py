"""End-to-end tests with real processes."""

import asyncio

import aiohttp
import pytest

from harness import fleet


@pytest.fixture
def serve(tmp_path):
    """Run a scenario against a fleet of real processes."""

    def run(scenario, example='pollenwacht', **fleet_options):
        async def run_scenario():
            running_fleet = fleet.Fleet(tmp_path, example, **fleet_options)
            try:
                await running_fleet.start()
                await scenario(running_fleet)
            finally:
                await running_fleet.close()

        asyncio.run(run_scenario())

    return run


def test_bad_input_is_refused_and_changes_nothing(serve):
    async def post(running_fleet, path, body, **headers):
        url = f'http://{running_fleet.entry_addresses()[0]}{path}'
        headers = {
            name.replace('_', '-'): value for name, value in headers.items()
        }
        async with running_fleet.session.post(
            url, data=body, headers=headers
        ) as response:
            problem = await response.json(content_type=None)
            return response.status, problem['code'], problem['ran']

    async def scenario(running_fleet):
        caller = running_fleet.caller('c')
        await caller.create('p', 'follow-up')
        path = '/v1/programs/p/turns'
        valid_headers = {'X_Caller': 'c', 'Idempotency_Key': 'k'}
        cases = [
            (path, '{"text": 1}', valid_headers, (422, 'bad_body', 'no')),
            (path, '{"tex": "x"}', valid_headers, (422, 'bad_body', 'no')),
            (path, 'x' * 300000, valid_headers, (413, 'body_too_large', 'no')),
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
                {**valid_headers, 'X_Caller': 'd'},
                (403, 'wrong_caller', 'no'),
            ),
            (
                '/v1/programs/q/turns',
                '{"text": "x"}',
                valid_headers,
                (404, 'unknown_program', 'no'),
            ),
            (
                '/v1/services/none/requests',
                'x',
                valid_headers,
                (404, 'unknown_service', 'no'),
            ),
        ]
        for request_path, body, headers, expected in cases:
            assert (
                await post(running_fleet, request_path, body, **headers)
                == expected
            )
        assert (await caller.turn('p', 'k', 'one')).code == 'ok'
        assert (await caller.turn('p', 'k', 'two')).code == 'request_id_reused'
        assert len((await caller.view('p'))['turns']) == 1

    serve(scenario, instances=3)


def test_a_program_goes_on_when_its_owner_is_killed(serve):
    async def scenario(running_fleet):
        caller = running_fleet.caller('c')
        await caller.create('p', 'follow-up')
        first_turn = await caller.turn('p', 't0', 'Read the pollen counts')
        owner_id = (await caller.view('p'))['owner_id']
        for server in running_fleet.declaration.servers_of('forecast'):
            await running_fleet.set_switches(
                server.name, decode_s_per_token=0.05
            )
        turn_task = asyncio.create_task(
            caller.turn('p', 't1', 'And tomorrow?')
        )
        await asyncio.sleep(0.5)
        running_fleet.kill_instance(owner_id)
        second_turn = await asyncio.wait_for(turn_task, 20)
        view = await caller.view('p')
        assert (first_turn.code, second_turn.code) == ('ok', 'ok')
        assert [turn['answer'] for turn in view['turns']] == [
            first_turn.text,
            second_turn.text,
        ]
        assert view['owner_id'] != owner_id and view['epoch'] == 2

    serve(scenario)


def test_readiness_and_metrics_are_served(serve):
    async def scenario(running_fleet):
        async with aiohttp.ClientSession() as session:
            url = f'http://{running_fleet.entry_addresses()[0]}'
            async with session.get(f'{url}/readyz') as response:
                assert response.status == 200
        assert (
            await running_fleet.fetch_metric('entry-1', 'balsamdale_live') == 3
        )
        assert await running_fleet.stop() == [0, 0, 0]

    serve(scenario, instances=3)
