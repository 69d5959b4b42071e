"""Which connections of clients a process keeps; no I/O.

Each takes a descriptor and memory: its objects, what has arrived of a request
and what the kernel holds of it. Clients that stay outside the limits could
take all of both, so that a process closes the connections that are worth the
least to their clients before it runs out.
"""

import dataclasses
import enum

from balsamdale.scheduling import memory

__all__ = [
    'Connection',
    'ConnectionAccount',
    'Phase',
    'Removal',
    'max_connections',
]

# What the objects of a connection take without a request.
CONNECTION_BYTES = 8_192
# What the kernel may hold of a request that has not arrived whole, and of
# answers that are not read: the sizes set for the buffers of its socket.
KERNEL_BUFFER_BYTES = 65_536
# What a field of a head that was parsed takes.
FIELD_BYTES = 640
# Share of the memory budget that connections may hold, without the bodies and
# answers of requests: below the share at which bodies are refused, so that
# these connections alone keep no request out.
CONNECTIONS_SHARE = 0.5
# Descriptors for files of the interpreter and libraries, at most this share.
FILE_DESCRIPTORS = 200
FILE_DESCRIPTOR_SHARE = 0.25
# Share of the other descriptors that clients may take. A request may need
# another one at a server; peers and the key-value service need few.
CLIENT_DESCRIPTOR_SHARE = 0.5
MIN_CONNECTIONS = 16
# A connection is not closed for lack of descriptors before it has had this
# long to send a request, or to go on with its body.
MIN_WAIT_S = 0.5


class Phase(enum.IntEnum):
    """What a connection waits for, in the order in which they are closed.

    Attributes:
        REFUSED: its client, to read the refusal and to close it.
        FIRST: the first request.
        HEAD: the rest of a head.
        IDLE: a further request.
        BODY: the rest of a body.
        OUTPUT: its client, to read an answer.
        HANDLING: the answer to a request; such a connection stays.
    """

    REFUSED = 0
    FIRST = 1
    HEAD = 2
    IDLE = 3
    BODY = 4
    OUTPUT = 5
    HANDLING = 6


# Phases in which the kernel may hold what was not read.
BUFFERED_PHASES = frozenset(
    (Phase.REFUSED, Phase.HEAD, Phase.BODY, Phase.OUTPUT)
)


@dataclasses.dataclass(eq=False)
class Connection:
    """A connection in the account.

    Attributes:
        holding: its memory in the budget.
        phase: what it waits for.
        since_s: since when it does.
        request_count: requests that it has had.
        moved_bytes: what its client has sent since then.
        held_bytes: what it holds.
        is_removed: whether it is being closed for others.
    """

    holding: memory.Holding
    phase: Phase
    since_s: float
    request_count: int = 0
    moved_bytes: int = 0
    held_bytes: int = 0
    is_removed: bool = False


@dataclasses.dataclass(frozen=True)
class Removal:
    """A connection to close.

    Attributes:
        connection: the connection.
        reason: 'idle', 'slow_head', 'no_descriptor' or 'no_memory'.
    """

    connection: Connection
    reason: str


