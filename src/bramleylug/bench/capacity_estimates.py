"""Capacity estimates: resource use as a sum of products of quantities."""

from collections.abc import Iterable
from math import inf, prod
from typing import NamedTuple, final

from bramleylug.bench.quantities import Quantities, known_quantities

MAX_SCALE = 4096.0
BISECTIONS = 40

DIVISOR_PREFIX = '/'

Term = tuple[str, ...]


@final
class Budget(NamedTuple):
    """Limit of an estimate.

    :ivar amount: in the unit of the estimate.
    :ivar source: the requirement that the limit comes from.
    """

    amount: float
    source: str


@final
class Estimate(NamedTuple):
    """Estimated use of one resource by one role.

    :ivar terms: names of sizes and slopes; the names in each inner tuple are
        multiplied and the products are added. A name prefixed with ``/`` is
        a divisor.
    :ivar mechanism: the mechanism that uses the resource or limits its use.
    """

    role: str
    resource: str
    unit: str
    terms: tuple[Term, ...]
    mechanism: str
    budget: Budget | None = None

    @property
    def title(self) -> str:
        """Role and resource, unique among the estimates."""
        return f'{self.role}: {self.resource}'

    def names(self) -> Iterable[str]:
        """Return the names of all quantities in the formula."""
        return [
            name.removeprefix(DIVISOR_PREFIX)
            for term in self.terms
            for name in term
        ]

    def missing(self, quantities: Quantities) -> list[str]:
        """Return the names that have no value yet."""
        return [name for name in self.names() if name not in quantities]

    def total(self, quantities: Quantities) -> float:
        """Evaluate the formula."""
        return sum(
            prod(_factor(name, quantities) for name in term)
            for term in self.terms
        )

    def holds(self, quantities: Quantities) -> bool:
        """Return whether the budget, if any, is kept."""
        return self.budget is None or (
            self.total(quantities) <= self.budget.amount
        )

    def breaking_scale(self, slopes: Quantities) -> float:
        """Return the fleet size at which the budget is used up.

        1 is the target size. Infinite when the budget still holds at
        :data:`MAX_SCALE`, as when the estimate does not grow with the fleet.
        """
        low, high = 0.0, 1.0
        while self.holds(known_quantities(slopes, high)):
            low, high = high, high * 2
            if high > MAX_SCALE:
                return inf
        for _ in range(BISECTIONS):
            middle = (low + high) / 2
            if self.holds(known_quantities(slopes, middle)):
                low = middle
            else:
                high = middle
        return low


def _factor(name: str, quantities: Quantities) -> float:
    if name.startswith(DIVISOR_PREFIX):
        return 1 / quantities[name.removeprefix(DIVISOR_PREFIX)]
    return quantities[name]
