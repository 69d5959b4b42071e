"""Tests of the client and the service of quotas over links."""

import asyncio
import inspect
import random

import pytest

from balsamdale import errors
from balsamdale import link
from balsamdale import members
from balsamdale import placement
from balsamdale import quota
from balsamdale import quota_service
from balsamdale import relay
from balsamdale import routes
from tests import virtual

ARCHIVES = ['a0', 'a1', 'a2']
LIMITER, NEXT_LIMITER = placement.rank('w', ARCHIVES)[:2]


def workspace(rate_per_s=10.0, burst=20.0):
    return routes.Workspace('w', rate_per_s=rate_per_s, burst=burst)


async def _reply_alive(_sender, _message):
    yield members.Alive(False)


class Fleet:
    """Two entries and three archives on links in memory."""

    def __init__(self):
        self.network = link.MemoryNetwork()
        self.clock = asyncio.get_running_loop().time
        self.names = list(ARCHIVES)
        self.links, self.services, self.tasks = {}, {}, {}
        self.messages = []
        self.reply_delay_s = 0.0
        self.change_reply = lambda reply: reply
        for name in ARCHIVES:
            self.links[name] = link.MemoryLinks(name, self.network)
            self.links[name].serve(members.AskAlive, _reply_alive)
            self.start_service(name)
        self.clients = {name: self._make_client(name) for name in ('e0', 'e1')}

    def start_service(self, name):
        """Start or restart the service of an archive."""
        if name in self.tasks:
            self.tasks[name].cancel()
        service = quota_service.QuotaService(
            self.links[name], lambda: list(self.names), self.clock
        )
        self.services[name] = service
        self.tasks[name] = asyncio.create_task(service.run())

        async def record(sender, message):
            self.messages.append((name, message))
            async for reply in service._on_lend_units(sender, message):
                await asyncio.sleep(self.reply_delay_s)
                yield self.change_reply(reply)

        self.links[name].serve(quota_service.LendUnits, record)

    def _make_client(self, name):
        relay_links = relay.RelayLinks(
            link.MemoryLinks(name, self.network),
            lambda: [n for n in ('e0', 'e1') if n != name],
            random.Random(name),
        )
        return quota.QuotaClient(
            relay_links, lambda: list(self.names), lambda: 2, self.clock, 1
        )

    async def acquire(self, count=1, entry='e0', version=1, limit=None):
        """Send concurrent requests; return Retry-After or None for each."""
        first = len(self.messages)
        results = await asyncio.gather(
            *(
                self.clients[entry].acquire(
                    limit or workspace(), f'{first}-{n}', version
                )
                for n in range(count)
            ),
            return_exceptions=True,
        )
        for result in results:
            assert result is None or isinstance(result, errors.Refused)
        return [r.retry_after_s if r else None for r in results]

    def cut(self, *names):
        for name in names:
            self.network.cuts |= {('e0', name), ('e1', name)}

    def gauge(self, part, name):
        return part.gauges()[f'quota_{name}'][1]()


def fleet_test(test):
    """Run a test with a fleet whose limiters have full buckets."""

    async def run(**arguments):
        fleet = Fleet()
        await asyncio.sleep(10.0)
        await test(fleet, **arguments)

    def wrapper(**arguments):
        virtual.run(run(**arguments))

    parameters = list(inspect.signature(test).parameters.values())[1:]
    wrapper.__signature__ = inspect.Signature(parameters)
    return wrapper


@fleet_test
async def test_concurrent_requests_share_a_message(fleet):
    assert await fleet.acquire(12) == [None] * 12
    assert [len(m.programs) for _, m in fleet.messages] == [12]
    assert fleet.messages[0][0] == LIMITER


@fleet_test
async def test_workspace_without_a_limit_needs_no_message(fleet):
    await fleet.acquire(50, limit=workspace(0.0))
    assert not fleet.messages


@fleet_test
async def test_refused_requests_of_both_entries_get_successive_times(fleet):
    times = [
        *(await fleet.acquire(41)),
        *(await fleet.acquire(2, 'e1')),
    ]
    assert times[:39] == [None] * 39
    assert times[39:] == pytest.approx([0.1, 0.2, 0.3, 0.4])


@fleet_test
async def test_unit_that_is_due_soon_is_waited_for(fleet):
    limit = workspace(50.0, 1.0)
    start_s = fleet.clock()
    assert await fleet.acquire(39, limit=limit) == [None] * 39
    assert fleet.clock() - start_s == pytest.approx(0.018)


@fleet_test
async def test_unit_given_back_is_used_by_the_next_request(fleet):
    await fleet.acquire()
    fleet.clients['e0'].give_back('w')
    await fleet.acquire()
    assert len(fleet.messages) == 1


@fleet_test
async def test_unit_given_back_is_returned_if_it_is_not_used(fleet):
    await fleet.acquire()
    await fleet.acquire()
    for _ in range(2):
        fleet.clients['e0'].give_back('w')
    await asyncio.sleep(1.0)
    assert [m.returned for _, m in fleet.messages] == [0, 0, 2]
    service = fleet.services[LIMITER]
    assert fleet.gauge(service, 'limiter_units_returned') == 2


@fleet_test
async def test_caller_that_disconnects_gives_its_unit_back(fleet):
    fleet.reply_delay_s = 0.02
    task = asyncio.create_task(fleet.acquire())
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.sleep(0.1)
    await fleet.acquire()
    assert len(fleet.messages) == 1


