"""Who is sent to the upstream, who waits and who is refused."""

from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple, final

from bramleylug.admission.limiter import Admitted, Limiter
from bramleylug.admission.queue import Arrival, FairQueue
from bramleylug.configuration.document import ServiceSpec
from bramleylug.outcomes import NotRun, Reason

WAIT_SHARE = 0.75
LEAST_WAIT_S = 0.1
LEAST_RETRY_S = 0.1
MOST_RETRY_S = 30.0
SMOOTHING = 0.1
RETRY_STEPS = 8


@final
@dataclass(frozen=True, slots=True)
class Start:
    """Send the request to the upstream now."""

    token: int
    permit: Admitted


@final
@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the request; nothing of it was sent."""

    token: int
    refusal: NotRun


Decision = Start | Refuse


class Running(NamedTuple):
    """A request at the upstream."""

    arrival: Arrival
    permit: Admitted
    started_s: float


@final
class Admission:
    """Bounds what one upstream is given and what waits for it.

    The wait is bounded by a share of the time a request takes, so that
    under overload what is admitted keeps its latency and the rest is
    refused early. A full queue makes room for a workspace that holds less
    than the one that holds most.

    :param most_held: requests that may run or wait, bounded by the threads.
    :ivar held: requests that run or wait, by workspace.
    :ivar service_s: smoothed time from start to end of a request.
    """

    def __init__(self, limiter: Limiter, most_held: int) -> None:
        self.limiter = limiter
        self.most_held = most_held
        self.queue = FairQueue()
        self.running: dict[int, Running] = {}
        self.held: Counter[str] = Counter()
        self.running_bytes = 0
        self.service_s = 0.0

    @property
    def bytes_held(self) -> int:
        """Bytes of the requests that run or wait."""
        return self.running_bytes + self.queue.body_bytes

    def arrive(
        self, arrival: Arrival, spec: ServiceSpec, now_s: float
    ) -> list[Decision]:
        """Decide on a request that has just come."""
        decisions = self.advance(spec, now_s)
        refusal = self._hopeless(arrival, spec, now_s)
        while refusal is None and self._is_full(arrival, spec):
            evicted = self._evictable(arrival)
            if evicted is None:
                refusal = self._overloaded(arrival, spec)
            else:
                late = self._overloaded(evicted, spec)
                decisions.append(self._refuse(evicted, late))
        if refusal is not None:
            return [*decisions, Refuse(arrival.token, refusal)]
        self.queue.push(arrival)
        self.held[arrival.workspace] += 1
        return decisions + self.advance(spec, now_s)

    def end(
        self, token: int, spec: ServiceSpec, now_s: float, *, success: bool
    ) -> list[Decision]:
        """Note that a started request has ended."""
        ended = self.running.pop(token)
        self.running_bytes -= ended.arrival.body_bytes
        self._let_go(ended.arrival)
        self.limiter.release(ended.permit, success=success)
        if success:
            took_s = now_s - ended.started_s
            self.service_s = self.service_s or took_s
            self.service_s += SMOOTHING * (took_s - self.service_s)
        return self.advance(spec, now_s)

    def advance(self, spec: ServiceSpec, now_s: float) -> list[Decision]:
        """Start what there is room for; refuse what cannot make it."""
        decisions = self.expire(now_s)
        while self._may_start(spec):
            lone = self.queue.find_alone()
            if lone is None:
                decisions.append(self._start(self.queue.pop(), now_s))
            elif self.limiter.running_here:
                break
            else:
                self.queue.drop(lone)
                decisions.append(self._start(lone, now_s))
        return decisions

    def expire(self, now_s: float) -> list[Decision]:
        """Refuse what would no longer end in time."""
        refusal = NotRun(Reason.deadline, 'waited until its deadline')
        return [
            self._refuse(arrival, refusal)
            for arrival in self.queue.waiting()
            if arrival.deadline_s <= now_s
        ]

    def refuse_all(self, refusal: NotRun) -> list[Decision]:
        """Refuse everything that waits."""
        waiting = self.queue.waiting()
        return [self._refuse(arrival, refusal) for arrival in waiting]

    def cancel(self, token: int) -> list[Decision]:
        """Drop a waiting request whose caller has gone."""
        refusal = NotRun(Reason.deadline, 'its caller has gone')
        return [
            self._refuse(arrival, refusal)
            for arrival in self.queue.waiting()
            if arrival.token == token
        ]

    def wait_s(self, spec: ServiceSpec) -> float:
        """Return about how long a request waits that comes now."""
        limit = self.limiter.limit(spec)
        if not self.queue.size and self.limiter.has_room(spec):
            return 0
        return (self.queue.size + 1) * self.service_s / limit

    def _hopeless(
        self, arrival: Arrival, spec: ServiceSpec, now_s: float
    ) -> NotRun | None:
        if arrival.body_bytes > spec.queue_bytes:
            return NotRun(Reason.too_large, 'larger than the upstream bears')
        ends_s = now_s + self.wait_s(spec) + self.service_s
        if self.limiter.running_here and ends_s > arrival.deadline_s:
            return self._overloaded(arrival, spec)
        return None

    def _is_full(self, arrival: Arrival, spec: ServiceSpec) -> bool:
        if self.bytes_held + arrival.body_bytes > spec.queue_bytes:
            return True
        held = len(self.running) + self.queue.size
        if held >= self.most_held:
            return True
        if self._may_start(spec) or not self.queue.size:
            return False
        return self.queue.size >= self._most_queued(spec)

    def _most_queued(self, spec: ServiceSpec) -> int:
        limit = self.limiter.limit(spec)
        if not self.service_s:
            return limit
        wait_s = max(LEAST_WAIT_S, WAIT_SHARE * self.service_s)
        return max(1, int(wait_s * limit / self.service_s))

    def _evictable(self, arrival: Arrival) -> Arrival | None:
        """Return what makes room for a workspace that holds less."""
        heaviest = max(
            self.queue.heaps,
            key=lambda workspace: self.held[workspace],
            default=None,
        )
        if heaviest is None:
            return None
        if self.held[heaviest] <= self.held[arrival.workspace] + 1:
            return None
        return self.queue.last_of(heaviest)

    def _overloaded(self, arrival: Arrival, spec: ServiceSpec) -> NotRun:
        """Refuse with the time until the queue has moved on.

        The times are spread by the token, so that callers who were refused
        together do not come back together.
        """
        spread = 1 + arrival.token % RETRY_STEPS / RETRY_STEPS
        retry_s = (self.wait_s(spec) + self.service_s) * spread
        return NotRun(
            Reason.overloaded,
            'upstream and queue are full',
            min(max(retry_s, LEAST_RETRY_S), MOST_RETRY_S),
        )

    def _may_start(self, spec: ServiceSpec) -> bool:
        alone = any(
            one.arrival.alone and one.permit.boot_id == self.limiter.boot_id
            for one in self.running.values()
        )
        return bool(
            self.queue.size and self.limiter.has_room(spec) and not alone
        )

    def _start(self, arrival: Arrival, now_s: float) -> Start:
        permit = self.limiter.take()
        self.running[arrival.token] = Running(arrival, permit, now_s)
        self.running_bytes += arrival.body_bytes
        return Start(arrival.token, permit)

    def _refuse(self, arrival: Arrival, refusal: NotRun) -> Refuse:
        self.queue.drop(arrival)
        self._let_go(arrival)
        return Refuse(arrival.token, refusal)

    def _let_go(self, arrival: Arrival) -> None:
        self.held[arrival.workspace] -= 1
        if not self.held[arrival.workspace]:
            del self.held[arrival.workspace]
