"""Choice of the upstream for one request; answers the load of one service."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from random import Random
from typing import NamedTuple, final

from bramleylug.relay.upstreams import Upstream, UpstreamRegistry

# Requests of difference that another zone has to have less before the
# bytes between zones are worth it.
ZONE_BIAS = 0.5
REGION_BIAS = 2.0
# Requests of difference that an upstream on outdated weights has to have
# less: it is about to load others and cuts what runs.
OUTDATED_BIAS = 4.0
# Share of its slots by which an upstream that other relays favour has to be
# emptier.
NON_PREFERRED_SHARE = 0.35
# A prompt that is still to be read delays the next one, by more than a
# stream that is being written.
STARTING_BIAS = 2.0
LEAST_ROOM = 0.1
NOT_REGISTERED = 'no upstream of the service is registered'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Requirements:
    """What a request asks of the choice.

    :ivar model: model it names; empty where the service serves none.
    :ivar regions: where it may be served; ``None`` for anywhere.
    :ivar tried: upstreams that had it before.
    """

    service: str
    model: str = ''
    regions: frozenset[str] | None = None
    tried: Collection[str] = ()


class Constraints(NamedTuple):
    """What holds for all requests now.

    :ivar zones_out: zones that get no new work.
    :ivar min_versions: by model, the version below which nothing runs.
    :ivar newest_versions: by model, the newest that was named.
    :ivar regions: region of each zone.
    :ivar preferred: upstreams that this relay sends to first.
    """

    zones_out: Collection[str]
    min_versions: Mapping[str, int]
    newest_versions: Mapping[str, int]
    regions: Mapping[str, str]
    preferred: Collection[str] = ()


@final
@dataclass(frozen=True, slots=True)
class Selected:
    """Send the request to this upstream."""

    upstream: Upstream


@final
@dataclass(frozen=True, slots=True)
class AtCapacity:
    """Upstreams could serve it, but none has room yet.

    :ivar slots: requests that they take at once, together.
    """

    slots: int


@final
@dataclass(frozen=True, slots=True)
class NoneEligible:
    """No upstream could serve it, whatever its load.

    :ivar reason: what ruled out the last of them.
    """

    reason: str


Selection = Selected | AtCapacity | NoneEligible


@final
class UpstreamSelector:
    """Chooses the better of two upstreams with room.

    What is known of the load that other entries bring is some tenths of a
    second old. If all chose the best one they would choose the same; two
    at random, weighted by their room, spread them (Mitzenmacher, *The Power
    of Two Choices in Randomized Load Balancing*, 2001).

    :param zone: availability zone of this entry.
    """

    def __init__(
        self, book: UpstreamRegistry, zone: str, region: str, random: Random
    ) -> None:
        self.book = book
        self.zone = zone
        self.region = region
        self.random = random

    def place(
        self, demand: Requirements, constraints: Constraints, now_s: float
    ) -> Selection:
        """Choose an upstream for a request."""
        judged = [
            (one, find_fault(one, demand, constraints, now_s))
            for one in self.book.of_service(demand.service)
        ]
        able = [upstream for upstream, fault in judged if not fault]
        if not able:
            return NoneEligible(judged[-1][1] if judged else NOT_REGISTERED)
        ready = [one for one in able if is_ready(one, now_s)]
        if not ready:
            return AtCapacity(sum(one.record.slots for one in able))
        return Selected(self._choose(ready, demand, constraints, now_s))

    def _choose(
        self,
        ready: list[Upstream],
        demand: Requirements,
        constraints: Constraints,
        now_s: float,
    ) -> Upstream:
        rooms = [self._room(one, demand, constraints, now_s) for one in ready]
        weights = [max(LEAST_ROOM, room) for room in rooms]
        pair = self.random.choices(range(len(ready)), weights, k=2)
        return ready[max(pair, key=rooms.__getitem__)]

    def _room(
        self,
        upstream: Upstream,
        demand: Requirements,
        constraints: Constraints,
        now_s: float,
    ) -> float:
        zone = upstream.record.zone
        bias = 0.0
        if zone != self.zone:
            bias += ZONE_BIAS
        if constraints.regions.get(zone) != self.region:
            bias += REGION_BIAS
        newest = constraints.newest_versions.get(demand.model, 0)
        held = upstream.weights_of(demand.model, now_s)
        if held is not None and held.version < newest:
            bias += OUTDATED_BIAS
        preferred = constraints.preferred
        if preferred and upstream.record.upstream_id not in preferred:
            bias += NON_PREFERRED_SHARE * upstream.record.slots
        bias += STARTING_BIAS * upstream.starting
        return upstream.free(now_s) - bias


def find_fault(
    upstream: Upstream,
    demand: Requirements,
    constraints: Constraints,
    now_s: float,
) -> str:
    """Return why an upstream must not get a request; empty when it may."""
    record = upstream.record
    region = constraints.regions.get(record.zone)
    if record.upstream_id in demand.tried:
        return 'already tried'
    if record.zone in constraints.zones_out:
        return 'its zone is out'
    if demand.regions is not None and region not in demand.regions:
        return 'outside the allowed regions'
    if demand.model:
        return find_weights_fault(upstream, demand.model, constraints, now_s)
    return ''


def find_weights_fault(
    upstream: Upstream, model: str, constraints: Constraints, now_s: float
) -> str:
    """Return why its weights rule an upstream out; empty when they do not."""
    held = upstream.weights_of(model, now_s)
    if held is None or not held.whole:
        return 'holds no whole weights'
    if held.version < constraints.min_versions.get(model, 0):
        return 'holds outdated weights'
    return ''


def is_ready(upstream: Upstream, now_s: float) -> bool:
    """Tell whether an upstream may get one more request now."""
    if now_s < upstream.avoid_until_s or upstream.is_closing(now_s):
        return False
    if upstream.is_cold(now_s) and upstream.cold is not None:
        if not upstream.cold.may_take(now_s):
            return False
    return upstream.free(now_s) >= 1
