"""Processor time and system calls of a start, an idle second and a turn.

Real processes of a build serve turns on the project's stand-ins; the
kernel's counters of each process are read before and after. System calls are
counted by strace, if it is installed, while the same work is done once more.
The figures compare builds on one machine, side by side; they are no bounds.
"""

import asyncio
import collections
from collections import abc as collections_abc
import contextlib
import dataclasses
import json
import math
import os
import pathlib
import shutil
import signal
import statistics
import subprocess
import tempfile

import aiohttp
import typer

from harness import upgrade
from standins import platform_store

TURNS_PER_PROGRAM = 4
IDLE_S = 4.0
# Time until strace has attached to an instance.
ATTACH_S = 1.0
# System calls that send a message or a part of a response.
SENDS = ('sendto', 'sendmsg')
CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@dataclasses.dataclass(frozen=True)
class Costs:
    """Processor time in ms, and numbers of system calls.

    Attributes:
        entry_start_ms: from the start of an entry until it is ready.
        archive_start_ms: from the start of an archive until it is idle.
        idle_ms_per_s: of all instances, per instance and second.
        turn_ms: of all instances together, for one turn.
        start_calls: of an entry from its start until it is ready.
        idle_calls_per_s: of all instances, per instance and second.
        turn_calls: of all instances together, for one turn.
        turn_sends: those of them that send something.
    """

    entry_start_ms: float
    archive_start_ms: float
    idle_ms_per_s: float
    turn_ms: float
    start_calls: float = math.nan
    idle_calls_per_s: float = math.nan
    turn_calls: float = math.nan
    turn_sends: float = math.nan


