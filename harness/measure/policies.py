"""The scheduling policies under measurement: baselines and balsamdale's."""

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
        """Accept a request; return refusals."""

    @abc.abstractmethod
    def poll(self, now_s: float) -> list:
        """Return the requests to start or to refuse."""

    def on_request_finished(self, run, engine, now_s: float) -> None:
        """Record that a request has finished."""

    def on_request_failed(self, run, engine, now_s: float) -> None:
        """Record that an engine crashed with a request queued or running."""

    def on_program_ended(self, program: str, now_s: float) -> None:
        """Record that a program has ended."""

    def reachable_engines(self):
        """Return the engines that accept connections."""
        return [e for e in self.engines.values() if e.is_up]


class Baseline(Scheduler):
    """A plain load balancer in front of the engines' own queues.

    Args:
        engines: the engines.
        generator: source of random choices.
        kind: 'b0' round robin, 'b1' least load with session affinity, 'b2'
            like 'b1' with least attained service first.
        report_interval_s: time between the load reports to the balancer.
    """

    def __init__(
        self, engines, generator, kind: str, report_interval_s: float = 0.5
    ):
        super().__init__(engines, generator)
        self.kind = kind
        self.report_interval_s = report_interval_s
        self.queues = {name: [] for name in self.engines}
        self.preferred_servers: dict[str, str] = {}
        self.round_robin_names = itertools.cycle(sorted(self.engines))
        self.reported_loads = {name: 0 for name in self.engines}
        self.reported_at_s = -1e9

    def submit(self, run, now_s):
        name = self._choose_engine_name(run, now_s)
        self.queues[name].append(run)
        return []

    def poll(self, now_s):
        starts = []
        for name, queue in self.queues.items():
            engine = self.engines[name]
            if not engine.is_up:
                continue
            if self.kind == 'b2' and engine.free_slots > 0:
                queue.sort(key=lambda run: run.attained_tokens)
            free_slots = engine.free_slots
            starts += [Start(run, engine) for run in queue[:free_slots]]
            del queue[:free_slots]
        return starts

    def on_request_failed(self, run, engine, now_s):
        self.preferred_servers.pop(run.program, None)

    def _choose_engine_name(self, run, now_s):
        if self.kind == 'b0':
            return next(
                name
                for name in self.round_robin_names
                if self.engines[name].is_up
            )
        preferred_server = self.preferred_servers.get(run.program)
        if (
            preferred_server is not None
            and self.engines[preferred_server].is_up
        ):
            return preferred_server
        if now_s - self.reported_at_s >= self.report_interval_s:
            self.reported_at_s = now_s
            self.reported_loads = {
                name: len(self.queues[name]) + len(engine.running)
                for name, engine in self.engines.items()
            }
        names = [engine.name for engine in self.reachable_engines()]
        self.generator.shuffle(names)
        chosen_name = min(names, key=lambda name: self.reported_loads[name])
        self.preferred_servers[run.program] = chosen_name
        return chosen_name


