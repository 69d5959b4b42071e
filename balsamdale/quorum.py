"""Quorum reads and writes of turns and token accounts over the archives.

All records of a program go to the same 2f+1 replicas, chosen by rendezvous
hashing, where f is the number of folders that may be lost at once. A
majority of them acknowledges each write, so that any two majorities share a
replica.
"""

import asyncio
from collections import abc as collections_abc
import contextlib
import dataclasses
import functools
import itertools

from balsamdale import archive_messages as messages
from balsamdale import background
from balsamdale import copies
from balsamdale import decisions
from balsamdale import errors
from balsamdale import history
from balsamdale import relay
from balsamdale import replica_set

__all__ = ['Quorum', 'Reservation']

# Seconds within which all entries see a change of the replica set.
SET_OVERLAP_S = 1.0
# Timeout of one attempt: a disk sync and a few round trips, with a margin.
ATTEMPT_TIMEOUT_S = 0.4
# Seconds between attempts at one replica.
RETRY_INTERVAL_S = 0.05
# Failed attempts allowed at a replica once the caller has stopped waiting;
# they add copies beyond the write quorum.
MAX_LATE_ATTEMPTS = 2
# Seconds to wait for replies beyond the quorum.
STRAGGLER_WAIT_S = 0.06
# Share of the budget spent above which all replicas are waited for, so that
# fewer charges are missed near the limit.
WAIT_FOR_ALL_BUDGET_SHARE = 0.5
# Errors of folders whose build does not know a message.
NOT_UNDERSTOOD = (errors.RemoteError, errors.UnknownMessage)
# Seconds for which a settlement is retried.
SETTLE_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True)
class Reservation:
    """The chain and the account that a turn starts from.

    Attributes:
        chain: the turns that it continues, oldest first.
        spent_tokens: tokens used or reserved by the program's other turns.
    """

    chain: tuple[history.Turn, ...]
    spent_tokens: int


