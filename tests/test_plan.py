"""Tests of plans: the effects and dangers shown before a change."""

import pytest

from balsamdale import declaration
from balsamdale import errors
from balsamdale import plan
from harness import fleet

TEXT = (fleet.EXAMPLES / 'pollenwacht.toml').read_text()


def prepare(intent, affected=()):
    """Prepare a plan for the example declaration."""
    return plan.prepare(intent, TEXT, 7, affected, 'id', 'anke', 100.0)


def test_a_drained_domain_shows_the_capacity_left():
    prepared = prepare(plan.DrainDomain('hall-gent'))
    assert 'forecast in hall-gent: 16 -> 0' in prepared.capacity
    assert 'forecast in hall-leuven: 16 -> 16' in prepared.capacity
    assert prepared.base_revision == 7 and prepared.expires_at_s > 100.0
    assert 'forecast keeps 24 of 40 slots' in prepared.dangers


def test_a_returned_domain_shows_the_capacity_gained():
    drained = plan.apply_intent(plan.DrainDomain('hall-gent'), TEXT)
    undo = plan.Undo(TEXT, 'drain failure domain hall-gent')
    prepared = plan.prepare(undo, drained, 8, (), 'id', 'anke', 0.0)
    assert 'forecast in hall-gent: 0 -> 16' in prepared.capacity
    assert prepared.summary == 'undo: drain failure domain hall-gent'


def test_the_last_server_of_a_service_is_the_first_danger():
    drained = TEXT
    for number in (1, 2):
        drained = plan.apply_intent(
            plan.DrainServer(f'delivery-{number}'), drained
        )
    prepared = plan.prepare(
        plan.DrainServer('delivery-3'), drained, 7, (), 'id', 'anke', 0.0
    )
    assert prepared.dangers[0].startswith('NO backend server of delivery')


def test_only_touched_contracts_are_affected():
    live_programs = [
        plan.Affected('briefing', 4, 2),
        plan.Affected('alert', 1, 1),
    ]
    prepared = prepare(plan.SetBudget('briefing', 50000), live_programs)
    assert prepared.affected == (live_programs[0],)
    assert 'may spend less' in prepared.dangers[0]


def test_a_rewrite_keeps_comments_and_changes_one_thing():
    drained = plan.apply_intent(plan.DrainServer('forecast-1'), TEXT)
    assert drained.startswith('# The declaration of Pollenwacht')
    assert declaration.parse(drained).server('forecast-1').state == 'leaving'
    returned = plan.apply_intent(plan.ReturnServer('forecast-1'), drained)
    assert declaration.parse(returned) == declaration.parse(TEXT)


def test_an_intent_that_names_nothing_is_refused():
    with pytest.raises(errors.Refused) as raised:
        prepare(plan.DrainServer('no-such'))
    assert raised.value.code == 'unknown_name'
    with pytest.raises(errors.Refused) as raised:
        prepare(plan.ReturnServer('forecast-1')) and prepare(
            plan.Declare(TEXT)
        )
    assert raised.value.code == 'no_change'


def test_a_declaration_with_mistakes_gets_no_plan():
    with pytest.raises(errors.ValidationFailed):
        prepare(plan.Declare(TEXT.replace('kind = "plain"', 'kind = "x"')))
