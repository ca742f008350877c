"""Admission for the threads that serve requests."""

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
from bramleylug.admission.limiter import Admitted, Limiter
from bramleylug.admission.queue import Arrival
from bramleylug.configuration.document import ServiceSpec
from bramleylug.outcomes import NotRun

HELD_SHARE = 0.75
RECHECK_S = 0.25


class LoadFigures(NamedTuple):
    """How busy the upstream is."""

    running: int
    queued: int
    limit: int
    bytes_held: int


@final
@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """The request may be sent now; its holder ends it.

    :ivar token: names the request to :meth:`AdmissionController.end`.
    """

    token: int
    permit: Admitted


@final
class AdmissionController:
    """Lets threads wait for their turn; safe to use from any thread.

    :param workers: threads that serve requests and chunks; a share of them
        is left to what is refused at once and to chunks.
    """

    def __init__(self, limiter: Limiter, workers: int) -> None:
        self.lock = RLock()
        self.limiter = limiter
        self.admission = Admission(limiter, max(1, int(workers * HELD_SHARE)))
        self.tokens = count()
        self.waiting: dict[int, SimpleQueue[Decision]] = {}

    def next_token(self) -> int:
        """Return a token for a request."""
        return next(self.tokens)

    def admit(
        self, arrival: Arrival, spec: Callable[[], ServiceSpec]
    ) -> AdmittedRequest | NotRun:
        """Wait for a turn, at most until the request's deadline.

        :param spec: returns the service as it is configured now.
        """
        turn: SimpleQueue[Decision] = SimpleQueue()
        with self.lock:
            self.waiting[arrival.token] = turn
            now_s = time.monotonic()
            self._act(self.admission.arrive(arrival, spec(), now_s))
        while True:
            try:
                decision = turn.get(timeout=RECHECK_S)
            except Empty:
                self.refresh(spec())
                continue
            match decision:
                case Start(token, permit):
                    return AdmittedRequest(token, permit)
                case Refuse(refusal=refusal):
                    return refusal

    def end(
        self, held: AdmittedRequest, spec: ServiceSpec, *, success: bool
    ) -> None:
        """Note that a request has ended."""
        with self.lock:
            now_s = time.monotonic()
            self._act(
                self.admission.end(held.token, spec, now_s, success=success)
            )

    def refresh(self, spec: ServiceSpec) -> None:
        """Do what the time or a changed limit made due."""
        with self.lock:
            self._act(self.admission.advance(spec, time.monotonic()))

    def cancel(self, token: int) -> None:
        """Drop a request whose caller has gone, if it still waits."""
        with self.lock:
            self._act(self.admission.cancel(token))

    def refuse_all(self, refusal: NotRun) -> None:
        """Refuse everything that waits."""
        with self.lock:
            self._act(self.admission.refuse_all(refusal))

    def is_idle(self) -> bool:
        """Tell whether nothing runs or waits."""
        with self.lock:
            return not self.admission.running and not self.admission.queue.size

    def load(self, spec: ServiceSpec | None) -> LoadFigures:
        """Return how busy the upstream is."""
        with self.lock:
            limit = 0 if spec is None else self.limiter.limit(spec)
            return LoadFigures(
                len(self.admission.running),
                self.admission.queue.size,
                limit,
                self.admission.bytes_held,
            )

    def _act(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            self.waiting.pop(decision.token).put(decision)
