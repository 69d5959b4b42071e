"""Replays requests of many entries that hear from each server too seldom."""

import heapq
import itertools
import random

from balsamdale.scheduling import balance
from balsamdale import wire
from tests import builders_routed as builders

ENTRIES = 60
SERVERS = 20
SLOTS = 16
REQUESTS_PER_S = 480.0
DURATION_S = 8.0
REQUEST_S = 0.4
DOMAINS = 'ab'


def run(new_server_at_s=None):
    """Place requests of all entries; yield each server's load at a choice.

    Args:
        new_server_at_s: time at which another server is added; None for
            never.

    Yields:
        The chosen server, its requests, and the mean of all servers.
    """
    generator = random.Random(5)
    servers = [
        builders.server(f's{n}', failure_domain=DOMAINS[n % 2], slots=SLOTS)
        for n in range(SERVERS)
    ]
    entries = [balance.Balancer(DOMAINS[n % 2]) for n in range(ENTRIES)]
    held = dict.fromkeys((s.server_id for s in servers), 0)
    ends, order, now_s = [], itertools.count(), 0.0
    for number in itertools.count():
        now_s += generator.expovariate(REQUESTS_PER_S)
        if now_s > DURATION_S:
            return
        while ends and ends[0][0] <= now_s:
            ended_s, _, entry, name = heapq.heappop(ends)
            held[name] -= 1
            entry.remove_request(name)
            report = wire.LoadReport(held[name], 0, SLOTS)
            entry.record_load(name, report, ended_s)
        if new_server_at_s is not None and now_s >= new_server_at_s:
            new_server_at_s = None
            servers.append(
                builders.server('new', failure_domain='a', slots=SLOTS)
            )
            held['new'] = 0
        entry = generator.choice(entries)
        name = entry.choose(
            servers, f'p{number}', frozenset(), now_s, is_first_turn=True
        ).server.server_id
        yield name, held[name], sum(held.values()) / len(servers)
        entry.add_request(name)
        held[name] += 1
        took_s = REQUEST_S * generator.uniform(0.7, 1.3)
        heapq.heappush(ends, (now_s + took_s, next(order), entry, name))
