"""Runs callers against a simulated cluster and injects a fault."""

import asyncio
import dataclasses
import random

from balsamdale import errors
from balsamdale import messages
from balsamdale import placement
from tests import cluster
from tests import virtual

FAULTS = ('crash', 'cut', 'crash_in_outage', 'two_crashes', 'disk_crash')
ALERT_TEXT = 'check the pollen counts and send the clinic alert'
STORE_OUTAGE_S = 8.0
PARTITION_S = 6.0
RESTART_DELAY_S = 5.0
SETTLE_S = 25.0


@dataclasses.dataclass
class SessionResult:
    """What a session left behind.

    Attributes:
        answers: final answers or refusals by request id.
        backends: the backend servers with what they recorded.
        views: views of the programs at the end, by program id.
        cached_programs: programs still cached after they ended.
        append_count: number of appends of records.
    """

    answers: dict = dataclasses.field(default_factory=dict)
    backends: cluster.FakeBackends | None = None
    views: dict = dataclasses.field(default_factory=dict)
    cached_programs: set = dataclasses.field(default_factory=set)
    append_count: int = 0


class Fault:
    """Injects a fault at a given append of records.

    Args:
        sim_cluster: the cluster.
        append_index: index of the append, from 0; -1 for no fault.
        phase: 'before' or 'after' the append takes effect.
        kind: one of `FAULTS`.
    """

    def __init__(self, sim_cluster, append_index, phase, kind):
        self._cluster = sim_cluster
        self._append_index = append_index
        self._phase = phase
        self._kind = kind
        self.append_count = 0
        self._remaining_faults = 2 if kind == 'two_crashes' else 1

    def handle_append(self, phase, shard):
        """Count appends and inject the fault when its append is reached."""
        if phase == 'before':
            self.append_count += 1
        if phase != self._phase or self.append_count < self._append_index + 1:
            return
        owner_id = self._cluster.owner_of(shard)
        if (
            self._append_index < 0
            or not self._remaining_faults
            or not owner_id
        ):
            return
        self._remaining_faults -= 1
        self._append_index = self.append_count + 8
        self._inject(owner_id)

    def _inject(self, owner_id):
        loop = asyncio.get_running_loop()
        if self._kind == 'cut':
            self._cluster.isolate(owner_id)
            loop.call_later(PARTITION_S, self._cluster.heal)
            return
        if self._kind == 'crash_in_outage':
            self._cluster.store.available = False
            loop.call_later(STORE_OUTAGE_S, self._restore_store)
        crashed_id = owner_id
        if self._kind == 'disk_crash':
            crashed_id = next(iter(self._cluster.disks))
        self._cluster.crash(crashed_id)
        loop.call_later(RESTART_DELAY_S, self._restart, crashed_id)

    def _restart(self, crashed_id):
        self._cluster.booting = asyncio.ensure_future(
            self._cluster.boot(crashed_id)
        )

    def _restore_store(self):
        self._cluster.store.available = True


def run_session(
    append_index=-1, phase='before', kind='crash', seed=1
) -> SessionResult:
    """Run a session on a virtual clock and return its result."""
    return virtual.run(_run_session(append_index, phase, kind, seed))


async def _run_session(append_index, phase, kind, seed):
    result = SessionResult()
    sim_cluster = cluster.Cluster(seed=seed)
    await sim_cluster.start()
    fault = Fault(sim_cluster, append_index, phase, kind)
    sim_cluster.on_append = fault.handle_append
    result.backends = sim_cluster.backends
    first, second = programs_of_one_shard()
    await asyncio.gather(
        _run_program(sim_cluster, result, first, random.Random(seed)),
        _run_program(sim_cluster, result, second, random.Random(seed + 1)),
        _store_reply(
            result, 'direct', sim_cluster.request('delivery', 'direct', 'go')
        ),
    )
    repeated_request = sim_cluster.request('delivery', 'direct', 'go')
    await _store_reply(result, 'direct-again', repeated_request)
    for program_id in (first, second):
        result.views[program_id] = await sim_cluster.view(program_id)
        await sim_cluster.end(program_id)
    await asyncio.sleep(SETTLE_S)
    result.cached_programs = sim_cluster.backends.sessions()
    result.append_count = fault.append_count
    return result


async def _run_program(sim_cluster, result, program_id, generator):
    """Run one program; its last two turns are sent concurrently."""
    await sim_cluster.create(program_id, 'alert')
    await _store_reply(
        result,
        f'{program_id}-0',
        sim_cluster.turn(program_id, f'{program_id}-0', ALERT_TEXT),
    )
    concurrent_turns = (
        _store_reply(
            result,
            f'{program_id}-1',
            sim_cluster.turn(program_id, f'{program_id}-1', 'and later'),
        ),
        _store_reply(
            result,
            f'{program_id}-2',
            sim_cluster.turn(program_id, f'{program_id}-2', 'and then'),
        ),
    )
    await asyncio.sleep(generator.random() * 0.1)
    await asyncio.gather(*concurrent_turns)
    repeated_turn = sim_cluster.turn(
        program_id, f'{program_id}-1', 'and later'
    )
    await _store_reply(result, f'{program_id}-1-again', repeated_turn)


async def _store_reply(result, request_id, reply_call):
    try:
        result.answers[request_id] = await reply_call
    except errors.Refused as refused:
        result.answers[request_id] = refused


def programs_of_one_shard() -> tuple[str, str]:
    """Return two program ids that share a shard."""
    first = 'program-0'
    shard_number = placement.shard_of(first)
    index = 1
    while placement.shard_of(f'program-{index}') != shard_number:
        index += 1
    return first, f'program-{index}'


def fault_cases(count, seed=7):
    """Return a random sample of the fault points of a whole session."""
    append_total = run_session().append_count
    generator = random.Random(seed)
    every_case = [
        (append_index, phase, kind)
        for append_index in range(append_total)
        for phase in ('before', 'after')
        for kind in FAULTS
    ]
    generator.shuffle(every_case)
    return every_case[:count]


def turn_texts(view) -> list[str]:
    """Return the texts of a program's turns in order of acceptance."""
    return [turn.text for turn in view.turns]


def is_ok(reply) -> bool:
    """Tell whether a reply is a complete, successful answer."""
    return isinstance(reply, messages.AnswerFinal) and reply.outcome == 'ok'
