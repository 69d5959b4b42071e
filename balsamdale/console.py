"""The HTTP API for operators.

Any instance responds for the whole deployment.
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

PLAN_KEY_PREFIX = 'balsamdale/plans/'
MAX_PLAN_BYTES = 1000000


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
    """HTTP API of one instance, for operators.

    Args:
        served_instance: the instance that handles the calls.
        handle_errors: wraps a handler so that refusals become problem
            details.
    """

    def __init__(
        self,
        served_instance: instance.Instance,
        handle_errors: collections_abc.Callable,
    ):
        self._instance = served_instance
        self._store = served_instance.dependencies.store
        self._clock = served_instance.dependencies.clock
        self._handle_errors = handle_errors

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for operators."""
        root = '/v1/operator'
        handlers = (
            (web.get, f'{root}/status', self._show_status),
            (web.get, f'{root}/declaration', self._show_declaration),
            (web.get, f'{root}/programs', self._list_programs),
            (web.get, f'{root}/programs/{{id}}', self._explain_program),
            (web.get, f'{root}/burn', self._show_burn_rates),
            (web.post, f'{root}/plans', self._make_plan),
            (web.get, f'{root}/plans/{{id}}', self._show_plan),
            (web.post, f'{root}/plans/{{id}}/confirm', self._confirm_plan),
            (web.delete, f'{root}/plans/{{id}}', self._abandon_plan),
        )
        return [
            method(path, self._handle_errors(handler))
            for method, path, handler in handlers
        ]

    async def _show_status(self, _request):
        members = self._instance.members
        relay = self._instance.relay
        replies_by_instance = await self._instance.request_all(
            messages.ListPrograms()
        )
        programs = _all_programs(replies_by_instance)
        head, revision = await self._fetch_head()
        return _json_response(
            {
                'revision_in_force': relay.revision,
                'revision_accepted': revision,
                'last_change': _change_view(head),
                'instances': {
                    name: members.status(name)
                    for name in sorted(members.instances)
                },
                'not_answering': sorted(
                    set(members.instances) - set(replies_by_instance)
                ),
                'programs': len(programs),
                'programs_short_of_copies': sum(
                    program.copies < 3 for program in programs
                ),
                'leaving_servers': [
                    server.name
                    for server in relay.current_declaration().backend_servers
                    if server.state == 'leaving'
                ],
            }
        )

    async def _fetch_head(self):
        """Return the declaration's head and its revision.

        Returns:
            None and -1 if the key-value service is unreachable.
        """
        try:
            return await configuration.fetch_head(self._store)
        except errors.KeyValueUnavailable:
            return None, -1

    async def _show_declaration(self, _request):
        relay = self._instance.relay
        return _json_response({'revision': relay.revision, 'text': relay.text})

    async def _list_programs(self, _request):
        replies_by_instance = await self._instance.request_all(
            messages.ListPrograms()
        )
        views = [
            dataclasses.asdict(program)
            for program in _all_programs(replies_by_instance)
        ]
        return _json_response({'programs': views})

    async def _explain_program(self, request):
        program_id = request.match_info['id']
        view = await self._instance.forwarder.request(
            program_id, messages.FetchProgram(program_id)
        )
        return _json_response(dataclasses.asdict(view))

    async def _show_burn_rates(self, _request):
        replies = await self._instance.request_all(messages.BurnRequest())
        counts = (part for reply in replies.values() for part in reply.counts)
        declared = self._instance.relay.current_declaration()
        rates = burn_rate.compute_rates(
            burn_rate.merge_counts(counts), declared
        )
        return _json_response(
            {'rates': [dataclasses.asdict(rate) for rate in rates]}
        )

    async def _make_plan(self, request):
        body = await _read_body(request, PlanBody)
        relay = self._instance.relay
        head, revision = await configuration.fetch_head(self._store)
        if revision != relay.revision:
            raise errors.Refused(
                'configuration_moving',
                409,
                'a change is coming into force',
                retry_after_s=2.0,
            )
        new_plan = plan.prepare(
            await self._parse_intent(body, head),
            relay.text,
            revision,
            await self._count_affected(),
            uuid.uuid4().hex[:8],
            body.operator,
            self._clock(),
        )
        value = codec.encode(new_plan)
        if len(value) > MAX_PLAN_BYTES:
            raise errors.Refused('plan_too_large', 413, 'plan smaller parts')
        await self._store.compare_and_swap(
            PLAN_KEY_PREFIX + new_plan.plan_id, value, 0
        )
        return _json_response(_plan_view(new_plan), 201)

    async def _parse_intent(self, body, head):
        if body.kind != 'undo':
            return plan.parse_intent(body.kind, body.target, body.value)
        if head is None or not head.previous:
            raise errors.Refused('nothing_to_undo', 409, 'no change before')
        text = await configuration.fetch_text(self._store, head.previous)
        return plan.Undo(text, head.summary)

    async def _count_affected(self):
        replies_by_instance = await self._instance.request_all(
            messages.ListPrograms()
        )
        callers_by_contract = {}
        for program in _all_programs(replies_by_instance):
            callers_by_contract.setdefault(program.contract, []).append(
                program.caller
            )
        return [
            plan.Affected(contract, len(callers), len(set(callers)))
            for contract, callers in sorted(callers_by_contract.items())
        ]

    async def _show_plan(self, request):
        return _json_response(_plan_view((await self._load_plan(request))[0]))

    async def _confirm_plan(self, request):
        body = await _read_body(request, ConfirmBody)
        stored_plan, _ = await self._load_plan(request)
        result = await configuration.accept(
            self._store,
            stored_plan.text,
            stored_plan.base_revision,
            body.operator,
            stored_plan.summary,
            self._clock(),
            stored_plan.plan_id,
        )
        if isinstance(result, configuration.Conflict):
            raise _build_outdated_refusal(result)
        return _json_response(
            {'revision': result.revision, 'summary': stored_plan.summary}
        )

    async def _abandon_plan(self, request):
        stored_plan, pair = await self._load_plan(request)
        abandoned_plan = dataclasses.replace(stored_plan, expires_at_s=0.0)
        await self._store.compare_and_swap(
            pair.key, codec.encode(abandoned_plan), pair.revision
        )
        return _json_response({'abandoned': stored_plan.plan_id})

    async def _load_plan(self, request):
        plan_id = request.match_info['id']
        pair = await self._store.get(PLAN_KEY_PREFIX + plan_id)
        if pair is None:
            raise errors.Refused('unknown_plan', 404, f'no plan {plan_id}')
        stored_plan = codec.decode(pair.value)
        head, _ = await configuration.fetch_head(self._store)
        is_confirmed = head is not None and head.change_id == plan_id
        if stored_plan.expires_at_s <= self._clock() and not is_confirmed:
            raise errors.Refused('plan_expired', 410, 'make the plan again')
        return stored_plan, pair


