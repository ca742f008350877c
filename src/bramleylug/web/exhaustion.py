"""What a process does when it has no file descriptor left."""

import errno
import os
import time
from contextlib import suppress
from typing import final

from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import EXHAUSTED, count
from bramleylug.observability.rejections import LineLimit

# Errors of a call that fails because this process or its host has run out of
# descriptors, memory for sockets, or local ports; its peer is not at fault.
EXHAUSTION_ERRORS = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
    )
)
LOG_INTERVAL_S = 10.0


@final
class SpareDescriptor:
    """A descriptor that is given up so that a connection can be rejected.

    :ivar descriptor: the open descriptor; ``None`` while it is given up.
    """

    def __init__(self) -> None:
        self.descriptor: int | None = None
        self.reopen()

    def release(self) -> None:
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None

    def reopen(self) -> None:
        """Open it again; without a free descriptor, a later call does."""
        if self.descriptor is None:
            with suppress(OSError):
                self.descriptor = os.open(os.devnull, os.O_RDONLY)


@final
class ExhaustionLog:
    """Counts calls that failed for want of a descriptor, and logs some.

    :param what: what could not be done.
    """

    def __init__(self, what: str) -> None:
        self.what = what
        self.limit = LineLimit(LOG_INTERVAL_S)

    def record(self, error: str) -> None:
        """Count a failure; log it unless one was logged a moment ago."""
        count(EXHAUSTED, what=self.what)
        repeated = self.limit.record(self.what, time.monotonic())
        if repeated is None:
            return
        emit(
            LogEvent.descriptors_exhausted,
            what=self.what,
            error=error,
            repeated=repeated,
        )
