"""Directory of the backend servers that have registered themselves.

It does no I/O: it takes decoded registrations, and the present time as an
argument. Instances are in `members`.
"""

import collections
from collections import abc as collections_abc
import dataclasses
import typing

from balsamdale import codec
from balsamdale import decisions

__all__ = ['Directory', 'ReportLeaving', 'Server']

# Time within which servers register again after an outage of the key-value
# service, as the platform guarantees.
REREGISTRATION_GRACE_S = 2.0
# Leaving servers that are remembered: several times the largest deployment.
LEAVING_LIMIT = 20000
MAX_SERVER_ID_LENGTH = 256


@dataclasses.dataclass(frozen=True)
class Server:
    """A backend server's registration.

    Attributes:
        server_id: id of the server; one that starts again may keep it.
        service: service that it belongs to.
        address: IP address and port.
        failure_domain: failure domain that it runs in.
        slots: requests that it runs at once.
        state: 'ready', or 'draining' before a planned stop.
        started_ms: start of the server, since the Unix epoch; 0 if unknown.
        warm_up_s: remaining time during which it is slow after its start.
    """

    server_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    state: typing.Literal['ready', 'draining']
    started_ms: int = 0
    warm_up_s: float = 0.0


@codec.message
class ReportLeaving:
    """Reports to a peer that a server has said that it is leaving.

    Attributes:
        server_id: id of the server.
        started_ms: start of the server, as in its registration.
    """

    server_id: str
    started_ms: int

    def is_valid(self) -> bool:
        """Return whether the fields are in range."""
        return (
            0 < len(self.server_id) <= MAX_SERVER_ID_LENGTH
            and self.started_ms >= 0
        )


class Directory:
    """Registered servers by id.

    A registration that is missing after an outage of the key-value service
    is removed tentatively: it is kept for a grace period, since only its
    lease may have expired during the outage.

    A server that is leaving is not ready until it registers with another
    start time; its registration may stay, or come again, unchanged.
    """

    def __init__(self):
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, tuple[Server, ...]] = {}
        self._tentative_until_s: dict[str, float] = {}
        # Keys of server id and start time; a dict keeps the order.
        self._leaving: dict[tuple[str, int], None] = collections.OrderedDict()

    def put(self, server: Server) -> None:
        """Add a registration, or replace the one with the same id."""
        self._tentative_until_s.pop(server.server_id, None)
        previous = self._servers.get(server.server_id)
        self._servers[server.server_id] = server
        self._by_service.clear()
        if previous is None or previous.state != server.state:
            decisions.record(
                'server_known',
                server=server.server_id,
                service=server.service,
                state=server.state,
            )

    def remove(self, server_id: str, now_s: float, is_tentative: bool) -> None:
        """Remove a registration.

        Args:
            server_id: id of the server.
            now_s: the present time.
            is_tentative: whether its lease may only have expired during an
                outage, so that the server may register again.
        """
        if server_id not in self._servers:
            return
        if is_tentative:
            self._tentative_until_s[server_id] = now_s + REREGISTRATION_GRACE_S
            return
        self._remove_now(server_id)

    def expire(self, now_s: float) -> None:
        """Remove servers whose grace period after an outage has ended."""
        expired = [
            name
            for name, end_s in self._tentative_until_s.items()
            if end_s <= now_s
        ]
        for server_id in expired:
            self._remove_now(server_id)

    def mark_leaving(self, server_id: str, started_ms: int) -> bool:
        """Mark a server as leaving, also before it is registered here.

        Args:
            server_id: id of the server.
            started_ms: start of the server; another start is not marked.

        Returns:
            Whether it was not marked before.
        """
        if (server_id, started_ms) in self._leaving:
            return False
        self._leaving[server_id, started_ms] = None
        while len(self._leaving) > LEAVING_LIMIT:
            self._leaving.popitem(last=False)
        self._by_service.clear()
        decisions.record(
            'server_leaving', server=server_id, started_ms=started_ms
        )
        return True

    def count_leaving(self) -> int:
        """Return how many registered servers are leaving."""
        return sum(map(self._is_leaving, self._servers.values()))

    def leaving(self) -> collections_abc.Iterator[ReportLeaving]:
        """Yield a report of each registered server that is leaving."""
        for server in list(self._servers.values()):
            if self._is_leaving(server):
                yield ReportLeaving(server.server_id, server.started_ms)

    def is_current(self, server: Server) -> bool:
        """Return whether a server has not restarted since it was chosen."""
        registered = self._servers.get(server.server_id, server)
        return registered.started_ms == server.started_ms

    def ready(self, service: str) -> tuple[Server, ...]:
        """Return the servers of a service that accept new requests."""
        if service not in self._by_service:
            self._by_service[service] = tuple(
                server
                for server in self._servers.values()
                if server.service == service
                and server.state == 'ready'
                and not self._is_leaving(server)
            )
        return self._by_service[service]

    def __iter__(self) -> collections_abc.Iterator[Server]:
        return iter(self._servers.values())

    def _is_leaving(self, server):
        return (server.server_id, server.started_ms) in self._leaving

    def _remove_now(self, server_id):
        self._tentative_until_s.pop(server_id, None)
        del self._servers[server_id]
        self._by_service.clear()
        decisions.record('server_gone', server=server_id)
