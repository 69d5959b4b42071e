"""The window of a quota: its bounds, and a log of the units lent within it.

It does no I/O and takes the present time as an argument. Load pattern: agent
programs send clumps of parallel requests that a bucket of one burst refuses
although the window has room for them.
"""

import collections
import dataclasses

__all__ = ['LentLog', 'WindowBounds']

# Longest time over which units share one item of a log.
RESOLUTION_S = 0.1
# Added to the time at which the window has room, as it includes its ends.
EXPIRY_MARGIN_S = 0.001


@dataclasses.dataclass(frozen=True)
class WindowBounds:
    """What quotas allow in a window, and by how much it may be exceeded.

    Attributes:
        window_s: length of the sliding window, in seconds.
        overrun_share: share of the allowed requests that may come on top.
        overrun_requests: number of requests that may come on top of both.
    """

    window_s: float = 5.0
    overrun_share: float = 0.1
    overrun_requests: float = 20.0

    def nominal(self, rate_per_s: float, burst: float) -> float:
        """Return the requests that a limit allows in a window."""
        return rate_per_s * self.window_s + burst

    def overrun(self, rate_per_s: float, burst: float) -> float:
        """Return the requests that may come on top of `nominal`."""
        nominal = self.nominal(rate_per_s, burst)
        return self.overrun_share * nominal + self.overrun_requests


class LentLog:
    """Units lent in the last window, with a resolution of 0.1 s.

    Units of one item expire together with its last one, so that the count is
    never below that of the exact window.

    Args:
        window_s: length of the sliding window, in seconds.
    """

    def __init__(self, window_s: float):
        self._window_s = window_s
        # First time, last time and units of each item, in order of time.
        self._items: collections.deque[list[float]] = collections.deque()
        self._count = 0.0

    def add(self, units: float, now_s: float) -> None:
        """Log units that are lent now."""
        if units <= 0:
            return
        last = self._items[-1] if self._items else None
        if last is not None and now_s - last[0] < RESOLUTION_S:
            last[1] = max(last[1], now_s)
            last[2] += units
        else:
            self._items.append([now_s, now_s, units])
        self._count += units

    def remove(self, units: float, until_s: float) -> None:
        """Remove units lent until a time that were not used, newest first."""
        for item in reversed(self._items):
            if units <= 0:
                return
            if item[0] <= until_s:
                removed = min(units, item[2])
                item[2] -= removed
                self._count -= removed
                units -= removed

    def scale(self, factor: float) -> None:
        """Multiply the logged units."""
        for item in self._items:
            item[2] *= factor
        self._count *= factor

    def count(self, now_s: float) -> float:
        """Return the units in the window that ends at a time."""
        while self._items and self._items[0][1] < now_s - self._window_s:
            self._count -= self._items.popleft()[2]
        if not self._items:
            # Removes accumulated floating-point errors.
            self._count = 0.0
        return self._count

    def room_delay_s(self, limit: float, now_s: float) -> float:
        """Return the seconds until the window holds fewer than `limit`."""
        count = self.count(now_s)
        for _first_s, last_s, units in self._items:
            if count < limit:
                break
            count -= units
            if count < limit:
                expiry_s = last_s + self._window_s + EXPIRY_MARGIN_S
                return max(0.0, expiry_s - now_s)
        return 0.0
