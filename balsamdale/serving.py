"""Access to the serving of routed requests and kept turns.

Performs what routes, balancer and quorum decide. Nothing that has not run
is called run, and nothing that may have run is called not run.
"""

import asyncio
import zlib

from balsamdale import archive_messages
from balsamdale import attempts
from balsamdale import decisions
from balsamdale import errors
from balsamdale import history
from balsamdale import quorum
from balsamdale import request_state
from balsamdale import turn_cache
from balsamdale import wire

__all__ = ['Serving']

# Seconds in which an instance that starts reads the configuration.
CONFIGURATION_RETRY_S = 0.05
# Seconds for the reservation of a turn.
OPEN_TIMEOUT_S = 1.0
# Seconds for an answer's last part to become durable.
KEEP_TIMEOUT_S = 3.0
# Seconds that an account outlives its turns; programs come back late.
ACCOUNT_GRACE_S = 120.0


class Serving:
    """Serves requests of one interface.

    Args:
        context: what it works with.
    """

    def __init__(self, context: request_state.Context):
        self._context = context
        self._cache = turn_cache.TurnCache()
        self._attempts = attempts.Attempts(context)
        self.in_flight = 0
        self.counts: dict[str, int] = {}

    async def serve(
        self, call: wire.Call, responder: request_state.Responder
    ) -> None:
        """Answer one request, by its route's timeout at the latest."""
        context = self._context
        started_s = context.clock()
        job = None
        code, reason = 'ok', ''
        self.in_flight += 1
        try:
            job = self._job(call, responder, started_s)
            async with asyncio.timeout_at(job.end_s):
                await self._run(job)
        except errors.Refused as refused:
            code, reason = refused.code, refused.detail
            await self._refuse(call, responder, refused)
        except TimeoutError:
            code = 'timed_out'
            await self._refuse(call, responder, _timed_out(job))
        except errors.CallerGone as gone:
            code, reason = 'caller_gone', str(gone)
            responder.abort()
        except asyncio.CancelledError:
            code = 'caller_gone'
            raise
        finally:
            self.in_flight -= 1
            took_s = context.clock() - started_s
            self._note(call, job, took_s, code, reason)

    def _job(self, call, responder, now_s):
        table = self._context.table()
        if table is None:
            raise errors.Refused(
                'not_ready',
                503,
                'no configuration yet',
                'no',
                CONFIGURATION_RETRY_S,
            )
        route = table.match(call.host, call.path)
        if route is None:
            raise errors.Refused('no_route', 404, 'no route has this path')
        if self._context.quarantine.is_quarantined(request_state.digest(call)):
            raise errors.Refused(
                'quarantined', 503, 'this request crashes backend servers'
            )
        wait_s = route.timeout_s
        if call.patience_s is not None:
            wait_s = min(wait_s, call.patience_s)
        point = zlib.crc32((call.program_id or call.request_id).encode())
        return request_state.RequestState(
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
            await self._attempts.run(job, job.call.body, self._deliver_plain)

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
            await self._attempts.run(job, body, self._deliver_stream)
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
                'no_quorum', 503, str(error), 'no', attempts.RETRY_S
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
        choice = self._attempts.choose(job, frozenset())
        if choice is None:
            raise self._attempts.no_room(job)

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

    def _note(self, call, job, took_s, code, reason):
        self.counts[code] = self.counts.get(code, 0) + 1
        route = job.route.name if job is not None else ''
        self._context.record_latency(took_s, {'outcome': code, 'route': route})
        fields = {'id': call.request_id, 'outcome': code}
        if reason:
            fields['reason'] = reason
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


def _timed_out(job):
    if job.tries:
        return errors.Refused('timed_out', 504, 'no answer in time', 'unknown')
    return errors.Refused(
        'timed_out', 503, 'not sent in time', 'no', attempts.RETRY_S
    )
