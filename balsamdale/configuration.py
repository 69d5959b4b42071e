"""Storage and distribution of the declaration in force.

The declaration is stored in parts, whose keys end in their digest, and a
head key that lists the parts. Only the head is written by compare-and-swap.
Two relays in each failure domain watch the head and push new revisions to
the other instances of their domain. Heartbeats carry the revision, so that
an instance with an older one pulls.
"""

import asyncio
from collections import abc as collections_abc
import contextlib
import hashlib
import uuid

from absl import logging

from balsamdale import background
from balsamdale import codec
from balsamdale import declaration
from balsamdale import errors
from balsamdale import keyvalue
from balsamdale import link
from balsamdale import membership
from balsamdale import messages
from balsamdale import placement

__all__ = [
    'Accepted',
    'Conflict',
    'Head',
    'Relay',
    'accept',
    'fetch_head',
    'fetch_text',
]

HEAD_KEY = 'balsamdale/declaration/head'
PART_PREFIX = 'balsamdale/declaration/parts/'
MAX_PART_BYTES = 262144
RELAYS_PER_DOMAIN = 2
STORE_RETRY_INTERVAL_S = 0.5
WRITE_ATTEMPTS = 5


@codec.message
class Head:
    """Value of the head key.

    Attributes:
        parts: digests of the parts, in order.
        change_id: unique id of the change.
        operator: who confirmed the change.
        summary: one line that describes the change.
        at_s: when it was confirmed, in seconds since the Unix epoch.
        previous: parts of the previous declaration, to undo the change.
    """

    parts: tuple[str, ...]
    change_id: str
    operator: str
    summary: str
    at_s: float
    previous: tuple[str, ...]


@codec.message
class Accepted:
    """A change was written; `revision` is the new revision of the head."""

    revision: int
    head: Head


@codec.message
class Conflict:
    """Another change was written first; `head` is the current head."""

    revision: int
    head: Head | None


async def fetch_head(store: keyvalue.KeyValue) -> tuple[Head | None, int]:
    """Return the head and its revision, or None and 0 if there is none."""
    pair = await store.get(HEAD_KEY)
    if pair is None:
        return None, 0
    return codec.decode(pair.value), pair.revision


async def fetch_text(store: keyvalue.KeyValue, parts: tuple[str, ...]) -> str:
    """Return the text of the declaration that consists of these parts.

    Raises:
        KeyValueUnavailable: a part cannot be read.
    """
    texts = []
    for digest in parts:
        pair = await store.get(PART_PREFIX + digest)
        if pair is None:
            raise errors.KeyValueUnavailable(f'part {digest} missing', False)
        texts.append(pair.value.decode())
    return ''.join(texts)


async def accept(
    store: keyvalue.KeyValue,
    text: str,
    base_revision: int,
    operator: str,
    summary: str,
    now_s: float,
    change_id: str = '',
) -> Accepted | Conflict:
    """Write a checked declaration if the head still has the base revision.

    If the response to a write is lost, the head is read back and its change
    id compared, so that the result is certain. A change that is already in
    force is accepted again.

    Raises:
        KeyValueUnavailable: the service did not respond; the error says
            whether the change may have been applied.
    """
    current_head, revision = await fetch_head(store)
    if (
        current_head is not None
        and change_id
        and current_head.change_id == change_id
    ):
        return Accepted(revision, current_head)
    if revision != base_revision:
        return Conflict(revision, current_head)
    parts = []
    for part in _split_into_parts(text):
        digest = hashlib.blake2b(part.encode(), digest_size=16).hexdigest()
        parts.append(digest)
        await _write_part(store, digest, part)
    head = Head(
        parts=tuple(parts),
        change_id=change_id or uuid.uuid4().hex,
        operator=operator,
        summary=summary,
        at_s=now_s,
        previous=current_head.parts if current_head else (),
    )
    return await _compare_and_swap_head(store, head, base_revision)


async def _write_part(store, digest, part):
    key = PART_PREFIX + digest
    for _ in range(WRITE_ATTEMPTS):
        if await store.get(key) is not None:
            return
        with contextlib.suppress(errors.KeyValueUnavailable):
            await store.compare_and_swap(key, part.encode(), 0)
    raise errors.KeyValueUnavailable('a part cannot be written', False)


async def _compare_and_swap_head(store, head, base_revision):
    """Write the head; after a lost response, read it back to decide."""
    value = codec.encode(head)
    maybe_applied = False
    for _ in range(WRITE_ATTEMPTS):
        try:
            revision = await store.compare_and_swap(
                HEAD_KEY, value, base_revision
            )
            if revision:
                return Accepted(revision, head)
            current_head, revision = await fetch_head(store)
            if (
                current_head is not None
                and current_head.change_id == head.change_id
            ):
                return Accepted(revision, head)
            return Conflict(revision, current_head)
        except errors.KeyValueUnavailable as error:
            maybe_applied = maybe_applied or error.maybe_applied
            await asyncio.sleep(STORE_RETRY_INTERVAL_S)
    raise errors.KeyValueUnavailable('the head was not written', maybe_applied)


