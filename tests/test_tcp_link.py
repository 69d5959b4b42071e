"""Tests of links over TCP when connections break, stall or fill."""

import asyncio
import contextlib

from balsamdale import codec
from balsamdale import errors
from balsamdale import messages
from balsamdale import tcp_link
from balsamdale import zmtp
from harness import ports


async def _reply_ok(_sender, _message):
    yield messages.Ok()


@contextlib.contextmanager
def reserve_addresses():
    """Return two addresses, held until the test ends."""
    with contextlib.closing(ports.PortReservations()) as reservations:
        yield reservations.reserve(), reservations.reserve()


def open_caller(address, peer_address):
    """Open links that know a peer 'b', and collect its lost connections."""
    caller = tcp_link.TcpLinks('a', address)
    caller.set_peer_address('b', peer_address)
    broken = []
    caller.on_connection_broken = broken.append
    return caller, broken


async def wait_until(condition):
    """Wait until a condition holds; tests limit the time of the whole."""
    while not condition():
        await asyncio.sleep(0.01)


def run(main):
    """Run a coroutine, for at most 20 s."""
    asyncio.run(asyncio.wait_for(main, 20.0))


def test_call_reaches_a_peer_that_starts_while_it_waits():
    async def main(own_address, peer_address):
        caller, _ = open_caller(own_address, peer_address)
        call = asyncio.create_task(
            caller.request('b', messages.FetchTurn('p', 1), 10.0)
        )
        await asyncio.sleep(0.2)
        peer = tcp_link.TcpLinks('b', peer_address)
        peer.serve(messages.FetchTurn, _reply_ok)
        assert await call == messages.Ok()
        await caller.close()
        await peer.close()

    with reserve_addresses() as addresses:
        run(main(*addresses))


def test_restart_of_a_peer_is_reported_and_calls_go_on():
    async def main(own_address, peer_address):
        caller, broken = open_caller(own_address, peer_address)
        for _ in range(2):
            peer = tcp_link.TcpLinks('b', peer_address)
            peer.serve(messages.FetchTurn, _reply_ok)
            message = messages.FetchTurn('p', 1)
            assert await caller.request('b', message, 5.0) == messages.Ok()
            await peer.close()
            await wait_until(lambda: broken)
            assert broken == ['b']
            broken.clear()
        await caller.close()

    with reserve_addresses() as addresses:
        run(main(*addresses))


def test_call_given_up_before_it_connected_is_never_sent():
    async def main(own_address, peer_address):
        caller, _ = open_caller(own_address, peer_address)
        with contextlib.suppress(errors.LinkTimeout):
            await caller.request('b', messages.FetchTurn('p', 1), 0.2)
        received = []

        async def keep(_sender, message):
            received.append(message.turn)
            yield messages.Ok()

        peer = tcp_link.TcpLinks('b', peer_address)
        peer.serve(messages.FetchTurn, keep)
        await caller.request('b', messages.FetchTurn('p', 2), 5.0)
        assert received == [2]
        await caller.close()
        await peer.close()

    with reserve_addresses() as addresses:
        run(main(*addresses))


def test_stream_ends_at_its_server_when_the_connection_breaks():
    async def main(own_address, peer_address):
        caller, _ = open_caller(own_address, peer_address)
        peer = tcp_link.TcpLinks('b', peer_address)
        ended = asyncio.Event()

        async def forever(_sender, _message):
            try:
                yield messages.Ok()
                await asyncio.Event().wait()
            finally:
                ended.set()

        peer.serve(messages.FetchTurn, forever)
        replies = caller.stream('b', messages.FetchTurn('p', 1))
        assert await anext(replies) == messages.Ok()
        await caller.close()
        await ended.wait()
        await peer.close()

    with reserve_addresses() as addresses:
        run(main(*addresses))


