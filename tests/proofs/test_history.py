"""Point 2: a program's history is never lost and never mixed."""

import pytest

from balsamdale import shard
from tests.proofs import session
from tests.proofs import shard_world


def everything(_owner, _effect):
    """Let every message arrive."""
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
    """Two short epochs fork; the older, longer branch must not come back."""
    world = shard_world.ShardSimulation(0)
    world.cut_rates = [0.0] * shard_world.DISKS
    first = world.take_over(0)
    world.settle(everything)
    for body in (b'1', b'2', b'3'):
        world.perform(first, first.append('p', (body,)))
    world.settle(lambda o, e: _goes_to(e, 'folder-0-0'))
    world.pending.clear()
    second = world.take_over(1)
    world.settle(lambda o, e: o is second and not _goes_to(e, 'folder-0-0'))
    assert second.can_serve
    world.perform(second, second.append('p', (b'x',)))
    world.settle(lambda o, e: o is second and not _goes_to(e, 'folder-0-0'))
    world.pending.clear()
    third = world.take_over(2)
    world.settle(lambda o, e: o is third and not _goes_to(e, 'folder-2-0'))
    assert third.can_serve and b'x' in [entry.body for entry in third.log]


@pytest.mark.point(2, 'replaced_before_caught_up')
def test_a_moved_copy_counts_only_once_it_is_caught_up():
    world = shard_world.ShardSimulation(0)
    world.cut_rates = [0.0] * shard_world.DISKS
    first = world.take_over(0)
    world.settle(lambda o, e: not _goes_to(e, 'folder-0-0'))
    world.perform(first, first.append('p', (b'1',)))
    world.settle(lambda o, e: not _goes_to(e, 'folder-0-0'))
    effects = first.replace_replica('folder-2-0', world.folder(3), 'move')
    world.perform(first, effects)
    world.perform(first, first.append('p', (b'2',)))
    world.settle(lambda o, e: _goes_to(e, 'folder-1-0') or _is_swap(e))
    world.pending.clear()
    second = world.take_over(1)
    world.settle(
        lambda o, e: (
            _is_swap(e)
            or _goes_to(e, 'folder-0-0')
            or _goes_to(e, 'folder-3-0')
        )
    )
    assert not second.can_serve


@pytest.mark.point(2, 'one_set_while_unknown')
def test_both_sets_hold_a_record_while_a_move_is_not_settled():
    world = shard_world.ShardSimulation(0)
    world.cut_rates = [0.0] * shard_world.DISKS
    first = world.take_over(0)
    world.settle(everything)
    effects = first.replace_replica('folder-2-0', world.folder(3), 'move')
    world.perform(first, effects)
    world.settle(lambda o, e: isinstance(e, shard.SendAppend))
    owner, swap = world.pending.pop()
    world.arrive(owner, swap, True)
    world.pending.clear()
    world.perform(first, first.append('p', (b'1',)))
    world.settle(
        lambda o, e: _goes_to(e, 'folder-1-0') or _goes_to(e, 'folder-2-0')
    )
    world.pending.clear()
    second = world.take_over(1)
    world.settle(
        lambda o, e: (
            _is_swap(e)
            or _goes_to(e, 'folder-0-0')
            or _goes_to(e, 'folder-3-0')
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


def _goes_to(effect, folder_id):
    """Tell whether a message goes to a folder; other effects go nowhere."""
    folder = getattr(effect, 'folder', None)
    return folder is not None and folder.folder_id == folder_id


def _is_swap(effect):
    return isinstance(effect, shard.SwapKey)
