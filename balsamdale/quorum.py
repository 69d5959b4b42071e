"""Access to the archives of a deployment as one store of kept turns.

A program's records go to the same few folders, chosen by rendezvous
hashing. A majority of them acknowledges each write, so that any two
majorities share a folder.
"""

import asyncio
from collections import abc as collections_abc
import contextlib
import dataclasses
import functools

from balsamdale import archive_messages as messages
from balsamdale import background
from balsamdale import errors
from balsamdale import history
from balsamdale import placement
from balsamdale import relay
from balsamdale import replica_set

__all__ = ['Quorum', 'Reservation']

# Seconds for one reply: a disk sync and a few round trips, with room.
TRY_TIMEOUT_S = 0.4
# Seconds between tries.
RETRY_S = 0.05
# Tries for copies beyond those needed.
LATE_TRIES = 2
# Seconds to wait for replies beyond the majority.
STRAGGLER_S = 0.06
# Share of a budget above which all folders are waited for.
NEAR_LIMIT = 0.5
# Seconds in which a settlement is tried again.
SETTLE_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True)
class Reservation:
    """What is known when a turn begins.

    Attributes:
        chain: the turns that it continues, oldest first.
        spent_tokens: tokens used or reserved by the program's other turns.
    """

    chain: tuple[history.Turn, ...]
    spent_tokens: int


class Quorum:
    """Reads and writes records by majorities.

    Args:
        links: requests to other instances.
        members: returns the set of folders.
        losses: folders that may be lost at once.
        failure_domain: where this instance stands; it reads from there.
    """

    def __init__(
        self,
        links: relay.RelayLinks,
        members: collections_abc.Callable[[], tuple[replica_set.Folder, ...]],
        losses: int,
        failure_domain: str,
    ):
        self._links = links
        self._members = members
        self._losses = losses
        self._failure_domain = failure_domain
        self._background = background.Background('quorum')

    @property
    def write_quorum(self) -> int:
        """Acknowledgements that make a record durable."""
        return self._losses + 1

    def replicas(self, program_id: str) -> list[replica_set.Folder]:
        """Return the folders of a program, those in this domain first."""
        members = {f.instance_id: f for f in self._members()}
        chosen = placement.rank(program_id, list(members))
        chosen = chosen[: 2 * self._losses + 1]
        return sorted(
            (members[name] for name in chosen),
            key=lambda f: f.failure_domain != self._failure_domain,
        )

    async def reserve(
        self,
        message: messages.OpenTurn,
        budget_tokens: int,
        timeout_s: float,
    ) -> Reservation:
        """Reserve a turn's tokens and read the chain that it continues.

        Args:
            message: the turn; its `wants_chain` says whether to read.
            budget_tokens: the program's budget; 0 for none.
            timeout_s: time for all of it.

        Raises:
            NoQuorum: too few folders answered.
            NoSuchTurn: no folder holds the parent, and that is certain.
        """
        replicas = self.replicas(message.program_id)
        if len(replicas) < self.write_quorum:
            raise errors.NoQuorum(len(replicas), self.write_quorum)
        near = replicas[0].instance_id
        asked = {
            folder.instance_id: dataclasses.replace(
                message,
                wants_chain=message.wants_chain and folder.instance_id == near,
            )
            for folder in replicas
        }
        round_ = _Round(self._links, asked, timeout_s)
        read_quorum = self._read_quorum(len(replicas))
        await round_.until(
            functools.partial(_is_reserved, self.write_quorum, read_quorum)
        )
        if message.tokens and not _is_reserved(
            self.write_quorum, read_quorum, round_.replies
        ):
            raise errors.NoQuorum(len(_in_sync_replies(round_)), read_quorum)
        if budget_tokens and self._spent(round_, message) > (
            NEAR_LIMIT * budget_tokens
        ):
            await round_.until(_is_never, STRAGGLER_S)
        chain = ()
        if message.wants_chain:
            await round_.until(functools.partial(_has, near), STRAGGLER_S)
            first = round_.replies.get(near)
            missing_id = message.parent_id
            if first is not None:
                chain, missing_id = first.turns, first.missing_id
            if missing_id:
                before = await self.read_chain(missing_id, timeout_s)
                chain = before + chain
        return Reservation(chain, self._spent(round_, message))

    def _spent(self, round_, message):
        merged = history.merge_accounts(
            reply.entries for reply in _in_sync_replies(round_)
        )
        return history.spent_tokens(merged, message.turn_id)

    async def read_chain(
        self, turn_id: str, timeout_s: float
    ) -> tuple[history.Turn, ...]:
        """Return a turn with all before it, from the folders together.

        No single folder has to hold the whole chain.

        Raises:
            NoQuorum: a part is nowhere, but not enough folders are sure.
            NoSuchTurn: a part is nowhere, and that is certain.
        """
        chain: tuple[history.Turn, ...] = ()
        missing_id = turn_id
        while missing_id:
            found = await self._read_part(missing_id, timeout_s)
            chain = found.turns + chain
            missing_id = found.missing_id
        return chain

    async def _read_part(self, turn_id, timeout_s):
        """Return the longest end of a chain that one folder holds."""
        names = [folder.instance_id for folder in self._members()]
        read_quorum = self._read_quorum(len(names))
        message = messages.ReadChain(turn_id)
        round_ = _Round(self._links, dict.fromkeys(names, message), timeout_s)
        await round_.until(functools.partial(_is_read, read_quorum))
        replies = list(round_.replies.values())
        found = max(replies, key=lambda r: len(r.turns), default=None)
        if found is not None and found.turns:
            return found
        if len(_in_sync_replies(round_)) >= read_quorum:
            raise errors.NoSuchTurn(turn_id)
        raise errors.NoQuorum(len(_in_sync_replies(round_)), read_quorum)

    async def store_turn(self, turn: history.Turn, timeout_s: float) -> None:
        """Make a turn durable in a majority of its folders.

        Raises:
            NoQuorum: it is not known to be durable.
        """
        await self._write(turn.program_id, messages.KeepTurn(turn), timeout_s)

    def settle(self, entry: history.Charge) -> None:
        """Record what a turn used, without waiting."""
        self._background.spawn(self._settle(entry))

    async def _settle(self, entry):
        with contextlib.suppress(errors.NoQuorum):
            await self._write(
                entry.program_id, messages.SettleTurn(entry), SETTLE_TIMEOUT_S
            )

    async def _write(self, program_id, message, timeout_s):
        names = [f.instance_id for f in self.replicas(program_id)]
        if len(names) < self.write_quorum:
            raise errors.NoQuorum(len(names), self.write_quorum)
        round_ = _Round(self._links, dict.fromkeys(names, message), timeout_s)
        await round_.until(functools.partial(_is_count, self.write_quorum))
        if len(round_.replies) < self.write_quorum:
            raise errors.NoQuorum(len(round_.replies), self.write_quorum)

    def _read_quorum(self, count):
        """Return how many whole folders of a set know every record.

        Each record has as many copies as acknowledge a write, so it is on
        one of any this many.
        """
        return max(1, count - self._losses)


