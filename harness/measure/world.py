"""Simulates one cell of the measurement on virtual time."""

import dataclasses
import heapq
import itertools
import random
import statistics

from harness.measure import engine as engines
from harness.measure import policies
from harness.measure import workload

__all__ = ['Cell', 'Result', 'run_cell']

POLL_INTERVAL_S = 1.0
EXPECTED_ANSWER_TOKENS = 250
MAX_RETRIES = 3
END_TO_HORIZON_RATIO = 4.0
POISON_RETRY_S = 20.0
MAX_POISON_ATTEMPTS = 20
FAULT_START_FRACTION = 0.35
FAULT_DURATION_FRACTION = 0.15
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
    """The workload, policy, load and fault of one simulation.

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
    """The figures of a cell; latencies exclude the callers' own pauses."""

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
    """A program and its progress through its calls."""

    plan: workload.Plan
    program: str
    arrived_at_s: float
    turn_at_s: float
    index: int = 0
    attained_tokens: int = 0
    seen_tokens: int = 0
    latency_s: float = 0.0
    retries: int = 0
    attempt: int = 0
    grant_id: str = ''
    expected_answer: int = EXPECTED_ANSWER_TOKENS

    @property
    def call(self) -> workload.Call:
        """The current or next call."""
        return self.plan.calls[self.index]

    def slack_s(self, now_s: float) -> float:
        """Return the time to the deadline; negative for none."""
        if not self.plan.deadline_s:
            return -1.0
        return max(0.0, self.turn_at_s + self.plan.deadline_s - now_s)


