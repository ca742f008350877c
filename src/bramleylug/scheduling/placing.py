"""Selection of the upstream for a request by eligibility and estimate."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from itertools import starmap
from operator import itemgetter
from random import Random
from typing import NamedTuple, final

from bramleylug.cluster.constraints import Constraints
from bramleylug.cluster.engine_work import ReportedWork
from bramleylug.cluster.upstreams import (
    FILL_SHARE,
    REPORT_TTL_S,
    Upstream,
    UpstreamRegistry,
)
from bramleylug.scheduling.estimate import (
    EngineLoad,
    EngineModel,
    WorkEstimate,
)
from bramleylug.scheduling.figures import RequestSize

# Penalties, in requests. An upstream in another zone or region must have
# this many more free slots to justify the traffic between zones.
OTHER_ZONE_PENALTY = 0.5
OTHER_REGION_PENALTY = 2.0
# An upstream on outdated weights will load newer ones soon, which cuts off
# its running requests.
OUTDATED_PENALTY = 4.0
# Penalty, as a share of its slots, of an upstream that belongs to the
# preferred subset of other relays.
NON_PREFERRED_SHARE = 0.35
# A prompt that has not been processed yet delays the next one, by more than
# a stream that is already being generated.
UNSTARTED_PENALTY = 2.0
# Penalty, as a share of its slots, of an upstream that asked another relay
# for a pause.
PEER_PAUSED_SHARE = 0.35
MIN_WEIGHT = 0.1
# Costs, in parts of the objective, that estimates do not show. Distance
# decides only between engines that serve equally well.
OTHER_ZONE_COST = 0.02
OTHER_REGION_COST = 0.08
OUTDATED_COST = 1.0
PEER_PAUSED_COST = 0.5
# Part of an objective that an estimate may take: it is not exact.
SAFE_SHARE = 0.8
# Others that are drawn for one request while the preferred ones are not enough.
DRAWN = 3
# Share of an engine's slots that are left to relays that send there first.
RESERVED_SHARE = 0.25
# Time between two requests of this relay to others in a shortage.
OVERFLOW_INTERVAL_S = 0.1
# Objectives of requests whose route states none.
USUAL_OBJECTIVE_S = 1.0
NOT_REGISTERED = 'no upstream of the service is registered'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Requirements:
    """What a request requires of its upstream.

    :ivar model: required model; empty where the service serves none.
    :ivar regions: allowed regions; ``None`` for any.
    :ivar tried: ids of the upstreams that received it before.
    :ivar size: how much work it is.
    :ivar objective_s: objective of its first event or whole answer; 0 if
        unknown.
    :ivar pause_objective_s: objective of the pauses of its route's streams;
        0 if unknown.
    """

    service: str
    model: str = ''
    regions: frozenset[str] | None = None
    tried: Collection[str] = ()
    size: RequestSize = RequestSize()
    objective_s: float = 0
    pause_objective_s: float = 0


@final
@dataclass(frozen=True, slots=True)
class Selected:
    """The request can be sent to this upstream.

    :ivar estimate: what it would get there; ``None`` if the speed of the
        service's engines is not stated.
    :ivar without_permit: near upstreams that it could as well be sent to if
        this relay had a permit.
    """

    upstream: Upstream
    estimate: WorkEstimate | None = None
    without_permit: Sequence[Upstream] = ()


@final
@dataclass(frozen=True, slots=True)
class AtCapacity:
    """Eligible upstreams exist, but none can take a request now.

    :ivar slots: total slots of the eligible upstreams.
    :ivar closed_until_s: earliest time at which one of them takes requests,
        however few run there; in the past unless all are paused, avoided or
        without a permit until then.
    :ivar without_permit: those that lack only a permit.
    """

    slots: int
    closed_until_s: float = float('-inf')
    without_permit: Sequence[Upstream] = ()


@final
@dataclass(frozen=True, slots=True)
class NoneEligible:
    """No upstream may serve the request, whatever its load.

    :ivar reason: why the last one that was examined is not eligible.
    """

    reason: str


Selection = Selected | AtCapacity | NoneEligible


class Candidate(NamedTuple):
    """An engine that a request could be sent to, and what it would get."""

    upstream: Upstream
    estimate: WorkEstimate | None


class Ranked(NamedTuple):
    """A candidate with its cost, in parts of the objectives."""

    cost: float
    candidate: Candidate


@final
class UpstreamSelector:
    """Selects the best of a few upstreams with free slots.

    Where the speed of a service's engines is stated, the best one is that
    with the earliest first event and the least harm to those that run there,
    by an estimate, among the few that this relay prefers and hears of at
    once. Elsewhere it is the one of two with more free slots.

    The load caused by other relays is known with a delay of some tenths of
    a second. Relays that all chose the least loaded upstream would choose
    the same one. Two random choices, weighted by free slots, spread the
    requests (Mitzenmacher, *The Power of Two Choices in Randomized Load
    Balancing*, 2001).

    :param zone: availability zone of this relay.
    :ivar overflow_s: when an engine was chosen last that is not preferred.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        zone: str,
        region: str,
        random: Random,
    ) -> None:
        self.registry = registry
        self.zone = zone
        self.region = region
        self.random = random
        self.overflow_s = float('-inf')

    def select(
        self, requirements: Requirements, constraints: Constraints, now_s: float
    ) -> Selection:
        """Select an upstream for a request."""
        candidates = [
            (one, ineligible_reason(one, requirements, constraints, now_s))
            for one in self.registry.of_service(requirements.service)
        ]
        eligible = [upstream for upstream, reason in candidates if not reason]
        if not eligible:
            return NoneEligible(
                candidates[-1][1] if candidates else NOT_REGISTERED
            )
        eligible = responsive(eligible, now_s)
        with_room = [
            (one, free_slots)
            for one in eligible
            if (free_slots := room(one, now_s)) >= 1
        ]
        without_permit = tuple(
            one for one, _ in with_room if one.lacks_permit(now_s)
        )
        allowed = self._allowed(requirements, constraints, eligible, now_s)
        available = [
            (one, free_slots)
            for one, free_slots in with_room
            if (one.limited or allowed(one)) and one.may_send(now_s)
        ]
        if not available:
            return AtCapacity(
                sum(one.record.slots for one in eligible),
                min(closed_until_s(one, now_s) for one in eligible),
                without_permit,
            )
        return Selected(
            *self._choose(available, requirements, constraints, now_s),
            tuple(
                one for one in without_permit if self._is_near(one, constraints)
            ),
        )

    def _allowed(
        self,
        requirements: Requirements,
        constraints: Constraints,
        eligible: Sequence[Upstream],
        now_s: float,
    ) -> Callable[[Upstream], bool]:
        """Return whether a request may be sent to an upstream.

        It may be sent to preferred engines and to a few random other ones;
        permits for any of them are used.
        The counts of others are old: in a shortage all relays would take the
        same free one. Its last free slots are left to relays that prefer it,
        as overflow which takes them makes others overflow in turn (Gibbens,
        Kelly and Key, *Dynamic Alternative Routing*, 1988).
        """
        preferred = constraints.preferred
        if requirements.service not in constraints.engines or not any(
            one.record.upstream_id in preferred for one in eligible
        ):
            return _is_any
        allowed = set(preferred)
        if now_s - self.overflow_s >= OVERFLOW_INTERVAL_S:
            allowed.update(
                one.record.upstream_id
                for one in self.random.choices(eligible, k=DRAWN)
                if one.free_slots(now_s) >= RESERVED_SHARE * one.record.slots
            )
        return lambda one: one.record.upstream_id in allowed

    def _is_near(self, upstream: Upstream, constraints: Constraints) -> bool:
        return constraints.regions.get(upstream.record.zone) == self.region

    def _choose(
        self,
        available: list[tuple[Upstream, float]],
        requirements: Requirements,
        constraints: Constraints,
        now_s: float,
    ) -> 'Candidate':
        # Permits expire soon: they are used before free slots elsewhere.
        permitted = [
            (one, free_slots)
            for one, free_slots in available
            if one.limited and self._is_near(one, constraints)
        ]
        available = permitted or available
        model = constraints.engines.get(requirements.service)
        if model is not None:
            return self._choose_by_estimate(
                model, available, requirements, constraints, now_s
            )
        scores = [
            free_slots - self._penalty(one, requirements, constraints, now_s)
            for one, free_slots in available
        ]
        weights = [max(MIN_WEIGHT, score) for score in scores]
        pair = self.random.choices(range(len(available)), weights, k=2)
        upstream, _ = available[max(pair, key=scores.__getitem__)]
        return Candidate(upstream, None)

    def _choose_by_estimate(
        self,
        model: EngineModel,
        available: list[tuple[Upstream, float]],
        requirements: Requirements,
        constraints: Constraints,
        now_s: float,
    ) -> 'Candidate':
        """Return the best of the preferred engines, or a random other one.

        What this relay knows of the preferred ones is recent. Others are
        considered only if none of these serves in time on the newest weights.
        """
        first: list[tuple[Upstream, float]] = []
        others: list[tuple[Upstream, float]] = []
        for upstream, free_slots in available:
            is_first = upstream.record.upstream_id in constraints.preferred
            (first if is_first else others).append((upstream, free_slots))

        def rank(upstream: Upstream, free_slots: float) -> Ranked:
            load = engine_load(model, upstream, free_slots, now_s)
            estimate = model.estimate(requirements.size, load)
            cost = _lateness(estimate, requirements) + self._cost(
                upstream, requirements, constraints, now_s
            )
            return Ranked(cost, Candidate(upstream, estimate))

        ranked = list(starmap(rank, first))
        if others and not any(
            _is_in_time(known.candidate.estimate, requirements)
            and not _is_outdated(
                known.candidate.upstream,
                requirements.model,
                constraints,
                now_s,
            )
            for known in ranked
        ):
            weights = [
                _free_speed(engine_load(model, *other, now_s))
                for other in others
            ]
            # The best of several would be that of all other relays, too.
            ranked.append(rank(*self.random.choices(others, weights)[0]))
        candidate = min(ranked, key=itemgetter(0)).candidate
        if candidate.upstream.record.upstream_id not in constraints.preferred:
            self.overflow_s = now_s
        return candidate

    def _cost(
        self,
        upstream: Upstream,
        requirements: Requirements,
        constraints: Constraints,
        now_s: float,
    ) -> float:
        """Return what a choice costs beyond its estimate."""
        cost = 0.0
        if upstream.record.zone != self.zone:
            cost += OTHER_ZONE_COST
        if not self._is_near(upstream, constraints):
            cost += OTHER_REGION_COST
        if _is_outdated(upstream, requirements.model, constraints, now_s):
            cost += OUTDATED_COST
        if now_s < upstream.notice.peers_paused_until_s:
            cost += PEER_PAUSED_COST
        return cost

    def _penalty(
        self,
        upstream: Upstream,
        requirements: Requirements,
        constraints: Constraints,
        now_s: float,
    ) -> float:
        """Return how many more free slots would justify the choice."""
        zone = upstream.record.zone
        penalty = 0.0
        if zone != self.zone:
            penalty += OTHER_ZONE_PENALTY
        if not self._is_near(upstream, constraints):
            penalty += OTHER_REGION_PENALTY
        if _is_outdated(upstream, requirements.model, constraints, now_s):
            penalty += OUTDATED_PENALTY
        preferred = constraints.preferred
        if preferred and upstream.record.upstream_id not in preferred:
            penalty += NON_PREFERRED_SHARE * upstream.record.slots
        if now_s < upstream.notice.peers_paused_until_s:
            penalty += PEER_PAUSED_SHARE * upstream.record.slots
        return penalty + UNSTARTED_PENALTY * upstream.unstarted


