"""Stand-in for a model engine with the OpenAI-compatible chat protocol.

Runs as many requests at once as it has slots, caches prefixes in limited
memory and generates answers that depend on the conversation alone.
`POST /standin/switch` turns crashes, silence and delays on.
"""

import asyncio
import collections
import dataclasses
import hashlib
import json
import os
import re

from aiohttp import web

__all__ = ['EngineServer', 'generate_answer', 'count_tokens']

BYTES_PER_TOKEN = 4
SENTENCES = (
    'The birch count stays moderate until noon.',
    'Grass pollen rises from the south after the rain.',
    'Take the usual dose before leaving home.',
    'The stock covers three days at this rate.',
    'Crew two and the crane are free from Thursday.',
    'The isolation of the feed pump is confirmed.',
    'Spare seals arrive one day before the outage.',
    'Schools may keep the windows closed until ten.',
)


@dataclasses.dataclass
class Switches:
    """Faults and speeds that can be set.

    `silent_after` stops a response once, after that many chunks;
    `event_gap_every` loses each n-th cache event.
    """

    prefill_s_per_token: float = 0.00002
    decode_s_per_token: float = 0.002
    crash_on: str = ''
    silent_after: int = 0
    load_lag_s: float = 0.5
    event_gap_every: int = 0


class Stream:
    """The chunks of one answer; generation outlasts its readers."""

    def __init__(self):
        self.chunks: list[dict] = []
        self.is_done = False
        self.changed = asyncio.Event()
        self.task: asyncio.Task | None = None

    def add(self, chunk: dict) -> None:
        """Append a chunk and notify the readers."""
        self.chunks.append(chunk)
        self.notify_readers()

    def notify_readers(self) -> None:
        """Wake every reader that waits for a change."""
        self.changed.set()
        self.changed = asyncio.Event()


