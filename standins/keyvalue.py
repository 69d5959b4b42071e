"""Stand-in for the platform's key-value service (etcd v3 JSON gateway).

Implements a subset: range, put, transactions with compare, leases and
watches. `POST /standin/switch` turns outages, delays and lost responses on
and off.
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
class KeyVersion:
    """One version of a key; `value` is base64 text, None a deletion."""

    key: str
    value: str | None
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int = 0

    def to_json(self) -> dict:
        """Return the JSON form."""
        fields = {
            'key': base64.b64encode(self.key.encode()).decode(),
            'create_revision': str(self.create_revision),
            'mod_revision': str(self.mod_revision),
            'version': str(self.version),
        }
        if self.value is not None:
            fields['value'] = self.value
        if self.lease_id:
            fields['lease'] = str(self.lease_id)
        return fields


@dataclasses.dataclass
class Switches:
    """Faults that can be turned on.

    `lose_answers` is how many of the next writes are applied but get no
    response, because the connection is closed.
    """

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
        self._current_versions: dict[str, KeyVersion] = {}
        self._version_log: list[KeyVersion] = []
        self._lease_ends_and_ttls_s: dict[int, tuple[float, int]] = {}
        self._next_lease_id = 1
        self._changed = asyncio.Event()
        self._next_write_at_s = 0.0

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application()
        app.add_routes(
            [
                web.post('/v3/kv/range', self._make_handler(self._range)),
                web.post('/v3/kv/put', self._make_handler(self._put, True)),
                web.post('/v3/kv/txn', self._make_handler(self._txn, True)),
                web.post(
                    '/v3/kv/compaction', self._make_handler(self._compact)
                ),
                web.post('/v3/lease/grant', self._make_handler(self._grant)),
                web.post(
                    '/v3/lease/keepalive', self._make_handler(self._keepalive)
                ),
                web.post('/v3/lease/revoke', self._make_handler(self._revoke)),
                web.post('/v3/watch', self._watch),
                web.post('/standin/switch', self._switch),
                web.get('/standin/counts', self._report_counts),
            ]
        )
        return app

    def _make_handler(self, operation, is_write=False):
        async def handle(request):
            await self._apply_faults(request)
            self.calls += 1
            if is_write:
                await self._limit_write_rate()
            self._expire()
            body = await request.json()
            result = operation(body)
            if is_write:
                self.writes += 1
                if self.switches.lose_answers > 0:
                    self.switches.lose_answers -= 1
                    request.transport.close()
            result['header'] = {'revision': str(self.revision)}
            return web.json_response(result)

        return handle

    async def _apply_faults(self, request):
        if self.switches.delay_s:
            await asyncio.sleep(self.switches.delay_s)
        if self.switches.outage:
            request.transport.close()
            raise web.HTTPServiceUnavailable()

    async def _limit_write_rate(self):
        """Delay a write so that the rate stays within `writes_per_s`."""
        if not self.switches.writes_per_s:
            return
        now_s = time.monotonic()
        start_s = max(now_s, self._next_write_at_s)
        self._next_write_at_s = start_s + 1 / self.switches.writes_per_s
        await asyncio.sleep(start_s - now_s)

    def _range(self, body):
        versions = [self._current_versions[key] for key in self._keys(body)]
        return {
            'kvs': [version.to_json() for version in versions],
            'count': str(len(versions)),
        }

    def _keys(self, body):
        start = _text(body['key'])
        if 'range_end' not in body:
            return [start] if start in self._current_versions else []
        end = _text(body['range_end'])
        return [
            key for key in sorted(self._current_versions) if start <= key < end
        ]

    def _put(self, body):
        self.revision += 1
        self._write(body)
        return {}

    def _write(self, body):
        key = _text(body['key'])
        previous = self._current_versions.get(key)
        new_version = KeyVersion(
            key=key,
            value=body.get('value', ''),
            create_revision=previous.create_revision
            if previous
            else self.revision,
            mod_revision=self.revision,
            version=previous.version + 1 if previous else 1,
            lease_id=int(body.get('lease', 0)),
        )
        self._current_versions[key] = new_version
        self._append_version(new_version)

    def _delete(self, key):
        if key in self._current_versions:
            del self._current_versions[key]
            self._append_version(KeyVersion(key, None, 0, self.revision, 0))

    def _append_version(self, version):
        self._version_log.append(version)
        self._changed.set()
        self._changed = asyncio.Event()

    def _txn(self, body):
        succeeded = all(
            self._is_satisfied(comparison)
            for comparison in body.get('compare', ())
        )
        operations = body.get('success' if succeeded else 'failure', ())
        if any('request_put' in operation for operation in operations):
            self.revision += 1
        responses = []
        for operation in operations:
            if 'request_put' in operation:
                self._write(operation['request_put'])
                responses.append({'response_put': {}})
            elif 'request_range' in operation:
                range_result = self._range(operation['request_range'])
                responses.append({'response_range': range_result})
        return {'succeeded': succeeded, 'responses': responses}

    def _is_satisfied(self, comparison):
        version = self._current_versions.get(_text(comparison['key']))
        target = comparison['target']
        if target == 'VALUE':
            return version is not None and version.value == comparison['value']
        fields = {
            'MOD': 'mod_revision',
            'CREATE': 'create_revision',
            'VERSION': 'version',
        }
        field = fields[target]
        actual = getattr(version, field) if version else 0
        return actual == int(comparison[field])

    def _compact(self, body):
        self.compacted = int(body['revision'])
        self._version_log = [
            version
            for version in self._version_log
            if version.mod_revision > self.compacted
        ]
        return {}

    def _grant(self, body):
        lease_id = int(body.get('ID', 0)) or self._next_lease_id
        self._next_lease_id = max(self._next_lease_id, lease_id) + 1
        ttl_s = int(body['TTL'])
        self._lease_ends_and_ttls_s[lease_id] = (
            time.monotonic() + ttl_s,
            ttl_s,
        )
        return {'ID': str(lease_id), 'TTL': str(ttl_s)}

    def _keepalive(self, body):
        lease_id = int(body['ID'])
        if lease_id not in self._lease_ends_and_ttls_s:
            return {'result': {'ID': str(lease_id), 'TTL': '0'}}
        ttl_s = self._lease_ends_and_ttls_s[lease_id][1]
        self._lease_ends_and_ttls_s[lease_id] = (
            time.monotonic() + ttl_s,
            ttl_s,
        )
        return {'result': {'ID': str(lease_id), 'TTL': str(ttl_s)}}

    def _revoke(self, body):
        self._lease_ends_and_ttls_s.pop(int(body['ID']), None)
        self._remove_lease_keys(int(body['ID']))
        return {}

    def _expire(self):
        now_s = time.monotonic()
        for lease_id, (end_s, _) in list(self._lease_ends_and_ttls_s.items()):
            if end_s <= now_s:
                del self._lease_ends_and_ttls_s[lease_id]
                self._remove_lease_keys(lease_id)

    def _remove_lease_keys(self, lease_id):
        keys = [
            version.key
            for version in self._current_versions.values()
            if version.lease_id == lease_id
        ]
        for key in keys:
            self.revision += 1
            self._delete(key)

    async def _watch(self, request):
        await self._apply_faults(request)
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
                    'type': 'PUT' if version.value is not None else 'DELETE',
                    'kv': version.to_json(),
                }
                for version in self._versions_since(next_revision)
                if start <= version.key < end
            ]
            next_revision = self.revision + 1
            if events:
                await _send(response, {'events': events})
            await changed.wait()
        request.transport.close()
        return response

    def _versions_since(self, revision):
        index = bisect.bisect_left(
            self._version_log,
            revision,
            key=lambda version: version.mod_revision,
        )
        return self._version_log[index:]

    async def _switch(self, request):
        for name, value in (await request.json()).items():
            setattr(self.switches, name, value)
        self._changed.set()
        self._changed = asyncio.Event()
        return web.json_response(dataclasses.asdict(self.switches))

    async def _report_counts(self, _request):
        return web.json_response({'calls': self.calls, 'writes': self.writes})


def _text(data):
    return base64.b64decode(data).decode()


async def _send(response, result):
    line = json.dumps({'result': result}) + '\n'
    await response.write(line.encode())
