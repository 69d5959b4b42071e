"""Tasks that run in the background."""

import asyncio
from collections import abc as collections_abc

from absl import logging

__all__ = ['BackgroundTasks', 'retrieve_exception']

# Pause before a loop that failed runs again.
RESTART_DELAY_S = 0.5


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

    def spawn_loop(
        self,
        run: collections_abc.Callable[[], collections_abc.Coroutine],
    ) -> None:
        """Start a loop that runs again after an unexpected error.

        Args:
            run: a coroutine function that returns only when it is done.
        """
        self.spawn(self._run_again(run))

    def cancel(self) -> None:
        """Cancel the tasks that still run."""
        for task in list(self._tasks):
            task.cancel()

    async def _run_again(self, run):
        while True:
            try:
                return await run()
            except Exception:
                logging.exception(
                    '%s: a loop failed and runs again', self._log_prefix
                )
                await asyncio.sleep(RESTART_DELAY_S)

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
