"""Stand-in for a model engine with the OpenAI-compatible chat protocol.

Batches up to a number of slots, caches prefixes in limited memory, and gives
answers that depend on the conversation alone. `POST /standin/switch` turns
crashes, silence and delays on.
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
    """Faults and speeds that can be set."""

    prefill_s_per_token: float = 0.00002
    decode_s_per_token: float = 0.002
    crash_on: str = ''
    silent_after: int = 0
    load_lag_s: float = 0.5
    event_gap_every: int = 0


class Stream:
    """The chunks of one answer; it goes on when a reader is gone."""

    def __init__(self):
        self.chunks: list[dict] = []
        self.is_done = False
        self.changed = asyncio.Event()
        self.task: asyncio.Task | None = None

    def add(self, chunk: dict) -> None:
        """Append a chunk and wake readers."""
        self.chunks.append(chunk)
        self.notify_readers()

    def notify_readers(self) -> None:
        """Let readers look again."""
        self.changed.set()
        self.changed = asyncio.Event()


class EngineServer:
    """The engine's state and its HTTP handlers.

    Args:
        name: name of the engine.
        slots: requests that run at once.
        cache_tokens: size of the prefix cache.
        honours_fencing: whether orders with an old number are refused.
    """

    def __init__(
        self, name: str, slots: int, cache_tokens: int, honours_fencing: bool
    ):
        self.name = name
        self.switches = Switches()
        self._slots = asyncio.Semaphore(slots)
        self._cache_tokens = cache_tokens
        self._honours_fencing = honours_fencing
        self._fence = 0
        self._cache: dict[str, int] = collections.OrderedDict()
        self._exported: dict[str, int] = {}
        self._seen: dict[str, int] = {}
        self._streams: dict[str, Stream] = {}
        self._events: list[dict] = []
        self._load = {'running': 0, 'waiting': 0}
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

    async def _send(self, request, stream, index):
        response = web.StreamResponse(
            headers={'Content-Type': 'text/event-stream'}
        )
        await response.prepare(request)
        while True:
            changed = stream.changed
            while index < len(stream.chunks):
                await self._silence(index)
                data = json.dumps(stream.chunks[index])
                index += 1
                await response.write(f'data: {data}\n\n'.encode())
            if stream.is_done:
                break
            await changed.wait()
        await response.write(b'data: [DONE]\n\n')
        return response

    async def _silence(self, index):
        """Keep a connection open without sending, once."""
        if self.switches.silent_after and index >= self.switches.silent_after:
            self.switches.silent_after = 0
            await asyncio.sleep(3600)

    async def _generate(self, stream, body):
        session = body.get('user', '')
        self._waiting += 1
        self._note_load()
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            self._note_load()
            try:
                await self._run(stream, body, session)
            finally:
                self._running -= 1
                self._note_load()
        stream.is_done = True
        stream.notify_readers()

    async def _run(self, stream, body, session):
        prompt = count_tokens(json.dumps(body['messages']))
        cached = min(self._cache.get(session, 0), prompt)
        self.counts['prompt_tokens'] += prompt
        self.counts['cached_tokens'] += cached
        wasted = min(self._seen.get(session, 0), prompt) - cached
        self.counts['wasted_tokens'] += max(0, wasted)
        await asyncio.sleep(
            (prompt - cached) * self.switches.prefill_s_per_token
        )
        text, calls = generate_answer(body)
        answer_tokens = 0
        for word in re.findall(r'\S+\s*', text):
            await asyncio.sleep(self.switches.decode_s_per_token)
            answer_tokens += count_tokens(word)
            stream.add(_chunk({'content': word}))
        for index, call in enumerate(calls):
            answer_tokens += count_tokens(json.dumps(call))
            stream.add(_chunk({'tool_calls': [{'index': index, **call}]}))
        self._keep(session, prompt + answer_tokens)
        usage = {
            'prompt_tokens': prompt,
            'completion_tokens': answer_tokens,
            'total_tokens': prompt + answer_tokens,
            'prompt_tokens_details': {'cached_tokens': cached},
        }
        stream.add({'choices': [], 'usage': usage})

    def _keep(self, session, tokens):
        self._cache.pop(session, None)
        self._cache[session] = tokens
        self._seen[session] = tokens
        self._event('stored', session)
        while sum(self._cache.values()) > self._cache_tokens:
            evicted, _ = self._cache.popitem(last=False)
            self._event('removed', evicted)

    def _event(self, kind, session):
        number = len(self._events)
        gap = self.switches.event_gap_every
        lost = bool(gap) and number % gap == gap - 1
        row = {'sequence': number, 'kind': kind, 'session': session}
        self._events.append({} if lost else row)

    def _note_load(self):
        load = {'running': self._running, 'waiting': self._waiting}
        loop = asyncio.get_running_loop()
        loop.call_later(self.switches.load_lag_s, setattr, self, '_load', load)

    async def _release(self, request):
        session = (await request.json())['session']
        self._exported.pop(session, None)
        if self._cache.pop(session, None) is not None:
            self._event('removed', session)
        self.counts['releases'] += 1
        return web.json_response({})

    async def _export(self, request):
        session = (await request.json())['session']
        if session in self._cache:
            self._exported[session] = self._cache.pop(session)
            self._event('removed', session)
        return web.json_response({})

    async def _import(self, request):
        session = (await request.json())['session']
        if session not in self._exported:
            raise web.HTTPNotFound()
        self._keep(session, self._exported.pop(session))
        return web.json_response({})

    async def _cancel(self, request):
        stream = self._streams.get((await request.json())['id'])
        if stream is not None and stream.task is not None:
            stream.task.cancel()
            self.counts['cancelled'] += 1
        return web.json_response({})

    async def _report_load(self, _request):
        return web.json_response(self._load)

    async def _cache_events(self, request):
        after = int(request.query.get('after', -1))
        rows = [row for row in self._events[after + 1 :] if row]
        return web.json_response({'events': rows})

    async def _order(self, request):
        order = await request.json()
        if self._honours_fencing and order['fencing'] < self._fence:
            raise web.HTTPConflict()
        self._fence = max(self._fence, order['fencing'])
        self.counts['orders'] += 1
        return web.json_response({'fencing': self._fence})

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
                'sessions': {**self._exported, **self._cache},
                **self.counts,
            }
        )


def count_tokens(text: str) -> int:
    """Count the tokens of a text."""
    return max(1, len(text.encode()) // BYTES_PER_TOKEN)


def _chunk(delta):
    return {'choices': [{'index': 0, 'delta': delta}]}


def generate_answer(body: dict) -> tuple[str, list[dict]]:
    """Return the text or the tool calls that follow a conversation."""
    messages = body['messages']
    last_user = max(i for i, m in enumerate(messages) if m['role'] == 'user')
    text = messages[last_user]['content']
    done = sum(m['role'] == 'tool' for m in messages[last_user:])
    wanted = list(_wanted(text, body.get('tools', ())))
    if done < len(wanted):
        return '', [_tool_call(messages, wanted[done], text)]
    return _prose(messages, body['max_tokens']), []


def _wanted(text, tools):
    """Yield the tools whose words all occur in a text, in order.

    A text with 'loop' asks for its first tool for ever.
    """
    words = set(re.findall(r'\w+', text.lower()))
    for tool in tools:
        name = tool['function']['name']
        if all(word in words for word in name.split('_')):
            yield from [tool] * (100 if 'loop' in words else 1)


def _tool_call(messages, tool, text):
    function = tool['function']
    argument = function['parameters']['required'][0]
    value = text.replace('agent', 'helper') if argument == 'task' else text
    number = f'{len(messages)}-{_seed(messages)[:6]}'
    return {
        'id': f'call-{number}',
        'type': 'function',
        'function': {
            'name': function['name'],
            'arguments': json.dumps({argument: value}),
        },
    }


def _prose(messages, max_tokens):
    seed = int(_seed(messages), 16)
    text = ' '.join(
        SENTENCES[(seed >> (3 * index)) % len(SENTENCES)] for index in range(3)
    )
    return text[: max_tokens * BYTES_PER_TOKEN]


def _seed(messages):
    data = json.dumps(messages, sort_keys=True).encode()
    return hashlib.blake2b(data, digest_size=8).hexdigest()
