"""Every operator command as a plain function.

The functions call the HTTP API for operators at the entry address of any
instance; `check` and `explain_request` only read files.
"""

import asyncio
import difflib
import json
import pathlib

import aiohttp
import msgspec

from balsamdale import burn_rate
from balsamdale import declaration
from balsamdale import errors
from balsamdale import http_connection

__all__ = [
    'abandon',
    'burn',
    'check',
    'confirm',
    'diff',
    'explain',
    'explain_request',
    'plan',
    'programs',
    'show_plan',
    'status',
]

REQUEST_TIMEOUT_S = 15.0


def check(path: str) -> declaration.Declaration:
    """Check a declaration file and return the declaration.

    Raises:
        ValidationFailed: the file is not valid; all findings are listed.
    """
    return declaration.load(path)


def diff(entry: str, path: str) -> list[str]:
    """Return a unified diff from the declaration in force to a file.

    Raises:
        ValidationFailed: the file is not valid.
        Refused: the request was refused, or the entry is unreachable.
    """
    declaration.load(path)
    in_force = _call_api(
        'GET', entry, 'declaration', fields=('text', 'revision')
    )
    lines = difflib.unified_diff(
        in_force['text'].splitlines(),
        pathlib.Path(path).read_text().splitlines(),
        f'revision {in_force["revision"]}',
        path,
        lineterm='',
    )
    return list(lines)


def plan(
    entry: str, operator: str, kind: str, target: str = '', value: str = ''
) -> dict:
    """Plan an intent; nothing changes until the plan is confirmed.

    Args:
        entry: entry address of any instance.
        operator: name of the operator, recorded with the change.
        kind: 'declare', 'drain-server', 'return-server', 'drain-domain',
            'return-domain', 'budget' or 'undo'.
        target: name of the server, failure domain or contract; path of the
            declaration file for 'declare'.
        value: the new token budget for 'budget'.

    Raises:
        ValidationFailed: the declaration file is not valid.
        Refused: the request was refused, or the entry is unreachable.
    """
    if kind == 'declare':
        declaration.load(target)
        target = pathlib.Path(target).read_text()
    body = {
        'operator': operator,
        'kind': kind,
        'target': target,
        'value': value,
    }
    return _call_api('POST', entry, 'plans', body)


def show_plan(entry: str, plan_id: str) -> dict:
    """Return a stored plan."""
    return _call_api('GET', entry, f'plans/{plan_id}')


def confirm(entry: str, operator: str, plan_id: str) -> dict:
    """Put a plan in force.

    Raises:
        Refused: another change was confirmed first, or the plan has expired.
    """
    body = {'operator': operator}
    return _call_api('POST', entry, f'plans/{plan_id}/confirm', body)


def abandon(entry: str, plan_id: str) -> dict:
    """Abandon a plan, so that it cannot be confirmed."""
    return _call_api('DELETE', entry, f'plans/{plan_id}')


def status(entry: str) -> dict:
    """Return the status of the deployment."""
    return _call_api('GET', entry, 'status')


def programs(entry: str) -> list[dict]:
    """Return a summary of each live program."""
    reply = _call_api('GET', entry, 'programs', fields=('programs',))
    return reply['programs']


def explain(entry: str, program_id: str) -> dict:
    """Return what a program waits for, its tokens spent and its owner."""
    return _call_api('GET', entry, f'programs/{program_id}')


def explain_request(request_id: str, paths: list[str]) -> list[dict]:
    """Return the log lines that explain a request, in order of time.

    Besides the lines with its id, these are the latest changes that the same
    instances logged up to the last of those lines: of each server that the
    request was sent to, of each link and data folder, of the key-value
    service and of the configuration, and their own starts and stops.

    Args:
        request_id: id that the caller gave the request.
        paths: paths of the log files of instances.
    """
    lines = sorted(_read_log_lines(paths), key=lambda line: line['at_s'])
    request_lines = [line for line in lines if line.get('id') == request_id]
    if not request_lines:
        return []
    instance_ids = {line['instance'] for line in request_lines}
    server_names = {
        line['server'] for line in request_lines if line.get('server')
    }
    latest_changes: dict[tuple, dict] = {}
    for line in lines:
        if (
            line['at_s'] > request_lines[-1]['at_s']
            or line['instance'] not in instance_ids
        ):
            continue
        changed_part = _get_changed_part(line, server_names)
        if changed_part is not None:
            latest_changes[(line['instance'], *changed_part)] = line
    lines_by_identity = {
        id(line): line for line in [*latest_changes.values(), *request_lines]
    }
    return sorted(lines_by_identity.values(), key=lambda line: line['at_s'])


def _read_log_lines(paths):
    """Yield the decisions in log files; skip any other output."""
    for path in paths:
        for text in pathlib.Path(path).read_text().splitlines():
            try:
                line = json.loads(text[text.index('{') :])
            except ValueError:
                continue
            if 'at_s' in line and 'event' in line:
                yield line


def _get_changed_part(line, server_names):
    """Return a key for the part whose change a line reports.

    Returns:
        The key, or None if the line is not about a change that can affect a
        request to these servers.
    """
    event = line['event']
    if event.startswith('server_') and line.get('server') in server_names:
        return ('server', line['server'])
    if event in ('link_lost', 'link_regained'):
        return ('link', line['peer'])
    if event in ('store_lost', 'store_regained'):
        return ('store',)
    if event in ('quota_limiter_silent', 'quota_limiter_replies'):
        return ('limiter', line['limiter'])
    if event in ('folder_joined', 'folder_left'):
        return ('folder', line['folder'])
    if event in ('configuration_in_force', 'started', 'stopping'):
        return (event,)
    return None


def burn(entry: str) -> tuple[burn_rate.Rate, ...]:
    """Return the burn rates by contract and window."""
    rates = _call_api('GET', entry, 'burn', fields=('rates',))['rates']
    return tuple(burn_rate.Rate(**rate) for rate in rates)


class _Problem(msgspec.Struct):
    """Body of a refusal."""

    code: str
    status: int
    detail: str
    ran: str
    retry_after_s: float | None = None


def _call_api(method, entry, path, body=None, fields=()):
    """Call an entry's operator API; return the object that it replies.

    Args:
        fields: names that the object must have.
    """
    return asyncio.run(_request_json(method, entry, path, body, fields))


async def _request_json(method, entry, path, body, fields):
    url = f'http://{entry}/v1/operator/{path}'
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    session = http_connection.create_session(
        aiohttp.TCPConnector(), timeout=timeout
    )
    try:
        async with (
            session,
            session.request(
                method, url, json=body, allow_redirects=False
            ) as reply,
        ):
            content = await http_connection.read_body(reply)
            if reply.status >= 400:
                raise _decode_refused(content)
            return _decode_object(content, fields)
    except (aiohttp.ClientError, TimeoutError) as error:
        raise errors.Refused(
            'entry_unreachable', 503, f'{entry}: {error}', 'unknown'
        ) from error
    except msgspec.MsgspecError as error:
        raise errors.Refused(
            'malformed_reply', 502, f'{entry}: {error}', 'unknown'
        ) from error


def _decode_object(content, fields):
    decoded = msgspec.json.decode(content, type=dict)
    for name in fields:
        if name not in decoded:
            raise msgspec.ValidationError(f'the reply has no field {name!r}')
    return decoded


def _decode_refused(content):
    problem = msgspec.json.decode(content, type=_Problem)
    return errors.Refused(
        problem.code,
        problem.status,
        problem.detail,
        problem.ran,
        problem.retry_after_s,
    )
