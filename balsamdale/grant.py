"""Access to grants: the right to send one request to a backend server.

`Granter` runs the queues that this instance is responsible for,
`GrantRequester` asks whichever instance runs the queue of a server.
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

__all__ = ['Demand', 'Granter', 'GrantRequester', 'HeldGrant', 'dispatcher_of']

POLL_S = 0.1
DOWN_S = 2.0
ATTEMPTS = 40
RETRY_S = 0.1

Clock = collections_abc.Callable[[], float]
Declared = collections_abc.Callable[[], declaration.Declaration]


def dispatcher_of(
    server: declaration.BackendServer, members: membership.Membership
) -> str:
    """Return the instance that runs a server's queue.

    Instances in the server's failure domain come first.
    """
    key = f'server-{server.name}'
    return members.cached(
        key, lambda: _first_ranked(key, server.failure_domain, members)
    )


def _first_ranked(key, failure_domain, members):
    usable = members.usable()
    near = [i for i in usable if i.failure_domain == failure_domain]
    ranked = placement.rank(key, [i.instance_id for i in near or usable])
    return ranked[0] if ranked else ''


class Granter:
    """The queues that this instance runs.

    Args:
        links: where requests come from.
        members: the live instances.
        backends: used to drop parked prefixes.
        declared: returns the declaration in force.
        clock: returns the present time in seconds.
        policy: switches of the queues.
    """

    def __init__(
        self,
        links: link.Links,
        members: membership.Membership,
        backends: backend.Backends,
        declared: Declared,
        clock: Clock,
        policy: dispatch.Policy | None = None,
    ):
        self._members = members
        self._backends = backends
        self._declared = declared
        self._clock = clock
        self._policy = policy or dispatch.Policy()
        self._queues: dict[str, dispatch.Dispatcher] = {}
        self._waiting: dict[str, asyncio.Future] = {}
        self._background = background.BackgroundTasks('grant')
        links.serve(messages.QuoteRequest, self._quote)
        links.serve(messages.GrantRequest, self._request)
        links.serve(messages.GrantRenew, self._renew)
        links.serve(messages.GrantDone, self._done)

    def queue(self, name: str) -> dispatch.Dispatcher | None:
        """Return the queue of a server that this instance runs."""
        server = self._declared().server(name)
        if server is None:
            return None
        if dispatcher_of(server, self._members) != self._members.own_id:
            self._displace(name)
            return None
        held = self._queues.get(name)
        if held is None:
            policy = self._policy
            if not server.cache_tokens:
                policy = dataclasses.replace(policy, gate=False)
            held = dispatch.Dispatcher(
                server, policy, self._clock(), is_first=False
            )
            self._queues[name] = held
        held.server = server
        return held

    def queues(self) -> list[dispatch.Dispatcher]:
        """Return every queue that is in use here."""
        return list(self._queues.values())

    async def run(self) -> None:
        """Poll the queues until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            for name in list(self._queues):
                queue = self.queue(name)
                if queue is not None:
                    self._poll(queue)

    def _displace(self, name):
        """Send those who wait in a queue that has moved to its new place."""
        queue = self._queues.pop(name, None)
        if queue is not None:
            for grant_id in queue.waiting_ids():
                self._settle(grant_id, self._elsewhere(name))

    async def _quote(self, _sender, message):
        queue = self.queue(message.server)
        if queue is None:
            yield self._elsewhere(message.server)
        else:
            yield queue.estimate(message, self._clock())

    async def _request(self, _sender, message):
        queue = self.queue(message.server)
        if queue is None:
            yield self._elsewhere(message.server)
            return
        future = asyncio.get_running_loop().create_future()
        self._waiting[message.grant_id] = future
        for rejected in queue.enqueue(message, self._clock()):
            self._settle(rejected.grant_id, _refusal(rejected))
        self._poll(queue)
        try:
            yield await future
        finally:
            self._waiting.pop(message.grant_id, None)
            queue.cancel(message.grant_id)

    async def _renew(self, _sender, message):
        queue = self.queue(message.server)
        if queue is None or not queue.renew(message.grant_id, self._clock()):
            yield self._elsewhere(message.server)
        else:
            yield messages.Ok()

    async def _done(self, _sender, message):
        queue = self.queue(message.server)
        if queue is not None:
            queue.finish_grant(message, self._clock())
            self._poll(queue)
        yield messages.Ok()

    def _elsewhere(self, name):
        server = self._declared().server(name)
        owner_id = dispatcher_of(server, self._members) if server else ''
        return messages.NotOwnerReply(0, owner_id)

    def _poll(self, queue):
        for effect in queue.poll(self._clock()):
            if isinstance(effect, dispatch.Granted):
                self._grant(queue.server, effect)
            elif isinstance(effect, dispatch.Rejected):
                self._settle(effect.grant_id, _refusal(effect))
            else:
                self._background.spawn(self._park(queue.server, effect))

    def _settle(self, grant_id, reply):
        future = self._waiting.get(grant_id)
        if future is not None and not future.done():
            future.set_result(reply)

    def _grant(self, server, granted):
        if granted.imports:
            self._background.spawn(self._import(server, granted))
        else:
            self._settle(granted.grant.grant_id, granted.grant)

    async def _import(self, server, granted):
        """Import a prefix, then grant; without it the engine prefills."""
        with contextlib.suppress(errors.BackendFailed):
            await self._backends.import_prefix(server, granted.program_id)
        self._settle(granted.grant.grant_id, granted.grant)

    async def _park(self, server, parked):
        try:
            if parked.exports:
                await self._backends.export_prefix(server, parked.program_id)
            else:
                await self._backends.release(server, parked.program_id)
        except errors.BackendFailed as error:
            logging.debug('grant: parking failed: %s', error)


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
    """What an owner wants to send.

    Attributes:
        service: service to send to.
        program_id: program whose working set is accounted.
        preferred_server: server that likely holds the prefix, or an
            empty string.
        priority: 'urgent', 'deadline' or 'standard'.
        slack_s: time left; negative for no deadline.
        attained_tokens: service that the program has had so far.
        prompt_tokens: expected prompt.
        answer_tokens: expected answer.
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
    """Asks for grants on behalf of program owners.

    Args:
        links: connections to the dispatchers.
        members: the live instances.
        declared: returns the declaration in force.
        clock: returns the present time in seconds.
        generator: source of random choices.
    """

    WAIT_S = 120.0

    def __init__(
        self,
        links: link.Links,
        members: membership.Membership,
        declared: Declared,
        clock: Clock,
        generator: random.Random,
    ):
        self._links = links
        self._members = members
        self._declared = declared
        self._clock = clock
        self._generator = generator
        self._down_until_s: dict[str, float] = {}

    def mark_unreachable(self, server: str) -> None:
        """Avoid a server for a while after it refused a connection."""
        self._down_until_s[server] = self._clock() + DOWN_S

    async def acquire(self, demand: Demand) -> HeldGrant:
        """Wait for a grant on the server that should finish first.

        Raises:
            Refused: the queue gave the request up; it did not run.
        """
        grant_id = uuid.uuid4().hex
        for _ in range(ATTEMPTS):
            server = await self._choose(demand)
            if server is not None:
                held = await self._ask(server, demand, grant_id)
                if held is not None:
                    return held
            await asyncio.sleep(RETRY_S)
        raise errors.Refused(
            'no_backend_server',
            503,
            f'no server of {demand.service}',
            retry_after_s=DOWN_S,
        )

    async def return_grant(
        self,
        held: HeldGrant,
        program_id: str,
        resident_tokens: int,
        ended: bool = False,
        awaits_caller: bool = False,
    ) -> None:
        """Return a grant; see `messages.GrantDone` for its terms."""
        done = messages.GrantDone(
            held.server.name,
            program_id,
            held.grant_id,
            resident_tokens,
            ended,
            awaits_caller,
        )
        with contextlib.suppress(errors.LinkError):
            await self._send(held.server, done)

    async def renew_until_cancelled(self, held: HeldGrant) -> None:
        """Renew a grant until cancelled."""
        renew = messages.GrantRenew(held.server.name, held.grant_id)
        while True:
            await asyncio.sleep(dispatch.GRANT_LEASE_S / 3)
            with contextlib.suppress(errors.LinkError):
                await self._send(held.server, renew)

    async def _choose(self, demand):
        servers = self._declared().servers_of(demand.service)
        now_s = self._clock()
        excluded = {n for n, s in self._down_until_s.items() if s > now_s}
        options = server_choice.candidates(
            servers, demand.preferred_server, excluded, self._generator
        )
        home = next(
            (s for s in options if s.name == demand.preferred_server), None
        )
        if home is not None:
            quote = await self._quote(home, demand)
            if (
                quote is not None
                and quote.wait_s <= server_choice.PREFERRED_SERVER_BONUS_S
            ):
                return home
        quotes = await asyncio.gather(
            *(self._quote(server, demand) for server in options)
        )
        best = server_choice.choose(
            (q for q in quotes if q is not None),
            demand.preferred_server,
            self._generator,
        )
        if best is None:
            return None
        return next(s for s in options if s.name == best.server)

    async def _quote(self, server, demand):
        message = messages.QuoteRequest(
            server.name,
            demand.program_id,
            demand.prompt_tokens,
            demand.answer_tokens,
        )
        try:
            reply = await self._send(server, message)
        except errors.LinkError:
            return None
        return reply if isinstance(reply, messages.Quote) else None

    async def _ask(self, server, demand, grant_id):
        message = messages.GrantRequest(
            server=server.name,
            program_id=demand.program_id,
            grant_id=grant_id,
            priority=demand.priority,
            slack_s=demand.slack_s,
            attained_tokens=demand.attained_tokens,
            prompt_tokens=demand.prompt_tokens,
            answer_tokens=demand.answer_tokens,
            wait_s=self.WAIT_S,
            suspect=demand.suspect,
        )
        try:
            peer_id = dispatcher_of(server, self._members)
            reply = await self._links.first_reply(
                peer_id, message, self.WAIT_S + 1
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

    async def _send(self, server, message):
        peer_id = dispatcher_of(server, self._members)
        return await self._links.request(peer_id, message)
