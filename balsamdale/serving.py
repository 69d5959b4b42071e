"""Handler of routed requests and stored turns.

It does the I/O for the decisions of the routes, the balancer and the quorum.
A refusal says that the request did not run, ran, or may have run; it never
claims more than is certain.
"""

import asyncio
import dataclasses
import zlib

from balsamdale import api_keys
from balsamdale import archive_messages
from balsamdale import attempts
from balsamdale import decisions
from balsamdale import delivery
from balsamdale import errors
from balsamdale import history
from balsamdale import quorum
from balsamdale import request_state
from balsamdale import turn_cache
from balsamdale import wire

__all__ = ['RequestHandler']

# Retry-After while there is no route table: a starting instance reads it
# within this time.
NOT_READY_RETRY_AFTER_S = 0.05
RESERVE_TIMEOUT_S = 1.0
STORE_TIMEOUT_S = 3.0


class RequestHandler:
    """Handles callers' requests from arrival to response.

    Args:
        context: the parts of the instance that requests are served with.

    Attributes:
        in_flight: requests that are being handled.
        outcome_counts: requests that have ended, by outcome.
        attempts: sends requests to backend servers.
    """

    def __init__(self, context: request_state.Context):
        self._context = context
        self._cache = turn_cache.TurnCache()
        self._delivery = delivery.Delivery(context)
        self.attempts = attempts.Attempts(context)
        self.in_flight = 0
        self._timeouts: dict[asyncio.Timeout, request_state.Responder] = {}
        self._is_stopping = False
        self.outcome_counts: dict[str, int] = {}

    async def serve(
        self, call: wire.Call, responder: request_state.Responder
    ) -> None:
        """Respond to one request, at the latest when its route times out."""
        context = self._context
        started_s = context.clock()
        state = None
        code, reason, ran = 'ok', '', 'unknown'
        self.in_flight += 1
        try:
            state = self._create_state(call, responder, started_s)
            async with asyncio.timeout_at(state.deadline_s) as timeout:
                self._timeouts[timeout] = responder
                try:
                    await self._run(state)
                finally:
                    del self._timeouts[timeout]
        except errors.Refused as refused:
            code, reason, ran = refused.code, refused.detail, refused.ran
            await self._refuse(call, responder, refused)
        except TimeoutError:
            refused = self._timeout_refusal(state)
            code = refused.code
            await self._refuse(call, responder, refused)
        except errors.CallerDisconnected as error:
            code, reason = 'caller_gone', str(error)
            responder.abort()
        except asyncio.CancelledError:
            code = 'caller_gone'
            raise
        finally:
            self.in_flight -= 1
            if state is not None:
                self._give_back_unit(state, ran)
            took_s = context.clock() - started_s
            self._record_outcome(call, state, took_s, code, reason)

    def end_unanswered(self) -> None:
        """Refuse all requests whose responses have not begun.

        Their connections are about to be closed, so it is too late for
        other answers.
        """
        self._is_stopping = True
        now_s = asyncio.get_running_loop().time()
        for timeout, responder in self._timeouts.items():
            if not (responder.has_begun or timeout.expired()):
                timeout.reschedule(now_s)

    def time_limit_s(self, call: wire.Call) -> float:
        """Return how long a request may take; 0 if none can serve it."""
        table = self._context.table()
        route = table and table.match(call.host, call.path)
        return _time_limit_s(route, call) if route is not None else 0.0

    def _timeout_refusal(self, state):
        if self._is_stopping and self._context.clock() < state.deadline_s:
            return _stopped(state)
        return _timed_out(state)

    def _create_state(self, call, responder, now_s):
        table = self._context.table()
        if table is None:
            raise errors.Refused(
                'not_ready',
                503,
                'this instance has not read a configuration yet',
                'no',
                NOT_READY_RETRY_AFTER_S,
            )
        route = table.match(call.host, call.path)
        if route is None:
            raise errors.Refused(
                'no_route', 404, 'no route matches this host and path'
            )
        workspace = api_keys.find_workspace(call, table, route)
        hash_value = zlib.crc32((call.program_id or call.request_id).encode())
        workspace_name = workspace.name if workspace is not None else ''
        state = request_state.RequestState(
            call=dataclasses.replace(call, workspace=workspace_name),
            route=route,
            service=table.service(route.choose_service(hash_value)),
            responder=responder,
            version=table.version,
            started_s=now_s,
            # It may have waited unread since before a pause.
            deadline_s=now_s
            + _time_limit_s(route, call)
            - self._context.paused_s(),
            workspace=workspace,
            is_first_turn=route.stores_turns and not call.parent_id,
            record_ids=request_state.record_ids(call, table, workspace),
        )
        self._check_quarantine(state)
        return state

    def _check_quarantine(self, state):
        """Refuse a request that has crashed backend servers."""
        context = self._context
        if context.crash_reports.is_idle:
            return
        digest, earlier_digest = state.crash_digests()
        if context.quarantine.is_quarantined(
            digest, context.clock(), earlier_digest
        ):
            decisions.record(
                'quarantine_refused', id=state.call.request_id, digest=digest
            )
            raise errors.Refused(
                'quarantined', 503, 'this request has crashed backend servers'
            )

    async def _acquire_unit(self, state):
        """Count a request towards the quota of its workspace.

        Raises:
            Refused: the workspace is above its quota.
        """
        if state.workspace is None or not state.workspace.rate_per_s:
            return
        await self._context.quota.acquire(
            state.workspace,
            state.call.request_id,
            state.version,
            program_id=state.call.program_id,
            remaining_s=state.deadline_s - self._context.clock(),
        )
        state.holds_unit = True
        state.record_stage('quota_s', self._context.clock())

    def _give_back_unit(self, state, ran):
        """Give back the unit of a request that reached no server.

        An attempt that ends without a failure is not counted as delivered,
        so only a refusal tells that a request with attempts did not run.
        """
        was_refused = ran == 'no' and not state.delivered_attempts
        if state.holds_unit and (was_refused or not state.attempts):
            state.holds_unit = False
            self._context.quota.give_back(state.workspace.name)

    async def _run(self, state):
        await self._acquire_unit(state)
        is_budgeted = state.route.is_stream and state.call.budget_tokens
        if state.route.stores_turns or is_budgeted:
            await self._run_turn(state)
        else:
            await self.attempts.run(
                state, state.call.body, self._delivery.deliver
            )

    async def _run_turn(self, state):
        """Run a turn: reserve, read the chain, stream, store, end.

        On a route that does not store turns, callers send their own history:
        only the program's account is read and written.
        """
        call, ids = state.call, state.record_ids
        await self._check_capacity(state)
        chain = ()
        if state.route.stores_turns and ids.parent_id:
            chain = self._cache.chain(ids.parent_id)
        must_settle = bool(call.budget_tokens)
        expires_at_s = self._account_expires_at_s(state)
        try:
            reservation = await self._reserve(
                state, expires_at_s, chain is None
            )
            state.record_stage('opened_s', self._context.clock())
            if chain is None:
                chain = reservation.chain
                self._cache.add(chain)
            if call.budget_tokens and not state.route.stores_turns:
                # An account without charges has not had a turn before.
                state.is_first_turn = not reservation.spent_tokens
            _check_id_is_new(ids, chain)
            requested_tokens = reservation.spent_tokens + call.answer_tokens
            if call.budget_tokens and requested_tokens > call.budget_tokens:
                raise errors.Refused(
                    'budget_spent',
                    402,
                    f'{requested_tokens} tokens exceed the program budget',
                )
            body = history.assemble_prompt(chain, call.body)
            if chain and not state.responder.hold(len(body)):
                raise errors.Refused(
                    'no_memory',
                    503,
                    'no memory for the prompt of this turn',
                    'no',
                    attempts.CALLER_RETRY_AFTER_S,
                )
            await self.attempts.run(state, body, self._delivery.deliver_events)
            if state.status == 200:
                state.record_stage('last_event_s', self._context.clock())
                if state.route.stores_turns:
                    await self._store_turn(state, chain)
                    # The stored turn implies its own settled charge.
                    must_settle = False
                await state.responder.end()
        finally:
            if must_settle:
                self._context.quorum.settle(
                    history.Charge(
                        ids.program_id,
                        ids.turn_id,
                        self._delivered_tokens(state),
                        True,
                        expires_at_s,
                    )
                )

    def _account_expires_at_s(self, state):
        """Return the end of retention of a program's account.

        A program may return after its deadline or after its last turn has
        expired, and must still be held to what it has spent.
        """
        program_time_s = state.call.program_time_left_s or 0.0
        return (
            self._context.wall_clock()
            + max(state.route.retention_s, program_time_s)
            + self._context.account_retention_s
        )

    async def _reserve(self, state, expires_at_s, wants_chain):
        call = state.call
        tokens = call.answer_tokens if call.budget_tokens else 0
        if not tokens and not wants_chain:
            return quorum.Reservation((), 0)
        message = archive_messages.OpenTurn(
            program_id=state.record_ids.program_id,
            turn_id=state.record_ids.turn_id,
            tokens=tokens,
            parent_id=state.record_ids.parent_id,
            wants_chain=wants_chain,
            expires_at_s=expires_at_s,
        )
        timeout_s = state.deadline_s - self._context.clock()
        try:
            return await self._context.quorum.reserve(
                message, call.budget_tokens, min(RESERVE_TIMEOUT_S, timeout_s)
            )
        except errors.NoSuchTurn as error:
            raise errors.Refused('no_such_turn', 404, str(error)) from error
        except errors.NoQuorum as error:
            raise errors.Refused(
                'no_quorum',
                503,
                str(error),
                'no',
                attempts.CALLER_RETRY_AFTER_S,
            ) from error

    async def _store_turn(self, state, chain):
        """Make the turn durable before its response ends."""
        ids = state.record_ids
        turn = history.Turn(
            turn_id=ids.turn_id,
            parent_id=ids.parent_id,
            program_id=ids.program_id,
            input=state.call.body,
            output=bytes(state.reader.output),
            tokens=self._delivered_tokens(state),
            expires_at_s=self._context.wall_clock() + state.route.retention_s,
        )
        try:
            await self._context.quorum.store_turn(turn, STORE_TIMEOUT_S, chain)
        except errors.NoQuorum as error:
            raise errors.Refused('not_kept', 502, str(error), 'yes') from error
        self._cache.add((turn,))

    async def _check_capacity(self, state):
        """Refuse a turn if all servers are full, before reserving tokens."""
        choice = await self.attempts.choose_in_time(state, frozenset())
        if choice is None:
            raise self.attempts.capacity_refusal(state)

    def _delivered_tokens(self, state):
        delivered_events = state.reader.count + (not state.reader.is_complete)
        return delivered_events * state.service.tokens_per_event

    async def _refuse(self, call, responder, refused):
        if responder.has_begun:
            responder.abort()
            return
        headers = self._context.wire_format.refusal_headers(
            call.request_id, refused
        )
        try:
            await responder.respond(refused.status, headers, b'')
        except errors.CallerDisconnected:
            responder.abort()

    def _record_outcome(self, call, state, took_s, code, reason):
        self.outcome_counts[code] = self.outcome_counts.get(code, 0) + 1
        route = state.route.name if state is not None else ''
        self._context.record_latency(took_s, {'outcome': code, 'route': route})
        fields = {'id': call.request_id, 'outcome': code}
        if reason:
            fields['reason'] = reason
        if call.program_id:
            fields['program'] = call.program_id
        if state is not None:
            fields.update(state.log_fields())
        fields['took_s'] = round(took_s, 4)
        decisions.record('request', **fields)


def _check_id_is_new(ids, chain):
    """Refuse a turn that would be its own ancestor."""
    if any(turn.turn_id == ids.turn_id for turn in chain):
        raise errors.Refused(
            'id_used_before',
            400,
            'an earlier turn of this chain has the id of this request',
        )


def _time_limit_s(route, call):
    if call.timeout_s is None:
        return route.timeout_s
    return min(route.timeout_s, call.timeout_s)


def _timed_out(state):
    if state.attempts:
        return errors.Refused(
            'timed_out', 504, 'no server responded in time', 'unknown'
        )
    return errors.Refused(
        'timed_out',
        503,
        'the request timed out before it was sent to a server',
        'no',
        attempts.CALLER_RETRY_AFTER_S,
    )


def _stopped(state):
    if state.attempts:
        return errors.Refused(
            'stopping', 504, 'this instance stopped before the end', 'unknown'
        )
    return errors.Refused('stopping', 503, 'this instance stops', 'no', 0.0)
