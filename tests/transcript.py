"""Writes whole sessions as text: inputs and times in, every effect out."""

import asyncio
import functools

from balsamdale import codec
from balsamdale import errors
from balsamdale import messages
from balsamdale import records
from tests import cluster
from tests import virtual


class Transcript:
    """A session on a virtual clock, told line by line."""

    def __init__(self):
        self.lines = []
        self.simulated_cluster = cluster.Cluster()
        self._told = set()
        self._start_s = 0.0

    async def start(self):
        """Start the cluster and listen to it."""
        await self.simulated_cluster.start()
        self._start_s = asyncio.get_running_loop().time()
        self.simulated_cluster.on_entry = self._tell_entry
        self.simulated_cluster.backends.on_event = lambda text: self.add_line(
            'server', text
        )

    def add_line(self, who, text):
        """Add a line."""
        now_s = asyncio.get_running_loop().time() - self._start_s
        self.lines.append(f'{now_s:8.3f}  {who:8} {text}')

    async def create(self, program_id, contract, budget_tokens=0):
        """Create a program."""
        self.add_line('caller', f'creates {program_id} under {contract}')
        await self.simulated_cluster.create(
            program_id, contract, budget_tokens
        )

    async def turn(self, program_id, request_id, text):
        """Run a turn and tell its end."""
        self.add_line('caller', f'{program_id} {request_id}: {text!r}')
        await self._end(
            f'{program_id} {request_id}',
            self.simulated_cluster.turn(program_id, request_id, text),
        )

    async def request(self, service, request_id, text):
        """Send a plain request and tell its end."""
        self.add_line('caller', f'{service} {request_id}: {text!r}')
        await self._end(
            f'{service} {request_id}',
            self.simulated_cluster.request(service, request_id, text),
        )

    async def crash_owner(self, program_id):
        """Kill the instance that owns a program."""
        name = next(
            name
            for name, one in self.simulated_cluster.instances.items()
            if program_id in one.owner.programs
        )
        self.add_line('fault', f'{name}, the owner of {program_id}, is killed')
        self.simulated_cluster.crash(name)

    async def _end(self, name, answering):
        try:
            reply = await answering
        except errors.Refused as refused:
            self._tell_refusal(name, refused)
            return
        if reply.outcome == 'ok':
            self.add_line('answer', f'{name}: {reply.text[:60]!r}')
        else:
            self._tell_refusal(name, reply)

    def _tell_refusal(self, name, reply):
        when = ''
        if reply.retry_after_s is not None:
            when = f', come back in {reply.retry_after_s:g} s'
        self.add_line('answer', f'{name}: {reply.code}, ran {reply.ran}{when}')

    def _tell_entry(self, entry):
        key = (entry.program_id, entry.epoch, entry.sequence)
        if key not in self._told:
            self._told.add(key)
            self.add_line('journal', describe(codec.decode(entry.body)))


@functools.singledispatch
def describe(record) -> str:
    """Return a record in one line."""
    raise TypeError(type(record).__name__)


@describe.register
def _(record: records.EpochStarted):
    return f'epoch {record.epoch} of {record.owner_id}'


@describe.register
def _(record: records.ProgramCreated):
    return f'{record.program_id} created, budget {record.budget_tokens}'


@describe.register
def _(record: records.CallAccepted):
    return f'{record.program_id} turn {record.turn} accepted'


@describe.register
def _(record: records.StepStarted):
    kind = (
        record.kind if record.idempotent else f'non-idempotent {record.kind}'
    )
    return (
        f'{record.program_id} turn {record.turn} step {record.step} starts: '
        f'{kind} {record.target} on {record.server or "itself"}, '
        f'reserves {record.reserved_tokens}'
    )


@describe.register
def _(record: records.StepFinished):
    return (
        f'{record.program_id} turn {record.turn} step {record.step} '
        f'{record.outcome}, charges {record.charged_tokens}'
    )


@describe.register
def _(record: records.AnswerReady):
    return (
        f'{record.program_id} turn {record.turn} final: {record.code}, '
        f'ran {record.ran}'
    )


@describe.register
def _(record: records.ProgramEnded):
    return f'{record.program_id} ended by {record.reason}'


@describe.register
def _(record: records.CacheReleased):
    return f'{record.program_id} released by {record.server}'


def run_script(script) -> str:
    """Run a script and return its session."""

    async def main():
        session = Transcript()
        await session.start()
        await script(session)
        return session.lines

    return '\n'.join(virtual.run(main())) + '\n'


async def end_and_wait(session, program_id):
    """End a program and wait until its cache is released."""
    session.add_line('caller', f'ends {program_id}')
    await session.simulated_cluster.call(
        program_id, messages.EndProgram(program_id)
    )
    await asyncio.sleep(3)
