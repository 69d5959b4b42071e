"""Messages between entries and archives."""

from balsamdale import codec
from balsamdale import history

__all__ = [
    'AskRepaired',
    'ChainRead',
    'ChainedTurnKept',
    'ChargesListed',
    'FetchTurns',
    'KeepChainedTurn',
    'KeepTurn',
    'Kept',
    'ListCharges',
    'ListTurns',
    'OpenTurn',
    'PullRecords',
    'ReadChain',
    'Records',
    'Repaired',
    'SettleTurn',
    'TurnName',
    'TurnOpened',
    'TurnsFetched',
    'TurnsListed',
]


@codec.message
class OpenTurn:
    """Requests a reservation for a turn, and the chain that it continues.

    Attributes:
        program_id: the program.
        turn_id: the caller's request id.
        tokens: tokens to reserve: the most that the turn may use; 0 reserves
            nothing.
        parent_id: the turn that it continues; empty for a first turn.
        wants_chain: whether the reply must hold the chain.
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
    """Reply to `OpenTurn`: the reservation is durable.

    Attributes:
        is_whole: whether the archive is in sync: it lacks nothing that it
            acknowledged.
        entries: the charges of the program's account.
        turns: the part of the chain in this archive, oldest first.
        missing_id: the turn before those, if it is not in this archive.
    """

    is_whole: bool
    entries: tuple[history.Charge, ...]
    turns: tuple[history.Turn, ...]
    missing_id: str


@codec.message
class ReadChain:
    """Requests a turn with all turns before it."""

    turn_id: str


@codec.message
class ChainRead:
    """Reply to `ReadChain`: the part of the chain in one archive.

    Attributes:
        is_whole: whether the archive is in sync: it lacks nothing that it
            acknowledged.
        turns: the turns, oldest first.
        missing_id: the turn before those, if it is not in this archive.
    """

    is_whole: bool
    turns: tuple[history.Turn, ...]
    missing_id: str


@codec.message
class KeepTurn:
    """Stores a turn whose answer is complete and settles its tokens."""

    turn: history.Turn


@codec.message
class SettleTurn:
    """Settles the tokens of a turn that is not stored."""

    entry: history.Charge


@codec.message
class Kept:
    """Reply to `KeepTurn` and `SettleTurn`: the record is durable."""

    folder_id: str


@codec.message
class PullRecords:
    """Requests a batch of an archive's records from a position on."""

    segment: int
    offset: int


@codec.message
class Records:
    """Reply to `PullRecords`: a batch and the position after it.

    The batch is empty at the end.
    """

    turns: tuple[history.Turn, ...]
    entries: tuple[history.Charge, ...]
    segment: int
    offset: int


@codec.message
class TurnName:
    """A turn that an archive holds, and its program."""

    turn_id: str
    program_id: str


@codec.message
class ListTurns:
    """Requests the names of the turns from a segment on."""

    segment: int


@codec.message
class TurnsListed:
    """Reply to `ListTurns`.

    Attributes:
        is_whole: whether the archive is in sync.
        turns: turns of one segment; there may be none.
        next_segment: the segment to ask for next; 0 if there is none.
    """

    is_whole: bool
    turns: tuple[TurnName, ...]
    next_segment: int


@codec.message
class ListCharges:
    """Requests the accounts of the programs behind one, in their order."""

    program_id: str


@codec.message
class ChargesListed:
    """Reply to `ListCharges`: whole accounts; none at the end."""

    is_whole: bool
    charges: tuple[history.Charge, ...]


@codec.message
class FetchTurns:
    """Requests turns."""

    turn_ids: tuple[str, ...]


@codec.message
class TurnsFetched:
    """Reply to `FetchTurns`.

    Attributes:
        turns: those that the archive holds of the first ones asked for.
        count: how many of those asked for the reply covers.
    """

    turns: tuple[history.Turn, ...]
    count: int


@codec.message
class AskRepaired:
    """Asks a folder whether it lacks nothing without a lost one."""

    lost_id: str


@codec.message
class Repaired:
    """Reply to `AskRepaired`.

    Attributes:
        is_repaired: whether the folder has read all others that remain since
            it has seen the lost one as lost, or is not in sync.
    """

    is_repaired: bool


@codec.message
class KeepChainedTurn:
    """Stores a turn as `KeepTurn`, but tells if its chain is not whole."""

    turn: history.Turn


@codec.message
class ChainedTurnKept:
    """Reply to `KeepChainedTurn`: the turn is durable.

    Attributes:
        folder_id: identity of the folder.
        missing_id: the nearest turn of its chain that the folder lacks;
            empty if the chain is whole, so that the turn counts as stored.
    """

    folder_id: str
    missing_id: str
