"""Runs every cell of the measurement and reports the figures."""

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
POLICY_SWITCHES = (
    'gate',
    'park',
    'export',
    'release',
    'order',
    'early_refusal',
)
RANDOM_SEEDS = (1, 2, 3)
RESULTS_FOLDER = (
    pathlib.Path(__file__).parent.parent.parent / 'docs' / 'measure'
)
MAX_PROCESSES = 7

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def build_scheduler(
    engines, generator, cell: world.Cell
) -> policies.Scheduler:
    """Build the scheduler that a cell's policy names."""
    if cell.policy in BASELINES:
        report_interval_s = 5.0 if cell.fault == 'load_lag' else 0.5
        return policies.Baseline(
            engines, generator, cell.policy, report_interval_s
        )
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


def build_cells() -> list[world.Cell]:
    """Return every cell.

    Faults run at a load of 0.95. So do ablations, which are our policy with
    one switch off; they run without a fault.
    """
    cell_fields = []
    for workload in WORKLOADS:
        for seed in RANDOM_SEEDS:
            for policy in (*BASELINES, 'ours'):
                for load in LOADS:
                    cell_fields.append((workload, policy, load, 'clean', seed))
                for fault in world.FAULTS:
                    cell_fields.append((workload, policy, 0.95, fault, seed))
            for name in (*POLICY_SWITCHES, 'affinity'):
                cell_fields.append(
                    (workload, f'no {name}', 0.95, 'clean', seed)
                )
    return [world.Cell(*fields) for fields in cell_fields]


def measure_cell(cell: world.Cell) -> world.Result:
    """Run one cell."""
    return world.run_cell(cell, build_scheduler)


@app.command()
def run(
    plot: typing.Annotated[bool, typer.Option(help='Draw a plot.')] = True,
) -> None:
    """Measure every cell, print a table and write the results."""
    with concurrent.futures.ProcessPoolExecutor(MAX_PROCESSES) as pool:
        results = list(pool.map(measure_cell, build_cells(), chunksize=4))
    merged = average_seeds(results)
    for line in format_table(merged):
        print(line)
    summary = summarise(merged)
    RESULTS_FOLDER.mkdir(parents=True, exist_ok=True)
    summary['decision_us'] = measure_decision_us()
    _write_results(merged, summary)
    if plot:
        _plot(merged)
    print(json.dumps(summary))


def average_seeds(results: list[world.Result]) -> dict:
    """Return the means over the seeds, by workload, fault, load, policy."""
    results_by_key = {}
    for result in results:
        cell = result.cell
        key = (cell.workload, cell.fault, cell.load, cell.policy)
        results_by_key.setdefault(key, []).append(dataclasses.asdict(result))
    merged = {}
    for key, seed_results in results_by_key.items():
        figure_names = [
            figure_name
            for figure_name in seed_results[0]
            if figure_name != 'cell'
        ]
        merged[key] = {
            figure_name: sum(result[figure_name] for result in seed_results)
            / len(seed_results)
            for figure_name in figure_names
        }
    return merged


def format_table(merged: dict):
    """Yield a heading and a row for each cell."""
    yield (
        f'{"workload":12} {"fault":13} {"load":>4} {"policy":16} '
        f'{"p50 s":>8} {"p95 s":>8} {"p99 s":>8} {"met":>6} {"wasted":>6} '
        f'{"goodput":>8} {"refused":>7} {"left":>5} {"fair":>5}'
    )
    for key in sorted(
        merged, key=lambda cell_key: (cell_key[0], cell_key[1], cell_key[2])
    ):
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
    """Return geometric means of our ratios to B1 at a load of 0.95.

    The means are over all workloads and faults. The share of met deadlines
    is an arithmetic mean.
    """
    latency_ratios, wasted_ratios, met_shares = [], [], []
    for (workload, fault, load, policy), figures in merged.items():
        if policy != 'ours' or load != 0.95:
            continue
        baseline_figures = merged[workload, fault, load, 'b1']
        latency_ratios.append(
            figures['p95_s'] / max(1e-9, baseline_figures['p95_s'])
        )
        wasted_ratios.append(
            max(1e-4, figures['wasted'])
            / max(1e-4, baseline_figures['wasted'])
        )
        met_shares.append(figures['deadlines_met'])
    return {
        'latency_p95_vs_b1': round(_geometric_mean(latency_ratios), 3),
        'wasted_cache_vs_b1': round(_geometric_mean(wasted_ratios), 3),
        'deadlines_met': round(sum(met_shares) / len(met_shares), 4),
    }


def measure_decision_us() -> float:
    """Return the mean time of a decision in microseconds.

    The time of the fake engines is included.
    """
    cell = world.Cell('tenaga', 'ours', 0.95, 'clean', 1)
    schedulers = []

    def build_and_keep(engines, generator, simulated_cell):
        schedulers.append(build_scheduler(engines, generator, simulated_cell))
        return schedulers[0]

    started_s = time.perf_counter()
    world.run_cell(cell, build_and_keep)
    took_s = time.perf_counter() - started_s
    return round(1e6 * took_s / max(1, schedulers[0].decisions), 1)


def _geometric_mean(values):
    return math.exp(sum(math.log(value) for value in values) / len(values))


def _write_results(merged, summary):
    commit = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],
        capture_output=True,
        text=True,
    ).stdout.strip()
    rows = [
        {
            'workload': key[0],
            'fault': key[1],
            'load': key[2],
            'policy': key[3],
            **figures,
        }
        for key, figures in sorted(merged.items())
    ]
    text = json.dumps(
        {'commit': commit, 'summary': summary, 'cells': rows}, indent=1
    )
    (RESULTS_FOLDER / 'results.json').write_text(text + '\n')


def _plot(merged):
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(10, 7))
    for row, workload in enumerate(WORKLOADS):
        for policy in (*BASELINES, 'ours'):
            figures = [
                merged[workload, 'clean', load, policy] for load in LOADS
            ]
            axes[row][0].plot(
                LOADS,
                [cell_figures['p95_s'] for cell_figures in figures],
                marker='o',
                label=policy,
            )
            axes[row][1].plot(
                LOADS,
                [cell_figures['wasted'] for cell_figures in figures],
                marker='o',
                label=policy,
            )
        axes[row][0].set_yscale('log')
        axes[row][0].set_title(f'{workload}: program latency p95, s')
        axes[row][1].set_title(f'{workload}: wasted share of prompt tokens')
        for axis in axes[row]:
            axis.set_xlabel('load')
            axis.legend()
    figure.tight_layout()
    figure.savefig(RESULTS_FOLDER / 'results.png', dpi=80)


if __name__ == '__main__':
    app()
