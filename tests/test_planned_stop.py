"""Tests of a planned stop of an entry under load."""

import asyncio
import itertools
import json

import aiohttp
import pytest

from balsamdale import decisions
from balsamdale import planned_stop
from tests import routed_site

# Events of a planned stop that does not end in time, in their order.
STOP_EVENTS = ('leave_announced', 'accepting_stopped', 'drained')
CALLERS = 12
REQUESTS_BEFORE_STOP = 5 * CALLERS


async def call_until_refused(deployment, number, cut_ids):
    """Send requests on a kept connection until no new one is accepted."""
    for turn in itertools.count():
        request_id = f'r{number}-{turn}'
        try:
            status, body, _ = await deployment.post(
                '/reads/x', b'b', **{'X-Request-Id': request_id}
            )
        except aiohttp.ClientConnectorError:
            return
        except aiohttp.ClientError:
            cut_ids.append(request_id)
            continue
        assert (status, body) in ((200, b'done b'), (503, b''))


def test_request_that_was_just_accepted_is_answered_at_a_planned_stop(
    tmp_path,
):
    """Callers keep their connections until the entry is gone."""

    async def scenario(deployment):
        for server in deployment.servers.values():
            server.switches.delay_s = 0.05
        cut_ids = []
        entry = deployment.nodes['entry-a']
        calls = [
            asyncio.create_task(call_until_refused(deployment, n, cut_ids))
            for n in range(CALLERS)
        ]
        counts = entry.handler.outcome_counts
        await deployment.wait_until(
            lambda: sum(counts.values()) >= REQUESTS_BEFORE_STOP
        )
        await entry.leave()
        assert entry.handler.in_flight == 0
        await entry.close()
        async with asyncio.timeout(5.0):
            await asyncio.gather(*calls)
        del deployment.nodes['entry-a']
        assert set(counts) == {'ok'}
        assert not [i for i in cut_ids if deployment.run_count(i)]

    routed_site.run(tmp_path, scenario)


def test_only_what_ends_in_time_is_admitted_late():
    """Guards against streams that are sent 3 s after the signal and cut.

    The stop itself may begin a quarter of a second after the signal.
    """
    stop = planned_stop.PlannedStop(100.0, 8.0)
    assert (stop.stops_accepting_s, stop.ends_s) == (103.0, 107.0)
    assert stop.awaits_requests_until_s == 103.5
    assert stop.admits(109.0, 102.7)
    assert not stop.admits(107.1, 102.8)
    assert not stop.admits(107.1, 103.1)
    assert stop.admits(107.0, 106.0)


def test_short_grace_period_is_shared_by_all_parts():
    """Guards against stops that use up short grace periods for closing."""
    stop = planned_stop.PlannedStop(100.0, 3.0)
    assert (stop.stops_accepting_s, stop.ends_s) == (101.25, 102.5)
    stop = planned_stop.PlannedStop(100.0, 0.75)
    assert (stop.stops_accepting_s, stop.ends_s) == (100.3125, 100.625)
    assert stop.closes_s == 100.6875


class OpenConnection:
    """A caller's connection to an entry, which it keeps for each request."""

    def __init__(self, deployment, entry='entry-a'):
        address = deployment.nodes[entry].settings.entry_address
        self._host, _, self._port = address.rpartition(':')
        self.response_head = ''

    async def open(self):
        self._reader, self._writer = await asyncio.open_connection(
            self._host, int(self._port)
        )
        return self

    def send(self, path, request_id, body=b'', length=None, **headers):
        """Send a request, or the first part of one that is longer."""
        fields = {
            'Host': routed_site.HOST,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': '3000',
            'Content-Length': length if length is not None else len(body),
            **headers,
        }
        lines = ''.join(f'{k}: {v}\r\n' for k, v in fields.items())
        self._writer.write(
            f'POST {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body
        )

    def send_rest(self, data):
        self._writer.write(data)

    async def receive(self):
        """Return the status of a response, and whether its body is whole."""
        head = (await self._reader.readuntil(b'\r\n\r\n')).decode()
        self.response_head = head.lower()
        if 'content-length: 0' in self.response_head:
            return int(head.split()[1]), True
        body = b''
        while not body.endswith(b'0\r\n\r\n'):
            part = await self._reader.read(65536)
            if not part:
                return int(head.split()[1]), False
            body += part
            if 'chunked' not in self.response_head:
                break
        return int(head.split()[1]), True

    async def is_closed(self, timeout_s):
        """Return whether the entry closes it within a time."""
        try:
            async with asyncio.timeout(timeout_s):
                return not await self._reader.read(1)
        except TimeoutError:
            return False

    def close(self):
        self._writer.close()


