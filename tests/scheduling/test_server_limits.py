"""Tests of the limits that servers name."""

from balsamdale.scheduling import server_limits

KEY = ('s', 1)


def named(rate_per_s, said_at_s):
    return server_limits.NamedLimit(rate_per_s, said_at_s)


def test_older_news_do_not_change_a_limit():
    table = server_limits.LimitTable()
    assert table.record(KEY, named(5.0, 10.0))
    assert not table.record(KEY, named(None, 9.0))
    assert table.rate_per_s(KEY) == 5.0
    assert table.record(KEY, named(None, 11.0))
    assert not table.record(KEY, named(5.0, 10.5))
    assert table.rate_per_s(KEY) is None


def test_server_that_starts_again_has_no_limit():
    table = server_limits.LimitTable()
    table.record(KEY, named(5.0, 10.0))
    assert table.rate_per_s(('s', 2)) is None


def test_withdrawn_limits_and_departed_servers_are_forgotten():
    table = server_limits.LimitTable()
    table.record(KEY, named(5.0, 10.0))
    table.record(KEY, named(None, 11.0))
    table.record(('gone', 1), named(5.0, 11.0))
    table.remove_departed({'s'}, 11.0)
    assert [key for key, _ in table.items()] == [KEY]
    table.remove_departed({'s'}, 11.0 + server_limits.WITHDRAWN_S)
    assert table.items() == []
