"""Attempts of routed requests at backend servers.

A request is sent again only if it is certain that it did not run, or if its
route says that it is idempotent.
"""

from collections import abc as collections_abc
import dataclasses

from balsamdale import api_keys
from balsamdale import decisions
from balsamdale import discovery
from balsamdale import errors
from balsamdale import exchange
from balsamdale import outcomes
from balsamdale import request_state
from balsamdale.scheduling import balance
from balsamdale.scheduling import program_homes
from balsamdale.scheduling import recent_failures
from balsamdale.scheduling import retry_budget
from balsamdale import server_health

__all__ = ['CALLER_RETRY_AFTER_S', 'Attempts']

# Attempts of one request, including those that reached no server.
ATTEMPT_LIMIT = 4
# Remaining time below which no server can respond any more.
MIN_ATTEMPT_TIME_S = 0.02
# Retry-After of a refusal: about the time of one answer.
CALLER_RETRY_AFTER_S = 0.3
# Longest wait of a request for a limited server, and share of its remaining
# time.
MAX_LIMIT_WAIT_S = 0.25
MAX_LIMIT_WAIT_SHARE = 0.25
# Status of another server at the address of the chosen one.
MISDIRECTED_STATUS = 421
SUCCESS_STATUSES = range(200, 300)

Deliver = collections_abc.Callable[
    [request_state.RequestState, exchange.Response],
    collections_abc.Awaitable[None],
]


