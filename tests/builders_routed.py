"""Builders for the tests of routed requests and kept turns."""

import json

from balsamdale import discovery
from balsamdale import history
from balsamdale import routes
from balsamdale import wire


def turn(number, parent=0, program='p', size=10, expires_at_s=1e9):
    """Return a kept turn `t<number>` that continues `t<parent>`."""
    return history.Turn(
        turn_id=f't{number}',
        parent_id=f't{parent}' if parent else '',
        program_id=program,
        input=b'i%d' % number + b'.' * size,
        output=b'o%d\n' % number,
        tokens=number,
        expires_at_s=expires_at_s,
    )


def charge(number, tokens, is_settled=False, program='p', expires_at_s=1e9):
    """Return an account's entry of turn `t<number>`."""
    return history.Charge(
        program, f't{number}', tokens, is_settled, expires_at_s
    )


def route(**changes):
    """Return a route to the service 's'."""
    fields = {
        'name': 'r',
        'host': 'h',
        'path_prefix': '/a/',
        'targets': (routes.Target('s'),),
        'is_idempotent': True,
        'is_stream': False,
        'timeout_s': 1.0,
        'objective_s': 0.2,
        'priority': 0,
        'attempt_limit': 2,
    }
    return routes.Route(**{**fields, **changes})


def server(name, **changes):
    """Return a ready backend server of the service 's'."""
    fields = {
        'server_id': name,
        'service': 's',
        'address': '10.0.0.1:80',
        'failure_domain': 'a',
        'slots': 4,
        'state': 'ready',
    }
    return discovery.Server(**{**fields, **changes})


def call(**changes):
    """Return a caller's request."""
    fields = {
        'request_id': 'q1',
        'method': 'POST',
        'host': 'h',
        'target': '/a/x',
        'headers': (),
        'body': b'in',
    }
    return wire.Call(**{**fields, **changes})


def configuration(version=1, **changes):
    """Return a configuration in the platform's form."""
    row = {
        'name': 'r',
        'host': 'h.example',
        'path_prefix': '/a/',
        'kind': 'idempotent',
        'timeout_ms': 1000,
        'slo_ms': 200,
        'priority': 1,
        'service': 's',
        'attempts': 2,
    }
    return json.dumps(
        {
            'version': version,
            'routes': [{**row, **changes}],
            'services': [{'name': 's', 'max_conns': 10}],
            'limits': {},
        }
    ).encode()
