"""Points 2, 3 and 6: turns and budgets of archives under losses.

Random simulations search for unforeseen faults; the short ones each fail for
the mutations that their mark names.
"""

import hypothesis
from hypothesis import strategies
import pytest

from tests.proofs import archive_world

# Seeds of a short simulation: they only decide the order of messages.
SEED_COUNT = 8
SMALL_NUMBERS = strategies.integers(0, 9)
TURNS = strategies.builds(
    archive_world.Turn,
    entry=strategies.integers(0, 1),
    program=strategies.integers(0, 1),
    parent=SMALL_NUMBERS,
    tokens=strategies.integers(0, archive_world.MAX_TURN_TOKENS),
    end=strategies.sampled_from(archive_world.ENDS),
    toggled_archives=strategies.one_of(
        strategies.just(()),
        strategies.lists(SMALL_NUMBERS, max_size=2).map(tuple),
    ),
)
STEPS = strategies.one_of(
    TURNS,
    strategies.builds(
        archive_world.ConcurrentTurns,
        strategies.lists(TURNS, min_size=2, max_size=8).map(tuple),
    ),
    strategies.builds(archive_world.ToggleConnection, SMALL_NUMBERS),
    strategies.builds(archive_world.Wipe, SMALL_NUMBERS),
    strategies.builds(
        archive_world.Wait, strategies.sampled_from((0.05, 0.5, 2.0))
    ),
)


def test_random_worlds_break_no_promise(seeds):
    """Runs the same simulations each time, and more in a long run."""

    @hypothesis.settings(
        max_examples=5 * seeds,
        derandomize=True,
        database=None,
        deadline=None,
        print_blob=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        losses=strategies.integers(1, 2),
        seed=strategies.integers(0, 10**6),
        steps=strategies.lists(STEPS, min_size=1, max_size=16),
    )
    def check(losses, seed, steps):
        archive_world.play(losses, seed, steps)

    check()


def turn(
    end='stored',
    parent=0,
    tokens=archive_world.MAX_TURN_TOKENS,
    toggled_archives=(),
):
    return archive_world.Turn(0, 0, parent, tokens, end, toggled_archives)


def play(*steps):
    for seed in range(SEED_COUNT):
        archive_world.play(1, seed, steps)


@pytest.mark.point(2, 'archive_ack_of_one')
def test_turn_that_one_archive_took_is_not_kept():
    play(
        turn(toggled_archives=(0, 1)),
        archive_world.Wait(2.0),
        archive_world.ToggleConnection(0),
        archive_world.ToggleConnection(1),
        archive_world.Wipe(2),
    )


@pytest.mark.point(2, 'wiped_archive_is_whole', 'catch_up_from_one')
def test_wiped_archive_denies_nothing_before_it_has_read_enough_others():
    play(
        turn(toggled_archives=(0,)),
        archive_world.Wait(2.0),
        archive_world.ToggleConnection(0),
        archive_world.ToggleConnection(2),
        archive_world.Wipe(1),
        archive_world.Wait(0.5),
        turn(parent=1),
    )


@pytest.mark.point(2, 'one_archive_is_sure')
def test_turn_that_one_archive_lacks_is_not_denied():
    play(
        turn(toggled_archives=(0,)),
        archive_world.Wait(2.0),
        archive_world.ToggleConnection(0),
        archive_world.Wait(2.0),
    )


@pytest.mark.point(3, 'reservations_not_counted')
def test_budget_holds_where_turns_race():
    racing_turns = (turn(), turn('abandoned'), turn('interrupted')) * 3
    play(archive_world.ConcurrentTurns(racing_turns))


@pytest.mark.point(3, 'reservation_of_one')
def test_budget_holds_over_archives_that_know_different_turns():
    play(
        archive_world.ToggleConnection(1),
        archive_world.ToggleConnection(2),
        *[turn('abandoned')] * 4,
        archive_world.Wait(2.0),
        archive_world.ToggleConnection(0),
        archive_world.ToggleConnection(1),
        archive_world.ToggleConnection(2),
        *[turn('abandoned')] * 4,
    )


@pytest.mark.point(3, 'wiped_archive_admits')
def test_wiped_archive_admits_no_turn():
    play(
        archive_world.ToggleConnection(2),
        *[turn('abandoned')] * 4,
        archive_world.Wait(2.0),
        archive_world.ToggleConnection(2),
        archive_world.ToggleConnection(1),
        archive_world.Wipe(0),
        *[turn('abandoned')] * 4,
    )


@pytest.mark.point(6, 'settlement_ignored')
def test_refused_budget_was_spent():
    play(*[turn(tokens=0), archive_world.Wait(2.0)] * 6)
