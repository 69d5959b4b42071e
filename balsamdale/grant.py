"""Grants: permissions to send one request to a backend server.

`Granter` runs the queues that this instance is responsible for;
`GrantRequester` requests grants from the instance that runs a server's
queue.
"""

import asyncio
from collections import abc as collections_abc
import contextlib
import dataclasses
import random
import uuid

from absl import logging

from balsamdale import backend
from balsamdale import background
from balsamdale import declaration
from balsamdale import dispatch
from balsamdale import errors
from balsamdale import link
from balsamdale import membership
from balsamdale import messages
from balsamdale import placement
from balsamdale import server_choice

__all__ = ['Demand', 'GrantRequester', 'Granter', 'HeldGrant', 'dispatcher_of']

QUEUE_POLL_INTERVAL_S = 0.1
UNREACHABLE_AVOIDANCE_S = 2.0
ACQUIRE_ATTEMPTS = 40
ACQUIRE_RETRY_INTERVAL_S = 0.1

Clock = collections_abc.Callable[[], float]
GetDeclaration = collections_abc.Callable[[], declaration.Declaration]


def dispatcher_of(
    server: declaration.BackendServer, members: membership.Membership
) -> str:
    """Return the id of the instance that runs a server's queue, or ''.

    Instances in the server's failure domain are preferred.
    """
    key = f'server-{server.name}'
    return members.cached(
        key, lambda: _highest_ranked(key, server.failure_domain, members)
    )


def _highest_ranked(key, failure_domain, members):
    usable = members.usable()
    local = [i for i in usable if i.failure_domain == failure_domain]
    ranked = placement.rank(key, [i.instance_id for i in local or usable])
    return ranked[0] if ranked else ''


class Granter:
    """Runs this instance's queues and replies to requests for grants.

    Args:
        links: connections to peers.
        members: the live instances.
        backends: requests to backend servers, to move parked prefixes.
        get_declaration: returns the declaration in force.
        clock: returns the present time in seconds.
        policy: switches of the queues.
    """

    def __init__(
        self,
        links: link.Links,
        members: membership.Membership,
        backends: backend.Backends,
        get_declaration: GetDeclaration,
        clock: Clock,
        policy: dispatch.Policy | None = None,
    ):
        self._members = members
        self._backends = backends
        self._get_declaration = get_declaration
        self._clock = clock
        self._policy = policy or dispatch.Policy()
        self._queues: dict[str, dispatch.Dispatcher] = {}
        self._futures: dict[str, asyncio.Future] = {}
        self._background = background.BackgroundTasks('grant')
        links.serve(messages.QuoteRequest, self._on_quote_request)
        links.serve(messages.GrantRequest, self._on_grant_request)
        links.serve(messages.GrantRenew, self._on_grant_renew)
        links.serve(messages.GrantDone, self._on_grant_done)

    def queue(self, name: str) -> dispatch.Dispatcher | None:
        """Return a server's queue, or None if another instance runs it."""
        server = self._get_declaration().server(name)
        if server is None:
            return None
        if dispatcher_of(server, self._members) != self._members.own_id:
            self._remove_queue(name)
            return None
        queue = self._queues.get(name)
        if queue is None:
            policy = self._policy
            if not server.cache_tokens:
                policy = dataclasses.replace(policy, gate=False)
            queue = dispatch.Dispatcher(
                server, policy, self._clock(), is_first=False
            )
            self._queues[name] = queue
        queue.server = server
        return queue

    def queues(self) -> list[dispatch.Dispatcher]:
        """Return every queue that this instance runs."""
        return list(self._queues.values())

    async def run(self) -> None:
        """Poll the queues until cancelled."""
        while True:
            await asyncio.sleep(QUEUE_POLL_INTERVAL_S)
            for name in list(self._queues):
                queue = self.queue(name)
                if queue is not None:
                    self._poll(queue)

    def _remove_queue(self, name):
        """Redirect the requests in a queue that another instance now runs."""
        queue = self._queues.pop(name, None)
        if queue is not None:
            for grant_id in queue.waiting_ids():
                self._resolve(grant_id, self._redirect(name))

    async def _on_quote_request(self, _sender, message):
        queue = self.queue(message.server)
        if queue is None:
            yield self._redirect(message.server)
        else:
            yield queue.estimate(message, self._clock())

    async def _on_grant_request(self, _sender, message):
        queue = self.queue(message.server)
        if queue is None:
            yield self._redirect(message.server)
            return
        future = asyncio.get_running_loop().create_future()
        self._futures[message.grant_id] = future
        for rejected in queue.enqueue(message, self._clock()):
            self._resolve(rejected.grant_id, _refusal(rejected))
        self._poll(queue)
        try:
            yield await future
        finally:
            self._futures.pop(message.grant_id, None)
            queue.cancel(message.grant_id)

    async def _on_grant_renew(self, _sender, message):
        queue = self.queue(message.server)
        if queue is None or not queue.renew(message.grant_id, self._clock()):
            yield self._redirect(message.server)
        else:
            yield messages.Ok()

    async def _on_grant_done(self, _sender, message):
        queue = self.queue(message.server)
        if queue is not None:
            queue.finish_grant(message, self._clock())
            self._poll(queue)
        yield messages.Ok()

    def _redirect(self, name):
        server = self._get_declaration().server(name)
        owner_id = dispatcher_of(server, self._members) if server else ''
        return messages.NotOwnerReply(0, owner_id)

    def _poll(self, queue):
        for effect in queue.poll(self._clock()):
            if isinstance(effect, dispatch.Granted):
                self._grant(queue.server, effect)
            elif isinstance(effect, dispatch.Rejected):
                self._resolve(effect.grant_id, _refusal(effect))
            else:
                self._background.spawn(self._park(queue.server, effect))

    def _resolve(self, grant_id, reply):
        future = self._futures.get(grant_id)
        if future is not None and not future.done():
            future.set_result(reply)

    def _grant(self, server, granted):
        if granted.imports:
            self._background.spawn(self._import(server, granted))
        else:
            self._resolve(granted.grant.grant_id, granted.grant)

    async def _import(self, server, granted):
        """Import a prefix, then grant; if that fails the engine prefills."""
        with contextlib.suppress(errors.BackendFailed):
            await self._backends.import_prefix(server, granted.program_id)
        self._resolve(granted.grant.grant_id, granted.grant)

    async def _park(self, server, park):
        try:
            if park.exports:
                await self._backends.export_prefix(server, park.program_id)
            else:
                await self._backends.release(server, park.program_id)
        except errors.BackendFailed as error:
            logging.debug('grant: cannot park a prefix: %s', error)


