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

RETRY_SOON_S = 1.0
PROBE_INTERVAL_S = 0.05
AFFINITY_TRIES = 3
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
class Chosen:
    """Send the request to this agent."""

    candidate: Candidate


@final
class Picker:
    """Chooses an upstream: near, with room, the better of two by load.

    :param place: where this entry stands.
    :ivar loads: what is known of the upstreams' load.
    """

    def __init__(self, place: EntryLocation, random: Random) -> None:
        self.random = random
        self.fleet = Fleet(place)
        self.loads = LoadTracker()
        self.ramp = ZoneRamp()
        self.probed_s: dict[str, float] = {}

    def choose(
        self,
        wanted: PickArgs,
        view: ClusterSnapshot,
        tried: Collection[str] = (),
    ) -> Chosen | NotRun:
        """Choose an agent that was not tried yet."""
        if wanted.service not in view.document.services:
            return NotRun(
                Reason.unknown_service, f'no service {wanted.service!r}'
            )
        self.observe(view)
        tiers = [
            [candidate for candidate in tier if candidate.name not in tried]
            for tier in self.fleet.tiers(wanted.service)
        ]
        candidate = self._choose_from(tiers, wanted, view.now_s)
        if candidate is not None:
            return Chosen(candidate)
        return self._refuse(tiers, wanted, view)

    def observe(self, view: ClusterSnapshot) -> bool:
        """Take in the view.

        :returns: whether members or configuration differ from before.
        """
        changed = self.fleet.observe(view.members, view.document, view.now_s)
        if changed:
            self.ramp.observe(self.fleet.zones_out, view.now_s)
            names = frozenset(member.name for member in view.members)
            self.loads.forget(names, view.now_s)
        return changed

    def _choose_from(
        self,
        tiers: Sequence[Sequence[Candidate]],
        wanted: PickArgs,
        now_s: float,
    ) -> Candidate | None:
        usable = [
            [
                candidate
                for candidate in tier
                if not self._avoided_s(candidate, wanted, now_s)
            ]
            for tier in tiers
        ]
        for tier in usable:
            roomy = [
                candidate
                for candidate in tier
                if self._load(candidate, now_s) < 1
            ]
            if roomy:
                return self._choose_within(roomy, wanted.affinity, now_s)
        full = list(chain.from_iterable(usable))
        if full:
            return self._better_of_two(full, now_s)
        return self._probe(tiers, now_s)

    def _choose_within(
        self, candidates: list[Candidate], affinity: str, now_s: float
    ) -> Candidate:
        if affinity:
            bound = self._affinity_bound(candidates, now_s)
            by_name = {candidate.name: candidate for candidate in candidates}
            for name in rank(affinity, by_name)[:AFFINITY_TRIES]:
                if self._load(by_name[name], now_s) <= bound:
                    return by_name[name]
        return self._better_of_two(candidates, now_s)

    def _affinity_bound(
        self, candidates: list[Candidate], now_s: float
    ) -> float:
        loads = [self._load(candidate, now_s) for candidate in candidates]
        least_limit = min(
            self._limit(candidate, now_s) for candidate in candidates
        )
        mean = sum(loads) / len(loads)
        return AFFINITY_HEADROOM * mean + 1 / least_limit

    def _better_of_two(
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
                probed_s = self.probed_s.get(candidate.name, -PROBE_INTERVAL_S)
                if now_s - probed_s >= PROBE_INTERVAL_S:
                    self.probed_s[candidate.name] = now_s
                    return candidate
        return None

    def _avoided_s(
        self, candidate: Candidate, wanted: PickArgs, now_s: float
    ) -> float:
        return self.loads.avoided_for_s(candidate.name, now_s, wanted.workspace)

    def _refuse(
        self,
        tiers: Sequence[Sequence[Candidate]],
        wanted: PickArgs,
        view: ClusterSnapshot,
    ) -> NotRun:
        waits = [
            self._avoided_s(candidate, wanted, view.now_s)
            for tier in tiers
            for candidate in tier
        ]
        if waits:
            return NotRun(
                Reason.overloaded, 'every upstream is full', min(waits)
            )
        return NotRun(Reason.no_upstream, 'no upstream is ready', RETRY_SOON_S)

    def _load_at(self, now_s: float) -> Callable[[Candidate], float]:
        return lambda candidate: self._load(candidate, now_s)

    def _load(self, candidate: Candidate, now_s: float) -> float:
        share = self.ramp.share(candidate.zone, now_s)
        limit = max(1, self._limit(candidate, now_s) * share)
        return self.loads.estimate(candidate.name, now_s) / limit

    def _limit(self, candidate: Candidate, now_s: float) -> int:
        return self.loads.limit(candidate.name, candidate.limit, now_s)
