"""Measures latency, CPU time, memory and control traffic of processes."""

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

RESULTS_FOLDER = pathlib.Path(__file__).parent.parent / 'docs' / 'measure'
FLEET_SIZES = (3, 9, 27, 60)
IDLE_DURATION_S = 8.0
CALLER_COUNT = 16
TURNS_PER_CALLER = 12
MEMORY_PROGRAM_COUNT = 1000
CPU_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run() -> None:
    """Run every measurement and write the figures."""
    figures = asyncio.run(_measure_all())
    RESULTS_FOLDER.mkdir(parents=True, exist_ok=True)
    text = json.dumps(figures, indent=1)
    (RESULTS_FOLDER / 'bench.json').write_text(text + '\n')
    print(json.dumps(figures))


async def _measure_all():
    commit = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],
        capture_output=True,
        text=True,
    ).stdout.strip()
    figures = {'commit': commit, 'idle': []}
    for size in FLEET_SIZES:
        print(f'idle control cost at {size} instances', flush=True)
        figures['idle'].append(await _measure_on_fleet(size, _measure_idle))
    print('load on 9 instances', flush=True)
    figures['load'] = await _measure_on_fleet(9, _measure_load)
    print('memory of programs', flush=True)
    figures['memory'] = await _measure_on_fleet(3, _measure_memory)
    print('failures', flush=True)
    figures['failures'] = await _measure_on_fleet(
        9, _measure_failures, disks=5
    )
    return figures


async def _measure_on_fleet(size, measure, disks=3):
    with tempfile.TemporaryDirectory() as folder:
        running_fleet = fleet.Fleet(
            pathlib.Path(folder), 'pollenwacht', size, disks
        )
        try:
            await running_fleet.start()
            return await measure(running_fleet)
        finally:
            await running_fleet.close()


def _process_ids(running_fleet):
    return [member.process.pid for member in running_fleet.members.values()]


def _cpu_s(process_ids):
    total_ticks = 0
    for process_id in process_ids:
        fields = (
            pathlib.Path(f'/proc/{process_id}/stat').read_text().split(') ')[1]
        )
        user_ticks, system_ticks = fields.split()[11:13]
        total_ticks += int(user_ticks) + int(system_ticks)
    return total_ticks / CPU_TICKS_PER_S


def _rss_bytes(process_ids):
    statm_texts = [
        pathlib.Path(f'/proc/{process_id}/statm').read_text()
        for process_id in process_ids
    ]
    return [int(text.split()[1]) * PAGE_BYTES for text in statm_texts]


async def _link_bytes(running_fleet):
    total_bytes = 0.0
    for name in running_fleet.members:
        total_bytes += await running_fleet.fetch_metric(
            name, 'balsamdale_link_sent'
        )
        total_bytes += await running_fleet.fetch_metric(
            name, 'balsamdale_link_received'
        )
    return total_bytes


async def _measure_idle(running_fleet):
    """Measure the cost of an instance without calls."""
    await asyncio.sleep(5)
    process_ids = _process_ids(running_fleet)
    key_value_calls = (await running_fleet.fetch_counts('keyvalue'))['calls']
    link_bytes, cpu_s = await _link_bytes(running_fleet), _cpu_s(process_ids)
    started_s = time.monotonic()
    await asyncio.sleep(IDLE_DURATION_S)
    took_s = time.monotonic() - started_s
    cpu_s = _cpu_s(process_ids) - cpu_s
    link_bytes = await _link_bytes(running_fleet) - link_bytes
    key_value_calls = (await running_fleet.fetch_counts('keyvalue'))[
        'calls'
    ] - key_value_calls
    instance_count = len(process_ids)
    return {
        'instances': instance_count,
        'core_share': round(cpu_s / took_s / instance_count, 5),
        'bytes_per_s': round(link_bytes / took_s / instance_count, 1),
        'key_value_calls_per_s': round(
            key_value_calls / took_s / instance_count, 4
        ),
        'rss_bytes': round(statistics.mean(_rss_bytes(process_ids))),
    }


