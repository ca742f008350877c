"""Decides which requests start, wait or are refused at one upstream."""

from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple, final

from bramleylug.admission.limiter import Limiter, Permit
from bramleylug.admission.queue import Arrival, FairQueue
from bramleylug.configuration.document import ServiceSpec
from bramleylug.outcomes import NotRun, Reason

MAX_WAIT_SHARE = 0.75
MIN_WAIT_S = 0.1
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
EWMA_WEIGHT = 0.1
RETRY_SPREAD_STEPS = 8


@final
@dataclass(frozen=True, slots=True)
class Start:
    """Send the request to the upstream now."""

    token: int
    permit: Permit


@final
@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the request with a refusal; nothing of it was sent."""

    token: int
    refusal: NotRun


Decision = Start | Refuse


class Running(NamedTuple):
    """A request that was sent to the upstream and has not ended."""

    arrival: Arrival
    permit: Permit
    started_s: float


@final
class Admission:
    """Bounds the running and the waiting requests of one upstream.

    The queueing time is bounded by a share of the service time, so that
    under overload admitted requests keep their latency and the rest is
    refused early. When the queue is full, a request of a workspace that
    holds fewer requests evicts one of the workspace that holds the most.

    :param max_held: running and waiting requests together; each one
        occupies a thread.
    :ivar held_by_workspace: running and waiting requests by workspace.
    :ivar service_s: smoothed time from start to end of a request.
    """

    def __init__(self, limiter: Limiter, max_held: int) -> None:
        self.limiter = limiter
        self.max_held = max_held
        self.queue = FairQueue()
        self.running: dict[int, Running] = {}
        self.held_by_workspace: Counter[str] = Counter()
        self.running_bytes = 0
        self.service_s = 0.0

    @property
    def bytes_held(self) -> int:
        """Total body size of the running and the waiting requests."""
        return self.running_bytes + self.queue.body_bytes

    def arrive(
        self, arrival: Arrival, spec: ServiceSpec, now_s: float
    ) -> list[Decision]:
        """Start, queue or refuse a new request."""
        decisions = self.advance(spec, now_s)
        refusal = self._refuse_unservable(arrival, spec, now_s)
        while refusal is None and self._queue_is_full(arrival, spec):
            evicted = self._find_evictable(arrival)
            if evicted is None:
                refusal = self._overloaded_refusal(arrival, spec)
            else:
                eviction = self._overloaded_refusal(evicted, spec)
                decisions.append(self._refuse(evicted, eviction))
        if refusal is not None:
            return [*decisions, Refuse(arrival.token, refusal)]
        self.queue.push(arrival)
        self.held_by_workspace[arrival.workspace] += 1
        return decisions + self.advance(spec, now_s)

    def end(
        self, token: int, spec: ServiceSpec, now_s: float, *, success: bool
    ) -> list[Decision]:
        """Release the permit of a started request that has ended."""
        ended = self.running.pop(token)
        self.running_bytes -= ended.arrival.body_bytes
        self._release_held(ended.arrival)
        self.limiter.release(ended.permit, success=success)
        if success:
            took_s = now_s - ended.started_s
            self.service_s = self.service_s or took_s
            self.service_s += EWMA_WEIGHT * (took_s - self.service_s)
        return self.advance(spec, now_s)

    def advance(self, spec: ServiceSpec, now_s: float) -> list[Decision]:
        """Start requests up to the limit; refuse those past their deadline.

        A request that has to run exclusively waits until nothing else runs,
        and holds back the requests behind it until then.
        """
        decisions = self.expire(now_s)
        while self._may_start(spec):
            exclusive = self.queue.find_exclusive()
            if exclusive is None:
                decisions.append(self._start(self.queue.pop(), now_s))
            elif self.limiter.running_on_current_boot:
                break
            else:
                self.queue.drop(exclusive)
                decisions.append(self._start(exclusive, now_s))
        return decisions

    def expire(self, now_s: float) -> list[Decision]:
        """Refuse waiting requests whose deadline has passed."""
        refusal = NotRun(
            Reason.deadline, 'deadline passed while the request was queued'
        )
        return [
            self._refuse(arrival, refusal)
            for arrival in self.queue.waiting()
            if arrival.deadline_s <= now_s
        ]

    def refuse_all(self, refusal: NotRun) -> list[Decision]:
        waiting = self.queue.waiting()
        return [self._refuse(arrival, refusal) for arrival in waiting]

    def cancel(self, token: int) -> list[Decision]:
        """Remove a waiting request whose caller has disconnected."""
        refusal = NotRun(Reason.deadline, 'caller disconnected')
        return [
            self._refuse(arrival, refusal)
            for arrival in self.queue.waiting()
            if arrival.token == token
        ]

    def wait_s(self, spec: ServiceSpec) -> float:
        """Return the expected queueing time of a new request."""
        limit = self.limiter.limit(spec)
        if not self.queue.size and self.limiter.has_capacity(spec):
            return 0
        return (self.queue.size + 1) * self.service_s / limit

    def _refuse_unservable(
        self, arrival: Arrival, spec: ServiceSpec, now_s: float
    ) -> NotRun | None:
        if arrival.body_bytes > spec.queue_bytes:
            return NotRun(
                Reason.too_large,
                'request body is larger than queue_bytes of the service',
            )
        ends_s = now_s + self.wait_s(spec) + self.service_s
        if self.limiter.running_on_current_boot and ends_s > arrival.deadline_s:
            return self._overloaded_refusal(arrival, spec)
        return None

    def _queue_is_full(self, arrival: Arrival, spec: ServiceSpec) -> bool:
        if self.bytes_held + arrival.body_bytes > spec.queue_bytes:
            return True
        held = len(self.running) + self.queue.size
        if held >= self.max_held:
            return True
        if self._may_start(spec) or not self.queue.size:
            return False
        return self.queue.size >= self._max_queued(spec)

    def _max_queued(self, spec: ServiceSpec) -> int:
        limit = self.limiter.limit(spec)
        if not self.service_s:
            return limit
        wait_s = max(MIN_WAIT_S, MAX_WAIT_SHARE * self.service_s)
        return max(1, int(wait_s * limit / self.service_s))

    def _find_evictable(self, arrival: Arrival) -> Arrival | None:
        """Return a waiting request to evict in favour of the arrival.

        Only a workspace that would still hold at least as many requests as
        the workspace of the arrival loses one.
        """
        largest = max(
            self.queue.heaps,
            key=lambda workspace: self.held_by_workspace[workspace],
            default=None,
        )
        if largest is None:
            return None
        if (
            self.held_by_workspace[largest]
            <= self.held_by_workspace[arrival.workspace] + 1
        ):
            return None
        return self.queue.find_last(largest)

    def _overloaded_refusal(
        self, arrival: Arrival, spec: ServiceSpec
    ) -> NotRun:
        """Return a refusal with the expected time until the queue drains.

        The retry time is spread by the token, so that callers refused at the
        same time do not all retry at the same time.
        """
        spread = 1 + arrival.token % RETRY_SPREAD_STEPS / RETRY_SPREAD_STEPS
        retry_s = (self.wait_s(spec) + self.service_s) * spread
        return NotRun(
            Reason.overloaded,
            'upstream and its queue are full',
            min(max(retry_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S),
        )

    def _may_start(self, spec: ServiceSpec) -> bool:
        exclusive = any(
            started.arrival.exclusive
            and started.permit.boot_id == self.limiter.boot_id
            for started in self.running.values()
        )
        return bool(
            self.queue.size
            and self.limiter.has_capacity(spec)
            and not exclusive
        )

    def _start(self, arrival: Arrival, now_s: float) -> Start:
        permit = self.limiter.acquire()
        self.running[arrival.token] = Running(arrival, permit, now_s)
        self.running_bytes += arrival.body_bytes
        return Start(arrival.token, permit)

    def _refuse(self, arrival: Arrival, refusal: NotRun) -> Refuse:
        self.queue.drop(arrival)
        self._release_held(arrival)
        return Refuse(arrival.token, refusal)

    def _release_held(self, arrival: Arrival) -> None:
        self.held_by_workspace[arrival.workspace] -= 1
        if not self.held_by_workspace[arrival.workspace]:
            del self.held_by_workspace[arrival.workspace]
