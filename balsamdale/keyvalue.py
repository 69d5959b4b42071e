"""Access to the platform's key-value service.

`MemoryKeyValue` serves tests; `EtcdKeyValue` speaks the JSON form of the
etcd v3 protocol.
"""

import abc
import asyncio
import base64
from collections import abc as collections_abc
import contextlib
import dataclasses
import json

import aiohttp

from balsamdale import errors

__all__ = [
    'Change',
    'EtcdKeyValue',
    'KeyValue',
    'LeasedKeyValue',
    'MemoryKeyValue',
    'Pair',
]

CALL_TIMEOUT_S = 3.0
# Seconds that one call for changes waits.
WATCH_WAIT_S = 10.0


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

    Every method raises `KeyValueUnavailable` when the service does not
    answer; for a write the error says whether it may have been applied.

    Attributes:
        calls: calls made so far.
    """

    calls = 0

    @abc.abstractmethod
    async def get(self, key: str) -> Pair | None:
        """Return one pair, or None where the key does not exist."""

    @abc.abstractmethod
    async def scan(self, prefix: str) -> tuple[tuple[Pair, ...], int]:
        """Return the pairs below a prefix and the store's revision."""

    @abc.abstractmethod
    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> int:
        """Write a key if its revision still is the one given.

        Args:
            key: key to write.
            value: new value.
            revision: the expected revision; 0 expects no such key.

        Returns:
            The new revision, or 0 where the comparison failed.
        """

    @abc.abstractmethod
    def watch(
        self, prefix: str, revision: int
    ) -> collections_abc.AsyncIterator[Pair]:
        """Yield each later write below a prefix.

        Args:
            prefix: start of the keys.
            revision: first revision to yield.
        """

    async def close(self) -> None:
        """Release connections."""
        return


class LeasedKeyValue(KeyValue):
    """Compare-and-swap storage with leases and a history of changes."""

    async def watch(
        self, prefix: str, revision: int
    ) -> collections_abc.AsyncIterator[Pair]:
        after = revision - 1
        while True:
            found, after = await self.changes(prefix, after, WATCH_WAIT_S)
            for change in found:
                if change.value is not None:
                    yield Pair(change.key, change.value, change.revision)

    @abc.abstractmethod
    async def changes(
        self, prefix: str, revision: int, wait_s: float
    ) -> tuple[tuple[Change, ...], int]:
        """Return the changes after a revision, waiting for the first.

        Returns:
            The changes, and the revision up to which they are complete.

        Raises:
            RevisionCompacted: these changes are no longer kept.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease, which ends unless it is renewed in time."""

    @abc.abstractmethod
    async def renew_lease(self, lease: int) -> None:
        """Let a lease run anew.

        Raises:
            LeaseEnded: it has ended.
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""

    @abc.abstractmethod
    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key whatever it holds; return the new revision.

        Raises:
            LeaseEnded: the lease has ended.
        """

    @abc.abstractmethod
    async def delete(self, key: str) -> None:
        """Remove a key if it exists."""


class MemoryKeyValue(LeasedKeyValue):
    """A key-value service inside the process."""

    def __init__(self):
        self._leases: dict[int, set[str]] = {}
        self._changes: list[Change] = []
        self._kept_after = 0
        self._pairs: dict[str, Pair] = {}
        self._writes: list[Pair] = []
        self._changed = asyncio.Event()
        self.revision = 0
        self.available = True
        self.responses_to_lose = 0

    async def get(self, key: str) -> Pair | None:
        await self._check()
        return self._pairs.get(key)

    async def scan(self, prefix: str) -> tuple[tuple[Pair, ...], int]:
        await self._check()
        keys = sorted(key for key in self._pairs if key.startswith(prefix))
        return tuple(self._pairs[key] for key in keys), self.revision

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> int:
        await self._check()
        held = self._pairs.get(key)
        if (held.revision if held else 0) != revision:
            return 0
        self._write(key, value)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise errors.KeyValueUnavailable('answer lost', True)
        return self.revision

    async def changes(
        self, prefix: str, revision: int, wait_s: float
    ) -> tuple[tuple[Change, ...], int]:
        await self._check()
        self._check_kept(revision)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._changes_after(prefix, revision):
                    await self._changed.wait()
                    self._check_kept(revision)
        await self._check()
        self._check_kept(revision)
        return self._changes_after(prefix, revision), self.revision

    async def grant_lease(self, ttl_s: float) -> int:
        await self._check()
        lease = len(self._leases) + 1
        self._leases[lease] = set()
        return lease

    async def renew_lease(self, lease: int) -> None:
        await self._check()
        if lease not in self._leases:
            raise errors.LeaseEnded(str(lease))

    async def revoke_lease(self, lease: int) -> None:
        await self._check()
        self.expire_lease(lease)

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        await self._check()
        if lease:
            if lease not in self._leases:
                raise errors.LeaseEnded(str(lease))
            self._leases[lease].add(key)
        self._write(key, value)
        return self.revision

    async def delete(self, key: str) -> None:
        await self._check()
        self.remove(key)

    def expire_lease(self, lease: int) -> None:
        """End a lease as if it had not been renewed."""
        for key in self._leases.pop(lease, ()):
            self.remove(key)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._pairs.pop(key, None) is not None:
            self._write(key, None)

    def compact(self) -> None:
        """Forget all changes so far."""
        self._kept_after = self.revision
        self._changes.clear()

    def _check_kept(self, revision):
        if revision < self._kept_after:
            raise errors.RevisionCompacted('history was dropped')

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
        self._changed.set()
        self._changed = asyncio.Event()

    async def watch(
        self, prefix: str, revision: int
    ) -> collections_abc.AsyncIterator[Pair]:
        index = 0
        while True:
            changed = self._changed
            while index < len(self._writes):
                pair = self._writes[index]
                index += 1
                if pair.revision >= revision and pair.key.startswith(prefix):
                    yield pair
            await changed.wait()

    async def _check(self):
        await asyncio.sleep(0)
        if not self.available:
            raise errors.KeyValueUnavailable('outage', False)


