"""Runs one cell of the measurement in virtual time."""

import dataclasses
import heapq
import itertools
import random
import statistics

from harness.measure import engine as engines
from harness.measure import policies
from harness.measure import workload

__all__ = ['Cell', 'Result', 'run_cell']

TICK_S = 1.0
EXPECTED_ANSWER_TOKENS = 250
RETRIES = 3
DRAIN_FACTOR = 4.0
POISON_RETRY_S = 20.0
POISON_TRIES = 20
FAULT_AT = 0.35
FAULT_FOR = 0.15
FAULTS = (
    'engine_crash',
    'domain_lost',
    'tools_hang',
    'load_lag',
    'event_gaps',
    'poison',
    'retry_storm',
)


@dataclasses.dataclass(frozen=True)
class Cell:
    """What is measured.

    Attributes:
        workload: 'pollenwacht' or 'tenaga'.
        policy: name of the policy.
        load: share of the capacity with a perfect cache.
        fault: 'clean' or one of `FAULTS`.
        seed: seed of the arrivals and choices.
    """

    workload: str
    policy: str
    load: float
    fault: str
    seed: int


@dataclasses.dataclass(frozen=True)
class Result:
    """What a cell gave; latencies leave out the callers' own pauses."""

    cell: Cell
    p50_s: float
    p95_s: float
    p99_s: float
    deadlines_met: float
    wasted: float
    orphan_token_s: float
    goodput_tokens_per_s: float
    refused: int
    retried: int
    unfinished: int
    fairness: float


@dataclasses.dataclass
class Run:
    """A program's current request."""

    plan: workload.Plan
    program: str
    arrived_at_s: float
    turn_at_s: float
    index: int = 0
    attained_tokens: int = 0
    seen_tokens: int = 0
    latency_s: float = 0.0
    retries: int = 0
    serial: int = 0
    grant_id: str = ''
    expected_answer: int = EXPECTED_ANSWER_TOKENS

    @property
    def call(self) -> workload.Call:
        """The request that is due."""
        return self.plan.calls[self.index]

    def slack_s(self, now_s: float) -> float:
        """Return the time to the deadline; negative for none."""
        if not self.plan.deadline_s:
            return -1.0
        return max(0.0, self.turn_at_s + self.plan.deadline_s - now_s)


