"""Access to a request on its way through an entry."""

import abc
from collections import abc as collections_abc
import dataclasses
import hashlib

from balsamdale import balance
from balsamdale import discovery
from balsamdale import events
from balsamdale import exchange
from balsamdale import metrics
from balsamdale import quarantine
from balsamdale import quorum
from balsamdale import routes
from balsamdale import wire

__all__ = ['Context', 'RequestState', 'Responder', 'digest']


class Responder(abc.ABC):
    """The way back to one caller.

    Every method raises `CallerDisconnected` where the caller has left.

    Attributes:
        has_begun: whether a part of an answer has left.
    """

    has_begun = False

    @abc.abstractmethod
    async def respond(
        self, status: int, headers: list[wire.Header], body: bytes
    ) -> None:
        """Send a whole answer."""

    @abc.abstractmethod
    async def begin(self, status: int, headers: list[wire.Header]) -> None:
        """Start an answer whose body follows in parts."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    @abc.abstractmethod
    async def end(self) -> None:
        """End the body."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection, so that the answer cannot look whole."""


@dataclasses.dataclass(frozen=True)
class Context:
    """What serving works with.

    Attributes:
        table: returns the routes in force; None while there are none.
        directory: the backend servers that are known.
        balancer: loads of servers.
        exchange: requests to servers.
        quorum: kept turns and accounts.
        form: header names of the interface.
        clock: returns the present time of the steady clock in seconds.
        wall_clock: returns the present time in seconds since the Unix
            epoch.
        quarantine: requests that crash servers.
        report_crash: tells the other instances of a crash.
        record_latency: counts how long a request took, by its outcome.
    """

    table: collections_abc.Callable[[], routes.RouteTable | None]
    directory: discovery.Directory
    balancer: balance.Balancer
    http_client: exchange.HttpClient
    quorum: quorum.Quorum
    wire_format: wire.WireFormat
    clock: collections_abc.Callable[[], float]
    wall_clock: collections_abc.Callable[[], float]
    quarantine: quarantine.Quarantine
    report_crash: collections_abc.Callable[[quarantine.ReportCrash], None]
    record_latency: metrics.Histogram


@dataclasses.dataclass
class RequestState:
    """A request on its way through this instance."""

    call: wire.Call
    route: routes.Route
    service: routes.Service
    responder: Responder
    version: int
    started_s: float
    deadline_s: float
    delivered_attempts: int = 0
    may_have_run: bool = False
    attempts: int = 0
    server_id: str = ''
    status: int = 0
    last_received_s: float = 0.0
    load: float = 0.0
    report_age_s: float = 0.0
    stage_times_s: dict[str, float] = dataclasses.field(default_factory=dict)
    reader: events.EventReader = dataclasses.field(
        default_factory=events.EventReader
    )


def digest(call: wire.Call) -> str:
    """Return what identifies a request that comes again."""
    hashed = hashlib.blake2b(call.target.encode(), digest_size=12)
    hashed.update(call.body)
    return hashed.hexdigest()
