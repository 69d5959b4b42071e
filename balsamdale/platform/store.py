"""Access to the platform's key-value service over HTTP."""

import base64
import binascii

import aiohttp
import msgspec

from balsamdale import decisions
from balsamdale import errors
from balsamdale import keyvalue
from balsamdale import sockets

__all__ = ['PlatformKeyValue']

# Seconds for an answer; slow spells of the service stay below it.
CALL_TIMEOUT_S = 1.5
# Seconds that a watch may take beyond its wait.
WATCH_SLACK_S = 1.5


class _Item(msgspec.Struct):
    """A key's state or change; `lease` 0 means none."""

    key: str
    value: str = ''
    rev: int = 0
    removed: bool = False


class _Page(msgspec.Struct):
    items: list[_Item] = []
    truncated: bool = False
    store_revision: int = 0


class _Events(msgspec.Struct):
    events: list[_Item] = []
    store_revision: int = 0


class _Done(msgspec.Struct):
    lease: int = 0
    rev: int = 0


class PlatformKeyValue(keyvalue.LeasedKeyValue):
    """The users' key-value service.

    Args:
        address: IP number and port.
    """

    def __init__(self, address: str):
        self._base = f'http://{address}/api'
        self._session: aiohttp.ClientSession | None = None
        self.calls = 0

    async def get(self, key: str) -> keyvalue.Pair | None:
        status, body = await self._call('GET', '/kv-key', {'key': key})
        if status == 404:
            return None
        return _pair(self._decode(body, _Item))

    async def scan(self, prefix: str) -> tuple[tuple[keyvalue.Pair, ...], int]:
        pairs: list[keyvalue.Pair] = []
        revision = 0
        after = ''
        while True:
            query = {'path_prefix': prefix}
            if after:
                query['after'] = after
            _, body = await self._call('GET', '/kv-range', query)
            page = self._decode(body, _Page)
            pairs.extend(_pair(item) for item in page.items)
            # Later pages may be newer; changes since the first are watched.
            revision = revision or page.store_revision
            if not page.truncated or not page.items:
                return tuple(pairs), revision
            after = page.items[-1].key

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> int:
        return await self._write(key, value, 0, revision)

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        return await self._write(key, value, lease, None)

    async def delete(self, key: str) -> None:
        body = {'if_rev': [], 'puts': [], 'delete': [key]}
        await self._call('POST', '/kv-txn', body=body, is_write=True)

    async def changes(
        self, prefix: str, revision: int, wait_s: float
    ) -> tuple[tuple[keyvalue.Change, ...], int]:
        query = {
            'path_prefix': prefix,
            'after': str(revision),
            'wait_ms': str(int(wait_s * 1000)),
        }
        status, body = await self._call(
            'GET', '/kv-watch', query, timeout_s=wait_s + WATCH_SLACK_S
        )
        if status == 410:
            raise errors.RevisionCompacted(
                f'changes after {revision} are gone'
            )
        found = self._decode(body, _Events)
        changes = tuple(_change(item) for item in found.events)
        return changes, found.store_revision

    async def grant_lease(self, ttl_s: float) -> int:
        body = {'ttl_ms': int(ttl_s * 1000)}
        _, answer = await self._call('POST', '/kv-lease', body=body)
        return self._decode(answer, _Done).lease

    async def renew_lease(self, lease: int) -> None:
        status, _ = await self._call('POST', f'/kv-keep/{lease}')
        if status == 404:
            raise errors.LeaseEnded(f'lease {lease} has ended')

    async def revoke_lease(self, lease: int) -> None:
        await self._call('DELETE', f'/kv-lease-end/{lease}')

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def _write(self, key, value, lease, revision):
        """Write one key, under a condition unless `revision` is None."""
        put = {'key': key, 'value': base64.b64encode(value).decode()}
        if lease:
            put['lease'] = lease
        expected = []
        if revision is not None:
            expected = [{'key': key, 'rev': revision}]
        body = {'if_rev': expected, 'puts': [put], 'delete': []}
        status, answer = await self._call(
            'POST', '/kv-txn', body=body, is_write=True
        )
        if status == 412:
            return 0
        if status == 404:
            raise errors.LeaseEnded(f'lease {lease} has ended')
        return self._decode(answer, _Done).rev

    async def _call(
        self,
        method,
        path,
        query=None,
        body=None,
        timeout_s=CALL_TIMEOUT_S,
        is_write=False,
    ):
        """Make one call; return status and body of an answer in order."""
        self.calls += 1
        headers = {}
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            headers['Content-Type'] = 'application/json'
        try:
            async with self._client().request(
                method,
                self._base + path,
                params=query,
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                answer = await response.read()
        except aiohttp.ClientConnectorError as error:
            raise errors.KeyValueUnavailable(str(error), False) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            detail = f'{type(error).__name__}: {error}'
            raise errors.KeyValueUnavailable(detail, is_write) from error
        if response.status in (429, 503):
            raise errors.KeyValueUnavailable(
                f'{path} was answered {response.status}', False
            )
        if response.status not in (200, 404, 410, 412):
            raise errors.KeyValueError(
                f'{path} was answered {response.status}'
            )
        return response.status, answer

    def _decode(self, body, kind):
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as error:
            raise errors.KeyValueError(f'unreadable: {error}') from error

    def _client(self):
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0,
                    socket_factory=sockets.create_client_socket,
                    use_dns_cache=False,
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                trust_env=False,
                read_bufsize=2**20,
            )
            # A lost answer must be seen as lost, not asked for again.
            self._session._retry_connection = False
        return self._session


def _value(item):
    """Return a value's bytes; text that is not base64 has none."""
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as error:
        decisions.record('value_unreadable', key=item.key, reason=str(error))
        return b''


def _pair(item):
    return keyvalue.Pair(item.key, _value(item), item.rev)


def _change(item):
    value = None if item.removed else _value(item)
    return keyvalue.Change(item.key, value, item.rev)
