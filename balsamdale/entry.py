"""Access to the system for callers, over HTTP.

Any instance takes any call and forwards it to the program's owner.
"""

import asyncio
from collections import abc as collections_abc
import dataclasses
import json
import random

from aiohttp import web
import msgspec

from balsamdale import configuration
from balsamdale import errors
from balsamdale import link
from balsamdale import membership
from balsamdale import messages
from balsamdale import owner
from balsamdale import ownership
from balsamdale import placement
from balsamdale import program
from balsamdale import retry

__all__ = ['Entry']

ENTRY_TTL_S = 30
ENTRY_COUNT = 3
FORWARD_TRIES = 30
NAME_LENGTH = 128
PLATFORM_UNAVAILABLE = 'platform_unavailable'


class CreateBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `PUT /v1/programs/{id}`."""

    contract: str
    budget_tokens: int = 0
    deadline_s: float = 0.0


class TurnBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/programs/{id}/turns`."""

    text: str


class Entry:
    """The HTTP side of one instance.

    Args:
        links: connections to program owners.
        owned: knows the owners of shards.
        members: the live instances.
        relay: the declaration in force.
        generator: source of random choices.
    """

    def __init__(
        self,
        links: link.Links,
        owned: ownership.Ownership,
        members: membership.Membership,
        relay: configuration.Relay,
        generator: random.Random,
    ):
        self._links = links
        self._owned = owned
        self._members = members
        self._relay = relay
        self._generator = generator
        self.in_flight = 0
        self.served = 0

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
        ]

    def _guarded(self, handler):
        async def guarded(request):
            self.in_flight += 1
            try:
                return await handler(request)
            except errors.Refused as refused:
                return _problem(refused)
            finally:
                self.in_flight -= 1
                self.served += 1

        return guarded

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
            owner_id = self._owned.hint(placement.shard_of(program_id))
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
        await self._ask(message.program_id, message)
        return web.json_response({'program': message.program_id}, status=201)

    async def _view(self, request):
        program_id = request.match_info['id']
        view = await self._ask(program_id, messages.FetchProgram(program_id))
        if view.caller != _caller(request):
            raise _wrong_caller()
        return web.json_response(dataclasses.asdict(view))

    async def _end(self, request):
        program_id = request.match_info['id']
        view = await self._ask(program_id, messages.FetchProgram(program_id))
        if view.caller != _caller(request):
            raise _wrong_caller()
        await self._ask(program_id, messages.EndProgram(program_id))
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
        events = self._forward(message.program_id, message)
        return await self._answer(request, events)

    async def _turn(self, request):
        program_id = request.match_info['id']
        view = await self._ask(program_id, messages.FetchProgram(program_id))
        if view.caller != _caller(request):
            raise _wrong_caller()
        number = request.match_info['turn']
        if not number.isdigit():
            raise errors.Refused('unknown_turn', 404, 'no such turn')
        message = messages.FetchTurn(program_id, int(number))
        events = self._forward(program_id, message)
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
        events = self._forward(program_id, message)
        return await self._answer(request, events)

    async def _ask(self, program_id, message):
        async for reply in self._forward(program_id, message):
            return reply

    async def _forward(self, program_id, message):
        """Send a message to the program's owner, whoever that becomes.

        Repeating it is safe: an owner recognises what it has done. The
        offset of an answer goes on where the stream broke.
        """
        number = placement.shard_of(program_id)
        may_have_run = False
        for attempt in range(1, FORWARD_TRIES + 1):
            try:
                owner_id = await self._owned.find(number)
                async for reply in self._links.stream(owner_id, message):
                    if isinstance(reply, messages.NotOwnerReply):
                        self._note_owner(reply)
                        break
                    if isinstance(reply, messages.Refusal):
                        raise _refused(reply, may_have_run)
                    message = _advance(message, reply)
                    yield reply
                    if not isinstance(
                        reply,
                        (messages.AnswerDelta, messages.AnswerRestarted),
                    ):
                        return
            except errors.LinkError:
                may_have_run = True
            except errors.KeyValueUnavailable as error:
                ran = 'unknown' if may_have_run else 'no'
                raise errors.Refused(
                    PLATFORM_UNAVAILABLE, 503, str(error), ran, 2.0
                ) from error
            await asyncio.sleep(retry.delay_s(attempt, self._generator))
        raise errors.Refused(
            'owner_unreachable', 503, 'no owner answers', 'unknown', 2.0
        )

    def _note_owner(self, reply):
        if reply.owner_id:
            known = self._owned.owners().get(reply.shard, (0, ''))
            self._owned.learn(reply.shard, known[0], reply.owner_id)
        else:
            self._owned.unlearn(reply.shard)

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
        limit = self._relay.declared().limits.body_bytes
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


def _advance(message, reply):
    """Let a repeated message go on behind what was delivered."""
    if not isinstance(message, (messages.SubmitTurn, messages.FetchTurn)):
        return message
    if isinstance(reply, messages.AnswerRestarted):
        return dataclasses.replace(message, offset=0)
    if isinstance(reply, messages.AnswerDelta):
        offset = reply.offset + len(reply.text)
        return dataclasses.replace(message, offset=offset)
    return message


def _refused(reply, may_have_run):
    """Turn a reply into an error.

    An instance that could not read the journal does not know what an earlier
    owner did with the same request.
    """
    doubtful = may_have_run and reply.code == PLATFORM_UNAVAILABLE
    return errors.Refused(
        reply.code,
        reply.status,
        reply.detail,
        'unknown' if doubtful else reply.ran,
        reply.retry_after_s,
    )


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
