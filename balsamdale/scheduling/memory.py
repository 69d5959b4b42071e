"""Memory budget of an entry: what its callers may make it hold.

Load pattern: callers that read slowly, large bodies, and many streams at
once. The process is killed at its memory limit, with all of its requests, so
that a few requests are refused or disconnected before.
"""

import dataclasses
import math

from balsamdale import errors

__all__ = [
    'MAX_OUTPUT_BYTES',
    'Disconnection',
    'Holding',
    'MemoryBudget',
    'budget_bytes',
]

# What a process uses without requests, about 45 MB, and its turn cache.
BASE_PROCESS_BYTES = 45_000_000 + 8_388_608
# Share of the remaining memory that requests may hold. A counted byte may
# exist twice, as in a message and in the write buffer of a connection.
HELD_SHARE = 0.5
# Budget of a process whose limit leaves nothing: it must still serve.
MIN_BUDGET_BYTES = 4_000_000
# Share of the budget above which new bodies are refused; the rest is for the
# responses of requests that have been admitted.
REFUSE_SHARE = 0.7
# Share of the budget above which the slowest readers are disconnected.
DISCONNECT_SHARE = 0.85
# Shares of the budget for output of callers that read slowly, and limits on
# the output that is buffered for one of them before its stream is paused.
OUTPUT_SHARE = 0.25
MIN_OUTPUT_BYTES = 8_192
MAX_OUTPUT_BYTES = 65_536
# Data that a paused stream may have read ahead from its server: the limits
# that `exchange` sets on its connections.
READ_AHEAD_BYTES = 65_536
# A caller that moves less than this, for at least this long, is disconnected
# while more than this share of the budget is held: just below that at which
# bodies are refused, so that stalled callers do not keep others out for ever.
STALLED_SHARE = 0.6
STALLED_BYTES_PER_S = 2_000.0
STALLED_AFTER_S = 2.0
# Share of the budget above which callers are observed, so that their speed
# is known before any has to be disconnected.
CHECK_SHARE = 0.25
# Callers wait at least this long before they are disconnected as the slowest:
# several round trips.
MIN_WAIT_S = 0.5
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0
# Period over which the rate of released memory is averaged.
RELEASE_RATE_PERIOD_S = 1.0


@dataclasses.dataclass(eq=False)
class Holding:
    """The memory that one request holds.

    Attributes:
        body_bytes: size of its body, or what has arrived of it.
        is_length_known: whether the whole body was counted on admission.
        kept_bytes: prompt and response that are held until it ends.
        output_bytes: output buffered for its caller.
        read_ahead_bytes: counted for its server's stream while it is paused.
        waiting_since_s: since when it waits for its caller to send or to
            read; None if it does not.
        moved_bytes: what the caller has sent or read since then.
        is_disconnected: whether its connection has been closed.
    """

    body_bytes: int
    is_length_known: bool
    kept_bytes: int = 0
    output_bytes: int = 0
    read_ahead_bytes: int = 0
    waiting_since_s: float | None = None
    moved_bytes: int = 0
    is_disconnected: bool = False

    @property
    def held_bytes(self) -> int:
        """All bytes that the request holds."""
        return (
            self.body_bytes
            + self.kept_bytes
            + self.output_bytes
            + self.read_ahead_bytes
        )

    def bytes_per_s(self, now_s: float) -> float:
        """Return the speed of the caller that it waits for."""
        return self.moved_bytes / max(now_s - self.waiting_since_s, 1e-3)


@dataclasses.dataclass(frozen=True)
class Disconnection:
    """A caller to disconnect, with what led to it.

    Attributes:
        holding: its request.
        reason: 'stalled' or 'slowest'.
        held_bytes: bytes that the request held.
        waited_s: how long the request has waited for it.
        bytes_per_s: speed of the caller in that time.
        total_held_bytes: bytes that all requests held.
    """

    holding: Holding
    reason: str
    held_bytes: int
    waited_s: float
    bytes_per_s: float
    total_held_bytes: int


