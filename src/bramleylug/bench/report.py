"""Writes an HTML report of bench results with embedded plots."""

import base64
import html
from collections.abc import Iterable, Iterator
from io import BytesIO
from math import isfinite
from pathlib import Path
from typing import Any

from matplotlib.figure import Figure

from bramleylug.bench.capacity import read_slopes
from bramleylug.bench.capacity_estimates import Estimate
from bramleylug.bench.capacity_model import ESTIMATES
from bramleylug.bench.quantities import Quantities, known_quantities
from bramleylug.bench.results import (
    BenchFailure,
    BenchOutcome,
    BenchResult,
    Points,
)
from bramleylug.bench.table import HOLDS, VIOLATED, format_figure

PAGE_NAME = 'index.html'
PLOT_WIDTH_IN = 8.0
PLOT_HEIGHT_IN = 2.2
PLOT_DPI = 90
SCALES = tuple(step / 10 for step in range(1, 31))
STYLE = (
    'body{font-family:sans-serif;max-width:60em;margin:2em auto}'
    'td,th{padding:.2em .8em;text-align:left}'
    '.broken{color:#b00020;font-weight:bold}'
)


def write_report(
    folder: Path, outcomes: Iterable[BenchOutcome], docs: Path
) -> Path:
    """Write the report and return its path.

    :param docs: folder with the recorded slopes for the capacity plots.
    """
    sections = [_section(outcome) for outcome in outcomes]
    sections.extend(_capacity_section(docs))
    page = (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f'<title>bramleylug benches</title><style>{STYLE}</style>'
        f'<h1>bramleylug benches</h1>{"".join(sections)}</html>\n'
    )
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / PAGE_NAME
    path.write_text(page)
    return path


def _section(outcome: BenchOutcome) -> str:
    title = f'<h2>{html.escape(outcome.bench)}, seed {outcome.seed}</h2>'
    match outcome:
        case BenchFailure(_, _, reason):
            return f'{title}<p class="broken">failed: {html.escape(reason)}</p>'
        case BenchResult():
            plot = _series_plot(outcome.series) if outcome.series else ''
            return f'{title}{_bounds_table(outcome)}{plot}'


def _bounds_table(result: BenchResult) -> str:
    rows = [_row(('figure', 'measured', 'bound', 'baseline', 'verdict'))]
    bounded = set()
    for bound in result.bounds:
        bounded.add(bound.name)
        verdict = HOLDS if bound.holds else VIOLATED
        cells = (
            bound.name,
            bound.value,
            f'{bound.relation} {format_figure(bound.bound)} ({bound.source})',
            result.baseline.get(bound.name, ''),
            verdict,
        )
        rows.append(_row(cells, '' if bound.holds else 'broken'))
    rows.extend(
        _row((name, figure, '', result.baseline.get(name, ''), ''))
        for name, figure in result.figures.items()
        if name not in bounded
    )
    return f'<table>{"".join(rows)}</table>'


def _row(cells: Iterable[Any], css_class: str = '') -> str:
    texts = ''.join(
        f'<td>{html.escape(format_figure(cell))}</td>' for cell in cells
    )
    return f'<tr class="{css_class}">{texts}</tr>'


def _series_plot(series: Any) -> str:
    figure, axes = _rows_of_axes(len(series))
    for axis, (name, points) in zip(axes, series.items(), strict=True):
        _draw(axis, points, name)
    return _embed(figure)


def _capacity_section(docs: Path) -> Iterator[str]:
    slopes = read_slopes(docs)
    estimates = [
        estimate
        for estimate in ESTIMATES
        if estimate.budget is not None
        and not estimate.missing(known_quantities(slopes))
        and isfinite(estimate.breaking_scale(slopes))
    ]
    if not estimates:
        return
    figure, axes = _rows_of_axes(len(estimates))
    for axis, estimate in zip(axes, estimates, strict=True):
        _draw(
            axis,
            _extrapolate(estimate, slopes),
            f'{estimate.title}, {estimate.unit}',
        )
        _draw_budget(axis, estimate)
    yield '<h2>Capacity estimates by size of the fleet (1: target size)</h2>'
    yield _embed(figure)


def _extrapolate(estimate: Estimate, slopes: Quantities) -> Points:
    return [
        (scale, estimate.total(known_quantities(slopes, scale)))
        for scale in SCALES
    ]


def _rows_of_axes(count: int) -> tuple[Figure, Any]:
    figure = Figure(
        figsize=(PLOT_WIDTH_IN, PLOT_HEIGHT_IN * count), layout='constrained'
    )
    return figure, figure.subplots(count, 1, squeeze=False)[:, 0]


def _draw(axis: Any, points: Points, title: str) -> None:
    axis.plot(*zip(*points, strict=True))
    axis.set_title(title, fontsize='small')
    axis.set_ylim(bottom=0)
    axis.grid(visible=True, alpha=0.3)


def _draw_budget(axis: Any, estimate: Estimate) -> None:
    if estimate.budget is not None:
        axis.axhline(estimate.budget.amount, linestyle='--', color='#b00020')
        axis.relim()
        axis.autoscale()
        axis.set_ylim(bottom=0)
    axis.axvline(1, linestyle=':', color='#555555')


def _embed(figure: Figure) -> str:
    image = BytesIO()
    figure.savefig(image, format='png', dpi=PLOT_DPI)
    text = base64.b64encode(image.getvalue()).decode()
    return f'<p><img alt="plots" src="data:image/png;base64,{text}"></p>'
