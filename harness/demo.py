"""Runs the main job: a deployment of real processes serves programs."""

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
class Tally:
    """What the callers saw."""

    programs: int = 0
    turns: int = 0
    answers: list = dataclasses.field(default_factory=list)


@app.command()
def run(
    deployment: str = 'pollenwacht',
    folder: typing.Annotated[
        str, typer.Option(help='Folder to keep logs and data in.')
    ] = '',
) -> None:
    """Serve the example programs of a deployment."""
    if folder:
        code = asyncio.run(_run(deployment, pathlib.Path(folder)))
    else:
        with tempfile.TemporaryDirectory() as made:
            code = asyncio.run(_run(deployment, pathlib.Path(made)))
    raise typer.Exit(code)


async def _run(deployment, folder):
    path = fleet.EXAMPLES / f'{deployment}-programs.toml'
    job = tomllib.loads(path.read_text())
    running = fleet.Fleet(folder, deployment)
    started_s = time.monotonic()
    try:
        print(f'starting the stand-ins and 9 instances of {deployment}')
        await running.start()
        print(f'ready after {time.monotonic() - started_s:.1f} s')
        tally = Tally()
        await asyncio.gather(
            *(_program(running, row, tally) for row in job['programs']),
            *(_request(running, row, tally) for row in job['requests']),
        )
        result = await _judge(running, deployment, tally)
        codes = await running.stop()
        print(f'stopped gracefully, exit codes {sorted(set(codes))}')
    finally:
        await running.close()
    if any(codes):
        result['demo'] = 'failed'
    print(json.dumps(result))
    return 0 if result['demo'] == 'ok' else 1


async def _program(running, row, tally):
    caller = running.caller(row['caller'])
    await caller.fetch_addresses()
    await caller.create(row['id'], row['contract'])
    lines = [f'program {row["id"]} ({row["contract"]})']
    for number, text in enumerate(row['turns']):
        started_s = time.monotonic()
        answer = await caller.turn(row['id'], f'turn-{number}', text)
        took_s = time.monotonic() - started_s
        tally.turns += 1
        tally.answers.append(answer)
        lines.append(f'  > {text[:66]}')
        shown = answer.text[:66] or answer.code
        lines.append(f'  < {shown} [{took_s:.2f} s]')
    view = await caller.view(row['id'])
    steps = sum(len(turn['steps']) for turn in view['turns'])
    lines.append(
        f'  {steps} steps, {view["spent_tokens"]} of '
        f'{view["budget_tokens"]} tokens, {view["copies"]} copies'
    )
    await caller.end(row['id'])
    tally.programs += 1
    print('\n'.join(lines), flush=True)


async def _request(running, row, tally):
    caller = running.caller(row['caller'])
    answer = await caller.request(row['service'], row['id'], row['text'])
    again = await caller.request(row['service'], row['id'], row['text'])
    tally.answers += [answer, again]
    print(f'request {row["id"]}: {answer.code}, asked again: {again.code}')


async def _judge(running, deployment, tally):
    """Count duplicates and leftovers from the stand-ins' own records."""
    executions = collections.Counter()
    for server in running.declaration.backend_servers:
        counts = await running.fetch_counts(server.name)
        executions.update(counts.get('executions', {}))
    blocks = await _leftover(running)
    duplicates = sum(count > 1 for count in executions.values())
    lost = sum(answer.code != 'ok' for answer in tally.answers)
    is_ok = not duplicates and not lost and not blocks
    return {
        'demo': 'ok' if is_ok else 'failed',
        'deployment': deployment,
        'programs': tally.programs,
        'turns': tally.turns,
        'duplicates': duplicates,
        'lost': lost,
        'orphan_cache_blocks': blocks,
    }


async def _leftover(running):
    """Wait briefly for releases; return the tokens still cached."""
    for _ in range(40):
        tokens = 0
        for server in running.declaration.backend_servers:
            counts = await running.fetch_counts(server.name)
            tokens += sum(counts.get('sessions', {}).values())
        if not tokens:
            break
        await asyncio.sleep(0.1)
    return tokens


if __name__ == '__main__':
    sys.exit(app())