class ConnectionAccount:
    """Counts connections and decides which are closed.

    Args:
        budget: the memory that connections and requests share.
        limit: connections at once.

    Attributes:
        held_bytes: what all connections hold.
    """

    def __init__(self, budget: memory.MemoryBudget, limit: int):
        self.budget = budget
        self.limit = limit
        self.held_bytes = 0
        self._connections: set[Connection] = set()
        self._removed_count = 0

    def __len__(self) -> int:
        return len(self._connections)

    def open(self, now_s: float) -> Connection:
        """Count a connection that was accepted."""
        connection = Connection(self.budget.hold(), Phase.FIRST, now_s)
        self._connections.add(connection)
        self._resize(connection, CONNECTION_BYTES)
        return connection

    def update(
        self,
        connection: Connection,
        phase: Phase,
        held_bytes: int,
        request_count: int,
        now_s: float,
        is_counted: bool = False,
    ) -> None:
        """Record what a connection waits for.

        Args:
            connection: the connection.
            phase: what it waits for; the time counts from its last change,
                or from the last request.
            held_bytes: what it holds of requests and answers.
            request_count: requests that it has had.
            now_s: the present time.
            is_counted: whether what the kernel may hold, of a body or an
                answer, is in the budget already.
        """
        if (phase, request_count) != (
            connection.phase,
            connection.request_count,
        ):
            connection.phase = phase
            connection.request_count = request_count
            connection.since_s = now_s
            connection.moved_bytes = 0
        size_bytes = CONNECTION_BYTES + held_bytes
        if phase in BUFFERED_PHASES and not is_counted:
            size_bytes += KERNEL_BUFFER_BYTES
        self._resize(connection, size_bytes)

    def close(self, connection: Connection, now_s: float) -> None:
        """Stop counting a connection that has ended; may be called twice."""
        if connection in self._connections:
            self._connections.remove(connection)
            self._removed_count -= connection.is_removed
            self.held_bytes -= connection.held_bytes
            self.budget.release(connection.holding, now_s)

    def has_room(self) -> bool:
        """Return whether another connection may be accepted."""
        return len(self._connections) < self.limit

    def choose_expired(
        self, header_timeout_s: float, idle_timeout_s: float, now_s: float
    ) -> list[Removal]:
        """Return the connections whose clients have taken too long."""
        removals = []
        for connection in self._connections:
            waited_s = now_s - connection.since_s
            if connection.is_removed:
                continue
            if connection.phase == Phase.HEAD:
                if waited_s > header_timeout_s:
                    removals.append(self._remove(connection, 'slow_head'))
            elif connection.phase in (Phase.FIRST, Phase.IDLE):
                if waited_s > idle_timeout_s:
                    removals.append(self._remove(connection, 'idle'))
        return removals

    def choose_for_room(self, wanted: int, now_s: float) -> list[Removal]:
        """Return the connections to close so that others find room.

        Of those in the same phase, the one that has waited longest is first,
        or the one whose body arrives most slowly.

        Args:
            wanted: connections that wait to be accepted.
            now_s: the present time.
        """
        open_count = len(self._connections) - self._removed_count
        surplus = open_count + wanted - self.limit
        surplus_bytes = self._surplus_bytes()
        if surplus <= 0 and surplus_bytes <= 0:
            return []
        removals = []
        for connection in sorted(
            (c for c in self._connections if _is_removable(c, now_s)),
            key=lambda c: _rank(c, now_s),
        ):
            if surplus <= 0 and surplus_bytes <= 0:
                break
            reason = 'no_descriptor' if surplus > 0 else 'no_memory'
            removals.append(self._remove(connection, reason))
            surplus -= 1
            surplus_bytes -= connection.held_bytes
        return removals

    def _surplus_bytes(self):
        if not self.budget.limit_bytes:
            return 0
        allowed_bytes = CONNECTIONS_SHARE * self.budget.limit_bytes
        removed_bytes = sum(
            c.held_bytes for c in self._connections if c.is_removed
        )
        return self.held_bytes - removed_bytes - allowed_bytes

    def _remove(self, connection, reason):
        connection.is_removed = True
        self._removed_count += 1
        return Removal(connection, reason)

    def _resize(self, connection, size_bytes):
        change_bytes = size_bytes - connection.held_bytes
        if change_bytes:
            connection.held_bytes = size_bytes
            self.held_bytes += change_bytes
            self.budget.keep(connection.holding, change_bytes)


def _is_removable(connection, now_s):
    if connection.is_removed or connection.phase == Phase.HANDLING:
        return False
    if connection.phase in (Phase.REFUSED, Phase.IDLE):
        return True
    return now_s - connection.since_s >= MIN_WAIT_S


def _rank(connection, now_s):
    """Return a key that sorts the connection to close first to the front."""
    if connection.phase == Phase.BODY:
        waited_s = max(now_s - connection.since_s, MIN_WAIT_S)
        return connection.phase, connection.moved_bytes / waited_s
    return connection.phase, connection.since_s


def max_connections(descriptor_limit: int, budget_bytes: int) -> int:
    """Return how many connections of clients a process may have at once.

    Args:
        descriptor_limit: descriptors that it may have open.
        budget_bytes: memory that requests and connections may hold; 0 if it
            is not limited.
    """
    files = min(FILE_DESCRIPTORS, FILE_DESCRIPTOR_SHARE * descriptor_limit)
    limit = int(CLIENT_DESCRIPTOR_SHARE * (descriptor_limit - files))
    if budget_bytes:
        # All may send at the same moment, before any of it is read.
        limit = min(limit, budget_bytes // KERNEL_BUFFER_BYTES)
    return max(MIN_CONNECTIONS, limit)
