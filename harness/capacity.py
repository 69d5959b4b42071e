"""Writes docs/CAPACITY.md: measured costs projected to the target size."""

import dataclasses
import json
import pathlib

import typer

DOCS_FOLDER = pathlib.Path(__file__).parent.parent / 'docs'

NODE_COUNT = 1200
ENGINE_COUNT = 5500
REQUESTS_PER_S = 15000
PROGRAM_COUNT = 180000
HISTORY_TOKENS = 410000
BYTES_PER_TOKEN = 4
MEAN_HISTORY_SHARE = 0.25
CHANGES_PER_DAY = 26000
RESTARTS_PER_DAY = 2400
FAILURES_PER_DAY = 39
FAILURE_DOMAIN_COUNT = 19
DISK_NODE_SHARE = 0.1
SHARD_COUNT = 8192
DAY_S = 86400
CORE_SHARE_BUDGET = 0.014
MEMORY_BUDGET_MB = 256
CONTROL_BYTES_PER_S_BUDGET = 6000
WRITES_PER_S_BUDGET = 300
READS_PER_S_BUDGET = 2000
CONFIGURATION_BUDGET_S = 4.0
FIRST_TOKEN_BUDGET_S = 0.52
RELAYS_PER_DOMAIN = 2
OWNER_ENTRY_BYTES = 90
DECLARATION_SERVER_BYTES = 260
BYTES_PER_MEGABYTE = 1e6

app = typer.Typer(add_completion=False)


@dataclasses.dataclass(frozen=True)
class CapacityRow:
    """One row of the table on the page.

    Attributes:
        role: the role that bears the cost.
        what: what is counted.
        slope: the measured or counted slope.
        run: the run that gave the slope.
        at_size: the value at the target size.
        budget: the limit that the value is compared with.
        mechanism: what keeps the cost within the budget.
        verdict: 'holds', 'does not hold: …' or 'not measured'.
    """

    role: str
    what: str
    slope: str
    run: str
    at_size: str
    budget: str
    mechanism: str
    verdict: str


@app.command()
def run() -> None:
    """Calculate the figures, write the page and print its rows."""
    bench_results = json.loads(
        (DOCS_FOLDER / 'measure' / 'bench.json').read_text()
    )
    policy_results = json.loads(
        (DOCS_FOLDER / 'measure' / 'results.json').read_text()
    )
    rows = [
        *_idle_rows(bench_results),
        *_owner_rows(bench_results),
        *_dispatcher_rows(policy_results),
        *_journal_rows(bench_results),
        *_relay_rows(bench_results),
        *_platform_rows(bench_results),
    ]
    (DOCS_FOLDER / 'CAPACITY.md').write_text(
        _format_page(rows, bench_results, policy_results)
    )
    for row in rows:
        print(f'{row.role:12} {row.what:38} {row.at_size:24} {row.verdict}')


def _verdict(value, budget, remedy):
    return 'holds' if value <= budget else f'does not hold: {remedy}'


def _idle_rows(bench_results):
    """Yield the idle costs, from their slope over fleet sizes."""
    idle_results = bench_results['idle']
    run_name = 'make bench, idle fleets'
    instance_counts = ', '.join(
        str(idle_result['instances']) for idle_result in idle_results
    )
    for key, what, unit, budget, unit_factor in (
        (
            'core_share',
            'processor, idle',
            '% of a core',
            CORE_SHARE_BUDGET,
            100,
        ),
        (
            'bytes_per_s',
            'control traffic, idle',
            'B/s',
            CONTROL_BYTES_PER_S_BUDGET,
            1,
        ),
    ):
        value = _extrapolate(idle_results, key)
        values_text = ', '.join(
            f'{idle_result[key] * unit_factor:.4g}'
            for idle_result in idle_results
        )
        yield CapacityRow(
            'every role',
            what,
            f'{values_text} {unit} at {instance_counts} instances',
            run_name,
            f'{value * unit_factor:.3g} {unit}',
            f'{budget * unit_factor:.3g} {unit}',
            'ring heartbeats: pings per node do not grow with the fleet',
            _verdict(
                value, budget, 'what still grows with the fleet is not found'
            ),
        )
    rss_megabytes = idle_results[-1]['rss_bytes'] / BYTES_PER_MEGABYTE
    yield CapacityRow(
        'every role',
        'memory, idle',
        f'{rss_megabytes:.0f} MB at {idle_results[-1]["instances"]} instances',
        run_name,
        f'{rss_megabytes:.0f} MB',
        f'{MEMORY_BUDGET_MB} MB',
        'libraries dominate',
        _verdict(rss_megabytes, MEMORY_BUDGET_MB, 'fewer libraries'),
    )


