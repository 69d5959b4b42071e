"""Simulated cluster: real instances over fakes, on a virtual clock."""

import asyncio
import collections
import random
import time

from balsamdale import backend
from balsamdale import configuration
from balsamdale import errors
from balsamdale import heartbeat
from balsamdale import instance
from balsamdale import journal
from balsamdale import keyvalue
from balsamdale import link
from balsamdale import membership
from balsamdale import messages
from balsamdale import owner
from balsamdale import program
from balsamdale import records
from balsamdale import settings
from harness import fleet
from standins import engine

TOKEN_DELAY_S = 0.01


class FakeBackends(backend.Backends):
    """Fake backend servers that record their requests."""

    def __init__(self):
        self.executions = collections.Counter()
        self.prompts = []
        self.cached = collections.defaultdict(dict)
        self.used_tokens = collections.Counter()
        self.in_flight = collections.Counter()
        self.peak_in_flight = collections.Counter()
        self.sent_at_s = collections.defaultdict(list)
        self.crash_on = ''
        self.crashes = []
        self.release_failures = 0
        self.hang = False
        self.on_event = lambda text: None

    async def complete(self, server, model, call, request_id, session):
        self._count_request(server.name)
        self.on_event(f'{server.name} gets {request_id}')
        prompt = engine.count_tokens(repr(call.messages))
        self.prompts.append((session, call.messages))
        self.used_tokens[session] += prompt
        try:
            if self.crash_on and self.crash_on in repr(call.messages):
                self.crashes.append(server.name)
                await asyncio.sleep(TOKEN_DELAY_S)
                raise errors.BackendFailed(
                    server.name, 'unknown', 'crashed', True
                )
            body = backend.chat_body(model, call, session)
            text, calls = engine.generate_answer(body)
            answer_tokens = 0
            words = [request_id, *text.split(' ')] if text else []
            for word in words:
                await asyncio.sleep(TOKEN_DELAY_S)
                self.used_tokens[session] += 2
                answer_tokens += 2
                yield backend.TextDelta(word + ' ')
            self.cached[server.name][session] = prompt
            yield backend.Completion(
                text=''.join(word + ' ' for word in words),
                tool_calls=tuple(_call(row) for row in calls),
                prompt_tokens=prompt,
                answer_tokens=answer_tokens,
                cached_tokens=0,
            )
        finally:
            self.in_flight[server.name] -= 1

    async def invoke(self, server, call, request_id):
        self._count_request(server.name)
        self.on_event(f'{server.name} executes {call.name} for {request_id}')
        try:
            self.executions[call.name, request_id] += 1
            await asyncio.sleep(5 * TOKEN_DELAY_S)
            if self.hang:
                await asyncio.sleep(3600)
            return 'done'
        finally:
            self.in_flight[server.name] -= 1

    async def release(self, server, session):
        if self.release_failures > 0:
            self.release_failures -= 1
            raise errors.BackendFailed(server.name, 'unknown', 'no answer')
        self.on_event(f'{server.name} drops the cache of {session}')
        self.cached[server.name].pop(session, None)

    async def export_prefix(self, server, session):
        return

    async def import_prefix(self, server, session):
        return

    async def cancel(self, server, request_id):
        return

    def sessions(self):
        """Return the programs that any engine still has in its cache."""
        return {s for cached in self.cached.values() for s in cached}

    def _count_request(self, name):
        self.in_flight[name] += 1
        self.peak_in_flight[name] = max(
            self.peak_in_flight[name], self.in_flight[name]
        )
        loop = asyncio.get_running_loop()
        self.sent_at_s[name].append(loop.time())


class WatchedJournal(journal.MemoryJournal):
    """A journal that reports each append, before and after it is made."""

    def __init__(self, folder_id, on_append, on_entry=lambda entry: None):
        super().__init__(folder_id)
        self._on_append = on_append
        self._on_entry = on_entry

    def append(self, shard, epoch, entries):
        last = entries[-1].sequence if entries else -1
        is_new = last >= self.state(shard).length
        if is_new:
            self._on_append('before', shard)
        length = super().append(shard, epoch, entries)
        for entry in entries:
            self._on_entry(entry)
        if is_new:
            self._on_append('after', shard)
        return length


