"""Point 5: a caller gets the whole answer to its own request."""

import asyncio

import pytest

from tests import cluster
from tests.proofs import session
from tests import virtual


@pytest.mark.point(5, 'answers_crossed')
def test_each_answer_is_that_of_its_own_turn(sweep):
    for case in sweep:
        answers = case.seen.answers
        for view in case.seen.views.values():
            for turn in view.turns:
                reply = answers[turn.request_id]
                if session.is_ok(reply):
                    assert reply.text == turn.answer, case.name
                    assert reply.turn == turn.turn, case.name


@pytest.mark.point(5, 'answers_crossed')
def test_a_repeated_call_gets_the_same_answer(sweep):
    for case in sweep:
        for request_id, reply in case.seen.answers.items():
            again = case.seen.answers.get(f'{request_id}-again')
            if again is not None and session.is_ok(reply):
                assert again.text == reply.text, case.name


@pytest.mark.point(5, 'no_takeover')
def test_every_call_is_answered(sweep):
    for case in sweep:
        for request_id, reply in case.seen.answers.items():
            allowed = ('outcome_unknown',)
            ok = session.is_ok(reply) or reply.code in allowed
            assert ok, f'{case.name}: {request_id} {reply}'


@pytest.mark.point(5, 'steps_confused')
def test_the_parts_make_the_whole_after_a_takeover():
    """The reader's offset belongs to a model call that no longer counts."""

    async def main():
        running = cluster.Cluster()
        await running.start()
        await running.create('p', 'follow-up')
        view = await running.view('p')
        other = next(n for n in running.instances if n != view.owner_id)
        asking = asyncio.ensure_future(
            running.call_through(other, 'p', _submit('p', 'hello'))
        )
        while not running.backends.prompts:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        running.isolate(view.owner_id)
        assert (await asking).outcome == 'ok'

    virtual.run(main())


@pytest.mark.point(5, 'quarantine_off', 'suspects_together')
def test_a_request_that_crashes_servers_is_stopped_and_others_go_on():
    async def main():
        running = cluster.Cluster()
        await running.start()
        running.backends.crash_on = 'poison'
        names = ['bad', *(f'good-{i}' for i in range(6))]
        for name in names:
            await running.create(name, 'follow-up')
        bad = asyncio.ensure_future(running.turn('bad', 't', 'poison'))
        reply = await bad
        assert (reply.code, reply.ran) == ('quarantined', 'unknown')
        crashes = len(running.backends.crashes)
        assert crashes == 2
        await running.create('bad-again', 'follow-up')
        try:
            await running.turn('bad-again', 't', 'poison')
            raise AssertionError('a quarantined request was accepted')
        except cluster.errors.Refused as refused:
            assert (refused.code, refused.ran) == ('quarantined', 'no')
        assert len(running.backends.crashes) == crashes
        good = await running.turn('good-0', 't', 'hello')
        assert good.outcome == 'ok'

    virtual.run(main())


@pytest.mark.point(5, 'suspects_together')
def test_suspects_of_one_crash_never_share_a_server():
    from balsamdale import dispatch
    from balsamdale import messages
    from tests import builders

    server = builders.declared().server('forecast-1')
    queue = dispatch.Dispatcher(server, dispatch.Policy(), 0.0)
    for index in range(3):
        queue.enqueue(
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
    granted = [e.grant.grant_id for e in queue.poll(0.0)]
    assert granted == ['g0', 'g2']


def _submit(program_id, text):
    digest = cluster.program.digest_of(text)
    return cluster.messages.SubmitTurn(program_id, 'c', 't', digest, text)
