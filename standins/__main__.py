"""Runs one stand-in as a separate process."""

import asyncio
import signal
import typing

from aiohttp import web
import typer

from standins import engine
from standins import keyvalue
from standins import plain
from standins import routed

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)

Port = typing.Annotated[int, typer.Option(help='Port on 127.0.0.1.')]


@app.command('keyvalue')
def run_keyvalue(port: Port) -> None:
    """Run the key-value service."""
    asyncio.run(_serve(lambda: keyvalue.KeyValueServer().app(), port))


@app.command('engine')
def run_engine(
    port: Port,
    name: str = 'engine',
    slots: int = 8,
    cache_tokens: int = 100000,
    honours_fencing: bool = False,
) -> None:
    """Run a model engine."""

    def build_app():
        server = engine.EngineServer(
            name, slots, cache_tokens, honours_fencing
        )
        return server.app()

    asyncio.run(_serve(build_app, port))


@app.command('plain')
def run_plain(port: Port, name: str = 'plain') -> None:
    """Run a plain service."""
    asyncio.run(_serve(lambda: plain.PlainServer(name).app(), port))


@app.command('routed')
def run_routed(
    port: Port,
    name: str = 'server',
    delay_s: float = 0.0,
    events: int = 3,
    event_gap_s: float = 0.0,
    backlog: int = 128,
) -> None:
    """Run a backend server that takes routed requests."""

    def build_app():
        server = routed.RoutedServer(name)
        server.switches.delay_s = delay_s
        server.switches.events = events
        server.switches.event_gap_s = event_gap_s
        return server.app()

    asyncio.run(_serve(build_app, port, backlog))


async def _serve(build_app, port, backlog=128):
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    runner = web.AppRunner(build_app(), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port, backlog=backlog).start()
    await stop_requested.wait()
    await runner.cleanup()


app()
