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
    """A server; its slots are taken first in, first out."""

    registration: object
    speed: float
    free_at_s: list = dataclasses.field(default_factory=list)


def run(speeds, rate_per_s, duration_s, has_slowdown, work_s=0.3, swing=0.55):
    """Place requests of both domains; yield start and time of each.

    The demand of each domain swings by `swing`, out of phase.
    """
    generator = random.Random(7)
    registrations = [
        builders.server(f's{n}', failure_domain=DOMAINS[n % 2])
        for n in range(len(speeds))
    ]
    by_id = {
        r.server_id: Server(r, speed)
        for r, speed in zip(registrations, speeds, strict=True)
    }
    balancers = {d: balance.Balancer(d, 4.0) for d in DOMAINS}
    pending, order, now_s = [], itertools.count(), 0.0
    while now_s < duration_s:
        now_s += generator.expovariate(rate_per_s * (1 + swing))
        while pending and pending[0][0] <= now_s:
            _finish(*heapq.heappop(pending), has_slowdown, by_id)
        phase = math.sin(2 * math.pi * now_s / PERIOD_S) * swing
        domain = generator.choice(DOMAINS)
        expected = 1 + (phase if domain == 'a' else -phase)
        if generator.random() * (1 + swing) > expected:
            continue
        balancer = balancers[domain]
        choice = balancer.choose(
            registrations,
            f'p{generator.randrange(200)}',
            frozenset(),
            now_s,
            prompt_tokens=14000,
            tokens=14100,
        )
        name = choice.server.server_id
        server = by_id[name]
        balancer.add_request(name)
        run_s = work_s * generator.uniform(0.7, 1.3) / server.speed
        busy = sorted(t for t in server.free_at_s if t > now_s)
        slots = server.registration.slots
        start_s = busy[-slots] if len(busy) >= slots else now_s
        end_s = start_s + run_s
        server.free_at_s = [*busy, end_s]
        heapq.heappush(pending, (end_s, next(order), balancer, name, now_s))
        yield now_s, end_s - now_s


def _finish(now_s, _, balancer, name, sent_s, has_slowdown, by_id):
    balancer.remove_request(name)
    outcome = balance.Outcome('ok', now_s - sent_s, 14000, 100)
    balancer.record_outcome(name, outcome, now_s)
    server = by_id[name]
    held = sum(t > now_s for t in server.free_at_s)
    slots = server.registration.slots
    slowdown = (1.0, 1.0, 1.4)[int(now_s * 20) % 3] if has_slowdown else 1.0
    running, waiting = min(held, slots), max(0, held - slots)
    load = wire.LoadReport(running, waiting, slots, slowdown, has_slowdown)
    balancer.record_load(name, load, now_s)
