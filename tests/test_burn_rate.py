"""Tests of the burn rates of the service-level objectives."""

from balsamdale import burn_rate
from balsamdale import program
from balsamdale import records
from tests import builders

DECLARATION = builders.declared()
NOW_S = builders.NOW_S


def program_with_turn(duration_s, cached_tokens=0):
    """Return a program with one turn of a duration.

    Args:
        duration_s: time from the turn's acceptance to its answer.
        cached_tokens: tokens of the second prompt found in the cache.
    """
    answer_ready = records.AnswerReady(
        'p', 0, 'ok', 'ok', 't', 'yes', None, NOW_S + duration_s
    )
    current_program = None
    for record in (
        builders.created(),
        builders.accepted(),
        builders.started(),
        builders.finished(),
        builders.started(1),
        builders.finished(1, prompt_tokens=20, cached_tokens=cached_tokens),
        answer_ready,
    ):
        current_program = program.apply(record, current_program)
    return current_program


def shortest_window_rate(programs, now_s):
    """Return the burn rates of 'follow-up' in the shortest window."""
    counts = burn_rate.merge_counts(
        burn_rate.count_turns(programs, DECLARATION, now_s)
    )
    rates = burn_rate.compute_rates(counts, DECLARATION)
    return next(
        rate
        for rate in rates
        if rate.contract == 'follow-up'
        and rate.window_s == burn_rate.WINDOWS_S[0]
    )


def test_late_turns_burn_the_allowance():
    programs = [program_with_turn(5.0)] * 99 + [program_with_turn(31.0)]
    assert (
        round(shortest_window_rate(programs, NOW_S + 40).latency_rate, 2)
        == 0.5
    )


def test_tokens_prefilled_again_burn_the_cache_allowance():
    cached = shortest_window_rate(
        [program_with_turn(5.0, cached_tokens=15)], NOW_S + 10
    )
    uncached = shortest_window_rate(
        [program_with_turn(5.0, cached_tokens=0)], NOW_S + 10
    )
    assert cached.waste_rate == 0 and round(uncached.waste_rate, 1) == 10.0


def test_turns_leave_the_window():
    assert (
        shortest_window_rate([program_with_turn(5.0)], NOW_S + 400).turns == 0
    )


def test_counts_of_instances_add_up():
    counts = burn_rate.count_turns(
        [program_with_turn(5.0)], DECLARATION, NOW_S + 10
    )
    merged = burn_rate.merge_counts([*counts, *counts])
    assert sum(entry.turns for entry in merged) == 2 * sum(
        entry.turns for entry in counts
    )


def test_the_page_is_self_contained():
    counts = burn_rate.merge_counts(
        burn_rate.count_turns(
            [program_with_turn(5.0)], DECLARATION, NOW_S + 10
        )
    )
    page = burn_rate.render_html(
        burn_rate.compute_rates(counts, DECLARATION), 'Burn'
    )
    assert '<svg' in page and 'http' not in page