class Quorum:
    """Reads and writes records by quorum.

    Args:
        links: requests to peers.
        folders: returns the data folders of the replica set.
        losses: folders that may be lost at once.
        failure_domain: failure domain of this instance; local replicas are
            read first.
    """

    def __init__(
        self,
        links: relay.RelayLinks,
        folders: collections_abc.Callable[[], tuple[replica_set.Folder, ...]],
        losses: int,
        failure_domain: str,
    ):
        self._links = links
        self._folders = folders
        self._losses = losses
        self._failure_domain = failure_domain
        self._overlap = copies.SetOverlap(SET_OVERLAP_S)
        self._background = background.BackgroundTasks('quorum')

    @property
    def write_quorum(self) -> int:
        """Number of acknowledgements that make a record durable."""
        return self._losses + 1

    def replicas(self, program_id: str) -> list[replica_set.Folder]:
        """Return the replicas of a program, those in this domain first."""
        folders = {f.instance_id: f for f in self._folders()}
        chosen = copies.replicas(program_id, folders, self._losses)
        return sorted(
            (folders[name] for name in chosen),
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
            timeout_s: timeout of each round of requests.

        Raises:
            NoQuorum: too few replicas replied.
            NoSuchTurn: a read quorum replied and no replica holds the parent.
        """
        replicas = self.replicas(message.program_id)
        if len(replicas) < self.write_quorum:
            raise errors.NoQuorum(len(replicas), self.write_quorum)
        nearest = replicas[0].instance_id
        replica_sets = self._replica_sets(message.program_id)
        requests = {
            name: dataclasses.replace(
                message, wants_chain=message.wants_chain and name == nearest
            )
            for name in itertools.chain.from_iterable(replica_sets)
        }
        fan_out = _FanOut(self._links.request, requests, timeout_s)
        is_reserved = functools.partial(self._is_reserved_in_all, replica_sets)
        await fan_out.wait_until(is_reserved)
        if message.tokens and not is_reserved(fan_out.replies):
            raise errors.NoQuorum(
                len(_in_sync_replies(fan_out)),
                self._read_quorum(len(replicas)),
            )
        if budget_tokens and self._count_spent_tokens(fan_out, message) > (
            WAIT_FOR_ALL_BUDGET_SHARE * budget_tokens
        ):
            await fan_out.wait_until(_is_never_enough, STRAGGLER_WAIT_S)
        chain = ()
        if message.wants_chain:
            await fan_out.wait_until(
                functools.partial(_has_reply_from, nearest), STRAGGLER_WAIT_S
            )
            nearest_reply = fan_out.replies.get(nearest)
            missing_id = message.parent_id
            if nearest_reply is not None:
                chain, missing_id = (
                    nearest_reply.turns,
                    nearest_reply.missing_id,
                )
            if missing_id:
                earlier = await self.read_chain(missing_id, timeout_s)
                chain = earlier + chain
        return Reservation(chain, self._count_spent_tokens(fan_out, message))

    def _replica_sets(self, program_id):
        """Return the replicas of a program in each set that may be in use.

        Sets that are too small for a write had none.
        """
        names = tuple(folder.instance_id for folder in self._folders())
        now_s = asyncio.get_running_loop().time()
        chosen = {
            frozenset(copies.replicas(program_id, names, self._losses)): None
            for names in self._overlap.observe(names, now_s)
            if len(names) >= self.write_quorum
        }
        return list(chosen)

    def _is_reserved_in_all(self, replica_sets, replies):
        return all(
            _is_reserved(
                self.write_quorum,
                self._read_quorum(len(names)),
                {n: r for n, r in replies.items() if n in names},
            )
            for names in replica_sets
        )

    def _count_spent_tokens(self, fan_out, message):
        merged = history.merge_accounts(
            reply.entries for reply in _in_sync_replies(fan_out)
        )
        return history.spent_tokens(merged, message.turn_id)

    async def read_chain(
        self, turn_id: str, timeout_s: float
    ) -> tuple[history.Turn, ...]:
        """Return a turn with all turns before it, joined from all folders.

        No single folder has to hold the whole chain. The timeout is that of
        each round of requests.

        Raises:
            NoQuorum: a turn was not found, and the in-sync replies are too
                few to prove its absence.
            NoSuchTurn: a read quorum replied and no folder holds a turn, or
                the chain returns to itself.
        """
        chain: tuple[history.Turn, ...] = ()
        known_ids: set[str] = set()
        missing_id = turn_id
        while missing_id:
            part = await self._read_longest_part(missing_id, timeout_s)
            part_ids = {turn.turn_id for turn in part.turns}
            if known_ids & part_ids:
                raise errors.NoSuchTurn(turn_id)
            known_ids |= part_ids
            chain = part.turns + chain
            missing_id = part.missing_id
        return chain

    async def _read_longest_part(self, turn_id, timeout_s):
        """Return the longest tail of a chain that a single folder holds."""
        names = [folder.instance_id for folder in self._folders()]
        read_quorum = self._read_quorum(len(names))
        message = messages.ReadChain(turn_id)
        fan_out = _FanOut(
            self._links.request, dict.fromkeys(names, message), timeout_s
        )
        await fan_out.wait_until(
            functools.partial(_is_chain_read, read_quorum)
        )
        replies = list(fan_out.replies.values())
        part = max(replies, key=lambda r: len(r.turns), default=None)
        if part is not None and part.turns:
            return part
        if len(_in_sync_replies(fan_out)) >= read_quorum:
            raise errors.NoSuchTurn(turn_id)
        raise errors.NoQuorum(len(_in_sync_replies(fan_out)), read_quorum)

    async def store_turn(
        self,
        turn: history.Turn,
        timeout_s: float,
        chain: tuple[history.Turn, ...] = (),
    ) -> None:
        """Make a turn durable on a write quorum of its replicas.

        A replica counts once it holds the chain of the turn, too.

        Args:
            turn: the turn.
            timeout_s: how long to try.
            chain: the turns that it continues, oldest first.

        Raises:
            NoQuorum: the turn may not be durable.
        """
        if chain:
            message = messages.KeepChainedTurn(turn)
            request = functools.partial(self._keep_with_chain, chain)
        else:
            message, request = messages.KeepTurn(turn), self._links.request
        await self._write(turn.program_id, message, timeout_s, request)

    async def _keep_with_chain(self, chain, name, message, timeout_s):
        """Store a turn in one folder, with what it lacks of the chain.

        Raises:
            LinkError: the folder may not have the turn with its chain.
        """
        try:
            reply = await self._links.request(name, message, timeout_s)
        except NOT_UNDERSTOOD:
            keep = messages.KeepTurn(message.turn)
            return await self._links.request(name, keep, timeout_s)
        if not reply.missing_id:
            return reply
        missing = _until(chain, reply.missing_id)
        decisions.record(
            'chain_sent',
            folder=name,
            id=message.turn.turn_id,
            turns=len(missing),
        )
        await asyncio.gather(
            *(
                self._links.request(name, messages.KeepTurn(turn), timeout_s)
                for turn in missing
            )
        )
        reply = await self._links.request(name, message, timeout_s)
        if reply.missing_id:
            raise errors.ChainIncomplete(name, reply.missing_id)
        return reply

    def settle(self, charge: history.Charge) -> None:
        """Charge what a turn used, in the background."""
        self._background.spawn(self._settle(charge))

    async def _settle(self, charge):
        with contextlib.suppress(errors.NoQuorum):
            await self._write(
                charge.program_id,
                messages.SettleTurn(charge),
                SETTLE_TIMEOUT_S,
            )

    async def _write(self, program_id, message, timeout_s, request=None):
        names = [f.instance_id for f in self.replicas(program_id)]
        if len(names) < self.write_quorum:
            raise errors.NoQuorum(len(names), self.write_quorum)
        fan_out = _FanOut(
            request or self._links.request,
            dict.fromkeys(names, message),
            timeout_s,
        )
        await fan_out.wait_until(
            functools.partial(_has_write_quorum, self.write_quorum)
        )
        if len(fan_out.replies) < self.write_quorum:
            raise errors.NoQuorum(len(fan_out.replies), self.write_quorum)

    def _read_quorum(self, count):
        """Return how many in-sync folders out of `count` prove an absence.

        Each record is on at least a write quorum of them, so any set of this
        size includes a holder of it.
        """
        return max(1, count - self._losses)


class _FanOut:
    """One request to each of several peers, and their replies.

    A request without a reply is retried until the deadline; once the replies
    suffice, only `MAX_LATE_ATTEMPTS` times, so that records reach more
    replicas than the quorum needs.
    """

    def __init__(self, send, requests, timeout_s):
        self.replies: dict[str, object] = {}
        self._send = send
        self._deadline_s = asyncio.get_running_loop().time() + timeout_s
        self._is_wait_over = False
        self._late_attempts_left = {
            name: MAX_LATE_ATTEMPTS for name in requests
        }
        self._pending = {
            asyncio.create_task(self._request(name, message))
            for name, message in requests.items()
        }

    async def wait_until(self, is_enough, timeout_s=None):
        """Wait until a predicate on the replies holds, or for a timeout."""
        loop = asyncio.get_running_loop()
        deadline_s = None if timeout_s is None else loop.time() + timeout_s
        while self._pending and not is_enough(self.replies):
            remaining_s = (
                None if deadline_s is None else deadline_s - loop.time()
            )
            if remaining_s is not None and remaining_s <= 0:
                break
            _, self._pending = await asyncio.wait(
                self._pending,
                timeout=remaining_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        self._is_wait_over = True

    async def _request(self, name, message):
        loop = asyncio.get_running_loop()
        while True:
            remaining_s = self._deadline_s - loop.time()
            if remaining_s <= 0:
                return
            with contextlib.suppress(errors.LinkError):
                self.replies[name] = await self._send(
                    name, message, min(remaining_s, ATTEMPT_TIMEOUT_S)
                )
                return
            if self._is_wait_over:
                self._late_attempts_left[name] -= 1
                if not self._late_attempts_left[name]:
                    return
            await asyncio.sleep(RETRY_INTERVAL_S)


def _in_sync_replies(fan_out):
    return [reply for reply in fan_out.replies.values() if reply.is_whole]


def _until(chain, turn_id):
    """Return the turns of a chain up to one of them, the oldest first."""
    for position, turn in enumerate(chain):
        if turn.turn_id == turn_id:
            return chain[: position + 1]
    return chain


def _has_reply_from(name, replies):
    return name in replies


def _is_reserved(write_quorum, read_quorum, replies):
    in_sync = sum(reply.is_whole for reply in replies.values())
    return len(replies) >= write_quorum and in_sync >= read_quorum


def _has_write_quorum(write_quorum, replies):
    return len(replies) >= write_quorum


def _is_never_enough(_replies):
    return False


def _is_chain_read(read_quorum, replies):
    """Return whether one reply has the whole chain, or enough are in sync."""
    if any(not reply.missing_id for reply in replies.values()):
        return True
    return sum(reply.is_whole for reply in replies.values()) >= read_quorum
