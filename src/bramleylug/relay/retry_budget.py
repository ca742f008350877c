"""Retry budget that limits the retries of all relays together."""

from collections import deque
from collections.abc import Callable
from typing import final

# Sliding window in which retries are counted against first attempts.
WINDOW_S = 10.0
# Fractions of the reserve and of the share that are used. The rest covers
# first attempts that leave the window before their retries do.
RESERVE_FRACTION = 0.6
SHARE_FRACTION = 0.8


@final
class RetryWindow:
    """Attempts of one service in a sliding window.

    :ivar first_attempts: times of the first attempts.
    :ivar retries: times of the retries.
    """

    def __init__(self) -> None:
        self.first_attempts: deque[float] = deque()
        self.retries: deque[float] = deque()

    def slide(self, now_s: float) -> None:
        """Drop attempts that have left the window."""
        for times in (self.first_attempts, self.retries):
            while times and now_s - times[0] > WINDOW_S:
                times.popleft()


@final
class SharedRetryBudget:
    """This relay's part of the retry budget of all relays.

    :param share: retries allowed for each first attempt.
    :param reserve: retries allowed in addition, over all relays.
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
        self.windows: dict[str, RetryWindow] = {}

    def record_first_attempt(self, service: str) -> None:
        window = self._window(service)
        window.first_attempts.append(self.clock())

    def consume(self, service: str) -> bool:
        """Consume one retry; return whether the budget allows it."""
        if not self.allows(service):
            return False
        self._window(service).retries.append(self.clock())
        return True

    def allows(self, service: str) -> bool:
        """Return whether the budget allows a retry now."""
        window = self._window(service)
        allowed = self.share * SHARE_FRACTION * len(window.first_attempts)
        allowed += self.reserve * RESERVE_FRACTION / self.relay_count()
        return len(window.retries) + 1 <= allowed

    def _window(self, service: str) -> RetryWindow:
        window = self.windows.setdefault(service, RetryWindow())
        window.slide(self.clock())
        return window
