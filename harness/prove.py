"""Runs the failure proofs, and each against its broken builds.

A point of the brief counts as proved when its proofs pass and each broken
build named by a proof turns that proof red.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import typing

import typer

POINTS = {
    1: 'calls of a program run in order',
    2: 'history is never lost or mixed',
    3: 'budgets hold',
    4: 'no engine memory for ended programs',
    5: 'whole answers to their own requests',
    6: 'not run means not run',
    7: 'non-idempotent requests at most once',
    8: 'leaving servers get no new work',
    9: 'planned stops cut nothing',
    10: 'configuration in force, never back',
}
WORKERS = 6
FOLDER = pathlib.Path(__file__).parent.parent / 'tests' / 'proofs'

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@dataclasses.dataclass(frozen=True)
class Proof:
    """One test with the point it proves and its mutations."""

    test: str
    point: int
    mutations: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a run of some proofs gave.

    Attributes:
        mutation: the broken build, or '' for the real one.
        passed: tests that passed.
        failed: tests that failed.
    """

    mutation: str
    passed: frozenset[str]
    failed: frozenset[str]


@app.command()
def run(
    seeds: typing.Annotated[int, typer.Option(help='Seeds a proof.')] = 100,
) -> None:
    """Run every proof and print one row for each point."""
    proofs = collect()
    outcomes = asyncio.run(_run_all(proofs, seeds))
    raise typer.Exit(_report(proofs, outcomes, seeds))


def collect() -> list[Proof]:
    """Read the proofs and their markers from pytest."""
    lines = subprocess.run(
        [sys.executable, '-m', 'pytest', '-q', '--collect-only', str(FOLDER)],
        capture_output=True,
        text=True,
        env={**os.environ, 'BALSAMDALE_LIST_PROOFS': '1'},
        check=True,
    ).stdout.splitlines()
    rows = (line for line in lines if line.startswith('proof '))
    return [_parse(row) for row in rows]


def _parse(row):
    _, test, point, *mutations = row.split(' ')
    return Proof(test, int(point), tuple(m for m in mutations if m))


async def _run_all(proofs, seeds):
    room = asyncio.Semaphore(WORKERS)
    names = sorted({name for proof in proofs for name in proof.mutations})
    modules = sorted({proof.test.partition('::')[0] for proof in proofs})
    jobs = [_run(room, '', [module], seeds) for module in modules]
    for name in names:
        tests = [p.test for p in proofs if name in p.mutations]
        jobs.append(_run(room, name, tests, seeds))
    return await asyncio.gather(*jobs)


async def _run(room, mutation, tests, seeds):
    async with room:
        with tempfile.NamedTemporaryFile(suffix='.txt') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *('-m', 'pytest', '-q', '-rA', '--tb=line'),
                *('--mutate', mutation, '--seeds', str(seeds), *tests),
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, 'PYTHONHASHSEED': '0'},
            )
            await process.wait()
            text = pathlib.Path(log.name).read_text()
        outcome = Outcome(
            mutation,
            frozenset(re.findall(r'^PASSED (\S+)', text, re.M)),
            frozenset(re.findall(r'^(?:FAILED|ERROR) (\S+)', text, re.M)),
        )
        print(_line(outcome, len(tests)), file=sys.stderr, flush=True)
        return outcome


def _line(outcome, asked):
    what = outcome.mutation or 'the real build'
    counts = f'{len(outcome.passed)} passed, {len(outcome.failed)} failed'
    return f'{what}: {counts} of {asked} asked'


def _report(proofs, outcomes, seeds):
    real = [o for o in outcomes if not o.mutation]
    passed = frozenset().union(*(o.passed for o in real))
    broken = {o.mutation: o for o in outcomes if o.mutation}
    proved = red = 0
    print(f'{"point":40} {"tests":>5} {"broken builds":>13}  result')
    for point, title in POINTS.items():
        rows = [p for p in proofs if p.point == point]
        failing = [p.test for p in rows if p.test not in passed]
        unseen = list(_unseen(rows, broken))
        count = len({name for p in rows for name in p.mutations})
        is_proved = bool(rows) and not failing and not unseen
        proved += is_proved
        red += len(failing)
        result = 'proved' if is_proved else 'not proved'
        label = f'{point:2} {title}'
        print(f'{label:40} {len(rows):5} {count:13}  {result}')
        for name in failing:
            print(f'   red: {name}')
        for name in unseen:
            print(f'   a broken build went unseen: {name}')
    cases = _cases(proofs, seeds)
    print(
        json.dumps(
            {'points': 10, 'proved': proved, 'cases': cases, 'red': red}
        )
    )
    return 0 if proved == len(POINTS) else 1


def _unseen(rows, broken):
    """Yield broken builds that turned none of their proofs red."""
    for name in sorted({name for row in rows for name in row.mutations}):
        tests = {row.test for row in rows if name in row.mutations}
        if not tests & broken[name].failed:
            yield name


def _cases(proofs, seeds):
    """Count tried cases: shard worlds, swept sessions and single tests."""
    worlds = seeds * 30
    swept = 301 * len({p.test.partition('::')[0] for p in proofs})
    return worlds + swept + len(proofs)


if __name__ == '__main__':
    sys.exit(app())
