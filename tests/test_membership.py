"""Tests of failure detection, refutation and dissemination."""

import random

from balsamdale import membership
from balsamdale import messages


def make_membership(count=5, own_index=0):
    """Return the membership of one of `count` live instances."""
    instances = [
        membership.Instance(f'i{number}', f'd{number % 3}', '', '')
        for number in range(count)
    ]
    members = membership.Membership(
        instances[own_index], 1, '', random.Random(1)
    )
    for instance in instances:
        members.add_instance(instance)
        members.merge(member_update(instance.instance_id))
    members.next_updates()
    return members


def member_update(name, incarnation=1, status='alive'):
    """Return an update about an instance."""
    return messages.MemberUpdate(name, incarnation, status, '')


def run_with_silent_peer(members, peer_id, duration_s):
    """Let time pass, in which every peer but one replies.

    Returns:
        The effects of all ticks.
    """
    effects = []
    now_s = 0.0
    while now_s <= duration_s:
        effects += members.tick(now_s)
        for name in members.reachable():
            if name != peer_id:
                members.record_heartbeat(name, (), now_s)
        now_s += membership.PING_INTERVAL_S
    return effects


def watched_peer_ids(members):
    """Return the ids of the peers that are pinged at every tick."""
    return members._watched_peer_ids()


def test_a_silent_successor_is_probed_then_declared_dead():
    members = make_membership()
    silent_id = watched_peer_ids(members)[0]
    detection_s = membership.SILENCE_LIMIT_S + membership.SUSPICION_TIMEOUT_S
    detection_s += 2 * membership.PING_INTERVAL_S
    effects = run_with_silent_peer(members, silent_id, detection_s)
    probes = [
        effect
        for effect in effects
        if isinstance(effect, membership.SendProbe)
    ]
    assert {probe.target_id for probe in probes} == {silent_id}
    assert membership.StatusChanged(silent_id, 'dead') in effects
    assert members.status(silent_id) == 'dead'


def test_a_broken_connection_needs_no_silence():
    members = make_membership()
    peer_id = members.reachable()[0]
    effects = members.suspect(peer_id, 10.0)
    assert membership.SendPing(peer_id) in effects
    assert any(isinstance(effect, membership.SendProbe) for effect in effects)
    assert not members.check_peers(10.0 + membership.SUSPICION_TIMEOUT_S / 2)
    status_changes = members.check_peers(10.0 + membership.SUSPICION_TIMEOUT_S)
    assert membership.StatusChanged(peer_id, 'dead') in status_changes


def test_an_answer_clears_a_broken_connection():
    members = make_membership()
    peer_id = members.reachable()[0]
    members.suspect(peer_id, 10.0)
    members.record_heartbeat(peer_id, (), 10.1)
    members.check_peers(10.0 + membership.SUSPICION_TIMEOUT_S)
    assert members.status(peer_id) == 'alive'


def test_a_voucher_prevents_the_verdict():
    members = make_membership()
    silent_id = watched_peer_ids(members)[0]
    members.suspect(silent_id, 1.0)
    members.confirm_alive(silent_id, 1.1)
    members.check_peers(1.0 + membership.SUSPICION_TIMEOUT_S)
    assert members.status(silent_id) == 'alive'


def test_a_wrongly_suspected_instance_refutes():
    members = make_membership()
    members.merge(member_update('i0', 1, 'dead'))
    assert members.status('i0') == 'alive'
    own_update = next(
        update
        for update in members.next_updates()
        if update.instance_id == 'i0'
    )
    assert own_update.incarnation == 2


def test_news_of_an_older_incarnation_changes_nothing():
    members = make_membership()
    members.merge(member_update('i1', 3))
    assert not members.merge(member_update('i1', 2, 'dead'))
    assert members.status('i1') == 'alive'


def test_each_change_is_sent_a_bounded_number_of_times():
    members = make_membership()
    members.merge(member_update('i1', 2, 'leaving'))
    sent = sum(
        any(update.instance_id == 'i1' for update in members.next_updates())
        for _ in range(200)
    )
    assert 0 < sent < 40


def test_the_cost_of_a_tick_does_not_grow_with_the_fleet():
    for count in (5, 50, 500):
        pings = [
            effect
            for effect in make_membership(count).tick(0.0)
            if isinstance(effect, membership.SendPing)
        ]
        assert len(pings) == membership.WATCHED_SUCCESSORS + 1
