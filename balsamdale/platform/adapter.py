"""Access to the users' platform as one adapter."""

from collections import abc as collections_abc

from aiohttp import web
import msgspec

from balsamdale import adapter
from balsamdale import discovery
from balsamdale import front
from balsamdale import keyvalue
from balsamdale import node_settings
from balsamdale.platform import headers
from balsamdale.platform import records
from balsamdale.platform import store
from balsamdale import routes

__all__ = ['PlatformAdapter']


class PlatformAdapter(adapter.Adapter):
    """Names, formats and calls of the users' platform."""

    table_key = 'op/config'
    server_prefix = 'servers/'

    def __init__(self):
        self.form = headers.PlatformWire()

    def open_store(
        self, given: node_settings.NodeSettings
    ) -> keyvalue.LeasedKeyValue:
        return store.PlatformKeyValue(given.key_value_address)

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
        return key, records.encode_emptying(is_done)

    async def answer_questions(
        self, given: node_settings.NodeSettings, questions: adapter.Questions
    ) -> collections_abc.Callable[[], collections_abc.Awaitable[None]]:
        calls = _Calls(given, questions)
        runners = [
            await _listen(given.ready_address, calls.ready),
            await _listen(given.registry_address, calls.resolve),
        ]

        async def stop():
            for runner in runners:
                await runner.cleanup()

        return stop


class _Calls:
    """Handlers of the platform's calls."""

    def __init__(self, given, questions):
        self._questions = questions
        self._keep_s = given.registry_keep_s

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
        body = {'addresses': addresses, 'ttl_s': self._keep_s}
        return web.Response(
            body=msgspec.json.encode(body), content_type='application/json'
        )


async def _listen(address, handler):
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    site = web.SockSite(runner, front.listening_socket(address))
    await site.start()
    return runner
