"""A server that sends scripted bytes in place of HTTP responses."""

import asyncio
import socket
import struct

__all__ = ['RawServer', 'reset_connection']


class RawServer:
    """Sends the next of the given raw responses to each request.

    `{id}` is replaced by the request's id. None closes the connection without
    a response. A response in a tuple is sent before the body is read. One
    that ends with `<close>` closes the connection; so does `<end>`, which is
    not sent, and `<reset>`, which is not sent either, resets it.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.requests = []
        self.connections = 0
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
        while True:
            try:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            fields = dict(
                line.split(': ', 1) for line in head.split('\r\n')[1:-2]
            )
            body = b''
            length = int(fields.get('Content-Length', 0))
            scripted = self.responses.pop(0)
            if not isinstance(scripted, tuple):
                body = await reader.readexactly(length)
            else:
                scripted = scripted[0]
            self.requests.append((head, body))
            if scripted is None:
                break
            text = scripted.replace('{id}', fields.get('X-Request-Id', ''))
            sent = text.removesuffix('<reset>').removesuffix('<end>')
            writer.write(sent.encode())
            if text.endswith('<reset>'):
                await reset_connection(writer)
            if text.endswith(('<close>', '<end>')):
                break
        writer.close()


async def reset_connection(writer):
    """Reset a connection once the peer can have read what was written."""
    await asyncio.sleep(0.05)
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()
