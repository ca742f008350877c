"""Retry budgets that hold over all relays together."""

from collections import deque
from collections.abc import Callable
from typing import final

# The span in which retries are counted against first tries.
WINDOW_S = 10.0
# Part of the reserve that is used; the rest covers first tries whose relay
# is overtaken by its own retries.
RESERVE_SHARE = 0.6
SHARE_SHARE = 0.8


@final
class RetryWindow:
    """Retries of one service in a sliding window.

    :ivar firsts: when first tries were made.
    :ivar retries: when retries were made.
    """

    def __init__(self) -> None:
        self.firsts: deque[float] = deque()
        self.retries: deque[float] = deque()

    def slide(self, now_s: float) -> None:
        """Drop what has left the window."""
        for times in (self.firsts, self.retries):
            while times and now_s - times[0] > WINDOW_S:
                times.popleft()


@final
class SharedRetryBudget:
    """This relay's part of the retries that all relays may make.

    :param share: retries allowed for each first try.
    :param reserve: retries allowed beside the share, over all relays.
    :param relay_count: returns how many relays share the reserve.
    """

    def __init__(
        self,
        share: float,
        reserve: float,
        relay_count: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self.share = share
        self.reserve = reserve
        self.relay_count = relay_count
        self.clock = clock
        self.services: dict[str, RetryWindow] = {}

    def first_try(self, service: str) -> None:
        """Note a first try."""
        budget = self._find(service)
        budget.firsts.append(self.clock())

    def take(self, service: str) -> bool:
        """Take one retry if the budget allows it."""
        budget = self._find(service)
        allowed = self.share * SHARE_SHARE * len(budget.firsts)
        allowed += self.reserve * RESERVE_SHARE / self.relay_count()
        if len(budget.retries) + 1 > allowed:
            return False
        budget.retries.append(self.clock())
        return True

    def _find(self, service: str) -> RetryWindow:
        budget = self.services.setdefault(service, RetryWindow())
        budget.slide(self.clock())
        return budget