STREAM = {'X-Token-Usage': '100,300', 'X-Program-Id': 'p'}


async def stream_until(connection, deployment, request_id):
    """Send a stream on a connection and wait until it has begun."""
    connection.send('/drafts/x', request_id, **STREAM)
    await deployment.wait_until(lambda: deployment.run_count(request_id))


def set_stream_length(deployment, events, event_gap_s):
    for server in deployment.servers.values():
        server.switches.events = events
        server.switches.event_gap_s = event_gap_s


@pytest.fixture
def early_stop(monkeypatch):
    """Close the listening socket after half a second of the grace period."""
    monkeypatch.setattr(planned_stop, 'STALE_REGISTRY_DRAIN_S', 0.5)


async def start_entry(deployment, grace_s):
    """Start another entry, which knows the servers, and return its name."""
    entry = await deployment.start('entry-c', 'entry', grace_s=grace_s)
    await deployment.wait_until(entry.is_ready)
    for service in ('engines', 'plain'):
        await deployment.wait_until(
            lambda service=service: entry.directory.ready(service)
        )
    return 'entry-c'


@pytest.fixture
def recorded(monkeypatch):
    """Return the events and fields that are logged."""
    lines = []

    def record(event, **fields):
        lines.append((event, fields))

    monkeypatch.setattr(decisions, 'record', record)
    return lines


async def leave_and_close(deployment, name):
    entry = deployment.nodes.pop(name)
    await entry.leave()
    await entry.close()


def test_late_request_that_a_stopping_entry_cannot_end_is_refused(
    tmp_path, early_stop
):
    """Guards against streams that are cut when the grace period ends.

    The connection is in use at SIGTERM and carries its next request later.
    """

    async def scenario(deployment):
        name = await start_entry(deployment, 3.0)
        set_stream_length(deployment, 8, 0.1)
        connection = await OpenConnection(deployment, name).open()
        await stream_until(connection, deployment, 'early')
        stopped = asyncio.create_task(leave_and_close(deployment, name))
        assert await connection.receive() == (200, True)
        # Its deadline of 3 s is later than the end of the process.
        connection.send('/drafts/x', 'late', **STREAM)
        assert await connection.receive() == (503, True)
        assert 'connection: close' in connection.response_head
        assert 'retry-after: 0.000' in connection.response_head
        await stopped
        connection.close()
        assert deployment.run_count('late') == 0
        assert deployment.run_count('early') == 1

    routed_site.run(tmp_path, scenario)


def test_late_request_that_a_stopping_entry_can_end_is_served(
    tmp_path, early_stop
):
    async def scenario(deployment):
        name = await start_entry(deployment, 8.0)
        set_stream_length(deployment, 8, 0.1)
        connection = await OpenConnection(deployment, name).open()
        await stream_until(connection, deployment, 'early')
        stopped = asyncio.create_task(leave_and_close(deployment, name))
        assert await connection.receive() == (200, True)
        connection.send('/reads/x', 'late', b'b')
        assert await connection.receive() == (200, True)
        await stopped
        connection.close()

    routed_site.run(tmp_path, scenario)


def test_idle_connections_are_closed_with_the_listening_socket(
    tmp_path, early_stop
):
    """Guards against callers that use them when nothing can be ended."""

    async def scenario(deployment):
        name = await start_entry(deployment, 8.0)
        idle = await OpenConnection(deployment, name).open()
        idle.send('/reads/x', 'first', b'b')
        assert await idle.receive() == (200, True)
        set_stream_length(deployment, 25, 0.1)
        busy = await OpenConnection(deployment, name).open()
        await stream_until(busy, deployment, 'stream')
        stopped = asyncio.create_task(leave_and_close(deployment, name))
        assert await idle.is_closed(5.0)
        assert not stopped.done()
        assert await busy.receive() == (200, True)
        await stopped
        idle.close()
        busy.close()

    routed_site.run(tmp_path, scenario)


