"""A virtual clock for asyncio: waiting takes no real time."""

import asyncio
from collections import abc as collections_abc

START_S = 1_000_000.0
LIMIT_S = 300.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that jumps to the next timer when it is idle."""

    def __init__(self):
        super().__init__()
        self._now_s = START_S
        self._poll = self._selector.select
        self._selector.select = self._select

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def _select(self, timeout):
        if timeout is None:
            raise RuntimeError('everything waits for something else')
        self._now_s += max(0.0, timeout)
        if self._now_s > START_S + LIMIT_S:
            self._now_s = START_S
            raise TimeoutError(f'not done after {LIMIT_S} virtual seconds')
        return self._poll(0)


def run(main: collections_abc.Coroutine) -> object:
    """Run a coroutine on a virtual clock."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(main)
    finally:
        loop.run_until_complete(_cancel_rest())
        asyncio.set_event_loop(None)
        loop.close()


async def _cancel_rest():
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
