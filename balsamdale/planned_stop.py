"""Times of a planned stop of an entry, and what it still admits."""

import dataclasses

__all__ = ['PlannedStop', 'close_reserve_s']

# Time for which callers that cached this instance's address still come:
# longer than they keep a response of the registry.
STALE_REGISTRY_DRAIN_S = 3.0
# Allowance for a stop that begins later than its signal was sent.
MAX_SIGNAL_DELAY_S = 0.25
# Part of the platform's grace period that is reserved for closing, and its
# largest share of a short one.
CLOSE_RESERVE_S = 1.0
CLOSE_RESERVE_SHARE = 1 / 6
# Time for the request that a connection was opened for, or whose head has
# arrived in part, after the listening socket is closed.
FIRST_REQUEST_WAIT_S = 0.5


def close_reserve_s(grace_s: float) -> float:
    """Return the part of a grace period that is reserved for closing."""
    return min(CLOSE_RESERVE_S, CLOSE_RESERVE_SHARE * grace_s)


@dataclasses.dataclass(frozen=True)
class PlannedStop:
    """A planned stop; all times are of one monotonic clock, in seconds.

    Attributes:
        started_s: time of the signal.
        grace_s: time from the signal until the process is killed.
    """

    started_s: float
    grace_s: float

    @property
    def close_reserve_s(self) -> float:
        """Time that is reserved for closing."""
        return close_reserve_s(self.grace_s)

    @property
    def stops_accepting_s(self) -> float:
        """Time from which no new connection is accepted."""
        drain_s = self.grace_s - self.close_reserve_s
        return self.started_s + min(STALE_REGISTRY_DRAIN_S, drain_s / 2)

    @property
    def ends_s(self) -> float:
        """Time at which the drain ends, whatever is open."""
        return self.started_s + self.grace_s - self.close_reserve_s

    @property
    def closes_s(self) -> float:
        """Time at which connections are closed that are still in use."""
        return self.ends_s + self.close_reserve_s / 2

    @property
    def awaits_requests_until_s(self) -> float:
        """Time until which requests that are on their way are awaited."""
        return min(self.ends_s, self.stops_accepting_s + FIRST_REQUEST_WAIT_S)

    def admits(self, deadline_s: float, now_s: float) -> bool:
        """Return whether a request is handled, or else refused.

        While callers still come by the registry, all are: most end long
        before their deadlines. Later, only what ends before the process does.

        Args:
            deadline_s: latest end of the request.
            now_s: present time.
        """
        admits_all_until_s = self.stops_accepting_s - MAX_SIGNAL_DELAY_S
        return now_s < admits_all_until_s or deadline_s <= self.ends_s
