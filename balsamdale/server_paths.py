"""Paths of one entry to backend servers: direct, or through another entry.

An entry that cannot connect to a server does not know whether the server or
its own link has failed. It asks other entries, and sends its requests through
one that reaches the server.
"""

import asyncio
from collections import abc as collections_abc
import contextlib
import dataclasses
import random
import typing

from balsamdale import attempt_relay
from balsamdale import background
from balsamdale import codec
from balsamdale import decisions
from balsamdale import discovery
from balsamdale import errors
from balsamdale import exchange
from balsamdale import link
from balsamdale import metrics
from balsamdale import wire

__all__ = ['AskServer', 'ServerPaths', 'ServerSeen', 'Verdict']

# Time for a peer's reply: one connection to the server, and the way.
ASK_TIMEOUT_S = 0.4
# Peers that are asked, beside those that help already.
MAX_ASKED = 12
# Interval between checks whether a lost path is back, and paths per check.
CHECK_INTERVAL_S = 0.5
CHECKS_AT_ONCE = 4
# Paths that are checked when the first one is lost.
MAX_FIRST_CHECKS = 64

Verdict = typing.Literal['direct', 'relayed', 'unreachable', 'unconfirmed']


@codec.message
class AskServer:
    """Asks a peer whether it reaches a server.

    Attributes:
        address: IP address and port of the server.
    """

    address: str


@codec.message
class ServerSeen:
    """Reply to `AskServer`.

    Attributes:
        is_reached: whether the server accepts a connection of the peer.
        is_cut: whether the peer has lost its paths to other servers, so that
            a failure says nothing of this one.
    """

    is_reached: bool
    is_cut: bool


@dataclasses.dataclass
class _LostPath:
    """A server that this entry does not reach.

    Attributes:
        server: the server.
        helper_id: entry that reaches it; empty while none is known.
        is_refused: whether new connections are refused, not just unanswered.
    """

    server: discovery.Server
    helper_id: str = ''
    is_refused: bool = False


