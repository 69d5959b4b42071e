"""Sends pings and replies to them, to keep the membership up to date."""

import asyncio
from collections import abc as collections_abc
import json

from absl import logging

from balsamdale import background
from balsamdale import configuration
from balsamdale import errors
from balsamdale import keyvalue
from balsamdale import link
from balsamdale import membership
from balsamdale import messages

__all__ = ['INSTANCES_PREFIX', 'Heartbeat', 'encode_instance']

INSTANCES_PREFIX = 'platform/instances/'
LIST_POLL_INTERVAL_S = 10.0
LIST_RETRY_INTERVAL_S = 1.0
PING_TIMEOUT_S = 0.4


def encode_instance(instance: membership.Instance) -> bytes:
    """Return an instance as the value of its key in the instance list."""
    return json.dumps(
        {
            'id': instance.instance_id,
            'failure_domain': instance.failure_domain,
            'entry_address': instance.entry_address,
            'link_address': instance.link_address,
        }
    ).encode()


class Heartbeat:
    """Sends pings, replies to them and reads the platform's instance list.

    It performs the effects that `membership.Membership` returns.

    Args:
        links: connections to peers.
        store: the platform's key-value service, which holds the list.
        members: the membership to keep up to date.
        relay: pulls the declaration from peers with a later revision.
        on_status_change: called with an instance id and its new status.
        clock: returns the present time in seconds.
    """

    def __init__(
        self,
        links: link.Links,
        store: keyvalue.KeyValue,
        members: membership.Membership,
        relay: configuration.Relay,
        on_status_change: collections_abc.Callable[[str, str], None],
        clock: collections_abc.Callable[[], float],
    ):
        self._links = links
        self._store = store
        self._members = members
        self._relay = relay
        self._on_status_change = on_status_change
        self._clock = clock
        self._background = background.BackgroundTasks('membership')
        self._pinging: set[str] = set()
        links.serve(messages.Ping, self._on_ping)
        links.serve(messages.Probe, self._on_probe)
        links.serve(messages.PullMembers, self._on_pull_members)
        links.on_connection_broken = self._on_broken

    async def run(self) -> None:
        """Ping peers until cancelled."""
        while True:
            self.perform(self._members.tick(self._clock()))
            await asyncio.sleep(membership.PING_INTERVAL_S)

    async def poll_instance_list(self) -> None:
        """Read the platform's instance list regularly until cancelled."""
        while True:
            delay_s = LIST_POLL_INTERVAL_S
            try:
                await self._read_instance_list()
            except errors.KeyValueUnavailable:
                delay_s = LIST_RETRY_INTERVAL_S
            await asyncio.sleep(delay_s)

    async def join(self) -> None:
        """Pull the membership from a few peers."""
        await asyncio.gather(
            *(
                self._pull_updates(peer_id)
                for peer_id in self._members.choose_join_peers()
            )
        )

    def perform(self, effects: list) -> None:
        """Perform the effects that the membership returned."""
        for effect in effects:
            if isinstance(effect, membership.SendPing):
                self._start_ping(effect.peer_id)
            elif isinstance(effect, membership.SendProbe):
                self._background.spawn(self._probe_via_peer(effect))
            else:
                logging.info(
                    'membership: %s is %s', effect.instance_id, effect.status
                )
                self._on_status_change(effect.instance_id, effect.status)

    def add_instance(self, instance: membership.Instance) -> None:
        """Add an instance to the membership and set its address."""
        self._members.add_instance(instance)
        self._links.set_peer_address(
            instance.instance_id, instance.link_address
        )

    def _on_broken(self, peer_id):
        """Suspect a peer whose connection broke; check it after a timeout."""
        effects = self._members.suspect(peer_id, self._clock())
        if effects:
            self.perform(effects)
            loop = asyncio.get_running_loop()
            loop.call_later(membership.SUSPICION_TIMEOUT_S, self._check_peers)

    def _check_peers(self):
        self.perform(self._members.check_peers(self._clock()))

    async def _read_instance_list(self):
        pairs, _ = await self._store.scan(INSTANCES_PREFIX)
        listed_ids = set()
        for pair in pairs:
            entry = json.loads(pair.value)
            instance = membership.Instance(
                entry['id'],
                entry['failure_domain'],
                entry['entry_address'],
                entry['link_address'],
            )
            listed_ids.add(instance.instance_id)
            self.add_instance(instance)
        for instance_id in set(self._members.instances) - listed_ids:
            self._members.remove_instance(instance_id)

    def _start_ping(self, peer_id):
        if peer_id not in self._pinging:
            self._pinging.add(peer_id)
            self._background.spawn(self._ping(peer_id))

    async def _ping(self, peer_id):
        try:
            reply = await self._links.request(
                peer_id, self._heartbeat_message(messages.Ping), PING_TIMEOUT_S
            )
            self._record_heartbeat(reply)
        except errors.LinkError:
            return
        finally:
            self._pinging.discard(peer_id)

    async def _probe_via_peer(self, effect):
        try:
            reply = await self._links.request(
                effect.via_id, messages.Probe(effect.target_id)
            )
        except errors.LinkError:
            return
        if isinstance(reply, messages.Ok):
            self._members.confirm_alive(effect.target_id, self._clock())

    async def _pull_updates(self, peer_id):
        try:
            reply = await self._links.request(
                peer_id, messages.PullMembers(), PING_TIMEOUT_S
            )
        except errors.LinkError:
            return
        for update in reply.updates:
            self.perform(self._members.merge(update))

    async def _on_pull_members(self, _sender, _message):
        yield messages.Members(self._members.all_updates())

    async def _on_ping(self, _sender, message):
        self._record_heartbeat(message)
        yield self._heartbeat_message(messages.Pong)

    async def _on_probe(self, _sender, message):
        try:
            reply = await self._links.request(
                message.target_id,
                self._heartbeat_message(messages.Ping),
                PING_TIMEOUT_S,
            )
        except errors.LinkError:
            # Any reply other than `Ok` says that the probe failed.
            yield messages.NotOwnerReply(0, '')
            return
        self._record_heartbeat(reply)
        yield messages.Ok()

    def _heartbeat_message(self, message_type):
        return message_type(
            self._members.own_id,
            self._relay.revision,
            self._members.next_updates(),
        )

    def _record_heartbeat(self, message):
        effects = self._members.record_heartbeat(
            message.sender_id, message.updates, self._clock()
        )
        self._relay.pull_if_behind(message.sender_id, message.revision)
        self.perform(effects)
