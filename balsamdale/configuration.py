"""Access to the configuration in force, and how it spreads.

The declaration is kept in parts, named by their digest, below a head key.
Only the head is compared and swapped. Two relays in each failure domain
watch the head; the others get pushes, and heartbeats carry the revision so
that anyone behind pulls.
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
    'fetch_text',
    'fetch_head',
]

HEAD_KEY = 'balsamdale/declaration/head'
PART_PREFIX = 'balsamdale/declaration/parts/'
PART_BYTES = 262144
RELAYS = 2
RETRY_S = 0.5
WRITE_TRIES = 5


@codec.message
class Head:
    """Value of the head key.

    Attributes:
        parts: digests of the parts, in order.
        change_id: unique mark of the change.
        operator: who confirmed it.
        summary: one line about the change.
        at_s: when it was confirmed, in seconds since the Unix epoch.
        previous: parts of the declaration before, for undoing.
    """

    parts: tuple[str, ...]
    change_id: str
    operator: str
    summary: str
    at_s: float
    previous: tuple[str, ...]


@codec.message
class Accepted:
    """A change is in the store; `revision` is that of the head."""

    revision: int
    head: Head


@codec.message
class Conflict:
    """Another change came first."""

    revision: int
    head: Head | None


async def fetch_head(store: keyvalue.KeyValue) -> tuple[Head | None, int]:
    """Return the head with its revision; 0 where there is none."""
    pair = await store.get(HEAD_KEY)
    if pair is None:
        return None, 0
    return codec.decode(pair.value), pair.revision


async def fetch_text(store: keyvalue.KeyValue, parts: tuple[str, ...]) -> str:
    """Return the declaration's text."""
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
    """Write a checked declaration over the revision it was planned on.

    A write whose answer was lost is settled by reading its change id back,
    so that the answer is never a guess. A change that is in force already is
    accepted again.

    Raises:
        KeyValueUnavailable: the service stayed away; whether the change was
            applied is said by the error.
    """
    held, revision = await fetch_head(store)
    if held is not None and change_id and held.change_id == change_id:
        return Accepted(revision, held)
    if revision != base_revision:
        return Conflict(revision, held)
    parts = []
    for part in _split(text):
        digest = hashlib.blake2b(part.encode(), digest_size=16).hexdigest()
        parts.append(digest)
        await _put_part(store, digest, part)
    head = Head(
        parts=tuple(parts),
        change_id=change_id or uuid.uuid4().hex,
        operator=operator,
        summary=summary,
        at_s=now_s,
        previous=held.parts if held else (),
    )
    return await _swap_head(store, head, base_revision)


async def _put_part(store, digest, part):
    key = PART_PREFIX + digest
    for _ in range(WRITE_TRIES):
        if await store.get(key) is not None:
            return
        with contextlib.suppress(errors.KeyValueUnavailable):
            await store.compare_and_swap(key, part.encode(), 0)
    raise errors.KeyValueUnavailable('a part cannot be written', False)


async def _swap_head(store, head, base_revision):
    """Swap the head, and settle lost answers by reading it back."""
    value = codec.encode(head)
    maybe_applied = False
    for _ in range(WRITE_TRIES):
        try:
            revision = await store.compare_and_swap(
                HEAD_KEY, value, base_revision
            )
            if revision:
                return Accepted(revision, head)
            present, revision = await fetch_head(store)
            if present is not None and present.change_id == head.change_id:
                return Accepted(revision, head)
            return Conflict(revision, present)
        except errors.KeyValueUnavailable as error:
            maybe_applied = maybe_applied or error.maybe_applied
            await asyncio.sleep(RETRY_S)
    raise errors.KeyValueUnavailable('the head was not written', maybe_applied)


def _split(text):
    """Yield parts that end at line ends."""
    part = []
    size_bytes = 0
    for line in text.splitlines(keepends=True):
        if part and size_bytes + len(line) > PART_BYTES:
            yield ''.join(part)
            part = []
            size_bytes = 0
        part.append(line)
        size_bytes += len(line)
    yield ''.join(part)


