"""Burn rates: how fast the error budgets of the objectives are used up.

The counts are computed from the programs' own records, so they survive the
failure of an instance. They cover the programs whose histories an owner still
stores. At a burn rate of 1 the error budget is used up exactly, so the
objective is just met.
"""

from collections import abc as collections_abc

from balsamdale import codec
from balsamdale import declaration
from balsamdale import program

__all__ = [
    'WASTE_OBJECTIVE',
    'WINDOWS_S',
    'Counts',
    'compute_rates',
    'count_turns',
    'merge_counts',
    'render_html',
    'render_text',
]

WINDOWS_S = (300.0, 3600.0, 21600.0, 259200.0)
WINDOW_NAMES = ('5 min', '1 h', '6 h', '3 d')
WASTE_OBJECTIVE = 0.95
BAR_WIDTH_CHARS = 20
FULL_BAR_RATE = 4.0


@codec.message
class Counts:
    """Turns and prompt tokens of one contract in one window.

    Attributes:
        contract: name of the contract.
        window_s: length of the window that ends now.
        turns: turns that were answered in the window.
        late: turns among them that failed or missed their deadline.
        prompt_tokens: prompt tokens of their model calls.
        wasted_tokens: prompt tokens that were prefilled again although the
            program's previous model call had already processed them.
    """

    contract: str
    window_s: float
    turns: int
    late: int
    prompt_tokens: int
    wasted_tokens: int


@codec.message
class Rate:
    """Burn rates of one contract in one window.

    Attributes:
        contract: name of the contract.
        window_s: length of the window that ends now.
        turns: turns that were answered in the window.
        latency_rate: burn rate of the contract's latency objective.
        waste_rate: burn rate of the objective for the prefix cache.
    """

    contract: str
    window_s: float
    turns: int
    latency_rate: float
    waste_rate: float


def count_turns(
    programs: collections_abc.Collection[program.Program],
    current_declaration: declaration.Declaration,
    now_s: float,
) -> tuple[Counts, ...]:
    """Count the turns of programs by contract and window."""
    return tuple(
        _count_turns_in_window(programs, contract, window_s, now_s)
        for contract in current_declaration.contracts
        for window_s in WINDOWS_S
    )


def merge_counts(
    counts: collections_abc.Iterable[Counts],
) -> tuple[Counts, ...]:
    """Add up the counts of several instances."""
    totals = {}
    for addend in counts:
        key = (addend.contract, addend.window_s)
        subtotal = totals.get(key, Counts(*key, 0, 0, 0, 0))
        totals[key] = Counts(
            *key,
            subtotal.turns + addend.turns,
            subtotal.late + addend.late,
            subtotal.prompt_tokens + addend.prompt_tokens,
            subtotal.wasted_tokens + addend.wasted_tokens,
        )
    return tuple(totals[key] for key in sorted(totals))


def compute_rates(
    counts: collections_abc.Iterable[Counts],
    current_declaration: declaration.Declaration,
) -> tuple[Rate, ...]:
    """Return the burn rates; they are 0 in windows without turns."""
    return tuple(
        _compute_rate(entry, current_declaration.contract(entry.contract))
        for entry in counts
    )


def render_text(rates: collections_abc.Iterable[Rate]) -> str:
    """Return the rates as lines of text with bars of characters."""
    lines = [f'{"contract":16} {"window":>6} {"turns":>6}  latency burn']
    for rate in rates:
        window_name = WINDOW_NAMES[WINDOWS_S.index(rate.window_s)]
        lines.append(
            f'{rate.contract:16} {window_name:>6} {rate.turns:6}  '
            f'{_render_bar(rate.latency_rate)} {rate.latency_rate:6.2f}  '
            f'cache {_render_bar(rate.waste_rate)} {rate.waste_rate:6.2f}'
        )
    return '\n'.join(lines)


