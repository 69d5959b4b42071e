"""Access to the attempts of one request at backend servers.

A request leaves again only where it is proved not to have run, or where it
may be repeated.
"""

import asyncio
from collections import abc as collections_abc
import contextlib

from balsamdale import background
from balsamdale import balance
from balsamdale import decisions
from balsamdale import errors
from balsamdale import exchange
from balsamdale import quarantine
from balsamdale import request_state

__all__ = ['RETRY_S', 'Attempts']

# Tries of one request, those that reached no server included.
SEND_LIMIT = 4
# Seconds below which no server can answer any more.
LEAST_LEFT_S = 0.02
# Seconds of silence after which a server is checked: above the pauses
# between events that are on time.
SILENCE_S = 0.3
# Failed connections that prove a silent server gone.
GONE_CHECKS = 2
# Seconds between checks of a server that is gone.
CHECK_INTERVAL_S = 0.5
# Seconds in which failures at one server are one crash.
CRASH_WINDOW_S = 3.0
# Seconds after which a refused caller may come back: about one answer.
RETRY_S = 0.3

Deliver = collections_abc.Callable[
    [request_state.RequestState, exchange.Reply],
    collections_abc.Awaitable[None],
]


class Attempts:
    """Sends requests to backend servers.

    Args:
        context: what it works with.
    """

    def __init__(self, context: request_state.Context):
        self._context = context
        self._background = background.Background('attempts')

    def choose(
        self,
        job: request_state.RequestState,
        excluded: collections_abc.Set[str],
    ) -> balance.Choice | None:
        """Return the server for a request, or None where none has room."""
        now_s = self._context.clock()
        return self._context.balancer.choose(
            self._context.directory.ready(job.service.name),
            job.call.affinity if job.route.is_stream else '',
            excluded,
            now_s,
        )

    def no_room(self, job: request_state.RequestState) -> errors.Refused:
        """Return the refusal of a request that no server has room for."""
        return errors.Refused(
            'no_room',
            503,
            f'no server of {job.service.name} has room',
            'no',
            RETRY_S,
        )

    async def run(
        self, job: request_state.RequestState, body: bytes, deliver: Deliver
    ) -> None:
        """Send a request until a server has run it, within its attempts.

        Raises:
            Refused: no server ran it, or its answer broke off.
            TimeoutError: the time is up.
        """
        excluded: set[str] = set()
        while True:
            choice = self.choose(job, excluded)
            left_s = job.end_s - self._context.clock()
            is_spent = job.sends >= job.route.attempts
            if choice is None or is_spent or job.tries >= SEND_LIMIT:
                raise self._nowhere(job)
            if left_s < LEAST_LEFT_S:
                raise TimeoutError
            job.tries += 1
            excluded.add(choice.server.server_id)
            job.load = choice.load
            job.told_age_s = choice.told_age_s
            if await self._try(job, choice.server, body, left_s, deliver):
                return

    def _nowhere(self, job):
        """Return the answer to a request that no server is left for."""
        if job.may_have_run:
            return errors.Refused(
                'broken', 502, 'every answer broke off', 'unknown'
            )
        return self.no_room(job)

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
            job.may_have_run = True
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
        report = quarantine.ReportCrash(
            crash_id, request_state.digest(job.call)
        )
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