def _extrapolate(idle_results, key):
    """Extrapolate from the two largest fleets to the target size.

    A negative slope counts as zero.
    """
    smaller, largest = idle_results[-2], idle_results[-1]
    increase = largest[key] - smaller[key]
    slope = max(0.0, increase / (largest['instances'] - smaller['instances']))
    return largest[key] + slope * (NODE_COUNT - largest['instances'])


def _owner_rows(bench_results):
    load_results, memory_results = (
        bench_results['load'],
        bench_results['memory'],
    )
    programs_per_node = PROGRAM_COUNT / NODE_COUNT
    history_bytes = HISTORY_TOKENS * BYTES_PER_TOKEN * MEAN_HISTORY_SHARE
    one_turn_bytes = memory_results['bytes_per_program']
    idle_rss_bytes = bench_results['idle'][-1]['rss_bytes']
    memory_megabytes = (
        idle_rss_bytes
        + programs_per_node * (one_turn_bytes + 2 * history_bytes)
    ) / BYTES_PER_MEGABYTE
    yield CapacityRow(
        'owner',
        'memory of programs, the idle process included',
        f'{one_turn_bytes} B a program of one turn, '
        f'plus two copies of its history',
        'make bench, memory; history from the letter at a quarter',
        f'{memory_megabytes:.0f} MB',
        f'{MEMORY_BUDGET_MB} MB',
        'state and log of every program stay in memory today',
        _verdict(
            memory_megabytes,
            MEMORY_BUDGET_MB,
            'keep an index of idle programs and read them back',
        ),
    )
    turns_per_s = REQUESTS_PER_S / NODE_COUNT
    core_share = turns_per_s * load_results['cpu_s_per_turn']
    yield CapacityRow(
        'entry, owner',
        'processor of a turn, all instances',
        f'{load_results["cpu_s_per_turn"] * 1000:.3g} ms',
        'make bench, load',
        f'{turns_per_s:.3g} turns/s: {core_share * 100:.3g}% of a core',
        'the data path has no budget of its own',
        'one turn is one forward, one grant, about four appends',
        'holds' if core_share < 1 else 'does not hold: more than one core',
    )
    yield CapacityRow(
        'entry, owner',
        'latency added to the engine, median',
        f'{load_results["added_median_s"] * 1000:.3g} ms '
        f'(p99 {load_results["added_p99_s"] * 1000:.3g} ms)',
        'make bench, load',
        f'{load_results["added_median_s"] * 1000:.3g} ms',
        f'{FIRST_TOKEN_BUDGET_S * 1000:.0f} ms to the first token',
        'two appends before the engine call, group commit',
        _verdict(
            load_results['added_median_s'],
            FIRST_TOKEN_BUDGET_S / 2,
            'fewer syncs',
        ),
    )
    shards_per_node = SHARD_COUNT / NODE_COUNT
    yield CapacityRow(
        'owner',
        'known owners of shards',
        f'{OWNER_ENTRY_BYTES} B an entry (counted)',
        'counted from the message',
        f'{SHARD_COUNT * OWNER_ENTRY_BYTES / BYTES_PER_MEGABYTE:.2g} MB; '
        f'owns {shards_per_node:.2g}',
        f'{MEMORY_BUDGET_MB} MB',
        'announcements at takeover, one message a peer',
        'holds',
    )