def _is_any(upstream: Upstream) -> bool:
    return True


def ineligible_reason(
    upstream: Upstream,
    requirements: Requirements,
    constraints: Constraints,
    now_s: float,
) -> str:
    """Return why an upstream must not get a request; empty if it may."""
    record = upstream.record
    region = constraints.regions.get(record.zone)
    if record.upstream_id in requirements.tried:
        return 'already tried'
    if record.zone in constraints.zones_out:
        return 'its zone is out'
    if requirements.regions is not None and region not in requirements.regions:
        return 'outside the allowed regions'
    if requirements.model:
        return unusable_weights_reason(
            upstream, requirements.model, constraints, now_s
        )
    return ''


def unusable_weights_reason(
    upstream: Upstream, model: str, constraints: Constraints, now_s: float
) -> str:
    """Return why its weights exclude an upstream; empty if they do not."""
    held = upstream.weights_of(model, now_s)
    if held is None or not held.whole:
        return 'holds no complete weights'
    if held.version < constraints.min_versions.get(model, 0):
        return 'holds outdated weights'
    return ''


def responsive(upstreams: list[Upstream], now_s: float) -> list[Upstream]:
    """Return the upstreams that are not silent; all if each one is.

    Then rather the network of this process is at fault.
    """
    return [one for one in upstreams if not one.is_silent(now_s)] or upstreams


