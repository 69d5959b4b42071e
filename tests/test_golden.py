"""Golden files of whole sessions; `make golden` writes them anew.

Each story is read as text: what callers did, what became durable, what
backend servers were asked, what failed, and what callers got.
"""

import asyncio
import pathlib

import pytest

from tests import storyteller

FOLDER = pathlib.Path(__file__).parent / 'golden'


async def morning_briefing(story):
    """A briefing with a tool and a sub-agent, then its end."""
    await story.create('briefing', 'briefing')
    await story.turn(
        'briefing',
        'turn-1',
        'Read the pollen counts, then spawn an agent for last spring',
    )
    await story.turn('briefing', 'turn-2', 'Shorten it to three lines')
    await storyteller.end_and_wait(story, 'briefing')


async def owner_killed_in_a_follow_up(story):
    """The owner dies while the model answers; the conversation goes on."""
    await story.create('follow-up', 'follow-up')
    await story.turn('follow-up', 'turn-1', 'Does she need her tablet?')
    asking = asyncio.ensure_future(
        story.turn('follow-up', 'turn-2', 'And if it rains?')
    )
    await asyncio.sleep(0.15)
    await story.crash_owner('follow-up')
    await asking


async def owner_killed_in_an_alert(story):
    """The owner dies with a non-idempotent alert in flight."""
    await story.create('alert', 'alert')
    asking = asyncio.ensure_future(
        story.turn('alert', 'turn-1', 'Send the clinic alert')
    )
    while not story.running.backends.executions:
        await asyncio.sleep(0.005)
    await story.crash_owner('alert')
    await asking
    await story.turn('alert', 'turn-1', 'Send the clinic alert')


async def budget_runs_out(story):
    """A small budget ends a conversation truthfully."""
    await story.create('small', 'follow-up', 400)
    for number in range(4):
        await story.turn('small', f'turn-{number}', 'What about tomorrow?')


async def poisoned_request(story):
    """A request that crashes engines is stopped after the second one."""
    story.running.backends.crash_on = 'poison'
    await story.create('first', 'follow-up')
    await story.turn('first', 'turn-1', 'poison')
    await story.create('second', 'follow-up')
    await story.turn('second', 'turn-1', 'poison')


async def permit_asked_twice(story):
    """A repeated plain request joins the first one's answer."""
    both = [
        story.request('delivery', 'permit-44', 'raise it') for _ in range(2)
    ]
    await asyncio.gather(*both)
    await story.request('delivery', 'permit-44', 'another body')


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
    story = f'# {script.__doc__}\n{storyteller.tell(script)}'
    path = FOLDER / f'{script.__name__}.txt'
    if request.config.getoption('--golden'):
        path.write_text(story)
    assert story == path.read_text()
