"""Access to the command line `balsamdale`; it only parses and prints."""

import dataclasses
import getpass
import json
import pathlib
import sys
import typing

import typer

from balsamdale import burn_rate
from balsamdale import errors
from balsamdale import porcelain

__all__ = ['main']

EXIT_REFUSED = 1
EXIT_CHECK = 2

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)

Entry = typing.Annotated[
    str,
    typer.Option(envvar='BALSAMDALE_ENTRY', help='Any entry address.'),
]
AsJson = typing.Annotated[bool, typer.Option('--json', help='Print JSON.')]
Operator = typing.Annotated[
    str,
    typer.Option(
        envvar='BALSAMDALE_OPERATOR', help='Your name, shown to others.'
    ),
]


@app.callback()
def root() -> None:
    """Operate a balsamdale deployment.

    Exit codes: 0 done, 1 refused, 2 mistakes in a file or in the command.
    """


@app.command()
def check(path: str, as_json: AsJson = False) -> None:
    """Check a declaration file and list every mistake."""
    declared = porcelain.check(path)
    count = len(declared.backend_servers)
    if as_json:
        _print_json({'deployment': declared.deployment, 'servers': count})
    else:
        print(f'{path}: {declared.deployment}, {count} backend servers')


@app.command()
def diff(path: str, entry: Entry, as_json: AsJson = False) -> None:
    """Compare a declaration file with what is in force."""
    lines = porcelain.diff(entry, path)
    if as_json:
        _print_json(lines)
    else:
        print('\n'.join(lines) or 'no difference')


@app.command()
def plan(
    entry: Entry,
    kind: str,
    target: typing.Annotated[str, typer.Argument()] = '',
    value: typing.Annotated[str, typer.Argument()] = '',
    operator: Operator = '',
    as_json: AsJson = False,
) -> None:
    """Say what an intent would change; nothing changes yet.

    KIND is declare FILE, drain-server NAME, return-server NAME, drain-domain
    NAME, return-domain NAME, budget CONTRACT TOKENS, or undo.
    """
    made = porcelain.plan(
        entry, operator or getpass.getuser(), kind, target, value
    )
    if as_json:
        _print_json(made)
    else:
        _print_plan(made)


@app.command('show-plan')
def show_plan(plan_id: str, entry: Entry, as_json: AsJson = False) -> None:
    """Print a plan again."""
    made = porcelain.show_plan(entry, plan_id)
    if as_json:
        _print_json(made)
    else:
        _print_plan(made)


@app.command()
def confirm(
    entry: Entry,
    plan_id: str,
    operator: Operator = '',
    as_json: AsJson = False,
) -> None:
    """Put a plan in force."""
    done = porcelain.confirm(entry, operator or getpass.getuser(), plan_id)
    if as_json:
        _print_json(done)
    else:
        print(f'accepted: {done["summary"]}, revision {done["revision"]}')


@app.command()
def abandon(plan_id: str, entry: Entry, as_json: AsJson = False) -> None:
    """Drop a plan."""
    done = porcelain.abandon(entry, plan_id)
    if as_json:
        _print_json(done)
    else:
        print(f'abandoned {done["abandoned"]}')


@app.command()
def status(entry: Entry, as_json: AsJson = False) -> None:
    """Show the state of the deployment."""
    state = porcelain.status(entry)
    if as_json:
        _print_json(state)
        return
    for name, value in state.items():
        if name == 'instances':
            for instance, word in value.items():
                print(f'  {instance:12} {word}')
        else:
            print(f'{name.replace("_", " ")}: {value}')


@app.command()
def programs(entry: Entry, as_json: AsJson = False) -> None:
    """List the live programs."""
    rows = porcelain.programs(entry)
    if as_json:
        _print_json(rows)
        return
    print(
        f'{"program":28} {"contract":14} {"turns":>5} {"spent":>8} waits for'
    )
    for row in rows:
        print(
            f'{row["program_id"]:28} {row["contract"]:14} {row["turns"]:5} '
            f'{row["spent_tokens"]:8} {row["waiting_for"] or "its caller"}'
        )


@app.command('explain-request')
def explain_request(
    request_id: str,
    logs: typing.Annotated[
        list[str], typer.Argument(help='Log files of instances.')
    ],
) -> None:
    """Tell from logs what became of a routed request, and why."""
    lines = porcelain.explain_request(request_id, logs)
    if not lines:
        print(f'no line tells of {request_id}', file=sys.stderr)
        raise typer.Exit(EXIT_REFUSED)
    for line in lines:
        inputs = ' '.join(
            f'{name}={value}'
            for name, value in line.items()
            if name not in ('at_s', 'instance', 'event')
        )
        print(
            f'{line["at_s"]:.4f} {line["instance"]} {line["event"]} {inputs}'
        )


@app.command()
def explain(program_id: str, entry: Entry, as_json: AsJson = False) -> None:
    """Tell why a program waits, what it has spent and where it is."""
    view = porcelain.explain(entry, program_id)
    if as_json:
        _print_json(view)
        return
    print(f'{program_id} of {view["caller"]}, contract {view["contract"]}')
    print(f'  waits for {view["waiting_for"] or "its caller"}')
    print(
        f'  spent {view["spent_tokens"]} of {view["budget_tokens"]} tokens, '
        f'{view["reserved_tokens"]} reserved'
    )
    print(
        f'  owner {view["owner_id"]}, shard {view["shard"]}, epoch '
        f'{view["epoch"]}, {view["copies"]} copies'
    )
    for turn in view['turns']:
        print(f'  turn {turn["turn"]} {turn["code"] or "runs"}')
        for step in turn['steps']:
            print(f'    {step}')


@app.command()
def burn(
    entry: Entry,
    page: typing.Annotated[str, typer.Option(help='HTML file.')] = '',
    as_json: AsJson = False,
) -> None:
    """Show the service-level burn by contract and window."""
    rows = porcelain.burn(entry)
    if page:
        text = burn_rate.render_html(rows, 'Service-level burn')
        pathlib.Path(page).write_text(text)
    if as_json:
        _print_json([dataclasses.asdict(row) for row in rows])
    else:
        print(burn_rate.render_text(rows))


def _print_plan(made):
    """Print a plan on one page, the dangers first."""
    print(f'PLAN {made["plan_id"]}: {made["summary"]}')
    for line in made['dangers'] or ['none found']:
        print(f'  danger: {line}')
    for row in made['affected']:
        print(
            f'  affected: {row["programs"]} programs of {row["callers"]} '
            f'callers on {row["contract"]}'
        )
    for line in made['capacity']:
        print(f'  slots: {line}')
    for line in made['changes']:
        print(f'    {line}')
    print(f'  to undo: {made["undo"]}')
    print(f'  to go on: balsamdale confirm {made["plan_id"]}')


def _print_json(data):
    print(json.dumps(data, indent=1))


def main() -> None:
    """Run the command line."""
    try:
        app()
    except errors.ValidationFailed as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_CHECK)
    except errors.Refused as refused:
        when = ''
        if refused.retry_after_s is not None:
            when = f'; come back in {refused.retry_after_s:g} s'
        print(f'{refused.code}: {refused.detail}{when}', file=sys.stderr)
        sys.exit(EXIT_REFUSED)


if __name__ == '__main__':
    main()
