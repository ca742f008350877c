"""Requests that crash whatever upstream runs them, known to all relays."""

from collections.abc import Callable, Iterable
from typing import final

from xxhash import xxh64_digest

# Distinct upstreams that have to die under a request before it is refused:
# one or two deaths may be chance.
BARRED_CRASHES = 3
# How long a crash is told of and remembered.
REMEMBERED_S = 120.0
TOLD_S = 10.0
MOST_SUSPECTS = 512
MOST_SUCCESSES = 4096
MOST_TOLD = 32


@final
class SharedSuspects:
    """Crashes by request fingerprint.

    :param clock: seconds that only rise.
    :ivar crashes: when each upstream's death was heard of, by fingerprint.
    :ivar successes: when a request last ended well: one that crashes what
        runs it never does, however many others send the same.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.crashes: dict[bytes, dict[bytes, float]] = {}
        self.successes: dict[bytes, float] = {}

    def note_success(self, fingerprint: bytes) -> None:
        """Note that a request ended well; it is not to blame."""
        self.crashes.pop(fingerprint, None)
        self.successes.pop(fingerprint, None)
        self.successes[fingerprint] = self.clock()
        if len(self.successes) > MOST_SUCCESSES:
            self.successes.pop(next(iter(self.successes)))

    def report(self, fingerprint: bytes, crash_id: bytes) -> int:
        """Count the death of an upstream; the same death counts once.

        :returns: deaths that are known.
        """
        succeeded_s = self.successes.get(fingerprint, float('-inf'))
        if self.clock() - succeeded_s < REMEMBERED_S:
            return 0
        known = self.crashes.setdefault(fingerprint, {})
        known.setdefault(crash_id, self.clock())
        if len(self.crashes) > MOST_SUSPECTS:
            self.crashes.pop(next(iter(self.crashes)))
        return len(known)

    def is_barred(self, fingerprint: bytes) -> bool:
        """Tell whether a request must reach no upstream any more."""
        known = self.crashes.get(fingerprint)
        if known is None:
            return False
        since_s = self.clock() - REMEMBERED_S
        recent = sum(at_s > since_s for at_s in known.values())
        return recent >= BARRED_CRASHES

    def recent(self) -> Iterable[tuple[bytes, list[bytes]]]:
        """Return the crashes that peers are to be told of."""
        since_s = self.clock() - TOLD_S
        told = [
            (fingerprint, list(known))
            for fingerprint, known in self.crashes.items()
            if max(known.values()) > since_s
        ]
        return told[-MOST_TOLD:]


def fingerprint_of(*parts: bytes) -> bytes:
    """Return what tells one request from another, whoever sends it again."""
    return xxh64_digest(b'\0'.join(parts))


def crash_id_of(upstream_id: str, started_ms: int) -> bytes:
    """Return a name of the death of one incarnation."""
    return xxh64_digest(f'{upstream_id}/{started_ms}'.encode())