class Simulation:
    """Simulates engines and programs under one policy.

    Args:
        cell: what is measured.
        simulated_workload: the programs and engines.
        build_policy: builds the scheduler from engines, a generator and the
            cell.
    """

    def __init__(
        self, cell: Cell, simulated_workload: workload.Workload, build_policy
    ):
        self.cell = cell
        self.workload = simulated_workload
        self.random = random.Random(f'{cell.workload}{cell.seed}')
        self.engines = [
            engines.FakeEngine(server) for server in simulated_workload.servers
        ]
        policy_random = random.Random(cell.seed)
        self.scheduler = build_policy(self.engines, policy_random, cell)
        self.events: list = []
        self.event_numbers = itertools.count()
        self.now_s = 0.0
        self.finished_runs: list[Run] = []
        self.runs_by_program: dict[str, Run] = {}
        self.refused = self.retried = 0
        self.prompt_tokens = self.wasted_tokens = 0
        self.good_tokens = 0
        self.deadlines_met = self.turns_with_deadline = 0
        self.poison_program = ''
        self.poison_attempts = 0

    def run(self) -> Result:
        """Run to the end and return the figures."""
        self._plan_arrivals()
        self._plan_fault()
        self._schedule(POLL_INTERVAL_S, self._poll_periodically)
        end_s = self.workload.horizon_s * END_TO_HORIZON_RATIO
        while self.events and self.events[0][0] < end_s:
            self.now_s, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
            if (
                action != self._poll_periodically
                and not self.runs_by_program
                and self.finished_runs
            ):
                if self.now_s > self.workload.horizon_s:
                    break
        return self._build_result()

    def _schedule(self, when_s, action, *arguments):
        heapq.heappush(
            self.events, (when_s, next(self.event_numbers), action, arguments)
        )

    def _plan_arrivals(self):
        """Schedule arrivals at the rate that gives the cell's load.

        The retry storm triples the rate.
        """
        sample_random = random.Random(0)
        server = self.workload.servers[0]
        service_times_s = [
            self.workload.build(sample_random, '').service_s(server)
            for _ in range(400)
        ]
        slots = sum(server.slots for server in self.workload.servers)
        rate = self.cell.load * slots / statistics.mean(service_times_s)
        now_s, program_number = 0.0, 0
        while True:
            is_retry_storm = self.cell.fault == 'retry_storm'
            rate_factor = (
                3.0 if is_retry_storm and self._in_fault(now_s) else 1.0
            )
            now_s += self.random.expovariate(rate * rate_factor)
            if now_s > self.workload.horizon_s:
                return
            plan = self.workload.build(
                self.random, f'program-{program_number}'
            )
            program_number += 1
            self._schedule(now_s, self._add_program, plan)

    def _in_fault(self, now_s):
        start_s = FAULT_START_FRACTION * self.workload.horizon_s
        return (
            start_s
            <= now_s
            < start_s + FAULT_DURATION_FRACTION * self.workload.horizon_s
        )

    def _plan_fault(self):
        start_s = FAULT_START_FRACTION * self.workload.horizon_s
        duration_s = FAULT_DURATION_FRACTION * self.workload.horizon_s
        if self.cell.fault == 'engine_crash':
            self._schedule(start_s, self._crash, self.engines[0])
            self._schedule(
                start_s + duration_s, self._restore, self.engines[0]
            )
        if self.cell.fault == 'domain_lost':
            lost_engines = [
                engine
                for engine in self.engines
                if engine.server.failure_domain[-1] == '0'
            ]
            for index, engine in enumerate(lost_engines):
                self._schedule(start_s, self._crash, engine)
                restored_at_s = start_s + duration_s * (1 + index * 0.5)
                self._schedule(restored_at_s, self._restore, engine)
        if self.cell.fault == 'event_gaps':
            for step in range(60):
                when_s = self.workload.horizon_s * step / 60
                self._schedule(when_s, self._evict_without_event)
        if self.cell.fault == 'poison':
            self._schedule(start_s, self._choose_poison_program)

    def _poll_periodically(self):
        self._poll()
        self._schedule(self.now_s + POLL_INTERVAL_S, self._poll_periodically)

    def _add_program(self, plan):
        run = Run(plan, plan.name, self.now_s, self.now_s)
        self.runs_by_program[plan.name] = run
        self._submit(run)

    def _submit(self, run):
        if run.program not in self.runs_by_program:
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
        cached_tokens, duration_s = engine.begin(run)
        call = run.call
        self.prompt_tokens += call.prompt_tokens
        seen_tokens = min(run.seen_tokens, call.prompt_tokens)
        self.wasted_tokens += max(0, seen_tokens - cached_tokens)
        run.attempt += 1
        if run.program == self.poison_program:
            self._schedule(self.now_s + 0.5, self._crash_by_poison, engine)
            return
        self._schedule(
            self.now_s + duration_s, self._finish, run, engine, run.attempt
        )

    def _finish(self, run, engine, attempt):
        if run.attempt != attempt or id(run) not in engine.running:
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
            self._end_program(run)
        else:
            self._schedule(
                self.now_s + self._pause_s(wait_s), self._submit_next_call, run
            )
        self._poll()

    def _pause_s(self, wait_s):
        tools_hang = self.cell.fault == 'tools_hang' and self._in_fault(
            self.now_s
        )
        return wait_s * 10 if tools_hang else wait_s

    def _submit_next_call(self, run):
        if run.plan.calls[run.index - 1].ends_turn:
            run.turn_at_s = self.now_s
        self._submit(run)

    def _end_turn(self, run):
        took_s = self.now_s - run.turn_at_s
        run.latency_s += took_s
        is_met = True
        if run.plan.deadline_s:
            is_met = took_s <= run.plan.deadline_s
            self.turns_with_deadline += 1
            self.deadlines_met += is_met
        horizon_s = self.workload.horizon_s
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

    def _end_program(self, run):
        del self.runs_by_program[run.program]
        self.finished_runs.append(run)
        for engine in self.engines:
            engine.mark_ended(run.program, self.now_s)
        self.scheduler.on_program_ended(run.program, self.now_s)

    def _refuse(self, refusal):
        run = refusal.run
        self.refused += 1
        if refusal.code != 'quarantined' and run.retries < MAX_RETRIES:
            run.retries += 1
            self.retried += 1
            wait_s = max(0.1, refusal.retry_after_s)
            self._schedule(self.now_s + wait_s, self._submit, run)
            return
        del self.runs_by_program[run.program]
        if run.plan.deadline_s:
            self.turns_with_deadline += 1
        self.scheduler.on_program_ended(run.program, self.now_s)

    def _crash(self, engine):
        lost_runs = engine.crash(self.now_s)
        for run in lost_runs:
            run.attempt += 1
            self.scheduler.on_request_failed(run, engine, self.now_s)
        queued_runs = []
        if isinstance(self.scheduler, policies.OwnScheduler):
            queued_runs = self.scheduler.cancel_waiting(engine)
        else:
            queued_runs = self.scheduler.queues[engine.name][:]
            self.scheduler.queues[engine.name].clear()
            for run in queued_runs:
                self.scheduler.on_request_failed(run, engine, self.now_s)
        for run in lost_runs + queued_runs:
            self.retried += 1
            wait_s = 0.2
            if run.program == self.poison_program:
                wait_s = POISON_RETRY_S
                self.poison_attempts += 1
                if self.poison_attempts > MAX_POISON_ATTEMPTS:
                    self.runs_by_program.pop(run.program, None)
            self._schedule(self.now_s + wait_s, self._submit, run)

    def _restore(self, engine):
        engine.is_up = True
        self._poll()

    def _crash_by_poison(self, engine):
        if engine.is_up:
            self._crash(engine)
            self._schedule(self.now_s + 20.0, self._restore, engine)

    def _choose_poison_program(self):
        idle_programs = [
            program
            for program in self.runs_by_program
            if not any(
                run.program == program
                for engine in self.engines
                for run in engine.running.values()
            )
        ]
        self.poison_program = min(
            idle_programs or self.runs_by_program, default=''
        )

    def _evict_without_event(self):
        """Evict a random prefix of each engine without an event."""
        for engine in self.engines:
            if engine.cached_prefixes:
                program = self.random.choice(list(engine.cached_prefixes))
                engine.remove_prefix(program, self.now_s)

    def _build_result(self):
        latencies = sorted(run.latency_s for run in self.finished_runs)
        unfinished = len(self.runs_by_program)
        latencies += [self.now_s] * unfinished
        turns_with_deadline = self.turns_with_deadline + sum(
            1 for run in self.runs_by_program.values() if run.plan.deadline_s
        )
        window_s = 0.8 * self.workload.horizon_s
        for engine in self.engines:
            for program in list(engine.cached_prefixes):
                engine.remove_prefix(program, self.now_s)
        return Result(
            cell=self.cell,
            p50_s=_quantile(latencies, 0.5),
            p95_s=_quantile(latencies, 0.95),
            p99_s=_quantile(latencies, 0.99),
            deadlines_met=self.deadlines_met / max(1, turns_with_deadline),
            wasted=self.wasted_tokens / max(1, self.prompt_tokens),
            orphan_token_s=sum(
                engine.orphan_token_s for engine in self.engines
            ),
            goodput_tokens_per_s=self.good_tokens / window_s,
            refused=self.refused,
            retried=self.retried,
            unfinished=unfinished,
            fairness=self._fairness_index(),
        )

    def _fairness_index(self):
        """Return Jain's fairness index of the callers' mean stretch.

        Stretch is a program's latency divided by its service time.
        """
        server = self.workload.servers[0]
        stretches_by_caller = {}
        for run in self.finished_runs:
            stretch = run.latency_s / max(0.1, run.plan.service_s(server))
            stretches_by_caller.setdefault(run.plan.caller, []).append(stretch)
        mean_stretches = [
            statistics.mean(stretches)
            for stretches in stretches_by_caller.values()
        ]
        if not mean_stretches:
            return 0.0
        squares = sum(mean * mean for mean in mean_stretches)
        return sum(mean_stretches) ** 2 / (len(mean_stretches) * squares)


def _quantile(values, fraction):
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(len(values) * fraction))]


def run_cell(cell: Cell, build_policy) -> Result:
    """Run one cell.

    Args:
        cell: what is measured.
        build_policy: builds the scheduler from engines, a generator and the
            cell.
    """
    workloads = {
        'pollenwacht': workload.pollenwacht,
        'tenaga': workload.tenaga,
    }
    return Simulation(cell, workloads[cell.workload](), build_policy).run()
