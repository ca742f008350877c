"""How many requests an upstream is given at once."""

from dataclasses import dataclass
from threading import Lock
from typing import final

from bramleylug.configuration.document import ServiceSpec
from bramleylug.outcomes import NotRun, Reason

RETRY_SOON_S = 0.5


@final
@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be sent to the upstream now."""

    boot_id: str


@final
class Limiter:
    """Concurrency limit that ramps from cold and resets with the boot id.

    Safe to use from any thread.

    :ivar running: requests at the upstream.
    :ivar successes: whole answers since the upstream's start.
    """

    def __init__(self) -> None:
        self.lock = Lock()
        self.boot_id = ''
        self.running = 0
        self.successes = 0

    def limit(self, spec: ServiceSpec) -> int:
        """Return the requests the upstream is given at once now."""
        share = min(1, self.successes / max(1, spec.ramp_successes))
        span = spec.concurrency - spec.cold_concurrency
        return spec.cold_concurrency + int(span * share)

    def observe_boot(self, boot_id: str) -> None:
        """Start over as cold when the upstream restarted."""
        with self.lock:
            if boot_id != self.boot_id:
                self.boot_id = boot_id
                self.successes = 0

    def admit(self, spec: ServiceSpec) -> Admitted | NotRun:
        """Admit a request or refuse it at once."""
        with self.lock:
            if self.running >= self.limit(spec):
                return NotRun(
                    Reason.overloaded, 'upstream is full', RETRY_SOON_S
                )
            self.running += 1
            return Admitted(self.boot_id)

    def release(self, permit: Admitted, *, success: bool) -> None:
        """Give back a permit once the request has ended."""
        with self.lock:
            self.running -= 1
            if success and permit.boot_id == self.boot_id:
                self.successes += 1
