"""Implementation of `adapter.Adapter` for the platform."""

import asyncio
from collections import abc as collections_abc

from aiohttp import web
import msgspec

from balsamdale import adapter
from balsamdale import connection_gate
from balsamdale import discovery
from balsamdale import http_server
from balsamdale import keyvalue
from balsamdale import node_settings
from balsamdale.platform import headers
from balsamdale.platform import records
from balsamdale.platform import store
from balsamdale import routes

__all__ = ['PlatformAdapter']

CONTRACT_OF_SCARCE_SERVERS = 'pressure'


class PlatformAdapter(adapter.Adapter):
    """Names, formats and calls of the platform."""

    route_table_key = 'op/config'
    server_prefix = 'servers/'

    def __init__(self):
        self.wire_format = headers.PlatformWireFormat()

    def open_store(
        self, settings: node_settings.NodeSettings
    ) -> keyvalue.LeasedKeyValue:
        return store.PlatformKeyValue(settings.key_value_address)

    def decode_route_table(self, value: bytes) -> routes.RouteTable:
        return records.decode_table(value)

    def decode_server(self, server_id: str, value: bytes) -> discovery.Server:
        return records.decode_server(server_id, value)

    def has_scarce_servers(self, settings: node_settings.NodeSettings) -> bool:
        return CONTRACT_OF_SCARCE_SERVERS in settings.contracts

    def decommission_key(self, instance_id: str) -> str:
        return f'op/retire/{instance_id}'

    def decommission_status(
        self, instance_id: str, is_done: bool
    ) -> tuple[str, bytes]:
        key = f'status/retire/{instance_id}'
        state = 'completed' if is_done else 'running'
        return key, msgspec.json.encode({'state': state})

    async def serve_entry_status(
        self,
        settings: node_settings.NodeSettings,
        entry_status: adapter.EntryStatus,
        gate: connection_gate.ConnectionGate,
    ) -> collections_abc.Callable[[], collections_abc.Awaitable[None]]:
        endpoints = _Endpoints(settings, entry_status)
        servers = [
            await http_server.serve(handler, address, gate)
            for handler, address in (
                (endpoints.ready, settings.ready_address),
                (endpoints.resolve, settings.registry_address),
            )
        ]

        async def stop():
            await asyncio.gather(*(server.close() for server in servers))

        return stop


class _Endpoints:
    """HTTP handlers of the platform's readiness check and registry."""

    def __init__(self, settings, entry_status):
        self._entry_status = entry_status
        self._cache_ttl_s = settings.registry_keep_s

    async def ready(self, request):
        if request.path != '/api/readyz':
            return web.Response(status=404)
        status = 200 if self._entry_status.is_ready() else 503
        return web.Response(status=status)

    async def resolve(self, request):
        if request.path != '/api/resolve':
            return web.Response(status=404)
        domain = request.query.get('zone', '')
        addresses = self._entry_status.addresses(domain)
        if not addresses:
            return web.Response(status=503)
        body = {'addresses': addresses, 'ttl_s': self._cache_ttl_s}
        return web.Response(
            body=msgspec.json.encode(body), content_type='application/json'
        )
