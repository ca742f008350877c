"""What one bench measured, and whether its bounds hold."""

import operator
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Literal, NamedTuple, final

Relation = Literal['<=', '>=', '==']
RELATIONS = {'<=': operator.le, '>=': operator.ge, '==': operator.eq}
Points = list[tuple[float, float]]


class Bound(NamedTuple):
    """One bound.

    :ivar source: the line of the brief, the letter or the issue it is from.
    """

    name: str
    value: float
    relation: Relation
    bound: float
    source: str

    @property
    def holds(self) -> bool:
        """Whether the value keeps the bound."""
        return bool(RELATIONS[self.relation](self.value, self.bound))


@final
@dataclass(frozen=True, slots=True)
class BenchResult:
    """Figures of one run.

    :ivar figures: everything measured; names carry their unit.
    :ivar baseline: the same figures without the mechanism, in the same run.
    :ivar series: lines for plots: name to points ``(x, y)``.
    :ivar slopes: per-unit costs for docs/CAPACITY.md.
    :ivar sizes: what the run was made with, for docs/CAPACITY.md.
    """

    bench: str
    seed: int
    figures: Mapping[str, Any]
    bounds: tuple[Bound, ...]
    baseline: Mapping[str, Any] = field(default_factory=dict)
    series: Mapping[str, Points] = field(default_factory=dict)
    slopes: Mapping[str, float] = field(default_factory=dict)
    sizes: str = ''

    @property
    def holds(self) -> bool:
        """Whether every bound holds."""
        return all(bound.holds for bound in self.bounds)

    def to_json(self) -> dict[str, Any]:
        """Return the result as a JSON document."""
        return {
            'bench': self.bench,
            'seed': self.seed,
            'figures': dict(self.figures),
            'bounds': [
                {**bound._asdict(), 'holds': bound.holds}
                for bound in self.bounds
            ],
            'baseline': dict(self.baseline),
            'series': {name: list(line) for name, line in self.series.items()},
            'slopes': dict(self.slopes),
            'sizes': self.sizes,
            'holds': self.holds,
        }

    @classmethod
    def from_json(cls, document: Mapping[str, Any]) -> 'BenchResult':
        """Read what :meth:`to_json` returned."""
        bounds = tuple(
            Bound(**{name: bound[name] for name in Bound._fields})
            for bound in document['bounds']
        )
        series = {
            name: [(x_value, y_value) for x_value, y_value in line]
            for name, line in document['series'].items()
        }
        return cls(
            document['bench'],
            document['seed'],
            document['figures'],
            bounds,
            baseline=document['baseline'],
            series=series,
            slopes=document['slopes'],
            sizes=document.get('sizes', ''),
        )


@final
@dataclass(frozen=True, slots=True)
class BenchFailure:
    """A bench that ended without figures.

    :ivar reason: one line.
    """

    bench: str
    seed: int
    reason: str

    @property
    def holds(self) -> bool:
        """A bench without figures keeps no bound."""
        return False

    def to_json(self) -> dict[str, Any]:
        """Return the failure as a JSON document."""
        return {
            'bench': self.bench,
            'seed': self.seed,
            'failure': self.reason,
            'holds': False,
        }


BenchOutcome = BenchResult | BenchFailure


def outcome_from_json(document: Mapping[str, Any]) -> BenchOutcome:
    """Read a result or a failure."""
    failure = document.get('failure')
    if failure is None:
        return BenchResult.from_json(document)
    return BenchFailure(document['bench'], document['seed'], failure)
