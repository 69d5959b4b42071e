"""Names and values of the platform's HTTP headers."""

from collections import abc as collections_abc
from http import cookies
import math
import re

from balsamdale import errors
from balsamdale import routes
from balsamdale import wire

__all__ = ['PlatformWireFormat']

REQUEST_ID = 'X-Request-Id'
DEADLINE = 'X-Deadline-Ms'
EXPECTED_SERVER = 'X-Expect-Instance'
SIGNATURE = 'X-Server-Seal'
NOT_EXECUTED = 'X-Not-Executed'
SERVER_LOAD = 'X-Server-Load'
SERVER_LEAVING = 'Server-Leaving'
SERVER_LIMIT = 'Server-Limit'
PROGRAM_ID = 'X-Program-Id'
PROGRAM_TIME_LEFT = 'X-Finish-Ms'
TOKEN_BUDGET = 'X-Token-Budget'
TOKEN_USAGE = 'X-Token-Usage'
PREVIOUS_TURN = 'X-Previous-Turn'
PROMPT_PREFIX = 'X-Prompt-Prefix'
OBJECT_KEY_COOKIE = 'X-Affinity-Key'
LAST_EVENT_ID = 'Last-Event-Id'
API_KEY = 'Api-Key'
WORKSPACE = 'X-Tenant'

HOP_BY_HOP_HEADERS = frozenset(
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
INTERNAL_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        EXPECTED_SERVER,
        API_KEY,
        WORKSPACE,
        'X-Hold',
        'X-Pin-Ms',
        'X-Kv-Backup',
        'Kv-From',
        'Kv-Fetch',
        'X-Expect-Version',
    )
)
HIDDEN_FROM_CALLERS = frozenset(
    name.lower() for name in (SERVER_LOAD, SERVER_LEAVING, SERVER_LIMIT)
)
# Bounds of a plausible load report. No server has this many requests, and
# none is 100 times slower, or 10 times faster, than normal and still serves.
MAX_REPORTED_REQUESTS = 65536
# Digits of a count of tokens: sums of such counts fit into messages.
MAX_COUNT_DIGITS = 15
SLOWDOWN_PERCENT = range(10, 10001)
DECIMAL_NUMBER = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')


class PlatformWireFormat(wire.WireFormat):
    """Wire format of the platform."""

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
            raise errors.Refused(
                'bad_request', 400, 'request id or absolute path is missing'
            )
        prompt_tokens, answer_tokens = _parse_usage(headers)
        program_id = headers.get(PROGRAM_ID, '')
        last_part = headers.get(PROMPT_PREFIX, '').rpartition(',')[2]
        return wire.Call(
            request_id=request_id,
            method=method,
            host=headers.get('Host', '').partition(':')[0].lower(),
            target=target,
            headers=tuple(_end_to_end_headers(headers, INTERNAL_HEADERS)),
            body=body,
            timeout_s=_parse_milliseconds(headers, DEADLINE),
            program_id=program_id,
            parent_id=headers.get(PREVIOUS_TURN, ''),
            budget_tokens=_parse_count(headers, TOKEN_BUDGET),
            answer_tokens=answer_tokens,
            prompt_tokens=prompt_tokens,
            affinity=program_id or last_part.partition(':')[0],
            program_time_left_s=_parse_milliseconds(
                headers, PROGRAM_TIME_LEFT
            ),
            object_key=_parse_cookie(headers, OBJECT_KEY_COOKIE),
            key_digest=_parse_key(headers),
        )

    def request_headers(
        self, call: wire.Call, server_id: str, timeout_s: float
    ) -> list[wire.Header]:
        headers = [
            *call.headers,
            (DEADLINE, str(max(1, int(timeout_s * 1000)))),
            (EXPECTED_SERVER, server_id),
        ]
        if call.workspace:
            headers.append((WORKSPACE, call.workspace))
        if call.last_event_id is None:
            return headers
        headers = [h for h in headers if h[0].lower() != LAST_EVENT_ID.lower()]
        return [*headers, (LAST_EVENT_ID, call.last_event_id)]

    def decode_response(
        self, status: int, headers: collections_abc.Mapping[str, str]
    ) -> wire.ResponseMetadata:
        load = _parse_load(headers.get(SERVER_LOAD, ''))
        limit_per_s = _parse_limit(headers.get(SERVER_LIMIT, ''))
        return wire.ResponseMetadata(
            is_signed=SIGNATURE in headers,
            was_not_run=NOT_EXECUTED in headers or status == 421,
            load=load,
            is_load_malformed=load is None and SERVER_LOAD in headers,
            is_leaving=headers.get(SERVER_LEAVING, '').strip() == '1',
            limit_per_s=limit_per_s,
            is_limit_malformed=limit_per_s is None and SERVER_LIMIT in headers,
        )

    def response_headers(
        self, headers: collections_abc.Mapping[str, str]
    ) -> list[wire.Header]:
        return list(_end_to_end_headers(headers, HIDDEN_FROM_CALLERS))

    def refusal_headers(
        self, request_id: str, refused: errors.Refused
    ) -> list[wire.Header]:
        headers = [(REQUEST_ID, request_id)]
        if refused.retry_after_s is not None:
            headers.append(('Retry-After', f'{refused.retry_after_s:.3f}'))
        return headers


