"""Point 10: an accepted configuration is in force and never reverts."""

import asyncio
import random

import pytest

from balsamdale import configuration
from balsamdale import messages
from tests import cluster
from tests import mirror_world
from tests import virtual

APPLY_LIMIT_S = 4.0


def with_step_limit(text, step_limit):
    """Return the declaration with another step limit."""
    return text.replace('step_limit = 24', f'step_limit = {step_limit}')


def revisions_in_force(simulated):
    """Return the revision in force on every live instance."""
    return {
        n: running.relay.revision for n, running in simulated.instances.items()
    }


class RevisionRecorder:
    """Records every revision that an instance applies."""

    def __init__(self, simulated):
        self.seen = {name: [] for name in simulated.instances}
        for name, running in simulated.instances.items():
            running.relay._on_applied = self.seen[name].append

    def check(self):
        """Check that no instance returned to an earlier revision."""
        for name, applied in self.seen.items():
            assert applied == sorted(set(applied)), (name, applied)


@pytest.mark.point(10, 'no_pull')
def test_a_change_is_in_force_everywhere_within_the_target():
    async def main():
        simulated = cluster.Cluster(instances=9)
        await simulated.start()
        simulated.isolate('entry-9')
        first = await simulated.accept(with_step_limit(simulated.text, 25))
        await asyncio.sleep(APPLY_LIMIT_S)
        assert set(revisions_in_force(simulated).values()) >= {first.revision}
        simulated.heal()
        await asyncio.sleep(APPLY_LIMIT_S)
        assert set(revisions_in_force(simulated).values()) == {first.revision}

    virtual.run(main())


@pytest.mark.point(10, 'revision_goes_back')
def test_a_late_push_does_not_take_a_step_back():
    async def main():
        simulated = cluster.Cluster(instances=9)
        await simulated.start()
        recorder = RevisionRecorder(simulated)
        stale_relay = simulated.instances['entry-9'].relay
        late_push = messages.Configuration(
            stale_relay.revision, simulated.text
        )
        for number in range(30, 36):
            await simulated.accept(with_step_limit(simulated.text, number))
            await asyncio.sleep(0.2)
            for name in simulated.instances:
                links = simulated.instances['entry-1'].links
                await links.request(name, late_push)
        await asyncio.sleep(APPLY_LIMIT_S)
        recorder.check()
        assert len(set(revisions_in_force(simulated).values())) == 1

    virtual.run(main())


@pytest.mark.point(10, 'no_pull')
def test_a_newcomer_in_an_outage_takes_what_its_peers_have():
    async def main():
        simulated = cluster.Cluster(instances=9)
        await simulated.start()
        simulated.crash('entry-9')
        accepted = await simulated.accept(with_step_limit(simulated.text, 25))
        await asyncio.sleep(APPLY_LIMIT_S)
        simulated.store.available = False
        booting = asyncio.ensure_future(simulated.boot('entry-9'))
        await asyncio.sleep(APPLY_LIMIT_S)
        assert booting.done()
        assert revisions_in_force(simulated)['entry-9'] == accepted.revision

    virtual.run(main())


@pytest.mark.point(10, 'no_read_back')
def test_a_lost_answer_is_settled_before_anyone_says_accepted():
    async def main():
        simulated = cluster.Cluster()
        await simulated.start()
        simulated.store.responses_to_lose = 2
        accepted = await simulated.accept(with_step_limit(simulated.text, 25))
        assert isinstance(accepted, configuration.Accepted)
        head, revision = await configuration.fetch_head(simulated.store)
        assert revision == accepted.revision
        assert head.change_id == accepted.head.change_id

    virtual.run(main())


@pytest.mark.point(10, 'blind_write')
def test_of_two_racing_operators_one_wins_and_the_other_is_told():
    async def main():
        simulated = cluster.Cluster()
        await simulated.start()
        _, base = await configuration.fetch_head(simulated.store)
        results = []
        for operator in ('anke', 'budi'):
            text = with_step_limit(simulated.text, 25 + len(results))
            results.append(
                asyncio.ensure_future(
                    configuration.accept(
                        simulated.store, text, base, operator, operator, 1.0
                    )
                )
            )
        outcomes = await asyncio.gather(*results)
        won = [r for r in outcomes if isinstance(r, configuration.Accepted)]
        lost = [r for r in outcomes if isinstance(r, configuration.Conflict)]
        assert len(won) == len(lost) == 1
        assert lost[0].head.operator == won[0].head.operator

    virtual.run(main())


@pytest.mark.point(10, 'older_write_wins', 'log_kept_over_snapshots')
def test_copies_of_a_store_in_pages_are_complete_and_never_go_back(seeds):
    for seed in range(seeds):
        world = mirror_world.PagedWorld(random.Random(seed))
        for _ in range(120):
            world.step()
        world.converge()
