"""Tests that all links behave alike, also to a peer of an older build."""

import asyncio
import contextlib

import pytest
import zmq
import zmq.asyncio
import zmq.auth

from balsamdale import codec
from balsamdale import errors
from balsamdale import framed_link
from balsamdale import link
from balsamdale import messages
from balsamdale import tcp_link
from balsamdale import zeromq
from harness import ports


# What opens the links of each end, by name.
IMPLEMENTATIONS = {
    'tcp': (tcp_link.TcpLinks, tcp_link.TcpLinks),
    'older peer serves': (tcp_link.TcpLinks, zeromq.ZeroMQLinks),
    'older peer calls': (zeromq.ZeroMQLinks, tcp_link.TcpLinks),
}


@contextlib.asynccontextmanager
async def open_pair(implementation, tmp_path):
    """Open the links of two instances that know each other's address."""
    if implementation == 'memory':
        network = link.MemoryNetwork()
        yield (
            link.MemoryLinks('a', network),
            link.MemoryLinks('b', network),
        )
        return
    reservations = ports.PortReservations()
    addresses = [reservations.reserve() for _ in range(2)]
    if implementation == 'zeromq':
        _, path = zmq.auth.create_certificates(tmp_path, 'test')
        keys = zeromq.KeyPair.load(path)
        first = zeromq.ZeroMQLinks('a', addresses[0], keys)
        second = zeromq.ZeroMQLinks('b', addresses[1], keys)
    else:
        open_first, open_second = IMPLEMENTATIONS[implementation]
        first = open_first('a', addresses[0])
        second = open_second('b', addresses[1])
    first.set_peer_address('b', addresses[1])
    second.set_peer_address('a', addresses[0])
    try:
        yield first, second
    finally:
        await first.close()
        await second.close()
        reservations.close()


@pytest.fixture(params=['memory', 'zeromq', *IMPLEMENTATIONS])
def implementation(request):
    return request.param


async def _send_deltas(_sender, message):
    for offset in range(message.turn):
        yield messages.AnswerDelta(offset, 'x')


def test_a_stream_yields_every_reply_in_order(implementation, tmp_path):
    async def run():
        async with open_pair(implementation, tmp_path) as (first, second):
            second.serve(messages.FetchTurn, _send_deltas)
            replies = first.stream('b', messages.FetchTurn('p', 5))
            assert [reply.offset async for reply in replies] == [*range(5)]

    asyncio.run(run())


def test_a_failing_handler_is_a_remote_error(implementation, tmp_path):
    async def failing(_sender, _message):
        raise errors.OutOfOrder('no')
        yield

    async def run():
        async with open_pair(implementation, tmp_path) as (first, second):
            second.serve(messages.FetchTurn, failing)
            with pytest.raises(errors.RemoteError):
                await first.request('b', messages.FetchTurn('p', 1))

    asyncio.run(run())


def test_a_missing_peer_is_a_timeout(implementation, tmp_path):
    async def run():
        async with open_pair(implementation, tmp_path) as (first, _):
            first.set_peer_address('c', '127.0.0.1:1')
            with pytest.raises(errors.LinkTimeout):
                await first.request('c', messages.FetchTurn('p', 1), 0.2)

    asyncio.run(run())


def test_a_slow_reply_outlasts_the_silence_limit(implementation, tmp_path):
    async def slow(_sender, _message):
        await asyncio.sleep(link.STREAM_SILENCE_TIMEOUT_S * 1.3)
        yield messages.Ok()

    async def run():
        async with open_pair(implementation, tmp_path) as (first, second):
            second.serve(messages.FetchTurn, slow)
            reply = await first.request('b', messages.FetchTurn('p', 1), 9)
            assert reply == messages.Ok()

    asyncio.run(run())


def test_a_peer_with_another_key_gets_no_answer(tmp_path):
    async def run():
        async with open_pair('zeromq', tmp_path) as (first, second):
            second.serve(messages.FetchTurn, _send_deltas)
            (tmp_path / 'other').mkdir()
            _, path = zmq.auth.create_certificates(tmp_path / 'other', 'x')
            other_keys = zeromq.KeyPair.load(path)
            reservations = ports.PortReservations()
            third = zeromq.ZeroMQLinks(
                'c',
                reservations.reserve(),
                zeromq.KeyPair(other_keys.public, other_keys.secret),
            )
            third.set_peer_address('b', first._addresses['b'])
            with pytest.raises(errors.LinkTimeout):
                await third.request('b', messages.FetchTurn('p', 1), 0.5)
            await third.close()
            reservations.close()

    asyncio.run(run())