async def _measure_load(running_fleet):
    """Measure added latency, and CPU time and link bytes per turn."""
    for server in running_fleet.declaration.servers_of('forecast'):
        await running_fleet.set_switches(
            server.name, decode_s_per_token=0.0005, prefill_s_per_token=0
        )
    engine_latencies_s = await _measure_engine_latency(running_fleet)
    process_ids = _process_ids(running_fleet)
    started_s = time.monotonic()
    claim_calls = (await running_fleet.fetch_counts('keyvalue'))['calls']
    await asyncio.gather(
        *(
            _create_program(running_fleet, index)
            for index in range(CALLER_COUNT)
        )
    )
    claim_calls = (await running_fleet.fetch_counts('keyvalue'))[
        'calls'
    ] - claim_calls
    link_bytes, cpu_s = await _link_bytes(running_fleet), _cpu_s(process_ids)
    started_s = time.monotonic()
    latencies_by_caller = await asyncio.gather(
        *(
            _measure_turns(running_fleet, index)
            for index in range(CALLER_COUNT)
        )
    )
    took_s = time.monotonic() - started_s
    turn_count = CALLER_COUNT * TURNS_PER_CALLER
    cpu_s = _cpu_s(process_ids) - cpu_s
    link_bytes = await _link_bytes(running_fleet) - link_bytes
    latencies_s = sorted(
        latency_s
        for caller_latencies_s in latencies_by_caller
        for latency_s in caller_latencies_s
    )
    engine_median_s = statistics.median(engine_latencies_s)
    return {
        'turns': turn_count,
        'turns_per_s': round(turn_count / took_s, 1),
        'cpu_s_per_turn': round(cpu_s / turn_count, 5),
        'turns_per_core_s': round(turn_count / cpu_s, 1),
        'link_bytes_per_turn': round(link_bytes / turn_count),
        'engine_median_s': round(engine_median_s, 4),
        'added_median_s': round(
            statistics.median(latencies_s) - engine_median_s, 4
        ),
        'added_p99_s': round(
            latencies_s[int(0.99 * turn_count)] - max(engine_latencies_s), 4
        ),
        'key_value_calls_per_claim': round(claim_calls / CALLER_COUNT, 2),
    }


async def _measure_engine_latency(running_fleet):
    """Return the latencies of similar questions sent straight to an engine."""
    server = running_fleet.declaration.servers_of('forecast')[0]
    url = f'http://{running_fleet.addresses[server.name]}/v1/chat/completions'
    latencies_s = []
    for index in range(40):
        body = {
            'model': 'm',
            'messages': [{'role': 'user', 'content': f'question {index}'}],
            'max_tokens': 512,
            'user': f'direct-{index}',
        }
        started_s = time.monotonic()
        async with running_fleet.session.post(
            url, json=body, headers={'X-Request-Id': f'd{index}'}
        ) as response:
            await response.read()
        latencies_s.append(time.monotonic() - started_s)
    return latencies_s


async def _create_program(running_fleet, index):
    caller = running_fleet.caller(f'c{index}')
    await caller.fetch_addresses()
    await caller.create(f'load-{index}', 'follow-up')


async def _measure_turns(running_fleet, index):
    caller = running_fleet.caller(f'c{index}')
    await caller.fetch_addresses()
    latencies_s = []
    for turn_number in range(TURNS_PER_CALLER):
        started_s = time.monotonic()
        call_result = await caller.turn(
            f'load-{index}', f't{turn_number}', f'question {turn_number}'
        )
        if call_result.code != 'ok':
            raise AssertionError(call_result)
        latencies_s.append(time.monotonic() - started_s)
    return latencies_s


async def _measure_memory(running_fleet):
    """Measure the memory of programs with one turn each."""
    for server in running_fleet.declaration.servers_of('forecast'):
        await running_fleet.set_switches(server.name, decode_s_per_token=0)
    process_ids = _process_ids(running_fleet)
    rss_bytes_before = sum(_rss_bytes(process_ids))
    concurrency_limit = asyncio.Semaphore(40)

    async def create_and_run(index):
        async with concurrency_limit:
            caller = running_fleet.caller('m')
            await caller.create(f'memory-{index}', 'follow-up')
            await caller.turn(f'memory-{index}', 't', 'question ' * 40)

    await asyncio.gather(
        *(create_and_run(index) for index in range(MEMORY_PROGRAM_COUNT))
    )
    rss_growth_bytes = sum(_rss_bytes(process_ids)) - rss_bytes_before
    disk_bytes = sum(
        path.stat().st_size
        for path in running_fleet.folder.glob('data/*/*.log')
    )
    return {
        'programs': MEMORY_PROGRAM_COUNT,
        'bytes_per_program': round(rss_growth_bytes / MEMORY_PROGRAM_COUNT),
        'disk_bytes_per_program': round(disk_bytes / MEMORY_PROGRAM_COUNT),
    }


async def _measure_failures(running_fleet):
    """Measure the effects of failures and of planned stops."""
    return {
        'owner_killed_to_next_token_s': await _measure_owner_kill(
            running_fleet
        ),
        'leaving_server_last_work_s': await _measure_leaving_server(
            running_fleet
        ),
        'cut_by_planned_stop': await _count_cut_turns(running_fleet),
        'copies_restored_s': await _measure_disk_loss(running_fleet),
    }


