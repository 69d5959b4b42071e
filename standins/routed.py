"""Stand-in for a backend server that takes routed requests.

Uses the headers that the platform publishes. Streams send a few events
whose data holds the length of the request body.
"""

import asyncio
import dataclasses
import hashlib

from aiohttp import web

from balsamdale import sockets

__all__ = ['RoutedServer']


@dataclasses.dataclass
class Switches:
    """Faults that can be turned on.

    `refuse` is how many of the next requests are refused with a proof that
    they did not run; `drop` is how many of the next ones run but get no
    response, because the connection is closed.
    `break_after` closes a stream after that event, `break_every` after each
    event with a multiple of that number; with `cut_event`, in the middle of
    the event that follows, after `cut_text`. `break_gate` delays this until
    the event is set. A plain response breaks in its middle if `break_after`
    is set.
    `is_unframed` sends responses that have neither a length nor chunks;
    `resets` resets connections instead of closing them.
    `endless` is repeated after the first event, or in place of a plain body,
    until the connection is closed.
    `slowdown` is the fourth value of the load header, which has three
    without it; `is_leaving` adds the header of a leaving server.
    `limit` is the header of a server that names a limit of requests a second.
    `fail` is how many of the next requests get a response of status 500.
    Until `silent_until_s`, a time of the event loop, nothing is read or sent.
    """

    delay_s: float = 0.0
    events: int = 3
    event_gap_s: float = 0.0
    refuse: int = 0
    drop: int = 0
    break_after: int = 0
    break_every: int = 0
    cut_event: bool = False
    cut_text: bytes = b'id: 99\ndata: cut he'
    is_unframed: bool = False
    endless: bytes = b''
    resets: bool = False
    slowdown: int = 0
    is_leaving: bool = False
    limit: str = ''
    fail: int = 0
    break_gate: asyncio.Event | None = None
    silent_until_s: float = 0.0


class _UnframedResponse(web.StreamResponse):
    """A response of HTTP/1.1 that ends with its connection."""

    # aiohttp adds neither a length nor chunks to responses that set this.
    _length_check = False

    def __init__(self, headers):
        super().__init__(headers=headers)
        self.force_close()


class RoutedServer:
    """The server's state and its HTTP handlers.

    Args:
        server_id: id of the server in its registration.
        slots: number of slots that its load header reports.
    """

    def __init__(self, server_id: str, slots: int = 8):
        self.server_id = server_id
        self.slots = slots
        self.switches = Switches()
        self.running = 0
        self.cancelled = 0
        self.bodies: dict[str, bytes] = {}
        self.headers: dict[str, dict[str, str]] = {}
        self.runs: list[str] = []
        self.deadlines_ms: list[int] = []

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=2**24)
        app.router.add_route('*', '/{path:.*}', self._handle_request)
        return app

    async def _handle_request(self, request):
        await self._wait_while_silent()
        request_id = request.headers['X-Request-Id']
        headers = {
            'X-Request-Id': request_id,
            'X-Server-Load': f'{self.running},0,{self.slots}',
        }
        if self.switches.slowdown:
            headers['X-Server-Load'] += f',{self.switches.slowdown}'
        if self.switches.is_leaving:
            headers['Server-Leaving'] = '1'
        if self.switches.limit:
            headers['Server-Limit'] = self.switches.limit
        if request.headers['X-Expect-Instance'] != self.server_id:
            return web.Response(status=421, headers=headers)
        if self.switches.refuse:
            self.switches.refuse -= 1
            headers['X-Not-Executed'] = '1'
            return web.Response(status=503, headers=headers)
        body = await request.read()
        self.deadlines_ms.append(int(request.headers['X-Deadline-Ms']))
        self.runs.append(request_id)
        self.bodies[request_id] = body
        self.headers[request_id] = dict(request.headers)
        headers['X-Server-Seal'] = hashlib.sha256(body).hexdigest()[:8]
        self.running += 1
        try:
            return await self._send_response(request, headers, body)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1

    async def _send_response(self, request, headers, body):
        await asyncio.sleep(self.switches.delay_s)
        await self._wait_while_silent()
        if self.switches.drop:
            self.switches.drop -= 1
            self._break_connection(request)
            return web.Response()
        if self.switches.fail:
            self.switches.fail -= 1
            return web.Response(status=500, headers=headers)
        if 'X-Token-Usage' not in request.headers:
            return await self._send_plain(request, headers, b'done ' + body)
        if self.switches.is_unframed:
            response = _UnframedResponse(headers)
        else:
            response = web.StreamResponse(headers=headers)
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        last_id = int(request.headers.get('Last-Event-Id', '0'))
        for event_number in range(last_id + 1, self.switches.events + 1):
            data = f'id: {event_number}\ndata: e{event_number}-{len(body)}\n\n'
            await response.write(data.encode())
            await asyncio.sleep(self.switches.event_gap_s)
            await self._wait_while_silent()
            if self.switches.endless:
                return await self._send_endless(response)
            if self._breaks_after(event_number):
                if self.switches.cut_event:
                    await response.write(self.switches.cut_text)
                    await asyncio.sleep(0.05)
                if self.switches.break_gate is not None:
                    await self.switches.break_gate.wait()
                self._break_connection(request)
                return response
        await response.write_eof()
        return response

    async def _send_endless(self, response):
        part = self.switches.endless * 256
        while True:
            await response.write(part)
            await asyncio.sleep(0)

    async def _send_plain(self, request, headers, body):
        if self.switches.endless:
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            return await self._send_endless(response)
        if not self.switches.is_unframed:
            return web.Response(body=body, headers=headers)
        response = _UnframedResponse(headers)
        await response.prepare(request)
        if self.switches.break_after:
            await response.write(body[: len(body) // 2])
            await asyncio.sleep(0.05)
            self._break_connection(request)
            return response
        await response.write(body)
        await response.write_eof()
        return response

    async def _wait_while_silent(self):
        loop = asyncio.get_running_loop()
        while (left_s := self.switches.silent_until_s - loop.time()) > 0:
            await asyncio.sleep(left_s)

    def _break_connection(self, request):
        if self.switches.resets:
            sockets.reset(request.transport)
        else:
            request.transport.abort()

    def _breaks_after(self, event_number):
        every = self.switches.break_every
        return event_number == self.switches.break_after or (
            every and event_number % every == 0
        )
