"""Access to the command line `balsamdale`; it only parses and prints."""

import sys

import typer

from balsamdale import errors
from balsamdale import porcelain

__all__ = ['main']

EXIT_CHECK = 2

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.callback()
def root() -> None:
    """Operate a balsamdale deployment."""


@app.command()
def check(path: str) -> None:
    """Check a declaration file and list every mistake."""
    try:
        declared = porcelain.check(path)
    except errors.CheckFailed as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        raise typer.Exit(EXIT_CHECK) from error
    count = len(declared.backend_servers)
    print(f'{path}: {declared.deployment}, {count} backend servers')


def main() -> None:
    """Run the command line."""
    app()
