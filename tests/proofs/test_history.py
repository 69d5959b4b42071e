"""Point 2: no record of a program is lost or attributed to another."""

import pytest

from balsamdale import shard
from tests.proofs import session
from tests.proofs import shard_world


def deliver_all(_owner, _effect):
    """Deliver every message."""
    return True


@pytest.mark.point(
    2,
    'fencing_off',
    'seal_of_one',
    'ack_of_one',
    'wiped_disk_counted',
    'no_epoch_start',
)
def test_no_acknowledged_record_is_lost(seeds):
    for seed in range(seeds * 30):
        shard_world.ShardSimulation(seed).run(400)


@pytest.mark.point(2, 'longest_log_first')
def test_a_longer_log_of_an_older_epoch_does_not_win():
    """Two epochs fork the log; the older, longer branch must not win."""
    simulation = shard_world.ShardSimulation(0)
    simulation.loss_rates = [0.0] * shard_world.DISK_COUNT
    first = simulation.take_over(0)
    simulation.settle(deliver_all)
    for body in (b'1', b'2', b'3'):
        simulation.perform(first, first.append('p', (body,)))
    simulation.settle(lambda owner, effect: _is_sent_to(effect, 'folder-0-0'))
    simulation.pending.clear()
    second = simulation.take_over(1)
    simulation.settle(
        lambda owner, effect: (
            owner is second and not _is_sent_to(effect, 'folder-0-0')
        )
    )
    assert second.can_serve
    simulation.perform(second, second.append('p', (b'x',)))
    simulation.settle(
        lambda owner, effect: (
            owner is second and not _is_sent_to(effect, 'folder-0-0')
        )
    )
    simulation.pending.clear()
    third = simulation.take_over(2)
    simulation.settle(
        lambda owner, effect: (
            owner is third and not _is_sent_to(effect, 'folder-2-0')
        )
    )
    assert third.can_serve and b'x' in [entry.body for entry in third.log]


@pytest.mark.point(2, 'replaced_before_caught_up')
def test_a_moved_copy_counts_only_once_it_is_caught_up():
    simulation = shard_world.ShardSimulation(0)
    simulation.loss_rates = [0.0] * shard_world.DISK_COUNT
    first = simulation.take_over(0)
    simulation.settle(
        lambda owner, effect: not _is_sent_to(effect, 'folder-0-0')
    )
    simulation.perform(first, first.append('p', (b'1',)))
    simulation.settle(
        lambda owner, effect: not _is_sent_to(effect, 'folder-0-0')
    )
    effects = first.replace_replica('folder-2-0', simulation.folder(3), 'move')
    simulation.perform(first, effects)
    simulation.perform(first, first.append('p', (b'2',)))
    simulation.settle(
        lambda owner, effect: (
            _is_sent_to(effect, 'folder-1-0') or _is_key_swap(effect)
        )
    )
    simulation.pending.clear()
    second = simulation.take_over(1)
    simulation.settle(
        lambda owner, effect: (
            _is_key_swap(effect)
            or _is_sent_to(effect, 'folder-0-0')
            or _is_sent_to(effect, 'folder-3-0')
        )
    )
    assert not second.can_serve


@pytest.mark.point(2, 'one_set_while_unknown')
def test_both_sets_hold_a_record_while_a_move_is_not_settled():
    simulation = shard_world.ShardSimulation(0)
    simulation.loss_rates = [0.0] * shard_world.DISK_COUNT
    first = simulation.take_over(0)
    simulation.settle(deliver_all)
    effects = first.replace_replica('folder-2-0', simulation.folder(3), 'move')
    simulation.perform(first, effects)
    simulation.settle(
        lambda owner, effect: isinstance(effect, shard.SendAppend)
    )
    owner, swap = simulation.pending.pop()
    simulation.deliver_effect(owner, swap, True)
    simulation.pending.clear()
    simulation.perform(first, first.append('p', (b'1',)))
    simulation.settle(
        lambda owner, effect: (
            _is_sent_to(effect, 'folder-1-0')
            or _is_sent_to(effect, 'folder-2-0')
        )
    )
    simulation.pending.clear()
    second = simulation.take_over(1)
    simulation.settle(
        lambda owner, effect: (
            _is_key_swap(effect)
            or _is_sent_to(effect, 'folder-0-0')
            or _is_sent_to(effect, 'folder-3-0')
        )
    )
    assert second.can_serve


@pytest.mark.point(2, 'histories_mixed', 'fencing_off')
def test_a_session_leaves_each_program_its_own_history(sweep):
    for case in sweep:
        for name, view in case.result.views.items():
            assert view.program_id == name
            expected = [session.ALERT_TEXT, 'and later', 'and then']
            assert sorted(session.turn_texts(view)) == sorted(expected), (
                case.name
            )
            ids = {turn.request_id for turn in view.turns}
            assert ids == {f'{name}-{i}' for i in range(3)}, case.name


def _is_sent_to(effect, folder_id):
    """Tell whether an effect is a message to a folder."""
    folder = getattr(effect, 'folder', None)
    return folder is not None and folder.folder_id == folder_id


def _is_key_swap(effect):
    return isinstance(effect, shard.SwapKey)
