"""What a relay knows and keeps about the requests for one service."""

from dataclasses import dataclass, field
from math import isfinite
from typing import final

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.upstreams import Upstream
from bramleylug.observability.metrics import (
    LEVEL_DECISIONS,
    LEVEL_FREE,
    LEVEL_RESERVE,
    PLACED,
    WAITING,
    count,
)
from bramleylug.outcomes import NotRun, Reason
from bramleylug.relay.request_context import RequestContext
from bramleylug.relay.usable_upstreams import responsive_upstreams, usable
from bramleylug.scheduling.placing import (
    AtCapacity,
    Selected,
    Selection,
    closed_until_s,
    sendable_at_once,
)
from bramleylug.scheduling.demand import DemandMeter
from bramleylug.scheduling.levels import FleetLoad, LevelGate, Prospect
from bramleylug.scheduling.move_queue import MoveQueue
from bramleylug.scheduling.refusing import (
    Refused,
    ReturnTimes,
    plain_retry_s,
)
from bramleylug.scheduling.waiting import (
    NOT_CLOSED_S,
    CompletionRate,
    Limits,
    Refuse,
    UpstreamTimes,
    Wait,
    WaitingLine,
    Waiting,
    decide,
)

# How often the load of the fleet is added up.
OBSERVE_INTERVAL_S = 0.05