def test_first_request_of_a_new_connection_is_answered_late(
    tmp_path, early_stop, monkeypatch
):
    """Guards against closing a connection that was accepted just before.

    Its request used to be read, dropped and cut after 0.3 s.
    """
    monkeypatch.setattr(planned_stop, 'FIRST_REQUEST_WAIT_S', 3.0)

    async def scenario(deployment):
        name = await start_entry(deployment, 8.0)
        entry = deployment.nodes[name]
        stop_accepting = entry.listener.stop_accepting
        connection = OpenConnection(deployment, name)

        async def open_and_stop_accepting():
            await connection.open()
            await stop_accepting()
            asyncio.get_running_loop().call_later(
                0.1, connection.send, '/reads/x', 'first', b'b'
            )

        entry.listener.stop_accepting = open_and_stop_accepting
        await leave_and_close(deployment, name)
        assert await connection.receive() == (200, True)
        connection.close()

    routed_site.run(tmp_path, scenario)


def test_connection_that_stays_unused_does_not_delay_a_planned_stop(
    tmp_path, early_stop
):
    """The grace period is longer than the scenario may take."""

    async def scenario(deployment):
        name = await start_entry(deployment, 120.0)
        connection = await OpenConnection(deployment, name).open()
        await leave_and_close(deployment, name)
        connection.close()

    routed_site.run(tmp_path, scenario)


def test_request_that_is_being_received_delays_a_planned_stop(
    tmp_path, early_stop
):
    """Guards against closing while a body arrives or an answer is read."""

    async def scenario(deployment):
        name = await start_entry(deployment, 8.0)
        connection = await OpenConnection(deployment, name).open()
        connection.send('/reads/x', 'slow', b'b', length=2)
        await asyncio.sleep(0.1)
        stopped = asyncio.create_task(leave_and_close(deployment, name))
        # The listening socket is closed after 0.5 s, and what was expected
        # at once is awaited for as long.
        await asyncio.sleep(1.5)
        connection.send_rest(b'c')
        assert await connection.receive() == (200, True)
        await stopped
        connection.close()

    routed_site.run(tmp_path, scenario)


def test_planned_stop_does_not_wait_for_a_silent_store(tmp_path, early_stop):
    """Guards against serving on until the platform kills the process."""

    async def scenario(deployment):
        name = await start_entry(deployment, 120.0)
        entry = deployment.nodes[name]
        revoking = asyncio.Event()

        async def revoke_without_reply(_lease):
            revoking.set()
            await asyncio.Event().wait()

        entry.store.revoke_lease = revoke_without_reply
        stopped = asyncio.create_task(leave_and_close(deployment, name))
        await revoking.wait()
        # It sends for no peer any more.
        assert entry.server_paths.is_leaving
        await stopped

    routed_site.run(tmp_path, scenario)


def test_registry_of_a_stopping_entry_does_not_name_it(tmp_path):
    """Its registration stays in its own copy while the store is away."""

    async def scenario(deployment):
        deployment.store.switches.refuse_status = 503
        entry = deployment.nodes['entry-a']
        stopping = asyncio.create_task(entry.leave())
        await asyncio.sleep(0.05)
        url = (
            f'http://{entry.settings.registry_address}/api/resolve'
            '?name=h.example&region=r&zone=a'
        )
        async with deployment.client.get(url) as response:
            resolved = json.loads(await response.read())
        other = deployment.nodes['entry-b'].settings.entry_address
        assert resolved['addresses'] == [other]
        await stopping

    routed_site.run(tmp_path, scenario)


def test_log_of_a_stop_names_what_was_admitted_and_what_was_open(
    tmp_path, early_stop, recorded
):
    """Guards against cut requests that no line of the log names."""

    async def scenario(deployment):
        name = await start_entry(deployment, 2.5)
        connection = await OpenConnection(deployment, name).open()
        entry = deployment.nodes.pop(name)
        set_stream_length(deployment, 40, 0.1)
        leaving = asyncio.create_task(entry.leave())
        await asyncio.sleep(0.1)
        await stream_until(connection, deployment, 'late')
        await leaving
        await entry.close()
        connection.close()

    routed_site.run(tmp_path, scenario)
    admitted = [f for e, f in recorded if e == 'stopping_admitted']
    still_open = [f for e, f in recorded if e == 'open_at_close']
    assert [f['id'] for f in admitted] == ['late']
    assert [f['id'] for f in still_open] == ['late']
    assert still_open[0]['is_received'] and still_open[0]['has_begun']
    order = [e for e, _ in recorded if e in STOP_EVENTS]
    assert order == list(STOP_EVENTS)