class MemoryBudget:
    """Decides which bodies are read and which callers are disconnected.

    Args:
        limit_bytes: what all requests may hold; 0 for no limit.

    Attributes:
        held_bytes: what all requests hold.
        refused_bodies: bodies that were refused.
        disconnected_callers: callers that were disconnected.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.refused_bodies = 0
        self.disconnected_callers = 0
        self._holdings: set[Holding] = set()
        self._waiting: set[Holding] = set()
        self._released_bytes_per_s = 0.0
        self._promised_bytes = 0.0
        self._updated_at_s = 0.0

    @property
    def needs_checks(self) -> bool:
        """Whether callers have to be observed for being slow."""
        limit_bytes = CHECK_SHARE * self.limit_bytes
        return bool(self.limit_bytes) and self.held_bytes > limit_bytes

    @property
    def is_near_limit(self) -> bool:
        """Whether the slowest callers have to be disconnected."""
        limit_bytes = DISCONNECT_SHARE * self.limit_bytes
        return bool(self.limit_bytes) and self.held_bytes > limit_bytes

    def admit(self, body_bytes: int | None, now_s: float) -> Holding:
        """Count a body that is about to be read.

        Args:
            body_bytes: its size; None if it is not known.
            now_s: the present time.

        Raises:
            Refused: there is no memory for it; says when to retry.
        """
        self._check_room(body_bytes or 0, now_s)
        holding = Holding(body_bytes or 0, body_bytes is not None)
        self._holdings.add(holding)
        self.held_bytes += holding.body_bytes
        self._set_waiting(holding, now_s)
        return holding

    def hold(self) -> Holding:
        """Return a holding of something else than a request; it is empty."""
        holding = Holding(0, True)
        self._holdings.add(holding)
        return holding

    def record_input(
        self, holding: Holding, received_bytes: int, now_s: float
    ) -> None:
        """Record a part of a body; it is counted if its size is not known.

        Raises:
            Refused: there is no memory for the rest of the body.
        """
        holding.moved_bytes += received_bytes
        if not holding.is_length_known:
            self._check_room(received_bytes, now_s)
            holding.body_bytes += received_bytes
            self.held_bytes += received_bytes

    def end_input(self, holding: Holding) -> None:
        """Record that a body has been read."""
        self._set_waiting(holding, None)

    def keep(self, holding: Holding, size_bytes: int) -> bool:
        """Count a prompt, or a part of a response, until the request ends.

        Args:
            holding: what holds it.
            size_bytes: its size; negative for what is no longer held.

        Returns:
            Whether the budget is not exceeded; the bytes are counted anyway.
        """
        holding.kept_bytes += size_bytes
        self.held_bytes += size_bytes
        return not self.limit_bytes or self.held_bytes <= self.limit_bytes

    def output_allowance_bytes(self) -> int:
        """Return the buffered output above which a stream is paused.

        It shrinks with the number of slow readers.
        """
        if not self.limit_bytes:
            return MAX_OUTPUT_BYTES
        share = OUTPUT_SHARE * self.limit_bytes / max(1, len(self._waiting))
        return int(min(MAX_OUTPUT_BYTES, max(MIN_OUTPUT_BYTES, share)))

    def record_output(
        self,
        holding: Holding,
        written_bytes: int,
        buffered_bytes: int,
        now_s: float,
    ) -> None:
        """Record the output that is buffered for a caller.

        Args:
            holding: the caller's request.
            written_bytes: output since the last record.
            buffered_bytes: what of all output the caller has not read.
            now_s: the present time.
        """
        before_bytes = holding.held_bytes
        moved_bytes = holding.output_bytes + written_bytes - buffered_bytes
        holding.output_bytes = buffered_bytes
        is_paused = buffered_bytes > self.output_allowance_bytes()
        holding.read_ahead_bytes = READ_AHEAD_BYTES if is_paused else 0
        self.held_bytes += holding.held_bytes - before_bytes
        if not buffered_bytes:
            self._set_waiting(holding, None)
        elif holding.waiting_since_s is None:
            self._set_waiting(holding, now_s)
        else:
            holding.moved_bytes += max(0, moved_bytes)

    def drop_input(self, holding: Holding, now_s: float) -> None:
        """Stop counting what is not needed for output that is buffered."""
        freed_bytes = holding.body_bytes + holding.kept_bytes
        holding.body_bytes = holding.kept_bytes = 0
        self._count_released(freed_bytes, now_s)

    def release(self, holding: Holding, now_s: float) -> None:
        """Stop counting a request that has ended; may be called twice."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            self._waiting.discard(holding)
            self._count_released(holding.held_bytes, now_s)

    def choose_disconnections(self, now_s: float) -> list[Disconnection]:
        """Return the callers to disconnect now, the slowest first.

        Stalled callers are chosen above `STALLED_SHARE`, others only while
        `is_near_limit`. Each is returned once and counts as released.
        """
        if not self.limit_bytes:
            return []
        remaining_bytes = self.held_bytes - sum(
            h.held_bytes for h in self._waiting if h.is_disconnected
        )
        candidates = sorted(
            (
                h
                for h in self._waiting
                if not h.is_disconnected
                and now_s - h.waiting_since_s >= MIN_WAIT_S
            ),
            key=lambda h: (h.bytes_per_s(now_s), -h.held_bytes),
        )
        chosen = []
        for holding in candidates:
            reason = self._disconnect_reason(holding, remaining_bytes, now_s)
            if not reason:
                continue
            holding.is_disconnected = True
            remaining_bytes -= holding.held_bytes
            self.disconnected_callers += 1
            chosen.append(
                Disconnection(
                    holding=holding,
                    reason=reason,
                    held_bytes=holding.held_bytes,
                    waited_s=now_s - holding.waiting_since_s,
                    bytes_per_s=holding.bytes_per_s(now_s),
                    total_held_bytes=self.held_bytes,
                )
            )
        return chosen

    def _disconnect_reason(self, holding, remaining_bytes, now_s):
        if remaining_bytes > DISCONNECT_SHARE * self.limit_bytes:
            return 'slowest'
        is_stalled = (
            now_s - holding.waiting_since_s >= STALLED_AFTER_S
            and holding.bytes_per_s(now_s) < STALLED_BYTES_PER_S
        )
        if is_stalled and remaining_bytes > STALLED_SHARE * self.limit_bytes:
            return 'stalled'
        return ''

    def _check_room(self, size_bytes, now_s):
        missing_bytes = (
            self.held_bytes + size_bytes - REFUSE_SHARE * self.limit_bytes
        )
        if not self.limit_bytes or missing_bytes <= 0:
            return
        self.refused_bodies += 1
        raise errors.Refused(
            'no_memory',
            503,
            f'requests hold {self.held_bytes} bytes of {self.limit_bytes}',
            'no',
            self._retry_after_s(missing_bytes, size_bytes, now_s),
        )

    def _retry_after_s(self, missing_bytes, size_bytes, now_s):
        """Return when a refused body is expected to find room.

        Bodies refused before it are expected to come back first.
        """
        self._update_rates(now_s)
        needed_bytes = missing_bytes + self._promised_bytes
        self._promised_bytes += size_bytes
        wait_s = needed_bytes / max(self._released_bytes_per_s, 1.0)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _count_released(self, size_bytes, now_s):
        self._update_rates(now_s)
        self.held_bytes -= size_bytes
        self._released_bytes_per_s += size_bytes / RELEASE_RATE_PERIOD_S

    def _update_rates(self, now_s):
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        self._updated_at_s = now_s
        returned_bytes = elapsed_s * self._released_bytes_per_s
        self._promised_bytes = max(0.0, self._promised_bytes - returned_bytes)
        self._released_bytes_per_s *= math.exp(
            -elapsed_s / RELEASE_RATE_PERIOD_S
        )

    def _set_waiting(self, holding, since_s):
        holding.waiting_since_s = since_s
        holding.moved_bytes = 0
        if since_s is None:
            self._waiting.discard(holding)
        else:
            self._waiting.add(holding)


def budget_bytes(process_limit_bytes: int) -> int:
    """Return what requests may hold in a process with a memory limit.

    Args:
        process_limit_bytes: memory at which the process is killed; 0 if it
            is not limited.
    """
    if not process_limit_bytes:
        return 0
    remaining_bytes = process_limit_bytes - BASE_PROCESS_BYTES
    return max(MIN_BUDGET_BYTES, int(HELD_SHARE * remaining_bytes))
