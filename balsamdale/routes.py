"""Routes: which service serves a request, and under which limits.

`balance` chooses among the backend servers of that service.
"""

import dataclasses
import functools
import hashlib

__all__ = [
    'Limits',
    'Route',
    'RouteTable',
    'Service',
    'Target',
    'Workspace',
    'key_digest',
]


def key_digest(key: str) -> bytes:
    """Return the digest of an API key, the only form that is kept of it."""
    return hashlib.sha256(key.encode()).digest()


@dataclasses.dataclass(frozen=True)
class Target:
    """A service of a route, with the weight of its share of requests."""

    service: str
    weight: int = 1


@dataclasses.dataclass(frozen=True)
class Route:
    """How requests below one path prefix of a host are served.

    Attributes:
        name: unique name.
        host: host name in the request.
        path_prefix: start of the path; begins and ends with a slash.
        targets: services that may run the request.
        is_idempotent: whether a request may run more than once.
        is_stream: whether the response is a stream of events.
        timeout_s: longest time from arrival to the end of the response.
        objective_s: latency objective of a response.
        priority: rank in queues; 0 is the most urgent.
        attempt_limit: backend servers that one request may be sent to.
        stores_turns: whether turns are stored, so that they can be continued.
        retention_s: how long a stored turn can be continued.
        event_gap_limit_s: longest pause between events that is on time; 0 if
            there is no such objective.
        is_sticky: whether a server that has handled an object recently is
            faster at it.
        can_resume: whether a stream may go on at another server after its
            last complete event.
        is_public: whether requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[Target, ...]
    is_idempotent: bool
    is_stream: bool
    timeout_s: float
    objective_s: float
    priority: int
    attempt_limit: int
    stores_turns: bool = False
    retention_s: float = 0.0
    event_gap_limit_s: float = 0.0
    is_sticky: bool = False
    can_resume: bool = False
    is_public: bool = False

    def choose_service(self, hash_value: int) -> str:
        """Return the service for a hash, in proportion to the weights.

        Args:
            hash_value: hash of the program or request; equal values select
                the same service.
        """
        remaining = hash_value % sum(target.weight for target in self.targets)
        for target in self.targets:
            remaining -= target.weight
            if remaining < 0:
                break
        return target.service


@dataclasses.dataclass(frozen=True)
class Service:
    """Properties shared by the backend servers of a service.

    Attributes:
        name: unique name.
        max_connections: connections that one server accepts in total.
        tokens_per_event: tokens in one event of a stream.
        slots: requests that a model engine runs at once; 0 if unknown.
        memory_tokens: tokens that a model engine holds; 0 if unknown.
    """

    name: str
    max_connections: int
    tokens_per_event: int = 1
    slots: int = 0
    memory_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A customer whose requests carry API keys and are limited together.

    Attributes:
        name: unique name.
        key_digests: digests of its API keys.
        priority: rank in queues in place of the route's; None for the
            route's.
        rate_per_s: requests per second over all instances; 0 for no limit.
        burst: requests that may exceed the rate at once.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits on the size and the time of callers' requests."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """One version of all routes and services."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()
    workspaces: tuple[Workspace, ...] = ()

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        routes = self._by_host.get(host, {})
        end = path.rfind('/') + 1
        while end > 0:
            route = routes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None

    def service(self, name: str) -> Service:
        """Return a service; one that is not in the table has defaults."""
        return self._services.get(name) or Service(name, 64)

    def find_workspace(self, digest: bytes) -> Workspace | None:
        """Return the workspace that holds a key, or None.

        Args:
            digest: digest of the key; see `key_digest`.
        """
        return self._workspaces_by_digest.get(digest)

    @functools.cached_property
    def _workspaces_by_digest(self):
        return {
            digest: workspace
            for workspace in self.workspaces
            for digest in workspace.key_digests
        }

    @functools.cached_property
    def _by_host(self):
        grouped = {}
        for route in self.routes:
            grouped.setdefault(route.host, {})[route.path_prefix] = route
        return grouped

    @functools.cached_property
    def _services(self):
        return {service.name: service for service in self.services}
