"""Tests of programs' requests on servers whose responses are faulty."""

import asyncio
import contextlib
import itertools

import pytest

from balsamdale import backend
from balsamdale import declaration
from balsamdale import errors
from balsamdale import program
from tests.raw_server import Endless
from tests.raw_server import RawServer

ENGINE_CALL = program.CallEngine(
    service='engines',
    messages=(),
    tools=(),
    can_spawn_agents=False,
    prompt_tokens=1,
    answer_tokens=9,
)
USAGE = (
    'data: {"choices": [], "usage": {"prompt_tokens": 1,'
    ' "completion_tokens": 2}}\n\n'
)
CHUNK = 'data: {"choices": [{"delta": {"content": "x"}}]}\n\n'
DONE = 'data: [DONE]\n\n'
UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n'
TOOL = program.CallTool(
    call_id='c',
    name='look',
    service='plain',
    arguments='{}',
    idempotent=False,
    timeout_s=5.0,
)


def run(scenario):
    async def main():
        backends = backend.HttpBackends()
        try:
            await asyncio.wait_for(scenario(backends), 10.0)
        finally:
            await backends.close()

    asyncio.run(main())


async def invoke(backends, raw_server):
    return await backends.invoke(server_at(raw_server), TOOL, 'q1')


def server_at(raw_server):
    return declaration.BackendServer(
        name='s',
        service='plain',
        address=raw_server.address,
        failure_domain='a',
    )


def test_result_of_a_tool_that_was_reset_is_not_whole():
    async def scenario(backends):
        async with RawServer(UNFRAMED_HEAD + 'the first half<reset>') as stub:
            with pytest.raises(errors.BackendFailed) as raised:
                await invoke(backends, stub)
            assert raised.value.ran == 'unknown'

    run(scenario)


def test_result_of_a_tool_may_end_with_its_connection():
    async def scenario(backends):
        async with RawServer(UNFRAMED_HEAD + 'all of it<end>') as stub:
            assert await invoke(backends, stub) == 'all of it'

    run(scenario)


async def complete(backends, raw_server):
    """Return the deltas and the completion of a model call."""
    return [
        stream_event
        async for stream_event in backends.complete(
            server_at(raw_server), 'm', ENGINE_CALL, 'q1', 'p'
        )
    ]


def chunk(text):
    return f'data: {{"choices": [{{"delta": {{"content": "{text}"}}}}]}}\n\n'


@pytest.mark.parametrize('cut', ['data', 'data: {"choi', 'data: [DO'])
def test_stream_that_ends_in_a_line_is_resumed_after_the_chunk_before(cut):
    async def scenario(backends):
        first = UNFRAMED_HEAD + chunk('one ') + cut + '<end>'
        rest = UNFRAMED_HEAD + chunk('two') + USAGE + 'data: [DONE]\n\n'
        async with RawServer(first, rest + '<end>') as stub:
            *deltas, completion = await complete(backends, stub)
            assert [delta.text for delta in deltas] == ['one ', 'two']
            assert completion.text == 'one two'
            assert 'after=1 ' in stub.requests[1][0]

    run(scenario)


@pytest.mark.parametrize(
    'line', ['data: nonsense\n\n', 'data: 7\n\n', 'data: {"choices": 1}\n\n']
)
def test_stream_with_a_malformed_line_fails(line):
    async def scenario(backends):
        text = UNFRAMED_HEAD + chunk('one') + line + '<end>'
        async with RawServer(text) as stub:
            with pytest.raises(errors.BackendFailed) as raised:
                await complete(backends, stub)
            assert raised.value.ran == 'unknown'

    run(scenario)


def test_result_of_a_tool_without_end_fails():
    async def scenario(backends):
        async with RawServer(Endless(UNFRAMED_HEAD, 'x')) as stub:
            with pytest.raises(
                errors.BackendFailed, match='more than'
            ) as raised:
                await invoke(backends, stub)
            assert raised.value.ran == 'unknown'
            await stub.disconnected.wait()

    run(scenario)


def test_result_of_a_tool_that_is_no_text_fails():
    async def scenario(backends):
        head = UNFRAMED_HEAD.replace('plain', 'plain; charset=ascii')
        text = head + 'Wallonië<end>'
        async with RawServer(text) as stub:
            with pytest.raises(errors.BackendFailed):
                await invoke(backends, stub)

    run(scenario)


@pytest.mark.parametrize(
    'repeated', [chunk('z'), 'data: ' + 9000 * 'x', ':' + 9000 * 'y' + '\n']
)
def test_stream_of_a_model_without_end_fails(repeated):
    async def scenario(backends):
        endless = Endless(UNFRAMED_HEAD, repeated)
        async with RawServer(*[endless] * 100) as stub:
            with pytest.raises(errors.BackendFailed) as raised:
                await complete(backends, stub)
            assert raised.value.ran == 'unknown'
            await stub.disconnected.wait()

    run(scenario)


async def serve_slowly(parts, interval_s, writer):
    """Send a stream part by part; the last part is repeated."""
    writer.write(
        b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        b'Connection: close\r\n\r\n'
    )
    try:
        for part in itertools.chain(parts, itertools.repeat(parts[-1])):
            writer.write(part.encode())
            await writer.drain()
            if DONE in part:
                break
            await asyncio.sleep(interval_s)
    except ConnectionError:
        pass
    finally:
        writer.close()


async def complete_slowly(backends, parts, interval_s):
    """Return the text of a model call to an engine that sends slowly."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        await serve_slowly(parts, interval_s, writer)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    engine = declaration.BackendServer(
        name='s',
        service='engines',
        address=f'{host}:{port}',
        failure_domain='a',
    )
    async with server:
        answer = backends.complete(engine, 'm', ENGINE_CALL, 'q1', 'p')
        return [part async for part in answer][-1].text


@pytest.fixture
def short_stall(monkeypatch):
    monkeypatch.setattr(backend, 'STALL_TIMEOUT_S', 0.3)


def test_stalled_stream_that_sends_comments_ends(short_stall):
    async def scenario(backends):
        with pytest.raises(errors.BackendFailed) as raised:
            await complete_slowly(backends, [CHUNK, ': alive\n\n'], 0.02)
        assert raised.value.ran == 'unknown'

    run(scenario)


def test_slow_stream_that_makes_progress_is_not_cut(short_stall):
    async def scenario(backends):
        parts = [CHUNK] * 6 + [USAGE, DONE]
        assert await complete_slowly(backends, parts, 0.1) == 'x' * 6

    run(scenario)


@pytest.mark.parametrize(
    'stale',
    [
        'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n',
        'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale',
    ],
)
def test_response_written_again_is_no_answer_to_the_next_call(stale):
    """Guards against "not run" for a call that runs, and a wrong result."""

    async def serve(reader, writer):
        answer = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError),
        ):
            for text in (answer, stale + answer):
                head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
                length = head.partition('content-length: ')[2].split()[0]
                await reader.readexactly(int(length))
                writer.write(text.encode())

    async def scenario(backends):
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        target = declaration.BackendServer('s', 'plain', f'{host}:{port}', 'a')
        async with server:
            assert await backends.invoke(target, TOOL, 'q1') == 'ok'
            assert await backends.invoke(target, TOOL, 'q2') == 'ok'

    run(scenario)