class ServerPaths:
    """Sends requests to servers by the path that works.

    Args:
        http_client: sends requests directly.
        links: connections to peers.
        peers: returns the ids of the other entries, preferred ones first.
        wire_format: translation of header names.
        ready: returns the servers of a service.
        generator: source of the choice between peers.
        paused_s: returns the length of a pause of this process that has just
            ended, or 0.
    """

    def __init__(
        self,
        http_client: exchange.HttpClient,
        links: link.Links,
        peers: collections_abc.Callable[[], list[str]],
        wire_format: wire.WireFormat,
        ready: collections_abc.Callable[
            [str], collections_abc.Sequence[discovery.Server]
        ],
        generator: random.Random,
        paused_s: collections_abc.Callable[[], float] = lambda: 0.0,
    ):
        self._http_client = http_client
        self._links = links
        self._peers = peers
        self._ready = ready
        self._generator = generator
        self._lost: dict[str, _LostPath] = {}
        self._checks: dict[str, asyncio.Task] = {}
        self._background = background.BackgroundTasks('paths')
        self._is_checking = False
        self._relay = attempt_relay.AttemptRelay(
            http_client, links, wire_format, paused_s
        )
        links.serve(AskServer, self._on_ask_server)

    def gauges(self) -> dict[str, tuple[str, metrics.ReadGauge]]:
        """Return the gauges by name."""
        return {
            'server_paths_lost': (
                'Servers that only other entries reach',
                lambda: len(self._lost),
            ),
            'attempts_relayed': (
                'Attempts that other entries sent for this one',
                lambda: self._relay.sent_by_others,
            ),
            'attempts_helped': (
                'Attempts that were sent for other entries',
                lambda: self._relay.sent_for_others,
            ),
        }

    @property
    def is_any_lost(self) -> bool:
        """Whether there are servers that only other entries reach."""
        return bool(self._lost)

    @property
    def is_leaving(self) -> bool:
        """Whether no further requests are sent for other entries."""
        return self._relay.is_leaving

    def leave(self) -> None:
        """Send no further requests for other entries."""
        self._relay.is_leaving = True

    def count_sending(self) -> int:
        """Return the requests that are being sent for other entries."""
        return self._relay.sending

    def close(self) -> None:
        """Cancel checks that are under way."""
        self._background.cancel()
        for task in self._checks.values():
            task.cancel()

    def helper_id(self, server: discovery.Server) -> str:
        """Return the entry that reaches a server for this one, if any."""
        path = self._lost.get(server.address)
        return path.helper_id if path is not None else ''

    def is_refused(self, server: discovery.Server) -> bool:
        """Return whether a server refuses connections of this entry only.

        Connections that are open may then live on.
        """
        path = self._lost.get(server.address)
        return path is not None and path.is_refused

    def send(
        self,
        call: wire.Call,
        body: bytes,
        server: discovery.Server,
        timeout_s: float,
    ) -> contextlib.AbstractAsyncContextManager[exchange.Response]:
        """Send one request by the path that works; yield its response.

        See `exchange.HttpClient.send`.

        Raises:
            BackendFailed: the response is missing or incomplete.
        """
        helper_id = self.helper_id(server)
        if helper_id:
            return self._send_relayed(call, body, server, timeout_s, helper_id)
        return self._http_client.send(
            call, body, server.address, server.server_id, timeout_s
        )

    @contextlib.asynccontextmanager
    async def _send_relayed(self, call, body, server, timeout_s, helper_id):
        request = self._http_client.encode(
            call, body, server.server_id, timeout_s
        )
        try:
            async with self._relay.send(
                request, server, helper_id
            ) as response:
                yield response
        except errors.BackendFailed as failure:
            is_helper_to_blame = isinstance(failure, errors.HelperFailed)
            if is_helper_to_blame or failure.ran == 'no':
                self._drop_helper(server, helper_id)
            raise

    async def check(
        self, server: discovery.Server, has_failed: bool = False
    ) -> Verdict:
        """Find the path to a server; checks of one server are shared.

        Args:
            server: the server.
            has_failed: whether a connection to it has just failed.

        Returns:
            'direct'; 'relayed' if only another entry reaches the server;
            'unreachable' if others do not reach it either; 'unconfirmed' if
            no other entry could tell.
        """
        task = self._checks.get(server.address)
        if task is None:
            task = asyncio.create_task(self._check(server, has_failed))
            self._checks[server.address] = task
            task.add_done_callback(
                lambda _: self._checks.pop(server.address, None)
            )
        return await asyncio.shield(task)

    async def _check(self, server, has_failed):
        if not has_failed:
            if await self._http_client.is_reachable(server.address):
                self._regain(server.address)
                return 'direct'
        probe_task = asyncio.create_task(
            self._http_client.probe(server.address)
        )
        helper_id, is_confirmed = await self._find_helper(server.address)
        if helper_id:
            # The own probe may take long; whoever waits can go on.
            self._lose(server, helper_id)
            self._background.spawn(self._use_probe(server, probe_task))
            return 'relayed'
        if await probe_task == 'open':
            self._regain(server.address)
            return 'direct'
        self._lost.pop(server.address, None)
        if is_confirmed or not self._peers():
            return 'unreachable'
        return 'unconfirmed'

    async def _use_probe(self, server, probe_task):
        connection = await probe_task
        path = self._lost.get(server.address)
        if connection == 'open':
            self._regain(server.address)
        elif path is not None:
            path.is_refused = connection == 'refused'

    async def _find_helper(self, address):
        """Return a peer that reaches a server, and whether others told."""
        is_confirmed = False
        for names in self._peers_to_ask():
            for reply_due in asyncio.as_completed(
                [self._ask(name, address) for name in names]
            ):
                name, reply = await reply_due
                if reply is not None and reply.is_reached:
                    return name, True
                if reply is not None and not reply.is_cut:
                    is_confirmed = True
        return '', is_confirmed

    def _peers_to_ask(self):
        """Return groups of peers, those that help already first."""
        peers = self._peers()
        known = {path.helper_id for path in self._lost.values()}
        helpers = [name for name in peers if name in known]
        others = [name for name in peers if name not in known]
        self._generator.shuffle(others)
        return [helpers[:MAX_ASKED], others[:MAX_ASKED]]

    async def _ask(self, name, address):
        try:
            reply = await self._links.request(
                name, AskServer(address), ASK_TIMEOUT_S
            )
        except errors.LinkError:
            return name, None
        return name, reply if isinstance(reply, ServerSeen) else None

    def _lose(self, server, helper_id):
        is_first = not self._lost
        path = self._lost.get(server.address)
        if path is not None:
            path.helper_id = helper_id
            return
        self._lost[server.address] = _LostPath(server, helper_id)
        decisions.record(
            'server_path_lost', server=server.server_id, helper=helper_id
        )
        if is_first:
            self._background.spawn(self._check_others(server))
        if not self._is_checking:
            self._is_checking = True
            self._background.spawn(self._check_until_regained())

    def _regain(self, address):
        path = self._lost.pop(address, None)
        if path is not None:
            decisions.record(
                'server_path_regained', server=path.server.server_id
            )

    async def _check_others(self, server):
        """Check the paths to the service's other servers before use."""
        others = [s for s in self._ready(server.service) if s != server]
        self._generator.shuffle(others)
        others = others[:MAX_FIRST_CHECKS]
        for start in range(0, len(others), CHECKS_AT_ONCE):
            await asyncio.gather(
                *map(self.check, others[start : start + CHECKS_AT_ONCE])
            )

    async def _check_until_regained(self):
        """Check lost paths until there are none."""
        try:
            while self._lost:
                await asyncio.sleep(CHECK_INTERVAL_S)
                paths = list(self._lost.values())
                self._generator.shuffle(paths)
                is_open = await asyncio.gather(
                    *(
                        self._http_client.is_reachable(path.server.address)
                        for path in paths[:CHECKS_AT_ONCE]
                    )
                )
                for path, is_path_open in zip(paths, is_open, strict=False):
                    if is_path_open:
                        self._regain(path.server.address)
                self._remove_departed()
        finally:
            self._is_checking = False

    def _remove_departed(self):
        for address, path in list(self._lost.items()):
            ready = self._ready(path.server.service)
            if path.server.server_id not in {s.server_id for s in ready}:
                del self._lost[address]

    async def _on_ask_server(self, _sender, message):
        yield ServerSeen(
            is_reached=await self._reaches(message.address),
            is_cut=self.is_any_lost or self._relay.is_leaving,
        )

    async def _reaches(self, address):
        if address in self._lost or self._relay.is_leaving:
            return False
        return await self._http_client.is_reachable(address)

    def _drop_helper(self, server, helper_id):
        """Forget a helper, so that the next attempt finds the path anew."""
        path = self._lost.get(server.address)
        if path is not None and path.helper_id == helper_id:
            path.helper_id = ''
