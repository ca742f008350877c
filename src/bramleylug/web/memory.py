"""Bytes held for callers, counted against one bound."""

import sys
from threading import Lock
from typing import final

UNBOUNDED_BYTES = sys.maxsize


@final
class MemoryLedger:
    """Counts reservations; safe to use from any thread.

    :param limit_bytes: most bytes reserved at once.
    :ivar held_bytes: bytes reserved now.
    :ivar peak_bytes: most bytes that were ever reserved at once.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.lock = Lock()
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.peak_bytes = 0

    @property
    def share(self) -> float:
        """Share of the limit that is reserved."""
        return self.held_bytes / max(1, self.limit_bytes)

    def reserve(self, amount_bytes: int) -> bool:
        """Reserve bytes, or return ``False`` where they don't fit."""
        with self.lock:
            held_bytes = self.held_bytes + amount_bytes
            if amount_bytes > 0 and held_bytes > self.limit_bytes:
                return False
            self.held_bytes = held_bytes
            self.peak_bytes = max(self.peak_bytes, held_bytes)
            return True

    def release(self, amount_bytes: int) -> None:
        """Give back bytes that were reserved."""
        with self.lock:
            self.held_bytes -= amount_bytes
