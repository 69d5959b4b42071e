"""Limits of workspaces, units of their quotas, and buckets of these units."""

import dataclasses
import math

__all__ = [
    'Lease',
    'RecentCount',
    'TokenBucket',
    'Verdict',
    'WantedUnit',
    'WorkspaceLimit',
]

# Units that a bucket new to its limiter holds at once. An empty one refuses
# workspaces that are below a limit of a few requests per second; 8 units are
# within the 20 requests that the requirement allows for.
START_UNITS = 8.0
# Longest time that a request waits for its unit instead of being refused:
# below half of the strictest latency objective of 68 ms.
MAX_WAIT_S = 0.03
# Longest time that a request of a program in progress waits: below half of the
# shortest deadline of 1.1 s, and short against a refusal and a retry.
MAX_PROGRAM_WAIT_S = 0.25
# Time constant of the counts of recent requests.
RECENT_S = 10.0
# Floating-point error that must not cost a unit.
ROUNDING = 1e-9


@dataclasses.dataclass(frozen=True)
class WorkspaceLimit:
    """Quota of a workspace in one version of the configuration.

    Attributes:
        workspace: name of the workspace.
        version: version of the configuration.
        rate_per_s: requests per second; above 0.
        burst: requests that may exceed the rate at once.
    """

    workspace: str
    version: int
    rate_per_s: float
    burst: float

    @property
    def capacity(self) -> float:
        """Burst of an entry's share; at least one unit, to lend any."""
        return max(1.0, self.burst)


@dataclasses.dataclass(frozen=True)
class WantedUnit:
    """A unit that a request needs.

    Attributes:
        program: hash of the request's program; 0 if it has none.
        max_wait_s: how long the request can wait, if its program is in
            progress.
    """

    program: int = 0
    max_wait_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Decision about one wanted unit.

    Attributes:
        is_admitted: whether the unit is lent.
        delay_s: time until the unit may be used, or asked for again.
    """

    is_admitted: bool
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Lease:
    """Decisions about wanted units, in the order of the message.

    Attributes:
        verdicts: one for each wanted unit.
        level: units in the bucket now; negative while lent units wait.
        spent: units lent recently to all entries, as `RecentCount` has them.
    """

    verdicts: tuple[Verdict, ...] = ()
    level: float = 0.0
    spent: float = 0.0

    @property
    def units(self) -> int:
        """Number of units lent."""
        return sum(verdict.is_admitted for verdict in self.verdicts)


class TokenBucket:
    """A bucket that fills at `rate_per_s` up to its capacity.

    Args:
        rate_per_s: units per second.
        capacity: largest level, also after any time.
        level: units at the start.
        now_s: the present time.
    """

    def __init__(
        self, rate_per_s: float, capacity: float, level: float, now_s: float
    ):
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._level = min(level, capacity)
        self._filled_at_s = now_s

    def level(self, now_s: float) -> float:
        """Return the units at a time; a clock that steps back adds none."""
        elapsed_s = max(0.0, now_s - self._filled_at_s)
        self._filled_at_s = max(self._filled_at_s, now_s)
        self._level = min(
            self._capacity, self._level + elapsed_s * self._rate_per_s
        )
        return self._level

    def set_limit(
        self, rate_per_s: float, capacity: float, now_s: float
    ) -> None:
        """Change the limit; units above a lower capacity are dropped.

        Units lent ahead are forgotten: at a lower rate they could take very
        long to fill up.
        """
        level = max(0.0, self.level(now_s))
        self._rate_per_s, self._capacity = rate_per_s, capacity
        self._level = min(level, capacity)

    def add(self, units: float, now_s: float) -> None:
        """Add units up to the capacity; negative to take them."""
        self._level = min(self._capacity, self.level(now_s) + units)

    def cap(self, level: float, now_s: float) -> None:
        """Drop the units above a level."""
        self._level = min(level, self.level(now_s))


class RecentCount:
    """A count that decays with the time constant `RECENT_S`."""

    def __init__(self):
        self._count = 0.0
        self._counted_at_s = 0.0

    def add(self, units: float, now_s: float) -> None:
        """Count units."""
        self._count = self.value(now_s) + units
        self._counted_at_s = now_s

    def value(self, now_s: float) -> float:
        """Return the decayed count."""
        age_s = max(0.0, now_s - self._counted_at_s)
        return self._count * math.exp(-age_s / RECENT_S)
