"""Replays a load pattern on simulated servers, placed by balancers."""

import dataclasses
import heapq
import itertools
import math
import random

from balsamdale.scheduling import balance
from balsamdale import wire
from tests import builders_routed as builders

DOMAINS = ('a', 'b')
PERIOD_S = 20.0


@dataclasses.dataclass
class Server:
    """A server with its requests; the slots are taken first in, first out."""

    registration: object
    speed: float
    fails: object = staticmethod(lambda now_s: False)
    free_at_s: list = dataclasses.field(default_factory=list)


def servers(speeds, slots=4):
    """Return servers that alternate between the failure domains."""
    return [
        Server(
            builders.server(
                f's{n}', slots=slots, failure_domain=DOMAINS[n % 2]
            ),
            speed,
        )
        for n, speed in enumerate(speeds)
    ]


def run(
    simulated, rate_per_s, duration_s, has_slowdown, work_s=0.3, swing=0.55
):
    """Place requests of both domains; yield `(start, took, failed, server)`.

    The demand of each domain swings by `swing`, out of phase.
    """
    generator = random.Random(7)
    balancers = {d: balance.Balancer(d, 4.0) for d in DOMAINS}
    by_id = {s.registration.server_id: s for s in simulated}
    pending, order, now_s = [], itertools.count(), 0.0
    while now_s < duration_s:
        now_s += generator.expovariate(rate_per_s * (1 + swing))
        while pending and pending[0][0] <= now_s:
            _finish(*heapq.heappop(pending), has_slowdown, generator, by_id)
        phase = math.sin(2 * math.pi * now_s / PERIOD_S) * swing
        domain = generator.choice(DOMAINS)
        expected = 1 + (phase if domain == 'a' else -phase)
        if generator.random() * (1 + swing) > expected:
            continue
        balancer = balancers[domain]
        choice = balancer.choose(
            [s.registration for s in simulated],
            f'p{generator.randrange(200)}',
            frozenset(),
            now_s,
            prompt_tokens=14000,
            tokens=14100,
            is_retryable=True,
        )
        if choice is None:
            yield now_s, math.inf, False, ''
            continue
        name = choice.server.server_id
        server = by_id[name]
        balancer.add_request(name)
        has_failed = server.fails(now_s)
        run_s = work_s * generator.uniform(0.7, 1.3) / server.speed
        busy = sorted(t for t in server.free_at_s if t > now_s)
        slots = server.registration.slots
        start_s = busy[-slots] if len(busy) >= slots else now_s
        end_s = now_s + 0.01 if has_failed else start_s + run_s
        server.free_at_s = [*busy, end_s]
        heapq.heappush(
            pending,
            (end_s, next(order), balancer, name, now_s, has_failed),
        )
        yield now_s, end_s - now_s, has_failed, name


def _finish(
    now_s, _, balancer, name, sent_s, failed, has_slowdown, generator, by_id
):
    balancer.remove_request(name)
    kind = 'failed' if failed else 'ok'
    balancer.record_outcome(
        name, balance.Outcome(kind, now_s - sent_s, 14000, 100), now_s
    )
    if failed:
        return
    server = by_id[name]
    held = sum(t > now_s for t in server.free_at_s)
    slots = server.registration.slots
    slowdown = generator.choice((1.0, 1.0, 1.4)) if has_slowdown else 1.0
    balancer.record_load(
        name,
        wire.LoadReport(
            min(held, slots),
            max(0, held - slots),
            slots,
            slowdown,
            has_slowdown,
        ),
        now_s,
    )
