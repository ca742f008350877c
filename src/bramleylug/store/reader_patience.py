"""How long a process waits for a reader that lags behind the store.

A process that finds out that the store has news which its reader lacks can
wait until the reader has them, or read them from the store. The first is late
if the reader is cut off. The second sends the same news over the same link
once for each process: after an outage, or when the link is full, these copies
delay each other until their calls time out and are repeated.
"""

from collections.abc import Callable
from typing import final

# A small call that takes longer shows that the way to the store is full.
CROWDED_S = 0.25
# Afterwards other processes may still be catching up for this time.
RECOVERY_S = 3.0
# The first reader may have the news since it was asked; the one that takes its
# place may notice its silence a little later than others.
TAKEOVERS_S = (0.05, 0.1)
# The first reader that is waited for calls the store again within the first
# time; each one that takes its place reads what was missed in another.
RECOVERY_WAITS_S = (0.5, 2.0, 2.0, 2.0)


@final
class ReaderPatience:
    """Decides from the last calls of the store how long readers may take.

    :param clock: seconds that also count while the host is suspended.
    :ivar recovers_s: when the way to the store counts as sound again.
    :ivar is_returning: whether the store has not answered since it failed to.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.recovers_s = float('-inf')
        self.is_returning = False

    @property
    def is_long(self) -> bool:
        """Whether the store failed to answer, or was late, a moment ago."""
        return self.clock() < self.recovers_s

    @property
    def waits_s(self) -> tuple[float, ...]:
        """Seconds for each reader that is waited for, one after the other."""
        return RECOVERY_WAITS_S if self.is_long else TAKEOVERS_S

    def record_failure(self) -> None:
        """Record that the store did not answer this process."""
        self.is_returning = True
        self.recovers_s = self.clock() + RECOVERY_S

    def record_answer(self, took_s: float) -> None:
        """Record that the store answered a small call."""
        if took_s > CROWDED_S:
            self.recovers_s = self.clock() + RECOVERY_S

    def take_return(self) -> bool:
        """Return whether an answer is the first since the store failed."""
        is_returning = self.is_returning
        self.is_returning = False
        return is_returning
