"""HTTP client of the platform's key-value service."""

import base64
import binascii

import aiohttp
import msgspec

from balsamdale import decisions
from balsamdale import errors
from balsamdale import http_connection
from balsamdale import keyvalue
from balsamdale import sockets

__all__ = ['PlatformKeyValue']

# Timeout of a call: longer than the slow phases of the service.
CALL_TIMEOUT_S = 1.5
# Time that a watch may take in addition to its own wait.
WATCH_SLACK_S = 1.5


class _Item(msgspec.Struct):
    """The state of a key, or a change of it."""

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
    """The platform's key-value service.

    Args:
        address: IP address and port of the service.

    Attributes:
        calls: calls made so far.
    """

    def __init__(self, address: str):
        self._base = f'http://{address}/api'
        self._session: aiohttp.ClientSession | None = None
        self.calls = 0

    async def get(self, key: str) -> keyvalue.Pair | None:
        status, body = await self._request(
            'GET', '/kv-key', {'key': key}, expected=(200, 404)
        )
        if status == 404:
            return None
        return _decode_pair(self._decode(body, _Item))

    async def scan(self, prefix: str) -> tuple[tuple[keyvalue.Pair, ...], int]:
        pairs: list[keyvalue.Pair] = []
        revision = 0
        last_key = ''
        while True:
            query = {'path_prefix': prefix}
            if last_key:
                query['after'] = last_key
            _, body = await self._request('GET', '/kv-range', query)
            page = self._decode(body, _Page)
            pairs.extend(_decode_pair(item) for item in page.items)
            # Later pages may be newer than the first; the caller watches from
            # the first page's revision, so that no change is missed.
            revision = revision or page.store_revision
            if not page.truncated:
                return tuple(pairs), revision
            if not page.items:
                raise errors.KeyValueUnavailable(
                    'a page without items is not the last one', False
                )
            last_key = page.items[-1].key

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int, lease: int = 0
    ) -> int:
        return await self._write(key, value, lease, revision)

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        return await self._write(key, value, lease, None)

    async def delete(self, key: str) -> None:
        body = {'if_rev': [], 'puts': [], 'delete': [key]}
        await self._request('POST', '/kv-txn', body=body, is_write=True)

    async def changes(
        self, prefix: str, revision: int, wait_s: float
    ) -> tuple[tuple[keyvalue.Change, ...], int]:
        query = {
            'path_prefix': prefix,
            'after': str(revision),
            'wait_ms': str(int(wait_s * 1000)),
        }
        status, body = await self._request(
            'GET',
            '/kv-watch',
            query,
            timeout_s=wait_s + WATCH_SLACK_S,
            expected=(200, 410),
        )
        if status == 410:
            raise errors.RevisionCompacted(
                f'changes after revision {revision} are compacted'
            )
        watched = self._decode(body, _Events)
        changes = tuple(_decode_change(item) for item in watched.events)
        return changes, watched.store_revision

    async def grant_lease(self, ttl_s: float) -> int:
        body = {'ttl_ms': int(ttl_s * 1000)}
        _, content = await self._request('POST', '/kv-lease', body=body)
        return self._decode(content, _Done).lease

    async def renew_lease(self, lease: int) -> None:
        status, _ = await self._request(
            'POST', f'/kv-keep/{lease}', expected=(200, 404)
        )
        if status == 404:
            raise errors.LeaseEnded(f'lease {lease} has ended')

    async def revoke_lease(self, lease: int) -> None:
        await self._request(
            'DELETE', f'/kv-lease-end/{lease}', expected=(200, 404)
        )

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def _write(self, key, value, lease, revision):
        """Write one key if it has `revision`; None writes it in any case.

        Returns:
            The new revision; 0 if the key has another revision.
        """
        put = {'key': key, 'value': base64.b64encode(value).decode()}
        if lease:
            put['lease'] = lease
        expected = []
        if revision is not None:
            expected = [{'key': key, 'rev': revision}]
        body = {'if_rev': expected, 'puts': [put], 'delete': []}
        status, content = await self._request(
            'POST',
            '/kv-txn',
            body=body,
            is_write=True,
            expected=(200, 404, 412),
        )
        if status == 412:
            return 0
        if status == 404:
            raise errors.LeaseEnded(f'lease {lease} has ended')
        return self._decode(content, _Done, is_write=True).rev

    async def _request(
        self,
        method,
        path,
        query=None,
        body=None,
        timeout_s=CALL_TIMEOUT_S,
        is_write=False,
        expected=(200,),
    ):
        """Make one call; return status and body of an expected response."""
        self.calls += 1
        headers = {}
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            headers['Content-Type'] = 'application/json'
        try:
            async with self._get_session().request(
                method,
                self._base + path,
                params=query,
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as response:
                content = await http_connection.read_body(response)
        except aiohttp.ClientConnectorError as error:
            raise errors.KeyValueUnavailable(str(error), False) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            detail = f'{type(error).__name__}: {error}'
            raise errors.KeyValueUnavailable(detail, is_write) from error
        if response.status in (429, 503):
            raise errors.KeyValueUnavailable(
                f'{path} returned status {response.status}', False
            )
        if response.status not in expected:
            raise errors.KeyValueError(
                f'{path} returned status {response.status}'
            )
        return response.status, content

    def _decode(self, body, message_type, is_write=False):
        try:
            return msgspec.json.decode(body, type=message_type)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise errors.KeyValueUnavailable(
                f'response is malformed: {error}', is_write
            ) from error

    def _get_session(self):
        if self._session is None:
            self._session = http_connection.create_session(
                aiohttp.TCPConnector(
                    limit=0,
                    socket_factory=sockets.create_client_socket,
                    use_dns_cache=False,
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                trust_env=False,
                read_bufsize=2**20,
            )
        return self._session


def _decode_value(item):
    """Return a value's bytes; empty if it is not valid base64."""
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as error:
        decisions.record('value_unreadable', key=item.key, reason=str(error))
        return b''


def _decode_pair(item):
    return keyvalue.Pair(item.key, _decode_value(item), item.rev)


def _decode_change(item):
    value = None if item.removed else _decode_value(item)
    return keyvalue.Change(item.key, value, item.rev)
