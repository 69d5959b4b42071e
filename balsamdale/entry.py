"""Access to the system for callers, over HTTP.

Any instance takes any call and forwards it to the program's owner.
"""

from collections import abc as collections_abc
import dataclasses
import json

from aiohttp import web
import msgspec

from balsamdale import console
from balsamdale import errors
from balsamdale import instance
from balsamdale import messages
from balsamdale import owner
from balsamdale import placement
from balsamdale import program

__all__ = ['EntryApi']

ENTRY_TTL_S = 30
ENTRY_COUNT = 3
NAME_LENGTH = 128


class CreateBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `PUT /v1/programs/{id}`."""

    contract: str
    budget_tokens: int = 0
    deadline_s: float = 0.0


class TurnBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/programs/{id}/turns`."""

    text: str


class EntryApi:
    """The HTTP side of one instance.

    Args:
        running: the instance behind it.
    """

    def __init__(self, running: instance.Instance):
        self._instance = running
        self._forwarder = running.forwarder
        self._owned = running.ownership
        self._members = running.members
        self._relay = running.relay
        self._runner: web.AppRunner | None = None

    async def listen(self) -> None:
        """Listen on the instance's entry address."""
        app = web.Application()
        app.add_routes(self.routes())
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        address = self._instance.settings.entry_address
        host, _, port = address.rpartition(':')
        site = web.TCPSite(self._runner, host.strip('[]'), int(port))
        await site.start()

    async def close(self) -> None:
        """Stop listening once open requests are answered."""
        await self._runner.cleanup()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for callers."""
        return [
            web.get('/v1/entry', self._guarded(self._entry)),
            web.put('/v1/programs/{id}', self._guarded(self._create)),
            web.get('/v1/programs/{id}', self._guarded(self._view)),
            web.delete('/v1/programs/{id}', self._guarded(self._end)),
            web.post('/v1/programs/{id}/turns', self._guarded(self._submit)),
            web.get(
                '/v1/programs/{id}/turns/{turn}', self._guarded(self._turn)
            ),
            web.post(
                '/v1/services/{name}/requests', self._guarded(self._request)
            ),
            *console.Console(self._instance, self._guarded).routes(),
            web.get('/healthz', self._healthz),
            web.get('/readyz', self._readyz),
            web.get('/metrics', self._metrics),
        ]

    def _guarded(self, handler):
        async def guarded(request):
            with self._forwarder.call():
                try:
                    return await handler(request)
                except errors.Refused as refused:
                    return _problem(refused)
                except errors.KeyValueUnavailable as error:
                    ran = 'unknown' if error.maybe_applied else 'no'
                    return _problem(
                        errors.Refused(
                            'platform_unavailable', 503, str(error), ran, 2.0
                        )
                    )

        return guarded

    async def _healthz(self, _request):
        name = self._instance.settings.instance_id
        return web.json_response({'instance': name})

    async def _readyz(self, _request):
        is_ready = (
            self._relay.is_ready and not self._instance.endpoint.is_leaving
        )
        status = 200 if is_ready else 503
        return web.json_response({'ready': is_ready}, status=status)

    async def _metrics(self, _request):
        body = self._instance.metrics.text()
        return web.Response(body=body, content_type='text/plain')

    async def _entry(self, request):
        """Tell a caller which addresses to use, in order."""
        caller = request.headers.get('X-Caller', request.remote or '')
        usable = {i.instance_id: i for i in self._members.usable()}
        if not usable:
            raise errors.Refused(
                'leaving', 503, 'no instance takes calls', retry_after_s=1.0
            )
        ranked = placement.rank(f'caller-{caller}', sorted(usable))
        program_id = request.query.get('program')
        if program_id:
            owner_id = self._owned.known_owner(placement.shard_of(program_id))
            ranked.sort(key=lambda name: name != owner_id)
        addresses = [usable[name].entry_address for name in ranked]
        return web.json_response(
            {'addresses': addresses[:ENTRY_COUNT], 'ttl_s': ENTRY_TTL_S}
        )

    async def _create(self, request):
        body = await self._body(request, CreateBody)
        if body.budget_tokens < 0 or body.deadline_s < 0:
            raise errors.Refused('bad_body', 422, 'numbers must be positive')
        message = messages.CreateProgram(
            _name(request.match_info['id']),
            _caller(request),
            body.contract,
            body.budget_tokens,
            body.deadline_s,
        )
        await self._forwarder.request(message.program_id, message)
        return web.json_response({'program': message.program_id}, status=201)

    async def _view(self, request):
        program_id = request.match_info['id']
        view = await self._forwarder.request(
            program_id, messages.FetchProgram(program_id)
        )
        if view.caller != _caller(request):
            raise _wrong_caller()
        return web.json_response(dataclasses.asdict(view))

    async def _end(self, request):
        program_id = request.match_info['id']
        view = await self._forwarder.request(
            program_id, messages.FetchProgram(program_id)
        )
        if view.caller != _caller(request):
            raise _wrong_caller()
        await self._forwarder.request(
            program_id, messages.EndProgram(program_id)
        )
        return web.json_response({'program': program_id, 'ended': True})

    async def _submit(self, request):
        body = await self._body(request, TurnBody)
        message = messages.SubmitTurn(
            program_id=request.match_info['id'],
            caller=_caller(request),
            request_id=_request_id(request),
            digest=program.digest_of(body.text),
            text=body.text,
        )
        events = self._forwarder.forward(message.program_id, message)
        return await self._answer(request, events)

    async def _turn(self, request):
        program_id = request.match_info['id']
        view = await self._forwarder.request(
            program_id, messages.FetchProgram(program_id)
        )
        if view.caller != _caller(request):
            raise _wrong_caller()
        number = request.match_info['turn']
        if not number.isdigit():
            raise errors.Refused('unknown_turn', 404, 'no such turn')
        message = messages.FetchTurn(program_id, int(number))
        events = self._forwarder.forward(program_id, message)
        return await self._answer(request, events)

    async def _request(self, request):
        text = await self._text(request)
        name = request.match_info['name']
        message = messages.ServiceRequest(
            service=name,
            caller=_caller(request),
            request_id=_request_id(request),
            digest=program.digest_of(name, text),
            text=text,
        )
        program_id = owner.request_program_id(message)
        events = self._forwarder.forward(program_id, message)
        return await self._answer(request, events)

    async def _answer(self, request, events):
        if 'text/event-stream' in request.headers.get('Accept', ''):
            return await self._stream(request, events)
        async for event in events:
            if isinstance(event, messages.AnswerFinal):
                return _final_response(event)
        raise errors.Refused('no_answer', 503, 'no answer', 'unknown', 2.0)

    async def _stream(self, request, events):
        first = await anext(events)
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'Cache-Control': 'no-store',
            }
        )
        await response.prepare(request)
        await _write_event(response, first)
        try:
            async for event in events:
                await _write_event(response, event)
        except errors.Refused as refused:
            await _write(response, 'error', _problem_body(refused))
        await response.write_eof()
        return response

    async def _text(self, request):
        limit = self._relay.current_declaration().limits.body_bytes
        data = await request.content.read(limit + 1)
        while len(data) <= limit and not request.content.at_eof():
            data += await request.content.read(limit + 1 - len(data))
        if len(data) > limit:
            raise errors.Refused(
                'body_too_large', 413, f'at most {limit} bytes'
            )
        try:
            return data.decode()
        except UnicodeDecodeError as error:
            raise errors.Refused('bad_body', 400, str(error)) from error

    async def _body(self, request, body_type):
        text = await self._text(request)
        try:
            return msgspec.json.decode(text, type=body_type)
        except msgspec.MsgspecError as error:
            raise errors.Refused('bad_body', 422, str(error)) from error


def _wrong_caller():
    return errors.Refused(
        'wrong_caller', 403, 'the program belongs to another caller'
    )


def _caller(request):
    caller = request.headers.get('X-Caller', '')
    if not caller:
        raise errors.Refused('no_caller', 400, 'X-Caller is missing')
    return _name(caller)


def _request_id(request):
    request_id = request.headers.get('Idempotency-Key', '')
    if not request_id:
        raise errors.Refused(
            'no_idempotency_key', 400, 'Idempotency-Key is missing'
        )
    return _name(request_id)


def _name(text):
    safe = text.replace('-', '').replace('_', '').replace('.', '')
    if not safe.isalnum() or len(text) > NAME_LENGTH:
        raise errors.Refused(
            'bad_name', 400, 'names are letters, digits, dots and dashes'
        )
    return text


def _problem_body(refused):
    return {
        'type': f'urn:balsamdale:{refused.code}',
        'title': refused.code.replace('_', ' '),
        'status': refused.status,
        'detail': refused.detail,
        'code': refused.code,
        'ran': refused.ran,
        'retry_after_s': refused.retry_after_s,
    }


def _problem(refused):
    headers = {}
    if refused.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, round(refused.retry_after_s)))
    return web.Response(
        text=json.dumps(_problem_body(refused)),
        status=refused.status,
        headers=headers,
        content_type='application/problem+json',
    )


FAILURE_STATUS: collections_abc.Mapping[str, int] = {
    'deadline_exceeded': 504,
    'outcome_unknown': 502,
    'backend_failed': 502,
    'overloaded': 503,
    'would_be_late': 503,
    'no_backend_server': 503,
    'retries_exhausted': 503,
}


def _final_response(event):
    if event.outcome != 'ok':
        return _problem(
            errors.Refused(
                event.code,
                FAILURE_STATUS.get(event.code, 422),
                f'turn {event.turn} ended: {event.code}',
                event.ran,
                event.retry_after_s,
            )
        )
    return web.json_response({'turn': event.turn, 'text': event.text})


async def _write_event(response, event):
    names = {
        messages.AnswerDelta: 'delta',
        messages.AnswerRestarted: 'restart',
        messages.AnswerFinal: 'final',
    }
    await _write(response, names[type(event)], dataclasses.asdict(event))


async def _write(response, name, data):
    text = f'event: {name}\ndata: {json.dumps(data)}\n\n'
    await response.write(text.encode())
