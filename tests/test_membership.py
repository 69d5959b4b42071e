"""Tests of the membership: verdicts, refutations and spreading."""

import random

from balsamdale import membership
from balsamdale import messages


def make(count=5, own=0):
    """Return a membership that knows a number of live instances."""
    instances = [
        membership.Instance(f'i{n}', f'd{n % 3}', '', '') for n in range(count)
    ]
    held = membership.Membership(instances[own], 1, '', random.Random(1))
    for instance in instances:
        held.add_instance(instance)
        held.merge(update(instance.instance_id))
    held.next_updates()
    return held


def update(name, incarnation=1, status='alive'):
    """Return what is known of an instance."""
    return messages.MemberUpdate(name, incarnation, status, '')


def silence(held, peer_id, seconds):
    """Let time pass; every watched peer but one answers."""
    effects = []
    now_s = 0.0
    while now_s <= seconds:
        effects += held.tick(now_s)
        for name in held.reachable():
            if name != peer_id:
                held.record_heartbeat(name, (), now_s)
        now_s += membership.PING_INTERVAL_S
    return effects


def watched(held):
    """Return the peers that are pinged at every tick."""
    return held._watched()


def test_a_silent_successor_is_probed_then_declared_dead():
    held = make()
    victim = watched(held)[0]
    bound_s = membership.SILENCE_LIMIT_S + membership.SUSPICION_TIMEOUT_S
    bound_s += 2 * membership.PING_INTERVAL_S
    effects = silence(held, victim, bound_s)
    probes = [e for e in effects if isinstance(e, membership.SendProbe)]
    assert {probe.target_id for probe in probes} == {victim}
    assert membership.StatusChanged(victim, 'dead') in effects
    assert held.status(victim) == 'dead'


def test_a_broken_connection_needs_no_silence():
    held = make()
    peer_id = held.reachable()[0]
    effects = held.suspect(peer_id, 10.0)
    assert membership.SendPing(peer_id) in effects
    assert any(isinstance(e, membership.SendProbe) for e in effects)
    assert not held.check_peers(10.0 + membership.SUSPICION_TIMEOUT_S / 2)
    verdict = held.check_peers(10.0 + membership.SUSPICION_TIMEOUT_S)
    assert membership.StatusChanged(peer_id, 'dead') in verdict


def test_an_answer_clears_a_broken_connection():
    held = make()
    peer_id = held.reachable()[0]
    held.suspect(peer_id, 10.0)
    held.record_heartbeat(peer_id, (), 10.1)
    held.check_peers(10.0 + membership.SUSPICION_TIMEOUT_S)
    assert held.status(peer_id) == 'alive'


def test_a_voucher_prevents_the_verdict():
    held = make()
    victim = watched(held)[0]
    held.suspect(victim, 1.0)
    held.confirm_alive(victim, 1.1)
    held.check_peers(1.0 + membership.SUSPICION_TIMEOUT_S)
    assert held.status(victim) == 'alive'


def test_a_wrongly_suspected_instance_refutes():
    held = make()
    held.merge(update('i0', 1, 'dead'))
    assert held.status('i0') == 'alive'
    own = next(u for u in held.next_updates() if u.instance_id == 'i0')
    assert own.incarnation == 2


def test_news_of_an_older_incarnation_changes_nothing():
    held = make()
    held.merge(update('i1', 3))
    assert not held.merge(update('i1', 2, 'dead'))
    assert held.status('i1') == 'alive'


def test_each_change_is_sent_a_bounded_number_of_times():
    held = make()
    held.merge(update('i1', 2, 'leaving'))
    sent = sum(
        any(u.instance_id == 'i1' for u in held.next_updates())
        for _ in range(200)
    )
    assert 0 < sent < 40


def test_the_cost_of_a_tick_does_not_grow_with_the_fleet():
    for count in (5, 50, 500):
        pings = [
            e
            for e in make(count).tick(0.0)
            if isinstance(e, membership.SendPing)
        ]
        assert len(pings) == membership.WATCHED_SUCCESSORS + 1
