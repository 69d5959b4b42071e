"""Plans: the effect of an operator's intent before it is applied.

Applying an intent to the declaration in force yields a new declaration. The
plan compares both and lists the dangers. Nothing changes until the operator
confirms the plan.
"""

from collections import abc as collections_abc
import dataclasses
import difflib
import functools

import tomlkit

from balsamdale import codec
from balsamdale import declaration
from balsamdale import errors

__all__ = [
    'Affected',
    'Declare',
    'DrainDomain',
    'DrainServer',
    'Intent',
    'Plan',
    'ReturnDomain',
    'ReturnServer',
    'SetBudget',
    'Undo',
    'parse_intent',
    'prepare',
]

PLAN_LIFETIME_S = 900.0
LOW_CAPACITY_RATIO = 0.5


@dataclasses.dataclass(frozen=True)
class Declare:
    """Replace the declaration in force by a new one."""

    text: str


@dataclasses.dataclass(frozen=True)
class Undo:
    """Restore the declaration that was in force before the last change.

    Attributes:
        text: the declaration to restore, as TOML text.
        undone_summary: summary of the change that is undone.
    """

    text: str
    undone_summary: str


@dataclasses.dataclass(frozen=True)
class DrainServer:
    """Send no new work to a backend server; its running work finishes."""

    server: str


@dataclasses.dataclass(frozen=True)
class ReturnServer:
    """Send work to a backend server again."""

    server: str


@dataclasses.dataclass(frozen=True)
class DrainDomain:
    """Drain every backend server of a failure domain."""

    failure_domain: str


@dataclasses.dataclass(frozen=True)
class ReturnDomain:
    """Send work to a failure domain's backend servers again."""

    failure_domain: str


@dataclasses.dataclass(frozen=True)
class SetBudget:
    """Change the token budget that a contract gives to new programs."""

    contract: str
    budget_tokens: int


Intent = (
    Declare
    | Undo
    | DrainServer
    | ReturnServer
    | DrainDomain
    | ReturnDomain
    | SetBudget
)


@codec.message
class Affected:
    """Live programs of one contract that a plan affects.

    Attributes:
        contract: name of the contract.
        programs: number of its live programs.
        callers: number of distinct callers of these programs.
    """

    contract: str
    programs: int
    callers: int


@codec.message
class Plan:
    """What an intent would change; can be confirmed until it expires.

    Attributes:
        plan_id: identifier by which the operator confirms the plan.
        summary: the intent in one line.
        operator: name of the operator who requested the plan.
        base_revision: revision of the declaration that it is based on.
        expires_at_s: time after which it cannot be confirmed.
        text: the declaration that it would put in force, as TOML text.
        dangers: one sentence for each danger, the worst first.
        changes: changed lines of the declaration, as a unified diff.
        affected: live programs whose service or contract changes.
        capacity: slots before and after, one line for each service and
            failure domain.
        undo: how to undo the change once it is in force.
    """

    plan_id: str
    summary: str
    operator: str
    base_revision: int
    expires_at_s: float
    text: str
    dangers: tuple[str, ...]
    changes: tuple[str, ...]
    affected: tuple[Affected, ...]
    capacity: tuple[str, ...]
    undo: str


def parse_intent(kind: str, target: str, value: str = '') -> Intent:
    """Build an intent from the arguments of an operator's command.

    Args:
        kind: 'budget' or a key of `INTENT_TYPES`.
        target: name of the server, failure domain or contract; the TOML text
            of the declaration for 'declare'.
        value: the new budget in tokens; used by 'budget' only.

    Raises:
        Refused: the kind is unknown or the budget is not a number.
    """
    try:
        if kind == 'budget':
            return SetBudget(target, int(value))
        return INTENT_TYPES[kind](target)
    except (KeyError, ValueError) as error:
        raise errors.Refused(
            'unknown_intent', 422, f'no intent {kind} {target} {value}'
        ) from error


INTENT_TYPES = {
    'declare': Declare,
    'drain-server': DrainServer,
    'return-server': ReturnServer,
    'drain-domain': DrainDomain,
    'return-domain': ReturnDomain,
}


def prepare(
    intent: Intent,
    old_text: str,
    base_revision: int,
    live_programs: collections_abc.Iterable[Affected],
    plan_id: str,
    operator: str,
    now_s: float,
) -> Plan:
    """Compute what an intent would change.

    Args:
        intent: what the operator wants to change.
        old_text: the declaration in force, as TOML text.
        base_revision: revision of the declaration in force.
        live_programs: counts of live programs and callers by contract.
        plan_id: identifier of the plan.
        operator: name of the operator who requests the plan.
        now_s: the present time.

    Raises:
        ValidationFailed: the resulting declaration is not valid.
        Refused: the intent names an entry that is not declared, or changes
            nothing.
    """
    new_text = apply_intent(intent, old_text)
    old = declaration.parse(old_text)
    new = declaration.parse(new_text)
    changes = tuple(_diff_lines(old_text, new_text))
    if not changes:
        raise errors.Refused('no_change', 409, 'this is in force already')
    return Plan(
        plan_id=plan_id,
        summary=summarize_intent(intent),
        operator=operator,
        base_revision=base_revision,
        expires_at_s=now_s + PLAN_LIFETIME_S,
        text=new_text,
        dangers=tuple(_find_dangers(old, new)),
        changes=changes,
        affected=tuple(_find_affected(old, new, live_programs)),
        capacity=tuple(_compare_capacity(old, new)),
        undo='balsamdale plan undo, then confirm the plan it prints',
    )


