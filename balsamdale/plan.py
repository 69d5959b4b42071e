"""Access to plans: what an intent of an operator would change.

An intent rewrites the declaration; the plan compares both and says what is
dangerous. Nothing changes before the plan is confirmed.
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

LIFETIME_S = 900.0
LOW_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class Declare:
    """Put a whole declaration in force."""

    text: str


@dataclasses.dataclass(frozen=True)
class Undo:
    """Put the declaration before the last change in force again."""

    text: str
    undone: str


@dataclasses.dataclass(frozen=True)
class DrainServer:
    """Let a backend server finish and send it nothing new."""

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
    """Change the budget of new programs of a contract."""

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
    """Live programs that a plan touches, by contract."""

    contract: str
    programs: int
    callers: int


@codec.message
class Plan:
    """What an intent would change; kept until confirmed or expired.

    Attributes:
        plan_id: name to confirm it by.
        summary: the intent in one line.
        operator: who asked for it.
        base_revision: the configuration it was made for.
        expires_at_s: after this it cannot be confirmed.
        text: the declaration that it would put in force.
        dangers: what can go wrong, in words, the worst first.
        changes: changed lines of the declaration.
        affected: live programs on the services that change.
        capacity: slots left by service and failure domain, as lines.
        undo: how to take it back.
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
    """Build an intent from an operator's words.

    Raises:
        Refused: there is no such intent.
    """
    try:
        if kind == 'budget':
            return SetBudget(target, int(value))
        return WORDS[kind](target)
    except (KeyError, ValueError) as error:
        raise errors.Refused(
            'unknown_intent', 422, f'no intent {kind} {target} {value}'
        ) from error


WORDS = {
    'declare': Declare,
    'drain-server': DrainServer,
    'return-server': ReturnServer,
    'drain-domain': DrainDomain,
    'return-domain': ReturnDomain,
}


def prepare(
    intent: Intent,
    before: str,
    base_revision: int,
    affected: collections_abc.Iterable[Affected],
    plan_id: str,
    operator: str,
    now_s: float,
) -> Plan:
    """Work out what an intent would change.

    Args:
        intent: what the operator wants.
        before: the declaration in force, as TOML text.
        base_revision: its revision.
        affected: live programs by contract.
        plan_id: name of the plan.
        operator: who asks.
        now_s: the present time.

    Raises:
        ValidationFailed: the declaration would not be valid.
        Refused: the intent names nothing, or changes nothing.
    """
    after = apply_intent(intent, before)
    old = declaration.parse(before)
    new = declaration.parse(after)
    changes = tuple(_changes(before, after))
    if not changes:
        raise errors.Refused('no_change', 409, 'this is in force already')
    return Plan(
        plan_id=plan_id,
        summary=summarize_intent(intent),
        operator=operator,
        base_revision=base_revision,
        expires_at_s=now_s + LIFETIME_S,
        text=after,
        dangers=tuple(_dangers(old, new)),
        changes=changes,
        affected=tuple(_touched(old, new, affected)),
        capacity=tuple(_capacity(old, new)),
        undo='balsamdale plan undo, then confirm the plan it prints',
    )


@functools.singledispatch
def apply_intent(intent: object, text: str) -> str:
    """Return the declaration that an intent asks for."""
    raise TypeError(type(intent).__name__)


@apply_intent.register
def _(intent: Declare, text):
    return intent.text


@apply_intent.register
def _(intent: Undo, text):
    return intent.text


@apply_intent.register
def _(intent: DrainServer, text):
    return _set_state(text, 'leaving', lambda s: s['name'] == intent.server)


@apply_intent.register
def _(intent: ReturnServer, text):
    return _set_state(text, 'active', lambda s: s['name'] == intent.server)


@apply_intent.register
def _(intent: DrainDomain, text):
    name = intent.failure_domain
    return _set_state(text, 'leaving', lambda s: s['failure_domain'] == name)


@apply_intent.register
def _(intent: ReturnDomain, text):
    name = intent.failure_domain
    return _set_state(text, 'active', lambda s: s['failure_domain'] == name)


@apply_intent.register
def _(intent: SetBudget, text):
    document = tomlkit.parse(text)
    rows = [r for r in document['contracts'] if r['name'] == intent.contract]
    if not rows:
        raise _unknown(intent.contract)
    rows[0]['budget_tokens'] = intent.budget_tokens
    return tomlkit.dumps(document)


@functools.singledispatch
def summarize_intent(intent: object) -> str:
    """Return an intent in one line."""
    raise TypeError(type(intent).__name__)


@summarize_intent.register
def _(intent: Declare):
    return 'put a declaration in force'


@summarize_intent.register
def _(intent: Undo):
    return f'undo: {intent.undone}'


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


def _set_state(text, state, chosen):
    document = tomlkit.parse(text)
    rows = [row for row in document['backend_servers'] if chosen(row)]
    if not rows:
        raise _unknown('backend server')
    for row in rows:
        row['state'] = state
    return tomlkit.dumps(document)


def _unknown(name):
    return errors.Refused('unknown_name', 404, f'no {name} is declared')


def _changes(before, after):
    lines = difflib.unified_diff(
        before.splitlines(), after.splitlines(), lineterm='', n=2
    )
    for line in lines:
        if not line.startswith(('---', '+++')):
            yield line


def _dangers(old, new):
    """Yield what can go wrong, the worst first."""
    yield from _stopped_services(old, new)
    yield from _short_services(old, new)
    for name in sorted(_names(old.contracts) - _names(new.contracts)):
        yield f'contract {name} is gone: its programs end their next call'
    for name in sorted(_names(old.tools) - _names(new.tools)):
        yield f'tool {name} is gone: turns that call it fail'
    for contract in new.contracts:
        held = old.contract(contract.name)
        if held and contract.budget_tokens < held.budget_tokens:
            yield f'new programs of {contract.name} may spend less'
    for tool in new.tools:
        held = old.tool(tool.name)
        if held and tool.idempotent and not held.idempotent:
            yield f'tool {tool.name} may run twice from now on'


def _stopped_services(old, new):
    for service in old.services:
        if not _slots(new, service.name):
            yield f'NO backend server of {service.name} takes work any more'


def _short_services(old, new):
    for service in old.services:
        before = _slots(old, service.name)
        after = _slots(new, service.name)
        if 0 < after < before:
            low = after < before * LOW_SHARE
            outlook = ': expect queues and refused calls' if low else ''
            yield f'{service.name} keeps {after} of {before} slots{outlook}'


def _capacity(old, new):
    for service in old.services:
        for domain in old.failure_domains:
            before = _slots(old, service.name, domain.name)
            after = _slots(new, service.name, domain.name)
            if before or after:
                yield f'{service.name} in {domain.name}: {before} -> {after}'


def _slots(declared, service, domain=''):
    return sum(
        server.slots
        for server in declared.servers_of(service)
        if server.state == 'active'
        and (not domain or server.failure_domain == domain)
    )


def _touched(old, new, affected):
    """Yield the programs whose service or contract changes."""
    changed = {
        service.name
        for service in old.services
        if old.servers_of(service.name) != new.servers_of(service.name)
    }
    for row in affected:
        contract = old.contract(row.contract)
        same = contract == new.contract(row.contract)
        if contract and (contract.service in changed or not same):
            yield row


def _names(rows):
    return {row.name for row in rows}
