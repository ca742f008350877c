"""Makes the tables of docs/CAPACITY.md from measured slopes."""

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
    name for line in ESTIMATES for name in line.names()
) - frozenset((*SIZES, *CONSTANTS))


class Slope(TypedDict):
    """One measured cost with all that is needed to measure it anew."""

    amount: float
    bench: str
    command: str
    sizes: str
    seed: int
    date: str


class PageError(ValueError):
    """A page whose markers cannot be read."""


def update_page(docs: Path, outcomes: Iterable[BenchOutcome]) -> Path:
    """Take slopes from runs, keep them and make the tables anew.

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
    """Return the kept slopes with where they come from."""
    path = docs / SLOPES_NAME
    if not path.exists():
        return {}
    records: dict[str, Slope] = json.loads(path.read_text())
    return records


def read_slopes(docs: Path) -> dict[str, float]:
    """Return the kept slopes."""
    return slope_amounts(read_slope_records(docs))


def slope_amounts(records: dict[str, Slope]) -> dict[str, float]:
    """Return the bare amounts of slopes."""
    return {name: slope['amount'] for name, slope in records.items()}


def extract_slopes(
    outcomes: Iterable[BenchOutcome], date: str
) -> dict[str, Slope]:
    """Return the slopes that runs measured."""
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
    """Return the slopes, and the figures that lines are made of."""
    figures = {
        name: float(figure)
        for name, figure in result.figures.items()
        if name in ESTIMATE_FIGURES
    }
    return {**figures, **result.slopes}


def merge_slopes(
    kept: dict[str, Slope], taken: dict[str, Slope]
) -> dict[str, Slope]:
    """Return the kept slopes with those of each new run in their place."""
    benches = {slope['bench'] for slope in taken.values()}
    rest = {
        name: slope
        for name, slope in kept.items()
        if slope['bench'] not in benches
    }
    return {**rest, **taken}


def fill_page(text: str, records: dict[str, Slope]) -> str:
    """Return the page with each table made anew between its markers."""
    for name, table in _tables(records):
        begin, end = f'<!-- begin {name} -->', f'<!-- end {name} -->'
        head, found_begin, rest = text.partition(begin)
        _, found_end, tail = rest.partition(end)
        if not (found_begin and found_end):
            raise PageError(f'{PAGE_NAME} lacks the markers of {name}')
        text = f'{head}{begin}\n{table}\n{end}{tail}'
    return text


def _tables(records: dict[str, Slope]) -> Iterator[tuple[str, str]]:
    slopes = slope_amounts(records)
    yield 'sizes', _sizes_table()
    yield 'slopes', _slopes_table(records)
    yield 'budgets', _budgets_table(slopes)
    for role in dict.fromkeys(line.role for line in ESTIMATES):
        chosen = [line for line in ESTIMATES if line.role == role]
        yield role, _role_table(chosen, slopes)


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
    used = {name for line in ESTIMATES for name in line.names()}
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


def _role_table(lines: list[Estimate], slopes: Quantities) -> str:
    quantities = known_quantities(slopes)
    rows = [
        (
            line.resource,
            _worked_out(line, quantities),
            _budget(line.budget),
            line.mechanism,
        )
        for line in lines
    ]
    return _table(('resource', 'worked out', 'budget', 'carried by'), rows)


def _worked_out(line: Estimate, quantities: Quantities) -> str:
    missing = line.missing(quantities)
    if missing:
        return f'{NOT_MEASURED}: {", ".join(missing)}'
    products = [_worked_product(names, quantities) for names in line.terms]
    total = format_figure(float(line.total(quantities)))
    return f'{" + ".join(products)} = **{total} {line.unit}**'


def _worked_product(names: Iterable[str], quantities: Quantities) -> str:
    text = ''
    for name in names:
        bare = name.removeprefix(DIVISOR_PREFIX)
        sign = ' × ' if bare == name else ' / '
        factor = f'`{bare}` {format_figure(quantities[bare])}'
        text = f'{text}{sign}{factor}'
    return f'1{text}' if text.startswith(' / ') else text.removeprefix(' × ')


def _budget(budget: Budget | None) -> str:
    if budget is None:
        return 'none named'
    return f'{format_figure(budget.amount)} ({budget.source})'


def _budgets_table(slopes: Quantities) -> str:
    bounded = [line for line in ESTIMATES if line.budget is not None]
    rows = sorted(
        (_budget_row(line, slopes) for line in bounded),
        key=lambda row: row[0],
    )
    return _table(
        ('breaks at', 'line', 'of the budget', 'verdict'),
        [row[1:] for row in rows],
    )


def _budget_row(line: Estimate, slopes: Quantities) -> tuple[Any, ...]:
    quantities = known_quantities(slopes)
    if line.missing(quantities) or line.budget is None:
        return (float('inf'), NOT_MEASURED, line.title, '', NOT_MEASURED)
    scale = line.breaking_scale(slopes)
    share = line.total(quantities) / line.budget.amount
    return (
        scale,
        _breaking_size(scale),
        line.title,
        f'{share:.1%}',
        'holds' if line.holds(quantities) else 'DOES NOT HOLD',
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
    heads = tuple(headings)
    lines = [heads, ('---',) * len(heads), *rows]
    return '\n'.join(f'| {" | ".join(cells)} |' for cells in lines)


def _today() -> str:
    return datetime.now(UTC).date().isoformat()