class EngineServer:
    """The engine's state and its HTTP handlers.

    Args:
        name: name of the engine.
        slots: requests that run at once.
        cache_tokens: size of the prefix cache.
        honours_fencing: whether orders with an old fencing number are refused.
    """

    def __init__(
        self, name: str, slots: int, cache_tokens: int, honours_fencing: bool
    ):
        self.name = name
        self.switches = Switches()
        self._slots = asyncio.Semaphore(slots)
        self._cache_size_tokens = cache_tokens
        self._honours_fencing = honours_fencing
        self._highest_fencing = 0
        self._cached_tokens: dict[str, int] = collections.OrderedDict()
        self._exported_tokens: dict[str, int] = {}
        self._seen_tokens: dict[str, int] = {}
        self._streams: dict[str, Stream] = {}
        self._cache_event_log: list[dict] = []
        self._reported_load = {'running': 0, 'waiting': 0}
        self._running = 0
        self._waiting = 0
        self.counts = collections.Counter()

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.add_routes(
            [
                web.post('/v1/chat/completions', self._complete),
                web.get('/v1/streams/{id}', self._resume),
                web.get('/health', self._health),
                web.post('/admin/release', self._release),
                web.post('/admin/export', self._export),
                web.post('/admin/import', self._import),
                web.post('/admin/cancel', self._cancel),
                web.get('/admin/load', self._report_load),
                web.get('/admin/cache_events', self._cache_events),
                web.post('/admin/orders', self._order),
                web.post('/standin/switch', self._switch),
                web.get('/standin/counts', self._report_counts),
            ]
        )
        return app

    async def _complete(self, request):
        body = await request.json()
        crash_on = self.switches.crash_on
        if crash_on and crash_on in json.dumps(body['messages']):
            os._exit(1)
        stream = Stream()
        request_id = request.headers['X-Request-Id']
        self._streams[request_id] = stream
        self.counts['requests'] += 1
        stream.task = asyncio.create_task(self._generate(stream, body))
        return await self._send(request, stream, 0)

    async def _resume(self, request):
        stream = self._streams.get(request.match_info['id'])
        if stream is None:
            raise web.HTTPNotFound()
        self.counts['resumed'] += 1
        return await self._send(request, stream, int(request.query['after']))

    async def _send(self, request, stream, chunk_index):
        response = web.StreamResponse(
            headers={'Content-Type': 'text/event-stream'}
        )
        await response.prepare(request)
        while True:
            changed = stream.changed
            while chunk_index < len(stream.chunks):
                await self._go_silent_once(chunk_index)
                data = json.dumps(stream.chunks[chunk_index])
                chunk_index += 1
                await response.write(f'data: {data}\n\n'.encode())
            if stream.is_done:
                break
            await changed.wait()
        await response.write(b'data: [DONE]\n\n')
        return response

    async def _go_silent_once(self, chunk_index):
        """Stop sending once but keep the connection open."""
        if (
            self.switches.silent_after
            and chunk_index >= self.switches.silent_after
        ):
            self.switches.silent_after = 0
            await asyncio.sleep(3600)

    async def _generate(self, stream, body):
        session = body.get('user', '')
        self._waiting += 1
        self._schedule_load_report()
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            self._schedule_load_report()
            try:
                await self._generate_chunks(stream, body, session)
            finally:
                self._running -= 1
                self._schedule_load_report()
        stream.is_done = True
        stream.notify_readers()

    async def _generate_chunks(self, stream, body, session):
        prompt_tokens = count_tokens(json.dumps(body['messages']))
        cached_tokens = min(self._cached_tokens.get(session, 0), prompt_tokens)
        self.counts['prompt_tokens'] += prompt_tokens
        self.counts['cached_tokens'] += cached_tokens
        wasted_tokens = (
            min(self._seen_tokens.get(session, 0), prompt_tokens)
            - cached_tokens
        )
        self.counts['wasted_tokens'] += max(0, wasted_tokens)
        await asyncio.sleep(
            (prompt_tokens - cached_tokens) * self.switches.prefill_s_per_token
        )
        text, tool_calls = generate_answer(body)
        answer_tokens = 0
        for word in re.findall(r'\S+\s*', text):
            await asyncio.sleep(self.switches.decode_s_per_token)
            answer_tokens += count_tokens(word)
            stream.add(_chunk({'content': word}))
        for index, tool_call in enumerate(tool_calls):
            answer_tokens += count_tokens(json.dumps(tool_call))
            stream.add(_chunk({'tool_calls': [{'index': index, **tool_call}]}))
        self._cache_prefix(session, prompt_tokens + answer_tokens)
        usage = {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': answer_tokens,
            'total_tokens': prompt_tokens + answer_tokens,
            'prompt_tokens_details': {'cached_tokens': cached_tokens},
        }
        stream.add({'choices': [], 'usage': usage})

    def _cache_prefix(self, session, tokens):
        self._cached_tokens.pop(session, None)
        self._cached_tokens[session] = tokens
        self._seen_tokens[session] = tokens
        self._add_cache_event('stored', session)
        while sum(self._cached_tokens.values()) > self._cache_size_tokens:
            evicted_session, _ = self._cached_tokens.popitem(last=False)
            self._add_cache_event('removed', evicted_session)

    def _add_cache_event(self, kind, session):
        sequence = len(self._cache_event_log)
        interval = self.switches.event_gap_every
        is_lost = bool(interval) and sequence % interval == interval - 1
        event = {'sequence': sequence, 'kind': kind, 'session': session}
        self._cache_event_log.append({} if is_lost else event)

    def _schedule_load_report(self):
        load = {'running': self._running, 'waiting': self._waiting}
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.switches.load_lag_s, setattr, self, '_reported_load', load
        )

    async def _release(self, request):
        session = (await request.json())['session']
        self._exported_tokens.pop(session, None)
        if self._cached_tokens.pop(session, None) is not None:
            self._add_cache_event('removed', session)
        self.counts['releases'] += 1
        return web.json_response({})

    async def _export(self, request):
        session = (await request.json())['session']
        if session in self._cached_tokens:
            self._exported_tokens[session] = self._cached_tokens.pop(session)
            self._add_cache_event('removed', session)
        return web.json_response({})

    async def _import(self, request):
        session = (await request.json())['session']
        if session not in self._exported_tokens:
            raise web.HTTPNotFound()
        self._cache_prefix(session, self._exported_tokens.pop(session))
        return web.json_response({})

    async def _cancel(self, request):
        stream = self._streams.get((await request.json())['id'])
        if stream is not None and stream.task is not None:
            stream.task.cancel()
            self.counts['cancelled'] += 1
        return web.json_response({})

    async def _report_load(self, _request):
        return web.json_response(self._reported_load)

    async def _cache_events(self, request):
        after = int(request.query.get('after', -1))
        events = [
            event for event in self._cache_event_log[after + 1 :] if event
        ]
        return web.json_response({'events': events})

    async def _order(self, request):
        order = await request.json()
        if self._honours_fencing and order['fencing'] < self._highest_fencing:
            raise web.HTTPConflict()
        self._highest_fencing = max(self._highest_fencing, order['fencing'])
        self.counts['orders'] += 1
        return web.json_response({'fencing': self._highest_fencing})

    async def _health(self, _request):
        return web.json_response({'name': self.name})

    async def _switch(self, request):
        for name, value in (await request.json()).items():
            setattr(self.switches, name, value)
        return web.json_response(dataclasses.asdict(self.switches))

    async def _report_counts(self, _request):
        return web.json_response(
            {
                'name': self.name,
                'sessions': {**self._exported_tokens, **self._cached_tokens},
                **self.counts,
            }
        )


