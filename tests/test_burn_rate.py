"""Tests of the service-level burn."""

from balsamdale import burn_rate
from balsamdale import program
from balsamdale import records
from tests import builders

DECLARED = builders.declared()
NOW_S = builders.NOW_S


def turn_of(took_s, cached_tokens=0):
    """Return a program with one turn that took a time."""
    ready = records.AnswerReady(
        'p', 0, 'ok', 'ok', 't', 'yes', None, NOW_S + took_s
    )
    held = None
    for record in (
        builders.created(),
        builders.accepted(),
        builders.started(),
        builders.finished(),
        builders.started(1),
        builders.finished(1, prompt_tokens=20, cached_tokens=cached_tokens),
        ready,
    ):
        held = program.apply(record, held)
    return held


def rate(programs, now_s):
    """Return the rate of the shortest window of 'follow-up'."""
    counts = burn_rate.merge_counts(
        burn_rate.count_turns(programs, DECLARED, now_s)
    )
    rows = burn_rate.compute_rates(counts, DECLARED)
    return next(
        r
        for r in rows
        if r.contract == 'follow-up' and r.window_s == burn_rate.WINDOWS_S[0]
    )


def test_late_turns_burn_the_allowance():
    programs = [turn_of(5.0)] * 99 + [turn_of(31.0)]
    assert round(rate(programs, NOW_S + 40).latency_rate, 2) == 0.5


def test_tokens_prefilled_again_burn_the_cache_allowance():
    kept = rate([turn_of(5.0, cached_tokens=15)], NOW_S + 10)
    lost = rate([turn_of(5.0, cached_tokens=0)], NOW_S + 10)
    assert kept.waste_rate == 0 and round(lost.waste_rate, 1) == 10.0


def test_turns_leave_the_window():
    assert rate([turn_of(5.0)], NOW_S + 400).turns == 0


def test_counts_of_instances_add_up():
    counts = burn_rate.count_turns([turn_of(5.0)], DECLARED, NOW_S + 10)
    both = burn_rate.merge_counts([*counts, *counts])
    assert sum(c.turns for c in both) == 2 * sum(c.turns for c in counts)


def test_the_page_is_self_contained():
    counts = burn_rate.merge_counts(
        burn_rate.count_turns([turn_of(5.0)], DECLARED, NOW_S + 10)
    )
    page = burn_rate.render_html(
        burn_rate.compute_rates(counts, DECLARED), 'Burn'
    )
    assert '<svg' in page and 'http' not in page
