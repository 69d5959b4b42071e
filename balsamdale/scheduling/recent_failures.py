"""Servers at which a program has just failed.

Load pattern: a server that goes down and up, or loses a part of its answers,
while it accepts connections. A turn that fails there may have run, so its
caller sends it again a moment later. The server that has cached its prompt
would be chosen again, until the program has failed as often as it may.
"""

import collections

__all__ = ['RecentFailures']

# Time for which a program avoids a server: several times that in which
# callers send a request again.
AVOIDED_S = 2.0
# Failures of one instance that are remembered.
FAILURE_LIMIT = 512


class RecentFailures:
    """The latest failures at one instance, by program.

    Args:
        failure_limit: failures that are remembered; the oldest is forgotten
            first.
    """

    def __init__(self, failure_limit: int = FAILURE_LIMIT):
        # Program, server and time of each.
        self._failures: collections.deque[tuple[str, str, float]] = (
            collections.deque(maxlen=failure_limit)
        )

    def record(self, program_id: str, server_id: str, now_s: float) -> None:
        """Record that a request of a program has failed at a server."""
        self._failures.append((program_id, server_id, now_s))

    def avoided(self, program_id: str, now_s: float) -> frozenset[str]:
        """Return the servers that a program should not be sent to now."""
        failures = self._failures
        while failures and failures[0][2] < now_s - AVOIDED_S:
            failures.popleft()
        return frozenset(
            server_id for name, server_id, _ in failures if name == program_id
        )
