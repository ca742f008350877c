"""Admission of requests to the wait queue of a service at one relay.

Decides whether a request waits for a free slot and until when, or is refused.
"""

from collections import deque
from dataclasses import dataclass
from typing import final

from bramleylug.admission.queue import Arrival, FairQueue

# Share of its objective that a request may spend in the queue. The rest is
# needed by the upstream to process the prompt and send the first event.
WAIT_SHARE = 0.6
# A request is queued only if its expected wait is at most this share of the
# time that it may wait: the rate at which slots are freed varies.
EXPECTED_WAIT_SHARE = 0.8
# Completions that the completion rate is computed from, and their maximum
# age.
RATE_SAMPLES = 64
RATE_WINDOW_S = 3.0
# Bounds of the retry delay of refused callers. The delay is about the time in
# which a full queue empties, but no longer than callers wait: those of the
# platform retry once and wait at most a third of the time they have left.
MIN_RETRY_S = 0.5
MAX_RETRY_S = 2.0


@final
@dataclass(frozen=True, slots=True)
class Wait:
    """The request waits in the queue.

    :ivar until_s: when it is refused if it has not been sent.
    """

    until_s: float


@final
@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused immediately.

    :ivar retry_after_s: time after which a retry is likely to succeed.
    """

    retry_after_s: float


@final
class WaitQueue:
    """Waiting requests of one service, fair between workspaces.

    :ivar queue: the waiting requests.
    :ivar completions: times at which requests of this relay ended.
    """

    def __init__(self) -> None:
        self.queue = FairQueue()
        self.completions: deque[float] = deque(maxlen=RATE_SAMPLES)

    @property
    def size(self) -> int:
        """Number of waiting requests."""
        return self.queue.size

    def record_completion(self, now_s: float) -> None:
        """Record that a request of this relay left an upstream."""
        self.completions.append(now_s)

    def completions_per_s(self, now_s: float) -> float:
        """Return the recent completion rate; 0 without completions."""
        recent = [
            at_s for at_s in self.completions if now_s - at_s < RATE_WINDOW_S
        ]
        if not recent:
            return 0.0
        return len(recent) / max(now_s - recent[0], 1 / len(recent))

    def expected_wait_s(self, now_s: float) -> float | None:
        """Return how long a new request would wait; ``None`` if unknown."""
        rate = self.completions_per_s(now_s)
        if not rate:
            return None
        return (self.size + 1) / rate

    def decide(
        self,
        objective_s: float,
        time_left_s: float,
        now_s: float,
        closed_until_s: float = 0,
        *,
        awaits_permit: bool = False,
    ) -> Wait | Refuse:
        """Decide whether a request that finds no free slot waits.

        It waits only if a slot is likely to be freed within the part of its
        objective that it may spend in the queue.

        :param closed_until_s: when the first upstream takes requests again.
        :param awaits_permit: whether it only needs a permit, which comes at
            another rate than slots are freed; the first one that waits learns
            when.
        """
        max_wait_s = min(objective_s * WAIT_SHARE, time_left_s)
        if closed_until_s - now_s > max_wait_s:
            return Refuse(min(MAX_RETRY_S, closed_until_s - now_s))
        expected_s = self.expected_wait_s(now_s)
        if awaits_permit and not self.size:
            expected_s = None
        if max_wait_s <= 0 or (
            expected_s is not None
            and expected_s > max_wait_s * EXPECTED_WAIT_SHARE
        ):
            return Refuse(self.retry_after_s(now_s))
        return Wait(now_s + max_wait_s)

    def retry_after_s(self, now_s: float) -> float:
        """Return the time after which a refused caller should retry."""
        expected_s = self.expected_wait_s(now_s) or MIN_RETRY_S
        return min(MAX_RETRY_S, max(MIN_RETRY_S, expected_s))

    def push(self, arrival: Arrival) -> None:
        """Add a request to the queue."""
        self.queue.push(arrival)

    def drop(self, arrival: Arrival) -> None:
        """Remove a request that was sent, refused or abandoned."""
        self.queue.drop(arrival)
