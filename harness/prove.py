"""Runs the failure proofs on the real build and on broken builds.

A point of the brief counts as proved when its proofs pass and each broken
build that they name makes at least one of them fail.
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
MAX_PROCESSES = 6
PROOFS_FOLDER = pathlib.Path(__file__).parent.parent / 'tests' / 'proofs'

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@dataclasses.dataclass(frozen=True)
class Proof:
    """One test with the point it proves and its mutations."""

    test: str
    point: int
    mutations: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The result of one pytest run of some proofs.

    Attributes:
        mutation: name of the broken build, or '' for the real one.
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
    raise typer.Exit(_print_report(proofs, outcomes, seeds))


def collect() -> list[Proof]:
    """Read the proofs and their markers from pytest."""
    lines = subprocess.run(
        [
            sys.executable,
            '-m',
            'pytest',
            '-q',
            '--collect-only',
            str(PROOFS_FOLDER),
        ],
        capture_output=True,
        text=True,
        env={**os.environ, 'BALSAMDALE_LIST_PROOFS': '1'},
        check=True,
    ).stdout.splitlines()
    proof_lines = (line for line in lines if line.startswith('proof '))
    return [_parse_proof(proof_line) for proof_line in proof_lines]


def _parse_proof(proof_line):
    _, test, point, *mutations = proof_line.split(' ')
    return Proof(test, int(point), tuple(name for name in mutations if name))


async def _run_all(proofs, seeds):
    process_slots = asyncio.Semaphore(MAX_PROCESSES)
    mutation_names = sorted(
        {
            mutation_name
            for proof in proofs
            for mutation_name in proof.mutations
        }
    )
    modules = sorted({proof.test.partition('::')[0] for proof in proofs})
    runs = [
        _run_proofs(process_slots, '', [module], seeds) for module in modules
    ]
    for mutation_name in mutation_names:
        tests = [
            proof.test for proof in proofs if mutation_name in proof.mutations
        ]
        runs.append(_run_proofs(process_slots, mutation_name, tests, seeds))
    return await asyncio.gather(*runs)


async def _run_proofs(process_slots, mutation, tests, seeds):
    async with process_slots:
        with tempfile.NamedTemporaryFile(suffix='.txt') as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *('-m', 'pytest', '-q', '-rA', '--tb=line'),
                *('--mutate', mutation, '--seeds', str(seeds), *tests),
                stdout=log_file,
                stderr=subprocess.STDOUT,
                env={**os.environ, 'PYTHONHASHSEED': '0'},
            )
            await process.wait()
            text = pathlib.Path(log_file.name).read_text()
        outcome = Outcome(
            mutation,
            frozenset(re.findall(r'^PASSED (\S+)', text, re.M)),
            frozenset(re.findall(r'^(?:FAILED|ERROR) (\S+)', text, re.M)),
        )
        print(
            _describe_outcome(outcome, len(tests)), file=sys.stderr, flush=True
        )
        return outcome


def _describe_outcome(outcome, test_count):
    build_name = outcome.mutation or 'the real build'
    counts = f'{len(outcome.passed)} passed, {len(outcome.failed)} failed'
    return f'{build_name}: {counts} of {test_count} asked'


def _print_report(proofs, outcomes, seeds):
    real_outcomes = [outcome for outcome in outcomes if not outcome.mutation]
    passed = frozenset().union(*(outcome.passed for outcome in real_outcomes))
    outcomes_by_mutation = {
        outcome.mutation: outcome for outcome in outcomes if outcome.mutation
    }
    proved = failed_count = 0
    print(f'{"point":40} {"tests":>5} {"broken builds":>13}  result')
    for point, title in POINTS.items():
        point_proofs = [proof for proof in proofs if proof.point == point]
        failing_tests = [
            proof.test for proof in point_proofs if proof.test not in passed
        ]
        undetected = list(
            _undetected_mutations(point_proofs, outcomes_by_mutation)
        )
        build_count = len(
            {name for proof in point_proofs for name in proof.mutations}
        )
        is_proved = bool(point_proofs) and not failing_tests and not undetected
        proved += is_proved
        failed_count += len(failing_tests)
        result = 'proved' if is_proved else 'not proved'
        label = f'{point:2} {title}'
        print(f'{label:40} {len(point_proofs):5} {build_count:13}  {result}')
        for name in failing_tests:
            print(f'   red: {name}')
        for name in undetected:
            print(f'   a broken build went unseen: {name}')
    cases = _count_cases(proofs, seeds)
    print(
        json.dumps(
            {
                'points': 10,
                'proved': proved,
                'cases': cases,
                'red': failed_count,
            }
        )
    )
    return 0 if proved == len(POINTS) else 1


def _undetected_mutations(point_proofs, outcomes_by_mutation):
    """Yield broken builds that failed none of the proofs that name them."""
    for name in sorted(
        {name for proof in point_proofs for name in proof.mutations}
    ):
        tests = {
            proof.test for proof in point_proofs if name in proof.mutations
        }
        if not tests & outcomes_by_mutation[name].failed:
            yield name


def _count_cases(proofs, seeds):
    """Count the cases tried.

    Simulated shards (30 per seed), sessions with a fault swept over their
    time (301 per module) and single tests.
    """
    simulations = seeds * 30
    swept_sessions = 301 * len(
        {proof.test.partition('::')[0] for proof in proofs}
    )
    return simulations + swept_sessions + len(proofs)


if __name__ == '__main__':
    sys.exit(app())
