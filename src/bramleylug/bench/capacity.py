"""Generates the tables of docs/CAPACITY.md from measured slopes."""

import json
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from math import isinf
from pathlib import Path
from typing import Any, TypedDict

from bramleylug.bench.capacity_estimates import DIVISOR_PREFIX, Budget, Estimate
from bramleylug.bench.capacity_model import ESTIMATES
from bramleylug.bench.quantities import (
    CONSTANTS,
    SIZES,
    Quantities,
    design_constants,
    known_quantities,
)
from bramleylug.bench.results import BenchOutcome, BenchResult
from bramleylug.bench.table import format_figure

PAGE_NAME = 'CAPACITY.md'
SLOPES_NAME = 'capacity-slopes.json'
NOT_MEASURED = 'not measured'
MIN_SCALE = 0.001


ESTIMATE_FIGURES = frozenset(
    name for estimate in ESTIMATES for name in estimate.names()
) - frozenset((*SIZES, *CONSTANTS))


class Slope(TypedDict):
    """A measured per-unit cost and how to measure it again."""

    amount: float
    bench: str
    command: str
    sizes: str
    seed: int
    date: str


class PageError(ValueError):
    """The page lacks the markers of a generated table."""


def update_page(docs: Path, outcomes: Iterable[BenchOutcome]) -> Path:
    """Store the slopes of new runs and regenerate the tables of the page.

    :raises PageError: when the page lacks a marker.
    """
    slopes = merge_slopes(
        read_slope_records(docs), extract_slopes(outcomes, _today())
    )
    (docs / SLOPES_NAME).write_text(
        json.dumps(slopes, indent=1, sort_keys=True) + '\n'
    )
    page = docs / PAGE_NAME
    page.write_text(fill_page(page.read_text(), slopes))
    return page


def read_slope_records(docs: Path) -> dict[str, Slope]:
    """Read the stored slopes with the runs that measured them."""
    path = docs / SLOPES_NAME
    if not path.exists():
        return {}
    records: dict[str, Slope] = json.loads(path.read_text())
    return records


def read_slopes(docs: Path) -> dict[str, float]:
    """Read the amounts of the stored slopes."""
    return slope_amounts(read_slope_records(docs))


def slope_amounts(records: dict[str, Slope]) -> dict[str, float]:
    """Return the amounts of slopes by name."""
    return {name: slope['amount'] for name, slope in records.items()}


def extract_slopes(
    outcomes: Iterable[BenchOutcome], date: str
) -> dict[str, Slope]:
    """Return the slopes that the given runs measured.

    :param date: day of the runs, as in ISO 8601.
    """
    return {
        name: Slope(
            amount=float(amount),
            bench=result.bench,
            command=f'bramleylug bench {result.bench} --seed {result.seed}',
            sizes=result.sizes or f'as in bench/{result.bench}.py',
            seed=result.seed,
            date=date,
        )
        for result in outcomes
        if isinstance(result, BenchResult)
        for name, amount in _measured(result).items()
    }


def _measured(result: BenchResult) -> dict[str, float]:
    """Return the slopes, and the figures that the estimates use."""
    figures = {
        name: float(figure)
        for name, figure in result.figures.items()
        if name in ESTIMATE_FIGURES
    }
    return {**figures, **result.slopes}


def merge_slopes(
    stored: dict[str, Slope], measured: dict[str, Slope]
) -> dict[str, Slope]:
    """Replace all stored slopes of each bench that ran again.

    A slope that a bench no longer measures is removed.
    """
    benches = {slope['bench'] for slope in measured.values()}
    others = {
        name: slope
        for name, slope in stored.items()
        if slope['bench'] not in benches
    }
    return {**others, **measured}


def fill_page(text: str, records: dict[str, Slope]) -> str:
    """Return the page with each table between its markers regenerated.

    :raises PageError: when the page lacks a marker.
    """
    for name, table in _tables(records):
        begin, end = f'<!-- begin {name} -->', f'<!-- end {name} -->'
        head, found_begin, remainder = text.partition(begin)
        _, found_end, tail = remainder.partition(end)
        if not (found_begin and found_end):
            raise PageError(f'{PAGE_NAME} lacks the markers of {name}')
        text = f'{head}{begin}\n{table}\n{end}{tail}'
    return text


