"""Access to backend servers: model engines and plain services.

`HttpBackends` speaks the OpenAI-compatible chat protocol to engines and
JSON over HTTP to plain services.
"""

import abc
from collections import abc as collections_abc
import dataclasses
import json

import aiohttp

from balsamdale import declaration
from balsamdale import errors
from balsamdale import program
from balsamdale import records

__all__ = [
    'Backends',
    'Completion',
    'HttpBackends',
    'TextDelta',
    'chat_body',
]

CONNECT_TIMEOUT_S = 1.0
SILENCE_S = 2.0
RESUME_LIMIT = 60
CONTROL_TIMEOUT_S = 1.5


@dataclasses.dataclass(frozen=True)
class TextDelta:
    """A part of a model's answer."""

    text: str


@dataclasses.dataclass(frozen=True)
class Completion:
    """The end of a model's answer with the engine's own counts."""

    text: str
    tool_calls: tuple[records.ToolCall, ...]
    prompt_tokens: int
    answer_tokens: int
    cached_tokens: int


class Backends(abc.ABC):
    """Requests to backend servers.

    Every method raises `BackendFailed`, which says whether the request ran.
    """

    @abc.abstractmethod
    def complete(
        self,
        server: declaration.BackendServer,
        model: str,
        call: program.CallEngine,
        request_id: str,
        session: str,
    ) -> collections_abc.AsyncIterator[object]:
        """Run a model call; yield deltas, then one `Completion`."""

    @abc.abstractmethod
    async def invoke(
        self,
        server: declaration.BackendServer,
        call: program.CallTool,
        request_id: str,
    ) -> str:
        """Run a plain request and return its result."""

    @abc.abstractmethod
    async def release(
        self, server: declaration.BackendServer, session: str
    ) -> None:
        """Drop a program's prefix from an engine's cache."""

    @abc.abstractmethod
    async def export_prefix(
        self, server: declaration.BackendServer, session: str
    ) -> None:
        """Move a program's prefix out of an engine's cache, to be kept."""

    @abc.abstractmethod
    async def import_prefix(
        self, server: declaration.BackendServer, session: str
    ) -> None:
        """Bring an exported prefix back into an engine's cache."""

    @abc.abstractmethod
    async def cancel(
        self, server: declaration.BackendServer, request_id: str
    ) -> None:
        """Stop a model call that nobody waits for."""

    async def close(self) -> None:
        """Release connections."""
        return


