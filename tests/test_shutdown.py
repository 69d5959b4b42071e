"""Tests of the steps of a shutdown."""

import asyncio

import pytest

from balsamdale import decisions
from balsamdale import shutdown


@pytest.fixture
def recorded(monkeypatch):
    """Return the decisions that are logged, with their fields."""
    lines = []
    monkeypatch.setattr(
        decisions,
        'record',
        lambda event, **fields: lines.append((event, fields)),
    )
    return lines


def run_steps(steps, duration_s):
    async def main():
        deadline_s = asyncio.get_running_loop().time() + duration_s
        return await shutdown.run_steps(steps, deadline_s)

    return asyncio.run(main())


def test_step_that_fails_keeps_no_other_from_being_carried_out(recorded):
    done = []

    def fail():
        raise ValueError('odd')

    async def fail_later():
        await asyncio.sleep(0)
        raise ValueError('late')

    async def succeed():
        await asyncio.sleep(0.01)
        done.append('a')

    steps = {
        'fails': fail,
        'fails_later': fail_later,
        'succeeds': succeed,
        'plain': lambda: done.append('b'),
    }
    assert run_steps(steps, 60.0)
    assert sorted(done) == ['a', 'b']
    assert [(e, f['step']) for e, f in recorded] == [
        ('stop_step_failed', 'fails'),
        ('stop_step_failed', 'fails_later'),
    ]
    assert 'fail_later' in recorded[1][1]['traceback']


def test_step_that_does_not_end_is_left_at_the_deadline(recorded):
    """Also one that does not end when it is cancelled."""
    may_end = asyncio.Event()

    async def persist():
        while not may_end.is_set():
            try:
                await may_end.wait()
            except asyncio.CancelledError:
                asyncio.get_running_loop().call_later(0.05, may_end.set)

    steps = {'persists': persist, 'plain': lambda: None}
    # A deadline that has passed already.
    assert not run_steps(steps, -1.0)
    assert recorded == [('stop_step_unfinished', {'step': 'persists'})]


def test_task_that_does_not_end_is_logged_and_left(recorded):
    """The process ends although a task goes on when it is cancelled."""

    async def persist():
        while True:
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                if may_end.is_set():
                    raise

    async def main():
        tasks = [asyncio.create_task(persist()) for _ in range(2)]
        tasks.append(asyncio.create_task(asyncio.sleep(3600)))
        await asyncio.sleep(0)
        await shutdown.cancel_tasks(asyncio.get_running_loop().time())
        assert [task.done() for task in tasks] == [False, False, True]
        may_end.set()

    may_end = asyncio.Event()
    asyncio.run(main())
    assert [event for event, _ in recorded] == ['task_unfinished'] * 2
    assert 'persist' in recorded[0][1]['task']
