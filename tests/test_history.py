"""Tests of prompts and token accounts."""

from balsamdale import history
from tests import builders_routed as builders


def test_prompt_holds_inputs_and_outputs_oldest_first():
    chain = (builders.turn(1, size=0), builders.turn(2, 1, size=0))
    assert history.assemble_prompt(chain, b'new') == b'i1o1\ni2o2\nnew'


def test_settled_entry_replaces_reservation_in_either_order():
    reserved = builders.charge(1, 100)
    settled = builders.charge(1, 7, True)
    for accounts in ([[reserved], [settled]], [[settled], [reserved]]):
        merged = history.merge_accounts(accounts)
        assert history.spent_tokens(merged, '') == 7


def test_spent_counts_every_turn_once_but_the_asking_one():
    accounts = [
        [builders.charge(1, 10), builders.charge(2, 20)],
        [builders.charge(2, 20), builders.charge(3, 30)],
    ]
    merged = history.merge_accounts(accounts)
    assert history.spent_tokens(merged, 't3') == 30
