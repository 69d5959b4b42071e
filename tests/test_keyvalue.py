"""Tests that the key-value implementations behave alike."""

import asyncio

from aiohttp import test_utils
import pytest

from balsamdale import errors
from balsamdale import keyvalue
from standins import keyvalue as keyvalue_standin
from tests.raw_server import Endless
from tests.raw_server import run_client

UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n'


def run_on(implementation, scenario):
    """Run a scenario on one implementation of the service."""

    async def run():
        if implementation == 'memory':
            await scenario(keyvalue.MemoryKeyValue())
            return
        server = keyvalue_standin.KeyValueServer()
        async with test_utils.TestServer(server.app()) as http_server:
            address = f'{http_server.host}:{http_server.port}'
            store = keyvalue.EtcdKeyValue((address,))
            try:
                await scenario(store)
            finally:
                await store.close()

    asyncio.run(run())


@pytest.fixture(params=['memory', 'etcd'])
def implementation(request):
    return request.param


def test_swap_compares_revisions(implementation):
    async def scenario(store):
        first = await store.compare_and_swap('a/b', b'1', 0)
        assert first > 0
        assert await store.compare_and_swap('a/b', b'2', 0) == 0
        second = await store.compare_and_swap('a/b', b'2', first)
        assert second > first
        pair = await store.get('a/b')
        assert (pair.value, pair.revision) == (b'2', second)
        assert await store.get('a/c') is None

    run_on(implementation, scenario)


def test_scan_returns_a_prefix(implementation):
    async def scenario(store):
        for key in ('a/2', 'a/1', 'b/1'):
            await store.compare_and_swap(key, key.encode(), 0)
        pairs, revision = await store.scan('a/')
        assert [pair.key for pair in pairs] == ['a/1', 'a/2']
        assert revision >= 3

    run_on(implementation, scenario)


def test_watch_yields_writes_from_a_revision(implementation):
    async def scenario(store):
        revision = await store.compare_and_swap('a/1', b'1', 0)
        watch = store.watch('a/', revision)
        assert (await anext(watch)).value == b'1'
        await store.compare_and_swap('b/1', b'x', 0)
        await store.compare_and_swap('a/1', b'2', revision)
        assert (await anext(watch)).value == b'2'
        await watch.aclose()

    run_on(implementation, scenario)


def test_a_lost_answer_says_that_the_write_may_be_applied():
    async def run():
        server = keyvalue_standin.KeyValueServer()
        async with test_utils.TestServer(server.app()) as http_server:
            store = keyvalue.EtcdKeyValue(
                (f'{http_server.host}:{http_server.port}',)
            )
            server.switches.lose_answers = 1
            with pytest.raises(errors.KeyValueUnavailable) as caught:
                await store.compare_and_swap('a', b'1', 0)
            assert caught.value.maybe_applied
            assert (await store.get('a')).value == b'1'
            await store.close()

    asyncio.run(run())


def test_a_refused_connection_says_that_nothing_was_applied():
    async def run():
        store = keyvalue.EtcdKeyValue(('127.0.0.1:1',))
        with pytest.raises(errors.KeyValueUnavailable) as caught:
            await store.compare_and_swap('a', b'1', 0)
        assert not caught.value.maybe_applied
        await store.close()

    asyncio.run(run())


def test_the_stand_in_keeps_writes_to_a_rate():
    async def run():
        server = keyvalue_standin.KeyValueServer()
        server.switches.writes_per_s = 10.0
        delays_s = []

        async def record_delay(delay_s):
            delays_s.append(round(delay_s, 1))

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(keyvalue_standin.asyncio, 'sleep', record_delay)
            patch.setattr(keyvalue_standin.time, 'monotonic', lambda: 100.0)
            for _ in range(3):
                await server._limit_write_rate()
        assert delays_s == [0.0, 0.1, 0.2]

    asyncio.run(run())


def make_etcd_client(address):
    return keyvalue.EtcdKeyValue((address,))


@pytest.mark.parametrize(
    'reply',
    [
        '{"header": {"revision": "7"<reset>',
        '{"header": {"revision": "7"<end>',
        '{"succeeded": true}<end>',
        '[]<end>',
    ],
)
def test_write_whose_reply_is_cut_or_malformed_may_be_applied(reply):
    async def scenario(store):
        with pytest.raises(errors.KeyValueUnavailable) as raised:
            await store.compare_and_swap('a', b'1', 0)
        assert raised.value.maybe_applied

    run_client(make_etcd_client, scenario, UNFRAMED_HEAD + reply)


@pytest.mark.parametrize(
    'line',
    ['{"result": {"eve<end>', 'nonsense\n<end>', '{"result": 1}\n<end>'],
)
def test_watch_with_a_cut_or_malformed_line_is_a_failed_call(line):
    """Its instance watches again; any other error would end its task."""

    async def scenario(store):
        with pytest.raises(errors.KeyValueUnavailable):
            async for _ in store.watch('a', 1):
                pass

    run_client(make_etcd_client, scenario, UNFRAMED_HEAD + line)


def test_reply_without_end_is_a_failed_call():
    async def scenario(store):
        with pytest.raises(errors.KeyValueUnavailable, match='more than'):
            await store.get('a')

    run_client(make_etcd_client, scenario, Endless(UNFRAMED_HEAD, ' '))


def test_line_of_a_watch_without_end_is_a_failed_call():
    async def scenario(store):
        with pytest.raises(errors.KeyValueUnavailable, match='too long'):
            async for _ in store.watch('a', 1):
                pass

    run_client(make_etcd_client, scenario, Endless(UNFRAMED_HEAD, ' '))
