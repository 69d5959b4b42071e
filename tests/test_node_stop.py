"""Tests of the stop of an instance: it ends in time, whatever happens."""

import asyncio
import contextlib
import inspect
import re
import signal

import pytest

from balsamdale import archive_messages
from balsamdale import errors
from balsamdale import tcp_link
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


def test_signals_in_series_do_not_cut_a_stop_short(tmp_path):
    """Guards against the loss of the last lines, and another exit status."""

    async def scenario(site):
        entry = await site.start()
        entry.signal()
        status = None
        while status is None:
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
                entry.signal(number)
            status = await entry.wait(0.002)
        assert status == 0
        assert entry.output.events()[-1] == 'stopped'

    real_node.run(tmp_path, scenario)


CLOSED_STANDARD_ERROR = """
import os, sys

os.close(2)
sys.stderr = None
"""


def test_instance_without_standard_error_stops_in_order(tmp_path):
    """A daemon may be started without one."""

    async def scenario(site):
        entry = await site.start(prelude=CLOSED_STANDARD_ERROR)
        entry.signal()
        assert await entry.wait() == 0

    real_node.run(tmp_path, scenario)


FAILING_LEAVE = """
import asyncio
from balsamdale import entry_node

async def fail(self):
    raise ValueError('odd')

entry_node.EntryNode.leave = fail
"""
ENDLESS_LEAVE = """
import asyncio
from balsamdale import entry_node

async def wait_forever(self):
    while True:
        try:
            await asyncio.sleep(3600)
        except asyncio.CancelledError:
            pass

entry_node.EntryNode.leave = wait_forever
"""


@pytest.mark.parametrize(
    ('prelude', 'event'),
    [
        (FAILING_LEAVE, 'stop_step_failed'),
        (ENDLESS_LEAVE, 'stop_step_unfinished'),
    ],
)
def test_stop_goes_on_where_leaving_fails_or_does_not_end(
    tmp_path, prelude, event
):
    """Guards against a process that is killed, or ends with an error."""

    async def scenario(site):
        entry = await site.start(prelude=prelude, grace_s=2.0)
        entry.signal()
        assert await entry.wait() == 0
        lines = entry.output.lines()
        assert 'leave' in [
            line['step'] for line in lines if line['event'] == event
        ]
        assert lines[-1]['event'] == 'stopped'

    real_node.run(tmp_path, scenario)


HANGING_DISK = """
import os, time

os.fdatasync = lambda descriptor: time.sleep(3600)
"""


def test_disk_that_hangs_does_not_hold_up_a_stop(tmp_path):
    """Guards against a process that waits for its threads until killed."""

    async def scenario(site):
        archive = await site.start(
            'archive-a', 'archive', prelude=HANGING_DISK
        )
        address = archive.settings['link_address']
        links = tcp_link.TcpLinks('caller', site.reserve())
        links.set_peer_address('archive-a', address)
        message = archive_messages.OpenTurn(
            'p', 't', 5, '', False, 2_000_000_000.0
        )
        with pytest.raises(errors.LinkTimeout):
            await links.request('archive-a', message, 0.5)
        archive.signal()
        assert await archive.wait() == 0
        lines = archive.output.lines()
        assert lines[-1]['event'] == 'stopped'
        assert 'archive' in [line.get('step') for line in lines]
        await links.close()

    real_node.run(tmp_path, scenario)


MANY_LINES_AT_THE_END = """
from balsamdale import decisions

record = decisions.record

def record_many(event, **fields):
    if event == 'stopped':
        for number in range(40):
            record('filler', text='x' * 4000)
    record(event, **fields)

decisions.record = record_many
"""


def test_last_lines_reach_a_reader_that_is_slow(tmp_path):
    """Guards against a log that ends before the stop of its process."""

    async def scenario(site):
        entry = await site.start(prelude=MANY_LINES_AT_THE_END, grace_s=60.0)
        entry.signal()
        while entry.is_running:
            entry.output.read_part(4096)
            await asyncio.sleep(0.02)
        assert entry.output.events()[-1] == 'stopped'

    real_node.run(tmp_path, scenario)


def test_reader_that_does_not_read_does_not_hold_up_an_exit(tmp_path):
    """Guards against a process that is killed as its log is full."""

    async def scenario(site):
        entry = await site.start(prelude=MANY_LINES_AT_THE_END, grace_s=60.0)
        entry.signal()
        assert await entry.wait() == 0

    real_node.run(tmp_path, scenario)


def test_silent_store_does_not_hold_up_the_stop_of_an_archive(tmp_path):
    """Guards against a drain that is cut by the end of the grace period."""

    async def scenario(deployment):
        archive = deployment.nodes.pop('archive-a')
        revoking = asyncio.Event()

        async def revoke_without_reply(_lease):
            revoking.set()
            await asyncio.Event().wait()

        archive.store.revoke_lease = revoke_without_reply
        await archive.leave()
        assert revoking.is_set()
        # Its peers know it all the same.
        entry = deployment.nodes['entry-a']
        names = {m.instance_id for m in entry.member_directory.archives()}
        assert names == {'archive-b', 'archive-c'}
        await archive.close()

    routed_site.run(tmp_path, scenario)


class KeptConnection:
    """A connection that has had an answer and is used once more, later."""

    def __init__(self, entry, number):
        self._address = entry.settings['entry_address']
        self._number = number
        self.unanswered = []

    async def run(self, stopping):
        """Send an order, and another one some time after the signal."""
        host, _, port = self._address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        assert await self._order(reader, writer, f'first-{self._number}')
        await stopping.wait()
        await asyncio.sleep(self._number * ORDER_INTERVAL_S)
        request_id = f'late-{self._number}'
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            if await self._order(reader, writer, request_id):
                request_id = ''
        if request_id:
            self.unanswered.append(request_id)
        writer.close()

    async def _order(self, reader, writer, request_id):
        """Send an order in chunks; return whether its answer is whole."""
        writer.write(
            b'POST /alerts/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
            b'Host: %b\r\nX-Request-Id: %b\r\nX-Deadline-Ms: 2000\r\n\r\n'
            b'1\r\nb\r\n0\r\n\r\n'
            % (real_node.HOST.encode(), request_id.encode())
        )
        head = (await reader.readuntil(b'\r\n\r\n')).lower()
        length = re.search(rb'content-length: (\d+)', head)
        await reader.readexactly(int(length[1]))
        return True


GRACE_S = 8.0
ORDER_INTERVAL_S = 0.05
# Time that the server takes for an order: some are always under way.
ORDER_S = 0.3


def test_orders_do_not_end_with_a_process_that_waits_for_its_store(tmp_path):
    """Guards against orders that ran, without an answer or a line of a log.

    The platform kills a process at the end of its grace period.
    """

    async def scenario(site):
        entry = await site.start(grace_s=GRACE_S, memory_limit_mb=150)
        await site.wait_until_served(entry)
        stopping = asyncio.Event()
        count = int(GRACE_S / ORDER_INTERVAL_S)
        connections = [KeptConnection(entry, n) for n in range(count)]
        calls = []
        for connection in connections:
            calls.append(asyncio.create_task(connection.run(stopping)))
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        site.server.switches.delay_s = ORDER_S
        site.store.switches.delay_s = 1.2
        entry.signal()
        stopping.set()
        await entry.wait(GRACE_S)
        entry.kill()
        await asyncio.gather(*calls)
        cut_ids = {i for c in connections for i in c.unanswered}
        assert not cut_ids & set(site.server.runs)

    real_node.run(tmp_path, scenario)
