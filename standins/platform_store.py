"""Stand-in for the platform's key-value service, by its published calls.

Switches turn on outages, slowness, refusals, answers that are lost and
writes that are applied late.
"""

import asyncio
import base64
import dataclasses

from aiohttp import web

__all__ = ['PlatformStoreServer']

PAGE_ITEMS = 500
POLL_S = 0.02


@dataclasses.dataclass
class Switches:
    """Faults that can be turned on.

    `refuse_status` answers every call with that status; `late_s` applies
    writes whose answers are lost that much later.
    """

    refuse_status: int = 0
    reset: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    late_s: float = 0.0


class PlatformStoreServer:
    """The service's state and its HTTP handlers."""

    def __init__(self):
        self.switches = Switches()
        self.revision = 1
        self.calls = 0
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._compacted = 0
        self._leases: dict[int, float] = {}
        self._ttls_ms: dict[int, int] = {}

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/api/kv-key', self._call(self._get)),
                web.get('/api/kv-range', self._call(self._range)),
                web.get('/api/kv-watch', self._call(self._watch)),
                web.post('/api/kv-txn', self._call(self._txn)),
                web.post('/api/kv-lease', self._call(self._lease)),
                web.post('/api/kv-keep/{id}', self._call(self._keep)),
                web.delete('/api/kv-lease-end/{id}', self._call(self._end)),
            ]
        )
        return app

    def write(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key as an operator or a server does."""
        self.revision += 1
        before = self._items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': self.revision,
            'create_rev': before['create_rev'] if before else self.revision,
            'lease': lease,
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
        """Forget all changes so far."""
        self._compacted = self.revision
        self._events.clear()

    def expire_leases(self) -> None:
        """End every lease at once."""
        for lease in list(self._leases):
            self._end_lease(lease)

    def keys(self) -> list[str]:
        """Return the keys that exist."""
        self._expire()
        return sorted(self._items)

    def _call(self, handler):
        async def answer(request):
            self.calls += 1
            switches = self.switches
            if switches.reset:
                request.transport.abort()
                return web.Response()
            if switches.refuse_status:
                return web.Response(status=switches.refuse_status)
            if switches.delay_s:
                await asyncio.sleep(switches.delay_s)
            if handler == self._txn and switches.lose_answers:
                switches.lose_answers -= 1
                return await self._lose(request)
            return await handler(request)

        return answer

    async def _lose(self, request):
        """Apply a write now or later, and never answer it."""
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
        found = sorted(
            (item for key, item in self._items.items() if key > after),
            key=lambda item: item['key'],
        )
        found = [item for item in found if item['key'].startswith(prefix)]
        body = {
            'items': found[:PAGE_ITEMS],
            'truncated': len(found) > PAGE_ITEMS,
            'store_revision': self.revision,
        }
        return web.json_response(body)

    async def _watch(self, request):
        prefix = request.query['path_prefix']
        after = int(request.query['after'])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(request.query['wait_ms']) / 1000
        while True:
            self._expire()
            if after < self._compacted:
                return web.Response(status=410)
            found = [
                event
                for event in self._events
                if event['rev'] > after and event['key'].startswith(prefix)
            ]
            if found or loop.time() >= end_s:
                break
            await asyncio.sleep(POLL_S)
        body = {'events': found, 'store_revision': self.revision}
        return web.json_response(body)

    async def _txn(self, request):
        return self._apply(await request.json())

    def _apply(self, body):
        self._expire()
        for row in body.get('if_rev', ()):
            held = self._items.get(row['key'])
            if (held['rev'] if held else 0) != row['rev']:
                return web.json_response({'items': []}, status=412)
        for put in body.get('puts', ()):
            lease = put.get('lease', 0)
            if lease and lease not in self._leases:
                return web.Response(status=404)
            if put['key'].startswith(('op/', 'servers/')):
                return web.Response(status=403)
            value = base64.b64decode(put['value'], validate=True)
            self.write(put['key'], value, lease)
        for key in body.get('delete', ()):
            self.remove(key)
        return web.json_response({'rev': self.revision})

    async def _lease(self, request):
        ttl_ms = (await request.json())['ttl_ms']
        lease = len(self._ttls_ms) + 1
        self._ttls_ms[lease] = ttl_ms
        self._renew(lease)
        return web.json_response({'lease': lease, 'ttl_ms': ttl_ms})

    async def _keep(self, request):
        self._expire()
        lease = int(request.match_info['id'])
        if lease not in self._leases:
            return web.Response(status=404)
        self._renew(lease)
        return web.json_response({'ttl_ms': self._ttls_ms[lease]})

    async def _end(self, request):
        self._end_lease(int(request.match_info['id']))
        return web.json_response({})

    def _renew(self, lease):
        now_s = asyncio.get_running_loop().time()
        self._leases[lease] = now_s + self._ttls_ms[lease] / 1000

    def _expire(self):
        now_s = asyncio.get_running_loop().time()
        ended = [n for n, end_s in self._leases.items() if end_s <= now_s]
        for lease in ended:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        held = [k for k, i in self._items.items() if i['lease'] == lease]
        for key in held:
            self.remove(key)
