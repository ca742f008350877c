"""Concurrency limit of one upstream."""

from collections import Counter, deque
from dataclasses import dataclass
from threading import RLock
from typing import final

from bramleylug.admission.adaptation import Adaptation
from bramleylug.configuration.document import ServiceSpec
from bramleylug.outcomes import NotRun, Reason

RETRY_AFTER_S = 0.5
MAX_PAST_BOOTS = 16


@final
@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to run one request; released when the request ends."""

    boot_id: str


@final
class Limiter:
    """Concurrency limit that ramps up after each restart of the upstream.

    A restart is recognised by a changed boot id. Requests sent to an earlier
    boot do not count against the limit of the current one. Safe to use from
    any thread.

    :ivar successes: complete answers since the upstream's restart.
    :ivar running_by_boot: running requests by the boot they were sent to.
    :ivar past_boots: boot ids of earlier processes of the upstream.
    """

    def __init__(self) -> None:
        self.lock = RLock()
        self.boot_id = ''
        self.successes = 0
        self.running_by_boot: Counter[str] = Counter()
        self.past_boots: deque[str] = deque(maxlen=MAX_PAST_BOOTS)
        self.adaptation = Adaptation()

    @property
    def running(self) -> int:
        """Running requests, those sent to earlier boots included."""
        with self.lock:
            return self.running_by_boot.total()

    @property
    def running_on_current_boot(self) -> int:
        """Running requests that were sent to the current boot."""
        return self.running_by_boot[self.boot_id]

    def limit(self, spec: ServiceSpec) -> int:
        """Return the current concurrency limit, at least 1."""
        share = 1.0
        if self.successes < spec.ramp_successes:
            share = self.successes / spec.ramp_successes
        span = spec.concurrency - spec.cold_concurrency
        ramped = spec.cold_concurrency + int(span * share)
        return max(1, min(ramped, self.adaptation.max_concurrency(spec)))

    def observe_boot(self, boot_id: str) -> bool:
        """Reset the ramp-up when the boot id shows a restart.

        The id of an earlier boot is ignored: late answers and reports of an
        earlier process say nothing about the current one.

        :returns: whether requests were running when the upstream restarted.
        """
        with self.lock:
            if boot_id in {'', self.boot_id} or boot_id in self.past_boots:
                return False
            crashed = self.running_on_current_boot > 0 and bool(self.boot_id)
            self.past_boots.append(self.boot_id)
            self.boot_id = boot_id
            self.successes = 0
            if crashed:
                self.adaptation.record_crash()
            return crashed

    def has_capacity(self, spec: ServiceSpec) -> bool:
        return self.running_on_current_boot < self.limit(spec)

    def try_acquire(self, spec: ServiceSpec) -> Permit | NotRun:
        """Return a permit, or a refusal when the limit is reached."""
        with self.lock:
            if not self.has_capacity(spec):
                return NotRun(
                    Reason.overloaded,
                    'upstream is at its concurrency limit',
                    RETRY_AFTER_S,
                )
            return self.acquire()

    def acquire(self) -> Permit:
        """Return a permit without checking the limit."""
        with self.lock:
            self.running_by_boot[self.boot_id] += 1
            return Permit(self.boot_id)

    def release(self, permit: Permit, *, success: bool) -> None:
        """Release the permit of a request that has ended."""
        with self.lock:
            self.running_by_boot[permit.boot_id] -= 1
            if not self.running_by_boot[permit.boot_id]:
                del self.running_by_boot[permit.boot_id]
            if success and permit.boot_id == self.boot_id:
                self.successes += 1
                self.adaptation.record_success()
