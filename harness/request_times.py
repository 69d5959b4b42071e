"""Shows from the decision logs of a day where the time of programs went.

Reads the lines that entries write at the end of each request, and prints for
each period, failure domain, route or server: how requests ended, the time
before they were sent, to the first event and between events, and how well
their servers were chosen. What a server held at a moment is reconstructed
from the requests of all entries, so that it can be compared with the load
that the choice was made by, and with the server that held the least.
"""

import bisect
import collections
from collections import abc as collections_abc
import dataclasses
import json
import math
import pathlib
import statistics
import sys
import typing

import typer

# Start of a decision line; a bench prints its own time before it.
LINE_START = '{"at_s"'
HEADINGS = (
    'n',
    'ok',
    'slow',
    'refused',
    'cut',
    'sent p95',
    'first p50',
    'first p95',
    'event p50',
    'event p95',
    'tries',
    'load told',
    'age',
    'held',
    'least',
    'mean',
)
# A turn is slow if its events come this much more slowly than the fastest
# tenth of all turns: the objectives of programs are about twice their time on
# idle servers.
SLOW_FACTOR = 2.0

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@dataclasses.dataclass(frozen=True)
class Request:
    """One request as its entry logged it, with times in seconds.

    Attributes:
        entry: the entry that served it.
        route: its route.
        server: its latest server; empty if it was sent to none.
        outcome: 'ok', or why it has no answer.
        is_stream: whether its answer has events.
        arrived_s: its arrival, in seconds since the first request.
        sent_s: from the arrival until its first attempt, as far as it is
            logged: until its tokens were reserved; 0 for plain requests.
        first_event_s: from the arrival to the first event; 0 without one.
        last_event_s: from the arrival to the last event; 0 without one.
        took_s: from the arrival to its end.
        events: events of its answer.
        tries: attempts.
        load_told: requests at its server by the choosing entry's knowledge.
        report_age_s: age of the server's load report at the choice.
    """

    entry: str
    route: str
    server: str
    outcome: str
    is_stream: bool
    arrived_s: float
    sent_s: float
    first_event_s: float
    last_event_s: float
    took_s: float
    events: int
    tries: int
    load_told: float
    report_age_s: float

    @property
    def event_gap_s(self) -> float:
        """Mean time between its events; NaN with fewer than two."""
        if self.events < 2 or not self.last_event_s:
            return math.nan
        return (self.last_event_s - self.first_event_s) / (self.events - 1)


def read_requests(
    lines: collections_abc.Iterable[str],
) -> collections_abc.Iterator[Request]:
    """Yield the requests of decision logs; other lines are left out."""
    for line in lines:
        start = line.find(LINE_START)
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            # The last line of a process that was killed may be torn.
            print(f'unreadable: {line[start:80]}', file=sys.stderr)
            continue
        if fields.get('event') == 'request':
            yield _decode(fields)


def _decode(fields):
    first_s = fields.get('first_event_s', 0.0)
    return Request(
        entry=fields['instance'],
        route=fields.get('route', ''),
        server=fields.get('server', ''),
        outcome=fields['outcome'],
        is_stream='opened_s' in fields or bool(first_s),
        arrived_s=fields['at_s'] - fields['took_s'],
        sent_s=fields.get('opened_s', 0.0),
        first_event_s=first_s,
        last_event_s=fields.get('last_event_s', fields['took_s']),
        took_s=fields['took_s'],
        events=fields.get('events', 0),
        tries=fields.get('tries', 0),
        load_told=fields.get('load', 0.0),
        report_age_s=fields.get('told_age_s', 0.0),
    )


class HeldRequests:
    """What each server held at any moment, by the requests of all entries."""

    def __init__(self, requests: collections_abc.Iterable[Request]):
        starts = collections.defaultdict(list)
        ends = collections.defaultdict(list)
        for request in requests:
            if request.server and request.tries:
                sent_at_s = request.arrived_s + request.sent_s
                starts[request.server].append(sent_at_s)
                ends[request.server].append(request.arrived_s + request.took_s)
        self._starts = {name: sorted(times) for name, times in starts.items()}
        self._ends = {name: sorted(times) for name, times in ends.items()}

    def at(self, server: str, at_s: float) -> int:
        """Return the requests at a server at a moment."""
        started = bisect.bisect_left(self._starts[server], at_s)
        return started - bisect.bisect_left(self._ends[server], at_s)

    def at_all(self, at_s: float) -> list[int]:
        """Return the requests at each server that is in use at a moment."""
        return [
            self.at(name, at_s)
            for name, starts in self._starts.items()
            if starts[0] <= at_s <= self._ends[name][-1]
        ]


