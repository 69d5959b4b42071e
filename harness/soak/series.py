"""Seeded series of planned stops, and of what happens beside them."""

import dataclasses
import random

__all__ = ['GRACE_S', 'Event', 'Load', 'Series', 'make_series']

GRACE_S = 8.0
# Time before the first event, in which callers open their connections.
LEAD_S = 3.0
# Time after the last stop in which the fleet serves on.
TAIL_S = 3.0
ENTRY_COUNTS = (3, 8)
CONNECTION_COUNTS = (40, 250)
ARCHIVES = ('archive-a', 'archive-b', 'archive-c')
REQUEST_RATES = (80.0, 160.0, 240.0)
TURN_SHARES = (0.2, 0.5)
ADDED_WORK_S = (0.0, 0.5)
# Gaps between the stops of two instances: at once, overlapping, one by one.
GAPS_S = ((0.0, 0.1), (0.3, 1.5), (1.0, 3.0))
RESTART_DELAYS_S = (0.1, 1.0)
# When an instance is stopped again, after it was started anew.
STOPPED_AGAIN_S = (0.2, 3.0)
STORE_TROUBLES = ('silent', 'slow', 'refuses', 'resets', 'loses')
CONFIGURATION_CHANGES = ('idle', 'timeout', 'route')


@dataclasses.dataclass(frozen=True)
class Event:
    """Something that happens at a time.

    Attributes:
        at_s: time since callers began.
        kind: 'stop', 'signal' (a second SIGTERM), 'reload' (SIGHUP), 'store',
            'silence' (of servers), 'configuration' or 'log' (a reader of the
            log that stops reading).
        target: instance, trouble of the store or kind of change; empty for
            all servers.
        for_s: time until it is over; for a stop, from the end of the process
            until it is started again.
        again_s: time from that start until it is stopped again; 0 for never.
    """

    at_s: float
    kind: str
    target: str = ''
    for_s: float = 0.0
    again_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Load:
    """What callers send and servers do.

    Attributes:
        connections: connections that callers keep.
        requests_per_s: requests of all callers together.
        order_share: share of requests that may run at most once.
        turn_share: share of requests with a stream as their answer.
        chunked_share: share of bodies that are sent in chunks.
        slow_share: share of bodies that are sent over up to `slow_s`.
        slow_s: longest time from the first to the last byte of a request.
        added_work_s: most work of a request at a server beyond the usual.
        store_calls_per_s: calls that the store allows; 0 for no limit.
    """

    connections: int
    requests_per_s: float
    order_share: float
    turn_share: float
    added_work_s: float
    chunked_share: float = 0.5
    slow_share: float = 0.2
    slow_s: float = 3.0
    store_calls_per_s: int = 0


@dataclasses.dataclass(frozen=True)
class Series:
    """What is played for a seed.

    Attributes:
        entries: ids of the instances that serve callers.
        load: what callers send and servers do.
        events: the events in the order of their times.
        length_s: time from the callers' begin to their end.
    """

    entries: tuple[str, ...]
    load: Load
    events: tuple[Event, ...]
    length_s: float


def make_series(seed: int, is_calm: bool) -> Series:
    """Return the series of a seed.

    Args:
        seed: seed of all choices.
        is_calm: whether entries are stopped and nothing else happens.
    """
    generator = random.Random(f'soak-{seed}')
    count = generator.randint(*ENTRY_COUNTS)
    entries = tuple(f'entry-{letter}' for letter in 'abcdefgh'[:count])
    load = _choose_load(generator)
    stops = _choose_stops(generator, entries)
    events = list(stops)
    if not is_calm:
        for stop in stops:
            events += _choose_beside(generator, stop)
        if generator.random() < 0.5:
            at_s = generator.choice(stops).at_s + generator.uniform(-1, 5)
            events.append(_stop(generator, at_s, generator.choice(ARCHIVES)))
    events.sort(key=lambda event: event.at_s)
    last_s = max(
        event.at_s + event.for_s + event.again_s
        for event in events
        if event.kind == 'stop'
    )
    is_again = any(event.again_s for event in events)
    length_s = last_s + (2 if is_again else 1) * GRACE_S + TAIL_S
    return Series(entries, load, tuple(events), length_s)


def _choose_load(generator):
    turn_share = generator.choice(TURN_SHARES)
    return Load(
        connections=generator.randint(*CONNECTION_COUNTS),
        requests_per_s=generator.choice(REQUEST_RATES),
        order_share=0.9 - turn_share,
        turn_share=turn_share,
        added_work_s=generator.choice(ADDED_WORK_S),
    )


def _choose_stops(generator, entries):
    order = generator.sample(entries, len(entries))
    # One entry at least stays.
    order = order[: generator.randint(2, len(entries) - 1)]
    gap_s = generator.choice(GAPS_S)
    stops, at_s = [], LEAD_S
    for name in order:
        stops.append(_stop(generator, at_s, name))
        at_s += generator.uniform(*gap_s)
    return stops


def _stop(generator, at_s, name):
    is_again = generator.random() < 0.25
    return Event(
        round(max(0.0, at_s), 3),
        'stop',
        name,
        round(generator.uniform(*RESTART_DELAYS_S), 3),
        round(generator.uniform(*STOPPED_AGAIN_S), 3) if is_again else 0.0,
    )


def _choose_beside(generator, stop):
    """Return what happens around a stop."""

    def event(after_s, kind, target='', for_s=(0.0, 0.0)):
        at_s = stop.at_s + generator.uniform(*after_s)
        length_s = generator.uniform(*for_s)
        return Event(
            round(max(0.0, at_s), 3), kind, target, round(length_s, 3)
        )

    if generator.random() < 0.4:
        yield event((-0.3, 0.3), 'reload', stop.target)
    if generator.random() < 0.25:
        # It may have been started again by then.
        yield event((4.0, 10.0), 'reload', stop.target)
    if generator.random() < 0.25:
        yield event((0.05, 7.0), 'signal', stop.target)
    if generator.random() < 0.25:
        trouble = generator.choice(STORE_TROUBLES)
        yield event((-2.0, 3.0), 'store', trouble, (0.5, 7.0))
    if generator.random() < 0.25:
        yield event((-1.0, 7.0), 'silence', '', (0.8, 1.3))
    if generator.random() < 0.25:
        change = generator.choice(CONFIGURATION_CHANGES)
        yield event((-2.0, 7.0), 'configuration', change)
    if generator.random() < 0.2:
        yield event((-1.0, 5.0), 'log', stop.target, (1.0, 9.0))
