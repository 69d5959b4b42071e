"""Point 6: what is refused as not run has not run."""

import asyncio

import pytest

from balsamdale import errors
from tests import cluster
from tests.proofs import conftest
from tests import virtual


@pytest.mark.point(6, 'always_not_run')
def test_not_run_means_no_execution(sweep):
    for case in sweep:
        counts = conftest.count_executions(case.result)
        for request_id, reply in case.result.answers.items():
            if reply.code == 'ok' or reply.ran == 'unknown':
                continue
            program_id, _, turn_index = request_id.rpartition('-')
            assert request_id not in ('direct', 'direct-again'), case.name
            if turn_index == '0':
                assert not counts['clinic_alert', program_id], case.name
            accepted_ids = {
                t.request_id for t in case.result.views[program_id].turns
            }
            assert reply.ran == 'no' and request_id not in accepted_ids, (
                case.name
            )


@pytest.mark.point(6, 'always_not_run')
def test_a_late_tool_is_not_called_unrun():
    async def main():
        sim_cluster = cluster.Cluster()
        await sim_cluster.start()
        sim_cluster.backends.hang = True
        await sim_cluster.create('p', 'alert')
        reply = await sim_cluster.turn('p', 't', 'send the clinic alert')
        assert reply.code == 'deadline_exceeded'
        assert sim_cluster.backends.executions and reply.ran == 'unknown'

    virtual.run(main())


async def _lose_disks(sim_cluster, owner):
    """Partition an owner from every instance with a disk but itself."""
    for name in sim_cluster.disks:
        if name != owner:
            sim_cluster.network.cuts |= {(owner, name), (name, owner)}


@pytest.mark.point(6, 'refused_while_pending')
def test_a_call_that_may_become_durable_is_not_refused_as_unrun():
    async def main():
        sim_cluster = cluster.Cluster()
        await sim_cluster.start()
        await sim_cluster.create('p', 'alert')
        owner = (await sim_cluster.view('p')).owner_id
        await _lose_disks(sim_cluster, owner)
        reply = None
        try:
            await sim_cluster.call_through(
                owner, 'p', _submit('p', 't', 'send the clinic alert')
            )
        except errors.Refused as refusal:
            reply = refusal
        sim_cluster.heal()
        await asyncio.sleep(20)
        has_run = any(
            n == 'clinic_alert' for n, _ in sim_cluster.backends.executions
        )
        assert reply is not None and has_run
        assert reply.ran == 'unknown' and reply.retry_after_s

    virtual.run(main())


@pytest.mark.point(6, 'confirm_off')
def test_a_displaced_owner_does_not_say_not_run():
    """A superseded owner does not know what its successor has run.

    It was partitioned and returns with its old state.
    """

    async def main():
        sim_cluster = cluster.Cluster()
        await sim_cluster.start()
        first_id, second_id = programs_of_one_shard()
        await sim_cluster.create(first_id, 'alert')
        old_owner_id = (await sim_cluster.view(first_id)).owner_id
        sim_cluster.isolate(old_owner_id)
        await asyncio.sleep(5)
        old_owner = sim_cluster.instances.pop(old_owner_id)
        await sim_cluster.create(second_id, 'alert')
        await sim_cluster.turn(second_id, 't', 'send the clinic alert')
        sim_cluster.instances[old_owner_id] = old_owner
        message = _submit(second_id, 't', 'send the clinic alert')
        try:
            await sim_cluster.call_through(old_owner_id, second_id, message)
        except (errors.Refused, errors.LinkError) as refusal:
            assert getattr(refusal, 'ran', 'unknown') != 'no'

    virtual.run(main())


@pytest.mark.point(6, 'always_not_run')
def test_an_overloaded_queue_refuses_at_once_with_when_to_come_back():
    async def main():
        sim_cluster = cluster.Cluster()
        sim_cluster.text = sim_cluster.text.replace('slots = 8', 'slots = 1')
        sim_cluster.text = sim_cluster.text.replace(
            'decode_tokens_per_s = 500.0', 'decode_tokens_per_s = 10.0'
        )
        await sim_cluster.start()
        program_ids = [f'p{index}' for index in range(30)]
        for program_id in program_ids:
            await sim_cluster.create(program_id, 'alert')
        replies = await asyncio.gather(
            *(
                sim_cluster.turn(program_id, 't', 'hello')
                for program_id in program_ids
            )
        )
        refused_replies = [r for r in replies if r.code == 'would_be_late']
        started_ids = {
            program_id for program_id, _ in sim_cluster.backends.prompts
        }
        assert refused_replies
        for program_id, reply in zip(program_ids, replies):
            if reply.ran == 'no':
                assert program_id not in started_ids and reply.retry_after_s

    virtual.run(main())


def programs_of_one_shard():
    """Return the ids of two programs of one shard."""
    from tests.proofs import session

    return session.programs_of_one_shard()


def _submit(program_id, request_id, text):
    digest = cluster.program.digest_of(text)
    return cluster.messages.SubmitTurn(
        program_id, 'c', request_id, digest, text
    )
