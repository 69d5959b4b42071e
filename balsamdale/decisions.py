"""The decision log: one JSON line per decision on standard output.

Lines are buffered and written only while standard output is writable, so that
a slow reader never delays a request. Lines that exceed the buffer or the rate
limit are dropped and counted. What libraries and the interpreter would write
to standard error becomes a line too, as such a write waits for the reader.
"""

import asyncio
import json
import logging
import os
import select
import sys
import threading
import time
import traceback

from absl import logging as absl_logging
import msgspec

__all__ = [
    'DecisionLog',
    'count_dropped',
    'count_lines',
    'format_traceback',
    'install',
    'record',
    'write_through',
]

# Longest time that a line waits in the buffer of a writable output.
FLUSH_INTERVAL_S = 0.2
# PIPE_BUF on Linux: a writable pipe takes this much without blocking.
MAX_WRITE_BYTES = 4096
# Lines are dropped while more than this waits for a slow reader.
MAX_BUFFERED_BYTES = 262144
# Several times the request rate of one entry instance.
DEFAULT_LINES_PER_S = 400.0
# Longest traceback in a line; its end names the error.
MAX_TRACEBACK_CHARACTERS = 4000


class DecisionLog:
    """A bounded, rate-limited buffer of lines for a file descriptor.

    Args:
        descriptor: file descriptor that is open for writing.
        instance_id: id of this instance, written in each line.
        lines_per_s: rate limit; lines beyond it are dropped and counted.

    Attributes:
        line_count: lines that were buffered.
        dropped_count: lines that were dropped.
    """

    def __init__(
        self,
        descriptor: int,
        instance_id: str,
        lines_per_s: float = DEFAULT_LINES_PER_S,
    ):
        self._descriptor = descriptor
        self._instance_id = instance_id
        self._lines_per_s = lines_per_s
        self._allowed_lines = lines_per_s
        self._refilled_at_s = 0.0
        self._buffer = bytearray()
        self._encoder = msgspec.json.Encoder()
        self.line_count = 0
        self.dropped_count = 0
        self._reported_dropped_count = 0
        self._is_write_through = False

    @property
    def waiting_bytes(self) -> int:
        """Size of the lines that the output has not accepted."""
        return len(self._buffer)

    def write_through(self) -> None:
        """Write each line at once from now on, without blocking.

        A process that is killed loses the lines that it has buffered. The
        rate is not limited any more: these lines tell what became of the last
        requests, and there is no later one to count those dropped.
        """
        self._is_write_through = True
        self.flush()

    def add(self, now_s: float, event: str, fields: dict) -> bool:
        """Buffer a line; return False if it was dropped.

        The first line after dropped ones carries their total count.

        Args:
            now_s: time of the decision, seconds since the Unix epoch.
            event: name of the event.
            fields: inputs of the decision, by name.
        """
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._allowed_lines = min(
            self._lines_per_s,
            self._allowed_lines + elapsed_s * self._lines_per_s,
        )
        self._refilled_at_s = now_s
        is_limited = self._allowed_lines < 1 and not self._is_write_through
        if is_limited or len(self._buffer) > MAX_BUFFERED_BYTES:
            self.dropped_count += 1
            return False
        self._allowed_lines = max(0.0, self._allowed_lines - 1)
        if self.dropped_count > self._reported_dropped_count:
            fields = {**fields, 'lines_dropped': self.dropped_count}
            self._reported_dropped_count = self.dropped_count
        line = {
            'at_s': round(now_s, 4),
            'instance': self._instance_id,
            'event': event,
            **fields,
        }
        self._buffer += self._encode(line)
        self._buffer += b'\n'
        self.line_count += 1
        if self._is_write_through:
            self.flush()
        return True

    def _encode(self, line):
        """Encode a line; a log must not fail what it tells of.

        What callers send may be no valid text.
        """
        try:
            return self._encoder.encode(line)
        except (TypeError, ValueError):
            return json.dumps(line, default=repr).encode()

    def flush(self) -> None:
        """Write as much as the output accepts without blocking."""
        while self._buffer:
            _, writable, _ = select.select([], [self._descriptor], [], 0)
            if not writable:
                return
            try:
                written = os.write(
                    self._descriptor, self._buffer[:MAX_WRITE_BYTES]
                )
            except OSError:
                # The reader has closed the output, so this cannot be logged.
                self.dropped_count += self._buffer.count(b'\n')
                self._buffer.clear()
                return
            del self._buffer[:written]

    def drain(self, stall_s: float, wait_s: float) -> None:
        """Write what is left before the process ends; this may block.

        Args:
            stall_s: time without reading after which a reader is given up.
            wait_s: longest time.
        """
        deadline_s = time.monotonic() + wait_s
        self.flush()
        while self._buffer:
            left_s = deadline_s - time.monotonic()
            _, writable, _ = select.select(
                [], [self._descriptor], [], max(0.0, min(stall_s, left_s))
            )
            if not writable:
                return
            self.flush()

    async def run(self) -> None:
        """Flush at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()


_log: DecisionLog | None = None


class _Handler(logging.Handler):
    """Writes log messages to the decision log."""

    def emit(self, record):
        if _log is None:
            return
        try:
            text = record.getMessage()
        except (TypeError, ValueError):
            # A mistake in a call of a library must not fail the library.
            text = f'{record.msg!r} % {record.args!r}'
        fields = {'level': record.levelname.lower(), 'text': text}
        if record.exc_info and record.exc_info[1] is not None:
            fields['traceback'] = format_traceback(record.exc_info[1])
        _log.add(record.created, 'message', fields)


def install(instance_id: str) -> DecisionLog:
    """Send decisions and log messages of this process to standard output."""
    global _log
    _log = DecisionLog(sys.stdout.fileno(), instance_id)
    handler = _Handler()
    for logger in (logging.getLogger(), absl_logging.get_absl_logger()):
        for previous_handler in list(logger.handlers):
            logger.removeHandler(previous_handler)
        logger.addHandler(handler)
    absl_logging.get_absl_logger().propagate = False
    logging.captureWarnings(True)
    sys.unraisablehook = _record_unraisable
    threading.excepthook = _record_unraisable
    return _log


def format_traceback(error: BaseException) -> str:
    """Return the traceback of an error, its end if it is long."""
    text = ''.join(traceback.format_exception(error))
    return text[-MAX_TRACEBACK_CHARACTERS:]


def _record_unraisable(unraisable):
    """Log an error that the interpreter cannot raise anywhere."""
    error = unraisable.exc_value
    logging.error('an error was ignored: %r', error, exc_info=error)


def count_lines() -> int:
    """Return how many lines were buffered for writing."""
    return _log.line_count if _log is not None else 0


def count_dropped() -> int:
    """Return how many lines were dropped."""
    return _log.dropped_count if _log is not None else 0


def write_through() -> None:
    """Write each line of this process at once from now on."""
    if _log is not None:
        _log.write_through()


def record(event: str, **fields) -> None:
    """Log one decision with the inputs that led to it."""
    if _log is not None:
        _log.add(time.time(), event, fields)
