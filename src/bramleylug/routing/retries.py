"""Retry budget: a share of the first tries."""

from typing import final

RESERVE = 3.0
CEILING = 50.0


@final
class RetryBudget:
    """Grows with first tries and shrinks with retries.

    :param share: retries allowed for each first try.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.tokens = RESERVE

    def first_try(self) -> None:
        """Note a first try."""
        self.tokens = min(CEILING, self.tokens + self.share)

    def take(self) -> bool:
        """Take one retry if the budget allows it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
