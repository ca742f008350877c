"""Blocking, thread-safe admission for the threads that serve requests."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from queue import Empty, SimpleQueue
from threading import RLock
from typing import NamedTuple, final

from bramleylug.admission.admission import (
    Admission,
    Decision,
    Refuse,
    Start,
)
from bramleylug.admission.limiter import Limiter, Permit
from bramleylug.admission.queue import Arrival
from bramleylug.configuration.document import ServiceSpec
from bramleylug.outcomes import NotRun

HELD_THREAD_SHARE = 0.75
RECHECK_INTERVAL_S = 0.25


class LoadFigures(NamedTuple):
    """Load of the upstream, as reported with each reply."""

    running: int
    queued: int
    limit: int
    bytes_held: int


@final
@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that may be sent now.

    Its holder calls :meth:`AdmissionController.end` when it has ended.

    :ivar token: identifies the request.
    """

    token: int
    permit: Permit


@final
class AdmissionController:
    """Blocks threads until their requests are admitted; thread-safe.

    :param workers: threads that serve requests and chunks. Only a share of
        them may hold requests; the rest stays free for immediate refusals
        and for chunks.
    """

    def __init__(self, limiter: Limiter, workers: int) -> None:
        self.lock = RLock()
        self.limiter = limiter
        self.admission = Admission(
            limiter, max(1, int(workers * HELD_THREAD_SHARE))
        )
        self.tokens = count()
        self.waiting: dict[int, SimpleQueue[Decision]] = {}

    def next_token(self) -> int:
        return next(self.tokens)

    def admit(
        self, arrival: Arrival, spec: Callable[[], ServiceSpec]
    ) -> AdmittedRequest | NotRun:
        """Block until the request is admitted or refused.

        It is refused at its deadline at the latest. The limit is evaluated
        again at least every ``RECHECK_INTERVAL_S``, as it may have changed.

        :param spec: returns the current configuration of the service.
        """
        decisions: SimpleQueue[Decision] = SimpleQueue()
        with self.lock:
            self.waiting[arrival.token] = decisions
            now_s = time.monotonic()
            self._deliver(self.admission.arrive(arrival, spec(), now_s))
        while True:
            try:
                decision = decisions.get(timeout=RECHECK_INTERVAL_S)
            except Empty:
                self.refresh(spec())
                continue
            match decision:
                case Start(token, permit):
                    return AdmittedRequest(token, permit)
                case Refuse(refusal=refusal):
                    return refusal

    def end(
        self, admitted: AdmittedRequest, spec: ServiceSpec, *, success: bool
    ) -> None:
        with self.lock:
            now_s = time.monotonic()
            self._deliver(
                self.admission.end(admitted.token, spec, now_s, success=success)
            )

    def refresh(self, spec: ServiceSpec) -> None:
        """Apply passed deadlines and a changed limit."""
        with self.lock:
            self._deliver(self.admission.advance(spec, time.monotonic()))

    def cancel(self, token: int) -> None:
        """Remove a request whose caller has disconnected, if it still waits."""
        with self.lock:
            self._deliver(self.admission.cancel(token))

    def refuse_all(self, refusal: NotRun) -> None:
        with self.lock:
            self._deliver(self.admission.refuse_all(refusal))

    def is_idle(self) -> bool:
        """Return whether no request runs or waits."""
        with self.lock:
            return not self.admission.running and not self.admission.queue.size

    def load(self, spec: ServiceSpec | None) -> LoadFigures:
        with self.lock:
            limit = 0 if spec is None else self.limiter.limit(spec)
            return LoadFigures(
                len(self.admission.running),
                self.admission.queue.size,
                limit,
                self.admission.bytes_held,
            )

    def _deliver(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            self.waiting.pop(decision.token).put(decision)
