"""Compares orders of recovery after a lost failure domain.

The candidates: first come; least slack, as the queue does it; and value per
cost, after "Incremental Recovery in Distributed Stream Processing Systems"
(Su and Zhou), which recovers first what yields most for the resources that
are back. Here the value is the class, the cost the tokens to prefill again.
"""

import concurrent.futures
import statistics

from balsamdale import dispatch
from harness.measure import policies
from harness.measure import world

SEEDS = (1, 2, 3, 4, 5)
VALUES = {'urgent': 10.0, 'deadline': 5.0, 'standard': 1.0}


class FirstCome(dispatch.Dispatcher):
    """Serves requests in the order of their arrival."""

    def _rank(self, waiting, now_s):
        return (waiting.arrived_at_s,)


class ValuePerCost(dispatch.Dispatcher):
    """Serves what yields most for the slot time that it takes."""

    def _rank(self, waiting, now_s):
        value = VALUES[waiting.request.priority]
        return (-value / max(0.01, waiting.service_s), waiting.arrived_at_s)


ORDERS = {
    'first come': FirstCome,
    'least slack': dispatch.Dispatcher,
    'value per cost': ValuePerCost,
}


def run_one(task: tuple[str, str, int]) -> world.Result:
    """Run one cell with an order of recovery."""
    order, workload, seed = task
    cell = world.Cell(workload, order, 0.95, 'domain_lost', seed)

    def make(engines, generator, _cell):
        made = policies.OwnScheduler(engines, generator, dispatch.Policy())
        made.build_dispatcher = ORDERS[order]
        made.build_dispatchers()
        return made

    return world.run_cell(cell, make)


def main() -> None:
    """Print one row for each workload and order."""
    tasks = [
        (order, workload, seed)
        for workload in ('pollenwacht', 'tenaga')
        for order in ORDERS
        for seed in SEEDS
    ]
    rows = {}
    with concurrent.futures.ProcessPoolExecutor(7) as pool:
        for task, result in zip(tasks, pool.map(run_one, tasks)):
            rows.setdefault((task[1], task[0]), []).append(result)
    for (workload, order), results in rows.items():
        figures = ' '.join(
            f'{name} {statistics.mean(getattr(r, name) for r in results):.4g}'
            for name in ('p50_s', 'p95_s', 'p99_s', 'deadlines_met', 'wasted')
        )
        print(f'{workload:12} {order:15} {figures}')


if __name__ == '__main__':
    main()
