"""In-memory store for tests, with a switchable outage."""

from threading import Lock
from typing import Any, final

from bramleylug.store.store import (
    Conflict,
    StoredValue,
    Swapped,
    Unavailable,
)


@final
class MemoryStore:
    """Supports compare-and-swap and reads only.

    :ivar down: whether every call fails as unavailable.
    :ivar writes: calls of compare-and-swap.
    """

    def __init__(self) -> None:
        self.lock = Lock()
        self.entries: dict[str, StoredValue] = {}
        self.down = False
        self.writes = 0

    def read(self, key: str, *, timeout_s: float) -> Any:
        if self.down:
            return Unavailable('down')
        return self.entries.get(key, StoredValue(b'', 0))

    def compare_and_swap(
        self,
        key: str,
        expected_version: int,
        value: bytes,
        *,
        timeout_s: float,
        lease_id: int = 0,
    ) -> Any:
        """Write a value if the stored one has the expected version."""
        self.writes += 1
        if self.down:
            return Unavailable('down')
        with self.lock:
            current = self.entries.get(key, StoredValue(b'', 0))
            if current.version != expected_version:
                return Conflict(current)
            self.entries[key] = StoredValue(value, current.version + 1)
            return Swapped(current.version + 1)
