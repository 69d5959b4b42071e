"""Tests of the stop of an entry's process while its peers are restarted."""

import asyncio
import contextlib
import dataclasses
import signal

import pytest

from harness import upgrade

CONNECTIONS = 96
# From SIGTERM until the last connection is used.
USED_UNTIL_S = upgrade.GRACE_S + 0.4
CALLER_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True)
class Ended:
    """How an order ended: its id, and its status; 0 without an answer."""

    request_id: str
    status: int


class KeptConnection:
    """A caller's connection that is kept until the process is gone."""

    def __init__(self, address, number):
        self._host, _, self._port = address.rpartition(':')
        self._number = number

    async def __aenter__(self):
        """Connect, and send a first order."""
        self._reader, self._writer = await asyncio.open_connection(
            self._host, int(self._port)
        )
        assert (await self.send_order('first')).status == 200
        return self

    async def __aexit__(self, *_):
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()

    async def send_order(self, name):
        """Send an order with a body in chunks; return how it ended."""
        request_id = f'{name}-{self._number}'
        self._writer.write(
            'POST /alerts/x HTTP/1.1\r\n'
            f'Host: {upgrade.HOST}\r\n'
            f'X-Request-Id: {request_id}\r\n'
            'X-Deadline-Ms: 3000\r\n'
            'Api-Key: key-open\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
            '5\r\norder\r\n0\r\n\r\n'.encode()
        )
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                return Ended(request_id, await self._receive_status())
        except (OSError, asyncio.IncompleteReadError):
            return Ended(request_id, 0)

    async def _receive_status(self):
        """Return the status of an answer that has arrived whole."""
        head = (await self._reader.readuntil(b'\r\n\r\n')).decode().lower()
        _, _, length = head.partition('content-length: ')
        await self._reader.readexactly(int(length.split()[0]))
        return int(head.split()[1])

    @property
    def is_closed(self):
        """Whether the entry has closed it."""
        return self._reader.at_eof()


async def use_late(connection, wait_s):
    """Use a connection some time after SIGTERM, if it is still open."""
    await asyncio.sleep(wait_s)
    if connection.is_closed:
        return None
    return await connection.send_order('late')


async def stop_as_the_platform_does(process):
    """Send SIGTERM, and SIGKILL at the end of the grace period."""
    process.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(upgrade.GRACE_S):
            while process.poll() is None:
                await asyncio.sleep(0.01)
    except TimeoutError:
        process.kill()
        process.wait()


async def stop_beside_a_restart(folder, order_s, store_status):
    """Stop an entry while a peer is down; return how late orders ended.

    Returns:
        The exit status of the process, the orders, and the ids of those that
        a server has run.
    """
    async with (
        upgrade.MixedFleet(folder, True) as fleet,
        contextlib.AsyncExitStack() as stack,
    ):
        await asyncio.gather(
            *(fleet.start(name, upgrade.ROOT) for name in fleet.instances)
        )
        address = fleet.instances['entry-a'].entry_address
        connections = []
        for number in range(CONNECTIONS):
            connection = KeptConnection(address, number)
            await stack.enter_async_context(connection)
            connections.append(connection)
        for server in fleet.servers.values():
            server.switches.delay_s = order_s
        peer = fleet.instances['entry-b'].process
        peer.kill()
        peer.wait()
        fleet.store.switches.refuse_status = store_status
        late = [
            asyncio.create_task(
                use_late(connection, USED_UNTIL_S * number / CONNECTIONS)
            )
            for number, connection in enumerate(connections)
        ]
        process = fleet.instances['entry-a'].process
        await stop_as_the_platform_does(process)
        ended = [order for order in await asyncio.gather(*late) if order]
        runs = {r for s in fleet.servers.values() for r in s.runs}
        return process.returncode, ended, runs


@pytest.mark.parametrize(
    ('order_s', 'store_status'),
    [(0.9, 0), (0.08, 429)],
    ids=['long orders', 'refusing store'],
)
def test_orders_are_not_cut_by_the_kill_of_an_entry_whose_stop_was_held_up(
    tmp_path, order_s, store_status
):
    """Guards against a stop whose steps take the whole grace period.

    A peer that is down holds up the announcement, and a store that refuses
    the end of the lease; the entry served on until it was killed, and its
    last orders ran without an answer.
    """
    status, ended, runs = asyncio.run(
        stop_beside_a_restart(tmp_path, order_s, store_status)
    )
    assert [order for order in ended if order.status == 200]
    cut = [e for e in ended if not e.status and e.request_id in runs]
    refused = [e for e in ended if e.status == 503 and e.request_id in runs]
    assert (status, cut, refused) == (0, [], [])
