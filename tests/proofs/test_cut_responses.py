"""Point 5: a response that was cut never reaches its caller as whole.

A server frames its responses in every way and cuts them anywhere; a response
that did arrive whole must be delivered.
"""

import dataclasses
import random

import aiohttp
import pytest

from tests import raw_server
from tests import routed_site

RESPONSES_PER_SEED = 40
HEAD = (
    'HTTP/1.1 200 OK\r\nConnection: close\r\nX-Server-Seal: s\r\n'
    'X-Request-Id: {id}\r\n'
)
# Most cuts are of bodies that only the connection ends.
FRAMINGS = ('length', 'chunks', 'connection', 'connection')
ENDINGS = ('<end>', '<reset>')


@dataclasses.dataclass(frozen=True)
class Response:
    """A response as its server sends it.

    Attributes:
        text: what is sent, and how the connection ends.
        body: the part of the body that is sent.
        is_whole: whether the caller may, and must, get it as whole.
    """

    text: str
    body: str
    is_whole: bool


def draw_blocks(generator, is_stream):
    """Return the parts of a body after each of which it might end."""
    if not is_stream:
        return ['x' * generator.randrange(1, 2000)]
    blocks = []
    for number in range(1, generator.randrange(2, 5)):
        lines = [f'id: {number}', f'data: e{number}']
        lines += generator.choice(([], ['event: token'], [': note']))
        generator.shuffle(lines)
        blocks.append('\n'.join(lines) + '\n\n')
    return blocks


def draw_response(generator, is_stream):
    """Return a random response, cut or whole, with what must become of it."""
    blocks = draw_blocks(generator, is_stream)
    body = ''.join(blocks)
    framing = generator.choice(FRAMINGS)
    ending = generator.choice(ENDINGS)
    is_cut = generator.random() < 0.8
    boundaries = [sum(map(len, blocks[:n])) for n in range(len(blocks) + 1)]
    line_ends = [n + 1 for n, text in enumerate(body) if text == '\n']
    places = (range(len(body)), boundaries, *[line_ends or boundaries] * 2)
    sent_bytes = len(body)
    if is_cut:
        sent_bytes = generator.choice(generator.choice(places))
    sent = body[:sent_bytes]
    if framing == 'length':
        text = f'{HEAD}Content-Length: {len(body)}\r\n\r\n{sent}'
        is_whole = sent == body
    elif framing == 'chunks':
        text = f'{HEAD}Transfer-Encoding: chunked\r\n\r\n'
        text += f'{len(body):x}\r\n{sent}'
        is_whole = sent == body and not is_cut
        if is_whole:
            text += '\r\n0\r\n\r\n'
    else:
        text = f'{HEAD}\r\n{sent}'
        is_whole = ending == '<end>'
    if is_stream:
        is_whole = is_whole and sent_bytes in boundaries[1:]
    return Response(text + ending, sent, is_whole)


async def check_response(deployment, server, response, is_stream):
    """Check what the caller of one response gets."""
    server.responses = [response.text]
    try:
        if is_stream:
            turn_id = f'turn-{len(server.requests)}'
            status, body, _ = await deployment.post_turn(turn_id)
        else:
            status, body, _ = await deployment.post('/alerts/x')
    except aiohttp.ClientPayloadError:
        assert not response.is_whole, response
        return
    assert response.is_whole == (status == 200), response
    if status == 200:
        assert body.decode() == response.body, response
    else:
        assert status == 502, response


@pytest.mark.point(5, 'loss_ends_bodies', 'fields_open_no_event')
def test_cut_responses_never_look_whole(tmp_path, seeds, is_long):
    async def scenario(deployment):
        async with raw_server.RawServer() as server:
            deployment.store.remove('servers/engine-2')
            deployment.store.remove('servers/plain-2')
            deployment.register('engine-1', 'engines', server.address)
            deployment.register('plain-1', 'plain', server.address)
            entry = deployment.nodes['entry-a']
            await deployment.wait_until(
                lambda: (
                    {s.address for s in entry.directory} == {server.address}
                )
            )
            for _ in range(RESPONSES_PER_SEED):
                is_stream = generator.random() < 0.8
                response = draw_response(generator, is_stream)
                await check_response(deployment, server, response, is_stream)

    for seed in range(seeds if is_long else 3):
        generator = random.Random(seed)
        routed_site.run(tmp_path, scenario)
