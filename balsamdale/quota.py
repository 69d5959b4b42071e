"""Client of request quotas: an entry asks the limiter of a workspace.

An entry that has no reply in time admits its share of the limit. It does not
ask the next candidate while the first one is a member of the deployment, as
that one may still be lending.
"""

import asyncio
from collections import abc as collections_abc
import dataclasses
import math

from balsamdale import background
from balsamdale import decisions
from balsamdale import errors
from balsamdale import metrics
from balsamdale import placement
from balsamdale import quota_link
from balsamdale import quota_service
from balsamdale import relay
from balsamdale import routes
from balsamdale.scheduling import quota_account
from balsamdale.scheduling import quota_programs
from balsamdale.scheduling import quota_units

__all__ = ['QuotaClient', 'RETRY_BOUNDS_S']

# Time after which a request does not wait for the limiter any longer.
REPLY_TIMEOUT_S = 0.06
# Accounts that an entry keeps, about 1 KB each; the longest unused go first.
MAX_ACCOUNTS = 4096
# Retry-After of a request that is refused without the limiter: about the
# time in which a limiter that restarts or changes replies again.
FALLBACK_RETRY_AFTER_S = 0.5
# Share of its remaining time that a request may wait for its unit.
MAX_WAIT_SHARE = 0.25
# Histogram buckets of Retry-After, in seconds.
RETRY_BOUNDS_S = (0.05, 0.1, 0.3, 1.0, 3.0, 10.0)


@dataclasses.dataclass
class _Waiter:
    """A request that waits for the limiter's decision.

    Attributes:
        unit: the unit that it needs.
        future: the verdict; None if the limiter did not decide.
    """

    unit: quota_units.WantedUnit
    future: asyncio.Future


@dataclasses.dataclass
class _WorkspaceState:
    """An account with the requests that wait for its next message."""

    account: quota_account.Account
    waiting: list[_Waiter] = dataclasses.field(default_factory=list)
    is_asking: bool = False
    return_timer: asyncio.TimerHandle | None = None

    @property
    def is_idle(self) -> bool:
        return not self.is_asking and self.return_timer is None


