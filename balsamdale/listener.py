"""HTTP listener for callers of routed services.

It decodes requests for `serving` and sends the responses; `entry` is the API
for callers that run programs.
"""

import asyncio

import aiohttp
from aiohttp import web

from balsamdale import decisions
from balsamdale import errors
from balsamdale import request_state
from balsamdale import routes
from balsamdale import serving
from balsamdale import sockets
from balsamdale import wire

__all__ = ['Listener']

BACKLOG = 512
# Idle time after which a caller's connection is closed: longer than the
# limits that operators set for callers.
IDLE_CONNECTION_S = 75.0
# Time for responses in progress to finish when the listener closes.
SHUTDOWN_TIMEOUT_S = 0.3


class Listener:
    """Accepts callers' HTTP requests and passes them to the handler.

    Args:
        handler: handles decoded requests.
        wire_format: translation of header names.
        limits: limits on what callers may send.

    Attributes:
        is_leaving: whether this instance stops, so that connections close
            after each response.
    """

    def __init__(
        self,
        handler: serving.RequestHandler,
        wire_format: wire.WireFormat,
        limits: routes.Limits,
    ):
        self._handler = handler
        self._wire_format = wire_format
        self._limits = limits
        self._runner: web.ServerRunner | None = None
        self.is_leaving = False

    async def listen(self, address: str) -> None:
        """Listen on an IP address and port."""
        server = web.Server(
            self._handle,
            request_factory=self._request,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=IDLE_CONNECTION_S,
            max_line_size=self._limits.header_bytes,
            max_field_size=self._limits.header_bytes,
            auto_decompress=False,
        )
        self._runner = web.ServerRunner(
            server, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        site = web.SockSite(
            self._runner,
            sockets.create_listening_socket(address),
            backlog=BACKLOG,
        )
        await site.start()

    async def close(self) -> None:
        """Close the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _request(self, message, payload, protocol, writer, task):
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._limits.body_bytes,
        )

    async def _handle(self, request):
        responder = _Responder(request, self)
        try:
            if request.headers.get('Expect', '').lower() == '100-continue':
                await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
            body = await request.read()
            call = self._wire_format.decode_request(
                request.method, request.raw_path, request.headers, body
            )
        except web.HTTPRequestEntityTooLarge:
            decisions.record('body_too_large', path=request.raw_path)
            return web.Response(status=413)
        except errors.Refused as refused:
            decisions.record(
                'bad_request', path=request.raw_path, reason=refused.detail
            )
            return web.Response(status=refused.status)
        await self._handler.serve(call, responder)
        return responder.response


class _Responder(request_state.Responder):
    """Sends a response over one HTTP connection."""

    def __init__(self, request, listener):
        self._request = request
        self._listener = listener
        self.response: web.StreamResponse | None = None

    async def respond(self, status, headers, body):
        self.response = web.Response(status=status, body=body)
        self._put_headers(headers)
        self.has_begun = True
        await self._guard(self.response.prepare(self._request))
        await self._guard(self.response.write_eof())

    async def begin(self, status, headers):
        self.response = web.StreamResponse(status=status)
        self._put_headers(headers)
        self.has_begun = True
        await self._guard(self.response.prepare(self._request))

    async def write(self, data):
        await self._guard(self.response.write(data))

    async def end(self):
        await self._guard(self.response.write_eof())

    def abort(self):
        if self.response is None:
            self.response = web.StreamResponse(status=500)
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    def _put_headers(self, headers):
        for name, value in headers:
            self.response.headers.add(name, value)
        if self._listener.is_leaving:
            self.response.force_close()

    async def _guard(self, writing):
        try:
            await writing
        except (ConnectionError, aiohttp.ClientError) as error:
            raise errors.CallerDisconnected(str(error)) from error
