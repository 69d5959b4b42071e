"""Processor time of a start, of an idle second and of a turn.

Real processes of a build serve turns on the project's stand-ins; the
kernel's counters of each process are read before and after. The figures
compare builds on one machine, side by side; they are no bounds.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import statistics
import tempfile

import aiohttp
import typer

from harness import upgrade
from standins import platform_store

TURNS_PER_PROGRAM = 4
IDLE_S = 4.0
CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@dataclasses.dataclass(frozen=True)
class Costs:
    """Processor time in ms.

    Attributes:
        entry_start_ms: from the start of an entry until it is ready.
        archive_start_ms: from the start of an archive until it is idle.
        idle_ms_per_s: of all instances, per instance and second.
        turn_ms: of all instances together, for one turn.
    """

    entry_start_ms: float
    archive_start_ms: float
    idle_ms_per_s: float
    turn_ms: float


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
    return Costs(
        round(entry_start_ms),
        round(archive_start_ms),
        round(idle_ms_per_s / len(fleet.instances), 2),
        round(used_ms / turns, 2),
    )


def _used_ms(fleet, name):
    return processor_ms(fleet.instances[name].process.pid)


def _all_used_ms(fleet):
    return sum(_used_ms(fleet, name) for name in fleet.instances)


async def _send_turns(fleet, turns):
    """Send programs of turns, one after the other; return how long."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    address = fleet.instances[upgrade.ENTRIES[0]].entry_address
    parent_id = ''
    async with aiohttp.ClientSession() as session:
        for number in range(turns):
            if number % TURNS_PER_PROGRAM == 0:
                parent_id = ''
            turn_id = f'turn-{number}'
            headers = {
                'Host': platform_store.HOST,
                'Api-Key': 'key-open',
                'X-Request-Id': turn_id,
                'X-Program-Id': f'program-{number // TURNS_PER_PROGRAM}',
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
