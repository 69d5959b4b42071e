"""Tests of the allocation of slots, which replay named load patterns."""

import collections
import dataclasses
import heapq
import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest

from balsamdale.scheduling import admission
from balsamdale.scheduling import balance
from balsamdale.scheduling import slot_reports
from balsamdale.scheduling import slots
from balsamdale import wire
from tests import builders_routed as builders

STEP_S = 0.005
ENTRIES = [f'e{n}' for n in range(8)]
SERVERS = tuple(builders.server(f's{n}', slots=8) for n in range(4))
# Requests per second that 32 slots serve at 0.35 s each.
USUAL_RATE = 32 / 0.35


@dataclasses.dataclass(frozen=True)
class Kind:
    """Requests that arrive at a rate between two times."""

    rate_per_s: float
    from_s: float = 0.0
    until_s: float = 8.0
    rank: int = 1
    is_in_progress: bool = False
    workspace: str = 'w'
    timeout_s: float = 2.0


@dataclasses.dataclass
class Fate:
    """What became of one request."""

    kind: Kind
    arrived_s: float
    deadline_s: float
    return_key: str
    has_returned: bool = False
    started_s: float | None = None
    refused_s: float | None = None
    refusal: admission.Refusal | None = None


class Replay:
    """Replays arrivals on an allocator in steps of 5 ms.

    Entries report a freed slot in the next step. A caller that is refused
    returns once, after Retry-After, if that is a third of its time at most.
    """

    def __init__(self, kinds, servers_at=((0.0, SERVERS),), seed=1):
        self.allocator = slots.SlotAllocator('a')
        self._generator = random.Random(seed)
        self._servers_at = list(servers_at)
        self._numbers = itertools.count(1)
        self._sequences = collections.Counter()
        self._held = collections.defaultdict(dict)
        self._awaited = collections.defaultdict(set)
        self._arrivals = []
        self._ends = []
        self._by_key = {}
        self.fates = []
        self.most_held = collections.Counter()
        for kind in kinds:
            at_s = kind.from_s
            while True:
                at_s += self._generator.expovariate(kind.rate_per_s)
                if at_s >= kind.until_s:
                    break
                return_key = str(next(self._numbers))
                fate = Fate(kind, at_s, at_s + kind.timeout_s, return_key)
                heapq.heappush(self._arrivals, (at_s, id(fate), fate))

    def run(self, until_s=12.0):
        for step in range(int(until_s / STEP_S)):
            now_s = step * STEP_S
            while self._servers_at and self._servers_at[0][0] <= now_s:
                self.allocator.set_servers(self._servers_at.pop(0)[1])
            while self._ends and self._ends[0][0] <= now_s:
                _, entry_id, hold_id = heapq.heappop(self._ends)
                del self._held[entry_id][hold_id]
                self._report(entry_id, now_s)
            for entry_id in ENTRIES if step % 100 == 0 else ():
                self._report(entry_id, now_s)
            self._apply(self.allocator.advance(now_s), now_s)
            while self._arrivals and self._arrivals[0][0] <= now_s:
                self._ask(heapq.heappop(self._arrivals)[2], now_s)
            self._check()
        return self.fates

    def _report(self, entry_id, now_s):
        self._sequences[entry_id] += 1
        report = slot_reports.Report(
            entry_id,
            1,
            self._sequences[entry_id],
            tuple(self._held[entry_id].values()),
            tuple(self._awaited[entry_id]),
        )
        assert self.allocator.record(report, now_s)

    def _ask(self, fate, now_s):
        entry_id = self._generator.choice(ENTRIES)
        hold_id = next(self._numbers)
        request = admission.SlotRequest(
            entry_id,
            hold_id,
            now_s,
            fate.deadline_s,
            rank=fate.kind.rank,
            is_in_progress=fate.kind.is_in_progress,
            workspace=fate.kind.workspace,
            return_key=fate.return_key,
        )
        self.fates.append(fate)
        self._by_key[request.key] = fate
        self._awaited[entry_id].add(hold_id)
        self._report(entry_id, now_s)
        self._apply(self.allocator.ask(request, now_s), now_s)

    def _apply(self, decisions, now_s):
        for decision in decisions:
            entry_id, hold_id = decision.request.key
            fate = self._by_key[decision.request.key]
            self._awaited[entry_id].discard(hold_id)
            if isinstance(decision, slots.Granted):
                fate.started_s = now_s
                self._held[entry_id][hold_id] = slot_reports.Hold(
                    hold_id, decision.choice.server.server_id
                )
                end_s = now_s + self._generator.uniform(0.2, 0.5)
                heapq.heappush(self._ends, (end_s, entry_id, hold_id))
                continue
            fate.refused_s, fate.refusal = now_s, decision
            wait_s = decision.retry_after_s
            returns = wait_s <= (fate.deadline_s - now_s) / 3
            if returns and not fate.has_returned:
                again = dataclasses.replace(
                    fate,
                    arrived_s=now_s + wait_s,
                    has_returned=True,
                    refused_s=None,
                )
                heapq.heappush(
                    self._arrivals, (again.arrived_s, id(again), again)
                )

    def _check(self):
        held = collections.Counter(
            hold.server_id
            for holds in self._held.values()
            for hold in holds.values()
        )
        self.most_held |= held


