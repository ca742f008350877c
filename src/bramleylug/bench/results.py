"""What one bench measured, and whether its bounds hold."""

import json
import operator
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Literal, NamedTuple, final

Relation = Literal['<=', '>=', '==']
RELATIONS = {'<=': operator.le, '>=': operator.ge, '==': operator.eq}


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
    """

    bench: str
    seed: int
    figures: Mapping[str, Any]
    bounds: tuple[Bound, ...]
    baseline: Mapping[str, Any] = field(default_factory=dict)
    series: Mapping[str, list[tuple[float, float]]] = field(
        default_factory=dict
    )
    slopes: Mapping[str, float] = field(default_factory=dict)

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
                {
                    'name': bound.name,
                    'value': bound.value,
                    'relation': bound.relation,
                    'bound': bound.bound,
                    'source': bound.source,
                    'holds': bound.holds,
                }
                for bound in self.bounds
            ],
            'baseline': dict(self.baseline),
            'series': {name: list(line) for name, line in self.series.items()},
            'slopes': dict(self.slopes),
            'holds': self.holds,
        }


def format_result(result: BenchResult) -> str:
    """Return a table of figures, baseline, bounds and verdicts."""
    lines = [f'{result.bench} (seed {result.seed})']
    for name, figure in result.figures.items():
        base = result.baseline.get(name, '')
        lines.append(f'  {name:<44} {_text(figure):>14} {_text(base):>14}')
    for bound in result.bounds:
        verdict = 'holds' if bound.holds else 'DOES NOT HOLD'
        lines.append(
            f'  bound {bound.name}: {_text(bound.value)} '
            f'{bound.relation} {_text(bound.bound)} {verdict}'
        )
    return '\n'.join(lines)


def _text(figure: Any) -> str:
    if isinstance(figure, float):
        return f'{figure:.4g}'
    if isinstance(figure, (dict, list)):
        return json.dumps(figure)
    return str(figure)