def test_replies_wait_for_a_peer_that_reads_slowly():
    count = 40
    payload = 'x' * 300_000

    async def main(own_address, peer_address):
        caller, _ = open_caller(own_address, peer_address)
        peer = tcp_link.TcpLinks('b', peer_address)
        made = 0

        async def many(_sender, _message):
            nonlocal made
            for offset in range(count):
                made += 1
                yield messages.AnswerDelta(offset, payload)

        peer.serve(messages.FetchTurn, many)
        replies = caller.stream('b', messages.FetchTurn('p', 1))
        await anext(replies)
        connection = next(iter(caller._connections))
        connection._transport.pause_reading()
        await asyncio.sleep(0.2)
        assert made < count
        connection._transport.resume_reading()
        offsets = [reply.offset async for reply in replies]
        assert offsets == list(range(1, count))
        await caller.close()
        await peer.close()

    with reserve_addresses() as addresses:
        run(main(*addresses))


def test_silent_connection_is_asked_and_then_broken(monkeypatch):
    monkeypatch.setattr(tcp_link, 'SILENCE_CHECK_INTERVAL_S', 0.05)
    received = bytearray()

    async def main(own_address, peer_address):
        async def stay_silent(reader, writer):
            with contextlib.closing(writer):
                writer.write(zmtp.Peer(zmtp.Role.SERVING).opening())
                while data := await reader.read(4096):
                    received.extend(data)

        host, _, port = peer_address.rpartition(':')
        server = await asyncio.start_server(stay_silent, host, int(port))
        caller, broken = open_caller(own_address, peer_address)
        call = asyncio.create_task(
            caller.request('b', messages.FetchTurn('p', 1), 10.0)
        )
        await wait_until(lambda: broken)
        assert bytes(received).count(b'\4PING') == 2
        call.cancel()
        await caller.close()
        server.close()

    with reserve_addresses() as addresses:
        run(main(*addresses))


def test_messages_to_a_peer_that_does_not_read_are_bounded(monkeypatch):
    monkeypatch.setattr(tcp_link, 'MAX_UNSENT_BYTES', 1_000_000)
    # The peer is silent too.
    monkeypatch.setattr(tcp_link, 'SILENCE_CHECK_INTERVAL_S', 60.0)
    payload = codec.encode(messages.AnswerDelta(0, 'x' * 100_000))

    async def main(own_address, peer_address):
        async def read_nothing(_reader, writer):
            with contextlib.closing(writer):
                writer.write(zmtp.Peer(zmtp.Role.SERVING).opening())
                await test_ends.wait()

        test_ends = asyncio.Event()
        host, _, port = peer_address.rpartition(':')
        server = await asyncio.start_server(
            read_nothing, host, int(port), limit=1024
        )
        caller, _ = open_caller(own_address, peer_address)
        channel = caller._get_channel('b')
        channel.start_ask(payload)
        await wait_until(lambda: channel._connection is not None)
        for _ in range(300):
            channel.start_ask(payload)
            await asyncio.sleep(0)
        transport = channel._connection._transport
        unsent_bytes = transport.get_write_buffer_size()
        assert 1_000_000 < unsent_bytes < 1_000_000 + 2 * len(payload)
        test_ends.set()
        await caller.close()
        transport.abort()
        server.close()

    with reserve_addresses() as addresses:
        run(main(*addresses))


def test_peer_of_another_protocol_is_logged_and_harms_no_other(caplog):
    async def main(own_address, peer_address):
        peer = tcp_link.TcpLinks('b', peer_address)
        peer.serve(messages.FetchTurn, _reply_ok)
        caller, _ = open_caller(own_address, peer_address)
        message = messages.FetchTurn('p', 1)
        assert await caller.request('b', message, 5.0) == messages.Ok()
        host, _, port = peer_address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'GET / HTTP/1.1\r\n\r\n' + codec.encode(message))
        with contextlib.suppress(ConnectionError):
            while await reader.read(4096):
                pass
        writer.close()
        assert await caller.request('b', message, 5.0) == messages.Ok()
        await caller.close()
        await peer.close()

    with reserve_addresses() as addresses:
        run(main(*addresses))
    assert 'no ZMTP greeting' in caplog.text
