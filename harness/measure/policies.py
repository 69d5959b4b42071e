"""Access to the policies under measurement: baselines and our own."""

import abc
import dataclasses
import itertools
import random

from balsamdale import dispatch
from balsamdale import messages
from balsamdale import quarantine
from balsamdale import server_choice

__all__ = ['Baseline', 'OwnScheduler', 'Refuse', 'Start']


@dataclasses.dataclass(frozen=True)
class Start:
    """A request is sent to an engine."""

    run: object
    engine: object


@dataclasses.dataclass(frozen=True)
class Refuse:
    """A request is refused."""

    run: object
    code: str
    retry_after_s: float


class Scheduler(abc.ABC):
    """Decides where and when requests run."""

    def __init__(self, engines, generator: random.Random):
        self.engines = {engine.name: engine for engine in engines}
        self.generator = generator

    @abc.abstractmethod
    def submit(self, run, now_s: float) -> list:
        """Take a request in."""

    @abc.abstractmethod
    def poll(self, now_s: float) -> list:
        """Return what may start."""

    def on_request_finished(self, run, engine, now_s: float) -> None:
        """Learn that a request is done."""

    def on_request_failed(self, run, engine, now_s: float) -> None:
        """Learn that an engine crashed with a request in flight."""

    def on_program_ended(self, program: str, now_s: float) -> None:
        """Learn that a program has ended."""

    def reachable_engines(self):
        """Return the engines that accept connections."""
        return [e for e in self.engines.values() if e.is_up]


class Baseline(Scheduler):
    """Engines' own queues behind a plain balancer.

    Args:
        engines: the engines.
        generator: source of random choices.
        kind: 'b0' round robin, 'b1' least load with session affinity, 'b2'
            the same with least attained service first.
        lag_s: age of the load reports that the balancer sees.
    """

    def __init__(self, engines, generator, kind: str, lag_s: float = 0.5):
        super().__init__(engines, generator)
        self.kind = kind
        self.lag_s = lag_s
        self.queues = {name: [] for name in self.engines}
        self.preferred_servers: dict[str, str] = {}
        self.turn = itertools.cycle(sorted(self.engines))
        self.reports = {name: 0 for name in self.engines}
        self.reported_at_s = -1e9

    def submit(self, run, now_s):
        name = self._place(run, now_s)
        self.queues[name].append(run)
        return []

    def poll(self, now_s):
        started = []
        for name, queue in self.queues.items():
            engine = self.engines[name]
            if not engine.is_up:
                continue
            if self.kind == 'b2' and engine.free_slots > 0:
                queue.sort(key=lambda run: run.attained_tokens)
            room = engine.free_slots
            started += [Start(run, engine) for run in queue[:room]]
            del queue[:room]
        return started

    def on_request_failed(self, run, engine, now_s):
        self.preferred_servers.pop(run.program, None)

    def _place(self, run, now_s):
        if self.kind == 'b0':
            return next(n for n in self.turn if self.engines[n].is_up)
        home = self.preferred_servers.get(run.program)
        if home is not None and self.engines[home].is_up:
            return home
        if now_s - self.reported_at_s >= self.lag_s:
            self.reported_at_s = now_s
            self.reports = {
                name: len(self.queues[name]) + len(engine.running)
                for name, engine in self.engines.items()
            }
        names = [engine.name for engine in self.reachable_engines()]
        self.generator.shuffle(names)
        chosen = min(names, key=lambda name: self.reports[name])
        self.preferred_servers[run.program] = chosen
        return chosen


