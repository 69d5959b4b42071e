"""Tests of connections that servers send more on than was asked for."""

import asyncio

import aiohttp
from balsamdale import http_connection

ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}'
COPY_DELAY_S = 0.05
IDLE_S = 0.15
REQUESTS = 4


def answer(body):
    return ANSWER.format(len(body), body).encode()


async def serve_with_late_copies(reader, writer):
    """Answer each request with its path, and again a little later."""
    try:
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            path = head.split()[1].decode()
            writer.write(answer(path))
            await asyncio.sleep(COPY_DELAY_S)
            writer.write(answer(path))
    except (asyncio.IncompleteReadError, ConnectionError):
        return
    finally:
        writer.close()


async def get(session, address, path):
    async with session.get(f'http://{address}{path}') as response:
        return (await http_connection.read_body(response)).decode()


def test_late_second_copy_is_not_the_answer_to_the_next_request():
    async def scenario():
        server = await asyncio.start_server(
            serve_with_late_copies, '127.0.0.1', 0
        )
        host, port = server.sockets[0].getsockname()
        connector = aiohttp.TCPConnector(keepalive_timeout=5.0)
        session = http_connection.create_session(connector)
        async with server, session:
            for number in range(REQUESTS):
                path = f'/{number}'
                assert await get(session, f'{host}:{port}', path) == path
                await asyncio.sleep(IDLE_S)

    asyncio.run(asyncio.wait_for(scenario(), 10.0))
