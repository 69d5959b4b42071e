"""A random world around the real code of archives and quorums.

Two entries open, keep, break off and abandon turns, alone and together,
while any number of archives are cut off, and as many lose their disks as
may be lost at once.
"""

import asyncio
import dataclasses
import random

from balsamdale import archive
from balsamdale import archive_messages as messages
from balsamdale import errors
from balsamdale import history
from balsamdale import link
from balsamdale import quorum
from tests import archives
from tests import virtual

BUDGET_TOKENS = 400
MOST_TOKENS = 100
TIMEOUT_S = 1.0
# Time in which the end of a turn is to count, by the users' rule.
SETTLE_S = 1.0
# Longest sync of a folder.
SYNC_S = 0.02
# Longest way of a message.
WAY_S = 0.005
# Time in which a wiped folder is to be whole again.
CATCH_UP_S = 10.0
ENDS = ('kept', 'broken off', 'abandoned')


class InvariantViolated(AssertionError):
    """The world saw what must never happen."""


@dataclasses.dataclass(frozen=True)
class Turn:
    """A caller's turn.

    Attributes:
        entry: number of the entry that serves it.
        program: number of its program.
        parent: which of the kept turns it continues; 0 for none.
        tokens: tokens handed to the caller.
        end: one of `ENDS`; an abandoned turn's entry dies after the tokens.
        loses: archives that are cut off, or back, before its end.
    """

    entry: int
    program: int
    parent: int
    tokens: int
    end: str
    loses: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True)
class Together:
    """Turns that run at the same time."""

    turns: tuple[Turn, ...]


@dataclasses.dataclass(frozen=True)
class Cut:
    """An archive that nobody reaches, or that is reached again."""

    number: int


@dataclasses.dataclass(frozen=True)
class Wipe:
    """An archive that comes back with an empty folder."""

    number: int


@dataclasses.dataclass(frozen=True)
class Wait:
    """A pause of the callers."""

    wait_s: float


Step = Turn | Together | Cut | Wipe | Wait


class SlowArchive(archive.MemoryArchive):
    """An archive whose syncs take time, each another."""

    generator = random.Random()

    async def sync_without_blocking(self) -> None:
        await asyncio.sleep(self.generator.uniform(0.0, SYNC_S))


class SlowLinks(link.MemoryLinks):
    """Links whose messages take time, each another."""

    async def _stream_from(self, peer_id, message):
        await asyncio.sleep(SlowArchive.generator.uniform(0.0, WAY_S))
        async for reply in super()._stream_from(peer_id, message):
            yield reply


@dataclasses.dataclass
class _Spent:
    """What a turn cost, as its caller knows."""

    tokens: int = MOST_TOKENS
    ended_s: float | None = None

    def most_tokens(self, now_s):
        """Return the tokens that may count for it at a time."""
        if self.ended_s is None or now_s < self.ended_s + SETTLE_S:
            return MOST_TOKENS
        return self.tokens


