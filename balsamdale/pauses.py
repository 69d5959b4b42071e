"""Detector of pauses of this process, as when its machine is frozen.

What was read, allowed or asked for before a pause may have run out by its
end, while the messages of that time still wait to be read. It does no I/O and
takes the present time as an argument.
"""

from balsamdale import link

__all__ = ['PauseDetector']

# Shortest pause that counts. Peers wait as long for one that is silent, and a
# busy machine may delay a process by a second.
MIN_PAUSE_S = link.STREAM_SILENCE_TIMEOUT_S
# Time after a pause within which messages from before it are read.
RECENT_S = 0.1


class PauseDetector:
    """Finds pauses from ticks that come too late.

    Ticks come several times within the shortest pause. All times are of a
    clock that runs on during a pause.
    """

    def __init__(self):
        self._ticked_at_s = float('inf')
        self._ended_at_s = float('-inf')
        self._length_s = 0.0

    def start(self, now_s: float) -> None:
        """Expect ticks from now on."""
        self._ticked_at_s = now_s

    def tick(self, now_s: float) -> float:
        """Record that this process is running; return a pause that ended."""
        gap_s = now_s - self._ticked_at_s
        self._ticked_at_s = now_s
        if gap_s <= MIN_PAUSE_S:
            return 0.0
        self._ended_at_s, self._length_s = now_s, gap_s
        return gap_s

    def recent_s(self, now_s: float) -> float:
        """Return the length of a pause that has just ended, or 0.

        It may be too long by one interval between ticks.
        """
        gap_s = now_s - self._ticked_at_s
        if gap_s > MIN_PAUSE_S:
            return gap_s
        if now_s - self._ended_at_s <= RECENT_S:
            return self._length_s
        return 0.0
