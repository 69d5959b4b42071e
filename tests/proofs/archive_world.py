"""A randomized simulation of entries and archives that runs the real code.

Two entries reserve, store, interrupt and abandon turns, one at a time and
concurrently, while any number of archives are disconnected and at most
`losses` archives lose their disks.
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
MAX_TURN_TOKENS = 100
TIMEOUT_S = 1.0
# Time within which the end of a turn must count, as users require.
MAX_SETTLE_DELAY_S = 1.0
# Longest simulated sync of a folder.
MAX_SYNC_S = 0.02
# Longest simulated delay of a message.
MAX_MESSAGE_DELAY_S = 0.005
# Time within which a wiped folder must be in sync again.
CATCH_UP_TIMEOUT_S = 10.0
ENDS = ('stored', 'interrupted', 'abandoned')


class InvariantViolated(AssertionError):
    """An invariant of the system does not hold."""


@dataclasses.dataclass(frozen=True)
class Turn:
    """A caller's turn.

    Attributes:
        entry: number of the entry that serves it.
        program: number of its program.
        parent: which of the stored turns it continues; 0 for none.
        tokens: tokens delivered to the caller.
        end: one of `ENDS`; the entry of an abandoned turn stops after the
            delivery.
        toggled_archives: archives that are disconnected, or reconnected,
            before its end.
        has_budget: whether its tokens are reserved.
    """

    entry: int
    program: int
    parent: int
    tokens: int
    end: str
    toggled_archives: tuple[int, ...] = ()
    has_budget: bool = True


@dataclasses.dataclass(frozen=True)
class ConcurrentTurns:
    """Turns that run concurrently."""

    turns: tuple[Turn, ...]


@dataclasses.dataclass(frozen=True)
class ToggleConnection:
    """Disconnects an archive, or reconnects it."""

    number: int


@dataclasses.dataclass(frozen=True)
class Wipe:
    """Restarts an archive with an empty folder."""

    number: int


@dataclasses.dataclass(frozen=True)
class Wait:
    """Pauses the callers."""

    wait_s: float


Step = Turn | ConcurrentTurns | ToggleConnection | Wipe | Wait


class SlowArchive(archive.MemoryArchive):
    """An archive whose syncs take a random time."""

    generator = random.Random()

    async def sync_without_blocking(self) -> None:
        await asyncio.sleep(self.generator.uniform(0.0, MAX_SYNC_S))


class SlowLinks(link.MemoryLinks):
    """Links whose messages take a random time."""

    async def _stream_from(self, peer_id, message):
        await asyncio.sleep(
            SlowArchive.generator.uniform(0.0, MAX_MESSAGE_DELAY_S)
        )
        async for reply in super()._stream_from(peer_id, message):
            yield reply


@dataclasses.dataclass
class _TurnCost:
    """The tokens of a turn, as known to its caller."""

    tokens: int = MAX_TURN_TOKENS
    ended_at_s: float | None = None

    def max_tokens(self, now_s):
        """Return the most tokens that may count for the turn at a time."""
        if (
            self.ended_at_s is None
            or now_s < self.ended_at_s + MAX_SETTLE_DELAY_S
        ):
            return MAX_TURN_TOKENS
        return self.tokens


class SimulatedCluster:
    """Archives and two entries, driven by steps.

    Args:
        losses: archives that may be lost at once.
        seed: seed of the durations of syncs and messages.
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
                self._archives.folders,
                losses,
                'domain-d1',
            ),
        )
        self._losses = losses
        self._disconnected: set[str] = set()
        self._is_fault_free = True
        self._stored_turns: dict[str, history.Turn] = {}
        self._turn_costs: dict[str, dict[str, _TurnCost]] = {}
        self._delivered_tokens: dict[str, int] = {}
        self._turn_numbers = iter(range(1, 10**6))
        self._opened_chains: dict[str, tuple[history.Turn, ...]] = {}

    async def play(self, step: Step) -> None:
        """Run one step.

        Raises:
            InvariantViolated: an invariant does not hold.
        """
        match step:
            case Turn():
                await self._serve_turn(step)
            case ConcurrentTurns():
                await asyncio.gather(
                    *(self._serve_turn(t) for t in step.turns)
                )
            case ToggleConnection():
                self._is_fault_free = False
                self._toggle_connection(self._archive_name(step.number))
            case Wipe():
                self._is_fault_free = False
                await self._wipe_archive(self._archive_name(step.number))
            case Wait():
                await asyncio.sleep(step.wait_s)

    async def check(self) -> None:
        """Read every stored turn at every entry after all faults ended.

        Raises:
            InvariantViolated: a stored turn is missing or changed, or a turn
                is found that was never stored.
        """
        await self._restore_all()
        for turn_id in self._stored_turns:
            for entry in self._entries:
                chain = await self._read_chain(entry, turn_id)
                self._check_chain(turn_id, chain)
        for entry in self._entries:
            try:
                await entry.read_chain('never', TIMEOUT_S)
            except errors.NoSuchTurn:
                continue
            raise InvariantViolated('a turn that was never stored is found')

    async def _read_chain(self, entry, turn_id):
        try:
            return await entry.read_chain(turn_id, TIMEOUT_S)
        except (errors.NoSuchTurn, errors.NoQuorum) as error:
            raise InvariantViolated(
                f'{turn_id} was stored: {error}'
            ) from error

    async def _serve_turn(self, step):
        """Serve a turn as an entry does."""
        entry = self._entries[step.entry]
        turn_id = f't{next(self._turn_numbers)}'
        turn = history.Turn(
            turn_id=turn_id,
            parent_id=self._choose_parent(step.parent),
            program_id=self._program_id(step.program),
            input=f'[{turn_id}]'.encode(),
            output=f'answer to {turn_id}\n'.encode(),
            tokens=step.tokens,
            expires_at_s=self._expires_at_s(),
        )
        costs = self._turn_costs.setdefault(turn.program_id, {})
        costs[turn.turn_id] = _TurnCost()
        if not await self._try_reserve(entry, turn, step.has_budget):
            self._settle(entry, turn, 0)
            return
        if step.has_budget:
            self._record_delivery(turn)
        await asyncio.sleep(MAX_SYNC_S)
        for number in step.toggled_archives:
            self._is_fault_free = False
            self._toggle_connection(self._archive_name(number))
        if step.end == 'stored':
            await self._store_turn(entry, turn)
        elif step.end == 'interrupted':
            self._settle(entry, turn, turn.tokens)

    async def _try_reserve(self, entry, turn, has_budget):
        """Reserve a turn's tokens; return whether it may run."""
        if not (has_budget or turn.parent_id):
            return True
        now_s = asyncio.get_running_loop().time()
        message = messages.OpenTurn(
            program_id=turn.program_id,
            turn_id=turn.turn_id,
            tokens=MAX_TURN_TOKENS if has_budget else 0,
            parent_id=turn.parent_id,
            wants_chain=bool(turn.parent_id),
            expires_at_s=self._account_expires_at_s(),
        )
        try:
            opened = await entry.reserve(message, BUDGET_TOKENS, TIMEOUT_S)
        except errors.NoQuorum:
            return False
        except errors.NoSuchTurn as error:
            raise InvariantViolated(
                f'{turn.parent_id} was stored: {error}'
            ) from error
        if turn.parent_id:
            self._check_chain(turn.parent_id, opened.chain)
            self._opened_chains[turn.turn_id] = opened.chain
        if not has_budget:
            return True
        fits_budget = opened.spent_tokens + MAX_TURN_TOKENS <= BUDGET_TOKENS
        if not fits_budget and self._is_fault_free:
            self._check_refusal(turn, now_s)
        return fits_budget

    async def _store_turn(self, entry, turn):
        try:
            await self._write_turn(entry, turn)
        except errors.NoQuorum:
            # Some folders may hold the turn, but it counts as not stored:
            # its caller does not have it.
            self._settle(entry, turn, turn.tokens)
            return
        self._stored_turns[turn.turn_id] = turn
        self._record_end(turn, turn.tokens)

    async def _write_turn(self, entry, turn):
        chain = self._opened_chains.pop(turn.turn_id, ())
        await entry.store_turn(turn, TIMEOUT_S, chain)

    def _program_id(self, number):
        return f'p{number}'

    def _expires_at_s(self):
        """Return the end of the retention of a turn that ends now."""
        return 1e9

    def _account_expires_at_s(self):
        return 1e9

    def _choose_parent(self, number):
        names = ['', *self._stored_turns]
        return names[number % len(names)]

    def _settle(self, entry, turn, tokens):
        entry.settle(
            history.Charge(
                turn.program_id,
                turn.turn_id,
                tokens,
                True,
                self._account_expires_at_s(),
            )
        )
        self._record_end(turn, tokens)

    def _record_end(self, turn, tokens):
        cost = self._turn_costs[turn.program_id][turn.turn_id]
        cost.tokens = tokens
        cost.ended_at_s = asyncio.get_running_loop().time()

    def _record_delivery(self, turn):
        total_tokens = (
            self._delivered_tokens.get(turn.program_id, 0) + turn.tokens
        )
        self._delivered_tokens[turn.program_id] = total_tokens
        if total_tokens > BUDGET_TOKENS + MAX_TURN_TOKENS:
            raise InvariantViolated(
                f'{turn.program_id} was delivered {total_tokens} tokens'
            )

    def _check_refusal(self, turn, now_s):
        """Check that a refused turn could exceed the budget.

        The other turns count with the most tokens that they may use.
        """
        max_tokens = MAX_TURN_TOKENS + sum(
            cost.max_tokens(now_s)
            for name, cost in self._turn_costs[turn.program_id].items()
            if name != turn.turn_id
        )
        if max_tokens <= BUDGET_TOKENS:
            raise InvariantViolated(
                f'{turn.program_id} refused at {max_tokens} tokens'
            )

    def _check_chain(self, turn_id, chain):
        expected = []
        while turn_id:
            turn = self._stored_turns[turn_id]
            expected.append(turn)
            turn_id = turn.parent_id
        if list(chain) != expected[::-1]:
            raise InvariantViolated(f'a chain was read as {chain}')

    def _archive_name(self, number):
        return self._archives.names[number % len(self._archives.names)]

    def _toggle_connection(self, name):
        """Disconnect an archive, or reconnect it."""
        is_disconnected = name not in self._disconnected
        self._archives.set_disconnected(name, is_disconnected)
        if is_disconnected:
            self._disconnected.add(name)
        else:
            self._disconnected.discard(name)

    async def _wipe_archive(self, name):
        """Restart an archive with an empty folder.

        Restores all archives first if no further one may be lost.
        """
        out_of_sync = [
            n for n in self._archives.names if not self._is_in_sync(n)
        ]
        if name in out_of_sync or len(out_of_sync) >= self._losses:
            await self._restore_all()
        service = self._archives.add_archive(name, False)
        # A reference keeps the task from being garbage collected.
        service.catching_up = asyncio.create_task(service.catch_up())

    async def _restore_all(self):
        """Reconnect all archives and wait until they are in sync."""
        for name in list(self._disconnected):
            self._toggle_connection(name)
        async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
            while not all(map(self._is_in_sync, self._archives.names)):
                await asyncio.sleep(0.05)

    def _is_in_sync(self, name):
        return self._archives.services[name].archive.is_in_sync


def play(losses: int, seed: int, steps: list[Step]) -> None:
    """Run steps in virtual time and check the stored turns.

    Raises:
        InvariantViolated: an invariant does not hold.
    """

    async def scenario():
        cluster = SimulatedCluster(losses, seed)
        for step in steps:
            await cluster.play(step)
        await cluster.check()

    virtual.run(scenario())
