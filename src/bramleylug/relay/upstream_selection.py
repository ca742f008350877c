"""Selection of the upstream for a request by eligibility and free slots."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from random import Random
from typing import final

from bramleylug.cluster.constraints import Constraints
from bramleylug.cluster.upstreams import Upstream, UpstreamRegistry

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
NOT_REGISTERED = 'no upstream of the service is registered'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Requirements:
    """What a request requires of its upstream.

    :ivar model: required model; empty where the service serves none.
    :ivar regions: allowed regions; ``None`` for any.
    :ivar tried: ids of the upstreams that received it before.
    """

    service: str
    model: str = ''
    regions: frozenset[str] | None = None
    tried: Collection[str] = ()


@final
@dataclass(frozen=True, slots=True)
class Selected:
    """The request can be sent to this upstream.

    :ivar without_permit: near upstreams that it could as well be sent to if
        this relay had a permit.
    """

    upstream: Upstream
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


@final
class UpstreamSelector:
    """Selects the better of two random upstreams with free slots.

    The load caused by other relays is known with a delay of some tenths of
    a second. Relays that all chose the least loaded upstream would choose
    the same one. Two random choices, weighted by free slots, spread the
    requests (Mitzenmacher, *The Power of Two Choices in Randomized Load
    Balancing*, 2001).

    :param zone: availability zone of this relay.
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
        available = [
            (one, free_slots)
            for one, free_slots in with_room
            if one.may_send(now_s)
        ]
        if not available:
            return AtCapacity(
                sum(one.record.slots for one in eligible),
                min(closed_until_s(one, now_s) for one in eligible),
                without_permit,
            )
        # Permits expire soon: they are used before free slots elsewhere.
        permitted = [
            (one, free_slots)
            for one, free_slots in available
            if one.limited and self._is_near(one, constraints)
        ]
        return Selected(
            self._choose(
                permitted or available, requirements, constraints, now_s
            ),
            tuple(
                one for one in without_permit if self._is_near(one, constraints)
            ),
        )

    def _is_near(self, upstream: Upstream, constraints: Constraints) -> bool:
        return constraints.regions.get(upstream.record.zone) == self.region

    def _choose(
        self,
        available: list[tuple[Upstream, float]],
        requirements: Requirements,
        constraints: Constraints,
        now_s: float,
    ) -> Upstream:
        scores = [
            free_slots - self._penalty(one, requirements, constraints, now_s)
            for one, free_slots in available
        ]
        weights = [max(MIN_WEIGHT, score) for score in scores]
        pair = self.random.choices(range(len(available)), weights, k=2)
        upstream, _ = available[max(pair, key=scores.__getitem__)]
        return upstream

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
