"""Replays a load pattern on simulated servers, placed by balancers."""

import heapq
import itertools
import math
import random

from balsamdale.scheduling import balance
from balsamdale import wire
from tests import builders_routed as builders

DOMAINS = ('a', 'b')
PERIOD_S = 20.0
SLOTS = 4


def run(speeds, rate_per_s, duration_s, has_slowdown, work_s=0.3, swing=0.55):
    """Place requests of both domains; yield start and time of each.

    The demand of each domain swings by `swing`, out of phase.
    """
    generator = random.Random(7)
    registrations = [
        builders.server(f's{n}', failure_domain=DOMAINS[n % 2])
        for n in range(len(speeds))
    ]
    busy_until_s = [[] for _ in speeds]
    balancers = {d: balance.Balancer(d, 4.0) for d in DOMAINS}
    pending, order, now_s = [], itertools.count(), 0.0
    while now_s < duration_s:
        now_s += generator.expovariate(rate_per_s * (1 + swing))
        while pending and pending[0][0] <= now_s:
            _finish(*heapq.heappop(pending), has_slowdown)
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
        number = registrations.index(choice.server)
        balancer.add_request(choice.server.server_id)
        run_s = work_s * generator.uniform(0.7, 1.3) / speeds[number]
        # Slots are taken first in, first out.
        busy = sorted(t for t in busy_until_s[number] if t > now_s)
        start_s = busy[-SLOTS] if len(busy) >= SLOTS else now_s
        busy_until_s[number] = [*busy, start_s + run_s]
        task = (balancer, choice.server.server_id, now_s, busy_until_s, number)
        heapq.heappush(pending, (start_s + run_s, next(order), *task))
        yield now_s, start_s + run_s - now_s


def _finish(now_s, _, balancer, name, sent_s, busy, number, has_slowdown):
    balancer.remove_request(name)
    outcome = balance.Outcome('ok', now_s - sent_s, 14000, 100)
    balancer.record_outcome(name, outcome, now_s)
    held = sum(t > now_s for t in busy[number])
    slowdown = (1.0, 1.0, 1.4)[int(now_s * 20) % 3] if has_slowdown else 1.0
    running, waiting = min(held, SLOTS), max(0, held - SLOTS)
    load = wire.LoadReport(running, waiting, SLOTS, slowdown, has_slowdown)
    balancer.record_load(name, load, now_s)
