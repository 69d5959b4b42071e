"""Tests of the operator commands against real processes."""

import asyncio
import os
import pathlib
import shlex
import subprocess
import sys

import pytest

from balsamdale import errors
from balsamdale import porcelain
from harness import fleet
from tests.raw_server import RawServer

TUTORIAL = pathlib.Path(__file__).parent.parent / 'docs' / 'tutorial.md'


def test_two_operators_race_and_the_loser_is_told(tmp_path):
    async def scenario(running_fleet):
        first_entry = running_fleet.entry_addresses()[0]
        second_entry = running_fleet.entry_addresses()[1]

        async def call_in_thread(function, *args):
            return await asyncio.to_thread(function, *args)

        first_plan = await call_in_thread(
            porcelain.plan, first_entry, 'anke', 'drain-server', 'forecast-1'
        )
        second_plan = await call_in_thread(
            porcelain.plan, second_entry, 'budi', 'budget', 'briefing', '50000'
        )
        accepted = await call_in_thread(
            porcelain.confirm, first_entry, 'anke', first_plan['plan_id']
        )
        with pytest.raises(errors.Refused) as caught:
            await call_in_thread(
                porcelain.confirm, second_entry, 'budi', second_plan['plan_id']
            )
        assert caught.value.code == 'plan_outdated'
        assert 'anke confirmed "drain backend' in caught.value.detail
        accepted_again = await call_in_thread(
            porcelain.confirm, first_entry, 'anke', first_plan['plan_id']
        )
        assert accepted_again['revision'] == accepted['revision']
        await asyncio.sleep(4)
        deployment_status = await call_in_thread(
            porcelain.status, second_entry
        )
        assert deployment_status['revision_in_force'] == accepted['revision']
        assert deployment_status['leaving_servers'] == ['forecast-1']
        undo_plan = await call_in_thread(
            porcelain.plan, second_entry, 'budi', 'undo'
        )
        await call_in_thread(
            porcelain.confirm, second_entry, 'budi', undo_plan['plan_id']
        )
        await asyncio.sleep(4)
        deployment_status = await call_in_thread(porcelain.status, first_entry)
        assert deployment_status['leaving_servers'] == []

    _run_with_fleet(tmp_path, scenario)


def test_the_tutorial_runs(tmp_path):
    """Run each `balsamdale` command of the tutorial; all must succeed."""

    async def scenario(running_fleet):
        caller = running_fleet.caller('ouder-leuven')
        await caller.create('parent-follow-up', 'follow-up')
        await caller.turn('parent-follow-up', 't', 'Read the pollen counts')
        environment = {
            **os.environ,
            'BALSAMDALE_ENTRY': running_fleet.entry_addresses()[0],
            'BALSAMDALE_OPERATOR': 'anke',
        }
        plan_id = ''
        for command in _read_tutorial_commands():
            arguments = shlex.split(command.replace('PLAN', plan_id))
            completed = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, '-m', 'balsamdale.cli', *arguments[1:]],
                capture_output=True,
                text=True,
                env=environment,
                cwd=TUTORIAL.parent.parent,
            )
            assert completed.returncode == 0, (command, completed.stderr)
            if completed.stdout.startswith('PLAN '):
                plan_id = completed.stdout.split()[1].rstrip(':')

    _run_with_fleet(tmp_path, scenario)


def _read_tutorial_commands():
    blocks = TUTORIAL.read_text().split('```sh\n')[1:]
    for block in blocks:
        for line in block.partition('```')[0].splitlines():
            if line.startswith('balsamdale '):
                yield line


def _run_with_fleet(tmp_path, scenario):
    async def run_scenario():
        running_fleet = fleet.Fleet(tmp_path, 'pollenwacht', instances=3)
        try:
            await running_fleet.start()
            await scenario(running_fleet)
        finally:
            await running_fleet.close()

    asyncio.run(run_scenario())


@pytest.mark.parametrize(
    'reply',
    [
        '200 OK\r\n\r\n{"programs": []}<reset>',
        '200 OK\r\n\r\n{"programs": [<end>',
        '200 OK\r\n\r\n[]<end>',
        '503 No\r\n\r\n{"code": "not_ready"}<end>',
        '503 No\r\n\r\n<html><end>',
    ],
)
def test_reply_that_is_cut_or_malformed_is_a_clear_error(reply):
    async def scenario():
        async with RawServer(f'HTTP/1.1 {reply}') as raw_server:
            with pytest.raises(errors.Refused) as caught:
                await asyncio.to_thread(porcelain.programs, raw_server.address)
            assert caught.value.ran == 'unknown'
            assert raw_server.address in str(caught.value)

    asyncio.run(scenario())
