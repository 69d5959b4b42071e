"""Tests of the wait for open requests in a planned stop."""

import asyncio
import time

from balsamdale import drain
from balsamdale import planned_stop


def run(started_s, answers):
    """Wait in a stop with a minute of grace; return what was not asked."""
    left = list(answers)

    async def main():
        now_s = asyncio.get_running_loop().time()
        stop = planned_stop.PlannedStop(now_s + started_s, 60.0)
        await drain.wait(stop, lambda: left.pop(0))

    asyncio.run(main())
    return left


def test_drain_ends_once_nothing_is_open():
    assert run(0.0, [False, False, True, True]) == [True]


def test_drain_that_begins_too_late_looks_twice():
    """Guards against giving up what arrived while the loop was held up."""
    assert run(-99.0, [False, True, True]) == [True]
    assert run(-99.0, [False, False, True]) == [True]


def test_drain_looks_only_after_other_tasks_have_run():
    """Guards against connections that are not known yet."""
    order = []

    async def main():
        asyncio.get_running_loop().call_soon(order.append, 'other')
        stop = planned_stop.PlannedStop(time.monotonic(), 60.0)
        await drain.wait(stop, lambda: order.append('asked') or True)

    asyncio.run(main())
    assert order == ['other', 'asked']
