"""Decoding of what operators and servers write to the key-value service."""

import ipaddress
import math

import msgspec

from balsamdale import discovery
from balsamdale import errors
from balsamdale import findings
from balsamdale import routes

__all__ = ['decode_server', 'decode_table']

# Slots of a plausible server; with more, it would count as always free.
MAX_SLOTS = 65536
# Largest start of a server that messages between instances can carry.
MAX_STARTED_MS = 2**63 - 1

KIND_STREAMING = 'streaming'
KIND_IDEMPOTENT = 'idempotent'


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: int = 1


class _Route(msgspec.Struct, frozen=True):
    """A route as the operator writes it.

    `retain_context`: turns are stored; `split`: services by weight, in place
    of `service`.
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
    sticky: bool = False
    can_resume: bool = False
    public: bool = False


class _Engine(msgspec.Struct, frozen=True):
    tokens_per_event: int = 1
    slots: int = 0
    kv_capacity: int = 0


class _Service(msgspec.Struct, frozen=True):
    name: str
    max_conns: int = 64
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(msgspec.Struct, frozen=True):
    """A workspace; `rate_per_s` of 0 means that it has no limit."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Config(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []


class _Server(msgspec.Struct, frozen=True):
    """A server's registration; `born`: its start, ms since the Unix epoch."""

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
    """Decode the route table, the platform's configuration.

    Raises:
        ValidationFailed: it cannot be decoded.
    """
    config = _decode(_CONFIG, value, 'configuration')
    return routes.RouteTable(
        version=config.version,
        routes=tuple(_decode_route(record) for record in config.routes),
        services=tuple(_decode_service(record) for record in config.services),
        limits=routes.Limits(
            header_bytes=config.limits.max_header_bytes,
            body_bytes=config.limits.max_body_bytes,
            header_timeout_s=config.limits.header_timeout_ms / 1000,
            idle_timeout_s=config.limits.idle_timeout_ms / 1000,
        ),
        workspaces=tuple(_decode_workspace(r) for r in config.tenants),
    )


def decode_server(server_id: str, value: bytes) -> discovery.Server:
    """Decode a server's registration.

    Raises:
        ValidationFailed: the registration is malformed or unusable.
    """
    record = _decode(_SERVER, value, server_id)
    problem = _find_problem(server_id, record)
    if problem:
        raise errors.ValidationFailed(
            [findings.Finding(server_id, 0, *problem)]
        )
    return discovery.Server(
        server_id=server_id,
        service=record.service,
        address=record.address,
        failure_domain=record.zone,
        slots=record.slots,
        state=record.state,
        started_ms=record.born,
        warm_up_s=max(0.0, record.cold_left_ms) / 1000,
    )


def _decode(decoder, value, source):
    try:
        return decoder.decode(value)
    except (
        msgspec.MsgspecError,
        RecursionError,
        UnicodeDecodeError,
    ) as error:
        finding = findings.Finding(source, 0, '', str(error))
        raise errors.ValidationFailed([finding]) from error


def _find_problem(server_id, record):
    """Return the key and a message if a registration is unusable."""
    if not server_id or not server_id.isprintable():
        return '', f'{server_id!r} is not the id of a server'
    if record.state not in ('ready', 'draining'):
        return 'state', f'{record.state!r} is neither ready nor draining'
    host, _, port = record.address.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return 'address', f'{record.address!r} is not an IP number and port'
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_number or not 0 < int(port) < 65536:
        return 'address', f'{record.address!r} has no valid port'
    if not 0 < record.slots <= MAX_SLOTS:
        return 'slots', f'{record.slots} is not from 1 to {MAX_SLOTS}'
    if not math.isfinite(record.cold_left_ms):
        return 'cold_left_ms', f'{record.cold_left_ms} is not finite'
    if not 0 <= record.born <= MAX_STARTED_MS:
        return 'born', f'{record.born} is not from 0 to {MAX_STARTED_MS}'
    return None


def _decode_route(record):
    targets = tuple(
        routes.Target(share.service, share.weight)
        for share in record.split
        if share.weight > 0
    )
    return routes.Route(
        name=record.name,
        host=record.host.lower(),
        path_prefix=record.path_prefix,
        targets=targets or (routes.Target(record.service),),
        is_idempotent=record.kind == KIND_IDEMPOTENT,
        is_stream=record.kind == KIND_STREAMING,
        timeout_s=record.timeout_ms / 1000,
        objective_s=record.slo_ms / 1000,
        priority=record.priority,
        attempt_limit=max(1, record.attempts),
        stores_turns=record.retain_context,
        retention_s=record.keep_s,
        event_gap_limit_s=record.gap_aim_ms / 1000,
        is_sticky=record.sticky,
        can_resume=record.can_resume,
        is_public=record.public,
    )


def _decode_workspace(record):
    return routes.Workspace(
        name=record.name,
        key_digests=frozenset(map(routes.key_digest, record.api_keys)),
        priority=record.priority,
        rate_per_s=record.rate_per_s,
        burst=record.burst,
    )


def _decode_service(record):
    engine = record.engine or _Engine()
    return routes.Service(
        name=record.name,
        max_connections=record.max_conns,
        tokens_per_event=engine.tokens_per_event,
        slots=engine.slots,
        memory_tokens=engine.kv_capacity,
    )