class Simulation:
    """Engines, programs and one policy.

    Args:
        cell: what is measured.
        mix: the workload.
        make: builds the policy from engines and a generator.
    """

    def __init__(self, cell: Cell, mix: workload.Workload, make):
        self.cell = cell
        self.mix = mix
        self.random = random.Random(f'{cell.workload}{cell.seed}')
        self.engines = [engines.FakeEngine(s) for s in mix.servers]
        choices = random.Random(cell.seed)
        self.scheduler = make(self.engines, choices, cell)
        self.events: list = []
        self.order = itertools.count()
        self.now_s = 0.0
        self.done: list[Run] = []
        self.alive: dict[str, Run] = {}
        self.refused = self.retried = 0
        self.prompt_tokens = self.wasted_tokens = 0
        self.good_tokens = 0
        self.met = self.due = 0
        self.poison = ''
        self.poison_tries = 0

    def run(self) -> Result:
        """Run to the end and return the figures."""
        self._plan_arrivals()
        self._plan_fault()
        self._at(TICK_S, self._tick)
        end_s = self.mix.horizon_s * DRAIN_FACTOR
        while self.events and self.events[0][0] < end_s:
            self.now_s, _, action, args = heapq.heappop(self.events)
            action(*args)
            if action != self._tick and not self.alive and self.done:
                if self.now_s > self.mix.horizon_s:
                    break
        return self._result()

    def _at(self, when_s, action, *args):
        heapq.heappush(self.events, (when_s, next(self.order), action, args))

    def _plan_arrivals(self):
        """Draw programs at the rate that makes the load."""
        sample = random.Random(0)
        server = self.mix.servers[0]
        means = [
            self.mix.build(sample, '').service_s(server) for _ in range(400)
        ]
        slots = sum(s.slots for s in self.mix.servers)
        rate = self.cell.load * slots / statistics.mean(means)
        now_s, number = 0.0, 0
        while True:
            storm = self.cell.fault == 'retry_storm'
            burst = 3.0 if storm and self._in_fault(now_s) else 1.0
            now_s += self.random.expovariate(rate * burst)
            if now_s > self.mix.horizon_s:
                return
            plan = self.mix.build(self.random, f'program-{number}')
            number += 1
            self._at(now_s, self._arrive, plan)

    def _in_fault(self, now_s):
        start_s = FAULT_AT * self.mix.horizon_s
        return start_s <= now_s < start_s + FAULT_FOR * self.mix.horizon_s

    def _plan_fault(self):
        start_s = FAULT_AT * self.mix.horizon_s
        length_s = FAULT_FOR * self.mix.horizon_s
        if self.cell.fault == 'engine_crash':
            self._at(start_s, self._crash, self.engines[0])
            self._at(start_s + length_s, self._restore, self.engines[0])
        if self.cell.fault == 'domain_lost':
            lost = [
                e for e in self.engines if e.server.failure_domain[-1] == '0'
            ]
            for index, engine in enumerate(lost):
                self._at(start_s, self._crash, engine)
                back_s = start_s + length_s * (1 + index * 0.5)
                self._at(back_s, self._restore, engine)
        if self.cell.fault == 'event_gaps':
            for step in range(60):
                when_s = self.mix.horizon_s * step / 60
                self._at(when_s, self._lose_prefix)
        if self.cell.fault == 'poison':
            self._at(start_s, self._pick_poison)

    def _tick(self):
        self._poll()
        self._at(self.now_s + TICK_S, self._tick)

    def _arrive(self, plan):
        run = Run(plan, plan.name, self.now_s, self.now_s)
        self.alive[plan.name] = run
        self._submit(run)

    def _submit(self, run):
        if run.program not in self.alive:
            return
        self._perform(self.scheduler.submit(run, self.now_s))
        self._poll()

    def _poll(self):
        self._perform(self.scheduler.poll(self.now_s))

    def _perform(self, effects):
        for effect in effects:
            if isinstance(effect, policies.Start):
                self._start(effect.run, effect.engine)
            else:
                self._refuse(effect)

    def _start(self, run, engine):
        cached, duration_s = engine.begin(run)
        call = run.call
        self.prompt_tokens += call.prompt_tokens
        known = min(run.seen_tokens, call.prompt_tokens)
        self.wasted_tokens += max(0, known - cached)
        run.serial += 1
        if run.program == self.poison:
            self._at(self.now_s + 0.5, self._poisoned, engine)
            return
        self._at(
            self.now_s + duration_s, self._finish, run, engine, run.serial
        )

    def _finish(self, run, engine, serial):
        if run.serial != serial or id(run) not in engine.running:
            return
        call = run.call
        engine.end(run, self.now_s)
        run.seen_tokens = call.prompt_tokens + call.answer_tokens
        run.attained_tokens += call.prompt_tokens + call.answer_tokens
        self.scheduler.on_request_finished(run, engine, self.now_s)
        wait_s = call.pause_s
        if call.ends_turn:
            self._end_turn(run)
            wait_s = call.think_s
        run.index += 1
        if run.index == len(run.plan.calls):
            self._end(run)
        else:
            self._at(self.now_s + self._pause_s(wait_s), self._next, run)
        self._poll()

    def _pause_s(self, wait_s):
        hangs = self.cell.fault == 'tools_hang' and self._in_fault(self.now_s)
        return wait_s * 10 if hangs else wait_s

    def _next(self, run):
        if run.plan.calls[run.index - 1].ends_turn:
            run.turn_at_s = self.now_s
        self._submit(run)

    def _end_turn(self, run):
        took_s = self.now_s - run.turn_at_s
        run.latency_s += took_s
        is_met = True
        if run.plan.deadline_s:
            is_met = took_s <= run.plan.deadline_s
            self.due += 1
            self.met += is_met
        horizon_s = self.mix.horizon_s
        if is_met and 0.2 * horizon_s <= self.now_s <= horizon_s:
            self.good_tokens += self._turn_tokens(run)

    def _turn_tokens(self, run):
        """Count the answers of the turn that has just ended."""
        tokens = run.call.answer_tokens
        index = run.index - 1
        while index >= 0 and not run.plan.calls[index].ends_turn:
            tokens += run.plan.calls[index].answer_tokens
            index -= 1
        return tokens

    def _end(self, run):
        del self.alive[run.program]
        self.done.append(run)
        for engine in self.engines:
            engine.mark_ended(run.program, self.now_s)
        self.scheduler.on_program_ended(run.program, self.now_s)

    def _refuse(self, refusal):
        run = refusal.run
        self.refused += 1
        if refusal.code != 'quarantined' and run.retries < RETRIES:
            run.retries += 1
            self.retried += 1
            wait_s = max(0.1, refusal.retry_after_s)
            self._at(self.now_s + wait_s, self._submit, run)
            return
        del self.alive[run.program]
        if run.plan.deadline_s:
            self.due += 1
        self.scheduler.on_program_ended(run.program, self.now_s)

    def _crash(self, engine):
        lost = engine.crash(self.now_s)
        for run in lost:
            run.serial += 1
            self.scheduler.on_request_failed(run, engine, self.now_s)
        queue = []
        if isinstance(self.scheduler, policies.OwnScheduler):
            queue = self.scheduler.cancel_waiting(engine)
        else:
            queue = self.scheduler.queues[engine.name][:]
            self.scheduler.queues[engine.name].clear()
            for run in queue:
                self.scheduler.on_request_failed(run, engine, self.now_s)
        for run in lost + queue:
            self.retried += 1
            wait_s = 0.2
            if run.program == self.poison:
                wait_s = POISON_RETRY_S
                self.poison_tries += 1
                if self.poison_tries > POISON_TRIES:
                    self.alive.pop(run.program, None)
            self._at(self.now_s + wait_s, self._submit, run)

    def _restore(self, engine):
        engine.is_up = True
        self._poll()

    def _poisoned(self, engine):
        if engine.is_up:
            self._crash(engine)
            self._at(self.now_s + 20.0, self._restore, engine)

    def _pick_poison(self):
        idle = [
            name
            for name in self.alive
            if not any(
                r.program == name
                for e in self.engines
                for r in e.running.values()
            )
        ]
        self.poison = min(idle or self.alive, default='')

    def _lose_prefix(self):
        """Let an engine evict without an event that arrives."""
        for engine in self.engines:
            if engine.cache:
                name = self.random.choice(list(engine.cache))
                engine.remove_prefix(name, self.now_s)

    def _result(self):
        latencies = sorted(run.latency_s for run in self.done)
        unfinished = len(self.alive)
        latencies += [self.now_s] * unfinished
        due = self.due + sum(
            1 for run in self.alive.values() if run.plan.deadline_s
        )
        window_s = 0.8 * self.mix.horizon_s
        for engine in self.engines:
            for name in list(engine.cache):
                engine.remove_prefix(name, self.now_s)
        return Result(
            cell=self.cell,
            p50_s=_quantile(latencies, 0.5),
            p95_s=_quantile(latencies, 0.95),
            p99_s=_quantile(latencies, 0.99),
            deadlines_met=self.met / max(1, due),
            wasted=self.wasted_tokens / max(1, self.prompt_tokens),
            orphan_token_s=sum(e.orphan_token_s for e in self.engines),
            goodput_tokens_per_s=self.good_tokens / window_s,
            refused=self.refused,
            retried=self.retried,
            unfinished=unfinished,
            fairness=self._fairness(),
        )

    def _fairness(self):
        """Return Jain's index of the callers' mean stretch."""
        server = self.mix.servers[0]
        by_caller = {}
        for run in self.done:
            stretch = run.latency_s / max(0.1, run.plan.service_s(server))
            by_caller.setdefault(run.plan.caller, []).append(stretch)
        means = [statistics.mean(rows) for rows in by_caller.values()]
        if not means:
            return 0.0
        squares = sum(value * value for value in means)
        return sum(means) ** 2 / (len(means) * squares)


def _quantile(values, share):
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(len(values) * share))]


def run_cell(cell: Cell, make) -> Result:
    """Run one cell.

    Args:
        cell: what is measured.
        make: builds the policy from engines, a generator and the cell.
    """
    mixes = {'pollenwacht': workload.pollenwacht, 'tenaga': workload.tenaga}
    return Simulation(cell, mixes[cell.workload](), make).run()
