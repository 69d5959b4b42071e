"""Tests of the operators' commands against real processes."""

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

TUTORIAL = pathlib.Path(__file__).parent.parent / 'docs' / 'tutorial.md'


def test_two_operators_race_and_the_loser_is_told(tmp_path):
    async def scenario(running):
        entry = running.entry_addresses()[0]
        other = running.entry_addresses()[1]

        async def call(function, *args):
            return await asyncio.to_thread(function, *args)

        first = await call(
            porcelain.plan, entry, 'anke', 'drain-server', 'forecast-1'
        )
        second = await call(
            porcelain.plan, other, 'budi', 'budget', 'briefing', '50000'
        )
        done = await call(porcelain.confirm, entry, 'anke', first['plan_id'])
        with pytest.raises(errors.Refused) as caught:
            await call(porcelain.confirm, other, 'budi', second['plan_id'])
        assert caught.value.code == 'plan_outdated'
        assert 'anke confirmed "drain backend' in caught.value.detail
        again = await call(porcelain.confirm, entry, 'anke', first['plan_id'])
        assert again['revision'] == done['revision']
        await asyncio.sleep(4)
        state = await call(porcelain.status, other)
        assert state['revision_in_force'] == done['revision']
        assert state['leaving_servers'] == ['forecast-1']
        undo = await call(porcelain.plan, other, 'budi', 'undo')
        await call(porcelain.confirm, other, 'budi', undo['plan_id'])
        await asyncio.sleep(4)
        state = await call(porcelain.status, entry)
        assert state['leaving_servers'] == []

    _with_fleet(tmp_path, scenario)


def test_the_tutorial_runs(tmp_path):
    """Run each shell block of the tutorial and compare what is stable."""

    async def scenario(running):
        caller = running.caller('ouder-leuven')
        await caller.create('parent-follow-up', 'follow-up')
        await caller.turn('parent-follow-up', 't', 'Read the pollen counts')
        environment = {
            **os.environ,
            'BALSAMDALE_ENTRY': running.entry_addresses()[0],
            'BALSAMDALE_OPERATOR': 'anke',
        }
        plan_id = ''
        for command in _commands():
            words = shlex.split(command.replace('PLAN', plan_id))
            done = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, '-m', 'balsamdale.cli', *words[1:]],
                capture_output=True,
                text=True,
                env=environment,
                cwd=TUTORIAL.parent.parent,
            )
            assert done.returncode == 0, (command, done.stderr)
            if done.stdout.startswith('PLAN '):
                plan_id = done.stdout.split()[1].rstrip(':')

    _with_fleet(tmp_path, scenario)


def _commands():
    blocks = TUTORIAL.read_text().split('```sh\n')[1:]
    for block in blocks:
        for line in block.partition('```')[0].splitlines():
            if line.startswith('balsamdale '):
                yield line


def _with_fleet(tmp_path, scenario):
    async def go():
        running = fleet.Fleet(tmp_path, 'pollenwacht', instances=3)
        try:
            await running.start()
            await scenario(running)
        finally:
            await running.close()

    asyncio.run(go())
