"""Choice of the upstream for one request."""

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
    """What a request asks of the choice.

    :ivar affinity: requests with the same key go to the same upstream
        while it bears them; empty for any.
    """

    service: str
    affinity: str = ''
    workspace: str = ''


class ClusterSnapshot(NamedTuple):
    """What the entry knows at one time."""

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
    """Chooses an upstream: near, with room, the better of two by load.

    :param place: where this entry stands.
    :ivar loads: what is known of the upstreams' load.
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
        """Choose an agent that was not tried yet."""
        if pick_args.service not in snapshot.document.services:
            return NotRun(
                Reason.unknown_service, f'no service {pick_args.service!r}'
            )
        self.update(snapshot)
        tiers = [
            [candidate for candidate in tier if candidate.name not in attempted]
            for tier in self.fleet.tiers(pick_args.service)
        ]
        candidate = self._choose_from(tiers, pick_args, snapshot.now_s)
        if candidate is not None:
            return Selected(candidate)
        return self._refuse(tiers, pick_args, snapshot)

    def update(self, snapshot: ClusterSnapshot) -> bool:
        """Take in the view.

        :returns: whether members or configuration differ from before.
        """
        changed = self.fleet.update(
            snapshot.members, snapshot.document, snapshot.now_s
        )
        if changed:
            self.ramp.update(self.fleet.zones_out, snapshot.now_s)
            names = frozenset(member.name for member in snapshot.members)
            self.loads.remove_departed(names, snapshot.now_s)
        return changed

    def _choose_from(
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
                return self._choose_within(
                    with_capacity, pick_args.affinity, now_s
                )
        at_capacity = list(chain.from_iterable(usable))
        if at_capacity:
            return self._less_loaded_of_two(at_capacity, now_s)
        return self._probe(tiers, now_s)

    def _choose_within(
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
        """Return an avoided agent that is due to be asked again."""
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
                Reason.overloaded, 'every upstream is full', min(waits)
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