class Cluster:
    """Instances that share a network, a key-value service and backends.

    Args:
        example: name of the declaration in the examples.
        instances: number of instances.
        disks: number of instances that have a disk.
        seed: seed of the choice of the instance that a caller uses.
    """

    def __init__(self, example='pollenwacht', instances=5, disks=3, seed=1):
        self.store = keyvalue.MemoryKeyValue()
        self.network = link.MemoryNetwork()
        self.backends = FakeBackends()
        self.random = random.Random(seed)
        self.instances: dict[str, instance.Instance] = {}
        self.on_append = lambda moment, shard: None
        self.on_entry = lambda entry: None
        self.text = (fleet.EXAMPLES / f'{example}.toml').read_text()
        self._disk_count = 0
        self.disks: dict[str, WatchedJournal] = {}
        self._names = [f'entry-{i + 1}' for i in range(instances)]
        for name in self._names[:disks]:
            self.disks[name] = self.new_disk()

    def new_disk(self) -> WatchedJournal:
        """Return an empty disk."""
        self._disk_count += 1
        folder_id = f'folder-{self._disk_count}'
        return WatchedJournal(
            folder_id,
            lambda *args: self.on_append(*args),
            lambda entry: self.on_entry(entry),
        )

    async def start(self) -> None:
        """Start every instance."""
        for name in self._names:
            listed = heartbeat.encode_instance(self._listing(name))
            await self.store.compare_and_swap(
                heartbeat.INSTANCES_PREFIX + name, listed, 0
            )
        await self.accept(self.text)
        await asyncio.gather(*(self.boot(name) for name in self._names))
        await asyncio.sleep(4)

    async def boot(self, name: str) -> None:
        """Start one instance."""
        listing = self._listing(name)
        instance_settings = settings.Settings(
            name,
            listing.failure_domain,
            listing.entry_address,
            '',
            ('x',),
            peers=tuple(self._listing(n) for n in self._names[:3]),
        )
        loop = asyncio.get_running_loop()
        dependencies = instance.Dependencies(
            links=link.MemoryLinks(name, self.network),
            store=self.store,
            backends=self.backends,
            journal=self.disks.get(name),
            clock=loop.time,
        )
        self.instances[name] = instance.Instance(
            instance_settings, dependencies
        )
        await self.instances[name].start()

    async def accept(self, text: str) -> object:
        """Accept a declaration."""
        _, revision = await configuration.fetch_head(self.store)
        return await configuration.accept(
            self.store, text, revision, 'test', 'test', time.time()
        )

    def crash(self, name: str) -> None:
        """Crash an instance; its disk stays, its connections break."""
        crashed = self.instances.pop(name, None)
        if crashed is None:
            return
        self.network.links.pop(name, None)
        for links in self.network.links.values():
            links.on_connection_broken(name)
        task = asyncio.get_running_loop().create_task(crashed.close())
        crashed.close_task = task

    def isolate(self, name: str) -> None:
        """Cut the network of an instance, which goes on running."""
        for other in self._names:
            self.network.cuts |= {(name, other), (other, name)}
        self.network.cuts.discard((name, name))

    def heal(self) -> None:
        """Restore the network between all instances."""
        self.network.cuts.clear()

    def owner_of(self, shard: int) -> str:
        """Return the instance that serves a shard, or an empty string."""
        for name, running in self.instances.items():
            if any(s.number == shard for s in running.ownership.served_shards):
                return name
        return ''

    async def call(self, program_id, message, attempts=60):
        """Send a caller's message through any instance.

        Retries while the system is unavailable; returns the last reply.
        """
        for _ in range(attempts):
            name = self.random.choice(sorted(self.instances))
            try:
                return await self.call_through(name, program_id, message)
            except errors.LinkError:
                await asyncio.sleep(0.2)
            except errors.Refused as refused:
                if refused.code not in RETRIED_CODES:
                    raise
                await asyncio.sleep(0.5)
        raise TimeoutError(type(message).__name__)

    async def call_through(self, name, program_id, message):
        """Send a caller's message through one instance, until it crashes."""
        reading = asyncio.ensure_future(
            self._read(self.instances[name], program_id, message)
        )
        while True:
            done, _ = await asyncio.wait({reading}, timeout=0.2)
            if done:
                return reading.result()
            if name not in self.instances:
                reading.cancel()
                raise errors.LinkTimeout(name, 'entry crashed')

    async def _read(self, sender, program_id, message):
        text, reply = '', None
        async for reply in sender.forwarder.forward(program_id, message):
            if isinstance(reply, messages.AnswerDelta):
                text = text[: reply.offset] + reply.text
            elif isinstance(reply, messages.AnswerRestarted):
                text = ''
        if isinstance(reply, messages.AnswerFinal) and reply.outcome == 'ok':
            if text and text != reply.text:
                raise AssertionError(
                    f'deltas {text!r}, final answer {reply.text!r}'
                )
        return reply

    async def create(self, program_id, contract, budget_tokens=0):
        """Create a program."""
        message = messages.CreateProgram(
            program_id, 'c', contract, budget_tokens, 0.0
        )
        return await self.call(program_id, message)

    async def turn(self, program_id, request_id, text):
        """Run a turn."""
        message = messages.SubmitTurn(
            program_id, 'c', request_id, program.digest_of(text), text
        )
        return await self.call(program_id, message)

    async def request(self, service, request_id, text):
        """Send a request to a plain service."""
        message = messages.ServiceRequest(
            service, 'c', request_id, program.digest_of(service, text), text
        )
        program_id = owner.request_program_id(message)
        return await self.call(program_id, message)

    async def end(self, program_id):
        """End a program."""
        return await self.call(program_id, messages.EndProgram(program_id))

    async def view(self, program_id):
        """Read a program."""
        return await self.call(program_id, messages.FetchProgram(program_id))

    def _listing(self, name):
        index = self._names.index(name)
        return membership.Instance(
            name, f'domain-{index % 3}', f'{name}:entry', f'{name}:link'
        )


RETRIED_CODES = (
    'platform_unavailable',
    'owner_unreachable',
    'not_ready',
    'journal_unavailable',
)


def _call(row):
    function = row['function']
    return records.ToolCall(row['id'], function['name'], function['arguments'])
