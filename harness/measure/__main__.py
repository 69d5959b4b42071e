"""Runs the measurement and reports it."""

import concurrent.futures
import dataclasses
import json
import math
import pathlib
import subprocess
import time
import typing

import typer

from balsamdale import dispatch
from harness.measure import policies
from harness.measure import world

LOADS = (0.5, 0.8, 0.95, 1.2)
WORKLOADS = ('pollenwacht', 'tenaga')
BASELINES = ('b0', 'b1', 'b2')
SWITCHES = ('gate', 'park', 'export', 'release', 'order', 'early_refusal')
SEEDS = (1, 2, 3)
RESULTS = pathlib.Path(__file__).parent.parent.parent / 'docs' / 'measure'
WORKERS = 7

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def make(engines, generator, cell: world.Cell) -> policies.Scheduler:
    """Build the policy of a cell."""
    if cell.policy in BASELINES:
        lag_s = 5.0 if cell.fault == 'load_lag' else 0.5
        return policies.Baseline(engines, generator, cell.policy, lag_s)
    if cell.policy == 'no affinity':
        policy = dispatch.Policy()
        return policies.OwnScheduler(
            engines, generator, policy, affinity=False
        )
    switches = {}
    if cell.policy.startswith('no '):
        switches[cell.policy.removeprefix('no ')] = False
    return policies.OwnScheduler(
        engines, generator, dispatch.Policy(**switches)
    )


def cells() -> list[world.Cell]:
    """Return every cell, faults at 0.95 and ablations at 0.95, clean."""
    rows = []
    for workload in WORKLOADS:
        for seed in SEEDS:
            for policy in (*BASELINES, 'ours'):
                for load in LOADS:
                    rows.append((workload, policy, load, 'clean', seed))
                for fault in world.FAULTS:
                    rows.append((workload, policy, 0.95, fault, seed))
            for name in (*SWITCHES, 'affinity'):
                rows.append((workload, f'no {name}', 0.95, 'clean', seed))
    return [world.Cell(*row) for row in rows]


def measure(cell: world.Cell) -> world.Result:
    """Run one cell."""
    return world.run_cell(cell, make)


@app.command()
def run(
    plot: typing.Annotated[bool, typer.Option(help='Draw a plot.')] = True,
) -> None:
    """Measure every cell, print a table and write the results."""
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        results = list(pool.map(measure, cells(), chunksize=4))
    merged = merge(results)
    for line in table(merged):
        print(line)
    summary = summarise(merged)
    RESULTS.mkdir(parents=True, exist_ok=True)
    summary['decision_us'] = decision_us()
    _write(merged, summary)
    if plot:
        _plot(merged)
    print(json.dumps(summary))


def merge(results: list[world.Result]) -> dict:
    """Average the seeds of each cell; the key is without the seed."""
    grouped = {}
    for result in results:
        cell = result.cell
        key = (cell.workload, cell.fault, cell.load, cell.policy)
        grouped.setdefault(key, []).append(dataclasses.asdict(result))
    merged = {}
    for key, rows in grouped.items():
        names = [name for name in rows[0] if name != 'cell']
        merged[key] = {
            name: sum(row[name] for row in rows) / len(rows) for name in names
        }
    return merged


def table(merged: dict):
    """Yield a row for each cell."""
    yield (
        f'{"workload":12} {"fault":13} {"load":>4} {"policy":16} '
        f'{"p50 s":>8} {"p95 s":>8} {"p99 s":>8} {"met":>6} {"wasted":>6} '
        f'{"goodput":>8} {"refused":>7} {"left":>5} {"fair":>5}'
    )
    for key in sorted(merged, key=lambda k: (k[0], k[1], k[2])):
        workload, fault, load, policy = key
        row = merged[key]
        yield (
            f'{workload:12} {fault:13} {load:4.2f} {policy:16} '
            f'{row["p50_s"]:8.1f} {row["p95_s"]:8.1f} {row["p99_s"]:8.1f} '
            f'{row["deadlines_met"]:6.3f} {row["wasted"]:6.3f} '
            f'{row["goodput_tokens_per_s"]:8.0f} {row["refused"]:7.0f} '
            f'{row["unfinished"]:5.0f} {row["fairness"]:5.2f}'
        )


def summarise(merged: dict) -> dict:
    """Return ratios to B1 at 0.95, geometric means over all its cells."""
    latency, wasted, met = [], [], []
    for (workload, fault, load, policy), row in merged.items():
        if policy != 'ours' or load != 0.95:
            continue
        base = merged[workload, fault, load, 'b1']
        latency.append(row['p95_s'] / max(1e-9, base['p95_s']))
        wasted.append(max(1e-4, row['wasted']) / max(1e-4, base['wasted']))
        met.append(row['deadlines_met'])
    return {
        'latency_p95_vs_b1': round(_geometric(latency), 3),
        'wasted_cache_vs_b1': round(_geometric(wasted), 3),
        'deadlines_met': round(sum(met) / len(met), 4),
    }


def decision_us() -> float:
    """Time one decision of the dispatcher, in microseconds."""
    cell = world.Cell('tenaga', 'ours', 0.95, 'clean', 1)
    built = []

    def keep(engines, generator, of):
        built.append(make(engines, generator, of))
        return built[0]

    started_s = time.perf_counter()
    world.run_cell(cell, keep)
    took_s = time.perf_counter() - started_s
    return round(1e6 * took_s / max(1, built[0].decisions), 1)


def _geometric(values):
    return math.exp(sum(math.log(value) for value in values) / len(values))


def _write(merged, summary):
    commit = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],
        capture_output=True,
        text=True,
    ).stdout.strip()
    rows = [
        {'workload': k[0], 'fault': k[1], 'load': k[2], 'policy': k[3], **row}
        for k, row in sorted(merged.items())
    ]
    text = json.dumps(
        {'commit': commit, 'summary': summary, 'cells': rows}, indent=1
    )
    (RESULTS / 'results.json').write_text(text + '\n')


def _plot(merged):
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(10, 7))
    for row, workload in enumerate(WORKLOADS):
        for policy in (*BASELINES, 'ours'):
            picked = [merged[workload, 'clean', x, policy] for x in LOADS]
            axes[row][0].plot(
                LOADS, [r['p95_s'] for r in picked], marker='o', label=policy
            )
            axes[row][1].plot(
                LOADS, [r['wasted'] for r in picked], marker='o', label=policy
            )
        axes[row][0].set_yscale('log')
        axes[row][0].set_title(f'{workload}: program latency p95, s')
        axes[row][1].set_title(f'{workload}: wasted share of prompt tokens')
        for axis in axes[row]:
            axis.set_xlabel('load')
            axis.legend()
    figure.tight_layout()
    figure.savefig(RESULTS / 'results.png', dpi=80)


if __name__ == '__main__':
    app()