def _tables(records: dict[str, Slope]) -> Iterator[tuple[str, str]]:
    slopes = slope_amounts(records)
    yield 'sizes', _sizes_table()
    yield 'slopes', _slopes_table(records)
    yield 'budgets', _budgets_table(slopes)
    for role in dict.fromkeys(estimate.role for estimate in ESTIMATES):
        role_estimates = [
            estimate for estimate in ESTIMATES if estimate.role == role
        ]
        yield role, _role_table(role_estimates, slopes)


def _sizes_table() -> str:
    rows = [
        (f'`{name}`', format_figure(float(size.amount)), size.source)
        for name, size in SIZES.items()
    ]
    constants = design_constants()
    rows.extend(
        (f'`{name}`', format_figure(constants[name]), f'{module}, {constant}')
        for name, (module, constant) in CONSTANTS.items()
    )
    return _table(('size', 'amount', 'from'), rows)


def _slopes_table(records: dict[str, Slope]) -> str:
    used = {name for estimate in ESTIMATES for name in estimate.names()}
    rows = [
        (
            f'`{name}`',
            format_figure(slope['amount']),
            f'`{slope["command"]}`',
            slope['sizes'],
            slope['date'],
        )
        for name, slope in sorted(records.items())
        if name in used
    ]
    return _table(('slope', 'amount', 'command', 'sizes', 'date'), rows)


def _role_table(estimates: list[Estimate], slopes: Quantities) -> str:
    quantities = known_quantities(slopes)
    rows = [
        (
            estimate.resource,
            _formula(estimate, quantities),
            _budget_text(estimate.budget),
            estimate.mechanism,
        )
        for estimate in estimates
    ]
    return _table(('resource', 'worked out', 'budget', 'carried by'), rows)


def _formula(estimate: Estimate, quantities: Quantities) -> str:
    missing = estimate.missing(quantities)
    if missing:
        return f'{NOT_MEASURED}: {", ".join(missing)}'
    products = [_product_formula(names, quantities) for names in estimate.terms]
    total = format_figure(float(estimate.total(quantities)))
    return f'{" + ".join(products)} = **{total} {estimate.unit}**'


def _product_formula(names: Iterable[str], quantities: Quantities) -> str:
    text = ''
    for name in names:
        bare = name.removeprefix(DIVISOR_PREFIX)
        sign = ' × ' if bare == name else ' / '
        factor = f'`{bare}` {format_figure(quantities[bare])}'
        text = f'{text}{sign}{factor}'
    return f'1{text}' if text.startswith(' / ') else text.removeprefix(' × ')


def _budget_text(budget: Budget | None) -> str:
    if budget is None:
        return 'none named'
    return f'{format_figure(budget.amount)} ({budget.source})'


def _budgets_table(slopes: Quantities) -> str:
    bounded = [
        estimate for estimate in ESTIMATES if estimate.budget is not None
    ]
    rows = sorted(
        (_budget_row(estimate, slopes) for estimate in bounded),
        key=lambda row: row[0],
    )
    return _table(
        ('breaks at', 'line', 'of the budget', 'verdict'),
        [row[1:] for row in rows],
    )


def _budget_row(estimate: Estimate, slopes: Quantities) -> tuple[Any, ...]:
    quantities = known_quantities(slopes)
    if estimate.missing(quantities) or estimate.budget is None:
        return (float('inf'), NOT_MEASURED, estimate.title, '', NOT_MEASURED)
    scale = estimate.breaking_scale(slopes)
    share = estimate.total(quantities) / estimate.budget.amount
    return (
        scale,
        _breaking_size(scale),
        estimate.title,
        f'{share:.1%}',
        'holds' if estimate.holds(quantities) else 'DOES NOT HOLD',
    )


def _breaking_size(scale: float) -> str:
    if isinf(scale):
        return 'does not grow with the fleet'
    if scale < MIN_SCALE:
        return 'at any fleet'
    nodes = int(SIZES['nodes'].amount * scale)
    hosts = int(SIZES['hosts'].amount * scale)
    return f'{scale:.2g} × the letter: {nodes:,} nodes, {hosts:,} hosts'


def _table(headings: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    heading_cells = tuple(headings)
    lines = [heading_cells, ('---',) * len(heading_cells), *rows]
    return '\n'.join(f'| {" | ".join(cells)} |' for cells in lines)


def _today() -> str:
    return datetime.now(UTC).date().isoformat()
