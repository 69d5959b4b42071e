"""Tests that what is no response by the RFCs is an answer to nobody.

Each case is read on five ways to a caller, and by the other clients of this
package.
"""

import asyncio
import contextlib

import aiohttp
import pytest

from balsamdale import attempt_relay
from balsamdale import backend
from balsamdale import declaration
from balsamdale import errors
from balsamdale import http_connection
from balsamdale.platform import store
from balsamdale import program
from balsamdale import sockets
from tests import answer_table
from tests import routed_site
from tests import test_cut_entries

SEAL = 'X-Server-Seal: s'
# Cases in which a head and a part of a body come first.
BEGUN = ('body cut', 'chunks b')
ROUTES = ('/alerts/x', '/drafts/x', '/turns/x')


class ByteServer:
    """Sends given bytes for each request, and closes the connection.

    Attributes:
        data: what is sent; {id} and {seal} are replaced.
        resets_after_s: resets the connection so long after its answer, which
            it then sends before it has read the body; None closes it.
    """

    def __init__(self):
        self.data = b''
        self.resets_after_s: float | None = None
        self.address = ''
        self._handlers = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=2**20
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    async def __aexit__(self, *_):
        self._server.close()
        await asyncio.gather(*self._handlers)

    async def _serve(self, reader, writer):
        self._handlers.append(asyncio.current_task())
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            fields = dict(
                line.lower().split(b': ', 1)
                for line in head.split(b'\r\n')[1:-2]
            )
            if self.resets_after_s is None:
                length = int(fields.get(b'content-length', 0))
                await reader.readexactly(length)
            data = self.data.replace(b'{id}', fields.get(b'x-request-id', b''))
            writer.write(data.replace(b'{seal}', SEAL.encode()))
            await writer.drain()
            if self.resets_after_s is not None:
                await asyncio.sleep(self.resets_after_s)
                sockets.reset(writer.transport)
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()


@contextlib.asynccontextmanager
async def serving(deployment):
    """Put one server of given bytes in the place of all servers."""
    async with ByteServer() as server:
        for name in ('engine-2', 'plain-2'):
            deployment.store.remove(f'servers/{name}')
        deployment.register('engine-1', 'engines', server.address)
        deployment.register('plain-1', 'plain', server.address)
        entries = [deployment.nodes[n] for n in ('entry-a', 'entry-b')]
        await deployment.wait_until(
            lambda: all(
                {s.address for s in entry.directory} == {server.address}
                for entry in entries
            )
        )
        yield server


async def ask(deployment, path, **fields):
    """Return status and body that a caller gets; 0 if it was cut."""
    headers = {'Connection': 'close', 'Accept-Encoding': 'identity', **fields}
    if path not in ('/alerts/x', '/reads/x'):
        headers['X-Token-Usage'] = '100,30'
    try:
        status, body, _ = await deployment.post(path, b'in', **headers)
    except (aiohttp.ClientError, ConnectionError) as error:
        return 0, repr(error).encode()
    return status, body


def stream(sent):
    """Return a case whose body is a stream of one event."""
    event = b'id: 1\ndata: x\n\n'
    data = sent.data
    if data.endswith(b'\r\n\r\nok'):
        data = data.replace(b'Content-Length: 2', b'Content-Length: 15')
        data = data[:-2] + event
    return data


def test_what_is_no_answer_is_an_answer_to_nobody(tmp_path):
    """Statuses such as 000, and bodies of other codings, reached callers."""

    async def scenario(deployment):
        wrong = []
        async with serving(deployment) as server:
            for sent in answer_table.NO_ANSWERS:
                server.data = sent.data
                before = http_connection.count_invalid()
                status, body = await ask(deployment, '/alerts/x')
                if (status, body) != (502, b''):
                    wrong.append((sent.name, status, body))
                elif (
                    http_connection.count_invalid() == before
                    and not sent.name.startswith(BEGUN)
                ):
                    wrong.append((sent.name, 'not counted'))
        assert not wrong, wrong

    routed_site.run(tmp_path, scenario)