@final
@dataclass(slots=True)
class ServiceQueue:
    """Waiting requests of one service, and what decisions on them need.

    :ivar line: requests that wait for a slot.
    :ivar moves: requests that wait to leave a silent upstream.
    :ivar gate: room for the urgent; only used if requests differ in urgency.
    :ivar times: by route, how long requests take at their upstreams.
    :ivar hold: how long they take on average over the routes.
    """

    service: str
    view: ClusterView
    demand: DemandMeter
    returns: ReturnTimes
    line: WaitingLine = field(default_factory=WaitingLine)
    moves: MoveQueue = field(default_factory=MoveQueue)
    gate: LevelGate = field(default_factory=LevelGate)
    completions: CompletionRate = field(default_factory=CompletionRate)
    times: dict[str, UpstreamTimes] = field(default_factory=dict)
    hold: UpstreamTimes = field(default_factory=UpstreamTimes)

    @property
    def has_levels(self) -> bool:
        """Whether the requests differ in urgency."""
        table = self.view.table
        if table is None:
            return False
        return len(table.urgencies.get(self.service, ())) > 1

    @property
    def is_empty(self) -> bool:
        """Whether no request waits."""
        return not (self.line.size or self.moves.size)

    def admits(self, urgency: int, now_s: float) -> bool:
        """Return whether a level may use a free slot now."""
        if not self.has_levels:
            return True
        self._observe(now_s)
        return self.gate.admits(urgency)

    def push(self, waiting: Waiting) -> None:
        """Let a request wait."""
        self.line.push(waiting)
        WAITING.set({'service': self.service}, self.line.size)

    def drop(self, waiting: Waiting) -> None:
        """Remove a request that does not wait any longer."""
        self.line.drop(waiting.token)
        WAITING.set({'service': self.service}, self.line.size)

    def pop(self, now_s: float) -> Waiting | None:
        """Return the request that gets the next slot, if any may use it."""
        if not self.has_levels:
            return self.line.pop(now_s, _admit_any, self.rank)
        self._observe(now_s)
        return self.line.pop(now_s, self.gate.admits, self.rank)

    def rank(self, urgency: int) -> tuple[bool, int]:
        """Return the place of a level among those that wait."""
        return self.gate.rank(urgency) if self.has_levels else (False, 0)

    def limits(self, context: RequestContext, now_s: float) -> Limits:
        """Return when a request must get a slot.

        One that an upstream has turned away or left unfinished counts from
        now. A stream that has begun does not wait longer than for that: its
        caller leaves soon.
        """
        times = UpstreamTimes()
        if self._reserves(now_s):
            times = self.times.get(context.route.name, times)
        is_new = not (context.tried or context.writer.started)
        since_s = context.arrived_s if is_new else now_s
        limits = times.limits(
            since_s, context.route.objective_s, context.until_s
        )
        if context.writer.started:
            return limits._replace(whole_s=limits.in_time_s)
        return limits

    def prospect(
        self, context: RequestContext, now_s: float
    ) -> Prospect | None:
        """Return how soon a request would get a slot; ``None`` if unknown."""
        urgency = context.level.urgency
        if self._reserves(now_s):
            prospect = self.gate.prospect(urgency, self.hold.run_s)
        else:
            per_s = self.completions.per_s(now_s)
            if not per_s:
                return None
            # What is left over at other relays is not known here.
            prospect = Prospect(self.line.size, per_s, 0)
        if context.returned:
            ahead = sum(
                one.urgency < urgency or one.returned
                for one in self.line.entries.values()
            )
            return prospect._replace(ahead=min(prospect.ahead, ahead))
        return prospect

    def decide(
        self, context: RequestContext, found: AtCapacity, now_s: float
    ) -> Wait | Refuse:
        """Decide whether a request that finds no room waits."""
        prospect = self.prospect(context, now_s)
        if prospect is not None and isfinite(prospect.wait_s):
            context.expected_wait_s = prospect.wait_s
        if found.without_permit and not self.line.size:
            # Permits come at another rate than slots are freed.
            prospect = None
        limits = self.limits(context, now_s)
        return decide(limits, prospect, now_s, found.closed_until_s)

    def leave_reserve(
        self, urgency: int, found: Selection | NotRun | None, now_s: float
    ) -> Selection | NotRun | None:
        """Return what is left of a selection for a level."""
        if isinstance(found, Selected) and not self.admits(urgency, now_s):
            return AtCapacity(0)
        return found

    def refuse(
        self,
        context: RequestContext,
        now_s: float,
        closed_until_s: float = NOT_CLOSED_S,
    ) -> NotRun:
        """Return the refusal of a request, with the time to return."""
        _count_decision(context, 'refused')
        return NotRun(
            Reason.overloaded,
            'no upstream has a free slot in time',
            self._retry_after_s(context, now_s, closed_until_s),
        )

    def free_slots(self, now_s: float) -> int:
        """Return how many waiting requests may be sent at once."""
        relays = self.view.peers.relay_count()
        return sum(
            sendable_at_once(upstream, relays, now_s)
            for upstream in responsive_upstreams(self.view, self.service, now_s)
            if now_s >= closed_until_s(upstream, now_s)
        )

    def record_sent(self, context: RequestContext, upstream: Upstream) -> None:
        """Record that a request is sent to an upstream."""
        if context.estimate is not None:
            is_first = upstream.record.upstream_id in self.view.work.preferred
            count(
                PLACED,
                service=self.service,
                place='first' if is_first else 'other',
            )
        _count_decision(context, 'waited' if context.waited_s else 'sent')
        if self.has_levels:
            self.gate.record_sent(context.level.urgency)

    def record_ended(self, now_s: float) -> None:
        """Record that a request left an upstream."""
        self.completions.record(now_s)
        if self.has_levels:
            self.gate.record_ended()

    def record_times(self, context: RequestContext, took_s: float) -> None:
        """Record how long a request took that was answered whole."""
        first_s = context.progress.first_s
        if first_s is None or len(context.tried) != 1:
            return
        started_s = context.arrived_s + context.waited_s
        run_s = took_s - context.waited_s
        for times in (
            self.hold,
            self.times.setdefault(context.route.name, UpstreamTimes()),
        ):
            times.record(first_s - started_s, run_s)

    def _retry_after_s(
        self, context: RequestContext, now_s: float, closed_until_s: float
    ) -> float:
        prospect = self.prospect(context, now_s)
        if not self._reserves(now_s):
            return plain_retry_s(prospect, now_s, closed_until_s)
        refused = Refused(
            context.accepted.fingerprint,
            context.level.urgency,
            context.until_s - now_s,
        )
        return self.returns.retry_after_s(
            refused, _part_of(prospect, self.gate.relays), now_s, closed_until_s
        )

    def _reserves(self, now_s: float) -> bool:
        """Return whether levels leave slots to more urgent ones now."""
        if not (self.has_levels and self.hold.run_s):
            return False
        self._observe(now_s)
        loads = self.gate.loads
        return bool(loads) and self.gate.reserve(max(loads)) >= 1

    def _observe(self, now_s: float) -> None:
        if now_s - self.gate.observed_s < OBSERVE_INTERVAL_S:
            return
        self.gate.observe(self._fleet_load(now_s), now_s)
        for urgency in self.gate.loads:
            labels = {'service': self.service, 'level': str(urgency)}
            LEVEL_RESERVE.set(labels, self.gate.reserve(urgency))
            LEVEL_FREE.set(labels, self.gate.left_over(urgency))

    def _fleet_load(self, now_s: float) -> FleetLoad:
        upstreams = responsive_upstreams(self.view, self.service, now_s)
        open_now = usable(upstreams, self.view, self.service, now_s)
        peers = self.view.peers
        return FleetLoad(
            sum(one.record.slots for one in open_now),
            sum(one.free_slots(now_s) for one in open_now),
            sum(one.own_running(now_s) for one in upstreams),
            {
                level.urgency: meter.load(now_s)
                for level, meter in self.demand.meters.items()
                if level.service == self.service
            },
            peers.demand.by_urgency(self.service, now_s),
            peers.relay_count(),
            peers.demand.heard(now_s),
        )


def _part_of(prospect: Prospect | None, relays: int) -> Prospect | None:
    """Return how soon one relay's part of the slots comes."""
    if prospect is None:
        return None
    return prospect._replace(
        ahead=prospect.ahead / relays, per_s=prospect.per_s / relays
    )


def _count_decision(context: RequestContext, decision: str) -> None:
    count(
        LEVEL_DECISIONS,
        service=context.level.service,
        level=str(context.level.urgency),
        decision=decision,
    )


def _admit_any(urgency: int) -> bool:
    return True
