"""Access to the instances of a deployment, as they register under leases.

A registration that disappears does not prove that its instance is gone:
leases also lapse in outages. Such an instance is asked directly before it
is dropped.
"""

import asyncio
from collections import abc as collections_abc
import contextlib

from balsamdale import background
from balsamdale import codec
from balsamdale import decisions
from balsamdale import errors
from balsamdale import keyvalue
from balsamdale import link

__all__ = ['AskAlive', 'Member', 'MemberDirectory', 'Registration']

KEY_PREFIX = 'balsamdale/instances/'
# Seconds until the registration of a dead instance ends.
TTL_S = 3.0
# Seconds between renewals: three in a lease.
LEASE_RENEWAL_INTERVAL_S = 0.9
# Seconds between tries to end the lease.
RETRY_S = 0.2
# Tries to end the lease before it is left to lapse.
REVOKE_TRIES = 3
# Seconds between announcements while the service refuses this instance.
ANNOUNCE_S = 0.8
# Seconds for an answer to a probe.
PROBE_TIMEOUT_S = 0.4
# Unanswered probes after which an instance is gone.
PROBE_TRIES = 2
# Seconds between probes of an instance that answers.
PROBE_INTERVAL_S = 1.0


@codec.message
class Member:
    """What an instance says of itself.

    Attributes:
        instance_id: unique name.
        failure_domain: where it stands.
        link_address: IP number and port for other instances.
        entry_address: IP number and port for callers; empty for none.
        folder_id: identity of its data folder; empty for none.
    """

    instance_id: str
    failure_domain: str
    link_address: str
    entry_address: str = ''
    folder_id: str = ''


@codec.message
class AskAlive:
    """Asks whether an instance is alive."""


@codec.message
class Alive:
    """The instance is alive; `is_leaving` while it stops."""

    is_leaving: bool


@codec.message
class Announce:
    """Tells a peer of an instance while the key-value service cannot."""

    member: Member
    is_leaving: bool


@codec.message
class Heard:
    """The announcement arrived."""


class MemberDirectory:
    """The instances that can be worked with.

    Args:
        links: connections to other instances.
        own_id: this instance.
    """

    def __init__(self, links: link.Links, own_id: str):
        self._links = links
        self._own_id = own_id
        self._members: dict[str, Member] = {}
        self._registered: set[str] = set()
        self._probed: set[str] = set()
        self._background = background.BackgroundTasks('members')
        self.is_leaving = False
        links.serve(AskAlive, self._on_ask_alive)
        links.serve(Announce, self._on_announce)

    def apply_change(self, key: str, value: bytes | None) -> None:
        """Account for a change of a registration in the mirror."""
        instance_id = key.removeprefix(KEY_PREFIX)
        if value is None:
            self._registered.discard(instance_id)
            self._start_probe(instance_id)
            return
        try:
            member = codec.decode(value)
        except errors.UnknownMessage as error:
            decisions.record('member_unreadable', key=key, reason=str(error))
            return
        self._registered.add(instance_id)
        self._put(member)

    def entries(self) -> tuple[Member, ...]:
        """Return the instances that serve callers."""
        return tuple(m for m in self._members.values() if m.entry_address)

    def archives(self) -> tuple[Member, ...]:
        """Return the instances that serve an archive."""
        return tuple(m for m in self._members.values() if m.folder_id)

    def entry_peers(self) -> list[str]:
        """Return the other instances that serve callers, near ones first."""
        own = self._members.get(self._own_id)
        domain = own.failure_domain if own is not None else ''
        others = [m for m in self.entries() if m.instance_id != self._own_id]
        others.sort(key=lambda m: m.failure_domain != domain)
        return [m.instance_id for m in others]

    def peers(self) -> list[str]:
        """Return the names of all other instances."""
        return [name for name in self._members if name != self._own_id]

    async def announce(self, member: Member, is_leaving: bool) -> None:
        """Tell all others of an instance directly."""
        message = Announce(member, is_leaving)
        await asyncio.gather(
            *(self._tell(name, message) for name in self.peers())
        )

    async def _tell(self, name, message):
        try:
            await self._links.request(name, message, PROBE_TIMEOUT_S)
        except errors.LinkError as error:
            decisions.record('announcement_lost', peer=name, reason=str(error))

    def _put(self, member):
        instance_id = member.instance_id
        if self._members.get(instance_id) != member:
            decisions.record(
                'member_known',
                member=instance_id,
                address=member.link_address,
                folder=member.folder_id,
            )
        self._members[instance_id] = member
        self._links.set_peer_address(instance_id, member.link_address)

    def _drop(self, instance_id, reason):
        if self._members.pop(instance_id, None) is not None:
            decisions.record('member_gone', member=instance_id, reason=reason)

    def _start_probe(self, instance_id):
        if instance_id in self._members and instance_id not in self._probed:
            self._probed.add(instance_id)
            self._background.spawn(self._probe(instance_id))

    async def _probe(self, instance_id):
        try:
            await self._probe_until_known(instance_id)
        finally:
            self._probed.discard(instance_id)

    async def _probe_until_known(self, instance_id):
        """Drop an instance that is not registered and does not answer."""
        misses = 0
        while instance_id not in self._registered:
            try:
                reply = await self._links.request(
                    instance_id, AskAlive(), PROBE_TIMEOUT_S
                )
                misses = PROBE_TRIES if reply.is_leaving else 0
            except errors.LinkError:
                misses += 1
            if misses >= PROBE_TRIES:
                self._drop(instance_id, 'no registration and no answer')
                return
            if not misses:
                await asyncio.sleep(PROBE_INTERVAL_S)

    async def _on_ask_alive(self, _sender, _message):
        yield Alive(self.is_leaving)

    async def _on_announce(self, _sender, message):
        if message.is_leaving:
            self._drop(message.member.instance_id, 'leaving')
        else:
            self._put(message.member)
            self._start_probe(message.member.instance_id)
        yield Heard()