def closed_until_s(upstream: Upstream, now_s: float) -> float:
    """Return until when an upstream gets no request, whatever its load."""
    until_s = max(upstream.avoid_until_s, upstream.notice.paused_until_s)
    if upstream.lacks_permit(now_s):
        return max(until_s, upstream.permits.expected_s)
    return until_s


def sendable_at_once(upstream: Upstream, relays: int, now_s: float) -> int:
    """Return how many waiting requests may be sent to an upstream now.

    All relays learn of free slots at the same time. Each takes its share of
    those of an engine until its prompts there have been read, which are read
    one after the other.

    :param relays: relays that may have waiting requests.
    """
    free = upstream.sendable(now_s)
    if not upstream.record.weights:
        return free
    share = max(1, (free + upstream.unstarted) // max(1, relays))
    return max(0, min(free, share - upstream.unstarted))


def room(upstream: Upstream, now_s: float) -> float:
    """Return how many more requests it can run, whatever its rates.

    That is 0 while it is avoided, paused or about to load other weights.
    """
    if now_s < upstream.avoid_until_s:
        return 0
    if now_s < upstream.notice.paused_until_s or upstream.is_closing(now_s):
        return 0
    return upstream.free_slots(now_s)


def engine_load(
    model: EngineModel, upstream: Upstream, free_slots: float, now_s: float
) -> EngineLoad:
    """Return the load of an engine that has so many free slots."""
    report = upstream.report
    pace, at_s = 1.0, float('-inf')
    if report is not None and now_s - report.received_s < REPORT_TTL_S:
        pace, at_s = report.pace, report.received_s
    slots = upstream.record.slots
    reported = ReportedWork(slots, slots * FILL_SHARE - free_slots, pace, at_s)
    return upstream.work.load(model, reported, now_s)


def _lateness(estimate: WorkEstimate, requirements: Requirements) -> float:
    """Return first event and pause as parts of their objectives."""
    objective_s = requirements.objective_s or USUAL_OBJECTIVE_S
    pause_objective_s = requirements.pause_objective_s or objective_s
    return estimate.first_s / objective_s + estimate.pause_s / pause_objective_s


def _is_in_time(
    estimate: WorkEstimate | None, requirements: Requirements
) -> bool:
    """Return whether a request can be expected to be in time."""
    if estimate is None:
        return False
    objective_s = requirements.objective_s or USUAL_OBJECTIVE_S
    pause_objective_s = requirements.pause_objective_s or objective_s
    return (
        estimate.first_s < SAFE_SHARE * objective_s
        and estimate.pause_s < SAFE_SHARE * pause_objective_s
    )


def _free_speed(load: EngineLoad) -> float:
    """Return how many more requests an engine bears at its pace."""
    return max(MIN_WEIGHT, load.slots / load.pace - load.requests)


def _is_outdated(
    upstream: Upstream, model: str, constraints: Constraints, now_s: float
) -> bool:
    """Return whether the weights of an eligible upstream are not the newest."""
    newest = constraints.newest_versions.get(model, 0)
    if newest <= constraints.min_versions.get(model, 0):
        # An eligible one holds the lowest version that may serve, or a later.
        return False
    held = upstream.weights_of(model, now_s)
    return held is not None and held.version < newest
