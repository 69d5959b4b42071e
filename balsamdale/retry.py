"""Access to retry rules: delays, and a budget that stops retry storms."""

import random

__all__ = ['RetryBudget', 'delay_s']

BASE_DELAY_S = 0.05
LONGEST_DELAY_S = 2.0
SHARE = 0.1
RESERVE = 10.0


def delay_s(attempt: int, generator: random.Random) -> float:
    """Return an exponential delay with full jitter.

    Args:
        attempt: 1 for the first retry.
        generator: source of the jitter.
    """
    bound_s = min(LONGEST_DELAY_S, BASE_DELAY_S * 2**attempt)
    return generator.uniform(0, bound_s)


class RetryBudget:
    """Allows retries as a share of successes, above a small reserve."""

    def __init__(self):
        self._tokens = RESERVE

    def record_success(self) -> None:
        """Account for a success."""
        self._tokens = min(RESERVE, self._tokens + SHARE)

    def try_acquire(self) -> bool:
        """Use one retry; return whether it is allowed."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
