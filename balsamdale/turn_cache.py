"""Cache of the turns that an entry has served recently."""

from balsamdale import history

__all__ = ['TurnCache']

# Serves programs that return to the same entry.
CACHE_LIMIT_BYTES = 8 * 1024 * 1024


class TurnCache:
    """Cache of turns with a size limit; the oldest are evicted first.

    Args:
        limit_bytes: limit on the bytes of all inputs and outputs.
    """

    def __init__(self, limit_bytes: int = CACHE_LIMIT_BYTES):
        self._limit_bytes = limit_bytes
        self._size_bytes = 0
        self._turns: dict[str, history.Turn] = {}

    def chain(self, turn_id: str) -> tuple[history.Turn, ...] | None:
        """Return the chain of a turn, or None if a part is not cached.

        A chain that returns to itself is None, too.
        """
        turns: dict[str, history.Turn] = {}
        while turn_id:
            turn = self._turns.get(turn_id)
            if turn is None or turn_id in turns:
                return None
            turns[turn_id] = turn
            turn_id = turn.parent_id
        return tuple(reversed(turns.values()))

    def add(self, turns: tuple[history.Turn, ...]) -> None:
        """Add turns, and evict the oldest ones above the size limit."""
        for turn in turns:
            if turn.turn_id not in self._turns:
                self._turns[turn.turn_id] = turn
                self._size_bytes += len(turn.input) + len(turn.output)
        while self._size_bytes > self._limit_bytes:
            oldest_id = next(iter(self._turns))
            evicted = self._turns.pop(oldest_id)
            self._size_bytes -= len(evicted.input) + len(evicted.output)
