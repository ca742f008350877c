"""Formats bench results as text for a terminal."""

import json
from typing import Any

from bramleylug.bench.results import (
    BenchFailure,
    BenchOutcome,
    BenchResult,
    Bound,
)

HOLDS = 'holds'
VIOLATED = 'DOES NOT HOLD'
HEADINGS = ('figure', 'measured', 'bound', 'baseline', 'verdict')
ALIGNMENT = '{:<48} {:>14} {:>14} {:>14}  {}'


def format_outcome(outcome: BenchOutcome) -> str:
    """Return a table with one line per figure."""
    match outcome:
        case BenchFailure(bench, seed, reason):
            return f'{bench} (seed {seed}): FAILED, {reason}'
        case BenchResult():
            return '\n'.join(_result_lines(outcome))


def format_summary(outcomes: list[BenchOutcome]) -> str:
    """Return one line with the benches whose bounds do not hold."""
    violated = [outcome.bench for outcome in outcomes if not outcome.holds]
    held = len(outcomes) - len(violated)
    names_text = f': {", ".join(violated)}' if violated else ''
    return f'{held} of {len(outcomes)} benches hold{names_text}'


def format_figure(figure: Any) -> str:
    """Return a figure as text; small floats get four significant digits."""
    if isinstance(figure, bool):
        return str(figure)
    if isinstance(figure, int):
        return f'{figure:,}'
    if isinstance(figure, float):
        return f'{figure:,.4g}' if abs(figure) < 10000 else f'{figure:,.0f}'
    if isinstance(figure, (dict, list)):
        return json.dumps(figure)
    return str(figure)


def _result_lines(result: BenchResult) -> list[str]:
    bounded = {bound.name for bound in result.bounds}
    lines = [
        f'{result.bench} (seed {result.seed})',
        ALIGNMENT.format(*HEADINGS),
    ]
    lines.extend(
        _bound_line(bound, result.baseline.get(bound.name, ''))
        for bound in result.bounds
    )
    lines.extend(
        ALIGNMENT.format(
            name,
            format_figure(figure),
            '',
            format_figure(result.baseline.get(name, '')),
            '',
        ).rstrip()
        for name, figure in result.figures.items()
        if name not in bounded
    )
    return lines


def _bound_line(bound: Bound, baseline: Any) -> str:
    return ALIGNMENT.format(
        bound.name,
        format_figure(bound.value),
        f'{bound.relation} {format_figure(bound.bound)}',
        format_figure(baseline),
        HOLDS if bound.holds else VIOLATED,
    )