class EtcdKeyValue(KeyValue):
    """The platform's service, reached by the etcd v3 JSON gateway.

    Args:
        addresses: IP numbers and ports, tried in order.
    """

    def __init__(self, addresses: tuple[str, ...]):
        self._addresses = addresses
        self._session: aiohttp.ClientSession | None = None

    async def get(self, key: str) -> Pair | None:
        answer = await self._call('/v3/kv/range', {'key': _wrap(key)}, False)
        pairs = tuple(_pairs(answer.get('kvs', ())))
        return pairs[0] if pairs else None

    async def scan(self, prefix: str) -> tuple[tuple[Pair, ...], int]:
        body = {'key': _wrap(prefix), 'range_end': _wrap(_after(prefix))}
        answer = await self._call('/v3/kv/range', body, False)
        revision = int(answer.get('header', {}).get('revision', 0))
        return tuple(_pairs(answer.get('kvs', ()))), revision

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> int:
        compare = {
            'key': _wrap(key),
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(revision),
        }
        put = {'key': _wrap(key), 'value': _wrap_bytes(value)}
        body = {'compare': [compare], 'success': [{'request_put': put}]}
        answer = await self._call('/v3/kv/txn', body, True)
        if not answer.get('succeeded'):
            return 0
        return int(answer['header']['revision'])

    async def watch(
        self, prefix: str, revision: int
    ) -> collections_abc.AsyncIterator[Pair]:
        request = {
            'key': _wrap(prefix),
            'range_end': _wrap(_after(prefix)),
            'start_revision': str(revision),
        }
        self.calls += 1
        url = f'http://{self._addresses[0]}/v3/watch'
        timeout = aiohttp.ClientTimeout(total=None, connect=CALL_TIMEOUT_S)
        try:
            async with self._client().post(
                url, json={'create_request': request}, timeout=timeout
            ) as response:
                async for line in response.content:
                    for pair in _events(json.loads(line)):
                        yield pair
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise errors.KeyValueUnavailable(str(error), False) from error

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    def _client(self):
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session

    async def _call(self, path, body, is_write):
        detail = 'no address'
        maybe_applied = False
        for address in self._addresses:
            try:
                return await self._post(f'http://{address}{path}', body)
            except aiohttp.ClientConnectorError as error:
                detail = str(error)
            except (aiohttp.ClientError, asyncio.TimeoutError) as error:
                detail = str(error) or type(error).__name__
                maybe_applied = is_write
            if maybe_applied:
                break
        raise errors.KeyValueUnavailable(detail, maybe_applied)

    async def _post(self, url, body):
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with self._client().post(
            url, json=body, timeout=timeout
        ) as response:
            response.raise_for_status()
            return await response.json()


def _wrap(text):
    return _wrap_bytes(text.encode())


def _wrap_bytes(data):
    return base64.b64encode(data).decode()


def _after(prefix):
    """Return the end of the range that holds every key of a prefix."""
    last = prefix[-1]
    return prefix[:-1] + chr(ord(last) + 1)


def _pairs(rows):
    for row in rows:
        yield Pair(
            base64.b64decode(row['key']).decode(),
            base64.b64decode(row.get('value', '')),
            int(row['mod_revision']),
        )


def _events(line):
    result = line.get('result', {})
    if result.get('canceled'):
        raise errors.KeyValueUnavailable('watch cancelled', False)
    puts = (
        event['kv']
        for event in result.get('events', ())
        if event.get('type', 'PUT') == 'PUT'
    )
    yield from _pairs(puts)
