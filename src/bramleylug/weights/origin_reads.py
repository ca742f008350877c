"""Bounds and backs off this host's reads of the origin."""

from typing import final

from bramleylug.weights.limits import DEFAULT_LIMITS, TransferLimits
from bramleylug.weights.peers import FailureReason

PARALLEL_READS = 2
CORRUPT_READS_LIMIT = 3
CORRUPT_CHUNK_PAUSE_S = 60.0


@final
class OriginReads:
    """Bounds the reads of the origin and backs off when they fail.

    :ivar in_flight: reads that have not ended.
    :ivar failures: reads that failed in a row, capped.
    :ivar avoid_until_s: earliest time of the next read.
    :ivar corrupt_reads: corrupt reads so far, by chunk.
    :ivar corrupt_until_s: earliest time of the next read of a chunk that
        was corrupt several times.
    :ivar reported: chunks reported as corrupt at the origin.
    """

    def __init__(self, limits: TransferLimits = DEFAULT_LIMITS) -> None:
        self.limits = limits
        self.in_flight = 0
        self.failures = 0
        self.avoid_until_s = float('-inf')
        self.corrupt_reads: dict[int, int] = {}
        self.corrupt_until_s: dict[int, float] = {}
        self.reported: set[int] = set()

    def may_read(self, index: int, now_s: float) -> bool:
        """Return whether a read of a chunk may start."""
        return (
            self.in_flight < PARALLEL_READS
            and self.is_available(now_s)
            and self.corrupt_until_s.get(index, now_s) <= now_s
        )

    def is_available(self, now_s: float) -> bool:
        """Return whether no pause after a failed read is in force."""
        return now_s >= self.avoid_until_s

    def record_failure(
        self, reason: FailureReason, index: int, now_s: float
    ) -> bool:
        """Record a failed read and pause reading.

        :returns: whether the chunk is to be reported as corrupt at the
            origin: it was corrupt several times and is not yet reported.
        """
        if reason is FailureReason.corrupt:
            return self._record_corrupt(index, now_s)
        pause_s = min(
            self.limits.origin_backoff_max_s,
            self.limits.origin_backoff_s * 2**self.failures,
        )
        self.failures = min(self.failures + 1, CORRUPT_READS_LIMIT * 2)
        self.avoid_until_s = now_s + pause_s
        return False

    def record_success(self, index: int) -> None:
        """Record that a valid chunk was read."""
        self.failures = 0
        self.corrupt_reads.pop(index, None)
        self.reported.discard(index)

    def _record_corrupt(self, index: int, now_s: float) -> bool:
        self.corrupt_reads[index] = self.corrupt_reads.get(index, 0) + 1
        if self.corrupt_reads[index] < CORRUPT_READS_LIMIT:
            return False
        self.corrupt_until_s[index] = now_s + CORRUPT_CHUNK_PAUSE_S
        newly_reported = index not in self.reported
        self.reported.add(index)
        return newly_reported
