"""Clients of the platform's key-value service.

`MemoryKeyValue` is a fake for tests; `EtcdKeyValue` uses the JSON gateway of
the etcd v3 protocol.
"""

import abc
import asyncio
import base64
from collections import abc as collections_abc
import contextlib
import dataclasses

import aiohttp
import msgspec

from balsamdale import errors
from balsamdale import http_connection

__all__ = [
    'Change',
    'EtcdKeyValue',
    'KeyValue',
    'LeasedKeyValue',
    'MemoryKeyValue',
    'Pair',
]

CALL_TIMEOUT_S = 3.0
# What a call raises if its reply is missing, cut or malformed.
CALL_ERRORS = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    msgspec.MsgspecError,
)
# Longest wait of one request for changes.
WATCH_POLL_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class Pair:
    """A key with its value; `revision` is that of its last write."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True)
class Change:
    """A write to a key; `value` is None where the key was removed."""

    key: str
    value: bytes | None
    revision: int


class KeyValue(abc.ABC):
    """Compare-and-swap storage with watches.

    Every method raises `KeyValueUnavailable` if the service does not
    respond; for a write the error says whether it may have been applied.

    Attributes:
        calls: number of requests sent to the service.
    """

    calls = 0

    @abc.abstractmethod
    async def get(self, key: str) -> Pair | None:
        """Return one pair, or None if the key does not exist."""

    @abc.abstractmethod
    async def scan(self, prefix: str) -> tuple[tuple[Pair, ...], int]:
        """Return the pairs under a key prefix and the service's revision."""

    @abc.abstractmethod
    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> int:
        """Write a key if it still has the expected revision.

        Args:
            key: key to write.
            value: new value.
            revision: the expected revision; 0 expects that the key is absent.

        Returns:
            The new revision, or 0 if the comparison failed.
        """

    @abc.abstractmethod
    def watch(
        self, prefix: str, revision: int
    ) -> collections_abc.AsyncIterator[Pair]:
        """Yield each write under a key prefix, from a revision on.

        Args:
            prefix: prefix of the keys.
            revision: first revision to yield.
        """

    async def close(self) -> None:
        """Close the connections."""
        return


