"""Writes docs/CAPACITY.md from the measured slopes."""

import dataclasses
import json
import pathlib

import typer

DOCS = pathlib.Path(__file__).parent.parent / 'docs'

NODES = 1200
ENGINES = 5500
REQUESTS_PER_S = 15000
PROGRAMS = 180000
HISTORY_TOKENS = 410000
BYTES_PER_TOKEN = 4
MEAN_HISTORY_SHARE = 0.25
CHANGES_A_DAY = 26000
RESTARTS_A_DAY = 2400
FAILURES_A_DAY = 39
DOMAINS = 19
DISK_SHARE = 0.1
SHARDS = 8192
DAY_S = 86400
CORE_BUDGET = 0.014
MEMORY_BUDGET_MB = 256
CONTROL_BUDGET_BYTES_S = 6000
WRITES_BUDGET_S = 300
READS_BUDGET_S = 2000
IN_FORCE_BUDGET_S = 4.0
FIRST_TOKEN_BUDGET_S = 0.52
RELAYS_PER_DOMAIN = 2
OWNER_ENTRY_BYTES = 90
DECLARATION_SERVER_BYTES = 260
MEGABYTE = 1e6

app = typer.Typer(add_completion=False)


@dataclasses.dataclass(frozen=True)
class Row:
    """One line of the page.

    Attributes:
        role: the role it concerns.
        what: what is counted.
        slope: the measured or counted slope.
        run: the run that gave it.
        at_size: the value at the target's size.
        budget: what it is held against.
        mechanism: what carries it.
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
    """Work the figures out and write the page."""
    bench = json.loads((DOCS / 'measure' / 'bench.json').read_text())
    policy = json.loads((DOCS / 'measure' / 'results.json').read_text())
    rows = [
        *_control(bench),
        *_owner(bench),
        *_dispatcher(policy),
        *_journal(bench),
        *_relay(bench),
        *_platform(bench),
    ]
    (DOCS / 'CAPACITY.md').write_text(_page(rows, bench, policy))
    for row in rows:
        print(f'{row.role:12} {row.what:38} {row.at_size:24} {row.verdict}')


def _verdict(value, budget, otherwise):
    return 'holds' if value <= budget else f'does not hold: {otherwise}'


def _control(bench):
    """Yield what membership costs, from its slope over fleet sizes."""
    rows = bench['idle']
    run_name = 'make bench, idle fleets'
    sizes = ', '.join(str(row['instances']) for row in rows)
    for key, what, unit, budget, scale in (
        ('core_share', 'processor, idle', '% of a core', CORE_BUDGET, 100),
        (
            'bytes_per_s',
            'control traffic, idle',
            'B/s',
            CONTROL_BUDGET_BYTES_S,
            1,
        ),
    ):
        value = _at_fleet(rows, key)
        shown = ', '.join(f'{row[key] * scale:.4g}' for row in rows)
        yield Row(
            'every role',
            what,
            f'{shown} {unit} at {sizes} instances',
            run_name,
            f'{value * scale:.3g} {unit}',
            f'{budget * scale:.3g} {unit}',
            'ring heartbeats: pings per node do not grow with the fleet',
            _verdict(
                value, budget, 'what still grows with the fleet is not found'
            ),
        )
    base = rows[-1]['rss_bytes'] / MEGABYTE
    yield Row(
        'every role',
        'memory, idle',
        f'{base:.0f} MB at {rows[-1]["instances"]} instances',
        run_name,
        f'{base:.0f} MB',
        f'{MEMORY_BUDGET_MB} MB',
        'libraries dominate',
        _verdict(base, MEMORY_BUDGET_MB, 'fewer libraries'),
    )


def _at_fleet(rows, key):
    """Extend the line through the two largest fleets, never downwards."""
    first, last = rows[-2], rows[-1]
    grown = last[key] - first[key]
    slope = max(0.0, grown / (last['instances'] - first['instances']))
    return last[key] + slope * (NODES - last['instances'])


def _owner(bench):
    load, memory = bench['load'], bench['memory']
    per_node = PROGRAMS / NODES
    history = HISTORY_TOKENS * BYTES_PER_TOKEN * MEAN_HISTORY_SHARE
    one_turn = memory['bytes_per_program']
    base = bench['idle'][-1]['rss_bytes']
    held = (base + per_node * (one_turn + 2 * history)) / MEGABYTE
    yield Row(
        'owner',
        'memory of programs, the idle process included',
        f'{one_turn} B a program of one turn, plus two copies of its history',
        'make bench, memory; history from the letter at a quarter',
        f'{held:.0f} MB',
        f'{MEMORY_BUDGET_MB} MB',
        'state and log of every program stay in memory today',
        _verdict(
            held,
            MEMORY_BUDGET_MB,
            'keep an index of idle programs and read them back',
        ),
    )
    turns = REQUESTS_PER_S / NODES
    share = turns * load['cpu_s_per_turn']
    yield Row(
        'entry, owner',
        'processor of a turn, all instances',
        f'{load["cpu_s_per_turn"] * 1000:.3g} ms',
        'make bench, load',
        f'{turns:.3g} turns/s: {share * 100:.3g}% of a core',
        'the data path has no budget of its own',
        'one turn is one forward, one grant, about four appends',
        'holds' if share < 1 else 'does not hold: more than one core',
    )
    yield Row(
        'entry, owner',
        'latency added to the engine, median',
        f'{load["added_median_s"] * 1000:.3g} ms '
        f'(p99 {load["added_p99_s"] * 1000:.3g} ms)',
        'make bench, load',
        f'{load["added_median_s"] * 1000:.3g} ms',
        f'{FIRST_TOKEN_BUDGET_S * 1000:.0f} ms to the first token',
        'two appends before the engine call, group commit',
        _verdict(
            load['added_median_s'], FIRST_TOKEN_BUDGET_S / 2, 'fewer syncs'
        ),
    )
    claims = SHARDS / NODES
    yield Row(
        'owner',
        'known owners of shards',
        f'{OWNER_ENTRY_BYTES} B an entry (counted)',
        'counted from the message',
        f'{SHARDS * OWNER_ENTRY_BYTES / MEGABYTE:.2g} MB; owns {claims:.2g}',
        f'{MEMORY_BUDGET_MB} MB',
        'announcements at takeover, one message a peer',
        'holds',
    )


def _dispatcher(policy):
    decision_us = policy['summary'].get('decision_us', 0)
    engines = ENGINES / NODES
    share = decision_us * 1e-6 * REQUESTS_PER_S / NODES
    yield Row(
        'dispatcher',
        'processor of decisions',
        f'{decision_us} us a decision, fake engines included',
        'make measure',
        f'{engines:.2g} queues, {share * 100:.2g}% of a core',
        f'{CORE_BUDGET * 100:.2g}% of a core',
        'one queue an engine, on a live instance of its failure domain',
        _verdict(share, CORE_BUDGET, 'bound what a poll looks at'),
    )
    yield Row(
        'dispatcher',
        'quotes a call',
        '1 at home, else one for each of at most 24 engines, then 2 sampled',
        'counted from the code',
        '1 to 3 a call',
        f'{CONTROL_BUDGET_BYTES_S} B/s',
        'sampling above 24 engines',
        'not measured: bytes of quotes at 5,500 engines',
    )


def _journal(bench):
    per_program = bench['memory']['disk_bytes_per_program']
    turns = REQUESTS_PER_S / (NODES * DISK_SHARE)
    yield Row(
        'journal',
        'bytes on disk, a tenth of the nodes with a disk',
        f'{per_program} B a program of one turn, three copies',
        'make bench, memory',
        f'{turns * per_program * DAY_S / 1e9:.3g} GB a day a disk',
        'a small disk',
        'one file, one sync for all that arrive together',
        'does not hold: no segments or snapshots; the file only grows',
    )
    history = HISTORY_TOKENS * BYTES_PER_TOKEN * MEAN_HISTORY_SHARE
    disks = NODES * DISK_SHARE
    held = 3 * PROGRAMS * history / disks / MEGABYTE
    yield Row(
        'journal',
        'memory of logs, a tenth of the nodes with a disk',
        'the records themselves',
        'history from the letter at a quarter',
        f'{held:.0f} MB',
        f'{MEMORY_BUDGET_MB} MB',
        'logs are kept in memory beside the file',
        _verdict(held, MEMORY_BUDGET_MB, 'keep offsets and read the file'),
    )


def _relay(bench):
    text = ENGINES * DECLARATION_SERVER_BYTES
    relays = DOMAINS * RELAYS_PER_DOMAIN
    rate = CHANGES_A_DAY / DAY_S
    yield Row(
        'relay',
        'pushes of the whole declaration',
        f'{DECLARATION_SERVER_BYTES} B a server (counted)',
        'counted from the examples',
        f'{text / MEGABYTE:.2g} MB a change, {rate * text / 1000:.0f} KB/s',
        f'{CONTROL_BUDGET_BYTES_S / 1000:.0f} KB/s',
        f'{relays} relays push to their failure domain',
        'does not hold: push only the parts that changed',
    )
    yield Row(
        'relay',
        'time until in force',
        f'{bench["failures"]["leaving_server_last_work_s"]} s until a '
        f'leaving server got its last work, 9 instances',
        'make bench, failures',
        'one push, or one heartbeat round',
        f'{IN_FORCE_BUDGET_S} s',
        'watch, push, pull by revision in heartbeats',
        'not measured beyond 9 instances',
    )


def _platform(bench):
    calls = bench['load']['key_value_calls_per_claim']
    claims_a_day = (RESTARTS_A_DAY + FAILURES_A_DAY) * SHARDS / NODES
    per_s = claims_a_day * calls / DAY_S
    yield Row(
        'platform',
        'calls for takeovers',
        f'{calls} calls a claim, a create included',
        'make bench, load',
        f'{per_s:.2g} calls/s on average',
        f'{WRITES_BUDGET_S} writes/s',
        'one compare-and-swap a takeover',
        _verdict(per_s, WRITES_BUDGET_S, 'fewer shards'),
    )
    lost = SHARDS / DOMAINS
    yield Row(
        'platform',
        'a failure domain lost',
        f'{lost:.0f} shards claimed at once',
        'counted',
        f'{lost * 2:.0f} calls in a burst, {lost * 2 / WRITES_BUDGET_S:.1f} s',
        f'{WRITES_BUDGET_S} writes/s',
        'claims spread over the live instances',
        'holds',
    )
    idle = bench['idle'][-1]['key_value_calls_per_s']
    yield Row(
        'platform',
        'idle calls',
        f'{idle} calls/s an instance (the list every 10 s)',
        'make bench, idle fleets',
        f'{idle * NODES:.0f} calls/s',
        f'{READS_BUDGET_S} reads/s',
        'watches only on relays',
        _verdict(idle * NODES, READS_BUDGET_S, 'read the list from peers'),
    )
    list_bytes = NODES * 150
    yield Row(
        'platform',
        'bytes of the instance list',
        '150 B an instance (counted)',
        'counted',
        f'{list_bytes / 10 / 1000:.0f} KB/s a node at one read in 10 s',
        f'{CONTROL_BUDGET_BYTES_S / 1000:.0f} KB/s',
        'every instance reads the whole list',
        'does not hold: let relays read it and heartbeats carry changes',
    )


def _page(rows, bench, policy):
    lines = [
        '# Capacity at the target size',
        '',
        f'Written by `make capacity` from docs/measure/bench.json (commit '
        f'{bench["commit"]}) and docs/measure/results.json (commit '
        f'{policy["commit"]}); do not edit. The target is in '
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
    lines += ['', *_worst_hours(bench)]
    return '\n'.join(lines) + '\n'


def _worst_hours(bench):
    failures = bench['failures']
    return [
        '## The worst hours',
        '',
        f'- **2,400 restarts a day.** A planned stop drains, hands its shards '
        f'over and cuts nothing: {failures["cut_by_planned_stop"]} of 12 '
        f'turns cut in the run. On average one restart in 36 s, '
        f'{SHARDS / NODES:.1f} handovers each.',
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
