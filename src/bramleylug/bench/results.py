"""Results of a bench: figures, bounds and whether the bounds hold."""

import operator
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Literal, NamedTuple, final

Relation = Literal['<=', '>=', '==']
RELATIONS = {'<=': operator.le, '>=': operator.ge, '==': operator.eq}
Points = list[tuple[float, float]]


class Bound(NamedTuple):
    """A limit on one figure, and the figure's value.

    :ivar source: the requirement that the limit comes from.
    """

    name: str
    value: float
    relation: Relation
    bound: float
    source: str

    @property
    def holds(self) -> bool:
        """Whether the value is within the bound."""
        return bool(RELATIONS[self.relation](self.value, self.bound))


@final
@dataclass(frozen=True, slots=True)
class BenchResult:
    """Result of one run of a bench.

    :ivar figures: everything measured; names carry their unit.
    :ivar baseline: the same figures without the mechanism under test, from
        the same run.
    :ivar series: data for plots: points ``(x, y)`` by name.
    :ivar slopes: per-unit costs for docs/CAPACITY.md.
    :ivar sizes: description of the set-up, for docs/CAPACITY.md.
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
        return {
            'bench': self.bench,
            'seed': self.seed,
            'figures': dict(self.figures),
            'bounds': [
                {**bound._asdict(), 'holds': bound.holds}
                for bound in self.bounds
            ],
            'baseline': dict(self.baseline),
            'series': {
                name: list(points) for name, points in self.series.items()
            },
            'slopes': dict(self.slopes),
            'sizes': self.sizes,
            'holds': self.holds,
        }

    @classmethod
    def from_json(cls, document: Mapping[str, Any]) -> 'BenchResult':
        """Parse a document written by :meth:`to_json`."""
        bounds = tuple(
            Bound(**{name: bound[name] for name in Bound._fields})
            for bound in document['bounds']
        )
        series = {
            name: [(x_value, y_value) for x_value, y_value in points]
            for name, points in document['series'].items()
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
    """A bench that raised an exception and produced no figures.

    :ivar reason: type and first line of the exception.
    """

    bench: str
    seed: int
    reason: str

    @property
    def holds(self) -> bool:
        """Always false: a failed bench has no figures to check."""
        return False

    def to_json(self) -> dict[str, Any]:
        return {
            'bench': self.bench,
            'seed': self.seed,
            'failure': self.reason,
            'holds': False,
        }


BenchOutcome = BenchResult | BenchFailure


def outcome_from_json(document: Mapping[str, Any]) -> BenchOutcome:
    """Parse a result or a failure."""
    failure = document.get('failure')
    if failure is None:
        return BenchResult.from_json(document)
    return BenchFailure(document['bench'], document['seed'], failure)
