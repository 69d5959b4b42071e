"""Tests of clients' connections, on a loopback port."""

import asyncio
import gc
import random

import pytest

from balsamdale import caller_connection
from balsamdale import sockets
from tests import test_listener

HEAD = b'POST /echo HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n'
CHUNKED_HEAD = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
EMPTY_REQUEST = HEAD + b'\r\n'


def run(scenario):
    """Run a scenario on a listener whose handler answers at once."""

    async def serve(site):
        site.handler.may_end.set()
        await scenario(site)

    test_listener.run(serve)


async def answer(site, sent):
    """Send bytes on a new connection; return status and body."""
    reader, writer = await site.connect(sent)
    result = await read_answer(reader)
    writer.close()
    return result


async def read_answer(reader):
    status, head = await test_listener.read_head(reader)
    length = head.lower().partition('content-length: ')[2].split()[0]
    return status, await reader.readexactly(int(length))


@pytest.mark.parametrize(
    'sent',
    [
        HEAD + b'Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n',
        HEAD + b'Transfer-Encoding: gzip\r\n\r\n',
        HEAD + b'Transfer-Encoding: chunked, gzip\r\n\r\n',
        HEAD + b'Transfer-Encoding: xchunked\r\n\r\n',
        HEAD + b'Content-Length: 1\r\nContent-Length: 1\r\n\r\n',
        HEAD + b'Content-Length: -1\r\n\r\n',
        HEAD + b'Content-Length: +1\r\n\r\n',
        HEAD + b'Content-Length: 99999999999999999999999\r\n\r\n',
        HEAD + b'Content-Length : 1\r\n\r\n',
        HEAD + b'A: b\r\n c\r\n\r\n',
        HEAD + b'A: b\rc\r\n\r\n',
        HEAD + b'A: b\x00c\r\n\r\n',
        b'POST /echo HTTP/1.1\r\nX-Request-Id: r\r\n\r\n',
        b'post /echo HTTP/1.1\r\nHost: h\r\n\r\n',
        b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
        CHUNKED_HEAD + b'x\r\n',
        CHUNKED_HEAD + b'1\r\nbb\r\n',
        CHUNKED_HEAD + b'-1\r\nb\r\n',
        CHUNKED_HEAD + b'1\nb\n',
    ],
)
def test_request_whose_end_is_not_certain_is_refused(sent):
    async def scenario(site):
        assert (await answer(site, sent))[0] == 400
        assert site.handler.received_bodies == []

    run(scenario)


def test_tunnel_is_refused():
    async def scenario(site):
        sent = b'CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n'
        assert (await answer(site, sent))[0] == 405

    run(scenario)


def test_request_to_upgrade_is_served_without():
    async def scenario(site):
        sent = HEAD + (
            b'Upgrade: websocket\r\nConnection: upgrade\r\n'
            b'Content-Length: 3\r\n\r\nabc'
        )
        reader, writer = await site.connect(sent + EMPTY_REQUEST)
        assert await read_answer(reader) == (200, b'3')
        assert await read_answer(reader) == (200, b'0')
        writer.close()

    run(scenario)


def test_requests_before_one_that_is_malformed_are_answered():
    async def scenario(site):
        sent = EMPTY_REQUEST * 3 + b'\x00 no request\r\n\r\n'
        reader, writer = await site.connect(sent)
        statuses = [(await read_answer(reader))[0] for _ in range(4)]
        assert statuses == [200, 200, 200, 400]
        assert await reader.read() == b''
        writer.close()

    run(scenario)


def test_refusal_is_read_by_a_client_that_goes_on_sending():
    """Guards against closing a connection with unread input."""

    async def scenario(site):
        reader, writer = await site.connect(HEAD + b'A: ' + b'a' * 30_000)
        assert (await read_answer(reader))[0] == 431
        writer.write(b'a' * 20_000)
        await writer.drain()
        assert await reader.read() == b''
        writer.close()

    run(scenario)