def processor_ms(process_id: int) -> float:
    """Return the processor time that a process has used, in ms."""
    line = pathlib.Path(f'/proc/{process_id}/stat').read_text()
    fields = line.rpartition(')')[2].split()
    return 1000 * (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def measure(build_folder: pathlib.Path, turns: int) -> Costs:
    """Start a fleet of a build, let it idle and send it turns."""
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = await stack.enter_async_context(
            upgrade.MixedFleet(pathlib.Path(folder), False)
        )
        for name in (*upgrade.ARCHIVES, *upgrade.ENTRIES):
            await fleet.start(name, build_folder)
        entry_start_ms = statistics.median(
            _used_ms(fleet, name) for name in upgrade.ENTRIES
        )
        await asyncio.sleep(1.0)
        archive_start_ms = statistics.median(
            _used_ms(fleet, name) for name in upgrade.ARCHIVES
        )
        before_ms = _all_used_ms(fleet)
        await asyncio.sleep(IDLE_S)
        idle_ms_per_s = (_all_used_ms(fleet) - before_ms) / IDLE_S
        before_ms = _all_used_ms(fleet)
        took_s = await _send_turns(fleet, turns)
        used_ms = _all_used_ms(fleet) - before_ms - idle_ms_per_s * took_s
        costs = Costs(
            round(entry_start_ms),
            round(archive_start_ms),
            round(idle_ms_per_s / len(fleet.instances), 2),
            round(used_ms / turns, 2),
        )
        if shutil.which('strace'):
            costs = await _with_calls(
                costs, fleet, folder, build_folder, turns
            )
    return costs


async def _with_calls(costs, fleet, folder, build_folder, turns):
    """Add the system calls of the same work."""
    folder = pathlib.Path(folder)
    processes = [i.process.pid for i in fleet.instances.values()]
    idle = await count_calls(processes, folder, asyncio.sleep(IDLE_S))
    idle_per_s = collections.Counter(
        {name: count / IDLE_S for name, count in idle.items()}
    )
    started_s = asyncio.get_running_loop().time()
    busy = await count_calls(
        processes, folder, _send_turns(fleet, turns, 'traced')
    )
    took_s = asyncio.get_running_loop().time() - started_s - ATTACH_S
    of_turns = {
        name: count - idle_per_s[name] * took_s for name, count in busy.items()
    }
    name = upgrade.ENTRIES[-1]
    await fleet.stop(name)
    report = folder / 'start.calls'
    # With -D the instance, not strace, is this process's child.
    await fleet.start(
        name, build_folder, ('strace', '-D', '-f', '-c', '-o', str(report))
    )
    await fleet.stop(name)
    while not report.read_text():
        await asyncio.sleep(0.05)
    return dataclasses.replace(
        costs,
        start_calls=read_calls(report).total(),
        idle_calls_per_s=round(idle.total() / IDLE_S / len(processes)),
        turn_calls=round(sum(of_turns.values()) / turns),
        turn_sends=round(
            sum(of_turns.get(name, 0) for name in SENDS) / turns, 1
        ),
    )


async def count_calls(
    process_ids: collections_abc.Iterable[int],
    folder: pathlib.Path,
    work: collections_abc.Awaitable,
) -> collections.Counter[str]:
    """Return the system calls of processes during some work, by name."""
    reports = {pid: folder / f'{pid}.calls' for pid in process_ids}
    tracers = [
        subprocess.Popen(
            ('strace', '-f', '-c', '-o', str(report), '-p', str(process_id)),
            stderr=subprocess.DEVNULL,
        )
        for process_id, report in reports.items()
    ]
    await asyncio.sleep(ATTACH_S)
    await work
    for tracer in tracers:
        tracer.send_signal(signal.SIGINT)
    for tracer in tracers:
        tracer.wait()
    return sum(map(read_calls, reports.values()), collections.Counter())


def read_calls(report: pathlib.Path) -> collections.Counter[str]:
    """Return the number of each system call in a summary of strace."""
    counts = collections.Counter()
    for line in report.read_text().splitlines():
        fields = line.split()
        if fields and fields[0].replace('.', '').isdigit():
            counts[fields[-1]] += int(fields[3])
    counts.pop('total', None)
    return counts


def _used_ms(fleet, name):
    return processor_ms(fleet.instances[name].process.pid)


def _all_used_ms(fleet):
    return sum(_used_ms(fleet, name) for name in fleet.instances)


async def _send_turns(fleet, turns, prefix='timed'):
    """Send programs of turns, one after the other; return how long."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    address = fleet.instances[upgrade.ENTRIES[0]].entry_address
    parent_id = ''
    async with aiohttp.ClientSession() as session:
        for number in range(turns):
            if number % TURNS_PER_PROGRAM == 0:
                parent_id = ''
            turn_id = f'{prefix}-{number}'
            headers = {
                'Host': platform_store.HOST,
                'Api-Key': 'key-open',
                'X-Request-Id': turn_id,
                'X-Program-Id': f'{prefix}-{number // TURNS_PER_PROGRAM}p',
                'X-Token-Usage': '100,30',
                'X-Token-Budget': '100000',
                'X-Deadline-Ms': '3000',
            }
            if parent_id:
                headers['X-Previous-Turn'] = parent_id
            async with session.post(
                f'http://{address}/turns/x', data=b'input', headers=headers
            ) as response:
                await response.read()
                if response.status != 200:
                    raise RuntimeError(f'{turn_id} got {response.status}')
            parent_id = turn_id
    return loop.time() - started_s


@app.command()
def main(
    commit: list[str] = typer.Option(
        ['HEAD'], help='commits whose builds are measured'
    ),
    turns: int = typer.Option(200, help='turns to send', min=1),
    rounds: int = typer.Option(3, help='fleets of each build', min=1),
) -> None:
    """Print the costs of builds, one line of JSON for each."""
    with tempfile.TemporaryDirectory() as folder:
        builds = {
            name: upgrade.build(name, pathlib.Path(folder) / str(number))
            for number, name in enumerate(commit)
        }
        measured = {name: [] for name in builds}
        for _ in range(rounds):
            for name, build_folder in builds.items():
                measured[name].append(
                    asyncio.run(measure(build_folder, turns))
                )
    for name, costs in measured.items():
        least = {
            field.name: min(getattr(cost, field.name) for cost in costs)
            for field in dataclasses.fields(Costs)
        }
        print(json.dumps({'commit': name, **least}))


if __name__ == '__main__':
    app()
