"""An asyncio event loop on a virtual clock: sleeping takes no real time."""

import asyncio
from collections import abc as collections_abc

START_TIME_S = 1_000_000.0
MAX_VIRTUAL_DURATION_S = 300.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer when it is idle."""

    def __init__(self, max_duration_s=MAX_VIRTUAL_DURATION_S):
        super().__init__()
        self._now_s = START_TIME_S
        self._max_duration_s = max_duration_s
        self._real_select = self._selector.select
        self._selector.select = self._select_at_once

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def _select_at_once(self, timeout):
        if timeout is None:
            raise RuntimeError('deadlock: all tasks wait and no timer is set')
        self._now_s += max(0.0, timeout)
        if self._now_s > START_TIME_S + self._max_duration_s:
            self._now_s = START_TIME_S
            raise TimeoutError(
                f'not done after {self._max_duration_s} virtual seconds'
            )
        return self._real_select(0)


def run(
    main: collections_abc.Coroutine,
    max_duration_s: float = MAX_VIRTUAL_DURATION_S,
) -> object:
    """Run a coroutine to completion on a virtual clock.

    Raises:
        TimeoutError: it was not done after `max_duration_s` of that clock.
    """
    loop = VirtualLoop(max_duration_s)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(main)
    finally:
        loop.run_until_complete(_cancel_all_tasks())
        asyncio.set_event_loop(None)
        loop.close()


async def _cancel_all_tasks():
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
