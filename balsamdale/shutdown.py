"""Steps of a shutdown, carried out whatever becomes of the others.

A step that fails must not keep those after it from being carried out, and one
that does not end must not use up the time of the process.
"""

import asyncio
from collections import abc as collections_abc
import inspect

from balsamdale import decisions

__all__ = ['Step', 'cancel_tasks', 'run_steps']

# Time that a step gets even if it starts too late: what only has to be
# scheduled still ends.
MIN_STEP_S = 0.05

Step = collections_abc.Callable[[], collections_abc.Awaitable[None] | None]


async def run_steps(steps: dict[str, Step], deadline_s: float) -> bool:
    """Carry out steps at the same time, until a deadline.

    Those that fail, and those that are cancelled as they have not ended, are
    logged.

    Args:
        steps: the steps by name; plain functions are called in their order.
        deadline_s: time of the event loop at which to go on without them.

    Returns:
        Whether all have ended.
    """
    tasks = {
        asyncio.create_task(_run(name, step)): name
        for name, step in steps.items()
    }
    unfinished = await _wait(tasks, deadline_s)
    for task in unfinished:
        decisions.record('stop_step_unfinished', step=tasks[task])
        task.cancel()
    return not unfinished


async def cancel_tasks(deadline_s: float) -> None:
    """Cancel all other tasks; log those that have not ended at a deadline.

    Args:
        deadline_s: time of the event loop.
    """
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    for task in await _wait(tasks, deadline_s) if tasks else ():
        decisions.record('task_unfinished', task=repr(task.get_coro()))


async def _wait(tasks, deadline_s):
    """Return the tasks that have not ended at a deadline."""
    left_s = deadline_s - asyncio.get_running_loop().time()
    _, unfinished = await asyncio.wait(tasks, timeout=max(MIN_STEP_S, left_s))
    return unfinished


async def _run(name, step):
    try:
        result = step()
        if inspect.isawaitable(result):
            await result
    except Exception as error:
        decisions.record(
            'stop_step_failed',
            step=name,
            reason=repr(error),
            traceback=decisions.format_traceback(error),
        )
