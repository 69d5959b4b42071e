"""What an entry knows and holds of the quota of one workspace.

It does no I/O and takes the present time as an argument. Load pattern:
requests that are refused after they were lent a unit, and requests that
arrive while the limiter is silent or has changed.
"""

import math

from balsamdale.scheduling import quota
from balsamdale.scheduling import quota_units

__all__ = ['Account']

# How long a unit that no server received may be used by another request.
REUSE_S = 0.5
# How late an unused unit may be returned. The limiter's bucket fills
# meanwhile, so that a late one would raise the sum above the burst.
MAX_RETURN_DELAY_S = 0.1
# Requests per second that all entries together may admit, on top of the limit
# and of a part of its rate, because they had no recent request each. For 2 s,
# until another limiter replaces a silent one, and with the units of a new
# bucket, that is within the 10% and 20 requests of the requirement.
IDLE_ADMITTED_PER_S = 4.0
IDLE_ADMITTED_SHARE = 0.2


class Account:
    """What an entry knows and holds of one workspace.

    Attributes:
        limit: the newest limit.
        replied_at_s: time of the limiter's last reply; None before the first.
    """

    def __init__(self, limit: quota_units.WorkspaceLimit):
        self.limit = limit
        self.replied_at_s: float | None = None
        self._reply_level = 0.0
        self._reply_share = 0.0
        self._own_count = quota_units.RecentCount()
        self._fallback = quota.FallbackShare()
        self._spare_until_s: list[float] = []
        self._admitted = 0
        self._lender_id = ''
        self._lent_at_s = -math.inf
        self._last_request_s = -math.inf

    @property
    def spare_count(self) -> int:
        """Number of spare units, with expired ones."""
        return len(self._spare_until_s)

    def reply_age_s(self, now_s: float) -> float:
        """Return the age of the limiter's last reply; -1 before the first."""
        if self.replied_at_s is None:
            return -1.0
        return round(now_s - self.replied_at_s, 3)

    def record_request(self, now_s: float) -> float:
        """Record a request; return the seconds since the one before."""
        idle_s = now_s - self._last_request_s
        self._last_request_s = now_s
        return idle_s

    def set_limit(self, limit: quota_units.WorkspaceLimit) -> None:
        """Use a limit unless a newer one is known."""
        if limit.version > self.limit.version:
            self.limit = limit

    def add_spare(self, now_s: float) -> None:
        """Keep a unit that was not used for the next request."""
        self._spare_until_s.append(now_s + REUSE_S)

    def take_spare(self, now_s: float) -> bool:
        """Use a spare unit, if there is one that has not expired."""
        fresh = [t for t in self._spare_until_s if t >= now_s]
        if not fresh:
            return False
        self._spare_until_s.remove(fresh[0])
        return True

    def count_expired(self, now_s: float) -> int:
        """Return the number of spare units that are due to be returned."""
        earliest_s = now_s - MAX_RETURN_DELAY_S
        return sum(earliest_s <= t < now_s for t in self._spare_until_s)

    def next_report(
        self, limiter_id: str, now_s: float
    ) -> tuple[int, int, bool]:
        """Return `returned`, `admitted` and `is_changed` of a message.

        Expired spare units are returned to the limiter that lent them, once
        and without delay, or else dropped.
        """
        returned = self.count_expired(now_s)
        self._spare_until_s = [t for t in self._spare_until_s if t >= now_s]
        is_other = self._lender_id not in ('', limiter_id)
        if is_other:
            returned = 0
        self._own_count.add(-returned, now_s)
        admitted, self._admitted = self._admitted, 0
        is_changed = (
            is_other and now_s - self._lent_at_s < quota.CHANGE_REPORT_S
        )
        return returned, admitted, is_changed

    def restore_admitted(self, admitted: int) -> None:
        """Report admitted requests again, as their message had no reply."""
        self._admitted += admitted

    def record_lease(
        self, limiter_id: str, lease: quota_units.Lease, now_s: float
    ) -> None:
        """Record a reply of the limiter."""
        self._fallback.stop()
        if lease.units:
            self._lent_at_s = now_s
        self._own_count.add(lease.units, now_s)
        if limiter_id != self._lender_id or lease.spent < (
            self._own_count.value(now_s)
        ):
            # A new or restarted limiter counts from zero.
            self._own_count = quota_units.RecentCount()
            self._own_count.add(lease.units, now_s)
        self._lender_id = limiter_id
        self._reply_level, self.replied_at_s = lease.level, now_s
        own = max(0.0, self._own_count.value(now_s))
        self._reply_share = min(1.0, own / max(own, lease.spent, 1.0))

    def admit_locally(
        self, entry_count: int, idle_s: float, request_id: str, now_s: float
    ) -> bool:
        """Return whether a request is admitted without the limiter.

        Args:
            entry_count: number of entries; at least 1.
            idle_s: seconds since the request before; see `record_request`.
            request_id: decides about fractions of a unit.
            now_s: the present time.
        """
        fraction = 0.5 * self._reply_share + 0.5 / entry_count
        level = self.limit.capacity
        if self.replied_at_s is not None:
            age_s = now_s - self.replied_at_s
            level = self._reply_level + age_s * self.limit.rate_per_s
        is_admitted = self._fallback.admit(
            self.limit,
            fraction,
            min(self.limit.capacity, max(0.0, level)),
            idle_s > _idle_limit_s(self.limit.rate_per_s, entry_count),
            request_id,
            now_s,
        )
        if is_admitted:
            self._admitted += 1
        return is_admitted


def _idle_limit_s(rate_per_s, entry_count):
    """Return the time without requests after which an entry admits one.

    With Poisson arrivals, entries that wait for t seconds admit at most
    entry_count / (e t) requests per second, whatever the demand.
    """
    admitted_per_s = IDLE_ADMITTED_PER_S + IDLE_ADMITTED_SHARE * rate_per_s
    return entry_count / (math.e * admitted_per_s)
