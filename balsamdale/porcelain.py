"""Access to every operator command as one plain function.

The functions talk to any instance's entry address over HTTP.
"""

import asyncio
import difflib
import json
import pathlib

import aiohttp

from balsamdale import burn_rate
from balsamdale import declaration
from balsamdale import errors

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

TIMEOUT_S = 15.0


def check(path: str) -> declaration.Declaration:
    """Check a declaration file.

    Raises:
        ValidationFailed: the file holds mistakes, all of which are listed.
    """
    return declaration.load(path)


def diff(entry: str, path: str) -> list[str]:
    """Return how a declaration file differs from what is in force.

    Raises:
        ValidationFailed: the file holds mistakes.
        Refused: the system refused.
    """
    declaration.load(path)
    held = _call('GET', entry, 'declaration')
    lines = difflib.unified_diff(
        held['text'].splitlines(),
        pathlib.Path(path).read_text().splitlines(),
        f'revision {held["revision"]}',
        path,
        lineterm='',
    )
    return list(lines)


def plan(
    entry: str, operator: str, kind: str, target: str = '', value: str = ''
) -> dict:
    """Plan an intent; nothing changes yet.

    Args:
        entry: entry address of any instance.
        operator: who asks.
        kind: 'declare', 'drain-server', 'return-server', 'drain-domain',
            'return-domain', 'budget' or 'undo'.
        target: what the intent is about; a file's path for 'declare'.
        value: the new value for 'budget'.

    Raises:
        ValidationFailed: the declaration file holds mistakes.
        Refused: the system refused.
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
    return _call('POST', entry, 'plans', body)


def show_plan(entry: str, plan_id: str) -> dict:
    """Return a plan that is not confirmed yet."""
    return _call('GET', entry, f'plans/{plan_id}')


def confirm(entry: str, operator: str, plan_id: str) -> dict:
    """Put a plan in force.

    Raises:
        Refused: another change came first, or the plan has expired.
    """
    body = {'operator': operator}
    return _call('POST', entry, f'plans/{plan_id}/confirm', body)


def abandon(entry: str, plan_id: str) -> dict:
    """Drop a plan."""
    return _call('DELETE', entry, f'plans/{plan_id}')


def status(entry: str) -> dict:
    """Return the state of the deployment."""
    return _call('GET', entry, 'status')


def programs(entry: str) -> list[dict]:
    """Return a row for each live program."""
    return _call('GET', entry, 'programs')['programs']


def explain(entry: str, program_id: str) -> dict:
    """Return why a program waits, what it has spent and where it is."""
    return _call('GET', entry, f'programs/{program_id}')


def explain_request(request_id: str, paths: list[str]) -> list[dict]:
    """Return the log lines that tell of a request, in order of time.

    Besides the lines with its id, these are the last changes before it of
    what its instance believed: of the server that it was sent to, of the
    configuration, of the key-value service and of links.

    Args:
        request_id: the caller's id.
        paths: log files of instances.
    """
    lines = sorted(_log_lines(paths), key=lambda line: line['at_s'])
    own = [line for line in lines if line.get('id') == request_id]
    if not own:
        return []
    asked = {line['instance'] for line in own}
    servers = {line['server'] for line in own if line.get('server')}
    latest: dict[tuple, dict] = {}
    for line in lines:
        if line['at_s'] > own[-1]['at_s'] or line['instance'] not in asked:
            continue
        subject = _subject(line, servers)
        if subject is not None:
            latest[(line['instance'], *subject)] = line
    found = {id(line): line for line in [*latest.values(), *own]}
    return sorted(found.values(), key=lambda line: line['at_s'])


def _log_lines(paths):
    """Yield the decisions of log files; other output is passed over."""
    for path in paths:
        for text in pathlib.Path(path).read_text().splitlines():
            try:
                line = json.loads(text[text.index('{') :])
            except ValueError:
                continue
            if 'at_s' in line and 'event' in line:
                yield line


def _subject(line, servers):
    """Return what a line tells of, where it may bear on a request."""
    event = line['event']
    if event.startswith('server_') and line.get('server') in servers:
        return ('server', line['server'])
    if event in ('link_lost', 'link_regained'):
        return ('link', line['peer'])
    if event in ('store_lost', 'store_regained'):
        return ('store',)
    if event in ('folder_joined', 'folder_left'):
        return ('folder', line['folder'])
    if event in ('configuration_in_force', 'started', 'stopping'):
        return (event,)
    return None


def burn(entry: str) -> tuple[burn_rate.Rate, ...]:
    """Return the service-level burn by contract and window."""
    rows = _call('GET', entry, 'burn')['rates']
    return tuple(burn_rate.Rate(**row) for row in rows)


def _call(method, entry, path, body=None):
    return asyncio.run(_request(method, entry, path, body))


async def _request(method, entry, path, body):
    url = f'http://{entry}/v1/operator/{path}'
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            async with session.request(method, url, json=body) as response:
                answer = await response.json(content_type=None)
                if response.status >= 400:
                    raise _refused(answer)
                return answer
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.Refused(
                'entry_unreachable', 503, f'{entry}: {error}', 'unknown'
            ) from error


def _refused(answer):
    return errors.Refused(
        answer['code'],
        answer['status'],
        answer['detail'],
        answer['ran'],
        answer['retry_after_s'],
    )
