"""Access to the platform's request headers."""

from collections import abc as collections_abc

from balsamdale import errors
from balsamdale import wire

__all__ = ['PlatformWireFormat']

REQUEST_ID = 'X-Request-Id'
DEADLINE = 'X-Deadline-Ms'
EXPECTED_SERVER = 'X-Expect-Instance'
SIGNATURE = 'X-Server-Seal'
NOT_RUN = 'X-Not-Executed'
LOAD = 'X-Server-Load'
PROGRAM = 'X-Program-Id'
FINISH = 'X-Finish-Ms'
BUDGET = 'X-Token-Budget'
USAGE = 'X-Token-Usage'
PARENT = 'X-Previous-Turn'
PREFIX = 'X-Prompt-Prefix'

CONNECTION_ONLY = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
SYSTEM_ONLY = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        EXPECTED_SERVER,
        'X-Hold',
        'X-Pin-Ms',
        'X-Kv-Backup',
        'Kv-From',
        'Kv-Fetch',
        'X-Expect-Version',
    )
)
UNTOLD = frozenset((LOAD.lower(),))


class PlatformWireFormat(wire.WireFormat):
    """Header names of the users' platform."""

    request_id_header = REQUEST_ID

    def decode_request(
        self,
        method: str,
        target: str,
        headers: collections_abc.Mapping[str, str],
        body: bytes,
    ) -> wire.Call:
        request_id = headers.get(REQUEST_ID, '')
        if not request_id or not target.startswith('/'):
            raise errors.Refused('bad_request', 400, 'no id or no path')
        prompt_tokens, answer_tokens = _usage(headers)
        program_id = headers.get(PROGRAM, '')
        parts = headers.get(PREFIX, '').rpartition(',')[2]
        return wire.Call(
            request_id=request_id,
            method=method,
            host=headers.get('Host', '').partition(':')[0].lower(),
            target=target,
            headers=tuple(_forwarded(headers, SYSTEM_ONLY)),
            body=body,
            timeout_s=_seconds(headers, DEADLINE),
            program_id=program_id,
            parent_id=headers.get(PARENT, ''),
            budget_tokens=_integer(headers, BUDGET),
            answer_tokens=answer_tokens,
            prompt_tokens=prompt_tokens,
            affinity=program_id or parts.partition(':')[0],
            program_time_left_s=_seconds(headers, FINISH),
        )

    def request_headers(
        self, call: wire.Call, server_id: str, timeout_s: float
    ) -> list[wire.Header]:
        return [
            *call.headers,
            (DEADLINE, str(max(1, int(timeout_s * 1000)))),
            (EXPECTED_SERVER, server_id),
        ]

    def decode_response(
        self, status: int, headers: collections_abc.Mapping[str, str]
    ) -> wire.ResponseMetadata:
        return wire.ResponseMetadata(
            is_signed=SIGNATURE in headers,
            was_not_run=NOT_RUN in headers or status == 421,
            load=_load(headers.get(LOAD, '')),
        )

    def response_headers(
        self, headers: collections_abc.Mapping[str, str]
    ) -> list[wire.Header]:
        return list(_forwarded(headers, UNTOLD))

    def refusal_headers(
        self, request_id: str, refused: errors.Refused
    ) -> list[wire.Header]:
        headers = [(REQUEST_ID, request_id)]
        if refused.retry_after_s is not None:
            headers.append(('Retry-After', f'{refused.retry_after_s:.3f}'))
        return headers


def _forwarded(headers, unwanted):
    """Yield the headers that concern more than one connection."""
    named = {
        name.strip().lower()
        for name in headers.get('Connection', '').split(',')
    }
    for name, value in headers.items():
        lower = name.lower()
        if lower in CONNECTION_ONLY or lower in unwanted or lower in named:
            continue
        yield name, value


def _integer(headers, name):
    text = headers.get(name, '').strip()
    if not text:
        return 0
    if not text.isascii() or not text.isdigit():
        raise errors.Refused('bad_request', 400, f'{name} is not a number')
    return int(text)


def _seconds(headers, name):
    if name not in headers:
        return None
    try:
        return max(0.0, float(headers[name])) / 1000
    except ValueError as error:
        raise errors.Refused(
            'bad_request', 400, f'{name} is not a number'
        ) from error


def _usage(headers):
    """Return tokens of the prompt, and the most of the answer."""
    text = headers.get(USAGE, '')
    if not text:
        return 0, 0
    prompt, _, answer = text.partition(',')
    try:
        return int(prompt), int(answer or 0)
    except ValueError as error:
        raise errors.Refused(
            'bad_request', 400, f'{USAGE} is malformed'
        ) from error


def _load(text):
    parts = text.split(',')
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return wire.LoadReport(*(int(part) for part in parts))