class Registration:
    """Keeps this instance registered.

    Args:
        store: the key-value service.
        member: returns what this instance says of itself.
        mirror_value: returns the registered value as the mirror has it.
        announce: tells the others of this instance directly.
        unavailable: told of each call that the service did not answer.
    """

    def __init__(
        self,
        store: keyvalue.LeasedKeyValue,
        member: collections_abc.Callable[[], Member],
        mirror_value: collections_abc.Callable[[str], bytes | None],
        announce: collections_abc.Callable[
            [Member, bool], collections_abc.Awaitable[None]
        ],
        unavailable: collections_abc.Callable[[str], None],
    ):
        self._announce = announce
        self._unavailable = unavailable
        self._store = store
        self._member = member
        self._mirror_value = mirror_value
        self._lease = 0
        self._written = b''
        self._is_leaving = False

    async def run(self) -> None:
        """Register, and stay registered until leaving."""
        while not self._is_leaving:
            try:
                await self._step()
                await asyncio.sleep(LEASE_RENEWAL_INTERVAL_S)
            except errors.LeaseEnded:
                decisions.record('lease_ended', lease=self._lease)
                self._lease = 0
            except errors.KeyValueError as error:
                self._unavailable(str(error))
                await self._announce(self._member(), False)
                await asyncio.sleep(ANNOUNCE_S)

    async def leave(self) -> None:
        """Remove the registration, and try for a while if that fails.

        A lease that cannot be ended lapses by itself.
        """
        self._is_leaving = True
        await self._announce(self._member(), True)
        for _ in range(REVOKE_TRIES):
            if not self._lease:
                return
            with contextlib.suppress(errors.KeyValueError):
                await self._store.revoke_lease(self._lease)
                return
            await asyncio.sleep(RETRY_S)

    async def _step(self):
        if not self._lease:
            self._lease = await self._store.grant_lease(TTL_S)
            self._written = b''
        else:
            await self._store.renew_lease(self._lease)
        member = self._member()
        value = codec.encode(member)
        key = f'{KEY_PREFIX}{member.instance_id}'
        is_lost = self._written and self._mirror_value(key) is None
        if value != self._written or is_lost:
            if self._is_leaving:
                return
            await self._store.put(key, value, self._lease)
            self._written = value
