"""Access to tasks that run beside their starter."""

import asyncio
from collections import abc as collections_abc

from absl import logging

__all__ = ['BackgroundTasks', 'retrieve_exception']


class BackgroundTasks:
    """Holds tasks until they end and logs their failures.

    Args:
        part: prefix of log lines.
    """

    def __init__(self, part: str):
        self._part = part
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coroutine: collections_abc.Coroutine) -> None:
        """Run a coroutine without waiting for it."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._reap)

    def cancel(self) -> None:
        """Cancel whatever still runs."""
        for task in list(self._tasks):
            task.cancel()

    def _reap(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error(
                '%s: a task failed: %r', self._part, task.exception()
            )


def retrieve_exception(future: asyncio.Future) -> None:
    """Mark a failure as seen where nobody waits any more."""
    if not future.cancelled():
        future.exception()
