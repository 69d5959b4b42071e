"""The command line `balsamdale`; it only parses arguments and prints."""

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
EXIT_INVALID = 2

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)

Entry = typing.Annotated[
    str,
    typer.Option(
        envvar='BALSAMDALE_ENTRY', help='Entry address of any instance.'
    ),
]
AsJson = typing.Annotated[bool, typer.Option('--json', help='Print JSON.')]
Operator = typing.Annotated[
    str,
    typer.Option(
        envvar='BALSAMDALE_OPERATOR', help='Your name, recorded with changes.'
    ),
]


@app.callback()
def root() -> None:
    """Operate a balsamdale deployment.

    Exit codes: 0 success, 1 refused, 2 invalid file or command line.
    """


@app.command()
def check(path: str, as_json: AsJson = False) -> None:
    """Check a declaration file and list every finding."""
    declared = porcelain.check(path)
    count = len(declared.backend_servers)
    if as_json:
        _print_json({'deployment': declared.deployment, 'servers': count})
    else:
        print(f'{path}: {declared.deployment}, {count} backend servers')


@app.command()
def diff(path: str, entry: Entry, as_json: AsJson = False) -> None:
    """Compare a declaration file with the declaration in force."""
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
    """Show what an intent would change; nothing changes before `confirm`.

    KIND is declare FILE, drain-server NAME, return-server NAME, drain-domain
    NAME, return-domain NAME, budget CONTRACT TOKENS, or undo.
    """
    prepared_plan = porcelain.plan(
        entry, operator or getpass.getuser(), kind, target, value
    )
    if as_json:
        _print_json(prepared_plan)
    else:
        _print_plan(prepared_plan)


@app.command('show-plan')
def show_plan(plan_id: str, entry: Entry, as_json: AsJson = False) -> None:
    """Print a stored plan."""
    prepared_plan = porcelain.show_plan(entry, plan_id)
    if as_json:
        _print_json(prepared_plan)
    else:
        _print_plan(prepared_plan)


@app.command()
def confirm(
    entry: Entry,
    plan_id: str,
    operator: Operator = '',
    as_json: AsJson = False,
) -> None:
    """Put a plan in force."""
    accepted = porcelain.confirm(entry, operator or getpass.getuser(), plan_id)
    if as_json:
        _print_json(accepted)
    else:
        print(
            f'accepted: {accepted["summary"]}, revision {accepted["revision"]}'
        )


@app.command()
def abandon(plan_id: str, entry: Entry, as_json: AsJson = False) -> None:
    """Abandon a plan, so that it cannot be confirmed."""
    result = porcelain.abandon(entry, plan_id)
    if as_json:
        _print_json(result)
    else:
        print(f'abandoned {result["abandoned"]}')


@app.command()
def status(entry: Entry, as_json: AsJson = False) -> None:
    """Show the status of the deployment."""
    deployment_status = porcelain.status(entry)
    if as_json:
        _print_json(deployment_status)
        return
    for name, value in deployment_status.items():
        if name == 'instances':
            for instance_id, instance_status in value.items():
                print(f'  {instance_id:12} {instance_status}')
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
    """Explain from logs how a routed request was handled."""
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
    """Show what a program waits for, its tokens spent and its owner."""
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
    page: typing.Annotated[str, typer.Option(help='HTML file to write.')] = '',
    as_json: AsJson = False,
) -> None:
    """Show the burn rates by contract and window."""
    rates = porcelain.burn(entry)
    if page:
        html = burn_rate.render_html(rates, 'Service-level burn')
        pathlib.Path(page).write_text(html)
    if as_json:
        _print_json([dataclasses.asdict(rate) for rate in rates])
    else:
        print(burn_rate.render_text(rates))


def _print_plan(prepared_plan):
    """Print a plan, its dangers first."""
    print(f'PLAN {prepared_plan["plan_id"]}: {prepared_plan["summary"]}')
    for danger in prepared_plan['dangers'] or ['none found']:
        print(f'  danger: {danger}')
    for row in prepared_plan['affected']:
        print(
            f'  affected: {row["programs"]} programs of {row["callers"]} '
            f'callers on {row["contract"]}'
        )
    for line in prepared_plan['capacity']:
        print(f'  slots: {line}')
    for line in prepared_plan['changes']:
        print(f'    {line}')
    print(f'  to undo: {prepared_plan["undo"]}')
    print(f'  to go on: balsamdale confirm {prepared_plan["plan_id"]}')


def _print_json(data):
    print(json.dumps(data, indent=1))


def main() -> None:
    """Run the command line."""
    try:
        app()
    except errors.ValidationFailed as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    except errors.Refused as refused:
        retry_text = ''
        if refused.retry_after_s is not None:
            retry_text = f'; come back in {refused.retry_after_s:g} s'
        print(f'{refused.code}: {refused.detail}{retry_text}', file=sys.stderr)
        sys.exit(EXIT_REFUSED)


if __name__ == '__main__':
    main()
