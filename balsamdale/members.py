"""Member directory: the instances of a deployment, registered under leases.

A registration that disappears does not prove that its instance has stopped:
leases also expire in outages of the key-value service. Such an instance is
probed directly before it is removed. Entries and archives use it; instances
that run programs use `membership`.
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

__all__ = [
    'AskAlive',
    'Evicted',
    'Member',
    'MemberDirectory',
    'Registration',
    'registration_key',
]

KEY_PREFIX = 'balsamdale/instances/'
# Seconds until the registration of a dead instance expires; watchers evict
# most of them earlier.
LEASE_TTL_S = 9.0
# Seconds between renewals: three per lease.
LEASE_RENEWAL_INTERVAL_S = 3.0
# The same for a watcher, whose renewals notice an outage of the service
# before leases of servers expire in it.
WATCHER_RENEWAL_INTERVAL_S = 0.9
REVOKE_RETRY_INTERVAL_S = 0.2
# Attempts to revoke the lease before it is left to expire.
MAX_REVOKE_ATTEMPTS = 3
# Seconds before the first retry of a failed registration or renewal.
MIN_RETRY_INTERVAL_S = 0.8
# Longest retry interval; the return of the service ends it early.
MAX_RETRY_INTERVAL_S = 3.2
# Shortest interval between two announcements of an instance to one peer.
ANNOUNCE_INTERVAL_S = 0.8
# Messages to all peers in turn are at least this far apart, so that their
# rate at an instance does not grow with the fleet.
PEER_SPACING_S = 0.05
# Seconds for the reply to a probe or an announcement.
PROBE_TIMEOUT_S = 0.4
# Consecutive probes without a reply after which an instance is removed.
MAX_FAILED_PROBES = 2
# Shortest interval between probes of an instance that replies.
PROBE_INTERVAL_S = 1.0


@codec.message
class Member:
    """The registration of an instance.

    Attributes:
        instance_id: name of the instance, unique in the deployment.
        failure_domain: failure domain of the instance.
        link_address: IP address and port for its peers.
        entry_address: IP address and port for callers; empty for none.
        folder_id: identity of its data folder; empty for none.
    """

    instance_id: str
    failure_domain: str
    link_address: str
    entry_address: str = ''
    folder_id: str = ''


@codec.message
class Evicted:
    """Registration of an instance that a watcher found dead.

    Attributes:
        watcher_id: the watcher; the key is under its lease.
    """

    watcher_id: str


@codec.message
class AskAlive:
    """A probe of whether an instance is alive."""


@codec.message
class Alive:
    """Reply of a live instance; `is_leaving` while it shuts down."""

    is_leaving: bool


@codec.message
class Announce:
    """Announces an instance to a peer, bypassing the key-value service."""

    member: Member
    is_leaving: bool


@codec.message
class Heard:
    """Acknowledges an announcement or a crash report."""


def registration_key(instance_id: str) -> str:
    """Return the key of an instance's registration."""
    return f'{KEY_PREFIX}{instance_id}'