def served(fates, **fields):
    """Return the share of requests of a kind that were served."""
    chosen = [
        f
        for f in fates
        if all(getattr(f.kind, k) == v for k, v in fields.items())
    ]
    return sum(f.started_s is not None for f in chosen) / len(chosen)


BURST_OF_ONE_KIND = [
    Kind(0.5 * USUAL_RATE, rank=0),
    Kind(0.2 * USUAL_RATE, rank=1, is_in_progress=True),
    Kind(0.3 * USUAL_RATE, rank=2),
    Kind(0.39 * USUAL_RATE, 1.0, 7.0, rank=2),
]
ALL_KINDS = [
    Kind(0.48 * USUAL_RATE, 1.0, 7.0, rank=1, is_in_progress=True),
    Kind(1.12 * USUAL_RATE, 1.0, 7.0, rank=1),
]
LARGE_WORKSPACE = [
    Kind(0.1 * USUAL_RATE, workspace='calm'),
    Kind(0.6 * USUAL_RATE, workspace='others'),
    Kind(0.2 * USUAL_RATE, workspace='big', until_s=1.0),
    Kind(1.5 * USUAL_RATE, 1.0, 7.0, workspace='big'),
]
LOW_RANK_WORKSPACE = [
    Kind(1.3 * USUAL_RATE, rank=0, workspace='first'),
    Kind(0.2 * USUAL_RATE, rank=5, workspace='last'),
]
SERVERS_LEAVE = ((0.0, SERVERS), (4.0, SERVERS[:2]))
PATTERNS = {
    'burst of one kind': (BURST_OF_ONE_KIND, ((0.0, SERVERS),)),
    'all kinds': (ALL_KINDS, ((0.0, SERVERS),)),
    'large workspace': (LARGE_WORKSPACE, ((0.0, SERVERS),)),
    'low rank': (LOW_RANK_WORKSPACE, ((0.0, SERVERS),)),
    'servers leave': ([Kind(0.9 * USUAL_RATE)], SERVERS_LEAVE),
    'all servers leave': ([Kind(50.0)], ((0.0, SERVERS), (4.0, ()))),
}


@pytest.mark.parametrize('name', PATTERNS)
def test_callers_get_what_they_need(name):
    """No request is lost or held near its deadline; no server overfull."""
    replay = Replay(*PATTERNS[name])
    fates = replay.run()
    assert all(
        (f.started_s is None) != (f.refused_s is None) for f in fates
    ), 'a request got no decision'
    assert max(replay.most_held.values()) <= 8
    for fate in fates:
        if fate.started_s is not None:
            assert fate.started_s + 0.2 < fate.deadline_s
        else:
            assert fate.refused_s - fate.arrived_s < 1.3
    refused = [f for f in fates if f.refused_s is not None]
    at_once = sum(f.refused_s - f.arrived_s < 0.02 for f in refused)
    assert at_once >= 0.6 * len(refused)
    assert all(f.refusal.retry_after_s >= 0.05 for f in refused)


