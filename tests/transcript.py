"""Writes whole sessions on a simulated cluster as text."""

import asyncio
import functools

from balsamdale import codec
from balsamdale import errors
from balsamdale import messages
from balsamdale import records
from tests import cluster
from tests import virtual


class Transcript:
    """The inputs and effects of a session on a virtual clock, one a line."""

    def __init__(self):
        self.lines = []
        self.cluster = cluster.Cluster()
        self._described_keys = set()
        self._start_s = 0.0

    async def start(self):
        """Start the cluster and subscribe to its events."""
        await self.cluster.start()
        self._start_s = asyncio.get_running_loop().time()
        self.cluster.on_entry = self._add_entry
        self.cluster.backends.on_event = lambda text: self.add_line(
            'server', text
        )

    def add_line(self, topic, text):
        """Add a line with the time since the start.

        Args:
            topic: what the line is about, such as a caller or a fault.
            text: what happened.
        """
        now_s = asyncio.get_running_loop().time() - self._start_s
        self.lines.append(f'{now_s:8.3f}  {topic:8} {text}')

    async def create(self, program_id, contract, budget_tokens=0):
        """Create a program."""
        self.add_line('caller', f'creates {program_id} under {contract}')
        await self.cluster.create(program_id, contract, budget_tokens)

    async def turn(self, program_id, request_id, text):
        """Run a turn and add its outcome."""
        self.add_line('caller', f'{program_id} {request_id}: {text!r}')
        await self._add_outcome(
            f'{program_id} {request_id}',
            self.cluster.turn(program_id, request_id, text),
        )

    async def request(self, service, request_id, text):
        """Send a request to a plain service and add its outcome."""
        self.add_line('caller', f'{service} {request_id}: {text!r}')
        await self._add_outcome(
            f'{service} {request_id}',
            self.cluster.request(service, request_id, text),
        )

    async def crash_owner(self, program_id):
        """Kill the instance that owns a program."""
        instance_id = next(
            instance_id
            for instance_id, instance in self.cluster.instances.items()
            if program_id in instance.owner.programs
        )
        self.add_line(
            'fault', f'{instance_id}, the owner of {program_id}, is killed'
        )
        self.cluster.crash(instance_id)

    async def _add_outcome(self, name, pending_reply):
        try:
            reply = await pending_reply
        except errors.Refused as refused:
            self._add_refusal(name, refused)
            return
        if reply.outcome == 'ok':
            self.add_line('answer', f'{name}: {reply.text[:60]!r}')
        else:
            self._add_refusal(name, reply)

    def _add_refusal(self, name, reply):
        retry_text = ''
        if reply.retry_after_s is not None:
            retry_text = f', come back in {reply.retry_after_s:g} s'
        self.add_line(
            'answer', f'{name}: {reply.code}, ran {reply.ran}{retry_text}'
        )

    def _add_entry(self, entry):
        key = (entry.program_id, entry.epoch, entry.sequence)
        if key not in self._described_keys:
            self._described_keys.add(key)
            self.add_line('journal', describe(codec.decode(entry.body)))


@functools.singledispatch
def describe(record) -> str:
    """Return a one-line description of a record."""
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
    """Run a script on a virtual clock and return its transcript."""

    async def main():
        session = Transcript()
        await session.start()
        await script(session)
        return session.lines

    return '\n'.join(virtual.run(main())) + '\n'


async def end_and_wait(session, program_id):
    """End a program and wait until its cache is released."""
    session.add_line('caller', f'ends {program_id}')
    await session.cluster.call(program_id, messages.EndProgram(program_id))
    await asyncio.sleep(3)
