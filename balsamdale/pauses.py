"""Detector of pauses of this process, as when its machine is frozen.

What was read, allowed or asked for before a pause may have run out by its
end, while the messages of that time still wait to be read. It does no I/O and
takes the present time as an argument.
"""

__all__ = ['PauseDetector']

# A tick that is this much later than the interval between ticks follows a
# pause. Ticks are late by some milliseconds on a busy machine.
MIN_PAUSE_S = 0.5
# Time after a pause within which messages from before it are read.
RECENT_S = 0.25


class PauseDetector:
    """Finds pauses from ticks that come too late.

    Args:
        tick_interval_s: expected time between two ticks. All times are of a
            clock that runs on during a pause.
    """

    def __init__(self, tick_interval_s: float):
        self._ticked_at_s = float('inf')
        self._max_gap_s = tick_interval_s + MIN_PAUSE_S
        self._ended_at_s = float('-inf')
        self._length_s = 0.0

    def start(self, now_s: float) -> None:
        """Expect ticks from now on."""
        self._ticked_at_s = now_s

    def tick(self, now_s: float) -> float:
        """Record that this process is running; return a pause that ended."""
        gap_s = now_s - self._ticked_at_s
        self._ticked_at_s = now_s
        if gap_s <= self._max_gap_s:
            return 0.0
        self._ended_at_s, self._length_s = now_s, gap_s
        return gap_s

    def recent_s(self, now_s: float) -> float:
        """Return the length of a pause that has just ended, or 0.

        It may be too long by one interval between ticks.
        """
        gap_s = now_s - self._ticked_at_s
        if gap_s > self._max_gap_s:
            return gap_s
        if now_s - self._ended_at_s <= RECENT_S:
            return self._length_s
        return 0.0
