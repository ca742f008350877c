"""Picks the upstream for a request."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from itertools import chain
from random import Random
from typing import NamedTuple, final

from bramleylug.configuration.document import Document
from bramleylug.outcomes import NotRun, Reason
from bramleylug.routing.fleet import Candidate, EntryLocation, Fleet
from bramleylug.routing.loads import LoadTracker, ZoneRamp
from bramleylug.routing.rendezvous import rank
from bramleylug.wire.membership_pb2 import Member

RETRY_AFTER_S = 1.0
PROBE_INTERVAL_S = 0.05
AFFINITY_CANDIDATES = 3
AFFINITY_HEADROOM = 1.25


class PickArgs(NamedTuple):
    """Properties of a request that the choice of an upstream depends on.

    :ivar affinity: requests with the same affinity key prefer the same
        upstream until it is overloaded; empty for no preference.
    """

    service: str
    affinity: str = ''
    workspace: str = ''


class ClusterSnapshot(NamedTuple):
    """Membership, configuration and monotonic time at one moment."""

    members: tuple[Member, ...]
    document: Document
    now_s: float


@final
@dataclass(frozen=True, slots=True)
class Selected:
    """Send the request to this agent."""

    candidate: Candidate


@final
class Picker:
    """Picks the nearest upstream with capacity, by power of two choices.

    :param location: name and location of this entry.
    :ivar loads: estimated loads of the upstreams.
    :ivar ramp: reduced limits of zones that came back into service.
    """

    def __init__(self, location: EntryLocation, random: Random) -> None:
        self.random = random
        self.fleet = Fleet(location)
        self.loads = LoadTracker()
        self.ramp = ZoneRamp()
        self.last_probe_s: dict[str, float] = {}

    def pick(
        self,
        pick_args: PickArgs,
        snapshot: ClusterSnapshot,
        attempted: Collection[str] = (),
    ) -> Selected | NotRun:
        """Pick an agent for a request, or refuse it.

        :param attempted: names of agents that must not be picked again.
        """
        if pick_args.service not in snapshot.document.services:
            return NotRun(
                Reason.unknown_service,
                f'service {pick_args.service!r} is not configured',
            )
        self.update(snapshot)
        tiers = [
            [candidate for candidate in tier if candidate.name not in attempted]
            for tier in self.fleet.tiers(pick_args.service)
        ]
        candidate = self._pick_from_tiers(tiers, pick_args, snapshot.now_s)
        if candidate is not None:
            return Selected(candidate)
        return self._refuse(tiers, pick_args, snapshot)

    def update(self, snapshot: ClusterSnapshot) -> bool:
        """Apply the current membership and configuration.

        :returns: whether the candidates were recomputed.
        """
        changed = self.fleet.update(
            snapshot.members, snapshot.document, snapshot.now_s
        )
        if changed:
            self.ramp.update(self.fleet.zones_out, snapshot.now_s)
            names = frozenset(member.name for member in snapshot.members)
            self.loads.remove_departed(names, snapshot.now_s)
            self.last_probe_s = {
                name: at_s
                for name, at_s in self.last_probe_s.items()
                if name in names
            }
        return changed

    def _pick_from_tiers(
        self,
        tiers: Sequence[Sequence[Candidate]],
        pick_args: PickArgs,
        now_s: float,
    ) -> Candidate | None:
        usable = [
            [
                candidate
                for candidate in tier
                if not self._avoidance_s(candidate, pick_args, now_s)
            ]
            for tier in tiers
        ]
        for tier in usable:
            with_capacity = [
                candidate
                for candidate in tier
                if self._load(candidate, now_s) < 1
            ]
            if with_capacity:
                return self._pick_within_tier(
                    with_capacity, pick_args.affinity, now_s
                )
        at_capacity = list(chain.from_iterable(usable))
        if at_capacity:
            return self._less_loaded_of_two(at_capacity, now_s)
        return self._probe(tiers, now_s)

    def _pick_within_tier(
        self, candidates: list[Candidate], affinity: str, now_s: float
    ) -> Candidate:
        if affinity:
            bound = self._affinity_load_bound(candidates, now_s)
            by_name = {candidate.name: candidate for candidate in candidates}
            for name in rank(affinity, by_name)[:AFFINITY_CANDIDATES]:
                if self._load(by_name[name], now_s) <= bound:
                    return by_name[name]
        return self._less_loaded_of_two(candidates, now_s)

    def _affinity_load_bound(
        self, candidates: list[Candidate], now_s: float
    ) -> float:
        loads = [self._load(candidate, now_s) for candidate in candidates]
        least_limit = min(
            self._limit(candidate, now_s) for candidate in candidates
        )
        mean = sum(loads) / len(loads)
        return AFFINITY_HEADROOM * mean + 1 / least_limit

    def _less_loaded_of_two(
        self, candidates: list[Candidate], now_s: float
    ) -> Candidate:
        pair = self.random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=self._load_at(now_s))

    def _probe(
        self, tiers: Sequence[Sequence[Candidate]], now_s: float
    ) -> Candidate | None:
        """Return an avoided agent that is due for another attempt."""
        for tier in tiers:
            for candidate in tier:
                last_probe_s = self.last_probe_s.get(
                    candidate.name, -PROBE_INTERVAL_S
                )
                if now_s - last_probe_s >= PROBE_INTERVAL_S:
                    self.last_probe_s[candidate.name] = now_s
                    return candidate
        return None

    def _avoidance_s(
        self, candidate: Candidate, pick_args: PickArgs, now_s: float
    ) -> float:
        return self.loads.avoidance_s(
            candidate.name, now_s, pick_args.workspace
        )

    def _refuse(
        self,
        tiers: Sequence[Sequence[Candidate]],
        pick_args: PickArgs,
        snapshot: ClusterSnapshot,
    ) -> NotRun:
        waits = [
            self._avoidance_s(candidate, pick_args, snapshot.now_s)
            for tier in tiers
            for candidate in tier
        ]
        if waits:
            return NotRun(
                Reason.overloaded, 'every upstream is at its limit', min(waits)
            )
        return NotRun(Reason.no_upstream, 'no upstream is ready', RETRY_AFTER_S)

    def _load_at(self, now_s: float) -> Callable[[Candidate], float]:
        return lambda candidate: self._load(candidate, now_s)

    def _load(self, candidate: Candidate, now_s: float) -> float:
        share = self.ramp.share(candidate.zone, now_s)
        limit = max(1, self._limit(candidate, now_s) * share)
        return self.loads.estimate(candidate.name, now_s) / limit

    def _limit(self, candidate: Candidate, now_s: float) -> int:
        return self.loads.limit(candidate.name, candidate.limit, now_s)
