"""State of a routed request, and what an entry serves it with."""

import abc
from collections import abc as collections_abc
import dataclasses
import hashlib

from balsamdale import crash_reports
from balsamdale import discovery
from balsamdale import events
from balsamdale import exchange
from balsamdale import http_connection
from balsamdale import limit_client
from balsamdale import metrics
from balsamdale import quarantine
from balsamdale import quorum
from balsamdale import quota
from balsamdale import routes
from balsamdale.scheduling import balance
from balsamdale import server_paths
from balsamdale import wire

__all__ = [
    'Context',
    'RecordIds',
    'RequestState',
    'Responder',
    'crash_digest',
    'earlier_crash_digest',
    'record_ids',
]

# Longer than those of earlier builds, so that none is taken for another.
CRASH_DIGEST_BYTES = 16


class Responder(abc.ABC):
    """Sends the response to one caller.

    Every method but `abort` raises `CallerDisconnected` once the caller has
    closed its connection.

    Attributes:
        has_begun: whether the response has begun to be sent.
    """

    has_begun = False

    def hold(self, size_bytes: int) -> bool:
        """Count memory that the request needs until its response has ended.

        Returns:
            Whether this instance has that much; it is counted anyway.
        """
        return True

    @abc.abstractmethod
    async def respond(
        self, status: int, headers: list[wire.Header], body: bytes
    ) -> None:
        """Send a complete response."""

    @abc.abstractmethod
    async def begin(self, status: int, headers: list[wire.Header]) -> None:
        """Start a response whose body follows in parts."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    @abc.abstractmethod
    async def end(self) -> None:
        """End the body."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection, so that the response is seen as cut short."""


@dataclasses.dataclass(frozen=True)
class Context:
    """The parts of an instance that requests are served with.

    Attributes:
        table: returns the routes in force; None while there are none.
        directory: the registered backend servers.
        balancer: chooses backend servers by their load.
        http_client: sends requests to backend servers.
        quorum: reads and writes stored turns and accounts.
        wire_format: translation of header names.
        clock: returns the present time of the monotonic clock in seconds.
        wall_clock: returns the present time in seconds since the Unix
            epoch.
        account_retention_s: how long a program's token account is kept after
            the program's deadline and the retention of its turns.
        quarantine: requests that crashed backend servers.
        crash_reports: tells the other entries of crashes.
        report_leaving: tells the other entries that a server is leaving.
        record_latency: records how long a request took, by its outcome.
        quota: acquires units of the quotas of workspaces.
        limits: the limits that servers name.
        paths: paths to backend servers.
        paused_s: returns the length of a pause of this process that has just
            ended, or 0.
    """

    table: collections_abc.Callable[[], routes.RouteTable | None]
    directory: discovery.Directory
    balancer: balance.Balancer
    http_client: exchange.HttpClient
    quorum: quorum.Quorum
    wire_format: wire.WireFormat
    clock: collections_abc.Callable[[], float]
    wall_clock: collections_abc.Callable[[], float]
    account_retention_s: float
    quarantine: quarantine.Quarantine
    crash_reports: crash_reports.CrashReports
    report_leaving: collections_abc.Callable[[discovery.ReportLeaving], None]
    record_latency: metrics.RecordValue
    quota: quota.QuotaClient
    limits: limit_client.LimitClient
    paths: server_paths.ServerPaths
    paused_s: collections_abc.Callable[[], float] = lambda: 0.0


@dataclasses.dataclass(frozen=True)
class RecordIds:
    """Ids under which a turn and its program's account are stored.

    Attributes:
        program_id: id of the program's account.
        turn_id: id of the turn.
        parent_id: id of the turn that it continues; empty for none.
    """

    program_id: str
    turn_id: str
    parent_id: str


