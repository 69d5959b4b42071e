"""A session of callers against a cluster, with a fault at one point."""

import asyncio
import dataclasses
import random

from balsamdale import errors
from balsamdale import messages
from balsamdale import placement
from tests import cluster
from tests import virtual

FAULTS = ('crash', 'cut', 'crash_in_outage', 'two_crashes', 'disk_crash')
ALERT = 'check the pollen counts and send the clinic alert'
OUTAGE_S = 8.0
CUT_S = 6.0
REBOOT_S = 5.0
SETTLE_S = 25.0


@dataclasses.dataclass
class Seen:
    """What a session left behind.

    Attributes:
        answers: final answers or refusals by request id.
        backends: what the backend servers recorded.
        views: the programs at the end.
        sessions: programs still cached after they ended.
        appends: appends of durable records.
    """

    answers: dict = dataclasses.field(default_factory=dict)
    backends: cluster.FakeBackends | None = None
    views: dict = dataclasses.field(default_factory=dict)
    sessions: set = dataclasses.field(default_factory=set)
    appends: int = 0


class Fault:
    """Strikes at the given append of a durable record.

    Args:
        running: the cluster.
        at: number of the append; -1 never strikes.
        moment: 'before' or 'after' the append counts.
        kind: one of `FAULTS`.
    """

    def __init__(self, running, at, moment, kind):
        self._cluster = running
        self._at = at
        self._moment = moment
        self._kind = kind
        self.appends = 0
        self._strikes_left = 2 if kind == 'two_crashes' else 1

    def watch(self, moment, shard):
        """Count appends and strike when it is time."""
        if moment == 'before':
            self.appends += 1
        if moment != self._moment or self.appends < self._at + 1:
            return
        owner = self._cluster.owner_of(shard)
        if self._at < 0 or not self._strikes_left or not owner:
            return
        self._strikes_left -= 1
        self._at = self.appends + 8
        self._strike(owner)

    def _strike(self, owner):
        loop = asyncio.get_running_loop()
        if self._kind == 'cut':
            self._cluster.isolate(owner)
            loop.call_later(CUT_S, self._cluster.heal)
            return
        if self._kind == 'crash_in_outage':
            self._cluster.store.available = False
            loop.call_later(OUTAGE_S, self._mend_store)
        victim = owner
        if self._kind == 'disk_crash':
            victim = next(iter(self._cluster.disks))
        self._cluster.crash(victim)
        loop.call_later(REBOOT_S, self._reboot, victim)

    def _reboot(self, victim):
        self._cluster.booting = asyncio.ensure_future(
            self._cluster.boot(victim)
        )

    def _mend_store(self):
        self._cluster.store.available = True


def play(at=-1, moment='before', kind='crash', seed=1) -> Seen:
    """Run the session on a virtual clock and return what it left."""
    return virtual.run(_play(at, moment, kind, seed))


async def _play(at, moment, kind, seed):
    seen = Seen()
    running = cluster.Cluster(seed=seed)
    await running.start()
    fault = Fault(running, at, moment, kind)
    running.on_append = fault.watch
    seen.backends = running.backends
    first, second = neighbours()
    await asyncio.gather(
        _program(running, seen, first, random.Random(seed)),
        _program(running, seen, second, random.Random(seed + 1)),
        _note(seen, 'direct', running.request('delivery', 'direct', 'go')),
    )
    again = running.request('delivery', 'direct', 'go')
    await _note(seen, 'direct-again', again)
    for name in (first, second):
        seen.views[name] = await running.view(name)
        await running.end(name)
    await asyncio.sleep(SETTLE_S)
    seen.sessions = running.backends.sessions()
    seen.appends = fault.appends
    return seen


async def _program(running, seen, name, generator):
    """Run one program; its last two turns are sent at once."""
    await running.create(name, 'alert')
    await _note(seen, f'{name}-0', running.turn(name, f'{name}-0', ALERT))
    pair = (
        _note(seen, f'{name}-1', running.turn(name, f'{name}-1', 'and later')),
        _note(seen, f'{name}-2', running.turn(name, f'{name}-2', 'and then')),
    )
    await asyncio.sleep(generator.random() * 0.1)
    await asyncio.gather(*pair)
    repeat = running.turn(name, f'{name}-1', 'and later')
    await _note(seen, f'{name}-1-again', repeat)


async def _note(seen, request_id, answering):
    try:
        seen.answers[request_id] = await answering
    except errors.Refused as refused:
        seen.answers[request_id] = refused


def neighbours() -> tuple[str, str]:
    """Return two program ids that share a shard."""
    first = 'program-0'
    number = placement.shard_of(first)
    index = 1
    while placement.shard_of(f'program-{index}') != number:
        index += 1
    return first, f'program-{index}'


def cases(count, seed=7):
    """Return fault points: every kind, spread over the whole session."""
    total = play().appends
    generator = random.Random(seed)
    every = [
        (at, moment, kind)
        for at in range(total)
        for moment in ('before', 'after')
        for kind in FAULTS
    ]
    generator.shuffle(every)
    return every[:count]


def texts(view) -> list[str]:
    """Return the calls of a program in the order they were accepted."""
    return [turn.text for turn in view.turns]


def is_ok(reply) -> bool:
    """Tell whether a call got its whole answer."""
    return isinstance(reply, messages.AnswerFinal) and reply.outcome == 'ok'
