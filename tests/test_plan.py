"""Tests of plans: what is said before anything changes."""

import pytest

from balsamdale import declaration
from balsamdale import errors
from balsamdale import plan
from harness import fleet

TEXT = (fleet.EXAMPLES / 'pollenwacht.toml').read_text()


def prepare(intent, affected=()):
    """Prepare a plan against the example."""
    return plan.prepare(intent, TEXT, 7, affected, 'id', 'anke', 100.0)


def test_a_drained_domain_shows_the_capacity_left():
    made = prepare(plan.DrainDomain('hall-gent'))
    assert 'forecast in hall-gent: 16 -> 0' in made.capacity
    assert 'forecast in hall-leuven: 16 -> 16' in made.capacity
    assert made.base_revision == 7 and made.expires_at_s > 100.0
    assert 'forecast keeps 24 of 40 slots' in made.dangers


def test_a_returned_domain_shows_the_capacity_gained():
    text = plan.apply_intent(plan.DrainDomain('hall-gent'), TEXT)
    undo = plan.Undo(TEXT, 'drain failure domain hall-gent')
    made = plan.prepare(undo, text, 8, (), 'id', 'anke', 0.0)
    assert 'forecast in hall-gent: 0 -> 16' in made.capacity
    assert made.summary == 'undo: drain failure domain hall-gent'


def test_the_last_server_of_a_service_is_the_first_danger():
    text = TEXT
    for number in (1, 2):
        text = plan.apply_intent(plan.DrainServer(f'delivery-{number}'), text)
    made = plan.prepare(
        plan.DrainServer('delivery-3'), text, 7, (), 'id', 'anke', 0.0
    )
    assert made.dangers[0].startswith('NO backend server of delivery')


def test_only_touched_contracts_are_affected():
    rows = [plan.Affected('briefing', 4, 2), plan.Affected('alert', 1, 1)]
    made = prepare(plan.SetBudget('briefing', 50000), rows)
    assert made.affected == (rows[0],)
    assert 'may spend less' in made.dangers[0]


def test_a_rewrite_keeps_comments_and_changes_one_thing():
    text = plan.apply_intent(plan.DrainServer('forecast-1'), TEXT)
    assert text.startswith('# The declaration of Pollenwacht')
    assert declaration.parse(text).server('forecast-1').state == 'leaving'
    back = plan.apply_intent(plan.ReturnServer('forecast-1'), text)
    assert declaration.parse(back) == declaration.parse(TEXT)


def test_an_intent_that_names_nothing_is_refused():
    with pytest.raises(errors.Refused) as caught:
        prepare(plan.DrainServer('no-such'))
    assert caught.value.code == 'unknown_name'
    with pytest.raises(errors.Refused) as caught:
        prepare(plan.ReturnServer('forecast-1')) and prepare(
            plan.Declare(TEXT)
        )
    assert caught.value.code == 'no_change'


def test_a_declaration_with_mistakes_gets_no_plan():
    with pytest.raises(errors.ValidationFailed):
        prepare(plan.Declare(TEXT.replace('kind = "plain"', 'kind = "x"')))
