"""How many requests an upstream is given at once."""

from collections import Counter, deque
from dataclasses import dataclass
from threading import RLock
from typing import final

from bramleylug.admission.adaptation import Adaptation
from bramleylug.configuration.document import ServiceSpec
from bramleylug.outcomes import NotRun, Reason

RETRY_SOON_S = 0.5
PAST_BOOTS = 16


@final
@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be sent to the upstream now."""

    boot_id: str


@final
class Limiter:
    """Concurrency limit that ramps from cold and resets with the boot id.

    Requests of an older boot hold no room in the new one. Safe to use from
    any thread.

    :ivar successes: whole answers since the upstream's start.
    :ivar boots: requests at the upstream by the boot they were sent to.
    """

    def __init__(self) -> None:
        self.lock = RLock()
        self.boot_id = ''
        self.successes = 0
        self.boots: Counter[str] = Counter()
        self.past_boots: deque[str] = deque(maxlen=PAST_BOOTS)
        self.adaptation = Adaptation()

    @property
    def running(self) -> int:
        """Requests that have not ended, of every boot."""
        with self.lock:
            return self.boots.total()

    @property
    def running_here(self) -> int:
        """Requests that have not ended, of the upstream's current boot."""
        return self.boots[self.boot_id]

    def limit(self, spec: ServiceSpec) -> int:
        """Return the requests the upstream is given at once now."""
        share = 1.0
        if self.successes < spec.ramp_successes:
            share = self.successes / spec.ramp_successes
        span = spec.concurrency - spec.cold_concurrency
        ramped = spec.cold_concurrency + int(span * share)
        return max(1, min(ramped, self.adaptation.ceiling(spec)))

    def observe_boot(self, boot_id: str) -> bool:
        """Start over as cold when the upstream restarted.

        A boot that was left behind is not taken up again: its late answers
        and reports say nothing of the upstream as it is now.

        :returns: whether requests were running when it restarted.
        """
        with self.lock:
            if boot_id in {'', self.boot_id} or boot_id in self.past_boots:
                return False
            died = self.running_here > 0 and bool(self.boot_id)
            self.past_boots.append(self.boot_id)
            self.boot_id = boot_id
            self.successes = 0
            if died:
                self.adaptation.crashed()
            return died

    def has_room(self, spec: ServiceSpec) -> bool:
        """Tell whether one more request may be sent."""
        return self.running_here < self.limit(spec)

    def admit(self, spec: ServiceSpec) -> Admitted | NotRun:
        """Admit a request or refuse it at once."""
        with self.lock:
            if not self.has_room(spec):
                return NotRun(
                    Reason.overloaded, 'upstream is full', RETRY_SOON_S
                )
            return self.take()

    def take(self) -> Admitted:
        """Hand out a permit whatever the limit is."""
        with self.lock:
            self.boots[self.boot_id] += 1
            return Admitted(self.boot_id)

    def release(self, permit: Admitted, *, success: bool) -> None:
        """Give back a permit once the request has ended."""
        with self.lock:
            self.boots[permit.boot_id] -= 1
            if not self.boots[permit.boot_id]:
                del self.boots[permit.boot_id]
            if success and permit.boot_id == self.boot_id:
                self.successes += 1
                self.adaptation.succeeded()