def _end_to_end_headers(headers, excluded):
    """Yield the end-to-end headers, without those in `excluded`."""
    listed = {
        name.strip().lower()
        for name in headers.get('Connection', '').split(',')
    }
    for name, value in headers.items():
        lower = name.lower()
        if lower in HOP_BY_HOP_HEADERS or lower in excluded or lower in listed:
            continue
        yield name, value


def _parse_count(headers, name):
    text = headers.get(name, '').strip()
    if not text:
        return 0
    if not _is_count(text):
        raise errors.Refused(
            'bad_request',
            400,
            f'{name} is not a whole number of up to {MAX_COUNT_DIGITS} digits',
        )
    return int(text)


def _parse_milliseconds(headers, name):
    if name not in headers:
        return None
    try:
        milliseconds = float(headers[name])
    except ValueError:
        milliseconds = math.nan
    if not math.isfinite(milliseconds):
        raise errors.Refused('bad_request', 400, f'{name} is not a number')
    return max(0.0, milliseconds) / 1000


def _parse_cookie(headers, name):
    """Return a cookie's value; empty without it or if it is malformed."""
    try:
        morsel = cookies.SimpleCookie(headers.get('Cookie', '')).get(name)
    except cookies.CookieError:
        return ''
    return morsel.value if morsel is not None else ''


def _parse_key(headers):
    key = headers.get(API_KEY, '').strip()
    return routes.key_digest(key) if key else b''


def _parse_usage(headers):
    """Return the tokens of the prompt and the limit of the answer."""
    text = headers.get(TOKEN_USAGE, '')
    if not text:
        return 0, 0
    prompt, _, answer = text.partition(',')
    counts = prompt.strip(), answer.strip() or '0'
    if not all(map(_is_count, counts)):
        raise errors.Refused(
            'bad_request',
            400,
            f'{TOKEN_USAGE} is not "prompt tokens,answer tokens"',
        )
    return int(counts[0]), int(counts[1])


def _parse_load(text):
    """Return the load report; None if it is malformed or out of range."""
    parts = [part.strip() for part in text.split(',')]
    if len(parts) not in (3, 4) or not all(map(_is_short_number, parts)):
        return None
    running, waiting, slots, *slowdown = map(int, parts)
    if max(running, waiting, slots) > MAX_REPORTED_REQUESTS or slots < 1:
        return None
    if not slowdown:
        return wire.LoadReport(running, waiting, slots)
    if slowdown[0] not in SLOWDOWN_PERCENT:
        return None
    return wire.LoadReport(running, waiting, slots, slowdown[0] / 100, True)


def _parse_limit(text):
    """Return the requests per second; None if there is no valid limit."""
    text = text.strip()
    return float(text) if DECIMAL_NUMBER.fullmatch(text) else None


def _is_count(text):
    is_number = text.isascii() and text.isdigit()
    return is_number and len(text) <= MAX_COUNT_DIGITS


def _is_short_number(text):
    return text.isascii() and text.isdigit() and len(text) < 10
