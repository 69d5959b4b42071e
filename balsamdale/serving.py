"""Access to the serving of routed requests and kept turns.

Performs what routes, balancer and quorum decide. Nothing that has not run
is called run, and nothing that may have run is called not run.
"""

import abc
import asyncio
from collections import abc as collections_abc
import contextlib
import dataclasses
import hashlib
import zlib

from balsamdale import archive_messages
from balsamdale import background
from balsamdale import balance
from balsamdale import decisions
from balsamdale import discovery
from balsamdale import errors
from balsamdale import events
from balsamdale import exchange
from balsamdale import history
from balsamdale import metrics
from balsamdale import quarantine
from balsamdale import quorum
from balsamdale import routes
from balsamdale import wire

__all__ = ['Context', 'Responder', 'Serving']

SEND_LIMIT = 4
LEAST_LEFT_S = 0.02
OPEN_TIMEOUT_S = 1.0
KEEP_TIMEOUT_S = 3.0
RETRY_S = 0.3
ACCOUNT_GRACE_S = 120.0
SILENCE_S = 0.3
GONE_CHECKS = 2
CHECK_INTERVAL_S = 0.5
CRASH_WINDOW_S = 3.0
CACHE_BYTES = 8 * 1024 * 1024


class Responder(abc.ABC):
    """The way back to one caller.

    Every method raises `CallerGone` where the caller has left.

    Attributes:
        has_begun: whether a part of an answer has left.
    """

    has_begun = False

    @abc.abstractmethod
    async def answer(
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
    exchange: exchange.Exchange
    quorum: quorum.Quorum
    form: wire.Wire
    clock: collections_abc.Callable[[], float]
    wall_clock: collections_abc.Callable[[], float]
    quarantine: quarantine.Quarantine
    report_crash: collections_abc.Callable[[quarantine.ReportCrash], None]
    record_latency: metrics.Histogram


@dataclasses.dataclass
class _Job:
    """A request on its way through this instance."""

    call: wire.Call
    route: routes.Route
    service: routes.Service
    responder: Responder
    version: int
    started_s: float
    end_s: float
    sends: int = 0
    tries: int = 0
    server_id: str = ''
    status: int = 0
    heard_s: float = 0.0
    load: float = 0.0
    told_age_s: float = 0.0
    marks_s: dict[str, float] = dataclasses.field(default_factory=dict)
    reader: events.EventReader = dataclasses.field(
        default_factory=events.EventReader
    )


class Serving:
    """Serves requests of one interface.

    Args:
        context: what it works with.
    """

    def __init__(self, context: Context):
        self._context = context
        self._cache = _TurnCache(CACHE_BYTES)
        self._background = background.Background('serving')
        self.in_flight = 0
        self.counts: dict[str, int] = {}

    async def serve(self, call: wire.Call, responder: Responder) -> None:
        """Answer one request, by its route's timeout at the latest."""
        context = self._context
        started_s = context.clock()
        job = None
        code = 'ok'
        self.in_flight += 1
        try:
            job = self._job(call, responder, started_s)
            async with asyncio.timeout_at(job.end_s):
                await self._run(job)
        except errors.Refused as refused:
            code = refused.code
            await self._refuse(call, responder, refused)
        except TimeoutError:
            code = 'timed_out'
            await self._refuse(call, responder, _timed_out(job))
        except errors.CallerGone:
            code = 'caller_gone'
            responder.abort()
        except asyncio.CancelledError:
            code = 'caller_gone'
            raise
        finally:
            self.in_flight -= 1
            self._note(call, job, code, context.clock() - started_s)

    def _job(self, call, responder, now_s):
        table = self._context.table()
        if table is None:
            raise errors.Refused(
                'not_ready', 503, 'no configuration yet', 'no', RETRY_S
            )
        route = table.match(call.host, call.path)
        if route is None:
            raise errors.Refused('no_route', 404, 'no route has this path')
        if self._context.quarantine.holds(_digest(call)):
            raise errors.Refused(
                'quarantined', 503, 'this request crashes backend servers'
            )
        wait_s = route.timeout_s
        if call.patience_s is not None:
            wait_s = min(wait_s, call.patience_s)
        point = zlib.crc32((call.program_id or call.request_id).encode())
        return _Job(
            call=call,
            route=route,
            service=table.service(route.target(point)),
            responder=responder,
            version=table.version,
            started_s=now_s,
            end_s=now_s + wait_s,
        )

    async def _run(self, job):
        if job.route.keeps_turns:
            await self._run_turn(job)
        else:
            await self._attempt(job, job.call.body, self._deliver_plain)

    async def _run_turn(self, job):
        """Run a turn: reserve, read the chain, stream, keep, end."""
        call = job.call
        self._check_room(job)
        expires_at_s = self._context.wall_clock() + job.route.keep_s
        chain = self._cache.chain(call.parent_id) if call.parent_id else ()
        settles = bool(call.budget_tokens)
        try:
            opened = await self._open(job, expires_at_s, chain is None)
            self._mark(job, 'opened_s')
            if chain is None:
                chain = opened.chain
                self._cache.add(chain)
            asked = opened.spent_tokens + call.answer_tokens
            if call.budget_tokens and asked > call.budget_tokens:
                raise errors.Refused(
                    'budget_spent', 402, f'{asked} tokens of the budget'
                )
            body = history.assemble(chain, call.body)
            await self._attempt(job, body, self._deliver_stream)
            if job.status == 200:
                self._mark(job, 'last_event_s')
                await self._keep(job)
                settles = False
                await job.responder.end()
        finally:
            if settles:
                self._context.quorum.settle(
                    history.Charge(
                        call.program_id,
                        call.request_id,
                        self._handed_tokens(job),
                        True,
                        expires_at_s + ACCOUNT_GRACE_S,
                    )
                )

    async def _open(self, job, expires_at_s, wants_chain):
        call = job.call
        tokens = call.answer_tokens if call.budget_tokens else 0
        if not tokens and not wants_chain:
            return quorum.Opened((), 0)
        message = archive_messages.OpenTurn(
            program_id=call.program_id,
            turn_id=call.request_id,
            tokens=tokens,
            parent_id=call.parent_id,
            wants_chain=wants_chain,
            expires_at_s=expires_at_s + ACCOUNT_GRACE_S,
        )
        left_s = job.end_s - self._context.clock()
        try:
            return await self._context.quorum.open(
                message, call.budget_tokens, min(OPEN_TIMEOUT_S, left_s)
            )
        except errors.NoSuchTurn as error:
            raise errors.Refused('no_such_turn', 404, str(error)) from error
        except errors.NoQuorum as error:
            raise errors.Refused(
                'no_quorum', 503, str(error), 'no', RETRY_S
            ) from error

    async def _keep(self, job):
        """Make the turn durable before its answer ends."""
        call = job.call
        turn = history.Turn(
            turn_id=call.request_id,
            parent_id=call.parent_id,
            program_id=call.program_id,
            input=call.body,
            output=bytes(job.reader.output),
            tokens=self._handed_tokens(job),
            expires_at_s=self._context.wall_clock() + job.route.keep_s,
        )
        try:
            await self._context.quorum.keep(turn, KEEP_TIMEOUT_S)
        except errors.NoQuorum as error:
            raise errors.Refused('not_kept', 502, str(error), 'yes') from error
        self._cache.add((turn,))

    def _check_room(self, job):
        """Refuse a turn that no server can take, before it costs anything."""
        choice = self._choose(job, frozenset())
        if choice is None:
            raise self._no_room(job)

    def _choose(self, job, excluded):
        now_s = self._context.clock()
        return self._context.balancer.choose(
            self._context.directory.ready(job.service.name),
            job.call.affinity if job.route.is_stream else '',
            excluded,
            now_s,
        )

    def _no_room(self, job):
        return errors.Refused(
            'no_room',
            503,
            f'no server of {job.service.name} has room',
            'no',
            RETRY_S,
        )

    async def _attempt(self, job, body, deliver):
        """Send a request until a server has run it, within its attempts."""
        excluded: set[str] = set()
        while True:
            choice = self._choose(job, excluded)
            left_s = job.end_s - self._context.clock()
            is_spent = job.sends >= job.route.attempts
            if choice is None or is_spent or job.tries >= SEND_LIMIT:
                raise self._no_room(job)
            if left_s < LEAST_LEFT_S:
                raise TimeoutError
            job.tries += 1
            excluded.add(choice.server.server_id)
            job.load = choice.load
            job.told_age_s = choice.told_age_s
            if await self._try(job, choice.server, body, left_s, deliver):
                return

    async def _try(self, job, server, body, left_s, deliver):
        """Make one attempt; return False where it did not run."""
        balancer = self._context.balancer
        job.server_id = server.server_id
        balancer.started(server.server_id)
        try:
            async with (
                self._watched(job, server),
                self._context.exchange.send(
                    job.call, body, server.address, server.server_id, left_s
                ) as reply,
            ):
                return await self._receive(job, server, reply, deliver)
        except errors.BackendFailed as failure:
            if failure.ran == 'no':
                self._suspect(server, job.call.request_id, str(failure))
                return False
            job.sends += 1
            self._background.spawn(self._check_crash(job, server))
            return self._broken(job, failure)
        finally:
            balancer.ended(server.server_id)

    @contextlib.asynccontextmanager
    async def _watched(self, job, server):
        """Give an attempt up when its server falls silent and is gone.

        Silence alone proves nothing; a server that takes no new connection
        either will not answer on the old one.
        """
        job.heard_s = self._context.clock()
        try:
            async with asyncio.timeout(None) as scope:
                watching = asyncio.create_task(self._watch(job, server, scope))
                try:
                    yield
                finally:
                    watching.cancel()
        except TimeoutError as error:
            if not scope.expired():
                raise
            self._suspect(server, job.call.request_id, 'silent and gone')
            raise errors.BackendFailed(
                server.server_id, 'unknown', 'silent and gone', True
            ) from error

    async def _watch(self, job, server, scope):
        wait_s = SILENCE_S
        while True:
            await asyncio.sleep(wait_s)
            silent_s = self._context.clock() - job.heard_s
            wait_s = SILENCE_S - silent_s
            if wait_s > 0:
                continue
            wait_s = SILENCE_S
            if not await self._is_gone(server):
                continue
            scope.reschedule(asyncio.get_running_loop().time())
            return

    async def _check_crash(self, job, server):
        """Count a crash where a server vanished with a request in flight."""
        if not await self._is_gone(server):
            return
        now_s = self._context.wall_clock()
        crash_id = f'{server.server_id}@{int(now_s / CRASH_WINDOW_S)}'
        report = quarantine.ReportCrash(crash_id, _digest(job.call))
        self._context.quarantine.report(report.digest, crash_id)
        self._context.report_crash(report)
        decisions.record(
            'server_crashed',
            id=job.call.request_id,
            server=server.server_id,
            digest=report.digest,
        )

    async def _is_gone(self, server):
        for _ in range(GONE_CHECKS):
            if await self._context.exchange.is_reachable(server.address):
                return False
        return True

    def _suspect(self, server, request_id, reason):
        """Leave a server alone until it takes connections again."""
        if self._context.balancer.failed(server.server_id):
            decisions.record(
                'server_unreachable',
                id=request_id,
                server=server.server_id,
                reason=reason,
            )
            self._background.spawn(self._check_server(server))

    async def _check_server(self, server):
        """Check a server until it recovers or its registration is gone."""
        context = self._context
        while server in context.directory.ready(server.service):
            await asyncio.sleep(CHECK_INTERVAL_S)
            if await context.exchange.is_reachable(server.address):
                break
        context.balancer.recovered(server.server_id)
        decisions.record('server_recovered', server=server.server_id)

    async def _receive(self, job, server, reply, deliver):
        if reply.facts.load is not None:
            self._context.balancer.told(
                server.server_id, reply.facts.load, self._context.clock()
            )
        if reply.facts.was_not_run:
            await reply.body()
            if reply.status != 421:
                job.sends += 1
            decisions.record(
                'not_run',
                id=job.call.request_id,
                server=server.server_id,
                status=reply.status,
            )
            return False
        if not reply.facts.is_signed:
            raise errors.BackendFailed(
                server.server_id, 'unknown', 'answer without a signature'
            )
        await deliver(job, reply)
        job.status = reply.status
        return True

    def _broken(self, job, failure):
        """Decide what follows a request that may have run."""
        may_repeat = job.route.is_idempotent and not job.responder.has_begun
        if may_repeat and job.sends < job.route.attempts:
            decisions.record(
                'repeat',
                id=job.call.request_id,
                server=failure.server,
                reason=str(failure),
            )
            return False
        raise errors.Refused('broken', 502, str(failure), 'unknown')

    async def _deliver_plain(self, job, reply):
        if job.route.is_stream and reply.status == 200:
            await self._deliver_stream(job, reply)
            await job.responder.end()
            return
        body = await reply.body()
        headers = self._context.form.answer_headers(reply.headers)
        await job.responder.answer(reply.status, headers, body)

    async def _deliver_stream(self, job, reply):
        """Pass events on as they arrive; the end is left to the caller."""
        if reply.status != 200:
            await self._deliver_plain(job, reply)
            return
        headers = self._context.form.answer_headers(reply.headers)
        async for chunk in reply.chunks():
            job.heard_s = self._context.clock()
            job.reader.feed(chunk)
            if not job.responder.has_begun:
                self._mark(job, 'first_event_s')
                await job.responder.begin(reply.status, headers)
            await job.responder.write(chunk)
        if not job.reader.is_clean or not job.reader.count:
            raise errors.BackendFailed(
                job.server_id, 'unknown', 'the stream ended inside an event'
            )

    def _handed_tokens(self, job):
        events_handed = job.reader.count + (not job.reader.is_clean)
        return events_handed * job.service.tokens_per_event

    async def _refuse(self, call, responder, refused):
        if responder.has_begun:
            responder.abort()
            return
        headers = self._context.form.refusal_headers(call.request_id, refused)
        try:
            await responder.answer(refused.status, headers, b'')
        except errors.CallerGone:
            responder.abort()

    def _mark(self, job, name):
        """Note when a request got so far, since its arrival."""
        passed_s = self._context.clock() - job.started_s
        job.marks_s[name] = round(passed_s, 4)

    def _note(self, call, job, code, took_s):
        self.counts[code] = self.counts.get(code, 0) + 1
        route = job.route.name if job is not None else ''
        self._context.record_latency(took_s, {'outcome': code, 'route': route})
        fields = {'id': call.request_id, 'outcome': code}
        if call.program_id:
            fields['program'] = call.program_id
        if job is not None:
            fields.update(
                route=job.route.name,
                version=job.version,
                server=job.server_id,
                status=job.status,
                tries=job.tries,
                load=round(job.load, 1),
                told_age_s=round(min(job.told_age_s, 999.0), 2),
                events=job.reader.count,
                **job.marks_s,
            )
        fields['took_s'] = round(took_s, 4)
        decisions.record('request', **fields)


def _digest(call):
    """Return what identifies a request that comes again."""
    digest = hashlib.blake2b(call.target.encode(), digest_size=12)
    digest.update(call.body)
    return digest.hexdigest()


def _timed_out(job):
    if job.tries:
        return errors.Refused('timed_out', 504, 'no answer in time', 'unknown')
    return errors.Refused('timed_out', 503, 'not sent in time', 'no', RETRY_S)


class _TurnCache:
    """Turns seen lately, bounded by size; the oldest are dropped first."""

    def __init__(self, limit_bytes):
        self._limit_bytes = limit_bytes
        self._size_bytes = 0
        self._turns: dict[str, history.Turn] = {}

    def chain(self, turn_id):
        """Return the chain of a turn, or None where a part is missing."""
        turns = []
        while turn_id:
            turn = self._turns.get(turn_id)
            if turn is None:
                return None
            turns.append(turn)
            turn_id = turn.parent_id
        return tuple(reversed(turns))

    def add(self, turns):
        for turn in turns:
            if turn.turn_id not in self._turns:
                self._turns[turn.turn_id] = turn
                self._size_bytes += len(turn.input) + len(turn.output)
        while self._size_bytes > self._limit_bytes:
            name = next(iter(self._turns))
            dropped = self._turns.pop(name)
            self._size_bytes -= len(dropped.input) + len(dropped.output)
