"""Access to the messages between entries and archives."""

from balsamdale import codec
from balsamdale import history

__all__ = [
    'ChainRead',
    'KeepTurn',
    'Kept',
    'OpenTurn',
    'PullRecords',
    'ReadChain',
    'Records',
    'SettleTurn',
    'TurnOpened',
]


@codec.message
class OpenTurn:
    """Reserve tokens for a turn, and read what it continues.

    Attributes:
        program_id: the program.
        turn_id: the caller's request id.
        tokens: most tokens that the turn may use; 0 reserves nothing.
        parent_id: the turn that it continues; empty at the start.
        wants_chain: whether the reply is to carry the chain.
        expires_at_s: end of the reservation's retention.
    """

    program_id: str
    turn_id: str
    tokens: int
    parent_id: str
    wants_chain: bool
    expires_at_s: float


@codec.message
class TurnOpened:
    """The reservation is durable.

    Attributes:
        is_whole: whether the archive lacks nothing that it acknowledged.
        entries: the program's account.
        turns: the end of the chain as far as it is here, oldest first.
        missing_id: the turn before those, where it is not here.
    """

    is_whole: bool
    entries: tuple[history.Charge, ...]
    turns: tuple[history.Turn, ...]
    missing_id: str


@codec.message
class ReadChain:
    """Read a turn with all before it."""

    turn_id: str


@codec.message
class ChainRead:
    """The end of a turn's chain as far as it is in one archive.

    Attributes:
        is_whole: whether the archive lacks nothing that it acknowledged.
        turns: the turns, oldest first.
        missing_id: the turn before those, where it is not here.
    """

    is_whole: bool
    turns: tuple[history.Turn, ...]
    missing_id: str


@codec.message
class KeepTurn:
    """Keep a turn whose answer is whole; this settles its tokens."""

    turn: history.Turn


@codec.message
class SettleTurn:
    """Record what a turn used that is not kept."""

    entry: history.Charge


@codec.message
class Kept:
    """The record is durable in a folder."""

    folder_id: str


@codec.message
class PullRecords:
    """Read all that an archive holds, from a position on."""

    segment: int
    offset: int


@codec.message
class Records:
    """Records with the position after them; none at the end."""

    turns: tuple[history.Turn, ...]
    entries: tuple[history.Charge, ...]
    segment: int
    offset: int
