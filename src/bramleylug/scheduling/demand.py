"""Demand by service and urgency, of one relay and of the fleet."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from math import exp
from typing import NamedTuple, final

# Time constant of the rates: a burst shows within about this time.
RATE_MEMORY_S = 2.0
# Age at which what another relay has told expires. Relays of other regions
# tell it about once a second.
TOLD_TTL_S = 2.5
# Below this a rate is nothing.
MIN_RATE_PER_S = 0.01


# Urgencies of routes that are told apart within one urgency in force.
ROUTE_URGENCIES = 16
MAX_URGENCY = 255


def urgency_rank(in_force: int, of_route: int) -> int:
    """Return a number that orders requests by urgency, lowest first.

    The urgency of a workspace goes before that of a route. Where it is the
    same, as it is for most workspaces, that of the route decides.
    """
    first = max(0, min(in_force, MAX_URGENCY))
    second = max(0, min(of_route, ROUTE_URGENCIES - 1))
    return first * ROUTE_URGENCIES + second


class Level(NamedTuple):
    """Requests that decisions under load treat alike.

    :ivar urgency: rank by urgency; the lowest is the most urgent.
    """

    service: str
    urgency: int


class LevelLoad(NamedTuple):
    """Load of one level.

    :ivar running: requests at upstreams.
    :ivar waiting: requests in the queues of relays.
    :ivar asked_per_s: rate at which requests arrive.
    :ivar refused_per_s: rate at which they end without having run.
    """

    running: int = 0
    waiting: int = 0
    asked_per_s: float = 0
    refused_per_s: float = 0

    def plus(self, other: 'LevelLoad') -> 'LevelLoad':
        """Return the sum of two loads."""
        return LevelLoad(
            self.running + other.running,
            self.waiting + other.waiting,
            self.asked_per_s + other.asked_per_s,
            self.refused_per_s + other.refused_per_s,
        )

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to tell of the level."""
        rate = max(self.asked_per_s, self.refused_per_s)
        return not (self.running or self.waiting) and rate < MIN_RATE_PER_S


@final
@dataclass(slots=True)
class DecayingRate:
    """Amount a second, averaged with exponential decay.

    :ivar memory_s: time constant of the decay.
    :ivar per_s: the rate when it was last updated.
    """

    memory_s: float = RATE_MEMORY_S
    per_s: float = 0
    updated_s: float = float('-inf')

    def record(self, now_s: float, amount: float = 1) -> None:
        """Record an event, or an amount of something at one moment."""
        self.per_s = self.value_at(now_s) + amount / self.memory_s
        self.updated_s = now_s

    def value_at(self, now_s: float) -> float:
        passed_s = max(0, now_s - self.updated_s)
        return self.per_s * exp(-passed_s / self.memory_s)


@final
@dataclass(slots=True)
class LevelMeter:
    """Counts of one level at this relay."""

    running: int = 0
    waiting: int = 0
    asked: DecayingRate = field(default_factory=DecayingRate)
    refused: DecayingRate = field(default_factory=DecayingRate)

    @contextmanager
    def count_waiting(self) -> Iterator[None]:
        """Count a request as waiting for a while."""
        self.waiting += 1
        try:
            yield
        finally:
            self.waiting -= 1

    def load(self, now_s: float) -> LevelLoad:
        return LevelLoad(
            self.running,
            self.waiting,
            self.asked.value_at(now_s),
            self.refused.value_at(now_s),
        )


@final
class DemandMeter:
    """Counts this relay's requests by level.

    :ivar meters: by level; those without load are dropped when the loads are
        read.
    """

    def __init__(self) -> None:
        self.meters: dict[Level, LevelMeter] = {}

    def of(self, level: Level) -> LevelMeter:
        """Return the counts of a level."""
        return self.meters.setdefault(level, LevelMeter())

    def loads(self, now_s: float) -> Mapping[Level, LevelLoad]:
        """Return the load of each level that has any."""
        loads: dict[Level, LevelLoad] = {}
        for level, meter in tuple(self.meters.items()):
            load = meter.load(now_s)
            if load.is_idle:
                self.meters.pop(level)
            else:
                loads[level] = load
        return loads


class ToldDemand(NamedTuple):
    """What a relay has told of its load.

    :ivar zone: its availability zone.
    """

    zone: str
    loads: Mapping[Level, LevelLoad]
    received_s: float


@final
class FleetDemand:
    """Load of other relays, as they tell it in their heartbeats.

    :ivar told: by relay.
    """

    def __init__(self) -> None:
        self.told: dict[str, ToldDemand] = {}

    def record(self, relay: str, told: ToldDemand) -> None:
        self.told[relay] = told

    def by_urgency(
        self, service: str, now_s: float, zone: str | None = None
    ) -> dict[int, LevelLoad]:
        """Return the load of a service by urgency, over all other relays.

        :param zone: only relays of this zone; ``None`` for all.
        """
        totals: dict[int, LevelLoad] = {}
        for told in self.recent(now_s):
            if zone is not None and told.zone != zone:
                continue
            for level, load in told.loads.items():
                if level.service == service:
                    total = totals.get(level.urgency, LevelLoad())
                    totals[level.urgency] = total.plus(load)
        return totals

    def heard(self, now_s: float) -> int:
        """Return how many other relays have told their load lately."""
        return len(self.recent(now_s))

    def remove_expired(self, now_s: float) -> None:
        """Forget relays that have told nothing for a while."""
        for relay, told in tuple(self.told.items()):
            if now_s - told.received_s >= TOLD_TTL_S:
                self.told.pop(relay)

    def recent(self, now_s: float) -> list[ToldDemand]:
        """Return what each relay has told that still counts."""
        return [
            told
            for told in self.told.values()
            if now_s - told.received_s < TOLD_TTL_S
        ]
