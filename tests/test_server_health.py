"""Tests of attempts at silent servers, on a virtual clock."""

import asyncio
import contextlib
import itertools
import types
from unittest import mock

import pytest

from balsamdale import errors
from balsamdale import server_health
from tests import builders_routed as builders
from tests import virtual

SILENT = builders.server('silent', address='h:1')
OTHER = builders.server('other', address='h:2')
CHECK_S = 0.25


class Paths:
    """Paths to servers with given verdicts.

    Attributes:
        verdicts: verdict by server id; 'direct' for the others.
        checked: ids of the servers that were checked, with the time.
    """

    def __init__(self, **verdicts):
        self.verdicts = verdicts
        self.checked = []
        self._checks = {}

    async def check(self, server, has_failed=False):
        task = self._checks.get(server.server_id)
        if task is None or task.done():
            task = asyncio.create_task(self._check(server))
            self._checks[server.server_id] = task
        return await asyncio.shield(task)

    async def _check(self, server):
        self.checked.append((server.server_id, _now_s()))
        verdict = self.verdicts.get(server.server_id, 'direct')
        await asyncio.sleep(0.0 if verdict == 'direct' else CHECK_S)
        return verdict

    def helper_id(self, server):
        is_relayed = self.verdicts.get(server.server_id) == 'relayed'
        return 'helper' if is_relayed else ''

    def is_refused(self, _server):
        return False


class Health:
    """Health of servers on given paths, and attempts at 'silent'."""

    def __init__(self, paths):
        self.context = mock.Mock()
        self.context.clock = _now_s
        self.context.paths = paths
        self.context.directory.ready.return_value = (SILENT, OTHER)
        self.context.balancer.mark_suspected.side_effect = itertools.chain(
            [True], itertools.repeat(False)
        )
        self.context.http_client.is_reachable = self._is_reachable
        self.context.http_client.probe = self._probe
        self.connection = 'open'
        self.health = server_health.ServerHealth(self.context)

    async def _is_reachable(self, _address):
        await asyncio.sleep(CHECK_S)
        return False

    async def _probe(self, _address):
        await asyncio.sleep(CHECK_S)
        return self.connection

    async def attempt(self, took_s, find_other=lambda: None):
        """Wait for an answer; return True, or the error that stopped it."""
        state = types.SimpleNamespace(
            call=builders.call(), helper_id='', last_received_s=0.0
        )
        try:
            async with self.health.move_if_unreachable(
                state, SILENT, find_other
            ):
                await asyncio.sleep(took_s)
        except errors.BackendFailed as failure:
            return type(failure)
        return True


def _now_s():
    return asyncio.get_running_loop().time()


VERDICTS = ['unreachable', 'unconfirmed', 'relayed']


@pytest.mark.parametrize('verdict', VERDICTS)
def test_attempt_that_cannot_move_waits_for_its_server(verdict):
    """A suspended server that takes no connections goes on a second later."""

    async def scenario():
        health = Health(Paths(silent=verdict))
        assert await health.attempt(5.0) is True
        is_suspected = health.context.balancer.mark_suspected.called
        assert is_suspected == (verdict != 'relayed')

    virtual.run(scenario())


@pytest.mark.parametrize('verdict', VERDICTS)
@pytest.mark.parametrize('other_verdict', ['direct', *VERDICTS])
def test_attempt_moves_only_to_a_server_that_is_reached(
    verdict, other_verdict
):
    """One that moved to servers as silent as its own was answered 502."""

    async def scenario():
        health = Health(Paths(silent=verdict, other=other_verdict))
        result = await health.attempt(5.0, lambda: OTHER)
        if other_verdict in ('direct', 'relayed'):
            is_relayed = verdict == 'relayed'
            error = errors.PathLost if is_relayed else errors.ServerSilent
            assert result is error
        else:
            assert result is True

    virtual.run(scenario())


@pytest.mark.parametrize('connection', ['open', 'refused', 'silent'])
def test_attempt_ends_once_only_its_entry_has_lost_the_server(connection):
    """Others also reach a suspended server that has just gone on."""

    async def scenario():
        health = Health(Paths(silent='relayed'))
        health.connection = connection
        is_cut = connection == 'silent'
        result = await health.attempt(5.0)
        assert result is (errors.PathLost if is_cut else True)

    virtual.run(scenario())


def test_attempts_at_one_silent_server_share_their_connections():
    """Each connection takes a place in the backlog of a suspended server."""

    async def scenario():
        health = Health(Paths())
        async with asyncio.TaskGroup() as group:
            for _ in range(20):
                group.create_task(health.attempt(3.0, lambda: OTHER))
                await asyncio.sleep(0.017)
        times_s = [at_s for _, at_s in health.context.paths.checked]
        gaps_s = [b - a for a, b in zip(times_s, times_s[1:], strict=False)]
        assert times_s
        assert min(gaps_s) > server_health.SILENCE_BEFORE_CHECK_S - 0.001

    virtual.run(scenario())


def test_attempts_that_wait_for_a_server_do_not_check_it_again():
    """Each check of an unreachable server asks other entries."""

    async def scenario():
        health = Health(Paths(silent='unreachable'))
        async with asyncio.TaskGroup() as group:
            for _ in range(20):
                group.create_task(health.attempt(3.0))
                await asyncio.sleep(0.017)
        # Those of the recovery are two seconds apart.
        assert len(health.context.paths.checked) <= 4

    virtual.run(scenario())


def test_attempt_whose_answer_begins_meanwhile_does_not_move():
    """The caller has a part of the answer, so no other may follow."""

    async def scenario():
        health = Health(Paths(silent='unreachable', other='relayed'))
        others = iter([OTHER])
        assert await health.attempt(5.0, lambda: next(others, None)) is True

    virtual.run(scenario())


def test_attempt_moves_when_its_server_stops_accepting():
    async def scenario():
        paths = Paths()
        health = Health(paths)
        request_task = asyncio.create_task(health.attempt(5.0, lambda: OTHER))
        await asyncio.sleep(1.0)
        assert not request_task.done()
        paths.verdicts['silent'] = 'unreachable'
        async with asyncio.timeout(
            server_health.SILENCE_BEFORE_CHECK_S + CHECK_S + 0.01
        ):
            assert await request_task is errors.ServerSilent

    virtual.run(scenario())


def test_ended_attempt_leaves_no_watch():
    async def scenario():
        health = Health(Paths())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await health.attempt(5.0)
        checks = len(health.context.paths.checked)
        await asyncio.sleep(5.0)
        assert len(health.context.paths.checked) == checks

    virtual.run(scenario())