def test_urgent_kinds_are_unaffected_by_a_burst_of_another():
    fates = Replay(BURST_OF_ONE_KIND).run()
    assert served(fates, rank=0) == 1
    assert served(fates, rank=1) > 0.97
    # Half of them can be served, and those that return count twice.
    assert served(fates, rank=2) > 0.4
    waits = [f.started_s - f.arrived_s for f in fates if f.kind.rank == 0]
    assert sorted(waits)[len(waits) * 9 // 10] < 0.1


def test_programs_in_progress_go_before_new_ones():
    fates = Replay(ALL_KINDS).run()
    assert served(fates, is_in_progress=True) > 0.98
    assert 0.4 < served(fates, is_in_progress=False) < 0.7


@pytest.mark.parametrize('kinds', [LARGE_WORKSPACE, LOW_RANK_WORKSPACE])
def test_no_workspace_gets_less_than_a_quarter(kinds):
    """Guards against starvation by rank or by a workspace at 7.5 times."""
    fates = Replay(kinds).run()
    for workspace in {kind.workspace for kind in kinds}:
        assert served(fates, workspace=workspace) >= served(fates) / 4


def test_slots_stay_in_use_under_overload():
    fates = Replay(ALL_KINDS).run()
    started = sum(
        f.started_s is not None and 2 <= f.started_s < 7 for f in fates
    )
    assert started >= 0.95 * 5 * USUAL_RATE


def test_returning_callers_are_not_refused_again():
    kinds = [
        Kind(0.8 * USUAL_RATE, timeout_s=0.9),
        Kind(1.0 * USUAL_RATE, 1.0, 7.0, timeout_s=0.9),
    ]
    returned = [f for f in Replay(kinds).run() if f.has_returned]
    assert len(returned) > 20
    refused = sum(f.refused_s is not None for f in returned)
    assert refused <= 0.05 * len(returned)


def test_refusals_of_one_rank_name_successive_times():
    replay = Replay([Kind(3 * USUAL_RATE, 0.0, 0.5, timeout_s=1.1)])
    first = [f for f in replay.run() if f.refusal and not f.has_returned]
    times = [
        f.refused_s + f.refusal.retry_after_s
        for f in first
        if f.refusal.retry_after_s <= (f.deadline_s - f.refused_s) / 3
    ]
    assert len(times) > 3
    assert all(a < b for a, b in itertools.pairwise(times))


def ask(allocator, hold_id, now_s=0.0, sequence=None, held=(), **fields):
    """Report as entry e0, which awaits one slot, and ask for it."""
    report = slot_reports.Report(
        'e0', 1, sequence or hold_id, held, (hold_id,)
    )
    allocator.record(report, now_s)
    request = admission.SlotRequest(
        'e0', hold_id, now_s, now_s + 2.0, **fields
    )
    return allocator.ask(request, now_s)


def single(slots_=1, **changes):
    allocator = slots.SlotAllocator('a')
    allocator.set_servers((builders.server('s0', slots=slots_, **changes),))
    return allocator


def test_silent_entry_gives_its_slots_back():
    allocator = single()
    assert isinstance(ask(allocator, 1)[0], slots.Granted)
    allocator.advance(slots.HOLDINGS_EXPIRY_S)
    assert allocator.held('s0') == 1
    allocator.advance(slots.HOLDINGS_EXPIRY_S + 0.1)
    assert allocator.held('s0') == 0


def test_load_report_reveals_unknown_requests_for_a_short_time():
    """Guards against doubling a server's load under two allocators."""
    allocator = single(slots_=2)
    load = wire.LoadReport(2, 1, 2)
    report = slot_reports.Report('e1', 1, 1, loads=(('s0', load, 0.0),))
    allocator.record(report, 0.0)
    assert not ask(allocator, 1)
    assert [type(d) for d in allocator.advance(0.6)] == [slots.Granted]


def test_report_of_requests_that_have_ended_takes_no_capacity():
    allocator = single(slots_=2)
    for hold_id in (1, 2):
        held = tuple(slot_reports.Hold(n, 's0') for n in range(1, hold_id))
        ask(allocator, hold_id, held=held)
    allocator.record(slot_reports.Report('e0', 1, 3), 0.3)
    load = (('s0', wire.LoadReport(2, 0, 2), 0.0),)
    allocator.record(slot_reports.Report('e1', 1, 1, loads=load), 0.31)
    assert ask(allocator, 4, 0.32)
    assert ask(allocator, 5, 0.32, held=(slot_reports.Hold(4, 's0'),))


def test_server_that_is_not_known_cannot_be_reported():
    allocator = single()
    report = slot_reports.Report(
        'e1',
        1,
        1,
        loads=(('nowhere', wire.LoadReport(2, 1, 2), 0.0),),
        outcomes=(('nowhere', balance.Outcome('ok', 0.1)),),
    )
    assert allocator.record(report, 0.0)
    assert isinstance(ask(allocator, 1)[0], slots.Granted)


def test_full_domain_sends_requests_to_another_that_starts_earlier():
    allocator = single()
    ask(allocator, 1)
    held = (slot_reports.Hold(1, 's0'),)
    allocator.record_domain(slot_reports.DomainLoad('b', 1, 0.0, 10.0), 0.0)
    (decision,) = ask(allocator, 2, held=held)
    assert decision.failure_domain == 'b'
    # That slot is taken now, and the next start there is 0.1 s later.
    assert not ask(allocator, 3, held=held, is_forwarded=True)
    (decision,) = ask(allocator, 4, held=held)
    assert isinstance(decision, slots.Elsewhere)
    later_s = slots.DOMAIN_LOAD_EXPIRY_S + 0.1
    assert not ask(allocator, 5, later_s, held=held, is_in_progress=True)


def test_server_that_entries_cannot_reach_is_passed_over():
    """Guards against a dead server that takes the requests of all."""
    allocator = slots.SlotAllocator('a')
    servers = tuple(builders.server(n, slots=1) for n in ('s0', 's1'))
    allocator.set_servers(servers)

    def report(entry_id, sequence, unreachable):
        allocator.record(
            slot_reports.Report(
                entry_id, 1, sequence, unreachable=unreachable
            ),
            0.0,
        )

    report('e1', 1, ('s0',))
    assert allocator.domain_load(0.0).free_slots == 2
    report('e2', 1, ('s0',))
    assert allocator.domain_load(0.0).free_slots == 1
    (granted,) = ask(allocator, 1)
    assert granted.choice.server.server_id == 's1'
    report('e2', 2, ())
    held = (slot_reports.Hold(1, 's1'),)
    # One entry alone may be cut off, so others still get the server.
    (granted,) = ask(allocator, 2, held=held)
    assert granted.choice.server.server_id == 's0'
    # Nobody can reach any server: any may be tried.
    report('e1', 2, ('s0', 's1'))
    report('e2', 3, ('s0', 's1'))
    allocator.record(slot_reports.Report('e0', 1, 3), 0.0)
    assert isinstance(ask(allocator, 4)[0], slots.Granted)


def test_request_whose_servers_are_all_excluded_is_refused():
    (refusal,) = ask(single(), 1, excluded=frozenset({'s0'}))
    assert refusal.reason == 'no_server'


# An old report arrives after the newest one, whose slot it does not name.
OLD_REPORT_LAST = [
    ('ask', 0),
    ('ask', 0),
    ('deliver', 1),
    ('deliver', 0),
    ('ask', 1),
    ('deliver', 0),
]
ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['ask', 'end', 'leave', 'deliver', 'repeat', 'lose', 'restart']
        ),
        strategies.integers(0, 5),
    ),
    max_size=60,
)


