"""Point 9: a planned stop interrupts no request in flight."""

import asyncio

import pytest

from balsamdale import messages
from tests import cluster
from tests import virtual


async def _read_events(simulated, entry_name, message):
    """Return every event that a caller sees through one instance."""
    forwarder = simulated.instances[entry_name].forwarder
    with forwarder.track_call():
        return [
            event
            async for event in forwarder.forward(message.program_id, message)
        ]


@pytest.mark.point(9, 'no_drain')
def test_a_planned_stop_cuts_nothing(seeds):
    async def main(delay_s):
        simulated = cluster.Cluster()
        await simulated.start()
        names = [f'p{index}' for index in range(12)]
        for name in names:
            await simulated.create(name, 'alert')
        reading = [
            asyncio.ensure_future(
                _read_events(
                    simulated, 'entry-2', _submit(name, 'clinic alert')
                )
            )
            for name in names
        ]
        await asyncio.sleep(delay_s)
        leaving = simulated.instances['entry-2']
        await leaving.leave()
        simulated.crash('entry-2')
        for events in await asyncio.gather(*reading):
            kinds = {type(event) for event in events}
            assert messages.AnswerRestarted not in kinds
            assert events[-1].outcome == 'ok'
        for name in names:
            view = await simulated.view(name)
            steps = [s for turn in view.turns for s in turn.steps]
            assert all(step.endswith(' ok') for step in steps), steps

    for index in range(max(8, seeds // 20)):
        virtual.run(main(0.05 * index))


def _submit(name, text):
    digest = cluster.program.digest_of(text)
    return messages.SubmitTurn(name, 'c', 't', digest, text)


@pytest.mark.point(9, 'no_handover')
def test_a_planned_stop_hands_its_shards_over():
    """Another instance serves a program before the owner counts as dead."""

    async def main():
        simulated = cluster.Cluster()
        await simulated.start()
        await simulated.create('p', 'alert')
        owner = (await simulated.view('p')).owner_id
        await simulated.instances[owner].leave()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        others = [n for n in simulated.instances if n != owner]
        message = messages.FetchProgram('p')
        view = await simulated.call_through(others[0], 'p', message)
        assert view.owner_id != owner
        assert loop.time() - started_s < 0.5

    virtual.run(main())
