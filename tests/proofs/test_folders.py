"""Points 2 and 3: turns and budgets while disks and replica sets change.

Random simulations search for unforeseen faults; the scenarios each fail for
the mutations that their mark names.
"""

import hypothesis
from hypothesis import strategies
import pytest

from balsamdale import copies
from tests.proofs import archive_world
from tests.proofs import folder_world

# Seeds of a scenario: they decide the order of messages and changes.
SEED_COUNT = 8
PROGRAM_COUNT = 24
DOWN_S = 2.5
SMALL_NUMBERS = strategies.integers(0, 9)
DOWN_TIMES_S = strategies.sampled_from((0.3, 1.0, 3.0, 8.0))
TURNS = strategies.builds(
    archive_world.Turn,
    entry=strategies.integers(0, 1),
    program=strategies.integers(0, 3),
    parent=SMALL_NUMBERS,
    tokens=strategies.integers(0, archive_world.MAX_TURN_TOKENS),
    end=strategies.sampled_from(archive_world.ENDS),
    has_budget=strategies.booleans(),
)
TURN_TUPLES = strategies.lists(TURNS, max_size=3).map(tuple)
STEPS = strategies.one_of(
    TURNS,
    strategies.builds(
        archive_world.ConcurrentTurns,
        strategies.lists(TURNS, min_size=2, max_size=6).map(tuple),
    ),
    strategies.builds(
        folder_world.Restart,
        SMALL_NUMBERS,
        DOWN_TIMES_S,
        strategies.sampled_from(folder_world.DISK_KINDS),
        TURN_TUPLES,
        strategies.booleans(),
    ),
    strategies.builds(
        folder_world.Cut, SMALL_NUMBERS, DOWN_TIMES_S, TURN_TUPLES
    ),
    strategies.builds(
        folder_world.Add,
        strategies.integers(1, 3),
        strategies.lists(TURN_TUPLES, max_size=8).map(tuple),
    ),
    strategies.builds(
        folder_world.RepeatId, strategies.integers(0, 3), SMALL_NUMBERS
    ),
    strategies.builds(folder_world.Remove, SMALL_NUMBERS),
    strategies.builds(
        folder_world.Empty,
        SMALL_NUMBERS,
        strategies.sampled_from(('kept', 'empty')),
    ),
    strategies.builds(
        folder_world.RestartAll,
        strategies.sampled_from(('kept', 'unsynced lost')),
        TURN_TUPLES,
        strategies.sampled_from((0.0, 0.01, 0.03)),
    ),
    strategies.builds(
        archive_world.Wait, strategies.sampled_from((0.5, 5.0, 18.0, 40.0))
    ),
)


def test_random_changes_break_no_promise(seeds):
    """Runs the same simulations each time, and more in a long run."""

    @hypothesis.settings(
        max_examples=5 * seeds,
        derandomize=True,
        database=None,
        deadline=None,
        print_blob=False,
        # Runs of minutes would follow a failure; the steps are printed.
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        losses=strategies.integers(1, 2),
        seed=strategies.integers(0, 10**6),
        steps=strategies.lists(STEPS, min_size=1, max_size=16),
    )
    def check(losses, seed, steps):
        folder_world.play(losses, seed, steps)

    check()


def turn(parent=0, program=0, tokens=0, has_budget=False):
    return archive_world.Turn(
        0, program, parent, tokens, 'stored', (), has_budget
    )


def first_turns(count=PROGRAM_COUNT):
    return tuple(turn(program=number) for number in range(count))


def play(*steps):
    for seed in range(SEED_COUNT):
        folder_world.play(1, seed, list(steps))


@pytest.mark.parametrize('is_planned', [False, True])
def test_turns_outlive_a_folder_that_is_removed_after_another_restarted(
    is_planned,
):
    """Guards against review/12.

    The first folder that had read the others deleted the key of the lost
    one, and the rest never did.
    """
    play(
        folder_world.Add(),
        archive_world.Wait(2.0),
        folder_world.Restart(
            0, DOWN_S, turns=first_turns(), is_planned=is_planned
        ),
        archive_world.Wait(5.0),
        folder_world.Remove(2),
    )


@pytest.mark.point(2, 'lost_key_goes_first')
def test_turns_outlive_a_folder_that_is_removed_after_another_was_cut_off():
    play(
        folder_world.Add(),
        archive_world.Wait(2.0),
        folder_world.Cut(0, DOWN_S, turns=first_turns()),
        archive_world.Wait(5.0),
        folder_world.Remove(2),
    )