@pytest.mark.parametrize('path', ROUTES[1:])
def test_what_is_no_answer_is_no_stream(tmp_path, path):
    """A head that is none was passed on before the first event."""

    async def scenario(deployment):
        wrong = []
        async with serving(deployment) as server:
            for sent in answer_table.NO_ANSWERS:
                server.data = stream(sent)
                status, body = await ask(deployment, path)
                is_cut = status == 0 and sent.name.startswith(BEGUN)
                if (status, body) != (502, b'') and not is_cut:
                    wrong.append((sent.name, status, body))
        assert not wrong, wrong

    routed_site.run(tmp_path, scenario)


def test_what_is_an_answer_is_passed_on(tmp_path):
    async def scenario(deployment):
        wrong = []
        async with serving(deployment) as server:
            for sent in answer_table.ANSWERS:
                server.data = sent.data
                answer = await ask(deployment, '/alerts/x')
                if answer != (sent.status, sent.body):
                    wrong.append((sent.name, *answer))
        assert not wrong, wrong

    routed_site.run(tmp_path, scenario)


@pytest.mark.parametrize(
    ('asked', 'expected'),
    (('gzip', 200), ('br;q=0.5, gzip', 200), ('*', 200), ('gzip;q=0', 502)),
)
def test_content_coding_that_the_caller_asked_for(tmp_path, asked, expected):
    async def scenario(deployment):
        async with serving(deployment) as server:
            server.data = answer_table.head('Content-Encoding: x, gzip')
            status, _ = await ask(
                deployment, '/alerts/x', **{'Accept-Encoding': asked}
            )
            assert status == (200 if asked == '*' else 502)
            server.data = answer_table.head('Content-Encoding: GZIP')
            async with deployment.client.post(
                f'http://{deployment.nodes["entry-a"].settings.entry_address}'
                '/alerts/x',
                headers={
                    'Host': routed_site.HOST,
                    'X-Request-Id': 'coded',
                    'Accept-Encoding': asked,
                },
                auto_decompress=False,
            ) as response:
                assert response.status == expected

    routed_site.run(tmp_path, scenario)


def test_what_a_helper_reads_is_read_as_strictly(tmp_path):
    """Another entry sends the request where an entry has lost its path."""

    async def scenario(deployment):
        entry = deployment.nodes['entry-a']
        wrong = []
        async with serving(deployment) as server:
            with test_cut_entries.cut_from_servers(entry, True):
                server.data = answer_table.head()
                while await ask(deployment, '/alerts/x') != (200, b'ok'):
                    await asyncio.sleep(0.05)
                for sent in answer_table.NO_ANSWERS:
                    server.data = sent.data
                    answer = await ask(deployment, '/alerts/x')
                    if answer != (502, b''):
                        wrong.append((sent.name, *answer))
                for sent in answer_table.ANSWERS:
                    server.data = sent.data
                    answer = await ask(deployment, '/alerts/x')
                    if answer != (sent.status, sent.body):
                        wrong.append((sent.name, *answer))
        assert not wrong, wrong

    routed_site.run(tmp_path, scenario)


