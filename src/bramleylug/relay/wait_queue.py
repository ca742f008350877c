"""Which request waits for a free slot, which is refused, and until when.

Answers the load of one service at one entry.
"""

from collections import deque
from dataclasses import dataclass
from typing import final

from bramleylug.admission.queue import Arrival, FairQueue

# Share of its objective that a request may wait here: the rest is what an
# upstream needs to read a prompt and to write its first event.
PATIENCE_SHARE = 0.6
# A request waits only where this part of its patience is expected to do:
# the rate at which slots come free varies.
HOPE_SHARE = 0.8
# Completions that the drain rate is taken from, and for how long they count.
RATE_SAMPLES = 64
RATE_WINDOW_S = 3.0
# A refused caller comes back after about the time that a full house needs
# to empty: the platform's callers retry once and wait at most a third of
# the time that they have left.
RETURN_LEAST_S = 0.5
RETURN_MOST_S = 2.0


@final
@dataclass(frozen=True, slots=True)
class Wait:
    """Let the request wait until a time.

    :ivar until_s: when it is refused unless it was sent before.
    """

    until_s: float


@final
@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request at once.

    :ivar retry_after_s: when a try is likely to find room.
    """

    retry_after_s: float


@final
class WaitQueue:
    """Requests of one service that wait for room, fair between workspaces.

    :ivar queue: those that wait.
    """

    def __init__(self) -> None:
        self.queue = FairQueue()
        self.completions: deque[float] = deque(maxlen=RATE_SAMPLES)

    @property
    def size(self) -> int:
        """Requests that wait."""
        return self.queue.size

    def note_completion(self, now_s: float) -> None:
        """Note that a request of this entry left an upstream."""
        self.completions.append(now_s)

    def drain_per_s(self, now_s: float) -> float:
        """Return the completions a second of late."""
        recent = [
            at_s for at_s in self.completions if now_s - at_s < RATE_WINDOW_S
        ]
        if not recent:
            return 0.0
        return len(recent) / max(now_s - recent[0], 1 / len(recent))

    def expected_wait_s(self, now_s: float) -> float | None:
        """Return how long a new request would wait; ``None`` if unknown."""
        rate = self.drain_per_s(now_s)
        if not rate:
            return None
        return (self.size + 1) / rate

    def judge(
        self, objective_s: float, time_left_s: float, now_s: float
    ) -> Wait | Refuse:
        """Decide on a request for which no upstream has room.

        It waits only where room is likely to come within the part of its
        objective that may be spent on waiting.
        """
        patience_s = min(objective_s * PATIENCE_SHARE, time_left_s)
        expected_s = self.expected_wait_s(now_s)
        if patience_s <= 0 or (
            expected_s is not None and expected_s > patience_s * HOPE_SHARE
        ):
            return Refuse(self.return_s(now_s))
        return Wait(now_s + patience_s)

    def return_s(self, now_s: float) -> float:
        """Return when a refused caller is best to come back."""
        expected_s = self.expected_wait_s(now_s) or RETURN_LEAST_S
        return min(RETURN_MOST_S, max(RETURN_LEAST_S, expected_s))

    def push(self, arrival: Arrival) -> None:
        """Let a request wait."""
        self.queue.push(arrival)

    def drop(self, arrival: Arrival) -> None:
        """Take a request out that was sent, refused or given up."""
        self.queue.drop(arrival)
