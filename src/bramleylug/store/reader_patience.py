"""How long a process waits for a reader that lags behind the store.

A process that finds out that the store has news which its reader lacks can
wait until the reader has them, or read them from the store. The first is late
if the reader is cut off. The second sends the same news over the same link
once for each process: these copies delay each other until their calls time out
and are repeated. So a process waits for a reader that the store answers, and
looks for another one otherwise.
"""

from collections.abc import Callable
from typing import final

from bramleylug.store.store_reach import Reach

# A small call that takes longer shows that the way to the store is full.
CROWDED_S = 0.25
# Afterwards other processes may still be catching up for this time.
RECOVERY_S = 3.0
# Wait until a reader knows whether the store answers it. The next one is asked
# after it, and one that lags behind on a full link is waited for longer.
CONTACT_S = 0.1
CROWDED_CONTACT_S = 0.25
# Wait for a reader that the store answers. One whose answer stalls on its way
# says so; a second copy would share the link with the first.
READING_S = 4.0
# It answers in between, so that one that stands still is noticed.
HOLD_S = 0.5
# Least wait that is worth a call.
MIN_CALL_S = 0.01


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
    def contact_s(self) -> float:
        """How long the first call of a reader may wait for news."""
        return CROWDED_CONTACT_S if self.is_long else CONTACT_S

    def next_wait_s(self, reach: Reach, waited_s: float) -> float:
        """Return how long the next call of a reader may wait for news.

        :param reach: whether the store answers it, by its last answer.
        :param waited_s: time since it was asked first.
        :returns: 0 to ask another one.
        """
        match reach:
            case Reach.answered:
                left_s = min(HOLD_S, READING_S - waited_s)
                return left_s if left_s >= MIN_CALL_S else 0
            case Reach.failed | Reach.unknown:
                return 0

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
