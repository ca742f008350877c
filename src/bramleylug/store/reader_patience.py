"""How long a process waits for a reader that lags behind the store.

A process that finds out that the store has news which its reader lacks can
wait until the reader has them, or read them from the store. The first is late
if the reader is cut off. The second sends the same news over the same link
once for each process: after an outage, or when the link is full, these copies
delay each other until their calls time out and are repeated.
"""

from typing import final

# A small call that takes longer shows that the way to the store is full.
CROWDED_S = 0.25
# Readers may notice the silence of the one before them this much later.
TAKEOVERS_S = (0.1, 0.1)
# Time in which a reader that had no contact itself calls the store again, and
# in which the one that takes its place reads what was missed.
RETURN_S = 1.0
REPLACE_S = 3.0


@final
class ReaderPatience:
    """Decides from the last calls of the store how long readers may take.

    :ivar is_crowded: whether the store did not answer this process at first,
        or answered a small call late.
    """

    def __init__(self) -> None:
        self.is_crowded = False

    @property
    def waits_s(self) -> tuple[float, ...]:
        """Seconds for each reader that is waited for, one after the other."""
        return (RETURN_S, REPLACE_S) if self.is_crowded else TAKEOVERS_S

    def record_failure(self) -> None:
        """Record that the store did not answer this process."""
        self.is_crowded = True

    def record_answer(self, took_s: float) -> None:
        """Record that the store answered a small call."""
        if took_s > CROWDED_S:
            self.is_crowded = True

    def record_news(self) -> None:
        """Record that this process has what the store had."""
        self.is_crowded = False
