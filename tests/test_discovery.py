"""Tests of the backend servers that are known."""

from balsamdale import discovery
from tests import builders_routed as builders


def names(directory):
    return {server.server_id for server in directory.ready('s')}


def test_only_ready_servers_take_work():
    directory = discovery.Directory()
    directory.put(builders.server('x'))
    directory.put(builders.server('y', state='draining'))
    directory.put(builders.server('z', service='other'))
    assert names(directory) == {'x'}
    directory.put(builders.server('x', state='draining'))
    assert names(directory) == set()


def test_removed_server_is_gone_at_once():
    directory = discovery.Directory()
    directory.put(builders.server('x'))
    directory.remove('x', 0.0, is_tentative=False)
    directory.remove('unknown', 0.0, is_tentative=False)
    assert names(directory) == set()


def test_lapsed_server_is_kept_until_the_grace_ends():
    directory = discovery.Directory()
    directory.put(builders.server('x'))
    directory.remove('x', 10.0, is_tentative=True)
    directory.expire(10.0 + discovery.REREGISTRATION_GRACE_S - 0.1)
    assert names(directory) == {'x'}
    directory.expire(10.0 + discovery.REREGISTRATION_GRACE_S)
    assert names(directory) == set()


def test_lapsed_server_that_returns_stays():
    directory = discovery.Directory()
    directory.put(builders.server('x'))
    directory.remove('x', 10.0, is_tentative=True)
    directory.put(builders.server('x'))
    directory.expire(99.0)
    assert names(directory) == {'x'}
