"""Tests of what operators and servers write."""

import json

import pytest

from balsamdale import errors
from balsamdale.platform import records
from tests import builders_routed as builders

SERVER = {
    'service': 's',
    'address': '10.0.0.9:80',
    'zone': 'a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 4,
    'born': 1700000000000,
}


def encoded(**changes):
    row = {**SERVER, **changes}
    return json.dumps({k: v for k, v in row.items() if v != ()}).encode()


def test_server_is_decoded():
    found = records.decode_server('i-1', encoded(cold_left_ms=250))
    assert found.server_id == 'i-1'
    assert found.failure_domain == 'a'
    assert found.started_ms == 1700000000000
    assert found.warm_up_s == 0.25
    assert records.decode_server('i', encoded(born=())).started_ms == 0


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'\xff\x00',
        b'[]',
        b'null',
        encoded(address=()),
        encoded(slots='8'),
        encoded(slots=True),
        encoded(slots=0),
        encoded(state='asleep'),
        encoded(state=7),
        encoded(address='nowhere'),
        encoded(address='10.0.0.9:0'),
        encoded(address='host:80'),
        encoded(zone=None),
        encoded(born=1.5),
        encoded(born='x'),
        encoded(cold_left_ms='x'),
        encoded(seq=()),
    ],
)
def test_entry_that_names_no_server(value):
    with pytest.raises(errors.ValidationFailed):
        records.decode_server('i-1', value)


def test_configuration_is_decoded():
    table = records.decode_table(
        builders.configuration(
            7,
            kind='streaming',
            retain_context=True,
            keep_s=60.0,
            split=[
                {'service': 's', 'weight': 90},
                {'service': 'z', 'weight': 10},
                {'service': 'none', 'weight': 0},
            ],
        )
    )
    route = table.match('h.example', '/a/x')
    assert table.version == 7
    assert route.is_stream
    assert not route.is_idempotent
    assert route.stores_turns
    assert [target.service for target in route.targets] == ['s', 'z']
    assert table.service('s').max_connections == 10
    assert table.limits.idle_timeout_s == 15.0


def test_unknown_kind_is_not_repeated():
    table = records.decode_table(builders.configuration(kind='else'))
    assert not table.match('h.example', '/a/x').is_idempotent


def test_unreadable_configuration():
    with pytest.raises(errors.ValidationFailed):
        records.decode_table(b'{"version": "x"}')
