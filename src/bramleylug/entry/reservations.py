"""Memory reserved for a request until all of its users are done."""

from threading import Lock
from typing import final

from bramleylug.web.memory import MemoryLedger


@final
class Reservation:
    """Bytes reserved for a request; released by the last of its holders.

    :param holders: number of components that hold bytes of the request.
    """

    def __init__(
        self, ledger: MemoryLedger, reserved_bytes: int, holders: int
    ) -> None:
        self.lock = Lock()
        self.ledger = ledger
        self.reserved_bytes = reserved_bytes
        self.holders = holders

    def release(self) -> None:
        """Release the share of one holder; each holder calls it once."""
        with self.lock:
            self.holders -= 1
            if self.holders:
                return
        self.ledger.release(self.reserved_bytes)
