"""Stand-ins for servers, which record what they run."""

import asyncio
import hashlib

from aiohttp import web

__all__ = ['ModelServer', 'PlainServer']


class _Server:
    """Records of a server.

    Attributes:
        runs: ids of the requests that began to run, in their order.
        bodies: body of each.
    """

    def __init__(self, server_id, world):
        self.server_id = server_id
        self.world = world
        self.runs = []
        self.bodies = {}
        self.targets = {}

    def app(self):
        """Return the web application."""
        app = web.Application(client_max_size=2**24)
        app.router.add_route('*', '/{path:.*}', self.handle)
        return app

    def headers(self, request):
        """Return the headers of an answer."""
        return {
            'X-Request-Id': request.headers.get('X-Request-Id', ''),
            'X-Server-Load': '1,0,16',
        }

    async def begin(self, request):
        """Record a run; return its body, or None if it is for another."""
        if request.headers.get('X-Expect-Instance') != self.server_id:
            return None
        body = await request.read()
        request_id = request.headers['X-Request-Id']
        self.runs.append(request_id)
        self.bodies[request_id] = body
        self.targets[request_id] = (request.method, request.raw_path)
        self.world.log(
            f'{self.server_id}: runs {request_id} {request.method} '
            f'{request.raw_path}, {len(body)} bytes'
        )
        return body

    def seal(self, body):
        """Return the signature of an answer."""
        return hashlib.sha256(self.server_id.encode() + body).hexdigest()[:16]


class ModelServer(_Server):
    """Streams a few events for each turn.

    Attributes:
        events: events of an answer.
        gap_s: pause between them.
    """

    events = 4
    gap_s = 0.01

    async def handle(self, request):
        headers = self.headers(request)
        body = await self.begin(request)
        if body is None:
            return web.Response(status=421, headers=headers)
        headers['X-Server-Seal'] = self.seal(body)
        response = web.StreamResponse(headers=headers)
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        request_id = request.headers['X-Request-Id']
        for number in range(1, self.events + 1):
            text = f'id: {number}\ndata: {request_id}-{number}\n\n'
            await response.write(text.encode())
            await asyncio.sleep(self.gap_s)
        await response.write_eof()
        return response

    def output(self, request_id):
        """Return the data of an answer's events, each with a line feed."""
        return ''.join(
            f'{request_id}-{number}\n' for number in range(1, self.events + 1)
        ).encode()


class PlainServer(_Server):
    """Answers each request after a while.

    Attributes:
        work_s: time that the work takes.
    """

    work_s = 0.02

    async def handle(self, request):
        headers = self.headers(request)
        body = await self.begin(request)
        if body is None:
            return web.Response(status=421, headers=headers)
        await asyncio.sleep(self.work_s)
        headers['X-Server-Seal'] = self.seal(body)
        return web.Response(body=b'done ' + body, headers=headers)