class _Round:
    """One message to each of several peers, and their replies.

    A peer that is silent is asked again until the replies are enough or the
    time is up, and a few times after that, so that records have more copies
    than they need.
    """

    def __init__(self, links, asked, timeout_s):
        self.replies: dict[str, object] = {}
        self._links = links
        self._end_s = asyncio.get_running_loop().time() + timeout_s
        self._is_over = False
        self._tries_left = {name: LATE_TRIES for name in asked}
        self._pending = {
            asyncio.create_task(self._ask(name, message))
            for name, message in asked.items()
        }

    async def until(self, is_enough, timeout_s=None):
        """Wait for replies until a predicate holds or the time is up."""
        loop = asyncio.get_running_loop()
        end_s = None if timeout_s is None else loop.time() + timeout_s
        while self._pending and not is_enough(self.replies):
            left_s = None if end_s is None else end_s - loop.time()
            if left_s is not None and left_s <= 0:
                break
            _, self._pending = await asyncio.wait(
                self._pending,
                timeout=left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        self._is_over = True

    async def _ask(self, name, message):
        loop = asyncio.get_running_loop()
        while True:
            left_s = self._end_s - loop.time()
            if left_s <= 0:
                return
            with contextlib.suppress(errors.LinkError):
                self.replies[name] = await self._links.request(
                    name, message, min(left_s, TRY_TIMEOUT_S)
                )
                return
            if self._is_over:
                self._tries_left[name] -= 1
                if not self._tries_left[name]:
                    return
            await asyncio.sleep(RETRY_S)


def _in_sync_replies(round_):
    return [reply for reply in round_.replies.values() if reply.is_whole]


def _has(name, replies):
    return name in replies


def _is_reserved(write_quorum, read_quorum, replies):
    whole = sum(reply.is_whole for reply in replies.values())
    return len(replies) >= write_quorum and whole >= read_quorum


def _is_count(write_quorum, replies):
    return len(replies) >= write_quorum


def _is_never(_replies):
    return False


def _is_read(read_quorum, replies):
    """Tell whether a chain is whole, or no folder can add to the others."""
    if any(not reply.missing_id for reply in replies.values()):
        return True
    return sum(reply.is_whole for reply in replies.values()) >= read_quorum
