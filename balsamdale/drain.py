"""The wait, in a planned stop, for what is still open to end."""

import asyncio
from collections import abc as collections_abc

from balsamdale import planned_stop

__all__ = ['wait']

POLL_INTERVAL_S = 0.05
# Polls after the end of the drain: answers that arrived while this process
# was held up are passed on first.
LATE_POLLS = 2


async def wait(
    stop: planned_stop.PlannedStop,
    is_drained: collections_abc.Callable[[], bool],
) -> None:
    """Wait until nothing is open, or until the stop has to end.

    Args:
        stop: the planned stop.
        is_drained: returns whether nothing is open.
    """
    loop = asyncio.get_running_loop()
    interval_s = min(POLL_INTERVAL_S, stop.close_reserve_s / (4 * LATE_POLLS))
    polls_left = LATE_POLLS
    while polls_left:
        if loop.time() >= stop.ends_s:
            polls_left -= 1
        # The listener learns of what it has accepted only after this.
        await asyncio.sleep(interval_s)
        if is_drained():
            return
