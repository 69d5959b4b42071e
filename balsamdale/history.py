"""Access to kept turns and token accounts, without I/O.

A turn is immutable once its answer has ended, so any replica may serve it.
An account holds what the turns of a program reserved and used; two
majorities of replicas always share one, so a sum over a majority misses no
reservation made before.
"""

from collections import abc as collections_abc

from balsamdale import codec

__all__ = [
    'Charge',
    'Turn',
    'assemble_prompt',
    'merge_accounts',
    'spent_tokens',
]


@codec.message
class Turn:
    """A turn whose answer was whole.

    Attributes:
        turn_id: the caller's request id.
        parent_id: the turn that it continues; empty at the start.
        program_id: the program that it belongs to.
        input: what the caller added.
        output: the data of each event, each with a line feed.
        tokens: tokens handed to the caller.
        expires_at_s: end of its retention, since the Unix epoch.
    """

    turn_id: str
    parent_id: str
    program_id: str
    input: bytes
    output: bytes
    tokens: int
    expires_at_s: float


@codec.message
class Charge:
    """One line of a program's token account.

    Attributes:
        program_id: the program.
        turn_id: the caller's request id.
        tokens: most tokens of an open turn, or what a settled one used.
        is_settled: whether the turn has ended.
        expires_at_s: end of its retention, since the Unix epoch.
    """

    program_id: str
    turn_id: str
    tokens: int
    is_settled: bool
    expires_at_s: float


def assemble_prompt(
    chain: collections_abc.Iterable[Turn], added: bytes
) -> bytes:
    """Return the prompt that continues a chain, oldest turn first."""
    parts = []
    for turn in chain:
        parts.append(turn.input)
        parts.append(turn.output)
    parts.append(added)
    return b''.join(parts)


def merge_accounts(
    accounts: collections_abc.Iterable[collections_abc.Iterable[Charge]],
) -> dict[str, Charge]:
    """Join what several replicas know; a settled entry goes first."""
    merged: dict[str, Charge] = {}
    for entries in accounts:
        for entry in entries:
            held = merged.get(entry.turn_id)
            if held is None or (entry.is_settled and not held.is_settled):
                merged[entry.turn_id] = entry
    return merged


def spent_tokens(merged: dict[str, Charge], without: str) -> int:
    """Return the tokens of an account, leaving out one turn."""
    return sum(
        entry.tokens for name, entry in merged.items() if name != without
    )