class MemberDirectory:
    """The known instances that have not left or been found dead.

    Args:
        links: connections to peers.
        own_id: id of this instance.
    """

    def __init__(self, links: link.Links, own_id: str):
        self._links = links
        self._own_id = own_id
        self._members: dict[str, Member] = {}
        self._registered: dict[str, Member] = {}
        self._probing: set[str] = set()
        self._announced_at_s: dict[str, float] = {}
        self._background = background.BackgroundTasks('members')
        self.is_leaving = False
        links.serve(AskAlive, self._on_ask_alive)
        links.serve(Announce, self._on_announce)

    def apply_change(self, key: str, value: bytes | None) -> None:
        """Apply a change of one instance's registration in the mirror."""
        instance_id = key.removeprefix(KEY_PREFIX)
        if value is None:
            self._registered.pop(instance_id, None)
            self._start_probe(instance_id)
            return
        try:
            member = codec.decode(value)
        except errors.UnknownMessage as error:
            decisions.record('member_unreadable', key=key, reason=str(error))
            return
        if isinstance(member, Evicted):
            self._registered.pop(instance_id, None)
            self._remove(instance_id, f'evicted by {member.watcher_id}')
            return
        self._registered[instance_id] = member
        self._add(member)

    def members(self) -> tuple[Member, ...]:
        """Return all instances, with this one if it is registered."""
        return tuple(self._members.values())

    def entries(self) -> tuple[Member, ...]:
        """Return the instances that serve callers."""
        return tuple(m for m in self._members.values() if m.entry_address)

    def archives(self) -> tuple[Member, ...]:
        """Return the instances that serve an archive."""
        return tuple(m for m in self._members.values() if m.folder_id)

    def entry_peers(self) -> list[str]:
        """Return the other instances that serve callers, local ones first."""
        own_member = self._members.get(self._own_id)
        own_domain = (
            own_member.failure_domain if own_member is not None else ''
        )
        peers = [m for m in self.entries() if m.instance_id != self._own_id]
        peers.sort(key=lambda m: m.failure_domain != own_domain)
        return [m.instance_id for m in peers]

    def peers(self) -> list[str]:
        """Return the ids of all other instances."""
        return [name for name in self._members if name != self._own_id]

    def is_registered(self, instance_id: str) -> bool:
        """Return whether the mirror has an instance's registration."""
        return instance_id in self._registered

    async def announce(self, member: Member, is_leaving: bool) -> None:
        """Announce an instance to the peers directly.

        Peers that received it a short while ago are left out, unless the
        instance is leaving.
        """
        message = Announce(member, is_leaving)
        earliest_s = _now_s() - self._interval_s(ANNOUNCE_INTERVAL_S)
        names = [
            name
            for name in self.peers()
            if is_leaving
            or self._announced_at_s.get(name, earliest_s) <= earliest_s
        ]
        await asyncio.gather(
            *(self._send_announcement(name, message) for name in names)
        )

    async def _send_announcement(self, name, message):
        try:
            await self._links.request(name, message, PROBE_TIMEOUT_S)
            self._announced_at_s[name] = _now_s()
        except errors.LinkError as error:
            decisions.record('announcement_lost', peer=name, reason=str(error))

    def _interval_s(self, shortest_s):
        """Return the interval of messages that go to each peer."""
        return max(shortest_s, PEER_SPACING_S * len(self._members))

    def _add(self, member):
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

    def _remove(self, instance_id, reason):
        if self._members.pop(instance_id, None) is not None:
            decisions.record('member_gone', member=instance_id, reason=reason)

    def _start_probe(self, instance_id):
        if instance_id in self._members and instance_id not in self._probing:
            self._probing.add(instance_id)
            self._background.spawn(self._probe(instance_id))

    async def _probe(self, instance_id):
        try:
            await self._probe_until_resolved(instance_id)
        finally:
            self._probing.discard(instance_id)

    async def _probe_until_resolved(self, instance_id):
        """Probe an instance until it registers, or remove it as dead."""
        failed_probes = 0
        while instance_id not in self._registered:
            try:
                reply = await self._links.request(
                    instance_id, AskAlive(), PROBE_TIMEOUT_S
                )
                failed_probes = MAX_FAILED_PROBES if reply.is_leaving else 0
            except errors.LinkError:
                failed_probes += 1
            if failed_probes >= MAX_FAILED_PROBES:
                self._remove(instance_id, 'no registration and no answer')
                return
            if not failed_probes:
                await asyncio.sleep(self._interval_s(PROBE_INTERVAL_S))

    async def _restore_if_alive(self, instance_id):
        """Restore a registered instance that is alive and not leaving.

        The announcement may have been of a process that it has replaced.
        """
        while True:
            await asyncio.sleep(self._interval_s(PROBE_INTERVAL_S))
            member = self._registered.get(instance_id)
            if member is None or instance_id in self._members:
                return
            try:
                reply = await self._links.request(
                    instance_id, AskAlive(), PROBE_TIMEOUT_S
                )
            except errors.LinkError:
                continue
            if not reply.is_leaving and instance_id in self._registered:
                self._add(member)
                return

    async def _on_ask_alive(self, _sender, _message):
        yield Alive(self.is_leaving)

    async def _on_announce(self, _sender, message):
        if message.is_leaving:
            instance_id = message.member.instance_id
            self._remove(instance_id, 'leaving')
            self._background.spawn(self._restore_if_alive(instance_id))
        else:
            self._add(message.member)
            self._start_probe(message.member.instance_id)
        yield Heard()


