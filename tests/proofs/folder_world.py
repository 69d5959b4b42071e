"""A randomized simulation of archives whose disks and replica set change.

Archives restart, lose power, disks and links, are added, replaced, removed
and emptied while programs pause for as long as their turns are kept. Chains
lead over programs. At most `losses` archives are lost at any time; one is
lost until `CATCH_UP_S` after it is back.
"""

import asyncio
import contextlib
import dataclasses
import os
import tempfile
import typing

from balsamdale import errors
from balsamdale import history
from tests import folder_cluster
from tests.proofs import archive_world
from tests import virtual

# Seconds for which a turn can be continued, as on the users' sheets.
KEEP_S = 60.0
ACCOUNT_RETENTION_S = 120.0
# Seconds after its return for which an archive counts as lost.
CATCH_UP_S = 4.8
# Seconds within which a removed or emptied archive has left the set.
LEAVE_TIMEOUT_S = 20.0
# Seconds from the end of all archives to their start.
RESTART_S = 0.2
# Longest time between the beginning of a turn and its parent's last moment.
TURN_MARGIN_S = 2.0
# Longest simulation: a few dozen pauses.
MAX_DURATION_S = 6000.0
# A file system in memory, where there is one.
MEMORY_FOLDER = '/dev/shm'
DISK_KINDS = ('kept', 'unsynced lost', 'empty')


@dataclasses.dataclass(frozen=True)
class Restart:
    """Kills an archive and starts it again.

    Attributes:
        number: which archive.
        down_s: seconds until it starts.
        disk: what the disk has then, one of `DISK_KINDS`.
        turns: turns that are served in order while it is down.
        is_planned: whether it is stopped in order, not killed.
    """

    number: int
    down_s: float = 1.0
    disk: str = 'kept'
    turns: tuple[archive_world.Turn, ...] = ()
    is_planned: bool = False


@dataclasses.dataclass(frozen=True)
class Cut:
    """Cuts an archive off from all other instances for a while.

    Attributes:
        number: which archive.
        for_s: for how long.
        turns: turns that are served in order meanwhile.
    """

    number: int
    for_s: float = 1.0
    turns: tuple[archive_world.Turn, ...] = ()


@dataclasses.dataclass(frozen=True)
class Add:
    """Adds archives.

    Attributes:
        count: how many, at once.
        rounds: turns that are served meanwhile, those of a round at once.
    """

    count: int = 1
    rounds: tuple[tuple[archive_world.Turn, ...], ...] = ()


@dataclasses.dataclass(frozen=True)
class Remove:
    """Removes an archive for good; with few left, a successor comes."""

    number: int


@dataclasses.dataclass(frozen=True)
class Empty:
    """Has an archive emptied and taken away.

    Attributes:
        number: which archive.
        disk: 'empty' if it loses its disk just before, which needs no other
            loss to have ended.
    """

    number: int
    disk: str = 'kept'


@dataclasses.dataclass(frozen=True)
class RestartAll:
    """Restarts all archives at once.

    Attributes:
        disk: what the disks have then, but 'empty', as in `Restart`.
        turns: turns that are under way at that moment.
        after_s: seconds from their beginning to the restart.
    """

    disk: str = 'kept'
    turns: tuple[archive_world.Turn, ...] = ()
    after_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class RepeatId:
    """Stores a turn that continues itself, under the id of an earlier one.

    No entry of this build takes such a turn. What becomes of the turns that
    continue it is not judged; all others hold.

    Attributes:
        program: number of the program that it comes from.
        parent: which of the stored turns gives its id.
    """

    program: int
    parent: int


Change = RepeatId | Restart | Cut | Add | Remove | Empty | RestartAll