def _quantile(values, share):
    ordered = sorted(v for v in values if not math.isnan(v))
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarize(
    requests: collections_abc.Sequence[Request],
    held: HeldRequests,
    slow_gap_s: float,
) -> list[float]:
    """Return the figures of a group of requests, in order of `HEADINGS`."""
    answered = [r for r in requests if r.outcome == 'ok']
    sent = [r for r in requests if r.server and r.tries]
    at_choice = [(r, r.arrived_s + r.sent_s) for r in sent]
    everywhere = [held.at_all(at_s) or [0] for _, at_s in at_choice]
    outcomes = collections.Counter(r.outcome for r in requests)
    first = [r.first_event_s - r.sent_s for r in answered if r.first_event_s]
    gaps = [r.event_gap_s for r in answered]

    def mean(values):
        return statistics.fmean(values) if values else math.nan

    return [
        len(requests),
        len(answered),
        sum(gap > slow_gap_s for gap in gaps),
        outcomes['no_room'] + outcomes['no_quorum'],
        outcomes['timed_out'] + outcomes['broken'] + outcomes['caller_gone'],
        _quantile([r.sent_s for r in sent], 0.95),
        _quantile(first, 0.5),
        _quantile(first, 0.95),
        _quantile(gaps, 0.5),
        _quantile(gaps, 0.95),
        mean([r.tries for r in sent]),
        mean([r.load_told for r in sent]),
        mean([min(r.report_age_s, 60.0) for r in sent]),
        mean([held.at(r.server, at_s) for r, at_s in at_choice]),
        mean([min(loads) for loads in everywhere]),
        mean([statistics.fmean(loads) for loads in everywhere]),
    ]


def print_table(
    requests: collections_abc.Sequence[Request],
    held: HeldRequests,
    slow_gap_s: float,
    key: collections_abc.Callable[[Request], object],
) -> None:
    """Print one line of figures for each group of requests."""
    groups = collections.defaultdict(list)
    for request in requests:
        groups[key(request)].append(request)
    print(f'{"":14}' + ''.join(f'{name:>10}' for name in HEADINGS))
    for name in sorted(groups):
        figures = summarize(groups[name], held, slow_gap_s)
        cells = ''.join(
            f'{figure:10d}' if isinstance(figure, int) else f'{figure:10.3f}'
            for figure in figures
        )
        print(f'{str(name)[-14:]:14}{cells}')


@app.command()
def main(
    logs: typing.Annotated[
        list[pathlib.Path], typer.Argument(help='logs of the instances')
    ],
    period_s: typing.Annotated[
        float, typer.Option(help='length of the periods')
    ] = 2.0,
    plain: typing.Annotated[
        bool, typer.Option(help='requests without events instead of streams')
    ] = False,
):
    """Print where the time of requests went, by period, entry and server."""
    lines = (line for path in logs for line in path.open(errors='replace'))
    everything = list(read_requests(lines))
    if not everything:
        raise typer.BadParameter('no line of a request in these logs')
    first_s = min(request.arrived_s for request in everything)
    everything = [
        dataclasses.replace(r, arrived_s=r.arrived_s - first_s)
        for r in everything
    ]
    chosen = [r for r in everything if r.is_stream != plain]
    held = HeldRequests(chosen)
    slow_gap_s = SLOW_FACTOR * _quantile([r.event_gap_s for r in chosen], 0.1)
    for title, key in (
        ('second', lambda r: int(r.arrived_s // period_s * period_s)),
        ('route', lambda r: r.route),
        ('entry', lambda r: r.entry),
        ('server', lambda r: r.server or '(none)'),
    ):
        print(f'\nby {title}')
        print_table(chosen, held, slow_gap_s, key)


if __name__ == '__main__':
    app()
