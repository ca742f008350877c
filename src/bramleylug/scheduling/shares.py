"""Fair shares of a service's slots between workspaces, over the fleet.

The load that it answers: a service is short while a few workspaces, or callers
that repeat at once, send most of its requests through many relays. Each
workspace gets what it wants up to one level, the same for all (max-min
fairness; Bertsekas and Gallager, *Data Networks*, 1992, section 6.5.2). Work is
measured in slots: the time for which requests are expected to hold one, divided
by the time in which they came. Repeats of a caller add to what its workspace
wants and not to the level.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple, final

from bramleylug.scheduling.demand import DecayingRate
from bramleylug.scheduling.estimate import EngineLoad, EngineModel
from bramleylug.scheduling.figures import RequestSize

# Time constant of the means: a workspace that sends more shows within it.
MEMORY_S = 3.0
# Relays of other regions tell theirs in turn, at longer intervals than others.
TOLD_TTL_S = 5.0
# Slots below this are nothing.
MIN_SLOTS = 0.01
# Workspaces in one heartbeat, those that want most: 17 kB/s is what a host may
# use for control traffic. Those with little stay below the level anyway.
MAX_TOLD = 4
# What a workspace may want beyond the level before part of it is refused: what
# relays know of each other is late, and means vary.
TOLERANCE = 1.25
# Of the level, for a relay that is cut off and knows only how it was before.
SAFE_PART = 0.75
# A workspace is short if it has less than this part of what it could have.
SHORT_PART = 0.9
# Nothing is refused unless all want so much more than they take: requests that
# wait for a moment want a slot, too, and the means of few requests vary. In a
# shortage so many slots are free for a moment.
EXCESS_PART = 0.2
EXCESS_SLOTS = 2.0
# Bounds of how much more or less often a workspace's requests are chosen.
MIN_WEIGHT = 0.25
MAX_WEIGHT = 4.0


class Use(NamedTuple):
    """Slots of one workspace at a service.

    :ivar slots: those that its requests took, as a decaying mean.
    :ivar wanted_slots: those that all its requests would have taken.
    """

    slots: float = 0
    wanted_slots: float = 0

    def plus(self, other: 'Use') -> 'Use':
        """Return the sum of two uses."""
        return Use(
            self.slots + other.slots, self.wanted_slots + other.wanted_slots
        )


# By service and workspace.
Uses = Mapping[tuple[str, str], Use]


def slot_time_s(
    size: RequestSize, model: EngineModel | None, measured_s: float
) -> float:
    """Return how long a request is expected to hold a slot.

    :param model: of the engines; ``None`` if their speed is not stated.
    :param measured_s: how long requests of the service took here, used if
        it is not.
    """
    if model is None:
        return measured_s
    return model.estimate(size, EngineLoad(slots=1, requests=0)).run_s


@final
class UseMeter:
    """Slots that the requests of this relay take and want.

    :ivar taken: by service and workspace; and so is what is wanted.
    """

    def __init__(self) -> None:
        self.taken: dict[tuple[str, str], DecayingRate] = {}
        self.wanted: dict[tuple[str, str], DecayingRate] = {}

    def record_wanted(
        self, service: str, workspace: str, slot_s: float, now_s: float
    ) -> None:
        """Record a request that arrives, also one that repeats another."""
        key = service, workspace
        self.wanted.setdefault(key, _slots()).record(now_s, slot_s)

    def record_taken(
        self, service: str, workspace: str, slot_s: float, now_s: float
    ) -> None:
        """Record a request that is sent to an upstream."""
        key = service, workspace
        self.taken.setdefault(key, _slots()).record(now_s, slot_s)

    def uses(self, now_s: float) -> dict[tuple[str, str], Use]:
        """Return the uses, without those that have decayed."""
        uses: dict[tuple[str, str], Use] = {}
        keys = {*self.taken, *self.wanted}
        for key in keys:
            taken = self.taken.get(key, _slots()).value_at(now_s)
            wanted = self.wanted.get(key, _slots()).value_at(now_s)
            if max(taken, wanted) < MIN_SLOTS:
                self.taken.pop(key, None)
                self.wanted.pop(key, None)
            else:
                uses[key] = Use(taken, wanted)
        return uses


def _slots() -> DecayingRate:
    """Return a mean of slots: slot time a second."""
    return DecayingRate(MEMORY_S)


def largest(uses: Uses, count: int = MAX_TOLD) -> Uses:
    """Return the uses of those that want most."""
    ranked = sorted(uses, key=lambda key: -uses[key].wanted_slots)
    return {key: uses[key] for key in ranked[:count]}


class ToldUses(NamedTuple):
    """What a relay has told of its uses."""

    uses: Uses
    received_s: float


@final
class FleetUses:
    """Uses of other relays, as they tell them in their heartbeats.

    :ivar told: by relay.
    """

    def __init__(self) -> None:
        self.told: dict[str, ToldUses] = {}

    def record(self, relay: str, uses: Uses, now_s: float) -> None:
        """Record what a relay tells; not every heartbeat has uses."""
        if uses:
            self.told[relay] = ToldUses(uses, now_s)

    def remove_expired(self, now_s: float) -> None:
        """Forget what was told long ago.

        Not to be called while this relay is cut off: it goes on with what it
        knew last.
        """
        for relay, told in tuple(self.told.items()):
            if now_s - told.received_s >= TOLD_TTL_S:
                self.told.pop(relay)

    def of_service(self, service: str, own: Uses) -> dict[str, Use]:
        """Return the uses of a service by workspace, over all relays."""
        totals: dict[str, Use] = {}
        for uses in (own, *(told.uses for told in self.told.values())):
            for (used_service, workspace), use in uses.items():
                if used_service == service:
                    total = totals.get(workspace, Use())
                    totals[workspace] = total.plus(use)
        return totals


@final
@dataclass(frozen=True, slots=True)
class FairShares:
    """Max-min fair shares of one service.

    Every workspace may have the level, or what it wants if that is less. The
    level is at least an equal part of the slots that all take together.

    :ivar uses: by workspace, over the fleet.
    :ivar level: most slots that a workspace has in a fair division.
    :ivar full_level: the same in a division of the free slots, too, but for
        those that are usually free for a moment.
    """

    uses: Mapping[str, Use]
    level: float
    full_level: float

    @classmethod
    def from_uses(
        cls, uses: Mapping[str, Use], free_slots: float = 0
    ) -> 'FairShares':
        """Return the shares in the slots that are taken or free now.

        By those taken alone, a service that served nothing for a while would
        go on to refuse: the level would follow what refusals leave.
        """
        taken = sum(use.slots for use in uses.values())
        wanted = [max(use) for use in uses.values()]
        usual = EXCESS_PART * taken + EXCESS_SLOTS
        return cls(
            uses,
            fair_level(wanted, taken),
            fair_level(wanted, taken + max(0, free_slots - usual)),
        )

    def refused_part(self, workspace: str, *, is_current: bool = True) -> float:
        """Return which part of a workspace's requests is to be refused.

        None is while no other workspace is short. The rest of its requests
        adds up to the level and a tolerance, or to the full level.

        :param is_current: whether the uses of the other relays are known; of
            a relay that is cut off, a workspace gets a safe part of its share.
        """
        use = self.uses.get(workspace, Use())
        limit = self.level * SAFE_PART
        if is_current:
            limit = max(self.level * TOLERANCE, self.full_level)
        if use.wanted_slots <= limit or not self._is_scarce():
            return 0.0
        if not self._others_are_short(workspace):
            return 0.0
        return 1 - limit / use.wanted_slots

    def weight(self, workspace: str) -> float:
        """Return how much more often its requests are chosen than usual."""
        use = self.uses.get(workspace)
        if use is None or not self.level:
            return 1.0
        ratio = self.level / max(use.slots, MIN_SLOTS)
        return min(MAX_WEIGHT, max(MIN_WEIGHT, ratio))

    def _is_scarce(self) -> bool:
        """Return whether the workspaces want clearly more than they get."""
        taken = sum(use.slots for use in self.uses.values())
        wanted = sum(use.wanted_slots for use in self.uses.values())
        return wanted > (1 + EXCESS_PART) * taken + EXCESS_SLOTS

    def _others_are_short(self, workspace: str) -> bool:
        return any(
            use.slots < SHORT_PART * min(self.level, use.wanted_slots)
            for name, use in self.uses.items()
            if name != workspace
        )


def fair_level(wanted: Iterable[float], capacity: float) -> float:
    """Return the level up to which all get what they want.

    What those that want less leave is divided between the others.
    """
    left = capacity
    ordered = sorted(wanted)
    for place, one in enumerate(ordered):
        level = left / (len(ordered) - place)
        if one >= level:
            return level
        left -= one
    return ordered[-1] if ordered else 0.0
