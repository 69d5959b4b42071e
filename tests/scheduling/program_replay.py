"""Replays programs on servers that slow down with each request they run.

The entries of one failure domain are lost in a burst, so that all programs
come through entries of the other domain.
"""

import heapq
import itertools
import random

from balsamdale.scheduling import balance
from balsamdale.scheduling import program_homes
from balsamdale import wire
from tests import builders_routed as builders

SLOTS = 48
SERVERS = ('a0', 'a1', 'b0', 'b1')
ENTRIES = 2
TURNS = 4
PROGRAMS_PER_S = 27.0
DURATION_S = 12.0
TURN_S = 0.4
# A server with all slots taken takes this many times as long.
SLOWDOWN_WHEN_FULL = 3.0
PREFILL_S = 0.1
# Pause of a program between two turns.
PAUSE_S = 0.06


class ProgramReplay:
    """Plays programs, each at one entry.

    Args:
        uses_homes: whether entries choose first turns by load, and remember
            the servers of programs.

    Attributes:
        program_times_s: duration of each program.
        misses: later turns at a server without the program's prompt.
        turns: turns played.
    """

    def __init__(self, uses_homes):
        self._uses_homes = uses_homes
        self._generator = random.Random(11)
        self._servers = [
            builders.server(name, failure_domain=name[0], slots=SLOTS)
            for name in SERVERS
        ]
        self._held = dict.fromkeys(SERVERS, 0)
        self._entries = [
            (balance.Balancer('a'), program_homes.ProgramHomes())
            for _ in range(ENTRIES)
        ]
        self._events, self._order = [], itertools.count()
        self._cached = {}
        self.program_times_s = []
        self.misses = self.turns = 0

    def run(self):
        """Play all programs to their end."""
        now_s = 0.0
        for number in itertools.count():
            now_s += self._generator.expovariate(PROGRAMS_PER_S)
            if now_s > DURATION_S:
                break
            self._at(now_s, self._start_turn, f'p{number}', number, 0, now_s)
        while self._events:
            now_s, _, action, arguments = heapq.heappop(self._events)
            action(now_s, *arguments)
        return self

    def _at(self, at_s, action, *arguments):
        event = (at_s, next(self._order), action, arguments)
        heapq.heappush(self._events, event)

    def _start_turn(self, now_s, program, number, turn, started_s):
        balancer, homes = self._entries[number % ENTRIES]
        known = {}
        if self._uses_homes:
            known = {
                'home_id': homes.find(program),
                'is_first_turn': not turn,
            }
        choice = balancer.choose(
            self._servers, program, frozenset(), now_s, **known
        )
        name = choice.server.server_id
        homes.record(program, name)
        balancer.add_request(name)
        self._held[name] += 1
        self.turns += 1
        share = self._held[name] / SLOTS
        took_s = TURN_S * (1 + (SLOWDOWN_WHEN_FULL - 1) * share)
        if turn and name not in self._cached[program]:
            self.misses += 1
            took_s += PREFILL_S
        self._cached.setdefault(program, set()).add(name)
        self._at(
            now_s + took_s,
            self._end_turn,
            program,
            number,
            turn,
            started_s,
            name,
        )

    def _end_turn(self, now_s, program, number, turn, started_s, name):
        balancer, _ = self._entries[number % ENTRIES]
        self._held[name] -= 1
        balancer.remove_request(name)
        report = wire.LoadReport(self._held[name], 0, SLOTS)
        balancer.record_load(name, report, now_s)
        if turn + 1 == TURNS:
            self.program_times_s.append(now_s - started_s)
            return
        next_s = now_s + PAUSE_S
        self._at(
            next_s, self._start_turn, program, number, turn + 1, started_s
        )
