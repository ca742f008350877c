"""When this host may read the origin."""

from typing import final

from bramleylug.weights.limits import DEFAULT_LIMITS, TransferLimits
from bramleylug.weights.peers import FailureReason

ORIGIN_PARALLEL = 2
BAD_READS_LIMIT = 3
BAD_CHUNK_PAUSE_S = 60.0


@final
class OriginReads:
    """Bounds the reads of the origin and backs off when they fail.

    :ivar in_flight: reads that have not ended.
    :ivar reported: chunks that the origin served corrupt for good.
    """

    def __init__(self, limits: TransferLimits = DEFAULT_LIMITS) -> None:
        self.limits = limits
        self.in_flight = 0
        self.failures = 0
        self.avoid_until_s = float('-inf')
        self.bad_reads: dict[int, int] = {}
        self.bad_until_s: dict[int, float] = {}
        self.reported: set[int] = set()

    def may_read(self, index: int, now_s: float) -> bool:
        """Tell whether a read may start."""
        return (
            self.in_flight < ORIGIN_PARALLEL
            and self.answers(now_s)
            and self.bad_until_s.get(index, now_s) <= now_s
        )

    def answers(self, now_s: float) -> bool:
        """Tell whether the origin is not being left alone after failures."""
        return now_s >= self.avoid_until_s

    def record_failure(
        self, fault: FailureReason, index: int, now_s: float
    ) -> bool:
        """Note a failed read.

        :returns: whether the chunk is bad at the origin for good and this
            was not yet reported.
        """
        if fault is FailureReason.corrupt:
            return self._note_bad(index, now_s)
        pause_s = min(
            self.limits.origin_backoff_max_s,
            self.limits.origin_backoff_s * 2**self.failures,
        )
        self.failures = min(self.failures + 1, BAD_READS_LIMIT * 2)
        self.avoid_until_s = now_s + pause_s
        return False

    def record_success(self, index: int) -> None:
        """Note a sound chunk."""
        self.failures = 0
        self.bad_reads.pop(index, None)
        self.reported.discard(index)

    def _note_bad(self, index: int, now_s: float) -> bool:
        self.bad_reads[index] = self.bad_reads.get(index, 0) + 1
        if self.bad_reads[index] < BAD_READS_LIMIT:
            return False
        self.bad_until_s[index] = now_s + BAD_CHUNK_PAUSE_S
        fresh = index not in self.reported
        self.reported.add(index)
        return fresh
