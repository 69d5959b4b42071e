"""Tests of the client of the platform's key-value service."""

import asyncio

from aiohttp import test_utils
import pytest

from balsamdale import errors
from balsamdale.platform import store
from standins import platform_store
from tests.raw_server import Endless
from tests.raw_server import run_client

UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n'


def run_on(scenario):
    """Run a scenario on the client and a stub server."""

    async def run():
        server = platform_store.PlatformStoreServer()
        async with test_utils.TestServer(server.app()) as test_server:
            client = store.PlatformKeyValue(
                f'{test_server.host}:{test_server.port}'
            )
            try:
                await scenario(server, client)
            finally:
                await client.close()

    asyncio.run(run())


def test_swap_compares_revisions():
    async def scenario(_server, client):
        first = await client.compare_and_swap('a', b'1', 0)
        assert first > 0
        assert await client.compare_and_swap('a', b'2', 0) == 0
        assert await client.compare_and_swap('a', b'2', first) > first
        assert (await client.get('a')).value == b'2'
        assert await client.get('b') is None

    run_on(scenario)


def test_scan_reads_every_page():
    async def scenario(server, client):
        for number in range(platform_store.PAGE_ITEMS + 7):
            server.write(f'servers/{number:04d}', b'x')
        pairs, revision = await client.scan('')
        assert len(pairs) == platform_store.PAGE_ITEMS + 7
        assert revision == server.revision

    run_on(scenario)


def test_changes_tell_writes_and_removals():
    async def scenario(server, client):
        _, revision = await client.scan('')
        server.write('servers/i', b'\x00\xff')
        server.remove('servers/i')
        changes, through = await client.changes('', revision, 1.0)
        assert [c.value for c in changes] == [b'\x00\xff', None]
        assert through == server.revision

    run_on(scenario)


def test_dropped_history_is_told():
    async def scenario(server, client):
        server.write('a', b'1')
        server.compact_history()
        with pytest.raises(errors.RevisionCompacted):
            await client.changes('', 1, 0.1)

    run_on(scenario)


def test_leases():
    async def scenario(server, client):
        lease = await client.grant_lease(60.0)
        await client.put('mine', b'1', lease)
        await client.renew_lease(lease)
        server.expire_leases()
        assert server.keys() == []
        with pytest.raises(errors.LeaseEnded):
            await client.renew_lease(lease)
        with pytest.raises(errors.LeaseEnded):
            await client.put('mine', b'1', lease)

    run_on(scenario)


@pytest.mark.parametrize('status', [429, 503])
def test_refused_call_did_nothing(status):
    async def scenario(server, client):
        server.switches.refuse_status = status
        with pytest.raises(errors.KeyValueUnavailable) as raised:
            await client.put('a', b'1')
        assert not raised.value.maybe_applied

    run_on(scenario)


def test_lost_answer_may_be_applied():
    async def scenario(server, client):
        server.switches.lose_answers = 1
        with pytest.raises(errors.KeyValueUnavailable) as raised:
            await client.put('a', b'1')
        assert raised.value.maybe_applied
        await asyncio.sleep(0.05)
        assert server.keys() == ['a']

    run_on(scenario)


def test_lost_answer_is_not_asked_for_again():
    async def scenario(server, client):
        await client.get('a')
        calls = server.calls
        server.switches.reset = True
        with pytest.raises(errors.KeyValueUnavailable):
            await client.get('a')
        assert server.calls == calls + 1

    run_on(scenario)


def test_call_that_is_forbidden_is_an_error():
    async def scenario(_server, client):
        with pytest.raises(errors.KeyValueError):
            await client.put('op/config', b'{}')

    run_on(scenario)


def test_unreadable_value_is_empty():
    async def scenario(server, client):
        server.write('servers/i', b'x')
        server._items['servers/i']['value'] = '***'
        assert (await client.get('servers/i')).value == b''

    run_on(scenario)


@pytest.mark.parametrize('ending', ['<reset>', '<end>'])
def test_write_whose_reply_was_cut_may_be_applied(ending):
    async def scenario(client):
        with pytest.raises(errors.KeyValueUnavailable) as raised:
            await client.put('a', b'1')
        assert raised.value.maybe_applied

    run_client(
        store.PlatformKeyValue, scenario, UNFRAMED_HEAD + '{"rev": 1' + ending
    )


@pytest.mark.parametrize('ending', ['<reset>', '<end>'])
def test_read_whose_reply_was_cut_is_a_failed_call(ending):
    async def scenario(client):
        with pytest.raises(errors.KeyValueUnavailable) as raised:
            await client.scan('')
        assert not raised.value.maybe_applied

    text = UNFRAMED_HEAD + '{"items": [], "store_revision": 1' + ending
    run_client(store.PlatformKeyValue, scenario, text)


def test_conflict_whose_reply_was_cut_may_be_a_write():
    """A status alone, without its whole reply, proves no conflict."""

    async def scenario(client):
        with pytest.raises(errors.KeyValueUnavailable) as raised:
            await client.compare_and_swap('a', b'1', 3)
        assert raised.value.maybe_applied

    head = UNFRAMED_HEAD.replace('200 OK', '412 Precondition Failed')
    run_client(
        store.PlatformKeyValue, scenario, head + '{"items": [{"key"<reset>'
    )


def test_reply_without_end_is_a_failed_call():
    async def scenario(client):
        with pytest.raises(errors.KeyValueUnavailable, match='more than'):
            await client.scan('')

    run_client(store.PlatformKeyValue, scenario, Endless(UNFRAMED_HEAD, ' '))


def test_page_without_items_is_not_taken_for_the_last_one():
    """Keys that are missing from a snapshot count as removed."""

    async def scenario(client):
        with pytest.raises(errors.KeyValueUnavailable, match='page'):
            await client.scan('')

    text = UNFRAMED_HEAD + (
        '{"items": [], "truncated": true, "store_revision": 9}<end>'
    )
    run_client(store.PlatformKeyValue, scenario, text)


def test_deeply_nested_reply_is_a_failed_call():
    async def scenario(client):
        with pytest.raises(errors.KeyValueUnavailable, match='malformed'):
            await client.scan('')

    nested = '[' * 100_000 + ']' * 100_000
    text = UNFRAMED_HEAD + '{"items": [], "odd": ' + nested + '}<end>'
    run_client(store.PlatformKeyValue, scenario, text)
