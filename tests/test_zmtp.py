"""Tests of the wire protocol of links, without I/O."""

import hypothesis
from hypothesis import strategies
import pytest

from balsamdale import errors
from balsamdale import zmtp

BODIES = strategies.lists(
    strategies.binary(max_size=40)
    | strategies.sampled_from([b'x' * 255, b'y' * 256, b'z' * 70000]),
    max_size=6,
)


def serving_peer():
    """Return what a serving end knows after the handshake."""
    peer = zmtp.Peer(zmtp.Role.SERVING)
    peer.receive(zmtp.Peer(zmtp.Role.REQUESTING).opening())
    assert peer.is_ready
    return peer


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(BODIES, strategies.integers(1, 3000))
def test_messages_arrive_whole_however_the_bytes_are_cut(bodies, cut_bytes):
    peer = zmtp.Peer(zmtp.Role.SERVING)
    sent = zmtp.Peer(zmtp.Role.REQUESTING).opening()
    sent += b''.join(zmtp.frame(body) + zmtp.PING for body in bodies)
    received = []
    for start in range(0, len(sent), cut_bytes):
        received += peer.receive(sent[start : start + cut_bytes])
    assert received == bodies
    assert peer.replies.count(b'\4PONG') == len(bodies)


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(strategies.binary(max_size=200), strategies.booleans())
def test_any_bytes_are_refused_or_read(data, is_greeted):
    peer = serving_peer() if is_greeted else zmtp.Peer(zmtp.Role.SERVING)
    try:
        peer.receive(data)
    except errors.ProtocolError as error:
        assert str(error)


@pytest.mark.parametrize(
    'data',
    [
        b'\x08\x01x',
        b'\x01\x01x',
        b'\x02' + (zmtp.MAX_FRAME_BYTES + 1).to_bytes(8, 'big'),
        b'\x04\x00',
        b'\x04\x05\x09PING',
        b'\x04\x06\x05HELLO',
        zmtp.Peer(zmtp.Role.REQUESTING).opening()[64:],
    ],
    ids=[
        'reserved flag',
        'message of several frames',
        'frame that is too long',
        'command without a name',
        'name longer than its command',
        'unknown command',
        'second READY',
    ],
)
def test_frame_out_of_range_is_refused(data):
    with pytest.raises(errors.ProtocolError):
        serving_peer().receive(data)


@pytest.mark.parametrize(
    'greeting',
    [
        b'GET / HTTP/1.1\r\n',
        zmtp.GREETING.replace(b'NULL', b'CURVE\0')[:64],
        zmtp.GREETING[:10] + b'\x02' + zmtp.GREETING[11:],
        zmtp.Peer(zmtp.Role.SERVING).opening(),
        zmtp.GREETING + zmtp.frame(b'too early'),
    ],
    ids=['HTTP', 'mechanism', 'version', 'role', 'message before READY'],
)
def test_peer_of_another_protocol_is_refused(greeting):
    with pytest.raises(errors.ProtocolError):
        zmtp.Peer(zmtp.Role.SERVING).receive(greeting)


def test_opening_is_what_the_protocol_says():
    opening = zmtp.Peer(zmtp.Role.REQUESTING).opening()
    assert opening[:32] == (
        b'\xff\0\0\0\0\0\0\0\0\x7f\x03\x01' + b'NULL' + bytes(16)
    )
    assert opening[64:] == (
        b'\x04\x29\x05READY\x0bSocket-Type\0\0\0\x06DEALER\x08Identity\0\0\0\0'
    )
