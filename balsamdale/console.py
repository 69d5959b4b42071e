"""Access to the system for operators, over HTTP.

Any instance answers for the whole deployment.
"""

from collections import abc as collections_abc
import dataclasses
import time
import uuid

from aiohttp import web
import msgspec

from balsamdale import burn_rate
from balsamdale import codec
from balsamdale import configuration
from balsamdale import errors
from balsamdale import instance
from balsamdale import messages
from balsamdale import plan

__all__ = ['Console']

PLAN_PREFIX = 'balsamdale/plans/'
PLAN_BYTES = 1000000


class PlanBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/operator/plans`."""

    operator: str
    kind: str
    target: str = ''
    value: str = ''


class ConfirmBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/operator/plans/{id}/confirm`."""

    operator: str


class Console:
    """The operators' side of one instance.

    Args:
        running: the instance behind it.
        guarded: wraps a handler so that refusals become problem details.
    """

    def __init__(
        self,
        running: instance.Instance,
        guarded: collections_abc.Callable,
    ):
        self._instance = running
        self._store = running.dependencies.store
        self._clock = running.dependencies.clock
        self._guarded = guarded

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for operators."""
        root = '/v1/operator'
        rows = (
            (web.get, f'{root}/status', self._status),
            (web.get, f'{root}/declaration', self._declaration),
            (web.get, f'{root}/programs', self._programs),
            (web.get, f'{root}/programs/{{id}}', self._explain),
            (web.get, f'{root}/burn', self._burn),
            (web.post, f'{root}/plans', self._plan),
            (web.get, f'{root}/plans/{{id}}', self._show_plan),
            (web.post, f'{root}/plans/{{id}}/confirm', self._confirm),
            (web.delete, f'{root}/plans/{{id}}', self._abandon),
        )
        return [
            method(path, self._guarded(handler))
            for method, path, handler in rows
        ]

    async def _status(self, _request):
        members = self._instance.members
        relay = self._instance.relay
        lists = await self._instance.request_all(messages.ListPrograms())
        programs = _all_programs(lists)
        head, revision = await self._head()
        return _json(
            {
                'revision_in_force': relay.revision,
                'revision_accepted': revision,
                'last_change': _change(head),
                'instances': {
                    name: members.status(name)
                    for name in sorted(members.instances)
                },
                'not_answering': sorted(set(members.instances) - set(lists)),
                'programs': len(programs),
                'programs_short_of_copies': sum(
                    row.copies < 3 for row in programs
                ),
                'leaving_servers': [
                    server.name
                    for server in relay.current_declaration().backend_servers
                    if server.state == 'leaving'
                ],
            }
        )

    async def _head(self):
        """Return the head, or nothing while the store is away."""
        try:
            return await configuration.fetch_head(self._store)
        except errors.KeyValueUnavailable:
            return None, -1

    async def _declaration(self, _request):
        relay = self._instance.relay
        return _json({'revision': relay.revision, 'text': relay.text})

    async def _programs(self, _request):
        lists = await self._instance.request_all(messages.ListPrograms())
        rows = [dataclasses.asdict(row) for row in _all_programs(lists)]
        return _json({'programs': rows})

    async def _explain(self, request):
        program_id = request.match_info['id']
        view = await self._instance.forwarder.request(
            program_id, messages.FetchProgram(program_id)
        )
        return _json(dataclasses.asdict(view))

    async def _burn(self, _request):
        replies = await self._instance.request_all(messages.BurnRequest())
        parts = (row for reply in replies.values() for row in reply.counts)
        declared = self._instance.relay.current_declaration()
        rows = burn_rate.compute_rates(burn_rate.merge_counts(parts), declared)
        return _json({'rates': [dataclasses.asdict(row) for row in rows]})

    async def _plan(self, request):
        body = await _body(request, PlanBody)
        relay = self._instance.relay
        head, revision = await configuration.fetch_head(self._store)
        if revision != relay.revision:
            raise errors.Refused(
                'configuration_moving',
                409,
                'a change is coming into force',
                retry_after_s=2.0,
            )
        made = plan.prepare(
            await self._intent(body, head),
            relay.text,
            revision,
            await self._affected(),
            uuid.uuid4().hex[:8],
            body.operator,
            self._clock(),
        )
        value = codec.encode(made)
        if len(value) > PLAN_BYTES:
            raise errors.Refused('plan_too_large', 413, 'plan smaller parts')
        await self._store.compare_and_swap(
            PLAN_PREFIX + made.plan_id, value, 0
        )
        return _json(_plan_view(made), 201)

    async def _intent(self, body, head):
        if body.kind != 'undo':
            return plan.parse_intent(body.kind, body.target, body.value)
        if head is None or not head.previous:
            raise errors.Refused('nothing_to_undo', 409, 'no change before')
        text = await configuration.fetch_text(self._store, head.previous)
        return plan.Undo(text, head.summary)

    async def _affected(self):
        lists = await self._instance.request_all(messages.ListPrograms())
        by_contract = {}
        for row in _all_programs(lists):
            by_contract.setdefault(row.contract, []).append(row.caller)
        return [
            plan.Affected(contract, len(callers), len(set(callers)))
            for contract, callers in sorted(by_contract.items())
        ]

    async def _show_plan(self, request):
        return _json(_plan_view((await self._load(request))[0]))

    async def _confirm(self, request):
        body = await _body(request, ConfirmBody)
        held, _ = await self._load(request)
        result = await configuration.accept(
            self._store,
            held.text,
            held.base_revision,
            body.operator,
            held.summary,
            self._clock(),
            held.plan_id,
        )
        if isinstance(result, configuration.Conflict):
            raise _outdated(result)
        return _json({'revision': result.revision, 'summary': held.summary})

    async def _abandon(self, request):
        held, pair = await self._load(request)
        gone = dataclasses.replace(held, expires_at_s=0.0)
        await self._store.compare_and_swap(
            pair.key, codec.encode(gone), pair.revision
        )
        return _json({'abandoned': held.plan_id})

    async def _load(self, request):
        plan_id = request.match_info['id']
        pair = await self._store.get(PLAN_PREFIX + plan_id)
        if pair is None:
            raise errors.Refused('unknown_plan', 404, f'no plan {plan_id}')
        held = codec.decode(pair.value)
        head, _ = await configuration.fetch_head(self._store)
        confirmed = head is not None and head.change_id == plan_id
        if held.expires_at_s <= self._clock() and not confirmed:
            raise errors.Refused('plan_expired', 410, 'make the plan again')
        return held, pair


def _all_programs(lists):
    return [row for reply in lists.values() for row in reply.programs]


def _change(head):
    if head is None:
        return None
    return {
        'operator': head.operator,
        'summary': head.summary,
        'at': _clock_text(head.at_s),
    }


def _clock_text(at_s):
    return time.strftime('%Y-%m-%d %H:%M:%S UTC', time.gmtime(at_s))


def _outdated(conflict):
    """Tell the loser of a race who changed what, and when."""
    detail = 'the configuration changed since the plan was made'
    head = conflict.head
    if head is not None:
        when = _clock_text(head.at_s)
        detail = f'{head.operator} confirmed "{head.summary}" at {when}'
    return errors.Refused('plan_outdated', 409, detail)


def _plan_view(made):
    view = dataclasses.asdict(made)
    del view['text']
    return view


async def _body(request, body_type):
    try:
        return msgspec.json.decode(await request.read(), type=body_type)
    except msgspec.MsgspecError as error:
        raise errors.Refused('bad_body', 422, str(error)) from error


def _json(data, status=200):
    return web.json_response(data, status=status)