class SimulatedCluster:
    """Archives and two entries, moved by steps.

    Args:
        losses: archives that may be lost at once.
        seed: decides how long syncs take.
    """

    def __init__(self, losses: int, seed: int):
        SlowArchive.generator = random.Random(seed)
        self._archives = archives.ArchiveCluster(
            2 * losses + 1, losses, SlowArchive, SlowLinks
        )
        self._entries = (
            self._archives.quorum,
            quorum.Quorum(
                self._archives.helper,
                self._archives.members,
                losses,
                'domain-d1',
            ),
        )
        self._losses = losses
        self._cut: set[str] = set()
        self._is_calm = True
        self._kept: dict[str, history.Turn] = {}
        self._spent: dict[str, dict[str, _Spent]] = {}
        self._handed: dict[str, int] = {}
        self._numbers = iter(range(1, 10**6))

    async def play(self, step: Step) -> None:
        """Take one step.

        Raises:
            Broken: a promise was broken.
        """
        match step:
            case Turn():
                await self._turn(step)
            case Together():
                await asyncio.gather(*(self._turn(t) for t in step.turns))
            case Cut():
                self._is_calm = False
                self._toggle(self._name(step.number))
            case Wipe():
                self._is_calm = False
                await self._wipe(self._name(step.number))
            case Wait():
                await asyncio.sleep(step.wait_s)

    async def check(self) -> None:
        """Read every kept turn at every entry once all is well again.

        Raises:
            Broken: one is gone or changed, or one is there that never was.
        """
        await self._heal()
        for turn_id in self._kept:
            for entry in self._entries:
                chain = await self._read(entry, turn_id)
                self._check_chain(turn_id, chain)
        for entry in self._entries:
            try:
                await entry.read_chain('never', TIMEOUT_S)
            except errors.NoSuchTurn:
                continue
            raise InvariantViolated('a turn that never was is found')

    async def _read(self, entry, turn_id):
        try:
            return await entry.read_chain(turn_id, TIMEOUT_S)
        except (errors.NoSuchTurn, errors.NoQuorum) as error:
            raise InvariantViolated(f'{turn_id} was kept: {error}') from error

    async def _turn(self, step):
        """Serve a turn as an entry does."""
        entry = self._entries[step.entry]
        turn_id = f't{next(self._numbers)}'
        turn = history.Turn(
            turn_id=turn_id,
            parent_id=self._parent(step.parent),
            program_id=f'p{step.program}',
            input=f'[{turn_id}]'.encode(),
            output=f'answer to {turn_id}\n'.encode(),
            tokens=step.tokens,
            expires_at_s=1e9,
        )
        spent = self._spent.setdefault(turn.program_id, {})
        spent[turn.turn_id] = _Spent()
        if not await self._opens(entry, turn):
            self._settle(entry, turn, 0)
            return
        self._hand(turn)
        await asyncio.sleep(SYNC_S)
        for number in step.loses:
            self._is_calm = False
            self._toggle(self._name(number))
        if step.end == 'kept':
            await self._keep(entry, turn)
        elif step.end == 'broken off':
            self._settle(entry, turn, turn.tokens)

    async def _opens(self, entry, turn):
        """Reserve a turn's tokens; tell whether it may run."""
        now_s = asyncio.get_running_loop().time()
        message = messages.OpenTurn(
            program_id=turn.program_id,
            turn_id=turn.turn_id,
            tokens=MOST_TOKENS,
            parent_id=turn.parent_id,
            wants_chain=bool(turn.parent_id),
            expires_at_s=turn.expires_at_s,
        )
        try:
            opened = await entry.reserve(message, BUDGET_TOKENS, TIMEOUT_S)
        except errors.NoQuorum:
            return False
        except errors.NoSuchTurn as error:
            raise InvariantViolated(
                f'{turn.parent_id} was kept: {error}'
            ) from error
        if turn.parent_id:
            self._check_chain(turn.parent_id, opened.chain)
        fits = opened.spent_tokens + MOST_TOKENS <= BUDGET_TOKENS
        if not fits and self._is_calm:
            self._check_refusal(turn, now_s)
        return fits

    async def _keep(self, entry, turn):
        try:
            await entry.store_turn(turn, TIMEOUT_S)
        except errors.NoQuorum:
            # Some folders may hold it; the caller does not have it.
            self._settle(entry, turn, turn.tokens)
            return
        self._kept[turn.turn_id] = turn
        self._note_end(turn, turn.tokens)

    def _parent(self, number):
        names = ['', *self._kept]
        return names[number % len(names)]

    def _settle(self, entry, turn, tokens):
        entry.settle(
            history.Charge(
                turn.program_id, turn.turn_id, tokens, True, turn.expires_at_s
            )
        )
        self._note_end(turn, tokens)

    def _note_end(self, turn, tokens):
        spent = self._spent[turn.program_id][turn.turn_id]
        spent.tokens = tokens
        spent.ended_s = asyncio.get_running_loop().time()

    def _hand(self, turn):
        total = self._handed.get(turn.program_id, 0) + turn.tokens
        self._handed[turn.program_id] = total
        if total > BUDGET_TOKENS + MOST_TOKENS:
            raise InvariantViolated(
                f'{turn.program_id} was handed {total} tokens'
            )

    def _check_refusal(self, turn, now_s):
        """Check that a refused turn did not fit, counted at the most."""
        most_tokens = MOST_TOKENS + sum(
            spent.most_tokens(now_s)
            for name, spent in self._spent[turn.program_id].items()
            if name != turn.turn_id
        )
        if most_tokens <= BUDGET_TOKENS:
            raise InvariantViolated(
                f'{turn.program_id} refused at {most_tokens} tokens'
            )

    def _check_chain(self, turn_id, chain):
        expected = []
        while turn_id:
            turn = self._kept[turn_id]
            expected.append(turn)
            turn_id = turn.parent_id
        if list(chain) != expected[::-1]:
            raise InvariantViolated(f'a chain was read as {chain}')

    def _name(self, number):
        return self._archives.names[number % len(self._archives.names)]

    def _toggle(self, name):
        """Cut an archive off, or end that."""
        is_cut = name not in self._cut
        self._archives.cut(name, is_cut)
        if is_cut:
            self._cut.add(name)
        else:
            self._cut.discard(name)

    async def _wipe(self, name):
        """Start an archive with an empty folder, when one may be lost."""
        spoiled = [n for n in self._archives.names if not self._is_whole(n)]
        if name in spoiled or len(spoiled) >= self._losses:
            await self._heal()
        service = self._archives.add(name, False)
        # The task must not be collected while it runs.
        service.catching_up = asyncio.create_task(service.catch_up())

    async def _heal(self):
        """Wait until no archive is lost."""
        for name in list(self._cut):
            self._toggle(name)
        async with asyncio.timeout(CATCH_UP_S):
            while not all(map(self._is_whole, self._archives.names)):
                await asyncio.sleep(0.05)

    def _is_whole(self, name):
        return self._archives.services[name].archive.is_in_sync


def play(losses: int, seed: int, steps: list[Step]) -> None:
    """Play steps in virtual time and check what they left.

    Raises:
        Broken: a promise was broken.
    """

    async def go():
        cluster = SimulatedCluster(losses, seed)
        for step in steps:
            await cluster.play(step)
        await cluster.check()

    virtual.run(go())