@pytest.mark.parametrize('links_type', [zeromq.ZeroMQLinks, tcp_link.TcpLinks])
def test_malformed_frame_of_a_peer_does_not_end_the_link(links_type):
    async def reply_twice(router):
        """Reply with a frame that is too short, then with the right one."""
        for _ in range(2):
            identity, frame = await router.recv_multipart()
            await router.send_multipart([identity, b'short'])
            _, call_id = framed_link.FRAME_HEADER.unpack_from(frame)
            header = framed_link.FRAME_HEADER.pack(framed_link.ANSWER, call_id)
            reply = header + codec.encode(messages.Ok())
            await router.send_multipart([identity, reply])

    async def run():
        with (
            contextlib.closing(ports.PortReservations()) as reservations,
            zmq.asyncio.Context() as context,
            context.socket(zmq.ROUTER) as router,
        ):
            address = reservations.reserve()
            router.bind(f'tcp://{address}')
            replying = asyncio.create_task(reply_twice(router))
            links = links_type('a', reservations.reserve())
            links.set_peer_address('b', address)
            for turn in range(2):
                message = messages.FetchTurn('p', turn)
                assert await links.request('b', message) == messages.Ok()
            await replying
            await links.close()

    asyncio.run(run())


MALFORMED = (
    [b''],
    [b'\x01'],
    [b'\xff' * 64],
    [framed_link.FRAME_HEADER.pack(framed_link.ASK, 1)],
    [framed_link.FRAME_HEADER.pack(framed_link.REQUEST, 2) + b'\xc1' * 9],
    [framed_link.FRAME_HEADER.pack(framed_link.ASK, 3) + b'\x93\x01\xa1X\x80'],
    [framed_link.FRAME_HEADER.pack(framed_link.CANCEL, 4)],
    [
        framed_link.FRAME_HEADER.pack(framed_link.ANSWER, 5)
        + codec.encode(messages.Ok())
    ],
    [b'one', b'part', b'too many'],
)


@pytest.mark.parametrize('links_type', [zeromq.ZeroMQLinks, tcp_link.TcpLinks])
def test_malformed_request_of_a_peer_does_not_end_the_link(links_type):
    async def fail(_sender, message):
        if message.turn < 0:
            raise KeyError('unexpected')
        yield messages.Ok()

    async def run():
        with (
            contextlib.closing(ports.PortReservations()) as reservations,
            zmq.asyncio.Context() as context,
            context.socket(zmq.DEALER) as dealer,
        ):
            address = reservations.reserve()
            links = links_type('b', address)
            links.serve(messages.FetchTurn, fail)
            peer = links_type('a', reservations.reserve())
            peer.set_peer_address('b', address)
            dealer.connect(f'tcp://{address}')
            for parts in MALFORMED:
                await dealer.send_multipart(parts)
                with pytest.raises(errors.RemoteError):
                    await peer.request('b', messages.FetchTurn('p', -1))
                reply = await peer.request('b', messages.FetchTurn('p', 1))
                assert reply == messages.Ok()
            await peer.close()
            await links.close()

    asyncio.run(asyncio.wait_for(run(), 20.0))


@pytest.mark.parametrize('implementation', ['zeromq', *IMPLEMENTATIONS])
def test_replies_without_end_do_not_fill_memory(implementation, tmp_path):
    """A peer that sent on while its replies were not used took all memory."""
    part = b'x' * 65536
    sent = []
    ended = asyncio.Event()

    async def send_on(_sender, _message):
        try:
            while True:
                sent.append(len(part))
                yield messages.AnswerDelta(0, part.decode())
                await asyncio.sleep(0)
        finally:
            ended.set()

    async def main():
        async with open_pair(implementation, tmp_path) as (caller, peer):
            peer.serve(messages.FetchTurn, send_on)
            replies = caller.stream('b', messages.FetchTurn('p', 1))
            await anext(replies)
            (channel,) = caller._channels.values()
            (queue,) = channel._reply_queues.values()
            # Frames may be dropped on the way, so what was sent tells little.
            while not queue._is_full:
                assert queue._waiting_bytes <= framed_link.MAX_WAITING_BYTES
                await asyncio.sleep(0.001)
            assert queue._waiting_bytes <= framed_link.MAX_WAITING_BYTES
            with pytest.raises(errors.LinkError):
                async for _ in replies:
                    pass
            # How long the peer sends on depends on the machine; nothing of
            # it is kept, and the peer ends.
            while not ended.is_set():
                assert not channel._reply_queues
                await asyncio.sleep(0.001)
            count = len(sent)
            await asyncio.sleep(0.2)
            assert len(sent) == count

    asyncio.run(asyncio.wait_for(main(), 40.0))
