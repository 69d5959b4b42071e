"""A backend server in a process of its own, which can be suspended."""

import asyncio
import contextlib
import signal
import sys

__all__ = ['ServerProcess', 'running']

# Connections that wait for a suspended process to accept them.
BACKLOG = 2
START_TIMEOUT_S = 20.0


class ServerProcess:
    """A process that takes routed requests on a port of its own.

    Args:
        name: id of the server in its registration.
        address: IP address and port.
        process: the process.
    """

    def __init__(self, name, address, process):
        self.name = name
        self.address = address
        self._process = process

    def suspend(self):
        """Stop the process; its kernel goes on."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Let the process go on."""
        self._process.send_signal(signal.SIGCONT)

    def kill(self):
        """End the process, without a chance to close anything."""
        self._process.kill()

    async def fill_backlog(self, stack):
        """Take all places of connections that wait to be accepted."""
        host, _, port = self.address.rpartition(':')
        for _ in range(BACKLOG + 2):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.2):
                    _, writer = await asyncio.open_connection(host, int(port))
                stack.callback(writer.close)


@contextlib.asynccontextmanager
async def running(name, address, **options):
    """Run a server; yield it once it accepts connections.

    Args:
        name: id of the server in its registration.
        address: IP address and port to listen on.
        options: further options of the stand-in.
    """
    host, _, port = address.rpartition(':')
    arguments = [f'--port={port}', f'--name={name}', f'--backlog={BACKLOG}']
    for key, value in options.items():
        arguments.append(f'--{key.replace("_", "-")}={value}')
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-m', 'standins', 'routed', *arguments
    )
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await _accepts(host, int(port)):
                await asyncio.sleep(0.05)
        yield ServerProcess(name, address, process)
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def _accepts(host, port):
    try:
        _, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.close()
    return True