def _dispatcher_rows(policy_results):
    decision_us = policy_results['summary'].get('decision_us', 0)
    engines_per_node = ENGINE_COUNT / NODE_COUNT
    core_share = decision_us * 1e-6 * REQUESTS_PER_S / NODE_COUNT
    yield CapacityRow(
        'dispatcher',
        'processor of decisions',
        f'{decision_us} us a decision, fake engines included',
        'make measure',
        f'{engines_per_node:.2g} queues, {core_share * 100:.2g}% of a core',
        f'{CORE_SHARE_BUDGET * 100:.2g}% of a core',
        'one queue an engine, on a live instance of its failure domain',
        _verdict(core_share, CORE_SHARE_BUDGET, 'bound what a poll looks at'),
    )
    yield CapacityRow(
        'dispatcher',
        'quotes a call',
        '1 at home, else one for each of at most 24 engines, then 2 sampled',
        'counted from the code',
        '1 to 3 a call',
        f'{CONTROL_BYTES_PER_S_BUDGET} B/s',
        'sampling above 24 engines',
        'not measured: bytes of quotes at 5,500 engines',
    )


def _journal_rows(bench_results):
    bytes_per_program = bench_results['memory']['disk_bytes_per_program']
    turns_per_s = REQUESTS_PER_S / (NODE_COUNT * DISK_NODE_SHARE)
    yield CapacityRow(
        'journal',
        'bytes on disk, a tenth of the nodes with a disk',
        f'{bytes_per_program} B a program of one turn, three copies',
        'make bench, memory',
        f'{turns_per_s * bytes_per_program * DAY_S / 1e9:.3g} GB a day a disk',
        'a small disk',
        'one file, one sync for all that arrive together',
        'does not hold: no segments or snapshots; the file only grows',
    )
    history_bytes = HISTORY_TOKENS * BYTES_PER_TOKEN * MEAN_HISTORY_SHARE
    disk_count = NODE_COUNT * DISK_NODE_SHARE
    memory_megabytes = (
        3 * PROGRAM_COUNT * history_bytes / disk_count / BYTES_PER_MEGABYTE
    )
    yield CapacityRow(
        'journal',
        'memory of logs, a tenth of the nodes with a disk',
        'the records themselves',
        'history from the letter at a quarter',
        f'{memory_megabytes:.0f} MB',
        f'{MEMORY_BUDGET_MB} MB',
        'logs are kept in memory beside the file',
        _verdict(
            memory_megabytes,
            MEMORY_BUDGET_MB,
            'keep offsets and read the file',
        ),
    )


def _relay_rows(bench_results):
    declaration_bytes = ENGINE_COUNT * DECLARATION_SERVER_BYTES
    relay_count = FAILURE_DOMAIN_COUNT * RELAYS_PER_DOMAIN
    changes_per_s = CHANGES_PER_DAY / DAY_S
    yield CapacityRow(
        'relay',
        'pushes of the whole declaration',
        f'{DECLARATION_SERVER_BYTES} B a server (counted)',
        'counted from the examples',
        f'{declaration_bytes / BYTES_PER_MEGABYTE:.2g} MB a change, '
        f'{changes_per_s * declaration_bytes / 1000:.0f} KB/s',
        f'{CONTROL_BYTES_PER_S_BUDGET / 1000:.0f} KB/s',
        f'{relay_count} relays push to their failure domain',
        'does not hold: push only the parts that changed',
    )
    yield CapacityRow(
        'relay',
        'time until in force',
        f'{bench_results["failures"]["leaving_server_last_work_s"]} s until a '
        f'leaving server got its last work, 9 instances',
        'make bench, failures',
        'one push, or one heartbeat round',
        f'{CONFIGURATION_BUDGET_S} s',
        'watch, push, pull by revision in heartbeats',
        'not measured beyond 9 instances',
    )


