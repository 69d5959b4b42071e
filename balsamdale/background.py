"""Tasks that run in the background."""

import asyncio
from collections import abc as collections_abc

from absl import logging

__all__ = ['BackgroundTasks', 'retrieve_exception']


class BackgroundTasks:
    """Keeps tasks referenced until they end, and logs their failures.

    Args:
        log_prefix: prefix of the log lines.
    """

    def __init__(self, log_prefix: str):
        self._log_prefix = log_prefix
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coroutine: collections_abc.Coroutine) -> None:
        """Start a coroutine without waiting for it."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._remove_finished)

    def cancel(self) -> None:
        """Cancel the tasks that still run."""
        for task in list(self._tasks):
            task.cancel()

    def _remove_finished(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error(
                '%s: a task failed: %r', self._log_prefix, task.exception()
            )


def retrieve_exception(future: asyncio.Future) -> None:
    """Retrieve a failure that nobody awaits, so that it is not logged."""
    if not future.cancelled():
        future.exception()
