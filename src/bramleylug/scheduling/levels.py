"""Room for the urgent at the upstreams of a service, across relays.

Load that it answers: a burst of the least urgent requests of a service while
dozens of relays get a few requests a second each. No relay's own queue holds
enough of them to put the urgent ones first, so the less urgent must not fill
the upstreams.

Each level but the most urgent leaves a reserve of free slots (trunk
reservation, as in telephone networks). Near that limit, a relay sends as many
requests as end, plus its part of what is left over: counts of other relays
are some tenths of a second old, and relays that all filled what they see free
would fill it several times.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import sqrt
from typing import NamedTuple, final

from bramleylug.scheduling.demand import LevelLoad

# Age of what a relay knows of the requests of others. The reserve takes the
# more urgent requests that arrive within it.
VIEW_AGE_S = 0.3
# Time in which the free slots approach the reserve; longer than the view's
# age, or they would oscillate.
SETTLING_S = 0.8
# Standard deviations of the arrivals within the view's age by which free slots
# exceed the reserve where nothing is short.
AMPLE_DEVIATIONS = 3.0
# Part of its share of the slots that no level loses to more urgent ones. Its
# share is that of its requests among all.
GUARANTEED_SHARE = 0.5
# Part of the slots that is reserved at most.
MAX_RESERVE_SHARE = 0.4
# Sends of this relay by which it may exceed what has ended and is left over.
MAX_DEBT = 4.0


class FleetLoad(NamedTuple):
    """What a relay knows of a service.

    :ivar slots: those of the upstreams that take requests.
    :ivar free: those of them that are not taken, by the latest counts.
    :ivar own_running: requests of this relay that run there.
    :ivar own: load of this relay by urgency.
    :ivar told: load of all other relays by urgency.
    :ivar relays: all relays, this one included.
    :ivar heard: other relays that have told their load lately.
    """

    slots: int
    free: float
    own_running: int
    own: Mapping[int, LevelLoad]
    told: Mapping[int, LevelLoad]
    relays: int
    heard: int


class Prospect(NamedTuple):
    """How soon a request gets a slot.

    :ivar ahead: requests that get one before it.
    :ivar per_s: rate at which slots come to those and to it.
    :ivar spare_per_s: what is left of that rate for requests that give way to
        all others of their level; negative if they take more.
    """

    ahead: float
    per_s: float
    spare_per_s: float

    @property
    def wait_s(self) -> float:
        """Expected wait of a request that can still be in time."""
        return (self.ahead + 1) / self.per_s if self.per_s > 0 else INFINITE_S

    @property
    def late_wait_s(self) -> float:
        """Expected wait of one that gives way to those."""
        if self.spare_per_s <= 0:
            return INFINITE_S
        return (self.ahead + 1) / self.spare_per_s


INFINITE_S = float('inf')


@final
@dataclass(slots=True)
class LevelGate:
    """Decides which levels of a service may use free slots now.

    :ivar loads: load by urgency of all relays that count.
    :ivar own: load of this relay by urgency.
    :ivar own_running: its requests at upstreams by urgency.
    :ivar slots: those of the upstreams, or this relay's share of them.
    :ivar free: free ones among them.
    :ivar relays: relays that share them.
    :ivar credits: by urgency, requests that this relay may send.
    :ivar cut_off: whether no other relay is heard.
    """

    loads: Mapping[int, LevelLoad] = field(default_factory=dict)
    own: Mapping[int, LevelLoad] = field(default_factory=dict)
    own_running: dict[int, int] = field(default_factory=dict)
    slots: float = 0
    free: float = 0
    relays: int = 1
    credits: dict[int, float] = field(default_factory=dict)
    observed_s: float = float('-inf')
    cut_off: bool = False

    def observe(self, load: FleetLoad, now_s: float) -> None:
        """Take in what is known now.

        A relay that hears no other one uses no more than an equal share of the
        slots, and orders its own requests within that: what others run there
        is not known to it any more.
        """
        passed_s = min(SETTLING_S, max(0, now_s - self.observed_s))
        self.observed_s = now_s
        self.own = load.own
        self.own_running = {
            urgency: one.running for urgency, one in load.own.items()
        }
        self.cut_off = load.relays > 1 and not load.heard
        if self.cut_off:
            self.relays = 1
            self.slots = load.slots / load.relays
            self.free = min(load.free, self.slots - load.own_running)
            self.loads = dict(load.own)
        else:
            self.relays = load.relays
            self.slots = load.slots
            self.free = load.free
            self.loads = _sum_of(load.own, load.told)
        known = self.credits
        self.credits = {
            urgency: known.get(urgency, 0) for urgency in self.loads
        }
        for urgency in self.loads:
            self._settle(urgency, passed_s)

    def record_sent(self, urgency: int) -> None:
        """Record that this relay sends a request of a level."""
        self.free -= 1
        self.own_running[urgency] = self.own_running.get(urgency, 0) + 1
        for urgency, credit in self.credits.items():
            self.credits[urgency] = max(-MAX_DEBT, credit - 1)

    def record_ended(self) -> None:
        """Record that a request of this relay has left its upstream."""
        self.free += 1
        for urgency, credit in self.credits.items():
            self.credits[urgency] = min(self._most(urgency), credit + 1)

    def admits(self, urgency: int) -> bool:
        """Return whether a request may use a free slot now."""
        if self.reserve(urgency) < 1 or self.is_starved(urgency):
            return True
        if self.left_over(urgency) >= self._ample(urgency):
            return True
        return self.credits.get(urgency, 0) >= 1

    def is_starved(self, urgency: int) -> bool:
        """Return whether a level has less than its guaranteed share."""
        load = self.loads.get(urgency)
        asked = sum(one.asked_per_s for one in self.loads.values())
        if load is None or not asked:
            return True
        slots = GUARANTEED_SHARE * self.slots * load.asked_per_s / asked
        if load.running >= slots:
            return False
        # No more than its part: the other relays make up for theirs.
        return self.own_running.get(urgency, 0) < slots * self._share(urgency)

    def rank(self, urgency: int) -> tuple[bool, int]:
        """Return the place of a level among those that wait, lowest first."""
        return not self.is_starved(urgency), urgency

    def reserve(self, urgency: int) -> float:
        """Return how many free slots a level leaves to more urgent ones."""
        wanted = sum(
            load.asked_per_s * VIEW_AGE_S + load.waiting
            for other, load in self.loads.items()
            if other < urgency
        )
        return min(wanted, MAX_RESERVE_SHARE * self.slots)

    def left_over(self, urgency: int) -> float:
        """Return how many free slots there are beyond the reserve."""
        return self.free - self.reserve(urgency)

    def prospect(self, urgency: int, hold_s: float) -> Prospect:
        """Return how soon a request of a level gets a slot.

        :param hold_s: how long a request holds a slot, on average.
        """
        ended_per_s = (self.slots - self.free) / hold_s
        asked = {other: load.asked_per_s for other, load in self.loads.items()}
        own_per_s = asked.get(urgency, 0)
        floor_per_s = GUARANTEED_SHARE * ended_per_s
        floor_per_s *= own_per_s / (sum(asked.values()) or 1)
        before_per_s = sum(
            per_s for other, per_s in asked.items() if other < urgency
        )
        per_s = max(ended_per_s - before_per_s, floor_per_s)
        waiting = sum(
            load.waiting
            for other, load in self.loads.items()
            if other <= urgency
        )
        ahead = waiting + max(0.0, -self.left_over(urgency))
        return Prospect(ahead, per_s, per_s - own_per_s)

    def _settle(self, urgency: int, passed_s: float) -> None:
        gained = self.left_over(urgency) * passed_s / SETTLING_S
        gained *= self._share(urgency)
        credit = self.credits[urgency] + gained
        self.credits[urgency] = max(-MAX_DEBT, min(self._most(urgency), credit))

    def _most(self, urgency: int) -> float:
        """Return up to how many requests a relay may save up."""
        return max(1.0, self.left_over(urgency) * self._share(urgency))

    def _share(self, urgency: int) -> float:
        """Return this relay's share of the requests of a level."""
        total_per_s = self.loads[urgency].asked_per_s
        own = self.own.get(urgency)
        if own is None or not total_per_s:
            return 1 / self.relays
        return own.asked_per_s / total_per_s

    def _ample(self, urgency: int) -> float:
        """Return beyond how many free slots the credit does not matter.

        All relays may send at once what waits at them.
        """
        asked = sum(load.asked_per_s for load in self.loads.values())
        waiting = self.loads[urgency].waiting
        return waiting + AMPLE_DEVIATIONS * sqrt(asked * VIEW_AGE_S)


def _sum_of(
    own: Mapping[int, LevelLoad], told: Mapping[int, LevelLoad]
) -> dict[int, LevelLoad]:
    return {
        urgency: own.get(urgency, LevelLoad()).plus(
            told.get(urgency, LevelLoad())
        )
        for urgency in own.keys() | told.keys()
    }