def _split_into_parts(text):
    """Yield parts of the text that end at the end of a line."""
    part = []
    size_bytes = 0
    for line in text.splitlines(keepends=True):
        if part and size_bytes + len(line) > MAX_PART_BYTES:
            yield ''.join(part)
            part = []
            size_bytes = 0
        part.append(line)
        size_bytes += len(line)
    yield ''.join(part)


class Relay:
    """Keeps this instance's declaration up to date.

    A relay of the failure domain also pushes new revisions to the others.

    Args:
        store: the platform's key-value service.
        links: connections to peers.
        members: the live instances.
        on_applied: called with each revision that comes into force.
    """

    def __init__(
        self,
        store: keyvalue.KeyValue,
        links: link.Links,
        members: membership.Membership,
        on_applied: collections_abc.Callable[[int], None],
    ):
        self._store = store
        self._links = links
        self._members = members
        self._on_applied = on_applied
        self._text = ''
        self._declaration: declaration.Declaration | None = None
        self._ready = asyncio.Event()
        self._background = background.BackgroundTasks('configuration')
        self._is_pulling = False
        self.revision = 0
        links.serve(messages.Configuration, self._on_push)
        links.serve(messages.PullConfiguration, self._on_pull)

    @property
    def is_ready(self) -> bool:
        """Whether a declaration is in force."""
        return self._declaration is not None

    def current_declaration(self) -> declaration.Declaration:
        """Return the declaration in force.

        Raises:
            Refused: no declaration is in force yet.
        """
        if self._declaration is None:
            raise errors.Refused(
                'not_ready', 503, 'no configuration yet', retry_after_s=1.0
            )
        return self._declaration

    @property
    def text(self) -> str:
        """Text of the declaration in force, in TOML."""
        return self._text

    async def wait_ready(self) -> None:
        """Wait until a declaration is in force."""
        await self._ready.wait()

    def pull_if_behind(self, peer_id: str, revision: int) -> None:
        """Pull from a peer whose revision is higher."""
        if revision > self.revision and not self._is_pulling:
            self._is_pulling = True
            self._background.spawn(self._pull(peer_id))

    async def run(self) -> None:
        """Watch the head while this instance is a relay or not ready."""
        while True:
            if self._is_relay() or not self.is_ready:
                with contextlib.suppress(errors.KeyValueUnavailable):
                    await self._follow_head()
            await asyncio.sleep(STORE_RETRY_INTERVAL_S)

    def apply(self, revision: int, text: str) -> bool:
        """Bring a revision into force unless a later one already is."""
        if revision <= self.revision:
            return False
        try:
            self._declaration = declaration.parse(text)
        except errors.ValidationFailed as error:
            logging.error(
                'configuration: revision %d is invalid: %s', revision, error
            )
            return False
        self.revision = revision
        self._text = text
        self._ready.set()
        logging.info('configuration: revision %d is in force', revision)
        self._on_applied(revision)
        return True

    def _is_relay(self):
        domain = self._members.instance.failure_domain
        local_ids = [
            instance.instance_id
            for instance in self._members.usable()
            if instance.failure_domain == domain
        ]
        relay_ids = placement.rank(f'relay-{domain}', local_ids)[
            :RELAYS_PER_DOMAIN
        ]
        return self._members.own_id in relay_ids

    async def _follow_head(self):
        head, revision = await fetch_head(self._store)
        if head is not None:
            await self._apply_head(head, revision)
        first_revision = max(revision, self.revision) + 1
        watch = self._store.watch(HEAD_KEY, first_revision)
        async with contextlib.aclosing(watch):
            async for pair in watch:
                await self._apply_head(codec.decode(pair.value), pair.revision)

    async def _apply_head(self, head, revision):
        if revision <= self.revision:
            return
        text = await fetch_text(self._store, head.parts)
        if self.apply(revision, text):
            self._push_to_domain()

    def _push_to_domain(self):
        """Push the declaration to the instances of this failure domain."""
        domain = self._members.instance.failure_domain
        message = messages.Configuration(self.revision, self._text)
        for instance in self._members.usable():
            is_local = instance.failure_domain == domain
            if is_local and instance.instance_id != self._members.own_id:
                self._background.spawn(
                    self._push_to(instance.instance_id, message)
                )

    async def _push_to(self, peer_id, message):
        with contextlib.suppress(errors.LinkError):
            await self._links.request(peer_id, message)

    async def _pull(self, peer_id):
        try:
            reply = await self._links.request(
                peer_id, messages.PullConfiguration()
            )
            self.apply(reply.revision, reply.text)
        except errors.LinkError:
            logging.debug('configuration: cannot pull from %s', peer_id)
        finally:
            self._is_pulling = False

    async def _on_push(self, _sender, message):
        self.apply(message.revision, message.text)
        yield messages.Ok()

    async def _on_pull(self, _sender, _message):
        yield messages.Configuration(self.revision, self._text)