def _refusal(rejected):
    return messages.Refusal(
        code=rejected.code,
        status=503,
        detail='the queue is too long for this request',
        ran='no',
        retry_after_s=max(1.0, round(rejected.retry_after_s, 1)),
    )


@dataclasses.dataclass(frozen=True)
class Demand:
    """A request that an owner needs a grant for.

    Attributes:
        service: service to send to.
        program_id: program whose working set is accounted for.
        preferred_server: name of the server that likely caches the prefix,
            or an empty string.
        priority: 'urgent', 'deadline' or 'standard'.
        slack_s: time until the deadline; negative if there is none.
        attained_tokens: tokens that the program has used so far.
        prompt_tokens: expected length of the prompt.
        answer_tokens: expected length of the answer.
        suspect: whether a server crashed with the request in flight.
    """

    service: str
    program_id: str
    preferred_server: str
    priority: str
    slack_s: float
    attained_tokens: int
    prompt_tokens: int
    answer_tokens: int
    suspect: bool = False


@dataclasses.dataclass(frozen=True)
class HeldGrant:
    """A grant that this instance holds."""

    server: declaration.BackendServer
    grant_id: str


class GrantRequester:
    """Requests grants on behalf of program owners.

    Args:
        links: connections to the dispatchers.
        members: the live instances.
        get_declaration: returns the declaration in force.
        clock: returns the present time in seconds.
        generator: source of random numbers.
    """

    MAX_QUEUE_WAIT_S = 120.0

    def __init__(
        self,
        links: link.Links,
        members: membership.Membership,
        get_declaration: GetDeclaration,
        clock: Clock,
        generator: random.Random,
    ):
        self._links = links
        self._members = members
        self._get_declaration = get_declaration
        self._clock = clock
        self._generator = generator
        self._avoided_until_s: dict[str, float] = {}

    def mark_unreachable(self, server: str) -> None:
        """Avoid a server for a while after a connection to it failed."""
        self._avoided_until_s[server] = self._clock() + UNREACHABLE_AVOIDANCE_S

    async def acquire(self, demand: Demand) -> HeldGrant:
        """Wait for a grant on the server with the best estimate.

        Raises:
            Refused: the queue refused the request, or no server of the
                service can be reached; the request did not run.
        """
        grant_id = uuid.uuid4().hex
        for _ in range(ACQUIRE_ATTEMPTS):
            server = await self._choose_server(demand)
            if server is not None:
                grant = await self._request_grant(server, demand, grant_id)
                if grant is not None:
                    return grant
            await asyncio.sleep(ACQUIRE_RETRY_INTERVAL_S)
        raise errors.Refused(
            'no_backend_server',
            503,
            f'no server of {demand.service}',
            retry_after_s=UNREACHABLE_AVOIDANCE_S,
        )

    async def return_grant(
        self,
        grant: HeldGrant,
        program_id: str,
        resident_tokens: int,
        ended: bool = False,
        awaits_caller: bool = False,
    ) -> None:
        """Return a grant; see `messages.GrantDone` for the arguments."""
        done = messages.GrantDone(
            grant.server.name,
            program_id,
            grant.grant_id,
            resident_tokens,
            ended,
            awaits_caller,
        )
        with contextlib.suppress(errors.LinkError):
            await self._request_dispatcher(grant.server, done)

    async def renew_until_cancelled(self, grant: HeldGrant) -> None:
        """Renew a grant until cancelled."""
        renew = messages.GrantRenew(grant.server.name, grant.grant_id)
        while True:
            await asyncio.sleep(dispatch.GRANT_LEASE_S / 3)
            with contextlib.suppress(errors.LinkError):
                await self._request_dispatcher(grant.server, renew)

    async def _choose_server(self, demand):
        servers = self._get_declaration().servers_of(demand.service)
        now_s = self._clock()
        excluded = {
            name
            for name, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        options = server_choice.candidates(
            servers, demand.preferred_server, excluded, self._generator
        )
        preferred = next(
            (
                server
                for server in options
                if server.name == demand.preferred_server
            ),
            None,
        )
        if preferred is not None:
            estimate = await self._request_estimate(preferred, demand)
            if (
                estimate is not None
                and estimate.wait_s <= server_choice.PREFERRED_SERVER_BONUS_S
            ):
                return preferred
        estimates = await asyncio.gather(
            *(self._request_estimate(server, demand) for server in options)
        )
        best = server_choice.choose(
            (estimate for estimate in estimates if estimate is not None),
            demand.preferred_server,
            self._generator,
        )
        if best is None:
            return None
        return next(server for server in options if server.name == best.server)

    async def _request_estimate(self, server, demand):
        message = messages.QuoteRequest(
            server.name,
            demand.program_id,
            demand.prompt_tokens,
            demand.answer_tokens,
        )
        try:
            reply = await self._request_dispatcher(server, message)
        except errors.LinkError:
            return None
        return reply if isinstance(reply, messages.Quote) else None

    async def _request_grant(self, server, demand, grant_id):
        message = messages.GrantRequest(
            server=server.name,
            program_id=demand.program_id,
            grant_id=grant_id,
            priority=demand.priority,
            slack_s=demand.slack_s,
            attained_tokens=demand.attained_tokens,
            prompt_tokens=demand.prompt_tokens,
            answer_tokens=demand.answer_tokens,
            wait_s=self.MAX_QUEUE_WAIT_S,
            suspect=demand.suspect,
        )
        try:
            peer_id = dispatcher_of(server, self._members)
            reply = await self._links.first_reply(
                peer_id, message, self.MAX_QUEUE_WAIT_S + 1
            )
        except errors.LinkError:
            return None
        if isinstance(reply, messages.Refusal):
            raise errors.Refused(
                reply.code,
                reply.status,
                reply.detail,
                reply.ran,
                reply.retry_after_s,
            )
        if not isinstance(reply, messages.Grant):
            return None
        return HeldGrant(server, grant_id)

    async def _request_dispatcher(self, server, message):
        peer_id = dispatcher_of(server, self._members)
        return await self._links.request(peer_id, message)
