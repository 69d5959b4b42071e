"""Tests of programs' requests on servers whose responses are faulty."""

import asyncio

import pytest

from balsamdale import backend
from balsamdale import declaration
from balsamdale import errors
from balsamdale import program
from tests.raw_server import RawServer

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
