"""Tests of the deadlines that a process sets for the parts of its stop."""

import asyncio
import os
import signal

import pytest

from balsamdale import node
from balsamdale import node_settings
from balsamdale import planned_stop


class StoppingNode:
    """An instance that leaves as soon as it has started."""

    def __init__(self, *_):
        self.closed_by_s = 0.0

    async def start(self):
        os.kill(os.getpid(), signal.SIGTERM)

    async def leave(self):
        """Leave at once."""

    async def close(self, deadline_s):
        """Record until when the close may last."""
        StoppingNode.closed_by_s = deadline_s


class Log:
    """A decision log that writes nothing."""

    async def run(self):
        """Return at once."""


@pytest.mark.parametrize('grace_s', [0.5, 1.0, 2.0, 3.0, 3.6, 6.0, 8.0, 60.0])
def test_parts_of_a_stop_get_the_time_that_an_entry_uses(monkeypatch, grace_s):
    """Guards against ending a drain or a close before its own end."""
    deadlines_s = {}

    async def run_steps(steps, deadline_s):
        deadlines_s.update(dict.fromkeys(steps, deadline_s))

    async def cancel_tasks(deadline_s):
        deadlines_s['tasks'] = deadline_s

    monkeypatch.setattr(node.shutdown, 'run_steps', run_steps)
    monkeypatch.setattr(node.shutdown, 'cancel_tasks', cancel_tasks)
    settings = node_settings.NodeSettings(
        instance_id='entry-a',
        role='entry',
        failure_domain='a',
        link_address='127.0.0.1:1',
        key_value_address='127.0.0.1:2',
        grace_s=grace_s,
    )
    before_s = asyncio.run(_loop_time_s())
    written_by_s = asyncio.run(
        node._run(settings, None, StoppingNode, Log(), '')
    )
    reserve_s = planned_stop.close_reserve_s(grace_s)
    closed_by_s = StoppingNode.closed_by_s
    # The signal is the same moment for all of them.
    killed_at_s = deadlines_s['leave'] + reserve_s / 2
    stop = planned_stop.PlannedStop(killed_at_s - grace_s, grace_s)
    assert stop.started_s >= before_s
    assert stop.ends_s < deadlines_s['leave']
    assert stop.closes_s < closed_by_s == deadlines_s['tasks']
    assert closed_by_s < written_by_s < killed_at_s


async def _loop_time_s():
    return asyncio.get_running_loop().time()
