"""Measures the real processes: latency, processor, memory, control traffic."""

import asyncio
import json
import os
import pathlib
import statistics
import subprocess
import tempfile
import time

import typer

from harness import fleet

RESULTS = pathlib.Path(__file__).parent.parent / 'docs' / 'measure'
SIZES = (3, 9, 27, 60)
IDLE_S = 8.0
CALLERS = 16
TURNS = 12
MEMORY_PROGRAMS = 1000
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run() -> None:
    """Run every part and write the figures."""
    figures = asyncio.run(_run())
    RESULTS.mkdir(parents=True, exist_ok=True)
    text = json.dumps(figures, indent=1)
    (RESULTS / 'bench.json').write_text(text + '\n')
    print(json.dumps(figures))


async def _run():
    commit = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],
        capture_output=True,
        text=True,
    ).stdout.strip()
    figures = {'commit': commit, 'idle': []}
    for size in SIZES:
        print(f'idle control cost at {size} instances', flush=True)
        figures['idle'].append(await _in_fleet(size, _idle))
    print('load on 9 instances', flush=True)
    figures['load'] = await _in_fleet(9, _load)
    print('memory of programs', flush=True)
    figures['memory'] = await _in_fleet(3, _memory)
    print('failures', flush=True)
    figures['failures'] = await _in_fleet(9, _failures, disks=5)
    return figures


async def _in_fleet(size, part, disks=3):
    with tempfile.TemporaryDirectory() as folder:
        running = fleet.Fleet(pathlib.Path(folder), 'pollenwacht', size, disks)
        try:
            await running.start()
            return await part(running)
        finally:
            await running.close()


def _pids(running):
    return [member.process.pid for member in running.members.values()]


def _cpu_s(pids):
    total = 0
    for pid in pids:
        fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split(') ')[1]
        user, system = fields.split()[11:13]
        total += int(user) + int(system)
    return total / TICKS_PER_S


def _rss_bytes(pids):
    rows = [pathlib.Path(f'/proc/{p}/statm').read_text() for p in pids]
    return [int(row.split()[1]) * PAGE_BYTES for row in rows]


async def _link_bytes(running):
    total = 0.0
    for name in running.members:
        total += await running.fetch_metric(name, 'balsamdale_link_sent')
        total += await running.fetch_metric(name, 'balsamdale_link_received')
    return total


async def _idle(running):
    """Measure what an instance costs when nothing is asked of it."""
    await asyncio.sleep(5)
    pids = _pids(running)
    calls = (await running.fetch_counts('keyvalue'))['calls']
    sent, cpu_s = await _link_bytes(running), _cpu_s(pids)
    started_s = time.monotonic()
    await asyncio.sleep(IDLE_S)
    took_s = time.monotonic() - started_s
    cpu_s = _cpu_s(pids) - cpu_s
    sent = await _link_bytes(running) - sent
    calls = (await running.fetch_counts('keyvalue'))['calls'] - calls
    size = len(pids)
    return {
        'instances': size,
        'core_share': round(cpu_s / took_s / size, 5),
        'bytes_per_s': round(sent / took_s / size, 1),
        'key_value_calls_per_s': round(calls / took_s / size, 4),
        'rss_bytes': round(statistics.mean(_rss_bytes(pids))),
    }


async def _load(running):
    """Measure added latency, and processor and messages per turn."""
    for server in running.declaration.servers_of('forecast'):
        await running.set_switches(
            server.name, decode_s_per_token=0.0005, prefill_s_per_token=0
        )
    direct = await _direct(running)
    pids = _pids(running)
    first = time.monotonic()
    claim_calls = (await running.fetch_counts('keyvalue'))['calls']
    await asyncio.gather(*(_create(running, i) for i in range(CALLERS)))
    claim_calls = (await running.fetch_counts('keyvalue'))[
        'calls'
    ] - claim_calls
    sent, cpu_s = await _link_bytes(running), _cpu_s(pids)
    first = time.monotonic()
    rows = await asyncio.gather(*(_turns(running, i) for i in range(CALLERS)))
    took_s = time.monotonic() - first
    turns = CALLERS * TURNS
    cpu_s = _cpu_s(pids) - cpu_s
    sent = await _link_bytes(running) - sent
    latencies = sorted(value for row in rows for value in row)
    engine_s = statistics.median(direct)
    return {
        'turns': turns,
        'turns_per_s': round(turns / took_s, 1),
        'cpu_s_per_turn': round(cpu_s / turns, 5),
        'turns_per_core_s': round(turns / cpu_s, 1),
        'link_bytes_per_turn': round(sent / turns),
        'engine_median_s': round(engine_s, 4),
        'added_median_s': round(statistics.median(latencies) - engine_s, 4),
        'added_p99_s': round(latencies[int(0.99 * turns)] - max(direct), 4),
        'key_value_calls_per_claim': round(claim_calls / CALLERS, 2),
    }


async def _direct(running):
    """Time an engine's own answers to the same kind of question."""
    server = running.declaration.servers_of('forecast')[0]
    url = f'http://{running.addresses[server.name]}/v1/chat/completions'
    times = []
    for index in range(40):
        body = {
            'model': 'm',
            'messages': [{'role': 'user', 'content': f'question {index}'}],
            'max_tokens': 512,
            'user': f'direct-{index}',
        }
        started_s = time.monotonic()
        async with running.session.post(
            url, json=body, headers={'X-Request-Id': f'd{index}'}
        ) as response:
            await response.read()
        times.append(time.monotonic() - started_s)
    return times


