"""Retry delays, and a budget that prevents retry storms."""

import random

__all__ = ['RetryBudget', 'delay_s']

BASE_DELAY_S = 0.05
MAX_DELAY_S = 2.0
RETRIES_PER_SUCCESS = 0.1
MAX_SAVED_RETRIES = 10.0


def delay_s(attempt: int, generator: random.Random) -> float:
    """Return the delay before a retry: exponential backoff, full jitter.

    Args:
        attempt: 1 for the first retry.
        generator: source of the jitter.
    """
    upper_bound_s = min(MAX_DELAY_S, BASE_DELAY_S * 2**attempt)
    return generator.uniform(0, upper_bound_s)


class RetryBudget:
    """Token bucket of retries: full at first, refilled by successes."""

    def __init__(self):
        self._available_retries = MAX_SAVED_RETRIES

    def record_success(self) -> None:
        """Refill the budget by the share that a success earns."""
        self._available_retries = min(
            MAX_SAVED_RETRIES, self._available_retries + RETRIES_PER_SUCCESS
        )

    def try_acquire(self) -> bool:
        """Use up one retry; return whether it is allowed."""
        if self._available_retries < 1:
            return False
        self._available_retries -= 1
        return True
