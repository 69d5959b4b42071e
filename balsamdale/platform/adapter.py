"""Implementation of `adapter.Adapter` for the platform."""

from collections import abc as collections_abc

from aiohttp import web
import msgspec

from balsamdale import adapter
from balsamdale import discovery
from balsamdale import keyvalue
from balsamdale import node_settings
from balsamdale.platform import headers
from balsamdale.platform import records
from balsamdale.platform import store
from balsamdale import routes
from balsamdale import sockets

__all__ = ['PlatformAdapter']


class PlatformAdapter(adapter.Adapter):
    """Names, formats and calls of the platform."""

    table_key = 'op/config'
    server_prefix = 'servers/'

    def __init__(self):
        self.form = headers.PlatformWireFormat()

    def open_store(
        self, settings: node_settings.NodeSettings
    ) -> keyvalue.LeasedKeyValue:
        return store.PlatformKeyValue(settings.key_value_address)

    def table(self, value: bytes) -> routes.RouteTable:
        return records.decode_table(value)

    def server(self, server_id: str, value: bytes) -> discovery.Server:
        return records.decode_server(server_id, value)

    def emptying_key(self, instance_id: str) -> str:
        return f'op/retire/{instance_id}'

    def emptying_answer(
        self, instance_id: str, is_done: bool
    ) -> tuple[str, bytes]:
        key = f'status/retire/{instance_id}'
        state = 'completed' if is_done else 'running'
        return key, msgspec.json.encode({'state': state})

    async def answer_questions(
        self,
        settings: node_settings.NodeSettings,
        questions: adapter.Questions,
    ) -> collections_abc.Callable[[], collections_abc.Awaitable[None]]:
        endpoints = _Endpoints(settings, questions)
        runners = [
            await sockets.serve(endpoints.ready, settings.ready_address),
            await sockets.serve(endpoints.resolve, settings.registry_address),
        ]

        async def stop():
            for runner in runners:
                await runner.cleanup()

        return stop


class _Endpoints:
    """HTTP handlers of the platform's readiness check and registry."""

    def __init__(self, settings, questions):
        self._questions = questions
        self._cache_ttl_s = settings.registry_keep_s

    async def ready(self, request):
        if request.path != '/api/readyz':
            return web.Response(status=404)
        status = 200 if self._questions.is_ready() else 503
        return web.Response(status=status)

    async def resolve(self, request):
        if request.path != '/api/resolve':
            return web.Response(status=404)
        domain = request.query.get('zone', '')
        addresses = self._questions.addresses(domain)
        if not addresses:
            return web.Response(status=503)
        body = {'addresses': addresses, 'ttl_s': self._cache_ttl_s}
        return web.Response(
            body=msgspec.json.encode(body), content_type='application/json'
        )
