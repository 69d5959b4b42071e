"""Tests of background loops."""

import asyncio

from balsamdale import background


def test_unexpected_error_does_not_end_a_loop(monkeypatch):
    monkeypatch.setattr(background, 'RESTART_DELAY_S', 0.0)
    runs = []

    async def loop():
        runs.append(len(runs))
        if len(runs) < 3:
            raise KeyError('unexpected')

    async def main():
        tasks = background.BackgroundTasks('test')
        tasks.spawn_loop(loop)
        while len(runs) < 3:
            await asyncio.sleep(0.001)

    asyncio.run(asyncio.wait_for(main(), 5.0))
    assert runs == [0, 1, 2]
