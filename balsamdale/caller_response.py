"""The response to one request of a caller, over its HTTP connection."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web

from balsamdale import decisions
from balsamdale import errors
from balsamdale import request_state
from balsamdale.scheduling import memory
from balsamdale import sockets

__all__ = ['CallerResponse']

# More than the head of a response.
MAX_HEAD_BYTES = 65536


class CallerResponse(request_state.Responder):
    """Sends a response over one HTTP connection.

    Args:
        request: the request, as the HTTP server has it.
        request_id: its id; empty without one.
        listener: the listener that received it.
        holding: the memory that it holds.

    Attributes:
        holding: the memory that it holds.
        response: the response; None before it begins.
    """

    def __init__(self, request, request_id, listener, holding):
        self._request = request
        self._request_id = request_id
        self._received_at_s = _now_s()
        self._listener = listener
        self._budget = listener.budget
        self.holding = holding
        self.response: web.StreamResponse | None = None
        self._input: asyncio.Timeout | None = None

    def hold(self, size_bytes):
        is_within_limit = self._budget.keep(self.holding, size_bytes)
        self._listener.check_output()
        if self._budget.is_near_limit:
            self._listener.disconnect_slow_callers()
        return is_within_limit

    async def respond(self, status, headers, body):
        self.response = web.Response(status=status, body=body)
        self._put_headers(headers)
        self.has_begun = True
        # The deadline must not cut what only waits to be read.
        self._set_output_limit(len(body) + MAX_HEAD_BYTES)
        await self._guard(self.response.prepare(self._request))
        await self._guard(self.response.write_eof())

    async def begin(self, status, headers):
        self.response = web.StreamResponse(status=status)
        self._put_headers(headers)
        self.has_begun = True
        await self._guard(self.response.prepare(self._request))

    async def write(self, data):
        """Write a part; wait while the caller has much left to read.

        Meanwhile the server's stream is not read.
        """
        self._set_output_limit(self._budget.output_allowance_bytes())
        await self._guard(self.response.write(data))
        self.record_output(len(data))
        if self._budget.is_near_limit:
            self._listener.disconnect_slow_callers()
        await self._guard(self._request.writer.drain())

    async def end(self):
        await self._guard(self.response.write_eof())

    async def flush(self):
        """Wait until the caller has read its response, to keep counting it.

        The request has ended, so this is not limited by its deadline.
        """
        transport = self._request.transport
        if (
            not self._budget.limit_bytes
            or transport is None
            or transport.is_closing()
            or not transport.get_write_buffer_size()
        ):
            return
        self._budget.drop_input(self.holding, _now_s())
        self.record_output(0)
        self._set_output_limit(0)
        try:
            await self._request.writer.drain()
        except (ConnectionError, aiohttp.ClientError):
            return
        self._set_output_limit(memory.MAX_OUTPUT_BYTES)

    def record_output(self, written_bytes):
        """Record in the budget what the caller has not read."""
        transport = self._request.transport
        if transport is not None and self.has_begun:
            self._budget.record_output(
                self.holding,
                written_bytes,
                transport.get_write_buffer_size(),
                _now_s(),
            )

    @contextlib.asynccontextmanager
    async def receiving(self):
        """Read a body until `end_input` is called, or raise TimeoutError."""
        try:
            async with asyncio.timeout(None) as self._input:
                yield
        finally:
            self._input = None

    def end_input(self):
        """Stop receiving the body, if it is being received."""
        if self._input is not None and not self._input.expired():
            self._input.reschedule(_now_s())

    def record_open(self):
        """Log a request whose connection is about to be closed."""
        decisions.record(
            'open_at_close',
            id=self._request_id,
            age_s=round(_now_s() - self._received_at_s, 3),
            is_received=self._request.content.at_eof(),
            has_begun=self.has_begun,
        )

    def abort(self):
        if self.response is None:
            self.response = web.StreamResponse(status=500)
        transport = self._request.transport
        if transport is None:
            return
        if self._request.version < aiohttp.HttpVersion11:
            # Such a response ends with its connection.
            sockets.reset(transport)
        else:
            transport.abort()

    def _set_output_limit(self, limit_bytes):
        """Set the buffered output above which `drain` waits."""
        transport = self._request.transport
        if transport is not None and not transport.is_closing():
            _, high_bytes = transport.get_write_buffer_limits()
            if high_bytes != limit_bytes:
                transport.set_write_buffer_limits(high=limit_bytes)

    def _put_headers(self, headers):
        for name, value in headers:
            self.response.headers.add(name, value)
        if self._listener.closes_after(self._request):
            self.response.force_close()

    async def _guard(self, writing):
        try:
            await writing
        except (ConnectionError, aiohttp.ClientError) as error:
            raise errors.CallerDisconnected(str(error)) from error


def _now_s():
    return asyncio.get_running_loop().time()
