"""Stand-in for the platform's key-value service, with its published calls.

Switches turn on outages, delays, refusals, lost responses and writes that
are applied late.
"""

import asyncio
import base64
import collections
import dataclasses

from aiohttp import web

__all__ = ['HOST', 'TURNS_ROUTE', 'PlatformStoreServer']

HOST = 'h.example'
# A route as the operator writes it to the service: stored turns of a program.
TURNS_ROUTE = {
    'name': 'turns',
    'host': HOST,
    'path_prefix': '/turns/',
    'kind': 'streaming',
    'timeout_ms': 3000,
    'slo_ms': 200,
    'priority': 0,
    'service': 'engines',
    'attempts': 2,
    'retain_context': True,
    'keep_s': 60.0,
    'gap_aim_ms': 250,
}

PAGE_ITEMS = 500
WATCH_POLL_INTERVAL_S = 0.02
SILENCE_CHECK_INTERVAL_S = 0.05


@dataclasses.dataclass
class Switches:
    """Faults that can be turned on.

    `refuse_status` is the status of the response to every call; `reset`
    aborts every connection. `lose_answers` is how many of the next writes get
    no response; `late_s` delays these writes. While `is_silent`, no call gets
    a response; while `loses_answers`, every call is carried out without one.
    Beyond `calls_per_s`, calls get status 429; 0 for no limit.
    """

    refuse_status: int = 0
    reset: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    late_s: float = 0.0
    is_silent: bool = False
    loses_answers: bool = False
    calls_per_s: int = 0


