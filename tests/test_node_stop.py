"""Tests of the stop of an instance: it ends in time, whatever happens."""

import asyncio
import inspect

import pytest

from tests import real_node
from tests import routed_site


def test_each_step_of_a_close_is_carried_out(tmp_path):
    """Guards against a step that fails or hangs, and stops the others."""

    async def scenario(deployment):
        for name in ('entry-a', 'archive-a'):
            instance = deployment.nodes.pop(name)
            stages = instance.close_stages()
            closed = []
            instance.close_stages = lambda: tuple(
                {n: fail_or_hang(n, step, closed) for n, step in stage.items()}
                for stage in stages
            )
            await instance.close()
            steps = {n for stage in stages for n in stage}
            assert sorted(closed) == sorted(steps)

    routed_site.run(tmp_path, scenario)


def fail_or_hang(name, step, closed):
    """Return a step that ends with an error, or does not end."""

    async def run():
        closed.append(name)
        result = step()
        if inspect.isawaitable(result):
            await result
        if name == 'store':
            await asyncio.Event().wait()
        raise ValueError('odd')

    return run


@pytest.mark.parametrize('endpoint', ['registry', 'ready', 'metrics'])
def test_caller_that_sends_half_a_body_does_not_delay_a_stop(
    tmp_path, endpoint
):
    """Guards against a process that is killed at the end of its grace."""

    async def scenario(site):
        entry = await site.start(grace_s=8.0)
        address = entry.settings[f'{endpoint}_address']
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\nhalf'
        )
        assert await reader.readline()
        entry.signal()
        assert await entry.wait() == 0
        stopped = entry.output.lines()[-1]
        assert stopped['event'] == 'stopped'
        assert stopped['took_s'] < entry.settings['grace_s']
        writer.close()

    real_node.run(tmp_path, scenario)


SIGNAL_DURING_IMPORTS = """
import os, signal, sys

class Finder:
    def find_spec(name, path=None, target=None):
        if name == 'balsamdale.entry_node':
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder)
"""


def test_signal_to_reload_during_a_start_does_not_end_an_instance(tmp_path):
    """The platform may send it as soon as a process exists."""

    async def scenario(site):
        entry = await site.start(prelude=SIGNAL_DURING_IMPORTS)
        entry.signal()
        assert await entry.wait() == 0

    real_node.run(tmp_path, scenario)
