"""Point 6: what is refused as not run truly was not run."""

import asyncio

import pytest

from balsamdale import errors
from tests import cluster
from tests.proofs import conftest
from tests import virtual


@pytest.mark.point(6, 'always_not_run')
def test_not_run_means_no_execution(sweep):
    for case in sweep:
        counts = conftest.executions(case.seen)
        for request_id, reply in case.seen.answers.items():
            if reply.code == 'ok' or reply.ran == 'unknown':
                continue
            name, _, number = request_id.rpartition('-')
            assert request_id not in ('direct', 'direct-again'), case.name
            if number == '0':
                assert not counts['clinic_alert', name], case.name
            accepted = {t.request_id for t in case.seen.views[name].turns}
            assert reply.ran == 'no' and request_id not in accepted, case.name


@pytest.mark.point(6, 'always_not_run')
def test_a_late_tool_is_not_called_unrun():
    async def main():
        running = cluster.Cluster()
        await running.start()
        running.backends.hang = True
        await running.create('p', 'alert')
        reply = await running.turn('p', 't', 'send the clinic alert')
        assert reply.code == 'deadline_exceeded'
        assert running.backends.executions and reply.ran == 'unknown'

    virtual.run(main())


async def _lose_disks(running, owner):
    """Cut an owner off from every disk but its own."""
    for name in running.disks:
        if name != owner:
            running.network.cuts |= {(owner, name), (name, owner)}


@pytest.mark.point(6, 'refused_while_pending')
def test_a_call_that_may_become_durable_is_not_refused_as_unrun():
    async def main():
        running = cluster.Cluster()
        await running.start()
        await running.create('p', 'alert')
        owner = (await running.view('p')).owner_id
        await _lose_disks(running, owner)
        reply = None
        try:
            await running.call_through(
                owner, 'p', _submit('p', 't', 'send the clinic alert')
            )
        except errors.Refused as refused:
            reply = refused
        running.heal()
        await asyncio.sleep(20)
        ran = any(n == 'clinic_alert' for n, _ in running.backends.executions)
        assert reply is not None and ran
        assert reply.ran == 'unknown' and reply.retry_after_s

    virtual.run(main())


@pytest.mark.point(6, 'confirm_off')
def test_a_displaced_owner_does_not_say_not_run():
    """It cannot know what its successor has run meanwhile."""

    async def main():
        running = cluster.Cluster()
        await running.start()
        first, second = cluster_neighbours()
        await running.create(first, 'alert')
        old = (await running.view(first)).owner_id
        running.isolate(old)
        await asyncio.sleep(5)
        paused = running.instances.pop(old)
        await running.create(second, 'alert')
        await running.turn(second, 't', 'send the clinic alert')
        running.instances[old] = paused
        message = _submit(second, 't', 'send the clinic alert')
        try:
            await running.call_through(old, second, message)
        except (errors.Refused, errors.LinkError) as refused:
            assert getattr(refused, 'ran', 'unknown') != 'no'

    virtual.run(main())


@pytest.mark.point(6, 'always_not_run')
def test_an_overloaded_queue_refuses_at_once_with_when_to_come_back():
    async def main():
        running = cluster.Cluster()
        running.text = running.text.replace('slots = 8', 'slots = 1')
        running.text = running.text.replace(
            'decode_tokens_per_s = 500.0', 'decode_tokens_per_s = 10.0'
        )
        await running.start()
        names = [f'p{index}' for index in range(30)]
        for name in names:
            await running.create(name, 'alert')
        replies = await asyncio.gather(
            *(running.turn(name, 't', 'hello') for name in names)
        )
        refused = [r for r in replies if r.code == 'would_be_late']
        ran = {session for session, _ in running.backends.prompts}
        assert refused
        for name, reply in zip(names, replies):
            if reply.ran == 'no':
                assert name not in ran and reply.retry_after_s

    virtual.run(main())


def cluster_neighbours():
    """Return two programs of one shard."""
    from tests.proofs import session

    return session.neighbours()


def _submit(program_id, request_id, text):
    digest = cluster.program.digest_of(text)
    return cluster.messages.SubmitTurn(
        program_id, 'c', request_id, digest, text
    )