class HttpBackends(Backends):
    """Backend servers over HTTP."""

    def __init__(self):
        self._session: aiohttp.ClientSession | None = None

    async def complete(
        self,
        server: declaration.BackendServer,
        model: str,
        call: program.CallEngine,
        request_id: str,
        session: str,
    ) -> collections_abc.AsyncIterator[object]:
        stream = _Stream(server.name)
        body = chat_body(model, call, session)
        url = f'http://{server.address}/v1/chat/completions'
        headers = {'X-Request-Id': request_id}
        timeout = aiohttp.ClientTimeout(
            total=None, connect=CONNECT_TIMEOUT_S, sock_read=SILENCE_S
        )
        try:
            async with self._client().post(
                url, json=body, headers=headers, timeout=timeout
            ) as response:
                _check_status(server.name, response.status)
                async for delta in stream.feed(response.content):
                    yield delta
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            raise errors.BackendFailed(server.name, 'no', 'no connection')
        except (aiohttp.ClientError, TimeoutError):
            async for delta in self._resume(server, request_id, stream):
                yield delta
        yield stream.completion()

    async def invoke(
        self,
        server: declaration.BackendServer,
        call: program.CallTool,
        request_id: str,
    ) -> str:
        url = f'http://{server.address}/v1/requests'
        body = {'operation': call.name, 'arguments': call.arguments}
        headers = {'Idempotency-Key': request_id}
        timeout = aiohttp.ClientTimeout(
            total=call.timeout_s, connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._client().post(
                url, json=body, headers=headers, timeout=timeout
            ) as response:
                if response.status >= 500:
                    _check_status(server.name, response.status)
                return await response.text()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            raise errors.BackendFailed(server.name, 'no', 'no connection')
        except (aiohttp.ClientError, TimeoutError) as error:
            detail = str(error) or type(error).__name__
            raise errors.BackendFailed(server.name, 'unknown', detail)

    async def release(
        self, server: declaration.BackendServer, session: str
    ) -> None:
        await self._control(server, '/admin/release', {'session': session})

    async def export_prefix(
        self, server: declaration.BackendServer, session: str
    ) -> None:
        await self._control(server, '/admin/export', {'session': session})

    async def import_prefix(
        self, server: declaration.BackendServer, session: str
    ) -> None:
        await self._control(server, '/admin/import', {'session': session})

    async def cancel(
        self, server: declaration.BackendServer, request_id: str
    ) -> None:
        await self._control(server, '/admin/cancel', {'id': request_id})

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    def _client(self):
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session

    async def _control(self, server, path, body):
        url = f'http://{server.address}{path}'
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        try:
            async with self._client().post(
                url, json=body, timeout=timeout
            ) as response:
                response.raise_for_status()
        except (aiohttp.ClientError, TimeoutError) as error:
            detail = str(error) or type(error).__name__
            raise errors.BackendFailed(server.name, 'unknown', detail)

    async def _resume(self, server, request_id, stream):
        """Continue a stream whose connection fell silent or broke.

        Silence does not mean that the engine died: the stream is asked for
        over a fresh connection first.
        """
        idle = 0
        while idle < RESUME_LIMIT:
            before = stream.chunks
            try:
                async for delta in self._reopen(server, request_id, stream):
                    yield delta
                return
            except aiohttp.ClientConnectorError as error:
                raise _crashed(server.name) from error
            except (aiohttp.ClientError, TimeoutError):
                idle = 0 if stream.chunks > before else idle + 1
        raise errors.BackendFailed(server.name, 'unknown', 'silent stream')

    async def _reopen(self, server, request_id, stream):
        url = f'http://{server.address}/v1/streams/{request_id}'
        timeout = aiohttp.ClientTimeout(
            total=None, connect=CONNECT_TIMEOUT_S, sock_read=SILENCE_S
        )
        async with self._client().get(
            url,
            params={'after': str(stream.chunks)},
            timeout=timeout,
            headers={'Connection': 'close'},
        ) as response:
            if response.status == 404:
                raise _crashed(server.name)
            _check_status(server.name, response.status)
            async for delta in stream.feed(response.content):
                yield delta


class _Stream:
    """Reads server-sent events of a chat completion."""

    def __init__(self, server):
        self._server = server
        self._text = ''
        self._calls: dict[int, records.ToolCall] = {}
        self._usage = None
        self.chunks = 0

    async def feed(self, content):
        async for raw in content:
            line = raw.decode().strip()
            if not line.startswith('data:'):
                continue
            data = line.removeprefix('data:').strip()
            if data == '[DONE]':
                return
            self.chunks += 1
            text = self._take(json.loads(data))
            if text:
                yield TextDelta(text)
        raise aiohttp.ClientPayloadError('the stream ended early')

    def completion(self):
        if self._usage is None:
            raise errors.BackendFailed(self._server, 'unknown', 'no usage')
        details = self._usage.get('prompt_tokens_details') or {}
        return Completion(
            text=self._text,
            tool_calls=tuple(self._calls[key] for key in sorted(self._calls)),
            prompt_tokens=self._usage['prompt_tokens'],
            answer_tokens=self._usage['completion_tokens'],
            cached_tokens=details.get('cached_tokens', 0),
        )

    def _take(self, chunk):
        if chunk.get('usage'):
            self._usage = chunk['usage']
        text = ''
        for choice in chunk.get('choices', ()):
            delta = choice.get('delta', {})
            text += delta.get('content') or ''
            for call in delta.get('tool_calls') or ():
                self._take_call(call)
        self._text += text
        return text

    def _take_call(self, part):
        held = self._calls.get(part['index'], records.ToolCall('', '', ''))
        function = part.get('function', {})
        self._calls[part['index']] = records.ToolCall(
            held.call_id + (part.get('id') or ''),
            held.name + (function.get('name') or ''),
            held.arguments + (function.get('arguments') or ''),
        )


def chat_body(model: str, call: program.CallEngine, session: str) -> dict:
    """Return the body of a chat completion request."""
    return {
        'model': model,
        'messages': list(call.messages),
        'tools': list(_wire_tools(call)),
        'max_tokens': call.answer_tokens,
        'stream': True,
        'stream_options': {'include_usage': True},
        'user': session,
    }


def _wire_tools(call):
    for tool in call.tools:
        yield _wire_tool(tool.name, tool.description, 'query')
    if call.can_spawn_agents:
        text = 'Give a task to a sub-agent.'
        yield _wire_tool(program.AGENT_TOOL, text, 'task')


def _wire_tool(name, description, argument):
    parameters = {
        'type': 'object',
        'properties': {argument: {'type': 'string'}},
        'required': [argument],
    }
    function = {
        'name': name,
        'description': description,
        'parameters': parameters,
    }
    return {'type': 'function', 'function': function}


def _check_status(server, status):
    """Raise unless a request was accepted; 503 and 429 mean not run."""
    if status in (429, 503):
        raise errors.BackendFailed(server, 'no', f'status {status}')
    if status >= 400:
        raise errors.BackendFailed(server, 'unknown', f'status {status}')


def _crashed(server):
    return errors.BackendFailed(
        server, 'unknown', 'crashed with the request in flight', True
    )
