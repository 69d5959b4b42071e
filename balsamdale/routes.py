"""Access to routes: which service serves a request, and on what terms."""

import dataclasses
import functools

__all__ = ['Limits', 'Route', 'RouteTable', 'Service', 'Target']


@dataclasses.dataclass(frozen=True)
class Target:
    """A service that a route leads to, with its share of the requests."""

    service: str
    weight: int = 1


@dataclasses.dataclass(frozen=True)
class Route:
    """The terms of requests below one path prefix of a host.

    Attributes:
        name: unique name.
        host: host name that the request asks for.
        path_prefix: start of the path; begins and ends with a slash.
        targets: services that may run the request.
        is_idempotent: whether a request may run more than once.
        is_stream: whether the answer is a series of events.
        timeout_s: longest time that a request is kept waiting.
        objective_s: time within which an answer is on time.
        priority: rank in queues; 0 is the most urgent.
        attempts: backend servers that one request may be sent to.
        keeps_turns: whether the system keeps what was said.
        keep_s: how long a kept turn can be continued.
        gap_s: longest pause between events that is on time; 0 for none.
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

    def choose_service(self, hash_value: int) -> str:
        """Return the service for a point, in proportion to the weights.

        Args:
            point: any number; equal numbers lead to the same service.
        """
        remaining = hash_value % sum(target.weight for target in self.targets)
        for target in self.targets:
            remaining -= target.weight
            if remaining < 0:
                break
        return target.service


@dataclasses.dataclass(frozen=True)
class Service:
    """What the backend servers of a service have in common.

    Attributes:
        name: unique name.
        max_connections: connections that one server takes from all callers.
        tokens_per_event: tokens in one event of a stream.
        slots: requests that a model engine runs at once; 0 if not told.
    """

    name: str
    max_connections: int
    tokens_per_event: int = 1
    slots: int = 0


@dataclasses.dataclass(frozen=True)
class Limits:
    """What a caller may send, and how long it may take or stay idle."""

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
        """Return a service; one that is not described takes defaults."""
        return self._services.get(name) or Service(name, 64)

    @functools.cached_property
    def _by_host(self):
        grouped = {}
        for route in self.routes:
            grouped.setdefault(route.host, {})[route.path_prefix] = route
        return grouped

    @functools.cached_property
    def _services(self):
        return {service.name: service for service in self.services}
