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

__all__ = ['Member', 'Presence', 'Roster']

PREFIX = 'balsamdale/instances/'
TTL_S = 3.0
RENEW_S = 0.9
RETRY_S = 0.2
PROBE_TIMEOUT_S = 0.4
PROBE_TRIES = 2
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


class Roster:
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
        self._background = background.Background('members')
        self.is_leaving = False
        links.serve(AskAlive, self._on_ping)

    def changed(self, key: str, value: bytes | None) -> None:
        """Account for a change of a registration in the mirror."""
        instance_id = key.removeprefix(PREFIX)
        if value is None:
            self._registered.discard(instance_id)
            if instance_id in self._members:
                self._background.spawn(self._probe(instance_id))
            return
        try:
            member = codec.decode(value)
        except errors.UnknownMessage as error:
            decisions.record('member_unreadable', key=key, reason=str(error))
            return
        self._registered.add(instance_id)
        if self._members.get(instance_id) != member:
            decisions.record(
                'member_known',
                member=instance_id,
                address=member.link_address,
                folder=member.folder_id,
            )
        self._members[instance_id] = member
        self._links.set_peer(instance_id, member.link_address)

    def entries(self) -> tuple[Member, ...]:
        """Return the instances that serve callers."""
        return tuple(m for m in self._members.values() if m.entry_address)

    def archives(self) -> tuple[Member, ...]:
        """Return the instances that serve an archive."""
        return tuple(m for m in self._members.values() if m.folder_id)

    def peers(self) -> list[str]:
        """Return the names of all other instances."""
        return [name for name in self._members if name != self._own_id]

    async def _probe(self, instance_id):
        """Drop an instance that is no longer registered nor answers."""
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
                self._members.pop(instance_id, None)
                decisions.record('member_gone', member=instance_id)
                return
            if not misses:
                await asyncio.sleep(PROBE_INTERVAL_S)

    async def _on_ping(self, _sender, _message):
        yield Alive(self.is_leaving)


class Presence:
    """Keeps this instance registered.

    Args:
        store: the key-value service.
        member: returns what this instance says of itself.
        mirror_value: returns the registered value as the mirror has it.
    """

    def __init__(
        self,
        store: keyvalue.LeasedKeyValue,
        member: collections_abc.Callable[[], Member],
        mirror_value: collections_abc.Callable[[str], bytes | None],
    ):
        self._store = store
        self._member = member
        self._mirror_value = mirror_value
        self._lease = 0
        self._written = b''

    async def run(self) -> None:
        """Register, and stay registered, for ever."""
        while True:
            try:
                await self._step()
                await asyncio.sleep(RENEW_S)
            except errors.LeaseEnded:
                decisions.record('lease_ended', lease=self._lease)
                self._lease = 0
            except errors.KeyValueError:
                # The follower of the mirror logs outages.
                await asyncio.sleep(RETRY_S)

    async def leave(self) -> None:
        """Remove the registration."""
        if self._lease:
            with contextlib.suppress(errors.KeyValueError):
                await self._store.revoke(self._lease)

    async def _step(self):
        if not self._lease:
            self._lease = await self._store.grant(TTL_S)
            self._written = b''
        else:
            await self._store.renew(self._lease)
        member = self._member()
        value = codec.encode(member)
        key = f'{PREFIX}{member.instance_id}'
        is_lost = self._written and self._mirror_value(key) is None
        if value != self._written or is_lost:
            await self._store.put(key, value, self._lease)
            self._written = value