class LeasedKeyValue(KeyValue):
    """Compare-and-swap storage with leases and resumable watches."""

    async def watch(
        self, prefix: str, revision: int
    ) -> collections_abc.AsyncIterator[Pair]:
        last_revision = revision - 1
        while True:
            changes, last_revision = await self.changes(
                prefix, last_revision, WATCH_POLL_TIMEOUT_S
            )
            for change in changes:
                if change.value is not None:
                    yield Pair(change.key, change.value, change.revision)

    @abc.abstractmethod
    async def changes(
        self, prefix: str, revision: int, wait_s: float
    ) -> tuple[tuple[Change, ...], int]:
        """Return the changes after a revision; wait if there is none yet.

        Returns:
            The changes, and the revision up to which they are complete.

        Raises:
            RevisionCompacted: some of these changes were compacted.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease, which expires unless renewed."""

    @abc.abstractmethod
    async def renew_lease(self, lease: int) -> None:
        """Restart the TTL of a lease.

        Raises:
            LeaseEnded: the lease has expired or was revoked.
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove its keys."""

    @abc.abstractmethod
    async def compare_and_swap(
        self, key: str, value: bytes, revision: int, lease: int = 0
    ) -> int:
        """Write a key under a lease if it still has a revision.

        Returns:
            The new revision; 0 if the key has another revision.

        Raises:
            LeaseEnded: the lease has expired or was revoked.
        """

    @abc.abstractmethod
    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key unconditionally; return the new revision.

        Raises:
            LeaseEnded: the lease has expired or was revoked.
        """

    @abc.abstractmethod
    async def delete(self, key: str) -> None:
        """Remove a key if it exists."""


class MemoryKeyValue(LeasedKeyValue):
    """A fake of the key-value service, in memory."""

    def __init__(self):
        self._leases: dict[int, set[str]] = {}
        self._changes: list[Change] = []
        self._compacted_revision = 0
        self._pairs: dict[str, Pair] = {}
        self._writes: list[Pair] = []
        self._next_change = asyncio.Event()
        self.revision = 0
        self.available = True
        self.responses_to_lose = 0

    async def get(self, key: str) -> Pair | None:
        await self._check_available()
        return self._pairs.get(key)

    async def scan(self, prefix: str) -> tuple[tuple[Pair, ...], int]:
        await self._check_available()
        keys = sorted(key for key in self._pairs if key.startswith(prefix))
        return tuple(self._pairs[key] for key in keys), self.revision

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int, lease: int = 0
    ) -> int:
        await self._check_available()
        pair = self._pairs.get(key)
        if (pair.revision if pair else 0) != revision:
            return 0
        self._attach(key, lease)
        self._write(key, value)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise errors.KeyValueUnavailable('the response was lost', True)
        return self.revision

    async def changes(
        self, prefix: str, revision: int, wait_s: float
    ) -> tuple[tuple[Change, ...], int]:
        await self._check_available()
        self._check_not_compacted(revision)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._changes_after(prefix, revision):
                    await self._next_change.wait()
                    self._check_not_compacted(revision)
        await self._check_available()
        self._check_not_compacted(revision)
        return self._changes_after(prefix, revision), self.revision

    async def grant_lease(self, ttl_s: float) -> int:
        await self._check_available()
        lease = len(self._leases) + 1
        self._leases[lease] = set()
        return lease

    async def renew_lease(self, lease: int) -> None:
        await self._check_available()
        if lease not in self._leases:
            raise errors.LeaseEnded(str(lease))

    async def revoke_lease(self, lease: int) -> None:
        await self._check_available()
        self.expire_lease(lease)

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        await self._check_available()
        self._attach(key, lease)
        self._write(key, value)
        return self.revision

    async def delete(self, key: str) -> None:
        await self._check_available()
        self.remove(key)

    def expire_lease(self, lease: int) -> None:
        """Remove a lease and its keys, as if it had not been renewed."""
        for key in self._leases.pop(lease, ()):
            self.remove(key)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._pairs.pop(key, None) is not None:
            self._write(key, None)

    def compact(self) -> None:
        """Remove all changes so far from the history."""
        self._compacted_revision = self.revision
        self._changes.clear()

    def _attach(self, key, lease):
        """Move a key from the lease that it is under to another one."""
        if lease and lease not in self._leases:
            raise errors.LeaseEnded(str(lease))
        for keys in self._leases.values():
            keys.discard(key)
        if lease:
            self._leases[lease].add(key)

    def _check_not_compacted(self, revision):
        if revision < self._compacted_revision:
            raise errors.RevisionCompacted('the history was compacted')

    def _changes_after(self, prefix, revision):
        return tuple(
            change
            for change in self._changes
            if change.revision > revision and change.key.startswith(prefix)
        )

    def _write(self, key, value):
        self.revision += 1
        self._changes.append(Change(key, value, self.revision))
        if value is not None:
            self._pairs[key] = Pair(key, value, self.revision)
            self._writes.append(self._pairs[key])
        self._next_change.set()
        self._next_change = asyncio.Event()

    async def watch(
        self, prefix: str, revision: int
    ) -> collections_abc.AsyncIterator[Pair]:
        index = 0
        while True:
            next_change = self._next_change
            while index < len(self._writes):
                pair = self._writes[index]
                index += 1
                if pair.revision >= revision and pair.key.startswith(prefix):
                    yield pair
            await next_change.wait()

    async def _check_available(self):
        await asyncio.sleep(0)
        if not self.available:
            raise errors.KeyValueUnavailable('simulated outage', False)


class _Header(msgspec.Struct):
    revision: int = 0


class _KeyVersion(msgspec.Struct):
    key: bytes
    mod_revision: int
    value: bytes = b''


class _RangeReply(msgspec.Struct):
    header: _Header
    kvs: list[_KeyVersion] = []


class _TransactionReply(msgspec.Struct):
    header: _Header
    succeeded: bool = False


class _WatchEvent(msgspec.Struct):
    kv: _KeyVersion
    type: str = 'PUT'


class _WatchResult(msgspec.Struct):
    events: list[_WatchEvent] = []
    canceled: bool = False


class _WatchLine(msgspec.Struct):
    result: _WatchResult


class EtcdKeyValue(KeyValue):
    """A client of the etcd v3 JSON gateway.

    Args:
        addresses: IP addresses and ports, tried in order.
    """

    def __init__(self, addresses: tuple[str, ...]):
        self._addresses = addresses
        self._session: aiohttp.ClientSession | None = None

    async def get(self, key: str) -> Pair | None:
        reply = await self._post_to_any(
            '/v3/kv/range', {'key': _encode_text(key)}, _RangeReply
        )
        pairs = tuple(map(_pair, reply.kvs))
        return pairs[0] if pairs else None

    async def scan(self, prefix: str) -> tuple[tuple[Pair, ...], int]:
        body = {
            'key': _encode_text(prefix),
            'range_end': _encode_text(_range_end(prefix)),
        }
        reply = await self._post_to_any('/v3/kv/range', body, _RangeReply)
        return tuple(map(_pair, reply.kvs)), reply.header.revision

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> int:
        compare = {
            'key': _encode_text(key),
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(revision),
        }
        put = {'key': _encode_text(key), 'value': _encode_bytes(value)}
        body = {'compare': [compare], 'success': [{'request_put': put}]}
        reply = await self._post_to_any(
            '/v3/kv/txn', body, _TransactionReply, is_write=True
        )
        return reply.header.revision if reply.succeeded else 0

    async def watch(
        self, prefix: str, revision: int
    ) -> collections_abc.AsyncIterator[Pair]:
        request = {
            'key': _encode_text(prefix),
            'range_end': _encode_text(_range_end(prefix)),
            'start_revision': str(revision),
        }
        self.calls += 1
        url = f'http://{self._addresses[0]}/v3/watch'
        timeout = aiohttp.ClientTimeout(total=None, connect=CALL_TIMEOUT_S)
        try:
            async with self._http_session().post(
                url,
                json={'create_request': request},
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                _check_status(response)
                async for line in http_connection.read_lines(response):
                    for pair in _pairs_of_puts(line):
                        yield pair
        except CALL_ERRORS as error:
            raise errors.KeyValueUnavailable(str(error), False) from error

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    def _http_session(self):
        if self._session is None:
            self._session = http_connection.create_session(
                aiohttp.TCPConnector()
            )
        return self._session

    async def _post_to_any(self, path, body, reply_type, is_write=False):
        detail = 'no address'
        maybe_applied = False
        for address in self._addresses:
            try:
                return await self._post(
                    f'http://{address}{path}', body, reply_type
                )
            except aiohttp.ClientConnectorError as error:
                detail = str(error)
            except CALL_ERRORS as error:
                detail = str(error) or type(error).__name__
                maybe_applied = is_write
            if maybe_applied:
                break
        raise errors.KeyValueUnavailable(detail, maybe_applied)

    async def _post(self, url, body, reply_type):
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with self._http_session().post(
            url, json=body, timeout=timeout, allow_redirects=False
        ) as response:
            _check_status(response)
            return _decode(
                await http_connection.read_body(response), reply_type
            )


def _check_status(response):
    response.raise_for_status()
    if response.status != 200:
        raise aiohttp.ClientPayloadError(f'status {response.status}')


def _encode_text(text):
    return _encode_bytes(text.encode())


def _encode_bytes(value):
    return base64.b64encode(value).decode()


def _range_end(prefix):
    """Return the exclusive end of the range of keys with a prefix."""
    last = prefix[-1]
    return prefix[:-1] + chr(ord(last) + 1)


def _decode(text, message_type):
    # The gateway writes integers of 64 bits as strings.
    return msgspec.json.decode(text, type=message_type, strict=False)


def _pair(version):
    return Pair(version.key.decode(), version.value, version.mod_revision)


def _pairs_of_puts(line):
    """Yield the pairs that a line of a watch reports as written."""
    result = _decode(line, _WatchLine).result
    if result.canceled:
        raise errors.KeyValueUnavailable(
            'the service cancelled the watch', False
        )
    for event in result.events:
        if event.type == 'PUT':
            yield _pair(event.kv)