def _platform_rows(bench_results):
    calls_per_claim = bench_results['load']['key_value_calls_per_claim']
    claims_per_day = (
        (RESTARTS_PER_DAY + FAILURES_PER_DAY) * SHARD_COUNT / NODE_COUNT
    )
    calls_per_s = claims_per_day * calls_per_claim / DAY_S
    yield CapacityRow(
        'platform',
        'calls for takeovers',
        f'{calls_per_claim} calls a claim, a create included',
        'make bench, load',
        f'{calls_per_s:.2g} calls/s on average',
        f'{WRITES_PER_S_BUDGET} writes/s',
        'one compare-and-swap a takeover',
        _verdict(calls_per_s, WRITES_PER_S_BUDGET, 'fewer shards'),
    )
    lost_shards = SHARD_COUNT / FAILURE_DOMAIN_COUNT
    yield CapacityRow(
        'platform',
        'a failure domain lost',
        f'{lost_shards:.0f} shards claimed at once',
        'counted',
        f'{lost_shards * 2:.0f} calls in a burst, '
        f'{lost_shards * 2 / WRITES_PER_S_BUDGET:.1f} s',
        f'{WRITES_PER_S_BUDGET} writes/s',
        'claims spread over the live instances',
        'holds',
    )
    idle_calls_per_s = bench_results['idle'][-1]['key_value_calls_per_s']
    yield CapacityRow(
        'platform',
        'idle calls',
        f'{idle_calls_per_s} calls/s an instance (the list every 10 s)',
        'make bench, idle fleets',
        f'{idle_calls_per_s * NODE_COUNT:.0f} calls/s',
        f'{READS_PER_S_BUDGET} reads/s',
        'watches only on relays',
        _verdict(
            idle_calls_per_s * NODE_COUNT,
            READS_PER_S_BUDGET,
            'read the list from peers',
        ),
    )
    list_bytes = NODE_COUNT * 150
    yield CapacityRow(
        'platform',
        'bytes of the instance list',
        '150 B an instance (counted)',
        'counted',
        f'{list_bytes / 10 / 1000:.0f} KB/s a node at one read in 10 s',
        f'{CONTROL_BYTES_PER_S_BUDGET / 1000:.0f} KB/s',
        'every instance reads the whole list',
        'does not hold: let relays read it and heartbeats carry changes',
    )


def _format_page(rows, bench_results, policy_results):
    lines = [
        '# Capacity at the target size',
        '',
        f'Written by `make capacity` from docs/measure/bench.json (commit '
        f'{bench_results["commit"]}) and docs/measure/results.json (commit '
        f'{policy_results["commit"]}); do not edit. The target is in '
        f'[DEVELOPERS.md](../DEVELOPERS.md).',
        '',
        'A slope over fleets is the line through the two largest measured '
        'ones, drawn on to 1,200 and never downwards. Verdicts compare with '
        "the letter's budgets; a figure that was counted from code rather "
        'than run says so.',
        '',
        '| role | what | slope | from | at 1,200 nodes | budget | '
        'carried by | verdict |',
        '| --- | --- | --- | --- | --- | --- | --- | --- |',
    ]
    lines += [
        '| ' + ' | '.join(dataclasses.astuple(row)) + ' |' for row in rows
    ]
    lines += ['', *_format_worst_hours(bench_results)]
    return '\n'.join(lines) + '\n'


def _format_worst_hours(bench_results):
    failures = bench_results['failures']
    return [
        '## The worst hours',
        '',
        f'- **2,400 restarts a day.** A planned stop drains, hands its shards '
        f'over and cuts nothing: {failures["cut_by_planned_stop"]} of 12 '
        f'turns cut in the run. On average one restart in 36 s, '
        f'{SHARD_COUNT / NODE_COUNT:.1f} handovers each.',
        f'- **An instance lost.** From kill -9 of an owner to the next token '
        f'{failures["owner_killed_to_next_token_s"]} s in the run (target '
        f'2 s).',
        f'- **A disk lost.** All shards had three copies again after '
        f'{failures["copies_restored_s"]} s in the run (-1: not within '
        f'40 s); small logs.',
        '- **A failure domain lost.** Measured for the policy only (make '
        'measure, domain_lost): no deadline missed at 0.95 of capacity. '
        'Takeover of 431 shards at once: not measured.',
        '- **Regions apart for an hour.** Not measured. A region that cannot '
        'reach the key-value service keeps serving the shards it owns and '
        'claims none.',
    ]


if __name__ == '__main__':
    app()
