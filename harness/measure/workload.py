"""Access to the workloads of the measurement."""

import dataclasses
import random

from balsamdale import declaration

__all__ = ['Call', 'Plan', 'Workload', 'pollenwacht', 'tenaga']


@dataclasses.dataclass(frozen=True)
class Call:
    """One model call of a program.

    Attributes:
        prompt_tokens: the whole prompt.
        answer_tokens: the answer.
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
    """A program as it will unfold; the scheduler does not see it."""

    name: str
    caller: str
    kind: str
    priority: str
    deadline_s: float
    calls: tuple[Call, ...]

    def service_s(self, server: declaration.BackendServer) -> float:
        """Return the slot time with a perfect cache."""
        fresh, total = 0, 0.0
        for call in self.calls:
            prefill = max(0, call.prompt_tokens - fresh)
            total += prefill / server.prefill_tokens_per_s
            total += call.answer_tokens / server.decode_tokens_per_s
            fresh = call.prompt_tokens + call.answer_tokens
        return total


@dataclasses.dataclass(frozen=True)
class Workload:
    """A mix of programs and the engines that serve it."""

    name: str
    servers: tuple[declaration.BackendServer, ...]
    horizon_s: float
    build: object


def _servers(count, slots, cache_tokens, prefill):
    return tuple(
        declaration.BackendServer(
            name=f'engine-{index}',
            service='model',
            address='127.0.0.1:1',
            failure_domain=f'domain-{index % 3}',
            slots=slots,
            cache_tokens=cache_tokens,
            prefill_tokens_per_s=prefill,
            decode_tokens_per_s=60.0,
            import_tokens_per_s=10 * prefill,
            export_tokens=4 * cache_tokens,
        )
        for index in range(count)
    )


def _calls(generator, turns, start, growth, answer, steps, pause_s, think_s):
    """Unfold a conversation with growing context."""
    context = generator.randint(*start)
    for turn in range(turns):
        count = generator.randint(*steps)
        for step in range(count):
            reply = generator.randint(*answer)
            last = step == count - 1
            yield Call(
                context,
                reply,
                0.0 if last else generator.uniform(*pause_s),
                last,
                generator.expovariate(1 / think_s) if last else 0.0,
            )
            context += reply + generator.randint(*growth)


def _briefing(generator, name):
    calls = _calls(
        generator, 1, (3000, 9000), (300, 1500), (150, 500), (3, 6), (1, 4), 1
    )
    caller = f'pharmacy-{generator.randrange(12)}'
    return Plan(name, caller, 'briefing', 'deadline', 90.0, tuple(calls))


def _follow_up(generator, name):
    turns = generator.randint(2, 8)
    calls = _calls(
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


def _alert(generator, name):
    calls = _calls(
        generator, 1, (800, 2000), (100, 300), (40, 90), (2, 2), (0.5, 1), 1
    )
    caller = f'clinic-{generator.randrange(4)}'
    return Plan(name, caller, 'alert', 'urgent', 15.0, tuple(calls))


def _outage_plan(generator, name):
    turns = max(4, min(36, int(generator.lognormvariate(2.6, 0.6))))
    calls = _calls(
        generator,
        turns,
        (8000, 30000),
        (800, 5200),
        (150, 700),
        (1, 3),
        (3, 30),
        20,
    )
    kept = tuple(c for c in calls if c.prompt_tokens < 410000)[:72]
    caller = f'planner-{generator.randrange(8)}'
    return Plan(name, caller, 'outage-plan', 'standard', 0.0, kept)


def _permit_status(generator, name):
    calls = _calls(
        generator, 1, (1500, 5000), (200, 800), (60, 200), (1, 3), (0.5, 2), 1
    )
    caller = f'shift-{generator.randrange(4)}'
    return Plan(name, caller, 'permit', 'deadline', 40.0, tuple(calls))


def _mix(parts):
    """Return a builder that draws kinds of programs by weight."""
    makers = [maker for maker, _ in parts]
    weights = [weight for _, weight in parts]

    def build(generator: random.Random, name: str) -> Plan:
        return generator.choices(makers, weights)[0](generator, name)

    return build


def pollenwacht() -> Workload:
    """Return morning briefings, follow-ups and alerts."""
    parts = [(_briefing, 0.35), (_follow_up, 0.5), (_alert, 0.15)]
    servers = _servers(5, 8, 200000, 8000.0)
    return Workload('pollenwacht', servers, 900.0, _mix(parts))


def tenaga() -> Workload:
    """Return long outage plans and short permit questions."""
    parts = [(_outage_plan, 0.6), (_permit_status, 0.4)]
    servers = _servers(6, 4, 700000, 16000.0)
    return Workload('tenaga', servers, 3600.0, _mix(parts))
