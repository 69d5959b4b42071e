"""Runs a demonstration: a deployment of real processes serves programs."""

import asyncio
import collections
import dataclasses
import json
import pathlib
import sys
import tempfile
import time
import tomllib
import typing

import typer

from harness import fleet

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@dataclasses.dataclass
class CallResults:
    """Results of all calls, as the callers saw them."""

    programs: int = 0
    turns: int = 0
    results: list = dataclasses.field(default_factory=list)


@app.command()
def run(
    deployment: str = 'pollenwacht',
    folder: typing.Annotated[
        str, typer.Option(help='Folder to keep logs and data in.')
    ] = '',
) -> None:
    """Serve the example programs of a deployment."""
    if folder:
        exit_code = asyncio.run(_run(deployment, pathlib.Path(folder)))
    else:
        with tempfile.TemporaryDirectory() as temporary_folder:
            exit_code = asyncio.run(
                _run(deployment, pathlib.Path(temporary_folder))
            )
    raise typer.Exit(exit_code)


async def _run(deployment, folder):
    path = fleet.EXAMPLES / f'{deployment}-programs.toml'
    example = tomllib.loads(path.read_text())
    running_fleet = fleet.Fleet(folder, deployment)
    started_s = time.monotonic()
    try:
        print(f'starting the stand-ins and 9 instances of {deployment}')
        await running_fleet.start()
        print(f'ready after {time.monotonic() - started_s:.1f} s')
        call_results = CallResults()
        await asyncio.gather(
            *(
                _run_program(running_fleet, program_row, call_results)
                for program_row in example['programs']
            ),
            *(
                _send_requests(running_fleet, request_row, call_results)
                for request_row in example['requests']
            ),
        )
        result = await _check_results(running_fleet, deployment, call_results)
        exit_codes = await running_fleet.stop()
        print(f'stopped gracefully, exit codes {sorted(set(exit_codes))}')
    finally:
        await running_fleet.close()
    if any(exit_codes):
        result['demo'] = 'failed'
    print(json.dumps(result))
    return 0 if result['demo'] == 'ok' else 1


async def _run_program(running_fleet, program_row, call_results):
    caller = running_fleet.caller(program_row['caller'])
    await caller.fetch_addresses()
    await caller.create(program_row['id'], program_row['contract'])
    lines = [f'program {program_row["id"]} ({program_row["contract"]})']
    for turn_number, text in enumerate(program_row['turns']):
        started_s = time.monotonic()
        call_result = await caller.turn(
            program_row['id'], f'turn-{turn_number}', text
        )
        took_s = time.monotonic() - started_s
        call_results.turns += 1
        call_results.results.append(call_result)
        lines.append(f'  > {text[:66]}')
        shown_text = call_result.text[:66] or call_result.code
        lines.append(f'  < {shown_text} [{took_s:.2f} s]')
    history = await caller.view(program_row['id'])
    steps = sum(len(turn['steps']) for turn in history['turns'])
    lines.append(
        f'  {steps} steps, {history["spent_tokens"]} of '
        f'{history["budget_tokens"]} tokens, {history["copies"]} copies'
    )
    await caller.end(program_row['id'])
    call_results.programs += 1
    print('\n'.join(lines), flush=True)


async def _send_requests(running_fleet, request_row, call_results):
    caller = running_fleet.caller(request_row['caller'])
    first_result = await caller.request(
        request_row['service'], request_row['id'], request_row['text']
    )
    repeated_result = await caller.request(
        request_row['service'], request_row['id'], request_row['text']
    )
    call_results.results += [first_result, repeated_result]
    print(
        f'request {request_row["id"]}: {first_result.code}, '
        f'asked again: {repeated_result.code}'
    )


async def _check_results(running_fleet, deployment, call_results):
    """Check for failed calls, repeated executions and tokens still cached.

    Executions and cached tokens come from the stand-ins' own counts.
    """
    executions = collections.Counter()
    for server in running_fleet.declaration.backend_servers:
        counts = await running_fleet.fetch_counts(server.name)
        executions.update(counts.get('executions', {}))
    cached_tokens = await _wait_cached_tokens(running_fleet)
    duplicates = sum(count > 1 for count in executions.values())
    failed_calls = sum(
        call_result.code != 'ok' for call_result in call_results.results
    )
    is_ok = not duplicates and not failed_calls and not cached_tokens
    return {
        'demo': 'ok' if is_ok else 'failed',
        'deployment': deployment,
        'programs': call_results.programs,
        'turns': call_results.turns,
        'duplicates': duplicates,
        'lost': failed_calls,
        'orphan_cache_blocks': cached_tokens,
    }


async def _wait_cached_tokens(running_fleet):
    """Wait up to 4 s for releases; return the tokens still cached."""
    for _ in range(40):
        cached_tokens = 0
        for server in running_fleet.declaration.backend_servers:
            counts = await running_fleet.fetch_counts(server.name)
            cached_tokens += sum(counts.get('sessions', {}).values())
        if not cached_tokens:
            break
        await asyncio.sleep(0.1)
    return cached_tokens


if __name__ == '__main__':
    sys.exit(app())
