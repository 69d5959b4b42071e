"""Access to the service-level burn: how fast objectives' allowance is used.

The counts are a fold of the programs' own records, so they outlive any
instance as long as the histories do: programs that are still kept by an
owner. A burn rate of 1 uses up the allowance exactly at the objective.
"""

from collections import abc as collections_abc

from balsamdale import codec
from balsamdale import declaration
from balsamdale import program

__all__ = [
    'Counts',
    'WINDOWS_S',
    'WASTE_OBJECTIVE',
    'compute_rates',
    'count_turns',
    'merge_counts',
    'render_html',
    'render_text',
]

WINDOWS_S = (300.0, 3600.0, 21600.0, 259200.0)
WINDOW_NAMES = ('5 min', '1 h', '6 h', '3 d')
WASTE_OBJECTIVE = 0.95
BAR_WIDTH = 20
BAR_FULL_RATE = 4.0


@codec.message
class Counts:
    """Turns and prompt tokens of one contract in one window."""

    contract: str
    window_s: float
    turns: int
    late: int
    prompt_tokens: int
    wasted_tokens: int


@codec.message
class Rate:
    """Burn rates of one contract in one window."""

    contract: str
    window_s: float
    turns: int
    latency_rate: float
    waste_rate: float


def count_turns(
    programs: collections_abc.Collection[program.Program],
    declared: declaration.Declaration,
    now_s: float,
) -> tuple[Counts, ...]:
    """Count the turns of programs by contract and window."""
    return tuple(
        _count_one(programs, contract, window_s, now_s)
        for contract in declared.contracts
        for window_s in WINDOWS_S
    )


def merge_counts(
    parts: collections_abc.Iterable[Counts],
) -> tuple[Counts, ...]:
    """Add up the counts of several instances."""
    sums = {}
    for part in parts:
        key = (part.contract, part.window_s)
        held = sums.get(key, Counts(*key, 0, 0, 0, 0))
        sums[key] = Counts(
            *key,
            held.turns + part.turns,
            held.late + part.late,
            held.prompt_tokens + part.prompt_tokens,
            held.wasted_tokens + part.wasted_tokens,
        )
    return tuple(sums[key] for key in sorted(sums))


def compute_rates(
    counts: collections_abc.Iterable[Counts],
    declared: declaration.Declaration,
) -> tuple[Rate, ...]:
    """Return the burn rates; windows without turns burn nothing."""
    return tuple(_rate(row, declared.contract(row.contract)) for row in counts)


def render_text(rows: collections_abc.Iterable[Rate]) -> str:
    """Return the rates as lines with small bars."""
    lines = [f'{"contract":16} {"window":>6} {"turns":>6}  latency burn']
    for row in rows:
        name = WINDOW_NAMES[WINDOWS_S.index(row.window_s)]
        lines.append(
            f'{row.contract:16} {name:>6} {row.turns:6}  '
            f'{_bar(row.latency_rate)} {row.latency_rate:6.2f}  '
            f'cache {_bar(row.waste_rate)} {row.waste_rate:6.2f}'
        )
    return '\n'.join(lines)


def render_html(rows: collections_abc.Iterable[Rate], title: str) -> str:
    """Return the rates as a self-contained page with a plot."""
    body = ''.join(_html_row(index, row) for index, row in enumerate(rows))
    height = 40 + 24 * body.count('<g>')
    return (
        f'<!doctype html><meta charset="utf-8"><title>{title}</title>'
        f'<h1>{title}</h1><p>A burn rate of 1 uses the allowance up exactly '
        f'at the objective. Blue: program latency. Orange: wasted cache. '
        f'The counts cover the programs whose histories are kept.</p>'
        f'<svg width="900" height="{height}" font-family="sans-serif" '
        f'font-size="13">{body}</svg>'
    )


def _count_one(programs, contract, window_s, now_s):
    turns = late = prompt_tokens = wasted_tokens = 0
    for held in programs:
        if held.created.contract != contract.name:
            continue
        for turn, wasted in _with_waste(held):
            if turn.answer is None or not _within(turn, window_s, now_s):
                continue
            turns += 1
            late += _is_late(turn, contract)
            prompt_tokens += sum(
                step.finished.prompt_tokens for step in _finished(turn)
            )
            wasted_tokens += wasted
    return Counts(
        contract.name, window_s, turns, late, prompt_tokens, wasted_tokens
    )


def _within(turn, window_s, now_s):
    return turn.answer.finished_at_s > now_s - window_s


def _is_late(turn, contract):
    took_s = turn.answer.finished_at_s - turn.accepted.accepted_at_s
    over = contract.turn_deadline_s and took_s > contract.turn_deadline_s
    return turn.answer.outcome != 'ok' or bool(over)


def _with_waste(held):
    """Yield each turn with the tokens that it prefilled again."""
    known = 0
    for turn in held.turns:
        wasted = 0
        for step in _finished(turn):
            finished = step.finished
            had = min(known, finished.prompt_tokens)
            wasted += max(0, had - finished.cached_tokens)
            known = finished.prompt_tokens + finished.answer_tokens
        yield turn, wasted


def _finished(turn):
    return [
        step
        for step in turn.steps
        if step.started.kind == 'engine'
        and step.finished is not None
        and step.finished.outcome == 'ok'
    ]


def _rate(row, contract):
    objective = contract.objective if contract else 0.99
    late_share = row.late / row.turns if row.turns else 0.0
    waste_share = 0.0
    if row.prompt_tokens:
        waste_share = row.wasted_tokens / row.prompt_tokens
    return Rate(
        row.contract,
        row.window_s,
        row.turns,
        late_share / (1 - objective),
        waste_share / (1 - WASTE_OBJECTIVE),
    )


def _bar(rate):
    filled = min(BAR_WIDTH, round(rate / BAR_FULL_RATE * BAR_WIDTH))
    return '#' * filled + '.' * (BAR_WIDTH - filled)


def _html_row(index, row):
    top = 20 + 24 * index
    name = WINDOW_NAMES[WINDOWS_S.index(row.window_s)]
    label = f'{row.contract}, {name}, {row.turns} turns'
    blue = min(300, row.latency_rate / BAR_FULL_RATE * 300)
    orange = min(300, row.waste_rate / BAR_FULL_RATE * 300)
    return (
        f'<g><text x="0" y="{top + 12}">{label}</text>'
        f'<rect x="260" y="{top}" width="{blue:.0f}" height="8" '
        f'fill="#27c"/><rect x="260" y="{top + 9}" width="{orange:.0f}" '
        f'height="8" fill="#e80"/><text x="570" y="{top + 12}">'
        f'{row.latency_rate:.2f} / {row.waste_rate:.2f}</text></g>'
    )
