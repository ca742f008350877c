"""What got worse between two runs of the benches."""

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
    """One bounded figure in two runs.

    :ivar before: ``None`` where the first run has no such figure.
    :ivar after: ``None`` where the second run has no such figure.
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

    The relation of a bound tells which direction is worse. A figure with an
    exact bound must stay; the others may move by :data:`TOLERANCE`.
    """
    later = {outcome.bench: outcome for outcome in after}
    return [
        difference
        for outcome in before
        for difference in _compare_bench(outcome, later.get(outcome.bench))
    ]


def format_differences(differences: Iterable[Difference]) -> str:
    """Return the differences, the worse first, and their number."""
    shown = sorted(
        (found for found in differences if found.trend != 'same'),
        key=lambda found: (found.trend == 'better', found.bench, found.figure),
    )
    lines = [
        f'{found.trend:<8} {found.bench}: {found.figure} '
        f'{_text(found.before)} -> {_text(found.after)}'
        for found in shown
    ]
    worse = count_regressions(shown)
    return '\n'.join([*lines, f'{worse} figures got worse'])


def count_regressions(differences: Iterable[Difference]) -> int:
    """Return how many figures got worse or went missing."""
    return sum(found.trend in {'worse', 'missing'} for found in differences)


def _compare_bench(
    before: BenchOutcome, after: BenchOutcome | None
) -> Iterator[Difference]:
    match before, after:
        case BenchFailure(), _:
            return
        case BenchResult(), BenchResult():
            found = {bound.name: bound for bound in after.bounds}
            for bound in before.bounds:
                yield _compare_bound(before.bench, bound, found)
        case BenchResult(), _:
            yield Difference(
                before.bench, 'the whole bench', None, None, 'missing'
            )


def _compare_bound(
    bench: str, before: Bound, found: Mapping[str, Bound]
) -> Difference:
    after = found.get(before.name)
    if after is None:
        return Difference(bench, before.name, before.value, None, 'missing')
    return Difference(
        bench, before.name, before.value, after.value, _trend(before, after)
    )


def _trend(before: Bound, after: Bound) -> Trend:
    if before.holds and not after.holds:
        return 'worse'
    rise = after.value - before.value
    if after.relation == '==':
        return 'same' if rise == 0 else 'worse'
    if abs(rise) <= TOLERANCE * abs(before.value):
        return 'same'
    return 'better' if (rise < 0) == (after.relation == '<=') else 'worse'


def _text(figure: float | None) -> str:
    return 'none' if figure is None else format_figure(figure)
