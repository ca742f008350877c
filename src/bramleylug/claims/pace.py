"""Timing of the store calls of one shard: group commit and backoff."""

from typing import final

COMMIT_INTERVAL_S = 0.25
RESULT_DELAY_S = 1.0
READ_INTERVAL_S = 0.25
REFRESH_INTERVAL_S = 10.0
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
DOWN_AFTER_FAILURES = 2


@final
class StorePace:
    """Schedules the store calls of one shard, one at a time.

    :ivar call_in_flight: whether a call has not returned yet.
    :ivar write_uncertain: whether an earlier write may still take effect.
    :ivar failures: consecutive failed calls.
    :ivar results_due_s: monotonic time at which results are written even if
        no claim has to be written.
    """

    def __init__(self) -> None:
        self.call_in_flight = False
        self.write_uncertain = False
        self.failures = 0
        self.next_write_s = 0.0
        self.next_read_s = 0.0
        self.results_due_s = 0.0

    @property
    def down(self) -> bool:
        """Whether several consecutive calls of the store have failed."""
        return self.failures >= DOWN_AFTER_FAILURES

    def record_write_start(self, now_s: float) -> None:
        """Delay the next write, so that it includes all changes until then."""
        self.call_in_flight = True
        self.next_write_s = now_s + COMMIT_INTERVAL_S

    def record_read_start(self, now_s: float) -> None:
        self.call_in_flight = True
        self.next_read_s = now_s + READ_INTERVAL_S

    def record_success(self, now_s: float) -> None:
        """End the backoff once the current value of the shard is known."""
        self.failures = 0
        self.next_read_s = max(self.next_read_s, now_s)

    def record_failure(self, now_s: float) -> None:
        """Back off exponentially after a failed call or a lost answer."""
        backoff_s = min(MIN_BACKOFF_S * 2**self.failures, MAX_BACKOFF_S)
        self.failures += 1
        self.next_write_s = now_s + backoff_s
        self.next_read_s = self.next_write_s

    def delay_results(self, now_s: float) -> None:
        """Delay writing a result, so that it can share a write with a claim."""
        self.results_due_s = now_s + RESULT_DELAY_S

    def expedite(self, now_s: float) -> None:
        """Make delayed results due now."""
        self.results_due_s = now_s

    def write_is_due(self, now_s: float, *, urgent: bool) -> bool:
        """Return whether a shard with changes has to be written now."""
        if self.call_in_flight or now_s < self.next_write_s:
            return False
        return urgent or self.write_uncertain or now_s >= self.results_due_s

    def read_is_due(self, now_s: float, *, resends_wait: bool) -> bool:
        """Return whether a shard has to be read now.

        Without a reason it is read every ``REFRESH_INTERVAL_S`` or so, to
        check that the store still holds what was written.
        """
        if self.call_in_flight or now_s < self.next_read_s:
            return False
        refresh = now_s >= self.next_read_s + REFRESH_INTERVAL_S
        return self.down or resends_wait or refresh
