"""Decides how many upstreams a service should have in each zone.

Slots are compared with the requests that need one, by Little's law (1961):
those that run or wait, and for each second of refusals as many as would run.
More are ordered soon, and fewer late: an upstream takes its time to start,
and one that is missed costs more than one that idles.
"""

from collections import Counter
from collections.abc import Mapping
from math import ceil
from typing import NamedTuple, final

from bramleylug.scheduling.demand import LevelLoad
from bramleylug.scheduling.figures import ScalingLimits

# Shares of the slots in use: above the first one more upstreams are ordered,
# below the second one fewer, so many that the third one is reached.
HIGH_SHARE = 0.8
LOW_SHARE = 0.35
TARGET_SHARE = 0.7
# Refusals count while at least this share is in use; else something other
# than slots is missing.
REFUSING_SHARE = 0.5
# How long the share must be high, and low, without a break.
HIGH_S = 1.5
MIN_LOW_S = 60.0
BOOTS_LOW = 4
# Time, beyond the start, until an ordered upstream is registered.
REGISTER_S = 5.0


@final
class ZoneUpstreams(NamedTuple):
    """The upstreams of a service in a zone.

    :ivar present: those that are registered and stay.
    :ivar ordered: how many were ordered last; 0 for none.
    :ivar ordered_s: when that was.
    :ivar asked_per_s: requests that arrive at relays of the zone.
    """

    present: int
    ordered: int = 0
    ordered_s: float = float('-inf')
    asked_per_s: float = 0

    def expected(self, limits: ScalingLimits, now_s: float) -> int:
        """Return how many there are when those have started that may yet."""
        if now_s - self.ordered_s < limits.boot_s + REGISTER_S:
            return max(self.present, self.ordered)
        return self.present


@final
class ServiceScale:
    """Decides for one service, with what it has seen before.

    :ivar high_since_s: since when too many slots are in use; ``None`` if not.
    :ivar low_since_s: the same for too few.
    :ivar peak: most requests in need of a slot since then.
    """

    def __init__(self, limits: ScalingLimits) -> None:
        self.limits = limits
        self.high_since_s: float | None = None
        self.low_since_s: float | None = None
        self.peak = 0.0

    def decide(
        self,
        zones: Mapping[str, ZoneUpstreams],
        slots: int,
        load: LevelLoad,
        now_s: float,
    ) -> dict[str, int]:
        """Return the number of upstreams by zone, where it is to change.

        :param zones: the zones in which the service runs.
        :param slots: of each upstream.
        :param load: of the service, over all relays.
        """
        expected = {
            zone: upstreams.expected(self.limits, now_s)
            for zone, upstreams in zones.items()
        }
        total = sum(expected.values())
        if not total or not slots:
            return {}
        present = sum(upstreams.present for upstreams in zones.values())
        need = needed_slots(load, present * slots)
        self._observe(need / (total * slots), need, now_s)
        wanted = ceil(need / (slots * TARGET_SHARE))
        if self._has_lasted(self.high_since_s, HIGH_S, now_s):
            planned = self._raise(expected, zones, wanted)
        elif self._has_lasted(self.low_since_s, self.low_s, now_s):
            self.low_since_s = None
            wanted = ceil(self.peak / (slots * TARGET_SHARE))
            planned = self._lower(expected, wanted)
        else:
            return {}
        return {
            zone: number
            for zone, number in planned.items()
            if number != expected[zone]
        }

    @property
    def low_s(self) -> float:
        """How long too few slots must be in use."""
        return max(MIN_LOW_S, BOOTS_LOW * self.limits.boot_s)

    def _observe(self, share: float, need: float, now_s: float) -> None:
        if share <= HIGH_SHARE:
            self.high_since_s = None
        elif self.high_since_s is None:
            self.high_since_s = now_s
        if share >= LOW_SHARE:
            self.low_since_s = None
        elif self.low_since_s is None:
            self.low_since_s = now_s
            self.peak = 0
        self.peak = max(self.peak, need)

    def _has_lasted(
        self, since_s: float | None, limit_s: float, now_s: float
    ) -> bool:
        return since_s is not None and now_s - since_s >= limit_s

    def _raise(
        self,
        expected: Mapping[str, int],
        zones: Mapping[str, ZoneUpstreams],
        wanted: int,
    ) -> dict[str, int]:
        """Add upstreams, each where most requests arrive for those there."""
        planned = Counter(expected)
        for _ in range(wanted - sum(expected.values())):
            ranked = [
                (zones[zone].asked_per_s / (number + 1), -number, zone)
                for zone, number in planned.items()
                if number < self.limits.maximum
            ]
            if ranked:
                planned[max(ranked)[-1]] += 1
        return dict(planned)

    def _lower(
        self, expected: Mapping[str, int], wanted: int
    ) -> dict[str, int]:
        """Take upstreams away, each where most are."""
        planned = Counter(expected)
        for _ in range(sum(expected.values()) - wanted):
            zone, number = planned.most_common(1)[0]
            if number > self.limits.minimum:
                planned[zone] -= 1
        return dict(planned)


def needed_slots(load: LevelLoad, present_slots: int) -> float:
    """Return how many slots the requests of a service need at a time.

    :param present_slots: of the upstreams that are there.
    """
    need = float(load.running + load.waiting)
    served_per_s = load.asked_per_s - load.refused_per_s
    is_full = load.running >= REFUSING_SHARE * present_slots
    if is_full and served_per_s > 0:
        need += load.refused_per_s * load.running / served_per_s
    return need
