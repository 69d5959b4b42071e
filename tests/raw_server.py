"""A server that sends scripted bytes in place of HTTP responses."""

import asyncio
import contextlib
import dataclasses

from balsamdale import sockets

__all__ = ['Endless', 'RawServer', 'reset_connection', 'run_client']

# Bytes of one write of an endless response.
SEND_BYTES = 16384


@dataclasses.dataclass(frozen=True)
class Endless:
    """A response whose last part is repeated without end."""

    start: str
    repeated: str


class RawServer:
    """Sends the next of the given raw responses to each request.

    `{id}` is replaced by the request's id. None closes the connection without
    a response. A response in a tuple is sent before the body is read. One
    that ends with `<close>` closes the connection. So does `<end>`, and
    `<reset>` resets it; `<half>` closes the sending side first. These three
    are not sent. An `Endless` response is sent until the peer closes the
    connection.

    Attributes:
        requests: head and body of each request.
        connections: connections accepted.
        disconnected: set once the peer has closed the connection of an
            endless response.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.requests = []
        self.connections = 0
        self.disconnected = asyncio.Event()
        self.address = ''

    async def __aenter__(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=2**22
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            await self._serve_requests(reader, writer)
        finally:
            writer.close()

    async def _serve_requests(self, reader, writer):
        while True:
            try:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            fields = {
                name.lower(): value
                for name, _, value in (
                    line.partition(': ') for line in head.split('\r\n')[1:-2]
                )
            }
            body = b''
            length = int(fields.get('content-length', 0))
            scripted = self.responses.pop(0)
            if not isinstance(scripted, tuple):
                body = await reader.readexactly(length)
            else:
                scripted = scripted[0]
            self.requests.append((head, body))
            if scripted is None:
                break
            if isinstance(scripted, Endless):
                await self._send_endless(writer, scripted, fields)
                break
            text = scripted.replace('{id}', fields.get('x-request-id', ''))
            sent = text.removesuffix('<reset>').removesuffix('<end>')
            writer.write(sent.removesuffix('<half>').encode())
            if text.endswith('<half>'):
                writer.write_eof()
                await reset_connection(writer)
            if text.endswith('<reset>'):
                await reset_connection(writer)
            if text.endswith(('<close>', '<end>')):
                break

    async def _send_endless(self, writer, scripted, fields):
        """Send until the peer closes the connection."""
        start = scripted.start.replace('{id}', fields.get('x-request-id', ''))
        repeated = scripted.repeated.encode()
        writer.write(start.encode())
        part = repeated * (SEND_BYTES // len(repeated) + 1)
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(part)
                await writer.drain()
        self.disconnected.set()


async def reset_connection(writer):
    """Reset a connection once the peer can have read what was written."""
    await asyncio.sleep(0.05)
    sockets.reset(writer.transport)


def run_client(make_client, scenario, *responses):
    """Run a scenario on a client of a server of scripted responses.

    Args:
        make_client: returns a client of the server at an address.
        scenario: called with the client.
        responses: what the server sends.
    """

    async def run():
        async with RawServer(*responses) as server:
            client = make_client(server.address)
            try:
                await asyncio.wait_for(scenario(client), 10.0)
            finally:
                await client.close()

    asyncio.run(run())
