"""Tests of the choice of entry addresses."""

from balsamdale import members
from balsamdale import registry


def entries(*domains):
    return tuple(
        members.Member(f'i{n}', domain, '', f'10.0.0.{n}:80')
        for n, domain in enumerate(domains)
    )


def test_callers_stay_in_their_domain():
    found = registry.addresses(entries('a', 'a', 'b'), 'a')
    assert found == ('10.0.0.0:80', '10.0.0.1:80')


def test_callers_leave_a_domain_with_one_entry():
    assert len(registry.addresses(entries('a', 'b', 'b'), 'a')) == 3


def test_callers_of_an_unknown_domain_get_all():
    assert len(registry.addresses(entries('a', 'b'), '')) == 2


def test_answer_is_bounded():
    assert (
        len(registry.addresses(entries(*['a'] * 99), 'a'))
        == registry.ADDRESS_LIMIT
    )