class Attempts:
    """Sends requests to backend servers, with retries where that is safe.

    Args:
        context: the parts of the instance that requests are served with.

    Attributes:
        retry_budget: limits the retries of this instance.
    """

    def __init__(self, context: request_state.Context):
        self._context = context
        self._health = server_health.ServerHealth(context)
        self._homes = program_homes.ProgramHomes()
        self._recent_failures = recent_failures.RecentFailures()
        self.retry_budget = retry_budget.RetryBudget()

    def choose(
        self,
        state: request_state.RequestState,
        excluded: collections_abc.Set[str],
    ) -> balance.Choice | None:
        """Return the server for a request, or None if all are full."""
        now_s = self._context.clock()
        servers = self._context.directory.ready(state.service.name)
        if withheld := self._context.limits.withheld(servers):
            excluded = excluded | withheld
        avoided = self._recent_failures.avoided(state.call.program_id, now_s)
        if avoided:
            choice = self._choose(state, servers, excluded | avoided, now_s)
            if choice is not None:
                return choice
        return self._choose(state, servers, excluded, now_s)

    def _choose(self, state, servers, excluded, now_s):
        balancer = self._context.balancer
        is_retryable = (
            state.may_repeat
            and state.delivered_attempts + 1 < state.route.attempt_limit
        )
        if not balancer.compares_finish(servers):
            return balancer.choose(
                servers,
                state.affinity,
                excluded,
                now_s,
                is_retryable=is_retryable,
                home_id=self._homes.find(state.affinity),
                is_first_turn=state.is_first_turn,
            )
        return balancer.choose(
            servers,
            state.affinity,
            excluded,
            now_s,
            prompt_tokens=state.call.prompt_tokens,
            tokens=outcomes.held_tokens(state),
            memory_tokens=state.service.memory_tokens,
            is_retryable=is_retryable,
            is_first_turn=state.is_first_turn,
        )

    async def choose_in_time(
        self,
        state: request_state.RequestState,
        excluded: collections_abc.Set[str],
    ) -> balance.Choice | None:
        """Return the server for a request, or None if all are full.

        A request of a program in progress waits a short while if only the
        limits of servers leave no room for it.
        """
        choice = self.choose(state, excluded)
        while choice is None and await self._wait_for_limit(state, excluded):
            choice = self.choose(state, excluded)
        return choice

    async def _wait_for_limit(self, state, excluded):
        """Wait for a unit; return whether it is worth choosing again."""
        context, now_s = self._context, self._context.clock()
        servers = context.directory.ready(state.service.name)
        if not context.limits.withheld(servers) - excluded:
            return False
        wait_s = 0.0
        if state.is_in_progress:
            wait_s = min(
                MAX_LIMIT_WAIT_S - state.limit_wait_s,
                MAX_LIMIT_WAIT_SHARE * (state.deadline_s - now_s),
            )
        has_units = await context.limits.wait(
            state.service.name, max(0.0, wait_s)
        )
        state.limit_wait_s += context.clock() - now_s
        return has_units

    def capacity_refusal(
        self, state: request_state.RequestState
    ) -> errors.Refused:
        """Return the refusal of a request when all servers are full."""
        return errors.Refused(
            'no_room',
            503,
            f'no server of service {state.service.name} has capacity',
            'no',
            CALLER_RETRY_AFTER_S,
        )

    async def run(
        self, state: request_state.RequestState, body: bytes, deliver: Deliver
    ) -> None:
        """Send a request until a server has run it or no attempt is left.

        Args:
            state: the request.
            body: the body to send, which may differ from the caller's.
            deliver: passes a response on to the caller.

        Raises:
            Refused: no server ran it, or its response broke off.
            TimeoutError: its deadline is too close for another attempt.
        """
        excluded: set[str] = set()
        while True:
            self._check_key(state)
            if (
                state.delivered_attempts >= state.route.attempt_limit
                or state.attempts >= ATTEMPT_LIMIT
                or not self._is_within_budget(state)
            ):
                raise self._no_server_refusal(state)
            choice = await self.choose_in_time(state, excluded)
            if choice is None:
                raise self._no_server_refusal(state)
            # The configuration may have changed while it waited.
            self._check_key(state)
            timeout_s = state.deadline_s - self._context.clock()
            if timeout_s < MIN_ATTEMPT_TIME_S:
                raise TimeoutError
            if not self._context.limits.take(choice.server):
                continue
            state.attempts += 1
            excluded.add(choice.server.server_id)
            if state.affinity and state.affinity == state.call.program_id:
                self._homes.record(state.affinity, choice.server.server_id)
            state.load = choice.load
            state.report_age_s = choice.report_age_s
            state.chosen_by = choice.factor
            state.server_limit_per_s = self._context.limits.rate_per_s(
                choice.server
            )
            if await self._attempt(
                state, choice.server, excluded, body, timeout_s, deliver
            ):
                self._record_run(state)
                return

    def _record_run(self, state):
        """Record that a request has run to its end, if that is evidence.

        A server may answer an error without having begun.
        """
        reports = self._context.crash_reports
        if not reports.is_idle and state.status in SUCCESS_STATUSES:
            reports.record_run(*state.crash_digests())

    def _is_within_budget(self, state):
        """Count an attempt; return whether the retry budget allows it.

        Only services whose servers report a slowdown are limited.
        """
        context, now_s = self._context, self._context.clock()
        servers = context.directory.ready(state.service.name)
        if not context.balancer.compares_finish(servers):
            return True
        if not state.attempts:
            self.retry_budget.record_request(now_s)
            return True
        if self.retry_budget.allow_retry(now_s):
            return True
        decisions.record(
            'retry_withheld',
            id=state.call.request_id,
            server=state.server_id,
            attempts=state.attempts,
        )
        return False

    def _check_key(self, state):
        """Refuse a request whose key was revoked while it waited."""
        table = self._context.table()
        if state.workspace is None or table.version == state.version:
            return
        if api_keys.is_in_force(state.call, state.workspace, table):
            return
        if state.may_have_run:
            raise self._no_server_refusal(state)
        raise api_keys.unknown_key_refusal()

    def _no_server_refusal(self, state):
        """Return the refusal of a request that has no attempt left."""
        if state.may_have_run:
            return errors.Refused(
                'broken',
                502,
                'no server completed the request, and one may have run it',
                'unknown',
            )
        return self.capacity_refusal(state)

    async def _attempt(
        self, state, server, excluded, body, timeout_s, deliver
    ):
        """Make one attempt; return False if another one may follow."""
        state.server_id = server.server_id
        state.transfer = None
        try:
            with outcomes.recording(self._context, state, server) as attempt:
                attempt.has_run = await self._send(
                    state, server, excluded, body, timeout_s, deliver
                )
            return attempt.has_run
        except errors.BackendFailed as failure:
            if failure.ran == 'no':
                self._context.limits.give_back(server)
                await self._handle_unreached(
                    state, server, excluded, str(failure)
                )
                return False
            state.delivered_attempts += 1
            state.may_have_run = True
            if state.call.program_id:
                self._recent_failures.record(
                    state.call.program_id,
                    server.server_id,
                    self._context.clock(),
                )
            if not isinstance(failure, errors.ServerSilent):
                self._health.start_crash_check(state, server)
            return self._retry_or_refuse(state, failure)

    async def _handle_unreached(self, state, server, excluded, reason):
        """Find another path to a server, or suspect it.

        One failure is more likely the server's own, and other servers may
        do; a request does not wait then.
        """
        state.unreached += 1
        may_be_cut = (
            state.unreached > 1
            or self._context.paths.is_any_lost
            or self.choose(state, excluded) is None
        )
        if may_be_cut and await self._health.finds_path(server):
            excluded.discard(server.server_id)
        else:
            self._health.suspect(server, state.call.request_id, reason)

    def _find_other(self, state, excluded):
        """Return the server that an attempt under way could move to."""
        context, now_s = self._context, self._context.clock()
        servers = context.directory.ready(state.service.name)
        if (
            not state.may_repeat
            or state.delivered_attempts + 1 >= state.route.attempt_limit
            or state.attempts >= ATTEMPT_LIMIT
            or context.balancer.compares_finish(servers)
            and not self.retry_budget.has_room(now_s)
        ):
            return None
        choice = self.choose(state, excluded)
        return choice.server if choice is not None else None

    async def _send(self, state, server, excluded, body, timeout_s, deliver):
        """Send a request; return whether the server ran it to the end."""
        state.helper_id = self._context.paths.helper_id(server)
        async with (
            self._health.move_if_unreachable(
                state, server, lambda: self._find_other(state, excluded)
            ),
            self._context.paths.send(
                _resuming_call(state), body, server, timeout_s
            ) as response,
        ):
            return await self._receive_response(
                state, server, response, deliver
            )

    async def _receive_response(self, state, server, response, deliver):
        state.transfer = response.transfer
        state.last_received_s = self._context.clock()
        self._record_metadata(server, response.metadata)
        if response.status != MISDIRECTED_STATUS:
            self._context.limits.record_answer(server, response.metadata)
        if response.metadata.was_not_run:
            is_body_whole = await response.skip()
            if response.status != MISDIRECTED_STATUS:
                state.delivered_attempts += 1
            decisions.record(
                'not_run',
                id=state.call.request_id,
                server=server.server_id,
                status=response.status,
                is_body_whole=is_body_whole,
            )
            return False
        if not response.metadata.is_signed:
            raise errors.BackendFailed(
                server.server_id, 'unknown', 'response without a signature'
            )
        await deliver(state, response)
        state.status = response.status
        return True

    def _record_metadata(self, server, metadata):
        """Record what a response says about the server itself."""
        context = self._context
        if metadata.load is not None:
            context.balancer.record_load(
                server.server_id, metadata.load, context.clock()
            )
        if metadata.is_load_malformed:
            count = context.balancer.ignore_report(server.server_id)
            # Logged when the count doubles: a faulty server repeats its
            # report in each response.
            if count.bit_count() == 1:
                decisions.record(
                    'load_report_ignored', server=server.server_id, count=count
                )
        if metadata.is_leaving and context.directory.mark_leaving(
            server.server_id, server.started_ms
        ):
            context.report_leaving(
                discovery.ReportLeaving(server.server_id, server.started_ms)
            )

    def _retry_or_refuse(self, state, failure):
        """Return False if a request that may have run can be repeated.

        A stream that may be resumed goes on after its last whole event.

        Raises:
            Refused: it cannot.
        """
        if (
            state.may_repeat
            and state.delivered_attempts < state.route.attempt_limit
        ):
            decisions.record(
                'repeat',
                id=state.call.request_id,
                server=failure.server,
                reason=str(failure),
            )
            return False
        raise errors.Refused('broken', 502, str(failure), 'unknown')


def _resuming_call(state):
    """Return the call to send: one that goes on if events were delivered."""
    state.reader.discard_incomplete_event()
    if not state.reader.count:
        return state.call
    return dataclasses.replace(state.call, last_event_id=state.reader.last_id)
