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


def test_units_that_come_back_do_not_add_to_those_that_were_kept():
    """Those of the first 2 s come back late; later ones are kept, and used."""
    lender, used = server_limits.Lender(), 0
    returned = {}
    lender.record(KEY, named(10.0, 0.0), 0.0)
    for step in range(80):
        now_s = step / 10
        lender.give_back(KEY, returned.pop(step, 0), now_s - 4.0, now_s)
        units = lender.lend(1000, now_s).get(KEY, 0)
        if now_s < 2.0:
            returned[step + 40] = units
        else:
            used += units
    assert used <= 1.5 * 10.0 * 4.0 + 5


def test_new_lender_has_lent_nothing_and_has_no_units():
    lender = server_limits.Lender()
    lender.record(KEY, named(10.0, 0.0), 5.0)
    assert lender.lend(10, 5.0) == {}
    assert sum(lender.lend(10, 5.0 + 1.0).values()) <= 10


def test_units_of_the_fullest_bucket_are_lent_first():
    lender = server_limits.Lender()
    lender.record(('a', 1), named(4.0, 0.0), 0.0)
    lender.record(('b', 1), named(8.0, 0.0), 0.0)
    assert lender.lend(1, 0.5) == {('b', 1): 1}
    assert lender.lend(9, 0.5) == {('a', 1): 2, ('b', 1): 3}


def test_unit_that_is_not_used_is_given_back():
    stock = server_limits.UnitStock()
    stock.add(KEY, 2, 0.2, 1.0)
    assert stock.take(KEY, 0.5)
    assert stock.count(0.9) == 1
    assert not stock.take(KEY, 1.0)
    expired = server_limits.ExpiredUnits(1, 0.2)
    assert stock.pop_expired(1.0) == {KEY: expired}
    assert stock.pop_expired(2.0) == {}
