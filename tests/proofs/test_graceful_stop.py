"""Point 9: a planned stop cuts off no request in flight."""

import asyncio

import pytest

from balsamdale import messages
from tests import cluster
from tests import virtual


async def _watch(running, through, message):
    """Return every event that a caller sees through one instance."""
    forwarder = running.instances[through].forwarder
    with forwarder.track_call():
        return [
            event
            async for event in forwarder.forward(message.program_id, message)
        ]


@pytest.mark.point(9, 'no_drain')
def test_a_planned_stop_cuts_nothing(seeds):
    async def main(delay_s):
        running = cluster.Cluster()
        await running.start()
        names = [f'p{index}' for index in range(12)]
        for name in names:
            await running.create(name, 'alert')
        asking = [
            asyncio.ensure_future(
                _watch(running, 'entry-2', _submit(name, 'clinic alert'))
            )
            for name in names
        ]
        await asyncio.sleep(delay_s)
        gone = running.instances['entry-2']
        await gone.leave()
        running.crash('entry-2')
        for events in await asyncio.gather(*asking):
            kinds = {type(event) for event in events}
            assert messages.AnswerRestarted not in kinds
            assert events[-1].outcome == 'ok'
        for name in names:
            view = await running.view(name)
            steps = [s for turn in view.turns for s in turn.steps]
            assert all(step.endswith(' ok') for step in steps), steps

    for index in range(max(8, seeds // 20)):
        virtual.run(main(0.05 * index))


def _submit(name, text):
    digest = cluster.program.digest_of(text)
    return messages.SubmitTurn(name, 'c', 't', digest, text)


@pytest.mark.point(9, 'no_handover')
def test_a_planned_stop_hands_its_shards_over():
    """Programs go on at once, without waiting for a verdict of death."""

    async def main():
        running = cluster.Cluster()
        await running.start()
        await running.create('p', 'alert')
        owner = (await running.view('p')).owner_id
        await running.instances[owner].leave()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        others = [n for n in running.instances if n != owner]
        message = messages.FetchProgram('p')
        view = await running.call_through(others[0], 'p', message)
        assert view.owner_id != owner
        assert loop.time() - started_s < 0.5

    virtual.run(main())
