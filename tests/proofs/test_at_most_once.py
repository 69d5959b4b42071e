"""Point 7: a non-idempotent request runs at most once."""

import pytest

from tests.proofs import conftest


@pytest.mark.point(
    7, 'intent_not_durable', 'dedupe_off', 'unknown_retried', 'fencing_off'
)
def test_no_alert_is_executed_twice(sweep):
    for case in sweep:
        counts = conftest.count_executions(case.result)
        repeated = [key for key, count in counts.items() if count > 1]
        assert not repeated, f'{case.name}: {repeated}'
        direct_count = sum(
            count for (name, _), count in counts.items() if name == 'delivery'
        )
        assert direct_count <= 1, case.name


@pytest.mark.point(7, 'unknown_retried')
def test_an_answer_that_says_ok_was_executed(sweep):
    for case in sweep:
        counts = conftest.count_executions(case.result)
        for name, view in case.result.views.items():
            if view.turns[0].outcome == 'ok':
                assert counts['clinic_alert', name] == 1, case.name