@functools.singledispatch
def apply_intent(intent: object, text: str) -> str:
    """Return the declaration, as TOML text, with an intent applied."""
    raise TypeError(type(intent).__name__)


@apply_intent.register
def _(intent: Declare, text):
    return intent.text


@apply_intent.register
def _(intent: Undo, text):
    return intent.text


@apply_intent.register
def _(intent: DrainServer, text):
    return _set_server_state(
        text, 'leaving', lambda server: server['name'] == intent.server
    )


@apply_intent.register
def _(intent: ReturnServer, text):
    return _set_server_state(
        text, 'active', lambda server: server['name'] == intent.server
    )


@apply_intent.register
def _(intent: DrainDomain, text):
    name = intent.failure_domain
    return _set_server_state(
        text, 'leaving', lambda server: server['failure_domain'] == name
    )


@apply_intent.register
def _(intent: ReturnDomain, text):
    name = intent.failure_domain
    return _set_server_state(
        text, 'active', lambda server: server['failure_domain'] == name
    )


@apply_intent.register
def _(intent: SetBudget, text):
    document = tomlkit.parse(text)
    contracts = [
        contract
        for contract in document['contracts']
        if contract['name'] == intent.contract
    ]
    if not contracts:
        raise _unknown_name_error(intent.contract)
    contracts[0]['budget_tokens'] = intent.budget_tokens
    return tomlkit.dumps(document)


@functools.singledispatch
def summarize_intent(intent: object) -> str:
    """Return a one-line summary of an intent."""
    raise TypeError(type(intent).__name__)


@summarize_intent.register
def _(intent: Declare):
    return 'put a declaration in force'


@summarize_intent.register
def _(intent: Undo):
    return f'undo: {intent.undone_summary}'


@summarize_intent.register
def _(intent: DrainServer):
    return f'drain backend server {intent.server}'


@summarize_intent.register
def _(intent: ReturnServer):
    return f'return backend server {intent.server}'


@summarize_intent.register
def _(intent: DrainDomain):
    return f'drain failure domain {intent.failure_domain}'


@summarize_intent.register
def _(intent: ReturnDomain):
    return f'return failure domain {intent.failure_domain}'


@summarize_intent.register
def _(intent: SetBudget):
    return f'set the budget of {intent.contract} to {intent.budget_tokens}'


def _set_server_state(text, state, is_selected):
    document = tomlkit.parse(text)
    servers = [
        server for server in document['backend_servers'] if is_selected(server)
    ]
    if not servers:
        raise _unknown_name_error('backend server')
    for server in servers:
        server['state'] = state
    return tomlkit.dumps(document)


def _unknown_name_error(name):
    return errors.Refused('unknown_name', 404, f'no {name} is declared')


def _diff_lines(old_text, new_text):
    """Yield the lines of a unified diff, without the file headers."""
    lines = difflib.unified_diff(
        old_text.splitlines(), new_text.splitlines(), lineterm='', n=2
    )
    for line in lines:
        if not line.startswith(('---', '+++')):
            yield line


def _find_dangers(old, new):
    """Yield one sentence for each danger of a change, the worst first."""
    yield from _find_stopped_services(old, new)
    yield from _find_reduced_services(old, new)
    for name in sorted(_names_of(old.contracts) - _names_of(new.contracts)):
        yield f'contract {name} is gone: its programs end their next call'
    for name in sorted(_names_of(old.tools) - _names_of(new.tools)):
        yield f'tool {name} is gone: turns that call it fail'
    for contract in new.contracts:
        old_contract = old.contract(contract.name)
        if (
            old_contract
            and contract.budget_tokens < old_contract.budget_tokens
        ):
            yield f'new programs of {contract.name} may spend less'
    for tool in new.tools:
        old_tool = old.tool(tool.name)
        if old_tool and tool.idempotent and not old_tool.idempotent:
            yield f'tool {tool.name} may run twice from now on'


def _find_stopped_services(old, new):
    for service in old.services:
        if not _count_active_slots(new, service.name):
            yield f'NO backend server of {service.name} takes work any more'


def _find_reduced_services(old, new):
    for service in old.services:
        before = _count_active_slots(old, service.name)
        after = _count_active_slots(new, service.name)
        if 0 < after < before:
            is_low = after < before * LOW_CAPACITY_RATIO
            warning = ': expect queues and refused calls' if is_low else ''
            yield f'{service.name} keeps {after} of {before} slots{warning}'


def _compare_capacity(old, new):
    for service in old.services:
        for domain in old.failure_domains:
            before = _count_active_slots(old, service.name, domain.name)
            after = _count_active_slots(new, service.name, domain.name)
            if before or after:
                yield f'{service.name} in {domain.name}: {before} -> {after}'


def _count_active_slots(parsed_declaration, service, domain=''):
    return sum(
        server.slots
        for server in parsed_declaration.servers_of(service)
        if server.state == 'active'
        and (not domain or server.failure_domain == domain)
    )


def _find_affected(old, new, live_programs):
    """Yield the entries whose service or contract changes."""
    changed_services = {
        service.name
        for service in old.services
        if old.servers_of(service.name) != new.servers_of(service.name)
    }
    for entry in live_programs:
        contract = old.contract(entry.contract)
        is_same = contract == new.contract(entry.contract)
        if contract and (contract.service in changed_services or not is_same):
            yield entry


def _names_of(entries):
    return {entry.name for entry in entries}