class OwnScheduler(Scheduler):
    """The real dispatchers and the real routing.

    Args:
        engines: the engines.
        generator: source of random choices.
        policy: switches of the dispatchers.
        affinity: whether routing prefers the engine with the prefix.
    """

    def __init__(self, engines, generator, policy, affinity: bool = True):
        super().__init__(engines, generator)
        self.policy = policy
        self.affinity = affinity
        self.build_dispatcher = dispatch.Dispatcher
        self.queues: dict[str, dispatch.Dispatcher] = {}
        self.build_dispatchers()
        self.preferred_servers: dict[str, str] = {}
        self.runs: dict[str, object] = {}
        self.crashes = quarantine.Quarantine()
        self.next_id = itertools.count()
        self.decisions = 0
        self.renewed_at_s = 0.0

    def submit(self, run, now_s):
        if self.crashes.is_quarantined(run.program):
            return [Refuse(run, 'quarantined', 0.0)]
        queue = self._choose(run, now_s)
        if queue is None:
            return [Refuse(run, 'no_backend_server', 2.0)]
        run.grant_id = f'g{next(self.next_id)}'
        self.runs[run.grant_id] = run
        self.preferred_servers[run.program] = queue.server.name
        rejected = queue.enqueue(self._request(run, queue, now_s), now_s)
        return [self._refuse(effect) for effect in rejected]

    def poll(self, now_s):
        effects = []
        if now_s - self.renewed_at_s >= dispatch.GRANT_LEASE_S / 3:
            self._renew(now_s)
        for name, queue in self.queues.items():
            engine = self.engines[name]
            if not engine.is_up:
                continue
            for effect in queue.poll(now_s):
                self.decisions += 1
                if isinstance(effect, dispatch.Granted):
                    run = self.runs[effect.grant.grant_id]
                    effects.append(Start(run, engine))
                elif isinstance(effect, dispatch.Rejected):
                    effects.append(self._refuse(effect))
                elif effect.exports:
                    engine.export(effect.program_id, now_s)
                else:
                    engine.remove_prefix(effect.program_id, now_s)
        return effects

    def _renew(self, now_s):
        """Renew every grant, as owners do."""
        self.renewed_at_s = now_s
        for name, engine in self.engines.items():
            for run in engine.running.values():
                self.queues[name].renew(run.grant_id, now_s)

    def on_request_finished(self, run, engine, now_s):
        self.runs.pop(run.grant_id, None)
        tokens = run.call.prompt_tokens + run.call.answer_tokens
        self._done(run, engine, tokens, now_s)

    def on_request_failed(self, run, engine, now_s):
        self.runs.pop(run.grant_id, None)
        self.crashes.report(run.program, f'{engine.name}@{now_s}')
        self._done(run, engine, 0, now_s)

    def on_program_ended(self, program, now_s):
        home = self.preferred_servers.pop(program, None)
        for name, queue in self.queues.items():
            queue.end_program(program, now_s)
            if self.policy.release and (name == home or home is None):
                self.engines[name].remove_prefix(program, now_s)
        if self.policy.release:
            for engine in self.engines.values():
                engine.remove_prefix(program, now_s)

    def cancel_waiting(self, engine) -> list:
        """Return the requests queued before an engine that went down."""
        queue = self.queues[engine.name]
        waiting = [self.runs.pop(g) for g in queue.waiting_ids()]
        for run in waiting:
            queue.cancel(run.grant_id)
        self.queues[engine.name] = self.build_dispatcher(
            engine.server, self.policy, 0.0
        )
        return waiting

    def build_dispatchers(self) -> None:
        """Make a fresh queue for each engine."""
        self.queues = {
            name: self.build_dispatcher(engine.server, self.policy, 0.0)
            for name, engine in self.engines.items()
        }

    def _done(self, run, engine, tokens, now_s):
        done = messages.GrantDone(
            engine.name,
            run.program,
            run.grant_id,
            tokens,
            False,
            run.call.ends_turn,
        )
        self.queues[engine.name].finish_grant(done, now_s)

    def _choose(self, run, now_s):
        home = (
            self.preferred_servers.get(run.program, '')
            if self.affinity
            else ''
        )
        down = [e.name for e in self.engines.values() if not e.is_up]
        servers = [engine.server for engine in self.engines.values()]
        options = server_choice.candidates(servers, home, down, self.generator)
        ask = messages.QuoteRequest(
            '', run.program, run.call.prompt_tokens, run.expected_answer
        )
        quotes = [self.queues[s.name].estimate(ask, now_s) for s in options]
        at_home = next((q for q in quotes if q.server == home), None)
        if (
            at_home is not None
            and at_home.wait_s <= server_choice.PREFERRED_SERVER_BONUS_S
        ):
            return self.queues[home]
        best = server_choice.choose(quotes, home, self.generator)
        return None if best is None else self.queues[best.server]

    def _request(self, run, queue, now_s):
        return messages.GrantRequest(
            server=queue.server.name,
            program_id=run.program,
            grant_id=run.grant_id,
            priority=run.plan.priority,
            slack_s=run.slack_s(now_s),
            attained_tokens=run.attained_tokens,
            prompt_tokens=run.call.prompt_tokens,
            answer_tokens=run.expected_answer,
            wait_s=1e9,
            suspect=self.crashes.is_suspected(run.program),
        )

    def _refuse(self, rejected):
        run = self.runs.pop(rejected.grant_id)
        return Refuse(run, rejected.code, rejected.retry_after_s)
