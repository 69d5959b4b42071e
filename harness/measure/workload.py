"""Builds the random workloads of the measurement."""

import dataclasses
import random

from balsamdale import declaration

__all__ = ['Call', 'Plan', 'Workload', 'pollenwacht', 'tenaga']


@dataclasses.dataclass(frozen=True)
class Call:
    """One model call of a program.

    Attributes:
        prompt_tokens: tokens of the whole prompt.
        answer_tokens: tokens of the answer.
        pause_s: tool pause before the next call.
        ends_turn: whether the answer goes to the caller.
        think_s: time until the caller's next turn.
    """

    prompt_tokens: int
    answer_tokens: int
    pause_s: float
    ends_turn: bool
    think_s: float


@dataclasses.dataclass(frozen=True)
class Plan:
    """All future calls of a program; the scheduler does not see them."""

    name: str
    caller: str
    kind: str
    priority: str
    deadline_s: float
    calls: tuple[Call, ...]

    def service_s(self, server: declaration.BackendServer) -> float:
        """Return the time in a slot if every seen prefix is cached."""
        cached_tokens, total = 0, 0.0
        for call in self.calls:
            uncached_tokens = max(0, call.prompt_tokens - cached_tokens)
            total += uncached_tokens / server.prefill_tokens_per_s
            total += call.answer_tokens / server.decode_tokens_per_s
            cached_tokens = call.prompt_tokens + call.answer_tokens
        return total


@dataclasses.dataclass(frozen=True)
class Workload:
    """A mix of programs and the engines that serve it."""

    name: str
    servers: tuple[declaration.BackendServer, ...]
    horizon_s: float
    build: object


def _build_servers(count, slots, cache_tokens, prefill_tokens_per_s):
    return tuple(
        declaration.BackendServer(
            name=f'engine-{index}',
            service='model',
            address='127.0.0.1:1',
            failure_domain=f'domain-{index % 3}',
            slots=slots,
            cache_tokens=cache_tokens,
            prefill_tokens_per_s=prefill_tokens_per_s,
            decode_tokens_per_s=60.0,
            import_tokens_per_s=10 * prefill_tokens_per_s,
            export_tokens=4 * cache_tokens,
        )
        for index in range(count)
    )


def _generate_calls(
    generator,
    turn_count,
    start_range,
    growth_range,
    answer_range,
    step_range,
    pause_range_s,
    mean_think_s,
):
    """Yield the calls of a conversation with growing context.

    Each pair of numbers is the range that a random value is drawn from.
    """
    context_tokens = generator.randint(*start_range)
    for turn in range(turn_count):
        step_count = generator.randint(*step_range)
        for step in range(step_count):
            answer_tokens = generator.randint(*answer_range)
            is_last = step == step_count - 1
            yield Call(
                context_tokens,
                answer_tokens,
                0.0 if is_last else generator.uniform(*pause_range_s),
                is_last,
                generator.expovariate(1 / mean_think_s) if is_last else 0.0,
            )
            context_tokens += answer_tokens + generator.randint(*growth_range)


def _plan_briefing(generator, name):
    calls = _generate_calls(
        generator, 1, (3000, 9000), (300, 1500), (150, 500), (3, 6), (1, 4), 1
    )
    caller = f'pharmacy-{generator.randrange(12)}'
    return Plan(name, caller, 'briefing', 'deadline', 90.0, tuple(calls))


def _plan_follow_up(generator, name):
    turns = generator.randint(2, 8)
    calls = _generate_calls(
        generator,
        turns,
        (1500, 6000),
        (200, 1200),
        (80, 300),
        (1, 3),
        (0.5, 3),
        30,
    )
    caller = f'parent-{generator.randrange(12)}'
    return Plan(name, caller, 'follow-up', 'standard', 0.0, tuple(calls))


def _plan_alert(generator, name):
    calls = _generate_calls(
        generator, 1, (800, 2000), (100, 300), (40, 90), (2, 2), (0.5, 1), 1
    )
    caller = f'clinic-{generator.randrange(4)}'
    return Plan(name, caller, 'alert', 'urgent', 15.0, tuple(calls))


def _plan_outage(generator, name):
    turn_count = max(4, min(36, int(generator.lognormvariate(2.6, 0.6))))
    calls = _generate_calls(
        generator,
        turn_count,
        (8000, 30000),
        (800, 5200),
        (150, 700),
        (1, 3),
        (3, 30),
        20,
    )
    kept_calls = tuple(call for call in calls if call.prompt_tokens < 410000)[
        :72
    ]
    caller = f'planner-{generator.randrange(8)}'
    return Plan(name, caller, 'outage-plan', 'standard', 0.0, kept_calls)


def _plan_permit_status(generator, name):
    calls = _generate_calls(
        generator, 1, (1500, 5000), (200, 800), (60, 200), (1, 3), (0.5, 2), 1
    )
    caller = f'shift-{generator.randrange(4)}'
    return Plan(name, caller, 'permit', 'deadline', 40.0, tuple(calls))


def _build_mix(weighted_builders):
    """Return a builder that chooses kinds of programs by weight."""
    builders = [builder for builder, _ in weighted_builders]
    weights = [weight for _, weight in weighted_builders]

    def build(generator: random.Random, name: str) -> Plan:
        return generator.choices(builders, weights)[0](generator, name)

    return build


def pollenwacht() -> Workload:
    """Return morning briefings, follow-ups and alerts."""
    weighted_builders = [
        (_plan_briefing, 0.35),
        (_plan_follow_up, 0.5),
        (_plan_alert, 0.15),
    ]
    servers = _build_servers(5, 8, 200000, 8000.0)
    return Workload(
        'pollenwacht', servers, 900.0, _build_mix(weighted_builders)
    )


def tenaga() -> Workload:
    """Return long outage plans and short permit questions."""
    weighted_builders = [(_plan_outage, 0.6), (_plan_permit_status, 0.4)]
    servers = _build_servers(6, 4, 700000, 16000.0)
    return Workload('tenaga', servers, 3600.0, _build_mix(weighted_builders))