def _all_programs(replies_by_instance):
    return [
        program
        for reply in replies_by_instance.values()
        for program in reply.programs
    ]


def _change_view(head):
    if head is None:
        return None
    return {
        'operator': head.operator,
        'summary': head.summary,
        'at': _format_utc(head.at_s),
    }


def _format_utc(at_s):
    return time.strftime('%Y-%m-%d %H:%M:%S UTC', time.gmtime(at_s))


def _build_outdated_refusal(conflict):
    """Build the refusal of a plan whose base revision is not current.

    It names the change that was confirmed first, its operator and its time.
    """
    detail = 'the configuration changed since the plan was made'
    head = conflict.head
    if head is not None:
        confirmed_at = _format_utc(head.at_s)
        detail = (
            f'{head.operator} confirmed "{head.summary}" at {confirmed_at}'
        )
    return errors.Refused('plan_outdated', 409, detail)


def _plan_view(shown_plan):
    view = dataclasses.asdict(shown_plan)
    del view['text']
    return view


async def _read_body(request, body_type):
    try:
        return msgspec.json.decode(await request.read(), type=body_type)
    except msgspec.MsgspecError as error:
        raise errors.Refused('bad_body', 422, str(error)) from error


def _json_response(data, status=200):
    return web.json_response(data, status=status)
