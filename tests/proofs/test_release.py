"""Point 4: engines keep no cache for programs that have ended."""

import asyncio

import pytest

from tests import cluster
from tests import virtual


@pytest.mark.point(4, 'release_dropped')
def test_nothing_stays_cached_after_a_session(sweep):
    for case in sweep:
        assert not case.result.cached_programs, case.name


@pytest.mark.point(4, 'release_dropped', 'release_unconfirmed')
def test_a_release_is_repeated_until_confirmed():
    async def main():
        sim_cluster = cluster.Cluster()
        await sim_cluster.start()
        await sim_cluster.create('p', 'briefing')
        await sim_cluster.turn(
            'p', 't', 'spawn an agent for the pollen counts'
        )
        assert sim_cluster.backends.sessions()
        sim_cluster.backends.release_failures = 5
        await sim_cluster.end('p')
        await asyncio.sleep(10)
        assert not sim_cluster.backends.sessions()

    virtual.run(main())


@pytest.mark.point(4, 'release_dropped')
def test_a_release_goes_on_when_the_owner_dies():
    async def main():
        sim_cluster = cluster.Cluster()
        await sim_cluster.start()
        await sim_cluster.create('p', 'follow-up')
        await sim_cluster.turn('p', 't', 'hello')
        view = await sim_cluster.view('p')
        sim_cluster.backends.release_failures = 1
        await sim_cluster.end('p')
        sim_cluster.crash(view.owner_id)
        await asyncio.sleep(15)
        assert not sim_cluster.backends.sessions()

    virtual.run(main())
