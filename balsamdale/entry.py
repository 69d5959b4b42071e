"""HTTP API for callers that run programs.

Every instance serves it and forwards each call to the program's owner.
Requests to routed services arrive at `listener` instead.
"""

from collections import abc as collections_abc
import dataclasses
import json

from absl import logging
from aiohttp import web
import msgspec

from balsamdale import connection_gate
from balsamdale import console
from balsamdale import errors
from balsamdale import http_server
from balsamdale import instance
from balsamdale import messages
from balsamdale import owner
from balsamdale import placement
from balsamdale import program
from balsamdale import routes
from balsamdale.scheduling import memory

__all__ = ['EntryApi']

ENTRY_ADDRESSES_TTL_S = 30
MAX_ENTRY_ADDRESSES = 3
MAX_NAME_CHARS = 128
# Callers keep connections between the turns of their programs.
CLIENT_LIMITS = routes.Limits(header_timeout_s=10.0, idle_timeout_s=75.0)
# Time for open requests to end when the API closes.
CLOSE_TIMEOUT_S = 60.0


class CreateBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `PUT /v1/programs/{id}`."""

    contract: str
    budget_tokens: int = 0
    deadline_s: float = 0.0


class TurnBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/programs/{id}/turns`."""

    text: str


class EntryApi:
    """HTTP API of one instance, for callers and operators.

    Args:
        served_instance: the instance that handles the calls.
    """

    def __init__(self, served_instance: instance.Instance):
        self._instance = served_instance
        self._forwarder = served_instance.forwarder
        self._ownership = served_instance.ownership
        self._members = served_instance.members
        self._relay = served_instance.relay
        self._runner: web.AppRunner | None = None
        self._server: http_server.HttpServer | None = None
        self._gate = connection_gate.create(
            memory.MemoryBudget(0), CLIENT_LIMITS, record_event=_log_event
        )
        for name, (description, read) in self._gate.gauges().items():
            served_instance.metrics.add_gauge(
                f'balsamdale_{name}', description, read
            )

    async def listen(self) -> None:
        """Listen on the instance's entry address."""
        app = web.Application()
        app.add_routes(self.routes())
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        self._server = http_server.HttpServer(
            self._runner.server.request_handler,
            self._gate,
            request_factory=self._runner.server.request_factory,
        )
        await self._server.listen(self._instance.settings.entry_address)

    async def close(self) -> None:
        """Stop listening once open requests have their response."""
        await self._server.close(CLOSE_TIMEOUT_S)
        self._gate.cancel()
        await self._runner.cleanup()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for callers, operators and probes."""
        return [
            web.get(
                '/v1/entry', self._handle_errors(self._list_entry_addresses)
            ),
            web.put(
                '/v1/programs/{id}', self._handle_errors(self._create_program)
            ),
            web.get(
                '/v1/programs/{id}', self._handle_errors(self._view_program)
            ),
            web.delete(
                '/v1/programs/{id}', self._handle_errors(self._end_program)
            ),
            web.post(
                '/v1/programs/{id}/turns',
                self._handle_errors(self._submit_turn),
            ),
            web.get(
                '/v1/programs/{id}/turns/{turn}',
                self._handle_errors(self._fetch_turn),
            ),
            web.post(
                '/v1/services/{name}/requests',
                self._handle_errors(self._request_service),
            ),
            *console.Console(self._instance, self._handle_errors).routes(),
            web.get('/healthz', self._healthz),
            web.get('/readyz', self._readyz),
            web.get('/metrics', self._metrics),
        ]

    def _handle_errors(self, handler):
        """Wrap a handler: count calls, turn errors into problem details."""

        async def handle(request):
            with self._forwarder.track_call():
                try:
                    return await handler(request)
                except errors.Refused as refused:
                    return _problem_response(refused)
                except errors.KeyValueUnavailable as error:
                    ran = 'unknown' if error.maybe_applied else 'no'
                    return _problem_response(
                        errors.Refused(
                            'platform_unavailable', 503, str(error), ran, 2.0
                        )
                    )

        return handle

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

    async def _list_entry_addresses(self, request):
        """Respond with the addresses that a caller should use, in order."""
        caller = request.headers.get('X-Caller', request.remote or '')
        usable_instances = {i.instance_id: i for i in self._members.usable()}
        if not usable_instances:
            raise errors.Refused(
                'leaving', 503, 'no instance takes calls', retry_after_s=1.0
            )
        ranked_ids = placement.rank(
            f'caller-{caller}', sorted(usable_instances)
        )
        program_id = request.query.get('program')
        if program_id:
            owner_id = self._ownership.known_owner(
                placement.shard_of(program_id)
            )
            ranked_ids.sort(key=lambda name: name != owner_id)
        addresses = [
            usable_instances[name].entry_address for name in ranked_ids
        ]
        return web.json_response(
            {
                'addresses': addresses[:MAX_ENTRY_ADDRESSES],
                'ttl_s': ENTRY_ADDRESSES_TTL_S,
            }
        )

    async def _create_program(self, request):
        body = await self._read_body(request, CreateBody)
        if body.budget_tokens < 0 or body.deadline_s < 0:
            raise errors.Refused('bad_body', 422, 'numbers must be positive')
        message = messages.CreateProgram(
            _check_name(request.match_info['id']),
            _read_caller(request),
            body.contract,
            body.budget_tokens,
            body.deadline_s,
        )
        await self._forwarder.request(message.program_id, message)
        return web.json_response({'program': message.program_id}, status=201)

    async def _view_program(self, request):
        program_id = request.match_info['id']
        view = await self._forwarder.request(
            program_id, messages.FetchProgram(program_id)
        )
        if view.caller != _read_caller(request):
            raise _build_wrong_caller()
        return web.json_response(dataclasses.asdict(view))

    async def _end_program(self, request):
        program_id = request.match_info['id']
        view = await self._forwarder.request(
            program_id, messages.FetchProgram(program_id)
        )
        if view.caller != _read_caller(request):
            raise _build_wrong_caller()
        await self._forwarder.request(
            program_id, messages.EndProgram(program_id)
        )
        return web.json_response({'program': program_id, 'ended': True})

    async def _submit_turn(self, request):
        body = await self._read_body(request, TurnBody)
        message = messages.SubmitTurn(
            program_id=request.match_info['id'],
            caller=_read_caller(request),
            request_id=_read_request_id(request),
            digest=program.digest_of(body.text),
            text=body.text,
        )
        events = self._forwarder.forward(message.program_id, message)
        return await self._respond(request, events)

    async def _fetch_turn(self, request):
        program_id = request.match_info['id']
        view = await self._forwarder.request(
            program_id, messages.FetchProgram(program_id)
        )
        if view.caller != _read_caller(request):
            raise _build_wrong_caller()
        turn_number = request.match_info['turn']
        if not turn_number.isdigit():
            raise errors.Refused('unknown_turn', 404, 'no such turn')
        message = messages.FetchTurn(program_id, int(turn_number))
        events = self._forwarder.forward(program_id, message)
        return await self._respond(request, events)

    async def _request_service(self, request):
        text = await self._read_text(request)
        name = request.match_info['name']
        message = messages.ServiceRequest(
            service=name,
            caller=_read_caller(request),
            request_id=_read_request_id(request),
            digest=program.digest_of(name, text),
            text=text,
        )
        program_id = owner.request_program_id(message)
        events = self._forwarder.forward(program_id, message)
        return await self._respond(request, events)

    async def _respond(self, request, events):
        if 'text/event-stream' in request.headers.get('Accept', ''):
            return await self._stream_events(request, events)
        async for event in events:
            if isinstance(event, messages.AnswerFinal):
                return _final_response(event)
        raise errors.Refused('no_answer', 503, 'no answer', 'unknown', 2.0)

    async def _stream_events(self, request, events):
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
            await _write_sse(response, 'error', _problem_body(refused))
        await response.write_eof()
        return response

    async def _read_text(self, request):
        max_bytes = self._relay.current_declaration().limits.body_bytes
        data = await request.content.read(max_bytes + 1)
        while len(data) <= max_bytes and not request.content.at_eof():
            data += await request.content.read(max_bytes + 1 - len(data))
        if len(data) > max_bytes:
            raise errors.Refused(
                'body_too_large',
                413,
                f'at most {max_bytes} bytes',
            )
        try:
            return data.decode()
        except UnicodeDecodeError as error:
            raise errors.Refused('bad_body', 400, str(error)) from error

    async def _read_body(self, request, body_type):
        text = await self._read_text(request)
        try:
            return msgspec.json.decode(text, type=body_type)
        except msgspec.MsgspecError as error:
            raise errors.Refused('bad_body', 422, str(error)) from error


def _build_wrong_caller():
    return errors.Refused(
        'wrong_caller', 403, 'the program belongs to another caller'
    )


def _read_caller(request):
    caller = request.headers.get('X-Caller', '')
    if not caller:
        raise errors.Refused('no_caller', 400, 'X-Caller is missing')
    return _check_name(caller)


def _read_request_id(request):
    request_id = request.headers.get('Idempotency-Key', '')
    if not request_id:
        raise errors.Refused(
            'no_idempotency_key', 400, 'Idempotency-Key is missing'
        )
    return _check_name(request_id)


def _check_name(text):
    letters = text.replace('-', '').replace('_', '').replace('.', '')
    if not letters.isalnum() or len(text) > MAX_NAME_CHARS:
        raise errors.Refused(
            'bad_name',
            400,
            'names are letters, digits, dots and dashes',
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


def _problem_response(refused):
    headers = {}
    if refused.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, round(refused.retry_after_s)))
    return web.Response(
        text=json.dumps(_problem_body(refused)),
        status=refused.status,
        headers=headers,
        content_type='application/problem+json',
    )


HTTP_STATUS_BY_CODE: collections_abc.Mapping[str, int] = {
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
        return _problem_response(
            errors.Refused(
                event.code,
                HTTP_STATUS_BY_CODE.get(event.code, 422),
                f'turn {event.turn} ended: {event.code}',
                event.ran,
                event.retry_after_s,
            )
        )
    return web.json_response({'turn': event.turn, 'text': event.text})


async def _write_event(response, event):
    event_names = {
        messages.AnswerDelta: 'delta',
        messages.AnswerRestarted: 'restart',
        messages.AnswerFinal: 'final',
    }
    await _write_sse(
        response, event_names[type(event)], dataclasses.asdict(event)
    )


async def _write_sse(response, name, data):
    text = f'event: {name}\ndata: {json.dumps(data)}\n\n'
    await response.write(text.encode())


def _log_event(event, **fields):
    logging.warning('entry: %s %s', event, fields)
