"""Stored turns and token accounts of programs, without I/O.

A turn is immutable once its answer has ended, so any replica may serve it.
An account holds what the turns of a program reserved and used. Any two
majorities of replicas share a replica, so a sum over a majority includes
every earlier reservation.
"""

from collections import abc as collections_abc
import dataclasses

from balsamdale import codec

__all__ = [
    'Charge',
    'Turn',
    'assemble_prompt',
    'merge_accounts',
    'merge_charges',
    'spent_tokens',
]


@codec.message
class Turn:
    """A turn whose answer is complete.

    Attributes:
        turn_id: the caller's request id.
        parent_id: the turn that it continues; empty for a first turn.
        program_id: the program that it belongs to.
        input: the body of the caller's request.
        output: the data of each answer event, each followed by a line feed.
        tokens: tokens delivered to the caller.
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
    """One entry of a program's token account.

    Attributes:
        program_id: the program.
        turn_id: the caller's request id.
        tokens: tokens reserved for a running turn, or used by a settled one.
        is_settled: whether the turn has ended.
        expires_at_s: end of its retention, since the Unix epoch.
    """

    program_id: str
    turn_id: str
    tokens: int
    is_settled: bool
    expires_at_s: float


def assemble_prompt(
    chain: collections_abc.Iterable[Turn], body: bytes
) -> bytes:
    """Return the prompt of a turn: its chain, oldest first, then its body."""
    parts = []
    for turn in chain:
        parts.append(turn.input)
        parts.append(turn.output)
    parts.append(body)
    return b''.join(parts)


def merge_charges(known: Charge, charge: Charge) -> Charge:
    """Return what two charges of the same turn say together.

    A settled charge replaces a reservation, and has its retention.
    """
    is_newer = charge.is_settled and not known.is_settled
    merged = charge if is_newer else known
    expires_at_s = max(known.expires_at_s, charge.expires_at_s)
    if merged.expires_at_s == expires_at_s:
        return merged
    return dataclasses.replace(merged, expires_at_s=expires_at_s)


def merge_accounts(
    accounts: collections_abc.Iterable[collections_abc.Iterable[Charge]],
) -> dict[str, Charge]:
    """Merge the accounts of several replicas by turn.

    A settled charge replaces a reservation.
    """
    merged: dict[str, Charge] = {}
    for account in accounts:
        for charge in account:
            known = merged.get(charge.turn_id, charge)
            merged[charge.turn_id] = merge_charges(known, charge)
    return merged


def spent_tokens(merged: dict[str, Charge], excluded_turn_id: str) -> int:
    """Return the tokens of an account without those of one turn."""
    return sum(
        charge.tokens
        for turn_id, charge in merged.items()
        if turn_id != excluded_turn_id
    )