@dataclasses.dataclass
class RequestState:
    """A request that this instance is serving.

    Attributes:
        call: the caller's request.
        route: the route that it matches.
        service: the service that runs it.
        responder: sends the response to the caller.
        version: version of the routes that it is served by.
        started_s: time of arrival.
        deadline_s: time at which it times out.
        delivered_attempts: attempts that reached, or may have reached, the
            chosen server.
        may_have_run: whether an attempt has an unknown outcome.
        unreached: attempts whose connection failed.
        attempts: all attempts, including those that reached no server.
        server_id: server of the latest attempt.
        status: HTTP status of the server's response; 0 without one.
        transfer: how the latest response was framed and ended; None without
            one.
        last_received_s: time of the last data from the server.
        load: load of the latest server when it was chosen.
        report_age_s: age of that server's load report at the time.
        helper_id: entry that sent the latest attempt for this one; empty if
            it was sent directly.
        server_limit_per_s: limit that the latest server had named; None
            without one.
        chosen_by: the factor that decided for that server.
        caller_wait_s: time spent waiting for the caller to read.
        stage_times_s: time since arrival of each stage reached.
        reader: reads the events of a streamed response.
        is_first_turn: whether it is known to begin its program.
        workspace: the workspace of the caller's key; None without one.
        record_ids: ids of its stored turn and account.
        holds_unit: whether it holds a unit of its workspace's quota.
        limit_wait_s: time that its attempts have waited for limited servers.
    """

    call: wire.Call
    route: routes.Route
    service: routes.Service
    responder: Responder
    version: int
    started_s: float
    deadline_s: float
    delivered_attempts: int = 0
    may_have_run: bool = False
    unreached: int = 0
    attempts: int = 0
    server_id: str = ''
    status: int = 0
    transfer: http_connection.Transfer | None = None
    last_received_s: float = 0.0
    load: float = 0.0
    report_age_s: float = 0.0
    helper_id: str = ''
    server_limit_per_s: float | None = None
    chosen_by: str = ''
    caller_wait_s: float = 0.0
    stage_times_s: dict[str, float] = dataclasses.field(default_factory=dict)
    reader: events.EventReader = dataclasses.field(
        default_factory=events.EventReader
    )
    is_first_turn: bool = False
    workspace: routes.Workspace | None = None
    record_ids: RecordIds = RecordIds('', '', '')
    holds_unit: bool = False
    limit_wait_s: float = 0.0

    @property
    def affinity(self) -> str:
        """Key that selects the preferred server; empty for none."""
        if self.route.is_stream:
            return self.call.affinity
        return self.call.object_key if self.route.is_sticky else ''

    @property
    def is_in_progress(self) -> bool:
        """Whether it belongs to a program that has begun."""
        return bool(self.call.program_id) and not self.is_first_turn

    @property
    def may_repeat(self) -> bool:
        """Whether it may be sent again after it may have run."""
        return self.route.can_resume or (
            self.route.is_idempotent and not self.responder.has_begun
        )

    def crash_digests(self) -> tuple[str, str]:
        """Return its crash digest, and that of earlier builds."""
        workspace = self.workspace.name if self.workspace is not None else ''
        return (
            crash_digest(
                self.call, self.route, workspace, self.record_ids.parent_id
            ),
            earlier_crash_digest(self.call),
        )

    def record_stage(self, name: str, now_s: float) -> None:
        """Record that a stage was reached, with the time since arrival."""
        self.stage_times_s[name] = round(now_s - self.started_s, 4)

    def log_fields(self) -> dict[str, object]:
        """Return what the decision log tells of the request at its end."""
        fields = {
            'route': self.route.name,
            'version': self.version,
            'server': self.server_id,
            'status': self.status,
            'tries': self.attempts,
            'load': round(self.load, 1),
            'told_age_s': round(min(self.report_age_s, 999.0), 2),
            'chosen_by': self.chosen_by,
            'events': self.reader.count,
            **self.stage_times_s,
        }
        if self.transfer is not None:
            fields['framing'] = self.transfer.framing
            fields['connection'] = self.transfer.connection
        if self.reader.incomplete_bytes:
            fields['incomplete_bytes'] = self.reader.incomplete_bytes
        if self.helper_id:
            fields['helper'] = self.helper_id
        if self.server_limit_per_s is not None:
            fields['server_limit_per_s'] = self.server_limit_per_s
        if self.workspace is not None:
            fields['workspace'] = self.workspace.name
        if self.limit_wait_s:
            fields['limit_wait_s'] = round(self.limit_wait_s, 4)
        return fields


def record_ids(
    call: wire.Call,
    table: routes.RouteTable,
    workspace: routes.Workspace | None,
) -> RecordIds:
    """Return the ids under which a turn is stored.

    Where the table has workspaces, an id starts with the length and the name
    of its workspace, so that no caller can name a turn or a program of
    another one.

    Args:
        call: the caller's request.
        table: the routes in force.
        workspace: the workspace of the caller's key; None without one.
    """
    prefix = ''
    if table.workspaces:
        name = workspace.name if workspace is not None else ''
        prefix = f'{len(name)}:{name}:'
    return RecordIds(
        program_id=prefix + call.program_id,
        turn_id=prefix + call.request_id,
        parent_id=prefix + call.parent_id if call.parent_id else '',
    )


def crash_digest(
    call: wire.Call, route: routes.Route, workspace: str, parent_id: str
) -> str:
    """Return the digest by which crashes are counted against a request.

    One that its caller sends again has the same digest: the same workspace,
    method, path, query and body, on the same history.

    Args:
        call: the caller's request.
        route: the route that it matches.
        workspace: workspace of the caller; empty without one.
        parent_id: id under which the turn that it continues is stored.
    """
    history_id = parent_id if route.stores_turns else ''
    hashed = hashlib.blake2b(digest_size=CRASH_DIGEST_BYTES)
    for part in (workspace, call.method, call.target, history_id):
        data = part.encode(errors='surrogateescape')
        hashed.update(len(data).to_bytes(4) + data)
    hashed.update(call.body)
    return hashed.hexdigest()


def earlier_crash_digest(call: wire.Call) -> str:
    """Return the crash digest of earlier builds: path, query and body."""
    hashed = hashlib.blake2b(
        call.target.encode(errors='surrogateescape'), digest_size=12
    )
    hashed.update(call.body)
    return hashed.hexdigest()
