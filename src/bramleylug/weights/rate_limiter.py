"""Bounded shares of the link for weights."""

import time
from threading import Lock
from typing import final

BURST_S = 0.02
PAUSED_POLL_S = 0.05


@final
class TokenBucket:
    """Rate limit as a pure object.

    :param rate: bytes a second; 0 pauses.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.free_s = float('-inf')

    def reserve(self, size_bytes: int, now_s: float) -> float | None:
        """Reserve bytes and return the seconds to wait before using them.

        :returns: ``None`` while paused; nothing is reserved then.
        """
        if self.rate <= 0:
            return None
        start_s = max(self.free_s, now_s - BURST_S)
        self.free_s = start_s + size_bytes / self.rate
        return max(0, self.free_s - now_s)


@final
class LinkRateLimiter:
    """Share of a link that threads draw from.

    :param rate: bytes a second when live traffic does not suffer.
    :ivar consumed_bytes: bytes drawn so far.
    """

    def __init__(self, rate: float) -> None:
        self.full_rate = rate
        self.bucket = TokenBucket(rate)
        self.lock = Lock()
        self.consumed_bytes = 0

    def set_share(self, share: float) -> None:
        """Set the part of the rate in force, from 0 to 1."""
        with self.lock:
            self.bucket.rate = self.full_rate * share

    @property
    def paused(self) -> bool:
        """Whether nothing may be drawn now."""
        return self.bucket.rate <= 0

    def consume(self, size_bytes: int) -> None:
        """Draw bytes; sleeps until the link may carry them."""
        while True:
            with self.lock:
                wait_s = self.bucket.reserve(size_bytes, time.monotonic())
            if wait_s is not None:
                break
            time.sleep(PAUSED_POLL_S)
        self.consumed_bytes += size_bytes
        if wait_s:
            time.sleep(wait_s)
