"""Access to the daemon `balsamdaled`."""

import asyncio
import signal
import sys
import typing

from absl import logging
import typer

from balsamdale import errors
from balsamdale import instance
from balsamdale import settings

__all__ = ['main']

EXIT_SETTINGS = 2

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(
    path: typing.Annotated[
        str, typer.Option('--settings', help='TOML settings of the instance.')
    ],
) -> None:
    """Run one instance until SIGTERM or SIGINT."""
    try:
        given = settings.load(path)
    except errors.CheckFailed as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        raise typer.Exit(EXIT_SETTINGS) from error
    debug = given.log_level == 'debug'
    logging.set_verbosity(logging.DEBUG if debug else logging.INFO)
    logging.use_absl_handler()
    asyncio.run(_run(given))


async def _run(given):
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    running = instance.Instance(given)
    await running.start()
    await stopping.wait()
    await running.stop()


def main() -> None:
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()