class OwnScheduler(Scheduler):
    """Balsamdale's dispatchers and its choice of a server.

    Args:
        engines: the engines.
        generator: source of random choices.
        policy: switches of the dispatchers.
        affinity: whether to prefer the engine that holds the prefix.
    """

    def __init__(self, engines, generator, policy, affinity: bool = True):
        super().__init__(engines, generator)
        self.policy = policy
        self.affinity = affinity
        self.build_dispatcher = dispatch.Dispatcher
        self.dispatchers: dict[str, dispatch.Dispatcher] = {}
        self.build_dispatchers()
        self.preferred_servers: dict[str, str] = {}
        self.runs_by_grant_id: dict[str, object] = {}
        self.quarantine = quarantine.Quarantine()
        self.grant_numbers = itertools.count()
        self.decisions = 0
        self.grants_renewed_at_s = 0.0

    def submit(self, run, now_s):
        if self.quarantine.is_quarantined(run.program, now_s):
            return [Refuse(run, 'quarantined', 0.0)]
        dispatcher = self._choose_dispatcher(run, now_s)
        if dispatcher is None:
            return [Refuse(run, 'no_backend_server', 2.0)]
        run.grant_id = f'g{next(self.grant_numbers)}'
        self.runs_by_grant_id[run.grant_id] = run
        self.preferred_servers[run.program] = dispatcher.server.name
        rejected = dispatcher.enqueue(
            self._build_grant_request(run, dispatcher, now_s), now_s
        )
        return [self._build_refusal(effect) for effect in rejected]

    def poll(self, now_s):
        effects = []
        if now_s - self.grants_renewed_at_s >= dispatch.GRANT_LEASE_S / 3:
            self._renew_grants(now_s)
        for name, dispatcher in self.dispatchers.items():
            engine = self.engines[name]
            if not engine.is_up:
                continue
            for effect in dispatcher.poll(now_s):
                self.decisions += 1
                if isinstance(effect, dispatch.Granted):
                    run = self.runs_by_grant_id[effect.grant.grant_id]
                    effects.append(Start(run, engine))
                elif isinstance(effect, dispatch.Rejected):
                    effects.append(self._build_refusal(effect))
                elif effect.exports:
                    engine.export(effect.program_id, now_s)
                else:
                    engine.remove_prefix(effect.program_id, now_s)
        return effects

    def _renew_grants(self, now_s):
        """Renew every grant, as owners do."""
        self.grants_renewed_at_s = now_s
        for name, engine in self.engines.items():
            for run in engine.running.values():
                self.dispatchers[name].renew(run.grant_id, now_s)

    def on_request_finished(self, run, engine, now_s):
        self.runs_by_grant_id.pop(run.grant_id, None)
        tokens = run.call.prompt_tokens + run.call.answer_tokens
        self._finish_grant(run, engine, tokens, now_s)

    def on_request_failed(self, run, engine, now_s):
        self.runs_by_grant_id.pop(run.grant_id, None)
        self.quarantine.report(run.program, f'{engine.name}@{now_s}', now_s)
        self._finish_grant(run, engine, 0, now_s)

    def on_program_ended(self, program, now_s):
        preferred_server = self.preferred_servers.pop(program, None)
        for name, dispatcher in self.dispatchers.items():
            dispatcher.end_program(program, now_s)
            if self.policy.release and (
                name == preferred_server or preferred_server is None
            ):
                self.engines[name].remove_prefix(program, now_s)
        if self.policy.release:
            for engine in self.engines.values():
                engine.remove_prefix(program, now_s)

    def cancel_waiting(self, engine) -> list:
        """Empty the queue of an engine that crashed; return its requests."""
        dispatcher = self.dispatchers[engine.name]
        waiting_runs = [
            self.runs_by_grant_id.pop(grant_id)
            for grant_id in dispatcher.waiting_ids()
        ]
        for run in waiting_runs:
            dispatcher.cancel(run.grant_id)
        self.dispatchers[engine.name] = self.build_dispatcher(
            engine.server, self.policy, 0.0
        )
        return waiting_runs

    def build_dispatchers(self) -> None:
        """Build an empty dispatcher for each engine."""
        self.dispatchers = {
            name: self.build_dispatcher(engine.server, self.policy, 0.0)
            for name, engine in self.engines.items()
        }

    def _finish_grant(self, run, engine, tokens, now_s):
        grant_done = messages.GrantDone(
            engine.name,
            run.program,
            run.grant_id,
            tokens,
            False,
            run.call.ends_turn,
        )
        self.dispatchers[engine.name].finish_grant(grant_done, now_s)

    def _choose_dispatcher(self, run, now_s):
        preferred_server = (
            self.preferred_servers.get(run.program, '')
            if self.affinity
            else ''
        )
        down_names = [
            engine.name for engine in self.engines.values() if not engine.is_up
        ]
        servers = [engine.server for engine in self.engines.values()]
        candidate_servers = server_choice.candidates(
            servers, preferred_server, down_names, self.generator
        )
        quote_request = messages.QuoteRequest(
            '', run.program, run.call.prompt_tokens, run.expected_answer
        )
        estimates = [
            self.dispatchers[server.name].estimate(quote_request, now_s)
            for server in candidate_servers
        ]
        preferred_estimate = next(
            (
                estimate
                for estimate in estimates
                if estimate.server == preferred_server
            ),
            None,
        )
        if (
            preferred_estimate is not None
            and preferred_estimate.wait_s
            <= server_choice.PREFERRED_SERVER_BONUS_S
        ):
            return self.dispatchers[preferred_server]
        best_estimate = server_choice.choose(
            estimates, preferred_server, self.generator
        )
        return (
            None
            if best_estimate is None
            else self.dispatchers[best_estimate.server]
        )

    def _build_grant_request(self, run, dispatcher, now_s):
        return messages.GrantRequest(
            server=dispatcher.server.name,
            program_id=run.program,
            grant_id=run.grant_id,
            priority=run.plan.priority,
            slack_s=run.slack_s(now_s),
            attained_tokens=run.attained_tokens,
            prompt_tokens=run.call.prompt_tokens,
            answer_tokens=run.expected_answer,
            wait_s=1e9,
            suspect=self.quarantine.is_suspected(run.program, now_s),
        )

    def _build_refusal(self, rejected):
        run = self.runs_by_grant_id.pop(rejected.grant_id)
        return Refuse(run, rejected.code, rejected.retry_after_s)