async def _measure_owner_kill(running_fleet):
    caller = running_fleet.caller('k')
    await caller.create('killed', 'follow-up')
    for server in running_fleet.declaration.servers_of('forecast'):
        await running_fleet.set_switches(server.name, decode_s_per_token=0.05)
    owner_id = (await caller.view('killed'))['owner_id']
    other_addresses = [
        member.instance.entry_address
        for name, member in running_fleet.members.items()
        if name != owner_id
    ]
    url = f'http://{other_addresses[0]}/v1/programs/killed/turns'
    headers = {
        'X-Caller': 'k',
        'Idempotency-Key': 't',
        'Accept': 'text/event-stream',
    }
    killed_s = 0.0
    async with running_fleet.session.post(
        url, json={'text': 'hello'}, headers=headers
    ) as response:
        async for raw_line in response.content:
            if not raw_line.startswith(b'event: delta'):
                continue
            if not killed_s:
                running_fleet.kill_instance(owner_id)
                killed_s = time.monotonic()
            elif time.monotonic() - killed_s > 0.3:
                break
    took_s = time.monotonic() - killed_s
    running_fleet.start_instance(owner_id)
    await running_fleet.wait_ready(running_fleet.members)
    return round(took_s, 2)


async def _measure_leaving_server(running_fleet):
    for server in running_fleet.declaration.servers_of('forecast'):
        await running_fleet.set_switches(server.name, decode_s_per_token=0.002)
    caller = running_fleet.caller('l')
    for index in range(6):
        await caller.create(f'leave-{index}', 'follow-up')

    async def run_turns(index):
        turn_number = 0
        while True:
            await caller.turn(
                f'leave-{index}', f'{turn_number}', f'q{turn_number}'
            )
            turn_number += 1

    tasks = [asyncio.create_task(run_turns(index)) for index in range(6)]
    await asyncio.sleep(1)
    name_line = 'name = "forecast-1"\n'
    changed_text = running_fleet.text.replace(
        name_line, name_line + 'state = "leaving"\n'
    )
    accepted_s = time.monotonic()
    await running_fleet.accept(changed_text)
    last_request_s, previous_count = 0.0, -1
    while time.monotonic() - accepted_s < 6:
        count = (await running_fleet.fetch_counts('forecast-1')).get(
            'requests', 0
        )
        if count != previous_count:
            previous_count, last_request_s = (
                count,
                time.monotonic() - accepted_s,
            )
        await asyncio.sleep(0.05)
    for task in tasks:
        task.cancel()
    return round(last_request_s, 2)


async def _count_cut_turns(running_fleet):
    caller = running_fleet.caller('s')
    names = [f'stop-{index}' for index in range(12)]
    for name in names:
        await caller.create(name, 'follow-up')
    for server in running_fleet.declaration.servers_of('forecast'):
        await running_fleet.set_switches(server.name, decode_s_per_token=0.02)
    tasks = [
        asyncio.create_task(running_fleet.caller('s').turn(name, 't', 'hello'))
        for name in names
    ]
    await asyncio.sleep(0.3)
    await running_fleet.stop_instance('entry-9')
    await running_fleet.stop_instance('entry-8')
    call_results = await asyncio.gather(*tasks)
    for name in ('entry-8', 'entry-9'):
        running_fleet.start_instance(name)
    await running_fleet.wait_ready(running_fleet.members)
    return sum(
        call_result.code != 'ok' or call_result.restarts > 0
        for call_result in call_results
    )


async def _measure_disk_loss(running_fleet):
    caller = running_fleet.caller('d')
    for index in range(10):
        await caller.create(f'disk-{index}', 'follow-up')
    killed_id = 'entry-1'
    started_s = time.monotonic()
    running_fleet.kill_instance(killed_id)
    data_folder = running_fleet.folder / 'data' / killed_id
    for path in data_folder.iterdir():
        path.unlink()
    while time.monotonic() - started_s < 40:
        await asyncio.sleep(0.25)
        missing_replicas = 0.0
        for name, member in running_fleet.members.items():
            if name != killed_id and member.process.poll() is None:
                missing_replicas += await running_fleet.fetch_metric(
                    name, 'balsamdale_programs_short'
                )
        if not missing_replicas and time.monotonic() - started_s > 3:
            return round(time.monotonic() - started_s, 2)
    return -1.0


if __name__ == '__main__':
    app()
