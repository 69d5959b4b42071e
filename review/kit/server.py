"""A sound backend server of the platform's pages."""

import asyncio
import hashlib
import itertools
import json
import random
import time

from aiohttp import web

from review.kit import world as worlds

HEARTBEAT_S = 1.2


class Server:
    """Runs requests one after the other on each connection.

    Args:
        world: the deployment.
        service: name of its service.
        number: chooses its id and its address.
        events: events of a stream.
        event_gap_s: time between two events.
        work_s: time that a plain request takes.
    """

    def __init__(
        self, world, service, number, events=4, event_gap_s=0.02, work_s=0.02
    ):
        self.world, self.service = world, service
        self.server_id = f'i-{number:03d}'
        self.ip = world.ip(number)
        self.events, self.event_gap_s = events, event_gap_s
        self.work_s = work_s
        self.runs = []
        self.bodies = {}
        self.running = 0
        self.state = 'ready'
        self._number, self._starts = number, 0
        self._transports = set()
        self._runner = None

    def app(self):
        app = web.Application(client_max_size=2**24)
        app.router.add_route('*', '/{path:.*}', self._handle)
        return app

    async def start(self):
        """Start as a new incarnation with a new id, and register."""
        self._starts += 1
        if self._starts > 1:
            self.server_id = f'i-{self._number:03d}-{self._starts}'
        self._born = int(time.time() * 1000)
        self._seq = itertools.count(1)
        self._runner = await self.world.serve(
            self.app(), self.ip, worlds.SERVER_PORT
        )
        self.world.record.line(f'{self.server_id} has started')
        self.register()

    async def crash(self):
        """End at once; the registration lapses after three heartbeats."""
        self.world.record.line(f'{self.server_id} crashes')
        runner, self._runner = self._runner, None
        for site in list(runner.sites):
            await site.stop()
        for transport in list(self._transports):
            transport.abort()
        await runner.cleanup()
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S,
            self.world.store.remove,
            f'servers/{self.server_id}',
        )

    def register(self):
        """Write the registration, as each heartbeat does."""
        self.world.store.write(
            f'servers/{self.server_id}',
            json.dumps(
                {
                    'service': self.service,
                    'address': f'{self.ip}:{worlds.SERVER_PORT}',
                    'zone': 'z1',
                    'version': 1,
                    'slots': 32,
                    'state': self.state,
                    'cold_left_ms': 0,
                    'seq': next(self._seq),
                    'born': self._born,
                }
            ).encode(),
        )

    async def beat(self):
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self._runner is not None:
                self.register()

    async def _handle(self, request):
        request_id = request.headers.get('X-Request-Id', '')
        headers = {
            'X-Request-Id': request_id,
            'X-Server-Load': f'{self.running},0,32',
        }
        if request.headers.get('X-Expect-Instance') != self.server_id:
            return web.Response(status=421, headers=headers)
        body = await request.read()
        record = self.world.record
        record.line(f'{self.server_id} ({self.service}) runs {request_id}')
        self.runs.append(request_id)
        self.bodies[request_id] = body
        headers['X-Server-Seal'] = hashlib.sha256(body).hexdigest()[:8]
        self.running += 1
        transport = request.transport
        self._transports.add(transport)
        try:
            if 'X-Token-Usage' not in request.headers:
                await asyncio.sleep(self.work_s)
                return web.Response(body=b'done', headers=headers)
            response = web.StreamResponse(headers=headers)
            response.content_type = 'text/event-stream'
            await response.prepare(request)
            for number in range(1, self.events + 1):
                await response.write(
                    f'id: {number}\ndata: {request_id}-{number}\n\n'.encode()
                )
                await asyncio.sleep(self.event_gap_s)
            await response.write_eof()
            record.line(f'{self.server_id} has ended {request_id}')
            return response
        except (asyncio.CancelledError, ConnectionError):
            record.line(f'{self.server_id} lost its caller of {request_id}')
            raise
        finally:
            self.running -= 1
            self._transports.discard(transport)
