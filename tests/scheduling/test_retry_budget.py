"""Tests of the limit on retries."""

from balsamdale.scheduling import retry_budget


def test_retries_of_a_failing_burst_are_a_share_of_its_requests():
    """Each request would otherwise be sent up to four times."""
    budget = retry_budget.RetryBudget()
    allowed = 0
    for number in range(1000):
        now_s = 100 + number * 0.005
        budget.record_request(now_s)
        allowed += sum(budget.allow_retry(now_s) for _ in range(3))
    assert 190 <= allowed <= 200 + retry_budget.MIN_RETRIES
    assert budget.withheld == 3000 - allowed


def test_idle_instance_may_retry_a_few_times_per_window():
    budget = retry_budget.RetryBudget()
    budget.record_request(0.0)
    allowed = [budget.allow_retry(0.1) for _ in range(5)]
    assert allowed.count(True) == retry_budget.MIN_RETRIES
    assert not budget.allow_retry(retry_budget.WINDOW_S - 0.1)
    assert budget.allow_retry(retry_budget.WINDOW_S + 0.2)