def distant_program():
    """Return a program that has no replica of program 0 among six folders."""
    names = [f'd{number}' for number in range(1, 7)]

    def replicas(number):
        return set(copies.replicas(f'p{number}.0', names, 1))

    return next(n for n in range(1, 500) if not replicas(0) & replicas(n))


@pytest.mark.point(2, 'chain_left_behind')
def test_turn_outlives_the_first_program_of_its_chain():
    """Guards against review/14.

    The turns of two programs were on different folders, so that nothing
    retained the first one for as long as the second.
    """
    program = distant_program()
    play(
        *[folder_world.Add()] * 3,
        archive_world.Wait(1.0),
        turn(),
        archive_world.Wait(22.0),
        turn(1, program),
        archive_world.Wait(55.0),
        turn(-1, program),
    )


@pytest.mark.point(2, 'chain_left_behind')
def test_chain_outlives_gaps_on_every_folder():
    """Guards against review/11.

    Each folder lacked one turn of a chain and retained the turns before it
    no longer than by themselves.
    """
    play(
        folder_world.Cut(0, DOWN_S, turns=(turn(),)),
        archive_world.Wait(30.0),
        folder_world.Cut(1, DOWN_S, turns=(turn(-1),)),
        archive_world.Wait(30.0),
        folder_world.Cut(2, DOWN_S, turns=(turn(-1),)),
        archive_world.Wait(50.0),
        turn(-1),
    )


def spend(tokens=archive_world.MAX_TURN_TOKENS, program=0, entry=0):
    return archive_world.Turn(entry, program, 0, tokens, 'stored')


@pytest.mark.point(3, 'account_ends_with_turn')
def test_budget_outlives_a_pause_on_a_folder_that_missed_the_last_charge():
    """Guards against review/13.

    The folder dropped the account, and with another that had missed the
    charges before, it made a majority that knew a part of them.
    """
    play(
        folder_world.Cut(2, DOWN_S, turns=(spend(),) * 3),
        archive_world.Wait(24.0),
        folder_world.Cut(1, DOWN_S, turns=(spend(),)),
        archive_world.Wait(52.0),
        folder_world.Cut(0, DOWN_S, turns=(spend(),) * 4),
    )


@pytest.mark.point(3, 'early_charges_deleted')
def test_budget_of_a_long_program_outlives_restarts():
    """Guards against accounts whose early charges lived in memory alone."""
    play(
        *[spend(40), archive_world.Wait(50.0)] * 9,
        folder_world.RestartAll(),
        *[spend()] * 4,
    )


@pytest.mark.point(2, 'replayed_counts_as_synced')
def test_turn_outlives_a_kill_before_its_sync_and_a_loss_of_power():
    """Guards against records that were replayed and never synced."""
    play(
        folder_world.RestartAll('kept', first_turns(), 0.03),
        folder_world.RestartAll('unsynced lost'),
    )


@pytest.mark.point(2, 'emptied_before_caught_up')
def test_turns_outlive_a_folder_that_is_emptied_after_it_lost_its_disk():
    """Guards against review/1.

    The folder held nothing, so it counted as emptied at once, and the copies
    that it had lost were on one folder only.
    """
    play(
        folder_world.Cut(2, DOWN_S, turns=first_turns()),
        archive_world.Wait(5.0),
        folder_world.Empty(1, 'empty'),
    )


def test_turns_outlive_a_folder_that_is_emptied_just_after_another_joined():
    """Guards against copies on the folders that the leaving one knew of.

    It had not yet seen the other one join, and counted too few copies.
    """
    play(
        folder_world.Empty(2),
        folder_world.Add(),
        archive_world.ConcurrentTurns(first_turns()),
        folder_world.Empty(1),
    )


def test_archives_outlive_ids_that_come_again():
    """Guards against review/15: archives hung, also after a restart."""
    play(
        folder_world.Add(),
        archive_world.Wait(1.0),
        archive_world.ConcurrentTurns(first_turns()),
        *(folder_world.RepeatId(100 + n, n) for n in range(1, 9)),
        archive_world.ConcurrentTurns(first_turns()),
        folder_world.RestartAll(),
        archive_world.ConcurrentTurns(first_turns()),
    )


@pytest.mark.point(3, 'sets_counted_apart')
def test_budget_holds_while_entries_see_different_sets():
    """Guards against charges that an addition hides.

    One entry counted on the folders before the addition, another on those
    after it, and the two majorities had no folder in common.
    """
    rounds = tuple(
        tuple(spend(program=p, entry=(number + p) % 2) for p in range(8))
        for number in range(12)
    )
    for seed in range(40):
        folder_world.play(1, seed, [folder_world.Add(3, rounds)])