@hypothesis.settings(max_examples=600, derandomize=True, deadline=None)
@hypothesis.given(ACTIONS)
@hypothesis.example(OLD_REPORT_LAST)
def test_holdings_survive_loss_duplication_and_reordering(actions):
    """No slot is allocated twice, and all that are freed come back.

    Guards against messages that arrive late, twice or never, and against
    allocators and entries that restart.
    """
    allocator = single(slots_=2)
    world = {e: {'live': {}, 'sequence': 0, 'start': 1} for e in 'xy'}
    in_transit, delivered, newest = [], [], {}
    numbers = itertools.count(1)
    now_s = 0.0

    def report(entry_id):
        entry = world[entry_id]
        entry['sequence'] += 1
        held = [h for h, granted_by in entry['live'].items() if granted_by]
        return slot_reports.Report(
            entry_id,
            entry['start'],
            entry['sequence'],
            tuple(slot_reports.Hold(h, 's0') for h in held),
            tuple(entry['live'].keys() - set(held)),
        )

    def deliver(message, hold_id):
        if allocator.record(message, now_s):
            newest[message.entry_id] = message
        decisions = allocator.advance(now_s)
        if hold_id is not None:
            request = admission.SlotRequest(
                message.entry_id, hold_id, now_s, now_s + 9.0
            )
            decisions += allocator.ask(request, now_s)
        for decision in decisions:
            name, number = decision.request.key
            if isinstance(decision, slots.Granted):
                assert number in {
                    *newest[name].awaited,
                    *(hold.hold_id for hold in newest[name].held),
                }
                # A reply reaches the entry only if it still waits.
                if world[name]['live'].get(number) == '':
                    world[name]['live'][number] = allocator

    for kind, choice in actions:
        now_s += 0.01
        entry_id = 'xy'[choice % 2]
        live = world[entry_id]['live']
        if kind == 'ask':
            hold_id = next(numbers)
            live[hold_id] = ''
            in_transit.append((report(entry_id), hold_id))
        elif kind in ('end', 'leave') and live:
            del live[sorted(live)[choice % len(live)]]
            in_transit.append((report(entry_id), None))
        elif kind == 'deliver' and in_transit:
            message = in_transit.pop(choice % len(in_transit))
            delivered.append(message)
            deliver(*message)
        elif kind == 'repeat' and delivered:
            deliver(*delivered[choice % len(delivered)])
        elif kind == 'lose' and in_transit:
            del in_transit[choice % len(in_transit)]
        elif kind == 'restart' and choice == 0:
            allocator = single(slots_=2)
        elif kind == 'restart' and choice == 1:
            world[entry_id] = {
                'live': {},
                'sequence': 0,
                'start': world[entry_id]['start'] + 1,
            }
        granted = [a for e in world.values() for a in e['live'].values()]
        assert granted.count(allocator) <= 2
    for entry_id in 'xy':
        world[entry_id]['live'].clear()
        deliver(report(entry_id), None)
    assert allocator.held('s0') == 0
    assert allocator.waiting == 0