def test_pipelined_requests_are_held_within_a_bound():
    async def scenario(site):
        site.handler.may_end.clear()
        reader, writer = await site.connect(EMPTY_REQUEST)
        sending = asyncio.create_task(send(writer, EMPTY_REQUEST * 300_000))
        held_bytes = -1
        while held_bytes != site.budget.held_bytes:
            held_bytes = site.budget.held_bytes
            await asyncio.sleep(0.2)
        assert not sending.done()
        assert held_bytes < (
            3 * caller_connection.MAX_QUEUED_HEAD_BYTES
            + sockets.CLIENT_BUFFER_BYTES
        )
        site.handler.may_end.set()
        for _ in range(200):
            assert await read_answer(reader) == (200, b'0')
        sending.cancel()
        writer.close()

    run(scenario)


async def send(writer, data):
    writer.write(data)
    await writer.drain()


def test_all_is_released_when_a_client_leaves():
    async def scenario(site):
        for sent in (
            b'',
            HEAD,
            HEAD + b'Content-Length: 9\r\n\r\nb',
            CHUNKED_HEAD + b'1\r\nb\r\n' * 5000,
            EMPTY_REQUEST * 100,
            HEAD + b'a:\r\n' * 3000,
            b'\x00',
        ):
            _, writer = await site.connect(sent)
            await asyncio.sleep(0.05)
            writer.close()
        await site.wait_until(lambda: not site.budget.held_bytes)

    run(scenario)


def test_response_that_is_cut_for_others_does_not_look_whole():
    """A caller of HTTP/1.0 takes a closed connection for the end."""

    async def scenario(site):
        site.handler.chunk_count = 1000
        sent = b'POST /stream HTTP/1.0\r\nHost: h\r\nX-Request-Id: r\r\n\r\n'
        reader, writer = await site.connect(sent)
        assert (await test_listener.read_head(reader))[0] == 200
        (connection,) = site.listener._http.server.connections
        connection.disconnect()
        with pytest.raises(ConnectionResetError):
            while await reader.read(65536):
                pass
        writer.close()

    run(scenario)


@pytest.mark.parametrize('seed', range(12))
def test_pipelined_requests_are_answered_in_order(seed):
    """Requests of all framings arrive in pieces of all sizes."""
    generator = random.Random(seed)

    def request(size):
        body = b'b' * size
        framing = generator.randrange(3)
        if framing == 0:
            return HEAD + b'Content-Length: %d\r\n\r\n%b' % (size, body)
        chunk_size = 1 if framing == 1 else generator.randrange(1, 5000)
        chunks = (body[i : i + chunk_size] for i in range(0, size, chunk_size))
        encoded = b''.join(b'%x;e=1\r\n%b\r\n' % (len(c), c) for c in chunks)
        return CHUNKED_HEAD + encoded + b'0\r\nT: v\r\n\r\n'

    async def scenario(site):
        sizes = [generator.randrange(4000) for _ in range(30)]
        sent = b''.join(map(request, sizes))
        reader, writer = await site.connect(b'')
        sending = asyncio.create_task(send_pieces(generator, writer, sent))
        for size in sizes:
            assert await read_answer(reader) == (200, str(size).encode())
        await sending
        writer.close()
        await site.wait_until(lambda: not site.budget.held_bytes)

    run(scenario)


async def send_pieces(generator, writer, data):
    while data:
        size = generator.choice((1, 7, 100, 5000, 70_000))
        await send(writer, data[:size])
        data = data[size:]
        if generator.random() < 0.3:
            await asyncio.sleep(0)


@pytest.mark.parametrize(
    'sent',
    [
        CHUNKED_HEAD + b'1\r\nb\r\n0\r\nX-Trailer: ',
        CHUNKED_HEAD,
        HEAD + b'X-Field: ',
    ],
)
def test_refused_connection_holds_nothing_of_what_it_sent(sent):
    """Guards against crowds whose refused input fills memory.

    Beside busy processes each read takes up to 256 KB, and a refused
    connection kept it for as long as it lingered.
    """

    async def scenario(site):
        reader, writer = await site.connect(sent + b'0' * 200_000)
        await read_answer(reader)
        held = [
            connection._framing.held_bytes
            for connection in gc.get_objects()
            if isinstance(connection, caller_connection.Connection)
            and connection._is_refused
        ]
        assert held and not any(held)
        writer.close()

    run(scenario)
