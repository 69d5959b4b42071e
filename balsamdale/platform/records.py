"""Access to what operators and servers write to the platform's service."""

import ipaddress
import math

import msgspec

from balsamdale import discovery
from balsamdale import errors
from balsamdale import findings
from balsamdale import routes

__all__ = ['decode_server', 'decode_table']

STREAMING = 'streaming'
IDEMPOTENT = 'idempotent'


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: int = 1


class _Route(msgspec.Struct, frozen=True):
    """A route as the operator writes it.

    `retain_context`: the system keeps what was said; `split`: services by
    weight, in place of `service`.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    service: str = ''
    split: list[_Share] = []
    slo_ms: float = 0
    priority: int = 0
    attempts: int = 1
    retain_context: bool = False
    keep_s: float = 0.0
    gap_aim_ms: float = 0


class _Engine(msgspec.Struct, frozen=True):
    tokens_per_event: int = 1
    slots: int = 0


class _Service(msgspec.Struct, frozen=True):
    name: str
    max_conns: int = 64
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Config(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = _Limits()


class _Server(msgspec.Struct, frozen=True):
    """A server's registration; `born` is the time of its start."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    seq: int
    cold_left_ms: float = 0
    born: int = 0


_CONFIG = msgspec.json.Decoder(_Config)
_SERVER = msgspec.json.Decoder(_Server)


def decode_table(value: bytes) -> routes.RouteTable:
    """Decode the newest configuration.

    Raises:
        ValidationFailed: it cannot be read.
    """
    config = _decode(_CONFIG, value, 'configuration')
    return routes.RouteTable(
        version=config.version,
        routes=tuple(_route(row) for row in config.routes),
        services=tuple(_service(row) for row in config.services),
        limits=routes.Limits(
            header_bytes=config.limits.max_header_bytes,
            body_bytes=config.limits.max_body_bytes,
            header_timeout_s=config.limits.header_timeout_ms / 1000,
            idle_timeout_s=config.limits.idle_timeout_ms / 1000,
        ),
    )


def decode_server(server_id: str, value: bytes) -> discovery.Server:
    """Decode a server's registration.

    Raises:
        ValidationFailed: it names no server to use.
    """
    row = _decode(_SERVER, value, server_id)
    problem = _problem(row)
    if problem:
        raise errors.ValidationFailed(
            [findings.Finding(server_id, 0, *problem)]
        )
    return discovery.Server(
        server_id=server_id,
        service=row.service,
        address=row.address,
        failure_domain=row.zone,
        slots=row.slots,
        state=row.state,
        started_ms=row.born,
        warm_up_s=max(0.0, row.cold_left_ms) / 1000,
    )


def _decode(decoder, value, place):
    try:
        return decoder.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        finding = findings.Finding(place, 0, '', str(error))
        raise errors.ValidationFailed([finding]) from error


def _problem(row):
    """Return key and text of what makes a registration unusable."""
    if row.state not in ('ready', 'draining'):
        return 'state', f'{row.state!r} is not known'
    host, _, port = row.address.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return 'address', f'{row.address!r} is no IP number and port'
    if not port.isdigit() or not 0 < int(port) < 65536:
        return 'address', f'{row.address!r} has no valid port'
    if row.slots < 1 or not math.isfinite(row.cold_left_ms):
        return 'slots', 'must be above 0'
    return None


def _route(row):
    targets = tuple(
        routes.Target(share.service, share.weight)
        for share in row.split
        if share.weight > 0
    )
    return routes.Route(
        name=row.name,
        host=row.host.lower(),
        path_prefix=row.path_prefix,
        targets=targets or (routes.Target(row.service),),
        is_idempotent=row.kind == IDEMPOTENT,
        is_stream=row.kind == STREAMING,
        timeout_s=row.timeout_ms / 1000,
        objective_s=row.slo_ms / 1000,
        priority=row.priority,
        attempt_limit=max(1, row.attempts),
        stores_turns=row.retain_context,
        retention_s=row.keep_s,
        event_gap_limit_s=row.gap_aim_ms / 1000,
    )


def _service(row):
    engine = row.engine or _Engine()
    return routes.Service(
        name=row.name,
        max_connections=row.max_conns,
        tokens_per_event=engine.tokens_per_event,
        slots=engine.slots,
    )
