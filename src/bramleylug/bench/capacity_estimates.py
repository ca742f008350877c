"""One worked-out line of the capacity page."""

from collections.abc import Iterable
from math import inf, prod
from typing import NamedTuple, final

from bramleylug.bench.quantities import Quantities, known_quantities

LARGEST_SCALE = 4096.0
BISECTIONS = 40

DIVISOR_PREFIX = '/'

Product = tuple[str, ...]


@final
class Budget(NamedTuple):
    """What a line may come to.

    :ivar source: the line of the brief or the letter.
    """

    amount: float
    source: str


@final
class Estimate(NamedTuple):
    """One resource of one role, as a sum of products of quantities.

    :ivar terms: names of sizes and slopes; each inner tuple is multiplied,
        and the products are added. A name after ``/`` divides.
    :ivar mechanism: what carries it.
    """

    role: str
    resource: str
    unit: str
    terms: tuple[Product, ...]
    mechanism: str
    budget: Budget | None = None

    @property
    def title(self) -> str:
        """Role and resource."""
        return f'{self.role}: {self.resource}'

    def names(self) -> Iterable[str]:
        """Return the quantities it is made of."""
        return [
            name.removeprefix(DIVISOR_PREFIX)
            for product in self.terms
            for name in product
        ]

    def missing(self, quantities: Quantities) -> list[str]:
        """Return the quantities that were not measured yet."""
        return [name for name in self.names() if name not in quantities]

    def total(self, quantities: Quantities) -> float:
        """Return what the line comes to."""
        return sum(
            prod(_factor(name, quantities) for name in product)
            for product in self.terms
        )

    def holds(self, quantities: Quantities) -> bool:
        """Tell whether the budget is kept."""
        return self.budget is None or (
            self.total(quantities) <= self.budget.amount
        )

    def breaking_scale(self, slopes: Quantities) -> float:
        """Return the fleet, in sizes of the letter, that uses the budget up.

        Infinite where the line does not grow with the fleet.
        """
        low, high = 0.0, 1.0
        while self.holds(known_quantities(slopes, high)):
            low, high = high, high * 2
            if high > LARGEST_SCALE:
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
