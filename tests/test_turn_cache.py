"""Tests of the cache of turns."""

from balsamdale import turn_cache
from tests import builders_routed as builders


def test_chain_is_found_only_where_it_is_whole():
    cache = turn_cache.TurnCache()
    turns = (builders.turn(1), builders.turn(2, 1))
    cache.add(turns)
    assert cache.chain('t2') == turns
    cache.add((builders.turn(4, 3),))
    assert cache.chain('t4') is None


def test_oldest_turns_are_dropped_first():
    cache = turn_cache.TurnCache(limit_bytes=1000)
    for number in range(1, 20):
        cache.add((builders.turn(number, size=100),))
    assert cache.chain('t1') is None
    assert cache.chain('t19') is not None


def test_chain_that_returns_to_itself_is_not_found():
    cache = turn_cache.TurnCache()
    cache.add((builders.turn(1, 2), builders.turn(2, 1)))
    assert cache.chain('t1') is None
