"""An HTTP client that calls balsamdale with retries and failover."""

import asyncio
import dataclasses
import json

import aiohttp

__all__ = ['CallResult', 'Caller']

MAX_ATTEMPTS = 40
FAILOVER_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True)
class CallResult:
    """The final result of a call.

    Attributes:
        text: the whole answer.
        code: 'ok', or the stable code of the refusal.
        ran: 'no', 'yes' or 'unknown'.
        retry_after_s: delay before a retry, or None.
        restarts: how often the answer was started again.
        first_s: seconds from the call to the first text.
    """

    text: str
    code: str
    ran: str
    retry_after_s: float | None = None
    restarts: int = 0
    first_s: float = 0.0


class Caller:
    """A caller that tries the next address when a connection fails.

    Args:
        session: HTTP session to use.
        name: the caller's name.
        addresses: entry addresses known from the settings.
    """

    def __init__(
        self, session: aiohttp.ClientSession, name: str, addresses: list[str]
    ):
        self._session = session
        self._name = name
        self._addresses = list(addresses)

    async def fetch_addresses(self) -> list[str]:
        """Fetch the addresses that balsamdale recommends and use them first.

        Returns:
            The recommended addresses.
        """
        _, body = await self._request_json('GET', '/v1/entry', {})
        self._addresses = body['addresses'] + [
            address
            for address in self._addresses
            if address not in body['addresses']
        ]
        return body['addresses']

    async def create(self, program_id: str, contract: str, **terms) -> dict:
        """Create a program."""
        body = {'contract': contract, **terms}
        path = f'/v1/programs/{program_id}'
        return (await self._request_json('PUT', path, {}, json.dumps(body)))[1]

    async def view(self, program_id: str) -> dict:
        """Read a program's history."""
        return (
            await self._request_json('GET', f'/v1/programs/{program_id}', {})
        )[1]

    async def end(self, program_id: str) -> dict:
        """End a program."""
        path = f'/v1/programs/{program_id}'
        return (await self._request_json('DELETE', path, {}))[1]

    async def turn(
        self, program_id: str, request_id: str, text: str
    ) -> CallResult:
        """Run a turn as a stream; repeat it elsewhere if the stream breaks."""
        path = f'/v1/programs/{program_id}/turns'
        headers = {
            'Idempotency-Key': request_id,
            'Accept': 'text/event-stream',
        }
        body = json.dumps({'text': text})
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._stream_turn(path, headers, body, started_s)
            except (aiohttp.ClientError, TimeoutError):
                self._use_next_address()
                await asyncio.sleep(FAILOVER_INTERVAL_S)
        raise TimeoutError(path)

    async def request(
        self, service: str, request_id: str, text: str
    ) -> CallResult:
        """Send a request to a plain service."""
        path = f'/v1/services/{service}/requests'
        headers = {'Idempotency-Key': request_id}
        status, body = await self._request_json('POST', path, headers, text)
        if status >= 400:
            return _refusal(body)
        return CallResult(body['text'], 'ok', 'yes')

    async def _stream_turn(self, path, headers, body, started_s):
        url = f'http://{self._addresses[0]}{path}'
        headers = {**headers, 'X-Caller': self._name}
        timeout = aiohttp.ClientTimeout(total=None, sock_read=30)
        async with self._session.post(
            url, data=body, headers=headers, timeout=timeout
        ) as response:
            if response.status >= 400:
                return _refusal(await response.json(content_type=None))
            return await _read_events(response, started_s)

    async def _request_json(self, method, path, headers, body=None):
        headers = {**headers, 'X-Caller': self._name}
        for _ in range(MAX_ATTEMPTS):
            url = f'http://{self._addresses[0]}{path}'
            timeout = aiohttp.ClientTimeout(total=30)
            try:
                async with self._session.request(
                    method, url, data=body, headers=headers, timeout=timeout
                ) as response:
                    response_body = await response.json(content_type=None)
                    return response.status, response_body
            except (aiohttp.ClientError, TimeoutError):
                self._use_next_address()
                await asyncio.sleep(FAILOVER_INTERVAL_S)
        raise TimeoutError(path)

    def _use_next_address(self):
        self._addresses.append(self._addresses.pop(0))


async def _read_events(response, started_s):
    text, restarts, first_s, event_name = '', 0, 0.0, ''
    loop = asyncio.get_running_loop()
    async for raw_line in response.content:
        line = raw_line.decode().strip()
        if line.startswith('event:'):
            event_name = line.removeprefix('event:').strip()
        if not line.startswith('data:'):
            continue
        event_data = json.loads(line.removeprefix('data:'))
        if event_name == 'delta':
            text = text[: event_data['offset']] + event_data['text']
            first_s = first_s or loop.time() - started_s
        elif event_name == 'restart':
            text, restarts = '', restarts + 1
        elif event_name == 'error':
            return _refusal(event_data)
        elif event_data['outcome'] != 'ok':
            return _refusal(event_data)
        else:
            if text != event_data['text']:
                raise AssertionError(
                    'the streamed parts differ from the whole answer'
                )
            return CallResult(text, 'ok', 'yes', None, restarts, first_s)
    raise aiohttp.ClientPayloadError('the stream ended without a final event')


def _refusal(body):
    return CallResult('', body['code'], body['ran'], body['retry_after_s'])
