"""Access to the log of decisions: one JSON line each on standard output.

Lines are buffered and written when the output takes them, so that a slow
reader never holds up a request. What does not fit is dropped and counted.
"""

import asyncio
import os
import select
import sys
import time

from absl import logging
import msgspec

__all__ = ['DecisionLog', 'count_dropped', 'count_lines', 'install', 'record']

# Seconds that a line waits in the buffer.
FLUSH_INTERVAL_S = 0.2
# Bytes of one write: what a writable pipe takes at once (PIPE_BUF).
WRITE_BYTES = 4096
# Bytes kept for a slow reader.
BUFFER_BYTES = 262144
# Lines a second: several times the rate of requests of one entry.
LINES_PER_S = 400.0


class DecisionLog:
    """A bounded buffer of lines before a file descriptor.

    Args:
        descriptor: open file descriptor.
        instance_id: named in each line.
        lines_per_s: lines kept a second; more are dropped and counted.
    """

    def __init__(
        self,
        descriptor: int,
        instance_id: str,
        lines_per_s: float = LINES_PER_S,
    ):
        self._descriptor = descriptor
        self._instance_id = instance_id
        self._rate = lines_per_s
        self._room = lines_per_s
        self._filled_at_s = 0.0
        self._buffer = bytearray()
        self._encoder = msgspec.json.Encoder()
        self.line_count = 0
        self.dropped_count = 0
        self._dropped_told = 0

    def add(self, now_s: float, event: str, fields: dict) -> bool:
        """Buffer a line; return whether there was room."""
        elapsed_s = max(0.0, now_s - self._filled_at_s)
        self._room = min(self._rate, self._room + elapsed_s * self._rate)
        self._filled_at_s = now_s
        if self._room < 1 or len(self._buffer) > BUFFER_BYTES:
            self.dropped_count += 1
            return False
        self._room -= 1
        if self.dropped_count > self._dropped_told:
            fields = {**fields, 'lines_dropped': self.dropped_count}
            self._dropped_told = self.dropped_count
        line = {
            'at_s': round(now_s, 4),
            'instance': self._instance_id,
            'event': event,
            **fields,
        }
        self._buffer += self._encoder.encode(line)
        self._buffer += b'\n'
        self.line_count += 1
        return True

    def flush(self) -> None:
        """Write as much as the output takes at once."""
        while self._buffer:
            _, writable, _ = select.select([], [self._descriptor], [], 0)
            if not writable:
                return
            try:
                written = os.write(
                    self._descriptor, self._buffer[:WRITE_BYTES]
                )
            except OSError:
                # Nobody reads the log any more; there is nowhere to say so.
                self.dropped_count += self._buffer.count(b'\n')
                self._buffer.clear()
                return
            del self._buffer[:written]

    async def run(self) -> None:
        """Flush now and then, for ever."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()


_log: DecisionLog | None = None


class _Handler(logging.ABSLHandler):
    """Turns the lines of the library's logger into decision lines."""

    def emit(self, record):
        if _log is not None:
            _log.add(
                record.created,
                'message',
                {
                    'level': record.levelname.lower(),
                    'text': record.getMessage(),
                },
            )


def install(instance_id: str) -> DecisionLog:
    """Send decisions and messages of this process to standard output."""
    global _log
    _log = DecisionLog(sys.stdout.fileno(), instance_id)
    logger = logging.get_absl_logger()
    for handler in list(logger.handlers):
        logger.removeHandler(handler)
    logger.addHandler(_Handler(logging.PythonFormatter()))
    logger.propagate = False
    return _log


def count_lines() -> int:
    """Return how many lines were written."""
    return _log.line_count if _log is not None else 0


def count_dropped() -> int:
    """Return how many lines were dropped."""
    return _log.dropped_count if _log is not None else 0


def record(event: str, **fields) -> None:
    """Write one decision with the inputs that led to it."""
    if _log is not None:
        _log.add(time.time(), event, fields)
