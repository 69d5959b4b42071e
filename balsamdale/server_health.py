"""Health of backend servers as an entry and its peers see it."""

import asyncio
from collections import abc as collections_abc
import contextlib
import itertools
import math

from balsamdale import background
from balsamdale import decisions
from balsamdale import discovery
from balsamdale import errors
from balsamdale import request_state

__all__ = ['ServerHealth']

# Silence after which a server's reachability is checked: longer than the
# pauses between events that are on time.
SILENCE_BEFORE_CHECK_S = 0.3
RECOVERY_CHECK_INTERVAL_S = 0.5
# Checks of an unreachable server for each question to other entries.
CHECKS_PER_QUESTION = 4
# Longest time that a request waits to learn who reaches its server.
FIND_PATH_TIMEOUT_S = 0.1


class ServerHealth:
    """Finds servers that are silent, unreachable or have crashed.

    Args:
        context: the parts of the instance that requests are served with.
    """

    def __init__(self, context: request_state.Context):
        self._context = context
        self._background = background.BackgroundTasks('health')
        # Times at which silent servers accepted a connection, by address.
        self._accepted_s: dict[str, float] = {}
        # Addresses that are checked until they accept connections again.
        self._unreachable: set[str] = set()

    @contextlib.asynccontextmanager
    async def move_if_unreachable(
        self,
        state: request_state.RequestState,
        server: discovery.Server,
        find_other: collections_abc.Callable[[], discovery.Server | None],
    ) -> collections_abc.AsyncIterator[None]:
        """Stop an attempt at a silent server that another can take over.

        A server that is silent and accepts no connections may be down, or
        suspended for a while. An attempt that cannot be repeated waits for
        it: the connection of a server that has died ends by itself. Only
        where other entries reach the server is the connection known to be
        lost.

        Args:
            state: the request.
            server: the server of the attempt.
            find_other: returns the server that the request would be sent to
                next; None if it may not be sent again.

        Raises:
            ServerSilent: the attempt was stopped.
            PathLost: the same, and another entry reaches the server.
        """
        state.last_received_s = self._context.clock()
        try:
            async with asyncio.timeout(None) as scope:
                watch_task = asyncio.create_task(
                    self._watch_for_silence(state, server, find_other, scope)
                )
                try:
                    yield
                finally:
                    watch_task.cancel()
        except TimeoutError as error:
            if not scope.expired():
                raise
            if self._context.paths.helper_id(server):
                raise errors.PathLost(
                    server.server_id, 'unknown', 'the path to it was lost'
                ) from error
            raise errors.ServerSilent(
                server.server_id, 'unknown', 'silent and unreachable', True
            ) from error

    async def _watch_for_silence(self, state, server, find_other, scope):
        wait_s = SILENCE_BEFORE_CHECK_S
        while True:
            await asyncio.sleep(wait_s)
            silent_s = self._context.clock() - state.last_received_s
            wait_s = SILENCE_BEFORE_CHECK_S - silent_s
            if wait_s > 0:
                continue
            wait_s = SILENCE_BEFORE_CHECK_S
            if self._has_accepted(server):
                continue
            if server.address in self._unreachable and not find_other():
                continue
            verdict = await self._check(server)
            if verdict == 'direct' or self._is_heard(state):
                continue
            # Open connections may live on while new ones are refused.
            if verdict == 'relayed' and (
                state.helper_id or self._context.paths.is_refused(server)
            ):
                continue
            if verdict != 'relayed':
                self.suspect(
                    server, state.call.request_id, 'silent and unreachable'
                )
            if await self._is_reached(find_other()):
                # The answer may have begun meanwhile.
                may_end = bool(find_other())
            else:
                may_end = verdict == 'relayed' and await self._is_cut(server)
            if may_end and not self._is_heard(state):
                scope.reschedule(asyncio.get_running_loop().time())
                return

    async def _check(self, server):
        """Find the path to a server, and remember if it is direct."""
        verdict = await self._context.paths.check(server)
        if verdict == 'direct':
            now_s = self._context.clock()
            self._accepted_s = {
                address: accepted_s
                for address, accepted_s in self._accepted_s.items()
                if now_s - accepted_s < SILENCE_BEFORE_CHECK_S
            }
            self._accepted_s[server.address] = now_s
        return verdict

    def _has_accepted(self, server):
        """Return whether a server accepted a connection a moment ago.

        Each connection takes a place in the backlog of a suspended server,
        so the requests that wait for it share their checks.
        """
        accepted_s = self._accepted_s.get(server.address, -math.inf)
        return self._context.clock() - accepted_s < SILENCE_BEFORE_CHECK_S

    async def _is_cut(self, server):
        """Return whether this entry alone has lost its path to a server.

        A suspended server that has just gone on is reached by other entries
        before this one has tried again.
        """
        connection = await self._context.http_client.probe(server.address)
        return connection == 'silent'

    async def _is_reached(self, server):
        """Return whether a request could be sent to a server, if any."""
        return server is not None and (
            self._has_accepted(server)
            or await self._check(server) in ('direct', 'relayed')
        )

    def _is_heard(self, state):
        """Return whether a server has sent something a moment ago."""
        silent_s = self._context.clock() - state.last_received_s
        return silent_s < SILENCE_BEFORE_CHECK_S

    def start_crash_check(
        self, state: request_state.RequestState, server: discovery.Server
    ) -> None:
        """Find out whether a server died with a request in flight."""
        self._background.spawn(self._check_crash(state, server))

    async def _check_crash(self, state, server):
        """Report a crash if a server died with a request in flight."""
        reports = self._context.crash_reports
        digest, earlier_digest = state.crash_digests()
        with reports.checking(digest) as check:
            # A failure that no other entry confirms may be this entry's own.
            if await self._context.paths.check(server) != 'unreachable':
                return
        decisions.record(
            'server_crashed',
            id=state.call.request_id,
            server=server.server_id,
            digest=digest,
            is_refuted=check.has_run,
        )
        if not check.has_run:
            # All requests that fail at one incarnation of a server count as
            # one crash, wherever they are reported.
            reports.report(
                digest,
                earlier_digest,
                f'{server.server_id}@{server.started_ms}',
                state.call.workspace,
            )

    async def finds_path(self, server: discovery.Server) -> bool:
        """Return whether another entry reaches a server that failed.

        A request waits only a short while for it.
        """
        check = self._context.paths.check(server, has_failed=True)
        try:
            async with asyncio.timeout(FIND_PATH_TIMEOUT_S):
                return await check == 'relayed'
        except TimeoutError:
            return False

    def suspect(
        self, server: discovery.Server, request_id: str, reason: str
    ) -> None:
        """Mark a server as suspected until it accepts connections again."""
        if self._context.balancer.mark_suspected(server.server_id):
            decisions.record(
                'server_unreachable',
                id=request_id,
                server=server.server_id,
                reason=reason,
            )
            self._unreachable.add(server.address)
            self._background.spawn(self._check_recovery(server))

    async def _check_recovery(self, server):
        """Check a server until it recovers or is no longer registered."""
        try:
            await self._wait_for_recovery(server)
        finally:
            self._unreachable.discard(server.address)
        self._context.balancer.mark_healthy(server.server_id)
        decisions.record('server_recovered', server=server.server_id)

    async def _wait_for_recovery(self, server):
        context = self._context
        for check_number in itertools.count():
            if check_number % CHECKS_PER_QUESTION == 0:
                await context.paths.check(server, has_failed=True)
            if context.paths.helper_id(server):
                return
            await asyncio.sleep(RECOVERY_CHECK_INTERVAL_S)
            if server not in context.directory.ready(server.service):
                return
            if await context.http_client.is_reachable(server.address):
                return