def render_html(rates: collections_abc.Iterable[Rate], title: str) -> str:
    """Return the rates as a self-contained HTML page with a bar chart."""
    body = ''.join(
        _render_html_row(index, rate) for index, rate in enumerate(rates)
    )
    height_px = 40 + 24 * body.count('<g>')
    return (
        f'<!doctype html><meta charset="utf-8"><title>{title}</title>'
        f'<h1>{title}</h1><p>A burn rate of 1 uses the allowance up exactly '
        f'at the objective. Blue: program latency. Orange: wasted cache. '
        f'The counts cover the programs whose histories are kept.</p>'
        f'<svg width="900" height="{height_px}" font-family="sans-serif" '
        f'font-size="13">{body}</svg>'
    )


def _count_turns_in_window(programs, contract, window_s, now_s):
    turns = late = prompt_tokens = wasted_tokens = 0
    for counted_program in programs:
        if counted_program.created.contract != contract.name:
            continue
        for turn, turn_wasted_tokens in _turns_with_wasted_tokens(
            counted_program
        ):
            if turn.answer is None or not _is_in_window(turn, window_s, now_s):
                continue
            turns += 1
            late += _is_late(turn, contract)
            prompt_tokens += sum(
                step.finished.prompt_tokens
                for step in _finished_model_calls(turn)
            )
            wasted_tokens += turn_wasted_tokens
    return Counts(
        contract.name, window_s, turns, late, prompt_tokens, wasted_tokens
    )


def _is_in_window(turn, window_s, now_s):
    return turn.answer.finished_at_s > now_s - window_s


def _is_late(turn, contract):
    duration_s = turn.answer.finished_at_s - turn.accepted.accepted_at_s
    is_past_deadline = (
        contract.turn_deadline_s and duration_s > contract.turn_deadline_s
    )
    return turn.answer.outcome != 'ok' or bool(is_past_deadline)


def _turns_with_wasted_tokens(counted_program):
    """Yield each turn with the number of tokens that it prefilled again.

    A prompt repeats the prompt and the answer of the model call before it, so
    a warm prefix cache would have held these tokens.
    """
    cacheable_tokens = 0
    for turn in counted_program.turns:
        wasted_tokens = 0
        for step in _finished_model_calls(turn):
            finished = step.finished
            reusable_tokens = min(cacheable_tokens, finished.prompt_tokens)
            wasted_tokens += max(0, reusable_tokens - finished.cached_tokens)
            cacheable_tokens = finished.prompt_tokens + finished.answer_tokens
        yield turn, wasted_tokens


def _finished_model_calls(turn):
    return [
        step
        for step in turn.steps
        if step.started.kind == 'engine'
        and step.finished is not None
        and step.finished.outcome == 'ok'
    ]


def _compute_rate(counts, contract):
    # The default of `Contract.objective`, for a contract that is not declared.
    objective = contract.objective if contract else 0.99
    late_share = counts.late / counts.turns if counts.turns else 0.0
    waste_share = 0.0
    if counts.prompt_tokens:
        waste_share = counts.wasted_tokens / counts.prompt_tokens
    return Rate(
        counts.contract,
        counts.window_s,
        counts.turns,
        late_share / (1 - objective),
        waste_share / (1 - WASTE_OBJECTIVE),
    )


def _render_bar(rate):
    filled_chars = min(
        BAR_WIDTH_CHARS, round(rate / FULL_BAR_RATE * BAR_WIDTH_CHARS)
    )
    return '#' * filled_chars + '.' * (BAR_WIDTH_CHARS - filled_chars)


def _render_html_row(index, rate):
    top_px = 20 + 24 * index
    window_name = WINDOW_NAMES[WINDOWS_S.index(rate.window_s)]
    label = f'{rate.contract}, {window_name}, {rate.turns} turns'
    blue_px = min(300, rate.latency_rate / FULL_BAR_RATE * 300)
    orange_px = min(300, rate.waste_rate / FULL_BAR_RATE * 300)
    return (
        f'<g><text x="0" y="{top_px + 12}">{label}</text>'
        f'<rect x="260" y="{top_px}" width="{blue_px:.0f}" height="8" '
        f'fill="#27c"/><rect x="260" y="{top_px + 9}" width="{orange_px:.0f}" '
        f'height="8" fill="#e80"/><text x="570" y="{top_px + 12}">'
        f'{rate.latency_rate:.2f} / {rate.waste_rate:.2f}</text></g>'
    )
