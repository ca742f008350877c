"""A limit on the memory that all requests together may use."""

import sys
from threading import Lock
from typing import final

UNBOUNDED_BYTES = sys.maxsize


@final
class MemoryLedger:
    """Counts reserved bytes against a limit; thread-safe.

    :param limit_bytes: most bytes reserved at once.
    :ivar held_bytes: bytes reserved at present.
    :ivar peak_bytes: highest value of ``held_bytes`` so far.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.lock = Lock()
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.peak_bytes = 0

    @property
    def share(self) -> float:
        """Fraction of the limit that is reserved, from 0 to 1."""
        return self.held_bytes / max(1, self.limit_bytes)

    def reserve(self, amount_bytes: int) -> bool:
        """Reserve bytes, or return ``False`` if the limit would be exceeded.

        A negative amount releases bytes and never fails.
        """
        with self.lock:
            held_bytes = self.held_bytes + amount_bytes
            if amount_bytes > 0 and held_bytes > self.limit_bytes:
                return False
            self.held_bytes = held_bytes
            self.peak_bytes = max(self.peak_bytes, held_bytes)
            return True

    def release(self, amount_bytes: int) -> None:
        with self.lock:
            self.held_bytes -= amount_bytes
