"""Point 5: a caller gets the complete answer to its own request."""

import asyncio

import pytest

from tests import cluster
from tests.proofs import session
from tests import virtual


@pytest.mark.point(5, 'answers_crossed')
def test_each_answer_is_that_of_its_own_turn(sweep):
    for case in sweep:
        answers = case.result.answers
        for view in case.result.views.values():
            for turn in view.turns:
                reply = answers[turn.request_id]
                if session.is_ok(reply):
                    assert reply.text == turn.answer, case.name
                    assert reply.turn == turn.turn, case.name


@pytest.mark.point(5, 'answers_crossed')
def test_a_repeated_call_gets_the_same_answer(sweep):
    for case in sweep:
        for request_id, reply in case.result.answers.items():
            repeated_reply = case.result.answers.get(f'{request_id}-again')
            if repeated_reply is not None and session.is_ok(reply):
                assert repeated_reply.text == reply.text, case.name


@pytest.mark.point(5, 'no_takeover')
def test_every_call_is_answered(sweep):
    for case in sweep:
        for request_id, reply in case.result.answers.items():
            allowed = ('outcome_unknown',)
            is_allowed = session.is_ok(reply) or reply.code in allowed
            assert is_allowed, f'{case.name}: {request_id} {reply}'


@pytest.mark.point(5, 'steps_confused')
def test_the_parts_make_the_whole_after_a_takeover():
    """Guards against a reader that resumes at a stale offset.

    The owner is cut off while it streams; the answer of its successor comes
    from another model call, to which the reader's offset does not apply.
    """

    async def main():
        sim_cluster = cluster.Cluster()
        await sim_cluster.start()
        await sim_cluster.create('p', 'follow-up')
        view = await sim_cluster.view('p')
        non_owner_id = next(
            n for n in sim_cluster.instances if n != view.owner_id
        )
        submission = asyncio.ensure_future(
            sim_cluster.call_through(non_owner_id, 'p', _submit('p', 'hello'))
        )
        while not sim_cluster.backends.prompts:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        sim_cluster.isolate(view.owner_id)
        assert (await submission).outcome == 'ok'

    virtual.run(main())


@pytest.mark.point(5, 'quarantine_off', 'suspects_together')
def test_a_request_that_crashes_servers_is_stopped_and_others_go_on():
    async def main():
        sim_cluster = cluster.Cluster()
        await sim_cluster.start()
        sim_cluster.backends.crash_on = 'poison'
        program_ids = ['bad', *(f'good-{i}' for i in range(6))]
        for program_id in program_ids:
            await sim_cluster.create(program_id, 'follow-up')
        crashing_turn = asyncio.ensure_future(
            sim_cluster.turn('bad', 't', 'poison')
        )
        reply = await crashing_turn
        assert (reply.code, reply.ran) == ('quarantined', 'unknown')
        crashes = len(sim_cluster.backends.crashes)
        assert crashes == 2
        await sim_cluster.create('bad-again', 'follow-up')
        try:
            await sim_cluster.turn('bad-again', 't', 'poison')
            raise AssertionError('a quarantined request was accepted')
        except cluster.errors.Refused as refused:
            assert (refused.code, refused.ran) == ('quarantined', 'no')
        assert len(sim_cluster.backends.crashes) == crashes
        healthy_reply = await sim_cluster.turn('good-0', 't', 'hello')
        assert healthy_reply.outcome == 'ok'

    virtual.run(main())


@pytest.mark.point(5, 'suspects_together')
def test_suspects_of_one_crash_never_share_a_server():
    from balsamdale import dispatch
    from balsamdale import messages
    from tests import builders

    server = builders.declared().server('forecast-1')
    dispatcher = dispatch.Dispatcher(server, dispatch.Policy(), 0.0)
    for index in range(3):
        dispatcher.enqueue(
            messages.GrantRequest(
                server=server.name,
                program_id=f'p{index}',
                grant_id=f'g{index}',
                priority='standard',
                slack_s=-1.0,
                attained_tokens=0,
                prompt_tokens=10,
                answer_tokens=10,
                wait_s=60.0,
                suspect=index < 2,
            ),
            0.0,
        )
    granted_ids = [e.grant.grant_id for e in dispatcher.poll(0.0)]
    assert granted_ids == ['g0', 'g2']


def _submit(program_id, text):
    digest = cluster.program.digest_of(text)
    return cluster.messages.SubmitTurn(program_id, 'c', 't', digest, text)