@fleet_test
async def test_silent_limiter_costs_one_wait_and_no_other_is_asked(fleet):
    await fleet.acquire()
    fleet.cut(LIMITER)
    start_s = fleet.clock()
    await fleet.acquire()
    assert fleet.clock() - start_s == pytest.approx(0.06)
    await fleet.acquire(40)
    assert fleet.clock() - start_s == pytest.approx(0.06)
    await asyncio.sleep(1.0)
    assert {name for name, _ in fleet.messages} == {LIMITER}
    client = fleet.clients['e0']
    admitted = fleet.gauge(client, 'fallback_admitted')
    # Its share of the limit: all of it, as the other entry had nothing.
    assert 5 <= admitted <= 21
    assert fleet.gauge(client, 'fallback_refused') == 41 - admitted
    # The limiter counts them once it replies.
    fleet.network.cuts.clear()
    await asyncio.sleep(1.0)
    await fleet.acquire()
    await asyncio.sleep(0.1)
    await fleet.acquire()
    assert sum(m.admitted for _, m in fleet.messages) >= admitted


@fleet_test
async def test_limiter_is_asked_through_a_relay(fleet):
    fleet.network.cuts |= {('e0', LIMITER), (LIMITER, 'e0')}
    await fleet.acquire()
    await asyncio.sleep(0.3)
    await fleet.acquire()
    await asyncio.sleep(0.1)
    await fleet.acquire(5)
    assert len(fleet.messages[-1][1].programs) == 5


@fleet_test
async def test_units_that_arrive_late_are_used_by_the_next_request(fleet):
    fleet.reply_delay_s = 0.1
    await fleet.acquire()
    await asyncio.sleep(0.1)
    await fleet.acquire()
    assert len(fleet.messages) == 1
    assert fleet.gauge(fleet.clients['e0'], 'fallback_admitted') == 1


@pytest.mark.parametrize('event', ('restart', 'replace'))
@fleet_test
async def test_new_limiter_lends_no_second_burst(fleet, event):
    assert (await fleet.acquire(39)).count(None) == 39
    if event == 'restart':
        fleet.start_service(LIMITER)
    else:
        fleet.names.remove(LIMITER)
        # A limiter notices it before it lends again.
        fleet.services[NEXT_LIMITER]._observe()
    assert (await fleet.acquire(20)).count(None) == 8
    expected = LIMITER if event == 'restart' else NEXT_LIMITER
    assert fleet.messages[-1][0] == expected


@fleet_test
async def test_archive_that_is_not_the_limiter_lends_nothing(fleet):
    # The entry knows of the removal before the archives.
    fleet.clients['e0']._candidates = lambda: [NEXT_LIMITER]
    await fleet.acquire()
    service = fleet.services[NEXT_LIMITER]
    assert fleet.gauge(service, 'limiter_units_lent') == 0
    assert fleet.gauge(service, 'limiter_ignored') == 1
    assert fleet.gauge(fleet.clients['e0'], 'fallback_admitted') == 1


@fleet_test
async def test_newest_limit_wins_and_a_lower_one_binds_at_once(fleet):
    await fleet.acquire()
    low = workspace(1.0, 2.0)
    lent = (await fleet.acquire(10, 'e1', 2, low)).count(None)
    lent += (await fleet.acquire(10, 'e0', 1)).count(None)
    assert lent == 7


@pytest.mark.parametrize(
    'changes',
    (
        {'rate_per_s': float('nan')},
        {'rate_per_s': -1.0},
        {'burst': float('inf')},
        {'programs': (-1,)},
        {'programs': (0,) * 1001, 'max_waits_s': (0.0,) * 1001},
        {'returned': -5},
        {'max_waits_s': (float('nan'),)},
        {'max_waits_s': ()},
        {'admitted': -5},
        {'workspace': ''},
    ),
)
@fleet_test
async def test_malformed_message_changes_nothing(fleet, changes):
    fields = {
        'entry_id': 'e0',
        'workspace': 'w',
        'version': 9,
        'rate_per_s': 1.0,
        'burst': 1.0,
        'programs': (1,),
        'returned': 0,
        'max_waits_s': (0.1,),
    }
    message = quota_service.LendUnits(**{**fields, **changes})
    service = fleet.services[LIMITER]
    (reply,) = [r async for r in service._on_lend_units('e0', message)]
    assert not reply.is_limiter
    assert fleet.gauge(service, 'limiter_ignored') == 1
    assert fleet.gauge(service, 'limiter_buckets') == 0


@pytest.mark.parametrize(
    'reply',
    (
        quota_service.UnitsLent((True,) * 99, (0.0,) * 99, 0.0, 0.0),
        quota_service.UnitsLent((False,), (float('nan'),), 0.0, 0.0),
        quota_service.UnitsLent((True,), (60.0,), 0.0, 0.0),
        members.Heard(),
    ),
)
@fleet_test
async def test_malformed_reply_is_no_decision(fleet, reply):
    fleet.change_reply = lambda _reply: reply
    await fleet.acquire()
    client = fleet.clients['e0']
    assert fleet.gauge(client, 'fallback_admitted') == 1
    assert fleet.gauge(client, 'units_received') == 0