class PlatformStoreServer:
    """The service's state and its HTTP handlers."""

    def __init__(self):
        self.switches = Switches()
        self.revision = 1
        self.calls = 0
        self.limited_calls = 0
        self._call_times_s: collections.deque[float] = collections.deque()
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._compacted_revision = 0
        self._lease_ends_s: dict[int, float] = {}
        self._ttls_ms: dict[int, int] = {}

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/api/kv-key', self._apply_switches(self._get)),
                web.get('/api/kv-range', self._apply_switches(self._range)),
                web.get('/api/kv-watch', self._apply_switches(self._watch)),
                web.post('/api/kv-txn', self._apply_switches(self._txn)),
                web.post('/api/kv-lease', self._apply_switches(self._lease)),
                web.post(
                    '/api/kv-keep/{id}', self._apply_switches(self._keep)
                ),
                web.delete(
                    '/api/kv-lease-end/{id}', self._apply_switches(self._end)
                ),
            ]
        )
        return app

    def write(self, key: str, value: bytes, lease_id: int = 0) -> None:
        """Write a key as an operator or a server does."""
        self.revision += 1
        previous_item = self._items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': self.revision,
            'create_rev': previous_item['create_rev']
            if previous_item
            else self.revision,
            'lease': lease_id,
        }
        self._items[key] = item
        self._events.append(item)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._events.append(
                {'key': key, 'rev': self.revision, 'removed': True}
            )

    def compact_history(self) -> None:
        """Discard all past events, so that older watches get status 410."""
        self._compacted_revision = self.revision
        self._events.clear()

    def expire_leases(self) -> None:
        """Expire every lease now and remove its keys."""
        for lease_id in list(self._lease_ends_s):
            self._end_lease(lease_id)

    def keys(self) -> list[str]:
        """Return the keys that exist."""
        self._expire()
        return sorted(self._items)

    def _apply_switches(self, handler):
        async def respond(request):
            self.calls += 1
            while self.switches.is_silent:
                await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            switches = self.switches
            if switches.reset:
                request.transport.abort()
                return web.Response()
            if self._is_limited():
                return web.Response(status=429)
            if switches.refuse_status:
                return web.Response(status=switches.refuse_status)
            if switches.delay_s:
                await asyncio.sleep(switches.delay_s)
            if handler == self._txn and switches.lose_answers:
                switches.lose_answers -= 1
                return await self._lose_response(request)
            response = await handler(request)
            if switches.loses_answers:
                request.transport.abort()
            return response

        return respond

    def _is_limited(self):
        """Return whether a call now exceeds the calls of one second."""
        if not self.switches.calls_per_s:
            return False
        now_s = asyncio.get_running_loop().time()
        times_s = self._call_times_s
        while times_s and times_s[0] <= now_s - 1.0:
            times_s.popleft()
        if len(times_s) >= self.switches.calls_per_s:
            self.limited_calls += 1
            return True
        times_s.append(now_s)
        return False

    async def _lose_response(self, request):
        """Apply a write after `late_s` and send no response."""
        body = await request.json()
        loop = asyncio.get_running_loop()
        loop.call_later(self.switches.late_s, self._apply, body)
        request.transport.abort()
        return web.Response()

    async def _get(self, request):
        self._expire()
        item = self._items.get(request.query['key'])
        if item is None:
            return web.Response(status=404)
        return web.json_response({**item, 'store_revision': self.revision})

    async def _range(self, request):
        self._expire()
        prefix = request.query['path_prefix']
        after = request.query.get('after', '')
        items = sorted(
            (item for key, item in self._items.items() if key > after),
            key=lambda item: item['key'],
        )
        items = [item for item in items if item['key'].startswith(prefix)]
        body = {
            'items': items[:PAGE_ITEMS],
            'truncated': len(items) > PAGE_ITEMS,
            'store_revision': self.revision,
        }
        return web.json_response(body)

    async def _watch(self, request):
        prefix = request.query['path_prefix']
        after = int(request.query['after'])
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + int(request.query['wait_ms']) / 1000
        while True:
            self._expire()
            if after < self._compacted_revision:
                return web.Response(status=410)
            events = [
                event
                for event in self._events
                if event['rev'] > after and event['key'].startswith(prefix)
            ]
            if events or loop.time() >= deadline_s:
                break
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)
        body = {'events': events, 'store_revision': self.revision}
        return web.json_response(body)

    async def _txn(self, request):
        return self._apply(await request.json())

    def _apply(self, body):
        self._expire()
        for condition in body.get('if_rev', ()):
            item = self._items.get(condition['key'])
            if (item['rev'] if item else 0) != condition['rev']:
                return web.json_response({'items': []}, status=412)
        for put in body.get('puts', ()):
            lease_id = put.get('lease', 0)
            if lease_id and lease_id not in self._lease_ends_s:
                return web.Response(status=404)
            if put['key'].startswith(('op/', 'servers/')):
                return web.Response(status=403)
            value = base64.b64decode(put['value'], validate=True)
            self.write(put['key'], value, lease_id)
        for key in body.get('delete', ()):
            self.remove(key)
        return web.json_response({'rev': self.revision})

    async def _lease(self, request):
        ttl_ms = (await request.json())['ttl_ms']
        lease_id = len(self._ttls_ms) + 1
        self._ttls_ms[lease_id] = ttl_ms
        self._renew(lease_id)
        return web.json_response({'lease': lease_id, 'ttl_ms': ttl_ms})

    async def _keep(self, request):
        self._expire()
        lease_id = int(request.match_info['id'])
        if lease_id not in self._lease_ends_s:
            return web.Response(status=404)
        self._renew(lease_id)
        return web.json_response({'ttl_ms': self._ttls_ms[lease_id]})

    async def _end(self, request):
        self._end_lease(int(request.match_info['id']))
        return web.json_response({})

    def _renew(self, lease_id):
        now_s = asyncio.get_running_loop().time()
        self._lease_ends_s[lease_id] = now_s + self._ttls_ms[lease_id] / 1000

    def _expire(self):
        now_s = asyncio.get_running_loop().time()
        ended_ids = [
            lease_id
            for lease_id, end_s in self._lease_ends_s.items()
            if end_s <= now_s
        ]
        for lease_id in ended_ids:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id):
        self._lease_ends_s.pop(lease_id, None)
        keys = [
            key
            for key, item in self._items.items()
            if item['lease'] == lease_id
        ]
        for key in keys:
            self.remove(key)
