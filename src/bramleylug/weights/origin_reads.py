"""Bounds and backs off this host's reads of the origin."""

from random import Random
from typing import final

from bramleylug.weights.limits import DEFAULT_LIMITS, TransferLimits
from bramleylug.weights.peers import FailureReason

PARALLEL_READS = 2
CORRUPT_READS_LIMIT = 3
CORRUPT_CHUNK_PAUSE_S = 60.0
# Shortest pause, as a share of the longest one after as many failures.
SHORTEST_PAUSE = 0.5
# That other hosts reach the origin ends a pause here this often at most: this
# host may be the one that is cut off.
TOLD_INTERVAL_S = 2.0
# An origin from which any host had bytes this short a time ago is not away.
HEARD_S = 1.0


@final
class OriginReads:
    """Bounds the reads of the origin and backs off when they fail.

    :param random: spreads the pauses of the hosts, whose reads fail together.
    :ivar in_flight: reads that have not ended.
    :ivar failures: reads that failed in a row, capped.
    :ivar avoid_until_s: earliest time of the next read.
    :ivar away_since_s: when a read failed for want of an answer and none has
        brought a byte since; ``None`` while the origin answers.
    :ivar returned_s: when it was noticed last that it answers again.
    :ivar own_heard_s: when bytes of it last arrived here.
    :ivar heard_s: when bytes of it last arrived at any host.
    :ivar corrupt_reads: corrupt reads so far, by chunk.
    :ivar corrupt_until_s: earliest time of the next read of a chunk that
        was corrupt several times.
    :ivar reported: chunks reported as corrupt at the origin.
    """

    def __init__(
        self, random: Random, limits: TransferLimits = DEFAULT_LIMITS
    ) -> None:
        self.random = random
        self.limits = limits
        self.in_flight = 0
        self.failures = 0
        self.avoid_until_s = float('-inf')
        self.away_since_s: float | None = None
        self.returned_s = float('-inf')
        self.own_heard_s = float('-inf')
        self.heard_s = float('-inf')
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

    def first_byte_s(self, now_s: float) -> float:
        """Return how long a read may take until its first byte arrives."""
        is_away = self.away_since_s is not None and (
            now_s - self.heard_s > HEARD_S
        )
        return (is_away and self.limits.probe_s) or self.limits.stall_s

    def record_bytes(self, now_s: float) -> bool:
        """Record that bytes arrived; return whether the origin was away."""
        self.own_heard_s = now_s
        self.heard_s = now_s
        if self.away_since_s is None:
            return False
        self._end_absence(now_s)
        return True

    def record_heard(self, heard_s: float, now_s: float) -> bool:
        """Record when bytes arrived at another host.

        :returns: whether that ends the absence of the origin here.
        """
        self.heard_s = max(self.heard_s, heard_s)
        if (
            self.away_since_s is None
            or heard_s <= self.away_since_s
            or now_s - self.returned_s < TOLD_INTERVAL_S
        ):
            return False
        self.failures = 0
        self._end_absence(now_s)
        return True

    def record_failure(
        self,
        reason: FailureReason,
        index: int,
        now_s: float,
        started_s: float,
    ) -> bool:
        """Record a failed read and pause reading.

        One that began before the origin was back says nothing of it now.

        :param started_s: when the read began.
        :returns: whether the chunk is to be reported as corrupt at the
            origin: it was corrupt several times and is not yet reported.
        """
        if reason is FailureReason.corrupt:
            return self._record_corrupt(index, now_s)
        if started_s < self.returned_s:
            return False
        if self.away_since_s is None:
            self.away_since_s = now_s
        pause_s = min(
            self.limits.origin_backoff_max_s,
            self.limits.origin_backoff_s * 2**self.failures,
        )
        self.failures = min(self.failures + 1, CORRUPT_READS_LIMIT * 2)
        spread = self.random.uniform(SHORTEST_PAUSE, 1)
        self.avoid_until_s = now_s + pause_s * spread
        return False

    def record_success(self, index: int) -> None:
        """Record that a valid chunk was read."""
        self.failures = 0
        self.corrupt_reads.pop(index, None)
        self.reported.discard(index)

    def _end_absence(self, now_s: float) -> None:
        self.away_since_s = None
        self.returned_s = now_s
        self.avoid_until_s = now_s

    def _record_corrupt(self, index: int, now_s: float) -> bool:
        self.corrupt_reads[index] = self.corrupt_reads.get(index, 0) + 1
        if self.corrupt_reads[index] < CORRUPT_READS_LIMIT:
            return False
        self.corrupt_until_s[index] = now_s + CORRUPT_CHUNK_PAUSE_S
        newly_reported = index not in self.reported
        self.reported.add(index)
        return newly_reported
