"""Access to the daemon `balsamdaled`."""

import asyncio
import signal
import sys
import time
import typing

from absl import logging
import typer

from balsamdale import backend
from balsamdale import entry
from balsamdale import errors
from balsamdale import instance
from balsamdale import journal
from balsamdale import keyvalue
from balsamdale import settings
from balsamdale import zeromq

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
    except errors.ValidationFailed as error:
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
    running = instance.Instance(given, _parts(given))
    front = entry.EntryApi(running)
    await front.listen()
    await running.start()
    await stopping.wait()
    await running.leave()
    await front.close()
    await running.close()


def _parts(given):
    keys = zeromq.KeyPair.load(given.key_file) if given.key_file else None
    folder = given.data_folder
    return instance.Dependencies(
        links=zeromq.ZeroMQLinks(given.instance_id, given.link_address, keys),
        store=keyvalue.EtcdKeyValue(given.key_value_addresses),
        backends=backend.HttpBackends(),
        journal=journal.DiskJournal(folder) if folder else None,
        clock=time.time,
    )


def main() -> None:
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()