@pytest.mark.parametrize(
    ('status', 'field'),
    (
        (0, ('X', 'y')),
        (101, ('X', 'y')),
        (600, ('X', 'y')),
        (200, ('X Y', 'z')),
        (200, ('X', 'a\x01b')),
        (200, ('X', 'a\r\nb')),
        (200, ('Content-Encoding', 'br')),
    ),
)
def test_helper_of_an_earlier_build_is_not_believed(tmp_path, status, field):
    """An earlier build passes on heads that are none."""

    async def scenario(deployment):
        helper = deployment.nodes['entry-b']

        async def reply(_sender, _message):
            seal = ('X-Server-Seal', 's')
            yield attempt_relay.RelayedHead(status, (seal, field), 'length')
            yield attempt_relay.RelayedPart(0, b'ok')
            yield attempt_relay.RelayedEnd(1, 'open')

        helper.links.serve(attempt_relay.RelayAttempt, reply)
        entry = deployment.nodes['entry-a']
        with test_cut_entries.cut_from_servers(entry, True):
            before = http_connection.count_invalid()
            status_seen, body = await ask(deployment, '/alerts/x')
            assert (status_seen, body) == (502, b'')
            assert http_connection.count_invalid() == before + 1

    routed_site.run(tmp_path, scenario)


async def read_store(address):
    client = store.PlatformKeyValue(address)
    try:
        return await client.scan('')
    finally:
        await client.close()


async def read_session(address):
    connector = aiohttp.TCPConnector()
    async with http_connection.create_session(connector) as session:
        try:
            async with session.get(f'http://{address}/') as response:
                assert await http_connection.read_body(response) == b'ok'
        except aiohttp.ClientError as error:
            raise errors.BalsamdaleError from error


async def read_tool(address):
    client = backend.HttpBackends()
    server = declaration.BackendServer('s', 'service', address, 'a')
    try:
        return await client.invoke(
            server, program.CallTool('c', 'tool', 's', '{}', True, 5.0), 'q'
        )
    finally:
        await client.close()


# How each client is asked, what it takes for a whole reply of 2 bytes, and
# with which statuses.
CLIENTS = {
    'store': (read_store, b'{}', (200,)),
    'session': (read_session, b'ok', range(200, 600)),
    'tool': (read_tool, b'ok', range(200, 500)),
}


@pytest.mark.parametrize('name', CLIENTS)
def test_what_is_no_answer_is_none_to_other_clients(name):
    """The platform's store and tools of programs are read as strictly."""
    read, body, statuses = CLIENTS[name]

    async def scenario():
        wrong = []
        async with ByteServer() as server:
            for sent in (*answer_table.NO_ANSWERS, *answer_table.ANSWERS):
                if sent.body != b'ok' and sent.status:
                    continue
                server.data = sent.data.replace(b'ok', body).replace(
                    b'1\r\no\r\n1\r\nk', b'1\r\n%c\r\n1\r\n%c' % (*body,)
                )
                try:
                    await read(server.address)
                    is_read = True
                except errors.BalsamdaleError:
                    is_read = False
                is_expected = sent.status in statuses
                if is_read != is_expected and 'X-Request-Id' not in sent.name:
                    wrong.append((sent.name, is_read))
        assert not wrong, wrong

    asyncio.run(asyncio.wait_for(scenario(), 60.0))


def test_redirect_is_not_followed():
    """A store that names another address must not have calls sent there."""

    async def scenario():
        async with ByteServer() as elsewhere, ByteServer() as server:
            elsewhere.data = answer_table.head(body=b'{}')
            server.data = answer_table.head(
                f'Location: http://{elsewhere.address}/',
                line='HTTP/1.1 307 Temporary Redirect',
            )
            with pytest.raises(errors.BalsamdaleError):
                await read_store(server.address)

    asyncio.run(asyncio.wait_for(scenario(), 10.0))


@pytest.mark.parametrize('ends_s', (0.0, 0.02, 0.1))
def test_answer_cut_beside_a_long_upload_is_not_whole(tmp_path, ends_s):
    """A 200 without length, sent in part, then a reset during the upload."""

    async def scenario(deployment):
        async with serving(deployment) as server:
            server.data = answer_table.head(length='', body=b'part')
            server.resets_after_s = ends_s
            for size_bytes in (10, 100_000, 3_000_000):
                status, body, _ = await deployment.post(
                    '/alerts/x', b'x' * size_bytes
                )
                assert (status, body) == (502, b'')

    routed_site.run(tmp_path, scenario)
