"""Point 4: engine memory is not kept for programs that have ended."""

import asyncio

import pytest

from tests import cluster
from tests import virtual


@pytest.mark.point(4, 'release_dropped')
def test_nothing_stays_cached_after_a_session(sweep):
    for case in sweep:
        assert not case.result.sessions, case.name


@pytest.mark.point(4, 'release_dropped', 'release_unconfirmed')
def test_a_release_is_repeated_until_confirmed():
    async def main():
        running = cluster.Cluster()
        await running.start()
        await running.create('p', 'briefing')
        await running.turn('p', 't', 'spawn an agent for the pollen counts')
        assert running.backends.sessions()
        running.backends.release_failures = 5
        await running.end('p')
        await asyncio.sleep(10)
        assert not running.backends.sessions()

    virtual.run(main())


@pytest.mark.point(4, 'release_dropped')
def test_a_release_goes_on_when_the_owner_dies():
    async def main():
        running = cluster.Cluster()
        await running.start()
        await running.create('p', 'follow-up')
        await running.turn('p', 't', 'hello')
        view = await running.view('p')
        running.backends.release_failures = 1
        await running.end('p')
        running.crash(view.owner_id)
        await asyncio.sleep(15)
        assert not running.backends.sessions()

    virtual.run(main())
