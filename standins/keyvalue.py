"""Stand-in for the platform's key-value service (etcd v3 JSON gateway).

Keeps a subset: range, put, transactions with compare, leases and watches.
`POST /standin/switch` turns outages, slowness and lost answers on and off.
"""

import asyncio
import base64
import bisect
import dataclasses
import json
import time

from aiohttp import web

__all__ = ['KeyValueServer']


@dataclasses.dataclass(frozen=True)
class Row:
    """One version of a key; `value` is base64 text, None a deletion."""

    key: str
    value: str | None
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0

    def to_json(self) -> dict:
        """Return the JSON form."""
        row = {
            'key': base64.b64encode(self.key.encode()).decode(),
            'create_revision': str(self.create_revision),
            'mod_revision': str(self.mod_revision),
            'version': str(self.version),
        }
        if self.value is not None:
            row['value'] = self.value
        if self.lease:
            row['lease'] = str(self.lease)
        return row


@dataclasses.dataclass
class Switches:
    """Faults that can be turned on."""

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    writes_per_s: float = 0.0


class KeyValueServer:
    """The service's state and its HTTP handlers."""

    def __init__(self):
        self.revision = 1
        self.compacted = 0
        self.calls = 0
        self.writes = 0
        self.switches = Switches()
        self._rows: dict[str, Row] = {}
        self._history: list[Row] = []
        self._leases: dict[int, tuple[float, int]] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._write_room_at_s = 0.0

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application()
        app.add_routes(
            [
                web.post('/v3/kv/range', self._call(self._range)),
                web.post('/v3/kv/put', self._call(self._put, True)),
                web.post('/v3/kv/txn', self._call(self._txn, True)),
                web.post('/v3/kv/compaction', self._call(self._compact)),
                web.post('/v3/lease/grant', self._call(self._grant)),
                web.post('/v3/lease/keepalive', self._call(self._keepalive)),
                web.post('/v3/lease/revoke', self._call(self._revoke)),
                web.post('/v3/watch', self._watch),
                web.post('/standin/switch', self._switch),
                web.get('/standin/counts', self._counts),
            ]
        )
        return app

    def _call(self, handler, is_write=False):
        async def call(request):
            await self._fault(request)
            self.calls += 1
            if is_write:
                await self._wait_for_room()
            self._expire()
            body = await request.json()
            answer = handler(body)
            if is_write:
                self.writes += 1
                if self.switches.lose_answers > 0:
                    self.switches.lose_answers -= 1
                    request.transport.close()
            answer['header'] = {'revision': str(self.revision)}
            return web.json_response(answer)

        return call

    async def _fault(self, request):
        if self.switches.delay_s:
            await asyncio.sleep(self.switches.delay_s)
        if self.switches.outage:
            request.transport.close()
            raise web.HTTPServiceUnavailable()

    async def _wait_for_room(self):
        """Keep writes to the rate that is switched on."""
        if not self.switches.writes_per_s:
            return
        now_s = time.monotonic()
        start_s = max(now_s, self._write_room_at_s)
        self._write_room_at_s = start_s + 1 / self.switches.writes_per_s
        await asyncio.sleep(start_s - now_s)

    def _range(self, body):
        rows = [self._rows[key] for key in self._keys(body)]
        return {
            'kvs': [row.to_json() for row in rows],
            'count': str(len(rows)),
        }

    def _keys(self, body):
        start = _text(body['key'])
        if 'range_end' not in body:
            return [start] if start in self._rows else []
        end = _text(body['range_end'])
        return [key for key in sorted(self._rows) if start <= key < end]

    def _put(self, body):
        self.revision += 1
        self._write(body)
        return {}

    def _write(self, body):
        key = _text(body['key'])
        held = self._rows.get(key)
        row = Row(
            key=key,
            value=body.get('value', ''),
            create_revision=held.create_revision if held else self.revision,
            mod_revision=self.revision,
            version=held.version + 1 if held else 1,
            lease=int(body.get('lease', 0)),
        )
        self._rows[key] = row
        self._publish(row)

    def _delete(self, key):
        if key in self._rows:
            del self._rows[key]
            self._publish(Row(key, None, 0, self.revision, 0))

    def _publish(self, row):
        self._history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    def _txn(self, body):
        succeeded = all(self._holds(c) for c in body.get('compare', ()))
        operations = body.get('success' if succeeded else 'failure', ())
        if any('request_put' in operation for operation in operations):
            self.revision += 1
        responses = []
        for operation in operations:
            if 'request_put' in operation:
                self._write(operation['request_put'])
                responses.append({'response_put': {}})
            elif 'request_range' in operation:
                found = self._range(operation['request_range'])
                responses.append({'response_range': found})
        return {'succeeded': succeeded, 'responses': responses}

    def _holds(self, compare):
        row = self._rows.get(_text(compare['key']))
        target = compare['target']
        if target == 'VALUE':
            return row is not None and row.value == compare['value']
        fields = {
            'MOD': 'mod_revision',
            'CREATE': 'create_revision',
            'VERSION': 'version',
        }
        field = fields[target]
        present = getattr(row, field) if row else 0
        return present == int(compare[field])

    def _compact(self, body):
        self.compacted = int(body['revision'])
        self._history = [
            row for row in self._history if row.mod_revision > self.compacted
        ]
        return {}

    def _grant(self, body):
        lease = int(body.get('ID', 0)) or self._next_lease
        self._next_lease = max(self._next_lease, lease) + 1
        ttl_s = int(body['TTL'])
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return {'ID': str(lease), 'TTL': str(ttl_s)}

    def _keepalive(self, body):
        lease = int(body['ID'])
        if lease not in self._leases:
            return {'result': {'ID': str(lease), 'TTL': '0'}}
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return {'result': {'ID': str(lease), 'TTL': str(ttl_s)}}

    def _revoke(self, body):
        self._leases.pop(int(body['ID']), None)
        self._drop_lease(int(body['ID']))
        return {}

    def _expire(self):
        now_s = time.monotonic()
        for lease, (end_s, _) in list(self._leases.items()):
            if end_s <= now_s:
                del self._leases[lease]
                self._drop_lease(lease)

    def _drop_lease(self, lease):
        held = [row.key for row in self._rows.values() if row.lease == lease]
        for key in held:
            self.revision += 1
            self._delete(key)

    async def _watch(self, request):
        await self._fault(request)
        self.calls += 1
        body = (await request.json())['create_request']
        start, end = _text(body['key']), _text(body['range_end'])
        next_revision = int(body.get('start_revision', self.revision + 1))
        response = web.StreamResponse()
        await response.prepare(request)
        if next_revision <= self.compacted:
            await _send(
                response,
                {'canceled': True, 'compact_revision': str(self.compacted)},
            )
            return response
        while not self.switches.outage:
            changed = self._changed
            events = [
                {
                    'type': 'PUT' if row.value is not None else 'DELETE',
                    'kv': row.to_json(),
                }
                for row in self._since(next_revision)
                if start <= row.key < end
            ]
            next_revision = self.revision + 1
            if events:
                await _send(response, {'events': events})
            await changed.wait()
        request.transport.close()
        return response

    def _since(self, revision):
        index = bisect.bisect_left(
            self._history, revision, key=lambda row: row.mod_revision
        )
        return self._history[index:]

    async def _switch(self, request):
        for name, value in (await request.json()).items():
            setattr(self.switches, name, value)
        self._changed.set()
        self._changed = asyncio.Event()
        return web.json_response(dataclasses.asdict(self.switches))

    async def _counts(self, _request):
        return web.json_response({'calls': self.calls, 'writes': self.writes})


def _text(data):
    return base64.b64decode(data).decode()


async def _send(response, result):
    line = json.dumps({'result': result}) + '\n'
    await response.write(line.encode())
