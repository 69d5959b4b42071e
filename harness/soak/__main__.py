"""Plays seeded series of planned stops on a fleet of real processes.

Callers use their connections until the process at the other end is gone.
What they and the servers have seen is judged after each seed.
"""

import asyncio
import collections
from collections import abc as collections_abc
import dataclasses
import json
import pathlib
import shutil
import signal
import tempfile
import time
import typing

import typer

from harness.soak import callers
from harness.soak import series
from harness.soak import site
from harness.soak import verdict
from harness import upgrade

# Time for an instance that has started to be known to all others.
SETTLE_S = 2.0

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@dataclasses.dataclass(frozen=True)
class Played:
    """What was seen while a series was played.

    Attributes:
        attempts: all requests.
        stops: ends of processes.
        faults: broken promises.
        losses: requests without a whole answer that were read or run.
        lines: for each loss, the lines of logs that name it.
        store_calls: calls to the store, and those beyond its limit.
    """

    attempts: list[callers.Attempt]
    stops: list[site.Stop]
    faults: list[str]
    losses: list[verdict.Loss]
    lines: dict[str, list[str]]
    store_calls: tuple[int, int]


async def play(
    planned: series.Series,
    seed: int,
    build_folder: pathlib.Path,
    folder: pathlib.Path,
) -> Played:
    """Play a series; return what was seen.

    Args:
        planned: the series.
        seed: seed of the callers' choices.
        build_folder: folder of the build.
        folder: folder for settings, logs and data folders.
    """
    attempts: list[callers.Attempt] = []
    async with site.SoakFleet(folder, build_folder, planned) as fleet:
        fleet.open_ids = lambda name: [
            a.request_id for a in attempts if a.entry == name and not a.ended_s
        ]
        await asyncio.sleep(SETTLE_S)
        addresses = {
            name: fleet.instances[name].entry_address
            for name in planned.entries
        }
        stop = asyncio.Event()
        tasks = [
            asyncio.create_task(
                callers.Caller(n, addresses, attempts, planned.load, seed).run(
                    stop
                )
            )
            for n in range(planned.load.connections)
        ]
        began_s = time.monotonic()
        plays = []
        for event in planned.events:
            await asyncio.sleep(began_s + event.at_s - time.monotonic())
            plays.append(asyncio.create_task(fleet.play(event)))
        await asyncio.gather(*plays)
        await asyncio.sleep(began_s + planned.length_s - time.monotonic())
        stop.set()
        await asyncio.gather(*tasks)
        faults, losses = verdict.judge(attempts, fleet)
        lines = {
            loss.attempt.request_id: _find_lines(
                fleet, loss.attempt.request_id
            )
            for loss in losses
        }
        return Played(
            attempts,
            fleet.timeline.stops,
            faults,
            losses,
            lines,
            (fleet.store.calls, fleet.store.limited_calls),
        )


def _find_lines(fleet, request_id):
    """Return the lines of all logs that name a request."""
    return [
        line
        for name in fleet.instances
        for line in fleet.log_lines(name)
        if f'"{request_id}"' in line
    ]


def _change_load(planned, changes):
    """Return a series whose load has other values."""
    pairs = (change.partition('=') for change in changes)
    fields = {
        name: type(getattr(planned.load, name))(value)
        for name, _, value in pairs
    }
    load = dataclasses.replace(planned.load, **fields)
    return dataclasses.replace(planned, load=load)


def report(
    seed: int, planned: series.Series, played: Played
) -> collections_abc.Iterator[str]:
    """Return the lines that tell what was played and seen."""
    yield (
        f'seed {seed}: {len(planned.entries)} entries, '
        f'{planned.length_s:.0f} s, {planned.load}'
    )
    for event in planned.events:
        yield (
            f'  {event.at_s:7.3f} {event.kind} {event.target} '
            f'for {event.for_s} again {event.again_s}'
        )
    for stop in played.stops:
        yield (
            f'  {stop.instance} stopped in '
            f'{stop.ended_s - stop.signalled_s:.3f} s, status {stop.status}'
            f'{", killed" if stop.was_killed else ""}'
            f'{"" if stop.was_started else ", before it had started"}'
        )
    for loss in played.losses:
        yield f'  {loss.excuse or "lost"}: {loss.describe()}'
        if loss.excuse == verdict.TIME_OVER:
            continue
        for line in played.lines[loss.attempt.request_id]:
            yield f'    log of {loss.attempt.request_id}: {line}'
    for fault in played.faults:
        yield f'  FAULT {fault}'


def summarize(seed: int, played: Played) -> dict:
    """Return the counts of a seed."""
    ends = collections.Counter(
        str(a.status) if a.is_whole else 'cut' for a in played.attempts
    )
    faults = collections.Counter(f.split(' ')[0] for f in played.faults)
    return {
        'seed': seed,
        'requests': len(played.attempts),
        'ends': dict(sorted(ends.items())),
        'store_calls': played.store_calls,
        'stops': len(played.stops),
        'faults': dict(sorted(faults.items())),
        'not_counted': sum(bool(x.excuse) for x in played.losses),
        'verdict': 'failed' if played.faults else 'passed',
    }


@app.command()
def main(
    seeds: typing.Annotated[int, typer.Option(help='count of seeds')] = 1,
    first: typing.Annotated[int, typer.Option(help='first seed')] = 0,
    older: typing.Annotated[
        str, typer.Option('--from', help='commit of the build')
    ] = '',
    is_calm: typing.Annotated[
        bool, typer.Option('--calm', help='stops of entries only')
    ] = False,
    changes: typing.Annotated[
        list[str],
        typer.Option('--set', help='field of the load and its value, a=1'),
    ] = (),
):
    """Play seeds one after the other.

    The logs of a seed are kept if it fails, or if a request that a server ran
    had no whole answer for any reason.
    """
    has_failed = False
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tempfile.TemporaryDirectory() as name:
        build_folder = upgrade.ROOT
        if older:
            build_folder = upgrade.build(older, pathlib.Path(name))
        for seed in range(first, first + seeds):
            folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
            planned = series.make_series(seed, is_calm)
            planned = _change_load(planned, changes)
            played = asyncio.run(play(planned, seed, build_folder, folder))
            for line in report(seed, planned, played):
                print(line)
            summary = summarize(seed, played)
            has_failed = has_failed or bool(played.faults)
            if played.faults or played.losses:
                summary['logs'] = str(folder)
            else:
                shutil.rmtree(folder)
            print(json.dumps(summary), flush=True)
    if has_failed:
        raise typer.Exit(1)


if __name__ == '__main__':
    app()