class ChangingCluster(archive_world.SimulatedCluster):
    """Archives in a replica set that changes, and two entries.

    Args:
        cluster: the archives.
    """

    def __init__(self, cluster: folder_cluster.FolderCluster):
        self._cluster = cluster
        self._entries = cluster.entries
        self._losses = cluster.losses
        self._is_fault_free = True
        self._stored_turns: dict[str, history.Turn] = {}
        self._turn_costs = {}
        self._delivered_tokens = {}
        self._turn_numbers = iter(range(1, 10**6))
        self._opened_chains = {}
        self._program_numbers: dict[int, int] = {}
        self._last_ends_s: dict[str, float] = {}
        # Names of the archives that were lost, with the time of their return.
        self._returns_s: dict[str, float] = {}

    async def play(self, step) -> None:
        if isinstance(step, typing.get_args(Change)):
            self._is_fault_free = False
            await self._change(step)
        else:
            await super().play(step)

    async def start(self) -> None:
        """Wait until the archives have formed the set."""
        await self._wait_for(
            lambda: len(self._cluster.members()) == 2 * self._losses + 1
        )
        await asyncio.sleep(1.0)

    async def check(self) -> None:
        """Read every turn that is kept at every entry.

        Raises:
            InvariantViolated: one is missing or changed, or the archives do
                not serve again.
        """
        await self._await_returns(0)
        self._check_copies()
        for turn_id in self._live_ids():
            for entry in self._entries:
                chain = await self._read_chain(entry, turn_id)
                self._check_chain(turn_id, chain)

    def _check_copies(self):
        """Check that whole turns are on enough folders of the present set."""
        archives = [
            self._cluster.processes[name].archive
            for name in self._cluster.members()
            if name in self._cluster.processes
        ]
        for turn_id in self._live_ids():
            count = sum(
                archive.holds(turn_id)
                and not archive.missing_ancestor(turn_id)
                for archive in archives
            )
            if count <= self._losses:
                raise archive_world.InvariantViolated(
                    f'{turn_id} is whole on {count} folders'
                )

    async def _change(self, step):
        match step:
            case RepeatId():
                await self._repeat_id(step)
            case Restart():
                await self._restart(step)
            case Cut():
                name = await self._next_lost(step.number)
                self._cluster.set_cut(name, True)
                await self._serve_turns(step.turns)
                await asyncio.sleep(step.for_s)
                self._cluster.set_cut(name, False)
                self._mark_returned(name)
            case Add():
                await asyncio.gather(
                    self._serve_rounds(step.rounds),
                    *(self._add() for _ in range(step.count)),
                )
            case Remove():
                await self._remove(step)
            case Empty():
                await self._empty(step)
            case RestartAll():
                await self._await_returns(0)
                await asyncio.gather(
                    self._restart_all(step),
                    *(self._serve_turn(turn) for turn in step.turns),
                )

    async def _restart_all(self, step):
        await asyncio.sleep(step.after_s)
        names = sorted(self._cluster.processes)
        for name in names:
            self._end(name, step.disk)
        await asyncio.sleep(RESTART_S)
        for name in names:
            self._cluster.start(name)
            self._mark_returned(name)

    async def _repeat_id(self, step):
        turn_id = self._choose_parent(step.parent)
        if not turn_id:
            return
        turn = dataclasses.replace(
            self._stored_turns[turn_id],
            parent_id=turn_id,
            program_id=self._program_id(step.program),
            expires_at_s=self._expires_at_s(),
        )
        spoiled_ids = {turn_id}
        for other_id, other in self._stored_turns.items():
            if other.parent_id in spoiled_ids:
                spoiled_ids.add(other_id)
        for other_id in spoiled_ids:
            del self._stored_turns[other_id]
        with contextlib.suppress(errors.NoQuorum):
            await self._entries[0].store_turn(
                turn, archive_world.TIMEOUT_S, (turn,)
            )

    async def _restart(self, step):
        name = await self._next_lost(step.number)
        if step.is_planned:
            await self._cluster.stop(name)
        self._end(name, step.disk)
        await self._serve_turns(step.turns)
        await asyncio.sleep(step.down_s)
        self._cluster.start(name)
        self._mark_returned(name)

    async def _serve_turns(self, turns):
        for turn in turns:
            await self._serve_turn(turn)

    async def _serve_rounds(self, rounds):
        for turns in rounds:
            await asyncio.gather(*(self._serve_turn(t) for t in turns))

    async def _remove(self, step):
        name = await self._next_lost(step.number)
        self._cluster.kill(name)
        self._returns_s[name] = float('inf')
        if len(self._cluster.processes) <= 2 * self._losses:
            await self._add()
        await self._wait_for(lambda: name not in self._cluster.members())
        self._check_copies()
        del self._returns_s[name]

    async def _empty(self, step):
        name = await self._next_lost(step.number)
        process = self._cluster.processes[name]
        if step.disk == 'empty':
            self._end(name, step.disk)
            await asyncio.sleep(1.0)
            process = self._cluster.start(name)
            # The order is read with the first state of the mirror.
            self._returns_s[name] = float('inf')
        async with asyncio.timeout(LEAVE_TIMEOUT_S):
            await process.member.leave()
        self._check_copies()
        await asyncio.sleep(folder_cluster.MAX_MIRROR_DELAY_S)
        self._cluster.kill(name)
        self._returns_s.pop(name, None)

    async def _add(self):
        name = self._cluster.new_name()
        self._cluster.start(name)
        await self._wait_for(lambda: name in self._cluster.members())

    def _end(self, name, disk):
        match disk:
            case 'kept':
                self._cluster.kill(name)
            case 'unsynced lost':
                self._cluster.cut_power(name)
            case 'empty':
                self._cluster.wipe(name)

    async def _next_lost(self, number):
        """Return an archive that may be lost now, after a wait if need be."""
        await self._await_returns(self._losses - 1)
        while len(self._cluster.processes) <= 2 * self._losses:
            await self._add()
        names = sorted(set(self._cluster.processes) - set(self._returns_s))
        return names[number % len(names)]

    async def _await_returns(self, lost_count):
        """Wait until at most so many archives count as lost."""
        while True:
            now_s = self._cluster.wall_s()
            self._returns_s = {
                name: returned_s
                for name, returned_s in self._returns_s.items()
                if now_s < returned_s + CATCH_UP_S
            }
            if len(self._returns_s) <= lost_count:
                return
            await asyncio.sleep(0.05)

    def _mark_returned(self, name):
        self._returns_s[name] = self._cluster.wall_s()

    async def _wait_for(self, condition):
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                while not condition():
                    await asyncio.sleep(0.05)
        except TimeoutError as error:
            raise archive_world.InvariantViolated(
                f'the replica set stays {sorted(self._cluster.members())}'
            ) from error

    def _toggle_connection(self, name):
        raise AssertionError('turns of this world disconnect no archive')

    def _program_id(self, number):
        """Return the id of a program; one that is over gets a new id."""
        program_id = f'p{number}.{self._program_numbers.get(number, 0)}'
        ended_s = self._last_ends_s.get(program_id, self._cluster.wall_s())
        if self._cluster.wall_s() - ended_s > KEEP_S:
            self._program_numbers[number] = (
                self._program_numbers.get(number, 0) + 1
            )
            return self._program_id(number)
        return program_id

    def _record_end(self, turn, tokens):
        super()._record_end(turn, tokens)
        self._last_ends_s[turn.program_id] = self._cluster.wall_s()

    def _expires_at_s(self):
        return self._cluster.wall_s() + KEEP_S

    def _account_expires_at_s(self):
        return self._cluster.wall_s() + KEEP_S + ACCOUNT_RETENTION_S

    async def _write_turn(self, entry, turn):
        turn = dataclasses.replace(turn, expires_at_s=self._expires_at_s())
        await super()._write_turn(entry, turn)

    async def _store_turn(self, entry, turn):
        await super()._store_turn(entry, turn)
        if turn.turn_id in self._stored_turns:
            self._stored_turns[turn.turn_id] = dataclasses.replace(
                turn, expires_at_s=self._expires_at_s()
            )

    def _live_ids(self):
        now_s = self._cluster.wall_s()
        return [
            turn_id
            for turn_id, turn in self._stored_turns.items()
            if turn.expires_at_s - TURN_MARGIN_S > now_s
        ]

    def _choose_parent(self, number):
        names = ['', *self._live_ids()]
        return names[number % len(names)]

    def _check_chain(self, turn_id, chain):
        """Compare by id, as the times of retention differ."""
        expected_ids = []
        while turn_id:
            expected_ids.append(turn_id)
            turn_id = self._stored_turns[turn_id].parent_id
        found_ids = [turn.turn_id for turn in chain]
        if found_ids != expected_ids[::-1]:
            raise archive_world.InvariantViolated(
                f'a chain was read as {found_ids}'
            )


def play(losses: int, seed: int, steps: list) -> None:
    """Run steps in virtual time and check the turns that are kept.

    Raises:
        InvariantViolated: an invariant does not hold.
    """

    async def scenario(root, simulated):
        cluster = folder_cluster.FolderCluster(
            root, simulated, 2 * losses + 1, losses, seed
        )
        try:
            world = ChangingCluster(cluster)
            await world.start()
            for step in steps:
                await world.play(step)
            await world.check()
        finally:
            cluster.close()

    parent = MEMORY_FOLDER if os.path.isdir(MEMORY_FOLDER) else None
    with (
        tempfile.TemporaryDirectory(dir=parent) as root,
        folder_cluster.simulated_os() as simulated,
    ):
        virtual.run(scenario(root, simulated), MAX_DURATION_S)
