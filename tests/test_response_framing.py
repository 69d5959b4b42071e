"""Tests of reading responses, in whatever pieces they arrive."""

import random

import pytest

from balsamdale import errors
from balsamdale import response_framing
from tests import answer_table

SEAL = b'X-Server-Seal: s'
# Decided by what the request asked for, not by the framing.
ELSEWHERE = ('content ', "field 'X-Request-Id", 'body cut')
PIECES = 30


def data_of(sent):
    return sent.data.replace(b'{id}', b'q').replace(b'{seal}', SEAL)


def read(pieces):
    """Return what a parser gets, whether it is whole, and what is wrong."""
    framing = response_framing.ResponseFraming()
    parts = []
    try:
        for piece in pieces:
            parts.extend(framing.receive(piece))
    except errors.ResponseMalformed as error:
        return b''.join(parts), False, str(error)
    ends = framing._take_part in (
        framing._take_head,
        framing._take_until_close,
    )
    return b''.join(parts), ends and not framing.held_bytes, ''


def body_of(output):
    """Return the body of what a parser gets, without the chunks around it."""
    head, _, body = output.partition(b'\r\n\r\n')
    if b'transfer-encoding' not in head.lower():
        return body
    data = b''
    while body:
        size, _, body = body.partition(b'\r\n')
        data += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return data


@pytest.mark.parametrize(
    'sent',
    [
        sent
        for sent in answer_table.NO_ANSWERS
        if not sent.name.startswith(ELSEWHERE)
    ],
    ids=lambda sent: sent.name[:40],
)
def test_no_answer_is_whole_whatever_its_pieces(sent):
    data = data_of(sent)
    _, is_whole, reason = read([data])
    assert not is_whole
    for cut in cuts(data):
        _, is_whole, again = read([data[:cut], data[cut:]])
        assert not is_whole
        assert bool(again) == bool(reason), cut
    if len(data) < 1000:
        _, is_whole, again = read([data[n : n + 1] for n in range(len(data))])
        assert not is_whole
        assert bool(again) == bool(reason)


@pytest.mark.parametrize(
    'sent', answer_table.ANSWERS, ids=lambda sent: sent.name[:40]
)
def test_answer_is_the_same_whatever_its_pieces(sent):
    data = data_of(sent)
    expected, _, reason = read([data])
    is_followed = sent.name.startswith('more')
    assert is_followed or not reason
    if not is_followed and sent.status != 304:
        assert body_of(expected) == sent.body
    for cut in cuts(data):
        output, is_whole, again = read([data[:cut], data[cut:]])
        assert bool(again) == bool(reason)
        assert body_of(output) == body_of(expected)
        assert is_followed or is_whole


def cuts(data):
    """Return where to cut: everywhere, or at random in long input."""
    if len(data) < 400:
        return range(1, len(data))
    generator = random.Random(len(data))
    return [generator.randrange(1, len(data)) for _ in range(PIECES)]


@pytest.mark.parametrize(
    'sent',
    [s for s in answer_table.ANSWERS if not s.name.startswith('more')],
    ids=lambda sent: sent.name[:40],
)
def test_part_of_an_answer_is_not_whole(sent):
    data = data_of(sent)
    head_end = data.rindex(b'\r\n\r\n') + 4
    is_open = b'ontent-' not in data and b'ransfer-' not in data
    for cut in cuts(data):
        output, is_whole, reason = read([data[:cut]])
        assert not reason
        # What ends with its connection may end anywhere in its body.
        if output and not (is_open and cut >= head_end):
            assert not is_whole, cut


def test_head_of_two_lengths_has_one_form():
    data = b'HTTP/1.9 200 OK\r\nContent-Length: 2\r\nA: b\r\nContent-Length: 2'
    output, is_whole, _ = read([data + b'\r\n\r\nok'])
    assert is_whole
    assert output == (
        b'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nok'
    )


def test_response_to_head_has_no_body():
    framing = response_framing.ResponseFraming()
    framing.expect(has_body=False)
    data = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n'
    assert b''.join(framing.receive(data * 2)) == data * 2
    assert not framing.held_bytes


def test_interim_responses_are_dropped_and_bounded():
    framing = response_framing.ResponseFraming()
    interim = b'HTTP/1.1 100 Continue\r\n\r\n'
    assert not list(framing.receive(interim * 100))
    with pytest.raises(errors.ResponseMalformed, match='interim'):
        list(framing.receive(interim * 10000))


ENDLESS = {
    'status line': (b'HTTP/1.1 200 ', b'x'),
    'one field': (b'HTTP/1.1 200 OK\r\nX: ', b'y'),
    'fields': (b'HTTP/1.1 200 OK\r\n', b'X: y\r\n'),
    'chunk size': (answer_table.chunked(b''), b'0'),
    'extension': (answer_table.chunked(b'1;a='), b'b'),
    'trailers': (answer_table.chunked(b'0\r\n'), b'X: y\r\n'),
    'one trailer': (answer_table.chunked(b'0\r\nX: '), b'y'),
    'tiny chunks with extensions': (
        answer_table.chunked(b''),
        b'1;' + b'a' * 100 + b'\r\nx\r\n',
    ),
}


@pytest.mark.parametrize(('start', 'repeated'), ENDLESS.values(), ids=ENDLESS)
def test_bytes_without_end_hold_little(start, repeated):
    """Servers that never end their bytes took all memory of a machine."""
    framing = response_framing.ResponseFraming()
    list(framing.receive(start.replace(b'{seal}', SEAL)))
    received_bytes = 0
    with pytest.raises(errors.ResponseMalformed):
        while received_bytes < 50_000_000:
            list(framing.receive(repeated * 100))
            received_bytes += 100 * len(repeated)
            assert framing.held_bytes <= (
                response_framing.MAX_HEAD_BYTES + 100 * len(repeated)
            )
    assert received_bytes < 1_000_000


def test_bytes_that_come_singly_are_not_searched_again():
    """A head that trickles in would cost the square of its size."""
    framing = response_framing.ResponseFraming()
    list(framing.receive(b'HTTP/1.1 200 OK\r\nX: '))
    for _ in range(60_000):
        assert not list(framing.receive(b'y'))
    output = list(framing.receive(b'\r\nContent-Length: 0\r\n\r\n'))
    assert len(output) == 1


@pytest.mark.parametrize('status', (-1, 0, 99, 100, 101, 199, 600, 9999))
def test_status_that_does_not_exist_is_not_relayed(status):
    with pytest.raises(errors.ResponseMalformed):
        response_framing.check_response(status, ())
    response_framing.check_response(299, (('X', 'caf\udce9\t'),))