class Relay:
    """Keeps the declaration in force on this instance.

    Args:
        store: the platform's key-value service.
        links: connections to other instances.
        members: the live instances.
        applied: called with each revision that comes into force.
    """

    def __init__(
        self,
        store: keyvalue.KeyValue,
        links: link.Links,
        members: membership.Membership,
        applied: collections_abc.Callable[[int], None],
    ):
        self._store = store
        self._links = links
        self._members = members
        self._applied = applied
        self._text = ''
        self._declared: declaration.Declaration | None = None
        self._ready = asyncio.Event()
        self._background = background.BackgroundTasks('configuration')
        self._pulling = False
        self.revision = 0
        links.serve(messages.Configuration, self._on_push)
        links.serve(messages.PullConfiguration, self._on_pull)

    @property
    def is_ready(self) -> bool:
        """Whether a declaration is in force."""
        return self._declared is not None

    def current_declaration(self) -> declaration.Declaration:
        """Return the declaration in force.

        Raises:
            Refused: there is none yet.
        """
        if self._declared is None:
            raise errors.Refused(
                'not_ready', 503, 'no configuration yet', retry_after_s=1.0
            )
        return self._declared

    @property
    def text(self) -> str:
        """The declaration in force, as TOML text."""
        return self._text

    async def wait_ready(self) -> None:
        """Wait until a declaration is in force."""
        await self._ready.wait()

    def pull_if_behind(self, peer_id: str, revision: int) -> None:
        """Pull from a peer whose revision is higher."""
        if revision > self.revision and not self._pulling:
            self._pulling = True
            self._background.spawn(self._pull(peer_id))

    async def run(self) -> None:
        """Watch the store while this instance is a relay or knows nothing."""
        while True:
            if self._is_relay() or not self.is_ready:
                with contextlib.suppress(errors.KeyValueUnavailable):
                    await self._follow()
            await asyncio.sleep(RETRY_S)

    def apply(self, revision: int, text: str) -> bool:
        """Bring a revision into force unless a later one is."""
        if revision <= self.revision:
            return False
        try:
            self._declared = declaration.parse(text)
        except errors.ValidationFailed as error:
            logging.error('configuration: revision %d: %s', revision, error)
            return False
        self.revision = revision
        self._text = text
        self._ready.set()
        logging.info('configuration: revision %d is in force', revision)
        self._applied(revision)
        return True

    def _is_relay(self):
        domain = self._members.instance.failure_domain
        near = [
            i.instance_id
            for i in self._members.usable()
            if i.failure_domain == domain
        ]
        chosen = placement.rank(f'relay-{domain}', near)[:RELAYS]
        return self._members.own_id in chosen

    async def _follow(self):
        head, revision = await fetch_head(self._store)
        if head is not None:
            await self._load(head, revision)
        first = max(revision, self.revision) + 1
        watch = self._store.watch(HEAD_KEY, first)
        async with contextlib.aclosing(watch):
            async for pair in watch:
                await self._load(codec.decode(pair.value), pair.revision)

    async def _load(self, head, revision):
        if revision <= self.revision:
            return
        text = await fetch_text(self._store, head.parts)
        if self.apply(revision, text):
            self._push()

    def _push(self):
        """Send what is in force to the instances of this failure domain."""
        domain = self._members.instance.failure_domain
        message = messages.Configuration(self.revision, self._text)
        for instance in self._members.usable():
            near = instance.failure_domain == domain
            if near and instance.instance_id != self._members.own_id:
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
            logging.debug('configuration: %s did not answer', peer_id)
        finally:
            self._pulling = False

    async def _on_push(self, _sender, message):
        self.apply(message.revision, message.text)
        yield messages.Ok()

    async def _on_pull(self, _sender, _message):
        yield messages.Configuration(self.revision, self._text)
