"""Golden files of whole sessions; `make golden` rewrites them.

Each file lists the calls, the durable records, the requests to backend
servers, the faults and the outcomes. Its first line is the docstring of its
script.
"""

import asyncio
import pathlib

import pytest

from tests import transcript

FOLDER = pathlib.Path(__file__).parent / 'golden'


async def morning_briefing(session):
    """A briefing with a tool and a sub-agent, then its end."""
    await session.create('briefing', 'briefing')
    await session.turn(
        'briefing',
        'turn-1',
        'Read the pollen counts, then spawn an agent for last spring',
    )
    await session.turn('briefing', 'turn-2', 'Shorten it to three lines')
    await transcript.end_and_wait(session, 'briefing')


async def owner_killed_in_a_follow_up(session):
    """The owner dies while the model answers; the conversation goes on."""
    await session.create('follow-up', 'follow-up')
    await session.turn('follow-up', 'turn-1', 'Does she need her tablet?')
    pending_turn = asyncio.ensure_future(
        session.turn('follow-up', 'turn-2', 'And if it rains?')
    )
    await asyncio.sleep(0.15)
    await session.crash_owner('follow-up')
    await pending_turn


async def owner_killed_in_an_alert(session):
    """The owner dies with a non-idempotent alert in flight."""
    await session.create('alert', 'alert')
    pending_turn = asyncio.ensure_future(
        session.turn('alert', 'turn-1', 'Send the clinic alert')
    )
    while not session.cluster.backends.executions:
        await asyncio.sleep(0.005)
    await session.crash_owner('alert')
    await pending_turn
    await session.turn('alert', 'turn-1', 'Send the clinic alert')


async def budget_runs_out(session):
    """A small budget ends a conversation truthfully."""
    await session.create('small', 'follow-up', 400)
    for number in range(4):
        await session.turn('small', f'turn-{number}', 'What about tomorrow?')


async def poisoned_request(session):
    """A request that crashes engines is stopped after the second one."""
    session.cluster.backends.crash_on = 'poison'
    await session.create('first', 'follow-up')
    await session.turn('first', 'turn-1', 'poison')
    await session.create('second', 'follow-up')
    await session.turn('second', 'turn-1', 'poison')


async def permit_asked_twice(session):
    """A repeated plain request joins the first one's answer."""
    pending_requests = [
        session.request('delivery', 'permit-44', 'raise it') for _ in range(2)
    ]
    await asyncio.gather(*pending_requests)
    await session.request('delivery', 'permit-44', 'another body')


SCRIPTS = (
    morning_briefing,
    owner_killed_in_a_follow_up,
    owner_killed_in_an_alert,
    budget_runs_out,
    poisoned_request,
    permit_asked_twice,
)


@pytest.mark.parametrize('script', SCRIPTS, ids=lambda s: s.__name__)
def test_a_session_matches_its_golden_file(script, request):
    transcript_text = f'# {script.__doc__}\n{transcript.run_script(script)}'
    path = FOLDER / f'{script.__name__}.txt'
    if request.config.getoption('--golden'):
        path.write_text(transcript_text)
    assert transcript_text == path.read_text()