class Registration:
    """Keeps this instance registered under a lease.

    Args:
        store: the key-value service.
        member: returns the registration to write.
        mirrored_value: returns a key's value as the mirror has it.
        announce: announces this instance to its peers directly.
        on_unavailable: called with the reason each time the service cannot
            be used.
        is_watcher: returns whether this instance watches the service for
            others.
    """

    def __init__(
        self,
        store: keyvalue.LeasedKeyValue,
        member: collections_abc.Callable[[], Member],
        mirrored_value: collections_abc.Callable[[str], bytes | None],
        announce: collections_abc.Callable[
            [Member, bool], collections_abc.Awaitable[None]
        ],
        on_unavailable: collections_abc.Callable[[str], None],
        is_watcher: collections_abc.Callable[[], bool] = bool,
    ):
        self._is_watcher = is_watcher
        self._announce = announce
        self._on_unavailable = on_unavailable
        self._store = store
        self._member = member
        self._mirrored_value = mirrored_value
        self.lease = 0
        self._registered_value = b''
        self._is_leaving = False
        self._woken = asyncio.Event()

    async def run(self) -> None:
        """Register, and renew the lease until `leave` is called."""
        retry_interval_s = MIN_RETRY_INTERVAL_S
        while not self._is_leaving:
            try:
                await self._refresh()
                retry_interval_s = MIN_RETRY_INTERVAL_S
                await self._sleep(
                    WATCHER_RENEWAL_INTERVAL_S
                    if self._is_watcher()
                    else LEASE_RENEWAL_INTERVAL_S
                )
            except errors.LeaseEnded:
                decisions.record('lease_ended', lease=self.lease)
                self.lease = 0
            except errors.KeyValueError as error:
                self._on_unavailable(str(error))
                if not self._is_mirrored():
                    await self._announce(self._member(), False)
                await self._sleep(retry_interval_s)
                retry_interval_s = min(
                    MAX_RETRY_INTERVAL_S, 2 * retry_interval_s
                )

    def wake(self) -> None:
        """Register or renew now, as the service has become available."""
        self._woken.set()

    def apply_change(self, key: str, value: bytes | None) -> None:
        """Register again if this registration was replaced or removed."""
        if key != registration_key(self._member().instance_id):
            return
        if self._registered_value not in (b'', value):
            self.wake()

    async def _sleep(self, duration_s):
        """Sleep until woken."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(duration_s):
                await self._woken.wait()
        self._woken.clear()

    async def leave(self) -> None:
        """Announce the shutdown and revoke the lease, with a few retries.

        A lease that cannot be revoked expires by itself.
        """
        self._is_leaving = True
        started_s = _now_s()
        try:
            await self._announce(self._member(), True)
        except Exception as error:
            # Peers learn it from the store, too.
            decisions.record('announcement_lost', reason=repr(error))
        decisions.record('leave_announced', took_s=_since_s(started_s))
        for _ in range(MAX_REVOKE_ATTEMPTS):
            if not self.lease:
                return
            try:
                await self._store.revoke_lease(self.lease)
            except errors.KeyValueError as error:
                decisions.record('lease_not_revoked', reason=str(error))
            else:
                decisions.record('lease_revoked', took_s=_since_s(started_s))
                return
            await asyncio.sleep(REVOKE_RETRY_INTERVAL_S)

    async def _refresh(self):
        if not self.lease:
            self.lease = await self._store.grant_lease(LEASE_TTL_S)
            self._registered_value = b''
        else:
            await self._store.renew_lease(self.lease)
        member = self._member()
        value = codec.encode(member)
        is_replaced = self._registered_value and not self._is_mirrored()
        if value != self._registered_value or is_replaced:
            if self._is_leaving:
                return
            key = registration_key(member.instance_id)
            await self._store.put(key, value, self.lease)
            self._registered_value = value

    def _is_mirrored(self):
        """Return whether the mirror has this instance's registration."""
        member = self._member()
        key = registration_key(member.instance_id)
        return self._mirrored_value(key) == codec.encode(member)


def _now_s():
    return asyncio.get_running_loop().time()


def _since_s(started_s):
    return round(_now_s() - started_s, 3)