class QuotaClient:
    """Acquires units for the requests of one entry.

    Args:
        relay_links: requests to peers.
        candidates: returns the ids of the instances that may limit.
        entry_count: returns the number of entries.
        clock: returns the present time in seconds.
        first_sequence: number of the first message; above all numbers that
            this entry has used before it restarted.
        record_retry_after: records the Retry-After of each refusal.
    """

    def __init__(
        self,
        relay_links: relay.RelayLinks,
        candidates: collections_abc.Callable[[], list[str]],
        entry_count: collections_abc.Callable[[], int],
        clock: collections_abc.Callable[[], float],
        first_sequence: int,
        record_retry_after: metrics.RecordValue = lambda value, labels: None,
    ):
        self._instance_id = relay_links.instance_id
        self._limiters = quota_link.LimiterLink(relay_links)
        self._candidates = candidates
        self._entry_count = entry_count
        self._clock = clock
        self._sequence = first_sequence
        self._record_retry_after = record_retry_after
        self._states: dict[str, _WorkspaceState] = {}
        self._probing: set[str] = set()
        self._background = background.BackgroundTasks('quota')
        self._counts = dict.fromkeys(
            (
                'units_received',
                'refused',
                'fallback_admitted',
                'fallback_refused',
            ),
            0,
        )

    async def acquire(
        self,
        workspace: routes.Workspace,
        request_id: str,
        version: int,
        *,
        program_id: str = '',
        remaining_s: float = 0.0,
    ) -> None:
        """Acquire a unit for a request; return at once without a limit.

        Args:
            workspace: the workspace of the request, with its limit.
            request_id: id of the request.
            version: version of the configuration that the limit is from.
            program_id: id of its program; empty for none.
            remaining_s: time until its deadline; 0 if it cannot wait.

        Raises:
            Refused: the workspace is above its limit.
        """
        if not 0 < workspace.rate_per_s < math.inf:
            return
        now_s = self._clock()
        state = self._find_state(workspace, version)
        idle_s = state.account.record_request(now_s)
        if state.account.take_spare(now_s):
            return
        limiter_id = self._limiter_of(workspace.name)
        verdict = None
        if self._limiters.is_silent(limiter_id):
            self._start_probe(state, limiter_id)
        elif limiter_id:
            unit = quota_units.WantedUnit(
                quota_programs.program_hash(program_id),
                _max_wait_s(remaining_s),
            )
            verdict = await self._ask_with_others(state, limiter_id, unit)
        if verdict is None:
            self._decide_locally(state, limiter_id, idle_s, request_id)
        elif verdict.is_admitted:
            await self._wait_for_unit(state, verdict.delay_s)
        else:
            self._counts['refused'] += 1
            self._refuse(
                state, limiter_id, 'limit', request_id, verdict.delay_s
            )

    def give_back(self, workspace_name: str) -> None:
        """Give back the unit of a request that reached no server."""
        state = self._states.get(workspace_name)
        if state is not None:
            self._add_spare(state)

    def close(self) -> None:
        """Cancel messages in flight."""
        self._background.cancel()
        for state in self._states.values():
            if state.return_timer is not None:
                state.return_timer.cancel()

    def gauges(self) -> dict[str, tuple[str, metrics.ReadGauge]]:
        """Return the gauges by name."""
        descriptions = {
            'units_received': 'Units lent to this entry',
            'refused': 'Requests refused by the limiters',
            'fallback_admitted': 'Requests admitted without a limiter',
            'fallback_refused': 'Requests refused without a limiter',
        }
        return {
            f'quota_{name}': (text, lambda name=name: self._counts[name])
            for name, text in descriptions.items()
        } | self._limiters.gauges()

    def _find_state(self, workspace, version):
        limit = quota_units.WorkspaceLimit(
            workspace.name,
            version,
            workspace.rate_per_s,
            max(0.0, workspace.burst),
        )
        state = self._states.pop(workspace.name, None)
        if state is None:
            self._evict_state()
            state = _WorkspaceState(quota_account.Account(limit))
        # The order of the dictionary is that of the last use.
        self._states[workspace.name] = state
        state.account.set_limit(limit)
        return state

    def _evict_state(self):
        if len(self._states) >= MAX_ACCOUNTS:
            idle = (n for n, state in self._states.items() if state.is_idle)
            self._states.pop(next(idle, ''), None)

    def _limiter_of(self, workspace_name):
        return next(
            iter(placement.rank(workspace_name, self._candidates())), ''
        )

    async def _ask_with_others(self, state, limiter_id, unit):
        """Return the verdict of the limiter, or None if it is late."""
        future = asyncio.get_running_loop().create_future()
        state.waiting.append(_Waiter(unit, future))
        self._start_asking(state)
        try:
            await asyncio.wait((future,), timeout=REPLY_TIMEOUT_S)
        except asyncio.CancelledError:
            self._abandon(state, future)
            raise
        if future.done():
            return future.result()
        future.cancel()
        self._mark_silent(state, limiter_id, 'late')
        return None

    def _abandon(self, state, future):
        """Give back the unit of a request whose caller disconnected."""
        if not future.done():
            future.cancel()
        elif future.result() is not None and future.result().is_admitted:
            self._add_spare(state)

    async def _wait_for_unit(self, state, delay_s):
        if not delay_s:
            return
        try:
            await asyncio.sleep(delay_s)
        except asyncio.CancelledError:
            self._add_spare(state)
            raise

    def _start_asking(self, state):
        if not state.is_asking:
            state.is_asking = True
            self._background.spawn(self._ask_until_idle(state))

    async def _ask_until_idle(self, state):
        """Send one message at a time, for all requests that wait."""
        try:
            is_due = True
            while is_due:
                waiters = [w for w in state.waiting if not w.future.done()]
                state.waiting = waiters[quota_service.MAX_UNITS :]
                await self._ask(state, waiters[: quota_service.MAX_UNITS])
                is_due = any(not w.future.done() for w in state.waiting)
        finally:
            state.is_asking = False

    async def _ask(self, state, waiters):
        account = state.account
        limit = account.limit
        limiter_id = self._limiter_of(limit.workspace)
        lease = None
        if limiter_id:
            sent_at_s = self._clock()
            returned, admitted, is_changed = account.next_report(
                limiter_id, sent_at_s
            )
            message = quota_service.LendUnits(
                entry_id=self._instance_id,
                workspace=limit.workspace,
                version=limit.version,
                rate_per_s=limit.rate_per_s,
                burst=limit.burst,
                programs=tuple(waiter.unit.program for waiter in waiters),
                max_waits_s=tuple(w.unit.max_wait_s for w in waiters),
                returned=returned,
                sequence=self._next_sequence(),
                admitted=admitted,
                is_changed=is_changed,
            )
            lease = await self._limiters.request(limiter_id, message)
            if lease is None:
                account.restore_admitted(admitted)
        if lease is None:
            _resolve_all(waiters)
            return
        self._counts['units_received'] += lease.units
        account.record_lease(limiter_id, lease, self._clock())
        for waiter, verdict in zip(waiters, lease.verdicts, strict=True):
            if not waiter.future.done():
                waiter.future.set_result(verdict)
            elif verdict.is_admitted:
                self._add_spare(state)

    def _add_spare(self, state):
        state.account.add_spare(self._clock())
        if state.return_timer is None:
            self._schedule_return(state)

    def _schedule_return(self, state):
        state.return_timer = asyncio.get_running_loop().call_later(
            quota_account.REUSE_S * 1.02, self._return_expired, state
        )

    def _return_expired(self, state):
        """Return spare units that no request has used."""
        state.return_timer = None
        account = state.account
        limiter_id = self._limiter_of(account.limit.workspace)
        if account.count_expired(self._clock()):
            if not self._limiters.is_silent(limiter_id):
                self._start_asking(state)
        elif account.spare_count:
            self._schedule_return(state)

    def _start_probe(self, state, limiter_id):
        """Ask a silent limiter again, without a request that waits."""
        if limiter_id not in self._probing:
            self._probing.add(limiter_id)
            self._background.spawn(self._probe(state, limiter_id))

    async def _probe(self, state, limiter_id):
        try:
            await self._ask(state, [])
        finally:
            self._probing.discard(limiter_id)

    def _mark_silent(self, state, limiter_id, reason):
        workspace = state.account.limit.workspace
        self._limiters.mark_silent(limiter_id, workspace, reason)

    def _decide_locally(self, state, limiter_id, idle_s, request_id):
        now_s = self._clock()
        account = state.account
        if account.admit_locally(
            max(1, self._entry_count()), idle_s, request_id, now_s
        ):
            self._counts['fallback_admitted'] += 1
            decisions.record(
                'quota_admitted_locally',
                id=request_id,
                workspace=account.limit.workspace,
                limiter=limiter_id,
                reply_age_s=account.reply_age_s(now_s),
            )
            return
        self._counts['fallback_refused'] += 1
        self._refuse(
            state, limiter_id, 'share', request_id, FALLBACK_RETRY_AFTER_S
        )

    def _refuse(self, state, limiter_id, factor, request_id, retry_after_s):
        limit = state.account.limit
        self._record_retry_after(retry_after_s, {'factor': factor})
        decisions.record(
            'quota_refused',
            id=request_id,
            workspace=limit.workspace,
            limiter=limiter_id,
            factor=factor,
            version=limit.version,
            rate_per_s=limit.rate_per_s,
            reply_age_s=state.account.reply_age_s(self._clock()),
            retry_after_s=round(retry_after_s, 3),
        )
        raise errors.Refused(
            'quota',
            429,
            f'workspace {limit.workspace} is above its quota',
            'no',
            retry_after_s,
        )

    def _next_sequence(self):
        self._sequence += 1
        return self._sequence


def _resolve_all(waiters):
    """Tell requests that the limiter did not decide about them."""
    for waiter in waiters:
        if not waiter.future.done():
            waiter.future.set_result(None)


def _max_wait_s(remaining_s):
    wait_s = max(0.0, MAX_WAIT_SHARE * remaining_s)
    return min(quota_units.MAX_PROGRAM_WAIT_S, wait_s)
