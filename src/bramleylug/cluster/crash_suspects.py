"""Requests suspected of crashing upstreams, shared between all relays."""

from collections.abc import Callable, Iterable
from typing import final

from xxhash import xxh64_digest

# Distinct upstreams that must crash under a request before it is refused: one
# or two crashes may be coincidence.
BARRED_CRASHES = 3
# How long crashes and successes are remembered, and how long a crash is
# included in heartbeats.
RETENTION_S = 120.0
ANNOUNCED_S = 10.0
MAX_SUSPECTS = 512
MAX_SUCCESSES = 4096
MAX_ANNOUNCED = 32


@final
class SharedSuspects:
    """Crashes by fingerprint of the request.

    :param clock: monotonic seconds.
    :ivar crashes: by fingerprint, when each crash was first recorded.
    :ivar successes: by fingerprint, when a request last succeeded. A request
        that crashes upstreams never succeeds, whoever sends it.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.crashes: dict[bytes, dict[bytes, float]] = {}
        self.successes: dict[bytes, float] = {}

    def record_success(self, fingerprint: bytes) -> None:
        """Record that a request succeeded, which clears its crashes."""
        self.crashes.pop(fingerprint, None)
        self.successes.pop(fingerprint, None)
        self.successes[fingerprint] = self.clock()
        if len(self.successes) > MAX_SUCCESSES:
            self.successes.pop(next(iter(self.successes)))

    def record_crash(self, fingerprint: bytes, crash_id: bytes) -> int:
        """Record the crash of an upstream; the same crash counts once.

        It is ignored if the request succeeded less than :data:`RETENTION_S`
        ago.

        :returns: number of known crashes under the request.
        """
        succeeded_s = self.successes.get(fingerprint, float('-inf'))
        if self.clock() - succeeded_s < RETENTION_S:
            return 0
        known = self.crashes.setdefault(fingerprint, {})
        known.setdefault(crash_id, self.clock())
        if len(self.crashes) > MAX_SUSPECTS:
            self.crashes.pop(next(iter(self.crashes)))
        return len(known)

    def is_barred(self, fingerprint: bytes) -> bool:
        """Return whether a request must not be sent to any upstream."""
        known = self.crashes.get(fingerprint)
        if known is None:
            return False
        since_s = self.clock() - RETENTION_S
        recent = sum(at_s > since_s for at_s in known.values())
        return recent >= BARRED_CRASHES

    def recent(self) -> Iterable[tuple[bytes, list[bytes]]]:
        """Return the fingerprints and crash ids for the next heartbeat."""
        since_s = self.clock() - ANNOUNCED_S
        announced = [
            (fingerprint, list(known))
            for fingerprint, known in self.crashes.items()
            if max(known.values()) > since_s
        ]
        return announced[-MAX_ANNOUNCED:]


def fingerprint_of(*parts: bytes) -> bytes:
    """Return a hash that is the same whenever a request is sent again."""
    return xxh64_digest(b'\0'.join(parts))


def crash_id_of(upstream_id: str, started_ms: int) -> bytes:
    """Return an id for the crash of one upstream incarnation."""
    return xxh64_digest(f'{upstream_id}/{started_ms}'.encode())