def count_tokens(text: str) -> int:
    """Count the tokens of a text."""
    return max(1, len(text.encode()) // BYTES_PER_TOKEN)


def _chunk(delta):
    return {'choices': [{'index': 0, 'delta': delta}]}


def generate_answer(body: dict) -> tuple[str, list[dict]]:
    """Return the text or the tool calls that follow a conversation.

    The result depends on the conversation alone.
    """
    messages = body['messages']
    last_user = max(
        index
        for index, message in enumerate(messages)
        if message['role'] == 'user'
    )
    text = messages[last_user]['content']
    finished_calls = sum(
        message['role'] == 'tool' for message in messages[last_user:]
    )
    wanted_tools = list(_wanted_tools(text, body.get('tools', ())))
    if finished_calls < len(wanted_tools):
        return '', [_tool_call(messages, wanted_tools[finished_calls], text)]
    return _generate_text(messages, body['max_tokens']), []


def _wanted_tools(text, tools):
    """Yield the tools whose words all occur in a text, in order.

    A text with the word 'loop' yields its first tool 100 times in a row.
    """
    words = set(re.findall(r'\w+', text.lower()))
    for tool in tools:
        name = tool['function']['name']
        if all(word in words for word in name.split('_')):
            yield from [tool] * (100 if 'loop' in words else 1)


def _tool_call(messages, tool, text):
    function = tool['function']
    argument_name = function['parameters']['required'][0]
    argument_value = (
        text.replace('agent', 'helper') if argument_name == 'task' else text
    )
    id_suffix = f'{len(messages)}-{_conversation_digest(messages)[:6]}'
    return {
        'id': f'call-{id_suffix}',
        'type': 'function',
        'function': {
            'name': function['name'],
            'arguments': json.dumps({argument_name: argument_value}),
        },
    }


def _generate_text(messages, max_tokens):
    digest = int(_conversation_digest(messages), 16)
    text = ' '.join(
        SENTENCES[(digest >> (3 * index)) % len(SENTENCES)]
        for index in range(3)
    )
    return text[: max_tokens * BYTES_PER_TOKEN]


def _conversation_digest(messages):
    data = json.dumps(messages, sort_keys=True).encode()
    return hashlib.blake2b(data, digest_size=8).hexdigest()
