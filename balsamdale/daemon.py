"""The daemon `balsamdaled`: one instance that runs programs."""

import asyncio
import contextlib
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

EXIT_BAD_SETTINGS = 2

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(
    path: typing.Annotated[
        str,
        typer.Option('--settings', help='TOML settings file of the instance.'),
    ],
) -> None:
    """Run one instance until SIGTERM or SIGINT."""
    try:
        instance_settings = settings.load(path)
    except errors.ValidationFailed as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        raise typer.Exit(EXIT_BAD_SETTINGS) from error
    is_debug = instance_settings.log_level == 'debug'
    logging.set_verbosity(logging.DEBUG if is_debug else logging.INFO)
    logging.use_absl_handler()
    asyncio.run(_run(instance_settings))


async def _run(instance_settings):
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    served_instance = instance.Instance(
        instance_settings, _build_dependencies(instance_settings)
    )
    entry_api = entry.EntryApi(served_instance)
    await entry_api.listen()
    await served_instance.start()
    await stop_requested.wait()
    async with contextlib.AsyncExitStack() as closing:
        # Each is carried out although one before it fails.
        closing.push_async_callback(served_instance.close)
        closing.push_async_callback(entry_api.close)
        await served_instance.leave()


def _build_dependencies(instance_settings):
    key_pair = (
        zeromq.KeyPair.load(instance_settings.key_file)
        if instance_settings.key_file
        else None
    )
    data_folder = instance_settings.data_folder
    return instance.Dependencies(
        links=zeromq.ZeroMQLinks(
            instance_settings.instance_id,
            instance_settings.link_address,
            key_pair,
        ),
        store=keyvalue.EtcdKeyValue(instance_settings.key_value_addresses),
        backends=backend.HttpBackends(),
        journal=journal.DiskJournal(data_folder) if data_folder else None,
        clock=time.time,
    )


def main() -> None:
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()
