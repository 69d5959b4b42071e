"""Tests of the decoding of configurations and registrations."""

import json

import pytest

from balsamdale import errors
from balsamdale.platform import records
from balsamdale import routes
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


def encode_server(**changes):
    registration = {**SERVER, **changes}
    return json.dumps(
        {k: v for k, v in registration.items() if v != ()}
    ).encode()


def test_server_is_decoded():
    decoded = records.decode_server('i-1', encode_server(cold_left_ms=250))
    assert decoded.server_id == 'i-1'
    assert decoded.failure_domain == 'a'
    assert decoded.started_ms == 1700000000000
    assert decoded.warm_up_s == 0.25
    assert records.decode_server('i', encode_server(born=())).started_ms == 0


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'\xff\x00',
        b'[]',
        b'null',
        encode_server(address=()),
        encode_server(slots='8'),
        encode_server(slots=True),
        encode_server(slots=0),
        encode_server(state='asleep'),
        encode_server(state=7),
        encode_server(address='nowhere'),
        encode_server(address='10.0.0.9:0'),
        encode_server(address='host:80'),
        encode_server(zone=None),
        encode_server(born=1.5),
        encode_server(born='x'),
        encode_server(cold_left_ms='x'),
        encode_server(seq=()),
        *(encode_server(**{key: ()}) for key in ('service', 'zone', 'slots')),
        *(encode_server(**{key: []}) for key in ('service', 'state', 'born')),
        encode_server(state=()),
        encode_server(state='Ready'),
        encode_server(slots=10**30),
        encode_server(slots=1e400),
        encode_server(born=-1),
        encode_server(born=2**63),
        encode_server(born=10**30),
        encode_server(cold_left_ms=float('nan')),
        encode_server(address='10.0.0.9:\u00b2'),
        encode_server(address='10.0.0.9:' + '9' * 5000),
        encode_server()[:-1],
        encode_server() + b'x',
        b'{"odd":' + b'[' * 100000 + b']' * 100000 + b'}',
    ],
)
def test_entry_that_names_no_server(value):
    with pytest.raises(errors.ValidationFailed):
        records.decode_server('i-1', value)


@pytest.mark.parametrize('server_id', ['', 'a\r\nb'])
def test_key_that_names_no_server(server_id):
    with pytest.raises(errors.ValidationFailed):
        records.decode_server(server_id, encode_server())


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


def test_workspaces_are_decoded_with_digests_of_their_keys():
    document = json.loads(builders.configuration(public=True))
    document['tenants'] = [
        {'name': 'a', 'api_keys': ['k'], 'rate_per_s': 5, 'burst': 2},
        {'name': 'b', 'api_keys': [], 'priority': 1},
    ]
    table = records.decode_table(json.dumps(document).encode())
    first = table.find_workspace(routes.key_digest('k'))
    assert (first.name, first.rate_per_s, first.burst) == ('a', 5, 2)
    assert [w.priority for w in table.workspaces] == [None, 1]
    assert table.match('h.example', '/a/x').is_public
    assert 'k' not in repr(table.workspaces[0].key_digests)


def test_unknown_kind_is_not_repeated():
    table = records.decode_table(builders.configuration(kind='else'))
    assert not table.match('h.example', '/a/x').is_idempotent


def test_unreadable_configuration():
    with pytest.raises(errors.ValidationFailed):
        records.decode_table(b'{"version": "x"}')
