"""Limit on retries as a share of recent requests.

Load pattern: servers fail or are full during a burst, and each request is
sent up to four times; the retries then keep the servers full after the
burst has ended.
"""

import collections

__all__ = ['RetryBudget']

# Retries per request over the window.
RETRY_SHARE = 0.2
# Retries in a window that are always allowed, for an instance with few
# requests: with 74 entries, fewer than 20% of 120 requests per second.
MIN_RETRIES = 3
WINDOW_S = 10.0
# Resolution of the window.
BUCKET_S = 0.5


class RetryBudget:
    """Counts the requests and retries of one instance.

    Args:
        share: retries per request in the window.
        min_retries: retries in a window that are always allowed.

    Attributes:
        withheld: retries that were not allowed.
    """

    def __init__(
        self, share: float = RETRY_SHARE, min_retries: int = MIN_RETRIES
    ):
        self._share = share
        self._min_retries = min_retries
        # Buckets of start time, requests and retries.
        self._buckets: collections.deque[list] = collections.deque()
        self.withheld = 0

    def record_request(self, now_s: float) -> None:
        """Count a request, at its first attempt."""
        self._bucket(now_s)[1] += 1

    def allow_retry(self, now_s: float) -> bool:
        """Count a retry and return True if the budget allows it."""
        if not self.has_room(now_s):
            self.withheld += 1
            return False
        self._bucket(now_s)[2] += 1
        return True

    def has_room(self, now_s: float) -> bool:
        """Return whether the budget allows a retry."""
        self._bucket(now_s)
        requests = sum(b[1] for b in self._buckets)
        retries = sum(b[2] for b in self._buckets)
        return retries < max(self._min_retries, self._share * requests)

    def _bucket(self, now_s):
        while self._buckets and self._buckets[0][0] <= now_s - WINDOW_S:
            self._buckets.popleft()
        if not self._buckets or now_s >= self._buckets[-1][0] + BUCKET_S:
            self._buckets.append([now_s, 0, 0])
        return self._buckets[-1]
