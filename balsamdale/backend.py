"""Programs' requests to backend servers: model engines and plain services.

`HttpBackends` uses the OpenAI-compatible chat protocol for engines and JSON
over HTTP for plain services.
"""

import abc
import asyncio
import codecs
from collections import abc as collections_abc
import contextlib
import dataclasses

import aiohttp
import msgspec

from balsamdale import declaration
from balsamdale import errors
from balsamdale import http_connection
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
STREAM_READ_TIMEOUT_S = 2.0
MAX_RESUMES_WITHOUT_PROGRESS = 60
# Time without a chunk after which a stream is given up, however many other
# bytes arrive: as long as one that is silent.
STALL_TIMEOUT_S = STREAM_READ_TIMEOUT_S * MAX_RESUMES_WITHOUT_PROGRESS
CONTROL_TIMEOUT_S = 1.5
# What a call raises if its result is missing, cut or not text.
RESULT_ERRORS = (aiohttp.ClientError, TimeoutError, UnicodeDecodeError)
# Most chunks of an answer: an engine may send a token in parts, and chunks
# that have none, such as a role or the usage.
CHUNKS_PER_TOKEN = 4
CHUNKS_WITHOUT_TOKENS = 64
DATA_FIELD = b'data:'
# Data of the event that ends a stream.
DONE = b'[DONE]'


@dataclasses.dataclass(frozen=True)
class TextDelta:
    """A part of a model's answer."""

    text: str


@dataclasses.dataclass(frozen=True)
class Completion:
    """A model's whole answer, with the token counts of the engine."""

    text: str
    tool_calls: tuple[records.ToolCall, ...]
    prompt_tokens: int
    answer_tokens: int
    cached_tokens: int


class Backends(abc.ABC):
    """Requests to backend servers.

    Every method raises `BackendFailed`, which says whether the request ran.
    A session is the id under which an engine caches a program's prefix.
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
        """Run a model call; yield `TextDelta`s, then one `Completion`."""

    @abc.abstractmethod
    async def invoke(
        self,
        server: declaration.BackendServer,
        call: program.CallTool,
        request_id: str,
    ) -> str:
        """Run a request on a plain service and return its result."""

    @abc.abstractmethod
    async def release(
        self, server: declaration.BackendServer, session: str
    ) -> None:
        """Evict a program's prefix from an engine's cache."""

    @abc.abstractmethod
    async def export_prefix(
        self, server: declaration.BackendServer, session: str
    ) -> None:
        """Move a program's prefix out of an engine's cache, to keep it."""

    @abc.abstractmethod
    async def import_prefix(
        self, server: declaration.BackendServer, session: str
    ) -> None:
        """Load an exported prefix into an engine's cache."""

    @abc.abstractmethod
    async def cancel(
        self, server: declaration.BackendServer, request_id: str
    ) -> None:
        """Stop a model call whose answer is no longer needed."""

    async def close(self) -> None:
        """Close the connections."""
        return


