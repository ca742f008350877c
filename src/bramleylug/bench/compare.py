"""Compares two runs of the benches and finds regressions."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Literal, NamedTuple

from bramleylug.bench.results import (
    BenchFailure,
    BenchOutcome,
    BenchResult,
    Bound,
)
from bramleylug.bench.table import format_figure

TOLERANCE = 0.1

Trend = Literal['better', 'worse', 'same', 'missing']


class Difference(NamedTuple):
    """A bounded figure compared between two runs.

    :ivar before: ``None`` when the first run has no such figure.
    :ivar after: ``None`` when the second run has no such figure.
    """

    bench: str
    figure: str
    before: float | None
    after: float | None
    trend: Trend


def compare(
    before: Iterable[BenchOutcome], after: Iterable[BenchOutcome]
) -> list[Difference]:
    """Compare the bounded figures of two runs.

    The relation of a bound defines which direction is worse. A figure with
    an exact bound must be equal; others may differ by the share
    :data:`TOLERANCE`. A bound that held and no longer holds is always worse.
    """
    after_by_bench = {outcome.bench: outcome for outcome in after}
    return [
        difference
        for outcome in before
        for difference in _compare_bench(
            outcome, after_by_bench.get(outcome.bench)
        )
    ]


def format_differences(differences: Iterable[Difference]) -> str:
    """Return the differences as text, regressions first, with their count."""
    changed = sorted(
        (entry for entry in differences if entry.trend != 'same'),
        key=lambda entry: (entry.trend == 'better', entry.bench, entry.figure),
    )
    lines = [
        f'{entry.trend:<8} {entry.bench}: {entry.figure} '
        f'{_format_value(entry.before)} -> {_format_value(entry.after)}'
        for entry in changed
    ]
    regressions = count_regressions(changed)
    return '\n'.join([*lines, f'{regressions} figures got worse'])


def count_regressions(differences: Iterable[Difference]) -> int:
    """Return how many figures are worse or missing in the second run."""
    return sum(entry.trend in {'worse', 'missing'} for entry in differences)


def _compare_bench(
    before: BenchOutcome, after: BenchOutcome | None
) -> Iterator[Difference]:
    match before, after:
        case BenchFailure(), _:
            return
        case BenchResult(), BenchResult():
            after_bounds = {bound.name: bound for bound in after.bounds}
            for bound in before.bounds:
                yield _compare_bound(before.bench, bound, after_bounds)
        case BenchResult(), _:
            yield Difference(
                before.bench, 'the whole bench', None, None, 'missing'
            )


def _compare_bound(
    bench: str, before: Bound, after_bounds: Mapping[str, Bound]
) -> Difference:
    after = after_bounds.get(before.name)
    if after is None:
        return Difference(bench, before.name, before.value, None, 'missing')
    return Difference(
        bench, before.name, before.value, after.value, _trend(before, after)
    )


def _trend(before: Bound, after: Bound) -> Trend:
    if before.holds and not after.holds:
        return 'worse'
    increase = after.value - before.value
    if after.relation == '==':
        return 'same' if increase == 0 else 'worse'
    if abs(increase) <= TOLERANCE * abs(before.value):
        return 'same'
    return 'better' if (increase < 0) == (after.relation == '<=') else 'worse'


def _format_value(figure: float | None) -> str:
    return 'none' if figure is None else format_figure(figure)
