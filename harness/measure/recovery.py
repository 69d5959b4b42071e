"""Compares dispatch orders after the loss of a failure domain.

The candidates: first come; least slack, as the dispatcher does it; and value
per cost, after "Incremental Recovery in Distributed Stream Processing
Systems" (Su and Zhou), which recovers first what yields most for the
restored resources. Here the value is that of the priority class, the cost
the service time, which includes the tokens to prefill again.
"""

import concurrent.futures
import statistics

from balsamdale import dispatch
from harness.measure import policies
from harness.measure import world

SEEDS = (1, 2, 3, 4, 5)
VALUES_BY_PRIORITY = {'urgent': 10.0, 'deadline': 5.0, 'standard': 1.0}


class FirstCome(dispatch.Dispatcher):
    """Serves requests in the order of their arrival."""

    def _rank(self, waiting, now_s):
        return (waiting.arrived_at_s,)


class ValuePerCost(dispatch.Dispatcher):
    """Serves first what has the highest value per second of a slot."""

    def _rank(self, waiting, now_s):
        value = VALUES_BY_PRIORITY[waiting.request.priority]
        return (-value / max(0.01, waiting.service_s), waiting.arrived_at_s)


DISPATCHERS_BY_ORDER = {
    'first come': FirstCome,
    'least slack': dispatch.Dispatcher,
    'value per cost': ValuePerCost,
}


def run_one(task: tuple[str, str, int]) -> world.Result:
    """Run one cell with one of the dispatch orders."""
    order, workload, seed = task
    cell = world.Cell(workload, order, 0.95, 'domain_lost', seed)

    def build_scheduler(engines, generator, _cell):
        scheduler = policies.OwnScheduler(
            engines, generator, dispatch.Policy()
        )
        scheduler.build_dispatcher = DISPATCHERS_BY_ORDER[order]
        scheduler.build_dispatchers()
        return scheduler

    return world.run_cell(cell, build_scheduler)


def main() -> None:
    """Print one row for each workload and order."""
    tasks = [
        (order, workload, seed)
        for workload in ('pollenwacht', 'tenaga')
        for order in DISPATCHERS_BY_ORDER
        for seed in SEEDS
    ]
    results_by_cell = {}
    with concurrent.futures.ProcessPoolExecutor(7) as pool:
        for task, result in zip(tasks, pool.map(run_one, tasks)):
            results_by_cell.setdefault((task[1], task[0]), []).append(result)
    for (workload, order), results in results_by_cell.items():
        figures = ' '.join(
            f'{name} {statistics.mean(getattr(r, name) for r in results):.4g}'
            for name in ('p50_s', 'p95_s', 'p99_s', 'deadlines_met', 'wasted')
        )
        print(f'{workload:12} {order:15} {figures}')


if __name__ == '__main__':
    main()
