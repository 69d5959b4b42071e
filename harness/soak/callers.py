"""Callers that keep their connections to an entry until it is gone."""

import asyncio
import contextlib
import dataclasses
import functools
import itertools
import random
import time

from harness import upgrade
from standins import platform_store

__all__ = ['Attempt', 'Caller']

CONNECT_TIMEOUT_S = 1.0
# Pause before another connection where none was accepted.
RECONNECT_S = 0.1
# Time past the caller's own limit until it gives up.
PATIENCE_S = 1.5
TIME_LIMITS_S = {
    'order': (1.5, 3.0, 4.0),
    'read': (1.2, 3.0),
    'turn': (3.0, 4.0),
}
MAX_BODY_REPEATS = 200
CHUNK_BYTES = 256


@dataclasses.dataclass
class Attempt:
    """One request and its end; times are seconds since the Unix epoch.

    Attributes:
        request_id: id of the request.
        kind: 'order', 'read' or 'turn'.
        framing: how the body is sent.
        entry: the entry that it was sent to.
        time_limit_s: time that the caller allows.
        began_s: when its first byte was sent.
        sent_s: when its last byte was sent; 0 if it never was.
        ended_s: when it ended; 0 while it goes on.
        status: status of the answer; 0 without one.
        is_whole: whether the answer is complete.
        detail: error of the connection.
    """

    request_id: str
    kind: str
    framing: str
    entry: str
    time_limit_s: float
    began_s: float
    sent_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    is_whole: bool = False
    detail: str = ''


class Caller:
    """Sends requests on one kept connection after the other.

    Args:
        number: its number.
        addresses: address of each entry.
        attempts: where it puts its requests.
        load: what all callers send.
        seed: seed of its choices, together with its number.
    """

    def __init__(self, number, addresses, attempts, load, seed):
        self._number = number
        self._addresses = addresses
        self._attempts = attempts
        self._load = load
        self._pause_s = load.connections / load.requests_per_s
        self._generator = random.Random(f'{seed}-{number}')
        self._ids = itertools.count()
        self._keeps_entry = self._generator.random() < 0.7

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until told to stop."""
        entry = self._generator.choice(list(self._addresses))
        await asyncio.sleep(self._generator.uniform(0.0, self._pause_s))
        while not stop.is_set():
            host, _, port = self._addresses[entry].rpartition(':')
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    streams = await asyncio.open_connection(host, int(port))
            except (OSError, TimeoutError):
                await asyncio.sleep(RECONNECT_S)
                entry = self._generator.choice(list(self._addresses))
                continue
            try:
                await self._use(entry, *streams, stop)
            finally:
                streams[1].transport.abort()
            if not self._keeps_entry:
                entry = self._generator.choice(list(self._addresses))

    async def _use(self, entry, reader, writer, stop):
        """Send requests until the connection is closed."""
        while not stop.is_set():
            attempt, head, parts, pause_s = self._choose_request(entry)
            self._attempts.append(attempt)
            try:
                closes = await self._exchange(
                    attempt, head, parts, pause_s, reader, writer
                )
            finally:
                attempt.ended_s = time.time()
            if closes or not attempt.is_whole:
                return
            await asyncio.sleep(self._generator.expovariate(1 / self._pause_s))

    def _choose_request(self, entry):
        """Return an attempt, its head, the parts of its body, their pause."""
        generator, load = self._generator, self._load
        draw = generator.random()
        if draw < load.order_share:
            kind, path, prefix = 'order', '/alerts/x', 'order-'
        elif draw < load.order_share + load.turn_share:
            kind, path, prefix = 'turn', '/turns/x', 'turn-'
        else:
            kind, path, prefix = 'read', '/reads/x', upgrade.READ_PREFIX
        request_id = f'{prefix}{self._number}-{next(self._ids)}.'
        time_limit_s = generator.choice(TIME_LIMITS_S[kind])
        fields = {
            'Host': platform_store.HOST,
            'Api-Key': 'key-open',
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(int(time_limit_s * 1000)),
        }
        if kind == 'turn':
            fields['X-Program-Id'] = f'p{request_id}'
            fields['X-Token-Usage'] = '100,300'
            fields['X-Token-Budget'] = '100000'
        body = request_id.encode() * generator.randint(1, MAX_BODY_REPEATS)
        is_chunked = generator.random() < load.chunked_share
        is_slow = generator.random() < load.slow_share
        pieces = [
            body[start : start + CHUNK_BYTES]
            for start in range(0, len(body), CHUNK_BYTES)
        ]
        if is_chunked:
            fields['Transfer-Encoding'] = 'chunked'
            pieces = [b'%x\r\n%s\r\n' % (len(p), p) for p in pieces]
            pieces.append(b'0\r\n\r\n')
        else:
            fields['Content-Length'] = str(len(body))
        if not is_slow:
            pieces = [b''.join(pieces)]
        lines = ''.join(f'{name}: {fields[name]}\r\n' for name in fields)
        head = f'POST {path} HTTP/1.1\r\n{lines}\r\n'.encode()
        pause_s = generator.uniform(0.0, load.slow_s) / len(pieces)
        framing = 'chunked' if is_chunked else 'length'
        attempt = Attempt(
            request_id,
            kind,
            f'{framing}, {len(pieces)} parts' if is_slow else framing,
            entry,
            time_limit_s,
            time.time(),
        )
        return attempt, head, pieces, pause_s if is_slow else 0.0

    async def _exchange(self, attempt, head, parts, pause_s, reader, writer):
        """Send a request and read its answer; return whether it closes."""
        sending = asyncio.create_task(
            _send(attempt, head, parts, pause_s, writer)
        )
        try:
            async with asyncio.timeout(None) as patience:
                # Parts may be sent later than planned on a busy machine.
                sending.add_done_callback(
                    functools.partial(_limit, patience, attempt.time_limit_s)
                )
                headers = await _read_answer(attempt, reader)
        except TimeoutError:
            attempt.detail = 'no end in time'
            return True
        except (OSError, asyncio.IncompleteReadError) as error:
            attempt.detail = type(error).__name__
            return True
        finally:
            sending.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await sending
        is_closing = headers.get('connection', '').lower() == 'close'
        return is_closing or not attempt.sent_s


async def _send(attempt, head, parts, pause_s, writer):
    writer.write(head)
    for part in parts:
        if pause_s:
            await asyncio.sleep(pause_s)
        if writer.transport.is_closing():
            return
        writer.write(part)
    attempt.sent_s = time.time()


def _limit(patience, time_limit_s, sending):
    """Give up some time after a request was sent."""
    if sending.cancelled():
        return
    now_s = asyncio.get_running_loop().time()
    # The answer may have come in the same step of the event loop.
    with contextlib.suppress(RuntimeError):
        patience.reschedule(now_s + time_limit_s + PATIENCE_S)


async def _read_answer(attempt, reader):
    """Read an answer into an attempt; return its headers."""
    status_line = await reader.readuntil(b'\r\n')
    attempt.status = int(status_line.split()[1])
    headers = {}
    while line := (await reader.readuntil(b'\r\n')).strip():
        name, _, value = line.decode().partition(':')
        headers[name.lower()] = value.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        size = -1
        while size:
            size = int(await reader.readuntil(b'\r\n'), 16)
            await reader.readexactly(size + 2)
    else:
        await reader.readexactly(int(headers.get('content-length', '0')))
    attempt.is_whole = True
    return headers
