"""Rate limits for the part of a link that weights may use."""

import time
from threading import Lock
from typing import final

# Unused capacity may be used later, up to this many seconds' worth of bytes.
BURST_S = 0.02
PAUSED_POLL_S = 0.05


@final
class TokenBucket:
    """Token bucket without a clock of its own.

    :param rate: bytes a second; 0 pauses.
    :ivar available_s: when everything reserved so far will have been sent.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.available_s = float('-inf')

    def reserve(self, size_bytes: int, now_s: float) -> float | None:
        """Reserve bytes and return the seconds to wait before using them.

        :returns: ``None`` while paused; nothing is reserved then.
        """
        if self.rate <= 0:
            return None
        start_s = max(self.available_s, now_s - BURST_S)
        self.available_s = start_s + size_bytes / self.rate
        return max(0, self.available_s - now_s)


@final
class LinkRateLimiter:
    """Blocking rate limiter for one direction of a link, for many threads.

    :param rate: bytes a second while live traffic is not slowed down.
    :ivar consumed_bytes: bytes sent or received so far.
    """

    def __init__(self, rate: float) -> None:
        self.full_rate = rate
        self.bucket = TokenBucket(rate)
        self.lock = Lock()
        self.consumed_bytes = 0

    def set_share(self, share: float) -> None:
        """Limit the rate to a part of the full rate, from 0, paused, to 1."""
        with self.lock:
            self.bucket.rate = self.full_rate * share

    @property
    def paused(self) -> bool:
        """Whether nothing may be transferred now."""
        return self.bucket.rate <= 0

    def consume(self, size_bytes: int) -> None:
        """Wait until bytes may be transferred within the rate."""
        while True:
            with self.lock:
                wait_s = self.bucket.reserve(size_bytes, time.monotonic())
            if wait_s is not None:
                break
            time.sleep(PAUSED_POLL_S)
        self.consumed_bytes += size_bytes
        if wait_s:
            time.sleep(wait_s)
