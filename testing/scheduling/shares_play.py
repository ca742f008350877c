"""Workspaces that compete for a short service, in virtual time."""

from collections import Counter
from random import Random
from typing import final

from bramleylug.scheduling.shares import (
    FairShares,
    FleetUses,
    UseMeter,
    largest,
)

SERVICE = 'advisor'
STEP_S = 0.02
HOLD_S = 0.5
TELL_S = 1.0
END_S = 20.0
WARM_UP_S = 8.0


@final
class SharesPlay:
    """Relays that each see a part of the requests of all workspaces.

    A request that finds no free slot ends at once; one that is refused may be
    repeated by its caller.

    :param rates_per_s: requests of each workspace, over the fleet.
    :param repeats: how often a caller of a workspace repeats at once.
    :param cut: relays that hear nothing of the others from half of the
        warm-up on, and are not heard.
    :ivar served: requests served after the warm-up, by workspace.
    :ivar shares_used: whether shares are applied.
    :ivar away_s: begin and end of a time in which nothing can be served.
    """

    def __init__(
        self,
        rates_per_s: dict[str, float],
        slots: int,
        seed: int,
        *,
        relays: int = 12,
        repeats: dict[str, int] | None = None,
        cut: int = 0,
        shares_used: bool = True,
    ) -> None:
        self.rates_per_s = rates_per_s
        self.slots = slots
        self.random = Random(seed)  # noqa: S311
        self.repeats = repeats or {}
        self.cut = cut
        self.shares_used = shares_used
        self.meters = [UseMeter() for _ in range(relays)]
        self.fleets = [FleetUses() for _ in range(relays)]
        self.away_s = END_S, END_S
        self.busy_until_s: list[float] = []
        self.served: Counter[str] = Counter()
        self.now_s = 0.0
        self.told_s = 0.0

    def run(self) -> 'SharesPlay':
        """Play to the end."""
        while self.now_s < END_S:
            self.now_s += STEP_S
            self.busy_until_s = [
                one for one in self.busy_until_s if one > self.now_s
            ]
            if self.now_s - self.told_s >= TELL_S:
                self.told_s = self.now_s
                self._tell()
            for workspace in self._arriving():
                relay = self.random.randrange(len(self.meters))
                attempts = 1 + self.repeats.get(workspace, 0)
                while attempts and not self._serve(relay, workspace):
                    attempts -= 1
        return self

    def served_per_s(self, workspace: str) -> float:
        """Return the rate at which a workspace is served."""
        return self.served[workspace] / (END_S - WARM_UP_S)

    def _arriving(self) -> list[str]:
        arriving = [
            workspace
            for workspace, per_s in self.rates_per_s.items()
            for _ in range(self._poisson(per_s * STEP_S))
        ]
        self.random.shuffle(arriving)
        return arriving

    def _poisson(self, mean: float) -> int:
        arrived = 0
        passed = self.random.expovariate(1)
        while passed < mean:
            arrived += 1
            passed += self.random.expovariate(1)
        return arrived

    def _serve(self, relay: int, workspace: str) -> bool:
        meter = self.meters[relay]
        meter.record_wanted(SERVICE, workspace, HOLD_S, self.now_s)
        if self.shares_used:
            uses = self.fleets[relay].of_service(
                SERVICE, meter.uses(self.now_s)
            )
            shares = FairShares.from_uses(uses, self._free_slots())
            part = shares.refused_part(
                workspace, is_current=not self._is_cut(relay)
            )
            if self.random.random() < part:
                return False
        if not self._free_slots():
            return False
        self.busy_until_s.append(self.now_s + HOLD_S)
        meter.record_taken(SERVICE, workspace, HOLD_S, self.now_s)
        if self.now_s >= WARM_UP_S:
            self.served[workspace] += 1
        return True

    def _free_slots(self) -> int:
        begin_s, end_s = self.away_s
        if begin_s <= self.now_s < end_s:
            return 0
        return self.slots - len(self.busy_until_s)

    def _is_cut(self, relay: int) -> bool:
        return relay < self.cut and self.now_s >= WARM_UP_S / 2

    def _tell(self) -> None:
        for sender, meter in enumerate(self.meters):
            uses = largest(meter.uses(self.now_s))
            for receiver, fleet in enumerate(self.fleets):
                cut = self._is_cut(sender) or self._is_cut(receiver)
                if sender != receiver and not cut:
                    fleet.record(f'relay-{sender}', uses, self.now_s)
        for relay, fleet in enumerate(self.fleets):
            if not self._is_cut(relay):
                fleet.remove_expired(self.now_s)