async def _create(running, index):
    caller = running.caller(f'c{index}')
    await caller.fetch_addresses()
    await caller.create(f'load-{index}', 'follow-up')


async def _turns(running, index):
    caller = running.caller(f'c{index}')
    await caller.fetch_addresses()
    times = []
    for number in range(TURNS):
        started_s = time.monotonic()
        answer = await caller.turn(
            f'load-{index}', f't{number}', f'question {number}'
        )
        if answer.code != 'ok':
            raise AssertionError(answer)
        times.append(time.monotonic() - started_s)
    return times


async def _memory(running):
    """Measure the memory of programs with one turn each."""
    for server in running.declaration.servers_of('forecast'):
        await running.set_switches(server.name, decode_s_per_token=0)
    pids = _pids(running)
    before = sum(_rss_bytes(pids))
    room = asyncio.Semaphore(40)

    async def one(index):
        async with room:
            caller = running.caller('m')
            await caller.create(f'memory-{index}', 'follow-up')
            await caller.turn(f'memory-{index}', 't', 'question ' * 40)

    await asyncio.gather(*(one(i) for i in range(MEMORY_PROGRAMS)))
    grown = sum(_rss_bytes(pids)) - before
    disk = sum(
        path.stat().st_size for path in running.folder.glob('data/*/*.log')
    )
    return {
        'programs': MEMORY_PROGRAMS,
        'bytes_per_program': round(grown / MEMORY_PROGRAMS),
        'disk_bytes_per_program': round(disk / MEMORY_PROGRAMS),
    }


async def _failures(running):
    """Time what happens after failures."""
    return {
        'owner_killed_to_next_token_s': await _kill_owner(running),
        'leaving_server_last_work_s': await _leave_server(running),
        'cut_by_planned_stop': await _planned_stop(running),
        'copies_restored_s': await _lose_disk(running),
    }


async def _kill_owner(running):
    caller = running.caller('k')
    await caller.create('killed', 'follow-up')
    for server in running.declaration.servers_of('forecast'):
        await running.set_switches(server.name, decode_s_per_token=0.05)
    owner = (await caller.view('killed'))['owner_id']
    others = [
        m.instance.entry_address
        for n, m in running.members.items()
        if n != owner
    ]
    url = f'http://{others[0]}/v1/programs/killed/turns'
    headers = {
        'X-Caller': 'k',
        'Idempotency-Key': 't',
        'Accept': 'text/event-stream',
    }
    killed_s = 0.0
    async with running.session.post(
        url, json={'text': 'hello'}, headers=headers
    ) as response:
        async for raw in response.content:
            if not raw.startswith(b'event: delta'):
                continue
            if not killed_s:
                running.kill_instance(owner)
                killed_s = time.monotonic()
            elif time.monotonic() - killed_s > 0.3:
                break
    took_s = time.monotonic() - killed_s
    running.start_instance(owner)
    await running.wait_ready(running.members)
    return round(took_s, 2)


async def _leave_server(running):
    for server in running.declaration.servers_of('forecast'):
        await running.set_switches(server.name, decode_s_per_token=0.002)
    caller = running.caller('l')
    for index in range(6):
        await caller.create(f'leave-{index}', 'follow-up')

    async def work(index):
        number = 0
        while True:
            await caller.turn(f'leave-{index}', f'{number}', f'q{number}')
            number += 1

    tasks = [asyncio.create_task(work(index)) for index in range(6)]
    await asyncio.sleep(1)
    head = 'name = "forecast-1"\n'
    leaving = running.text.replace(head, head + 'state = "leaving"\n')
    accepted_s = time.monotonic()
    await running.accept(leaving)
    last_s, before = 0.0, -1
    while time.monotonic() - accepted_s < 6:
        count = (await running.fetch_counts('forecast-1')).get('requests', 0)
        if count != before:
            before, last_s = count, time.monotonic() - accepted_s
        await asyncio.sleep(0.05)
    for task in tasks:
        task.cancel()
    return round(last_s, 2)


async def _planned_stop(running):
    caller = running.caller('s')
    names = [f'stop-{index}' for index in range(12)]
    for name in names:
        await caller.create(name, 'follow-up')
    for server in running.declaration.servers_of('forecast'):
        await running.set_switches(server.name, decode_s_per_token=0.02)
    tasks = [
        asyncio.create_task(running.caller('s').turn(name, 't', 'hello'))
        for name in names
    ]
    await asyncio.sleep(0.3)
    await running.stop_instance('entry-9')
    await running.stop_instance('entry-8')
    answers = await asyncio.gather(*tasks)
    for name in ('entry-8', 'entry-9'):
        running.start_instance(name)
    await running.wait_ready(running.members)
    return sum(a.code != 'ok' or a.restarts > 0 for a in answers)


async def _lose_disk(running):
    caller = running.caller('d')
    for index in range(10):
        await caller.create(f'disk-{index}', 'follow-up')
    victim = 'entry-1'
    started_s = time.monotonic()
    running.kill_instance(victim)
    data = running.folder / 'data' / victim
    for path in data.iterdir():
        path.unlink()
    while time.monotonic() - started_s < 40:
        await asyncio.sleep(0.25)
        short = 0.0
        for name, member in running.members.items():
            if name != victim and member.process.poll() is None:
                short += await running.fetch_metric(
                    name, 'balsamdale_programs_short'
                )
        if not short and time.monotonic() - started_s > 3:
            return round(time.monotonic() - started_s, 2)
    return -1.0


if __name__ == '__main__':
    app()
