"""Stand-in for a plain service, such as tools, alerts or permits.

Counts executions per idempotency key, so that tests can detect a repeated
non-idempotent request.
"""

import asyncio
import collections
import dataclasses
import json

from aiohttp import web

__all__ = ['PlainServer']


@dataclasses.dataclass
class Switches:
    """Faults that can be turned on.

    `hang` withholds every response; `drop_answers` is how many of the next
    requests run but get no response, because the connection is closed.
    """

    delay_s: float = 0.02
    hang: bool = False
    drop_answers: int = 0


class PlainServer:
    """The service's state and its HTTP handlers.

    Args:
        name: name of the server.
    """

    def __init__(self, name: str):
        self.name = name
        self.switches = Switches()
        self.executions: dict[str, int] = collections.Counter()

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application()
        app.add_routes(
            [
                web.post('/v1/requests', self._execute),
                web.get('/health', self._health),
                web.post('/standin/switch', self._switch),
                web.get('/standin/counts', self._report_counts),
            ]
        )
        return app

    async def _execute(self, request):
        body = await request.json()
        idempotency_key = request.headers['Idempotency-Key']
        self.executions[idempotency_key] += 1
        await asyncio.sleep(self.switches.delay_s)
        if self.switches.hang:
            await asyncio.sleep(3600)
        if self.switches.drop_answers > 0:
            self.switches.drop_answers -= 1
            request.transport.close()
        result = {
            'operation': body['operation'],
            'done': True,
            'size': len(body['arguments']),
        }
        return web.Response(
            text=json.dumps(result), content_type='application/json'
        )

    async def _health(self, _request):
        return web.json_response({'name': self.name})

    async def _switch(self, request):
        for name, value in (await request.json()).items():
            setattr(self.switches, name, value)
        return web.json_response(dataclasses.asdict(self.switches))

    async def _report_counts(self, _request):
        return web.json_response(
            {'name': self.name, 'executions': dict(self.executions)}
        )