class HttpBackends(Backends):
    """Sends requests to backend servers over HTTP."""

    def __init__(self):
        self._client_session: aiohttp.ClientSession | None = None

    async def complete(
        self,
        server: declaration.BackendServer,
        model: str,
        call: program.CallEngine,
        request_id: str,
        session: str,
    ) -> collections_abc.AsyncIterator[object]:
        stream = _CompletionStream(server.name, call.answer_tokens)
        body = chat_body(model, call, session)
        url = f'http://{server.address}/v1/chat/completions'
        headers = {'X-Request-Id': request_id}
        timeout = aiohttp.ClientTimeout(
            total=None,
            connect=CONNECT_TIMEOUT_S,
            sock_read=STREAM_READ_TIMEOUT_S,
        )
        try:
            async with self._http_session().post(
                url,
                json=body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                _check_status(server.name, response.status)
                async for delta in stream.read(response):
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
            async with self._http_session().post(
                url,
                json=body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                if response.status >= 500:
                    _check_status(server.name, response.status)
                result = await http_connection.read_body(response)
                return result.decode(_encoding(response))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            raise errors.BackendFailed(server.name, 'no', 'no connection')
        except RESULT_ERRORS as error:
            detail = str(error) or type(error).__name__
            raise errors.BackendFailed(server.name, 'unknown', detail)

    async def release(
        self, server: declaration.BackendServer, session: str
    ) -> None:
        await self._post_control(
            server, '/admin/release', {'session': session}
        )

    async def export_prefix(
        self, server: declaration.BackendServer, session: str
    ) -> None:
        await self._post_control(server, '/admin/export', {'session': session})

    async def import_prefix(
        self, server: declaration.BackendServer, session: str
    ) -> None:
        await self._post_control(server, '/admin/import', {'session': session})

    async def cancel(
        self, server: declaration.BackendServer, request_id: str
    ) -> None:
        await self._post_control(server, '/admin/cancel', {'id': request_id})

    async def close(self) -> None:
        if self._client_session is not None:
            await self._client_session.close()

    def _http_session(self):
        if self._client_session is None:
            # Responses name no request: on a kept connection, one that comes
            # late or once more would be taken for the next one.
            self._client_session = http_connection.create_session(
                aiohttp.TCPConnector(limit=0, force_close=True)
            )
        return self._client_session

    async def _post_control(self, server, path, body):
        url = f'http://{server.address}{path}'
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        try:
            async with self._http_session().post(
                url, json=body, timeout=timeout, allow_redirects=False
            ) as response:
                response.raise_for_status()
        except (aiohttp.ClientError, TimeoutError) as error:
            detail = str(error) or type(error).__name__
            raise errors.BackendFailed(server.name, 'unknown', detail)

    async def _resume(self, server, request_id, stream):
        """Continue a stream after a read timeout or a broken connection.

        Neither means that the engine crashed, so the rest of the stream is
        requested over a new connection first. Attempts that bring no new
        chunk are counted and limited.
        """
        without_progress = 0
        while without_progress < MAX_RESUMES_WITHOUT_PROGRESS:
            previous_count = stream.chunk_count
            try:
                async for delta in self._read_from_chunk(
                    server, request_id, stream
                ):
                    yield delta
                return
            except aiohttp.ClientConnectorError as error:
                raise _crash_error(server.name) from error
            except (aiohttp.ClientError, TimeoutError):
                without_progress = (
                    0
                    if stream.chunk_count > previous_count
                    else without_progress + 1
                )
        raise errors.BackendFailed(server.name, 'unknown', 'silent stream')

    async def _read_from_chunk(self, server, request_id, stream):
        url = f'http://{server.address}/v1/streams/{request_id}'
        timeout = aiohttp.ClientTimeout(
            total=None,
            connect=CONNECT_TIMEOUT_S,
            sock_read=STREAM_READ_TIMEOUT_S,
        )
        async with self._http_session().get(
            url,
            params={'after': str(stream.chunk_count)},
            timeout=timeout,
            allow_redirects=False,
            headers={'Connection': 'close'},
        ) as response:
            if response.status == 404:
                raise _crash_error(server.name)
            _check_status(server.name, response.status)
            async for delta in stream.read(response):
                yield delta


class _Function(msgspec.Struct):
    name: str | None = None
    arguments: str | None = None


class _CallPart(msgspec.Struct):
    index: int
    id: str | None = None
    function: _Function = msgspec.field(default_factory=_Function)


class _Delta(msgspec.Struct):
    content: str | None = None
    tool_calls: list[_CallPart] | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)


class _PromptDetails(msgspec.Struct):
    cached_tokens: int | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int
    completion_tokens: int
    prompt_tokens_details: _PromptDetails | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []
    usage: _Usage | None = None


class _CompletionStream:
    """Parses the server-sent events of a chat completion.

    Args:
        server: name of the engine.
        answer_tokens: most tokens that it was asked for.
    """

    def __init__(self, server, answer_tokens):
        self._server = server
        self._most_chunks = (
            CHUNKS_WITHOUT_TOKENS + CHUNKS_PER_TOKEN * answer_tokens
        )
        self._text = ''
        self._tool_calls: dict[int, records.ToolCall] = {}
        self._usage: _Usage | None = None
        self._received_bytes = 0
        self._progressed_at_s = asyncio.get_running_loop().time()
        self.chunk_count = 0

    async def read(self, response):
        async for line in http_connection.read_lines(response):
            self._received_bytes += len(line)
            self._check_size()
            self._check_progress()
            if not line.startswith(DATA_FIELD):
                continue
            data = line.removeprefix(DATA_FIELD).strip()
            if data == DONE:
                return
            chunk = self._decode_chunk(data)
            self.chunk_count += 1
            self._progressed_at_s = asyncio.get_running_loop().time()
            text = self._add_chunk(chunk)
            if text:
                yield TextDelta(text)
        raise aiohttp.ClientPayloadError('the stream ended before [DONE]')

    def completion(self):
        if self._usage is None:
            raise errors.BackendFailed(self._server, 'unknown', 'no usage')
        details = self._usage.prompt_tokens_details or _PromptDetails()
        return Completion(
            text=self._text,
            tool_calls=tuple(
                self._tool_calls[key] for key in sorted(self._tool_calls)
            ),
            prompt_tokens=self._usage.prompt_tokens,
            answer_tokens=self._usage.completion_tokens,
            cached_tokens=details.cached_tokens or 0,
        )

    def _check_size(self):
        if (
            self._received_bytes > http_connection.MAX_BODY_BYTES
            or self.chunk_count > self._most_chunks
        ):
            raise errors.BackendFailed(
                self._server, 'unknown', 'the stream is too long'
            )

    def _check_progress(self):
        """Give up a stream that has sent no chunk for too long.

        Comments that keep its connection open are no progress.
        """
        now_s = asyncio.get_running_loop().time()
        if now_s - self._progressed_at_s > STALL_TIMEOUT_S:
            raise errors.BackendFailed(
                self._server, 'unknown', 'the stream makes no progress'
            )

    def _decode_chunk(self, data):
        try:
            return msgspec.json.decode(data, type=_Chunk)
        except msgspec.MsgspecError as error:
            raise errors.BackendFailed(
                self._server, 'unknown', f'malformed chunk: {error}'
            ) from error

    def _add_chunk(self, chunk):
        if chunk.usage is not None:
            self._usage = chunk.usage
        text = ''
        for choice in chunk.choices:
            text += choice.delta.content or ''
            for part in choice.delta.tool_calls or ():
                self._add_call_part(part)
        self._text += text
        return text

    def _add_call_part(self, part):
        call = self._tool_calls.get(part.index, records.ToolCall('', '', ''))
        self._tool_calls[part.index] = records.ToolCall(
            call.call_id + (part.id or ''),
            call.name + (part.function.name or ''),
            call.arguments + (part.function.arguments or ''),
        )


def chat_body(model: str, call: program.CallEngine, session: str) -> dict:
    """Return the body of a chat completion request."""
    return {
        'model': model,
        'messages': list(call.messages),
        'tools': list(_tool_definitions(call)),
        'max_tokens': call.answer_tokens,
        'stream': True,
        'stream_options': {'include_usage': True},
        'user': session,
    }


def _tool_definitions(call):
    for tool in call.tools:
        yield _tool_definition(tool.name, tool.description, 'query')
    if call.can_spawn_agents:
        text = 'Give a task to a sub-agent.'
        yield _tool_definition(program.AGENT_TOOL, text, 'task')


def _tool_definition(name, description, argument):
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


def _encoding(response):
    """Return the encoding of a body; UTF-8 without a known one."""
    with contextlib.suppress(LookupError):
        return codecs.lookup(response.charset or '').name
    return 'utf-8'


def _check_status(server, status):
    """Raise unless the status is a success; 429 and 503 mean not run."""
    if status in (429, 503):
        raise errors.BackendFailed(server, 'no', f'status {status}')
    if status >= 400:
        raise errors.BackendFailed(server, 'unknown', f'status {status}')


def _crash_error(server):
    return errors.BackendFailed(
        server, 'unknown', 'crashed with the request in flight', True
    )
