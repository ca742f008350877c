"""Memory that one request holds until every part of it is done."""

from threading import Lock
from typing import final

from bramleylug.web.memory import MemoryLedger


@final
class Reservation:
    """Bytes reserved for a request, given back when all holders are done.

    :param holders: parts of the path that hold bytes of the request.
    """

    def __init__(
        self, ledger: MemoryLedger, reserved_bytes: int, holders: int
    ) -> None:
        self.lock = Lock()
        self.ledger = ledger
        self.reserved_bytes = reserved_bytes
        self.holders = holders

    def release(self) -> None:
        """Note that one holder holds nothing any more."""
        with self.lock:
            self.holders -= 1
            if self.holders:
                return
        self.ledger.release(self.reserved_bytes)
