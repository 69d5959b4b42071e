"""A client of the platform's pages, one connection each."""

import asyncio
import dataclasses
import itertools
import json
import random

_NUMBERS = itertools.count(1)
_RUN = f'{random.getrandbits(32):08x}'


@dataclasses.dataclass
class Answer:
    """What a client saw of one attempt.

    `status` is 0 without a head; `is_whole` tells that the body came to its
    end; `detail` says how it ended otherwise.
    """

    request_id: str
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = False
    detail: str = ''


class Connection:
    """A connection to the front address of an entry."""

    def __init__(self, world, entry):
        self.world, self.entry = world, entry
        self.name = entry.name
        self._reader = self._writer = None

    async def open(self):
        async with asyncio.timeout(1):
            self._reader, self._writer = await asyncio.open_connection(
                *self.entry.front
            )

    def close(self):
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def send(
        self, method, path, headers=None, body=b'', deadline_ms=4000
    ):
        """Send a request and return the answer."""
        request_id = f'{_RUN}{next(_NUMBERS):08x}'
        answer = Answer(request_id)
        record = self.world.record
        lines = {
            'Host': 'desk.example',
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(deadline_ms),
            'Content-Length': str(len(body)),
            **(headers or {}),
        }
        head = f'{method} {path} HTTP/1.1\r\n'
        head += ''.join(f'{k}: {v}\r\n' for k, v in lines.items()) + '\r\n'
        record.line(f'{request_id} {method} {path} sent to {self.name}')
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                if self._writer is None:
                    await self.open()
                self._writer.write(head.encode() + body)
                await self._read(answer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            answer.detail = type(error).__name__
        if (
            not answer.is_whole
            or answer.headers.get('connection', '').lower() == 'close'
        ):
            self.close()
        record.line(
            f'{request_id} answered {answer.status} by {self.name}, '
            f'{"whole" if answer.is_whole else "cut: " + answer.detail}, '
            f'{len(answer.body)} bytes'
        )
        return answer

    async def _read(self, answer):
        status = await self._reader.readline()
        if not status:
            raise asyncio.IncompleteReadError(b'', 1)
        answer.status = int(status.split()[1])
        while (line := (await self._reader.readline()).strip()) != b'':
            name, _, value = line.decode().partition(':')
            answer.headers[name.lower()] = value.strip()
        if answer.headers.get('transfer-encoding') == 'chunked':
            while True:
                size = await self._reader.readline()
                if not size.strip():
                    raise asyncio.IncompleteReadError(b'', 1)
                part = await self._reader.readexactly(int(size, 16) + 2)
                answer.body += part[:-2]
                if len(part) == 2:
                    break
        else:
            length = int(answer.headers.get('content-length', '0'))
            answer.body = await self._reader.readexactly(length)
        answer.is_whole = True


async def fetch(world, address, path):
    """Return the body of an answer of another interface, as JSON."""
    async with asyncio.timeout(2):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(
            f'GET {path} HTTP/1.1\r\nHost: x\r\n'
            'Connection: close\r\n\r\n'.encode()
        )
        head, _, body = (await reader.read()).partition(b'\r\n\r\n')
        writer.close()
    world.record.line(f'{path} answered {body.decode()}')
    return json.loads(body)
