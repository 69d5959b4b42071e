"""Point 10: an accepted configuration is in force and never reverts."""

import asyncio

import pytest

from balsamdale import configuration
from balsamdale import messages
from tests import cluster
from tests import virtual

IN_FORCE_S = 4.0


def variant(text, tokens):
    """Return a declaration that differs in one number."""
    return text.replace('step_limit = 24', f'step_limit = {tokens}')


def revisions(running):
    """Return the revision in force on every live instance."""
    return {n: one.relay.revision for n, one in running.instances.items()}


class History:
    """Notes every revision that comes into force."""

    def __init__(self, running):
        self.seen = {name: [] for name in running.instances}
        for name, one in running.instances.items():
            one.relay._applied = self.seen[name].append

    def check(self):
        """Check that no instance ever took a step back."""
        for name, applied in self.seen.items():
            assert applied == sorted(set(applied)), (name, applied)


@pytest.mark.point(10, 'no_pull')
def test_a_change_is_in_force_everywhere_within_the_target():
    async def main():
        running = cluster.Cluster(instances=9)
        await running.start()
        running.isolate('entry-9')
        first = await running.accept(variant(running.text, 25))
        await asyncio.sleep(IN_FORCE_S)
        assert set(revisions(running).values()) >= {first.revision}
        running.heal()
        await asyncio.sleep(IN_FORCE_S)
        assert set(revisions(running).values()) == {first.revision}

    virtual.run(main())


@pytest.mark.point(10, 'revision_goes_back')
def test_a_late_push_does_not_take_a_step_back():
    async def main():
        running = cluster.Cluster(instances=9)
        await running.start()
        history = History(running)
        old = running.instances['entry-9'].relay
        late = messages.Configuration(old.revision, running.text)
        for number in range(30, 36):
            await running.accept(variant(running.text, number))
            await asyncio.sleep(0.2)
            for name in running.instances:
                links = running.instances['entry-1'].links
                await links.request(name, late)
        await asyncio.sleep(IN_FORCE_S)
        history.check()
        assert len(set(revisions(running).values())) == 1

    virtual.run(main())


@pytest.mark.point(10, 'no_pull')
def test_a_newcomer_in_an_outage_takes_what_its_peers_have():
    async def main():
        running = cluster.Cluster(instances=9)
        await running.start()
        running.crash('entry-9')
        accepted = await running.accept(variant(running.text, 25))
        await asyncio.sleep(IN_FORCE_S)
        running.store.available = False
        booting = asyncio.ensure_future(running.boot('entry-9'))
        await asyncio.sleep(IN_FORCE_S)
        assert booting.done()
        assert revisions(running)['entry-9'] == accepted.revision

    virtual.run(main())


@pytest.mark.point(10, 'no_read_back')
def test_a_lost_answer_is_settled_before_anyone_says_accepted():
    async def main():
        running = cluster.Cluster()
        await running.start()
        running.store.responses_to_lose = 2
        accepted = await running.accept(variant(running.text, 25))
        assert isinstance(accepted, configuration.Accepted)
        head, revision = await configuration.fetch_head(running.store)
        assert revision == accepted.revision
        assert head.change_id == accepted.head.change_id

    virtual.run(main())


@pytest.mark.point(10, 'blind_write')
def test_of_two_racing_operators_one_wins_and_the_other_is_told():
    async def main():
        running = cluster.Cluster()
        await running.start()
        _, base = await configuration.fetch_head(running.store)
        results = []
        for operator in ('anke', 'budi'):
            text = variant(running.text, 25 + len(results))
            results.append(
                asyncio.ensure_future(
                    configuration.accept(
                        running.store, text, base, operator, operator, 1.0
                    )
                )
            )
        done = await asyncio.gather(*results)
        won = [r for r in done if isinstance(r, configuration.Accepted)]
        lost = [r for r in done if isinstance(r, configuration.Conflict)]
        assert len(won) == len(lost) == 1
        assert lost[0].head.operator == won[0].head.operator

    virtual.run(main())
