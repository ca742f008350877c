"""When a shard may be written and read again."""

from typing import final

COMMIT_INTERVAL_S = 0.25
COMPLETION_DELAY_S = 1.0
REPEAT_READ_S = 0.25
REFRESH_S = 10.0
FIRST_BACKOFF_S = 0.05
LAST_BACKOFF_S = 2.0
DOWN_AFTER_FAILURES = 2


@final
class StorePace:
    """Group commit and backoff of one shard; one call at a time.

    :ivar busy: whether a call is on its way.
    :ivar unsettled: whether an earlier write may still take effect.
    :ivar failures: calls that failed in a row.
    """

    def __init__(self) -> None:
        self.busy = False
        self.unsettled = False
        self.failures = 0
        self.next_write_s = 0.0
        self.next_read_s = 0.0
        self.completions_due_s = 0.0

    @property
    def down(self) -> bool:
        """Whether the store failed several times in a row."""
        return self.failures >= DOWN_AFTER_FAILURES

    def write_begins(self, now_s: float) -> None:
        """Note a write; the next one waits, and takes all that came since."""
        self.busy = True
        self.next_write_s = now_s + COMMIT_INTERVAL_S

    def read_begins(self, now_s: float) -> None:
        """Note a read."""
        self.busy = True
        self.next_read_s = now_s + REPEAT_READ_S

    def succeeded(self, now_s: float) -> None:
        """Note that the current value is known."""
        self.failures = 0
        self.next_read_s = max(self.next_read_s, now_s)

    def failed(self, now_s: float) -> None:
        """Note that a call failed or that its answer was lost."""
        backoff_s = min(FIRST_BACKOFF_S * 2**self.failures, LAST_BACKOFF_S)
        self.failures += 1
        self.next_write_s = now_s + backoff_s
        self.next_read_s = self.next_write_s

    def completion_waits(self, now_s: float) -> None:
        """Let a result wait, so that it rides with a later claim."""
        self.completions_due_s = now_s + COMPLETION_DELAY_S

    def expedite(self, now_s: float) -> None:
        """Let what waits be written next."""
        self.completions_due_s = now_s

    def write_is_due(self, now_s: float, *, urgent: bool) -> bool:
        """Tell whether a shard with changes is to be written now."""
        if self.busy or now_s < self.next_write_s:
            return False
        return urgent or self.unsettled or now_s >= self.completions_due_s

    def read_is_due(self, now_s: float, *, followed: bool) -> bool:
        """Tell whether a shard is to be read now.

        Without a reason it is read seldom, to see that the store still
        holds what was written.
        """
        if self.busy or now_s < self.next_read_s:
            return False
        refresh = now_s >= self.next_read_s + REFRESH_S
        return self.down or followed or refresh
