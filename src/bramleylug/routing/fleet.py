"""Candidate upstreams of one entry, recomputed when the cluster changes."""

import math
from collections import defaultdict
from collections.abc import Collection, Mapping
from typing import NamedTuple, final

from bramleylug.configuration.document import Document
from bramleylug.routing.subset import SUBSET_SIZE, SubsetCache
from bramleylug.wire.membership_pb2 import Member

AGENT_ROLE = 'agent'
ENTRY_ROLE = 'entry'
SPILLOVER_SUBSET_SIZE = 6
SMALL_FLEET_MEMBERS = 100
ARRANGE_INTERVAL_S = 1.0


class Candidate(NamedTuple):
    """An agent that may be sent a request.

    :ivar limit: concurrency limit in its membership record.
    """

    name: str
    address: str
    zone: str
    region: str
    limit: int


class EntryLocation(NamedTuple):
    """Name and location of this entry."""

    name: str
    zone: str
    region: str


Tiers = tuple[tuple[Candidate, ...], ...]


@final
class Fleet:
    """Candidates by service, in tiers by distance.

    The tiers are the entry's own zone, the rest of its region, and other
    regions. Of each zone only a subset of the agents is used.

    :ivar location: name and location of this entry.
    :ivar zones_out: zones that operators have taken out of service.
    :ivar entries: names of all entries.
    :ivar zone_entries: names of the entries in the zone of this one.
    """

    def __init__(self, location: EntryLocation) -> None:
        self.location = location
        self.members: tuple[Member, ...] = ()
        self.document = Document()
        self.zones_out: frozenset[str] = frozenset()
        self.tiers_by_service: Mapping[str, Tiers] = {}
        self.entries: frozenset[str] = frozenset()
        self.zone_entries: frozenset[str] = frozenset()
        self.last_arranged_s = -math.inf
        self.cache = SubsetCache(location.name)

    def update(
        self, members: tuple[Member, ...], document: Document, now_s: float
    ) -> bool:
        """Recompute the candidates; cheap when nothing has changed.

        In a large fleet members change all the time: a change of members
        without a change of the document is applied at most once every
        :data:`ARRANGE_INTERVAL_S`.

        :returns: whether the candidates were recomputed.
        """
        if document is self.document and not self._is_due(members, now_s):
            return False
        self.last_arranged_s = now_s
        self.members = members
        self.document = document
        self.zones_out = frozenset(
            zone for zone, state in document.zones.items() if state == 'out'
        )
        self.tiers_by_service = self._build_tiers()
        return True

    def tiers(self, service: str) -> Tiers:
        """Return the candidates of a service, the nearest tier first."""
        return self.tiers_by_service.get(service, ())

    def serves(self, service: str) -> bool:
        """Return whether any upstream is ready for a service."""
        return any(self.tiers(service))

    def addresses(self) -> frozenset[str]:
        """Return the gRPC address of every member."""
        return frozenset(member.grpc_address for member in self.members)

    def _is_due(self, members: tuple[Member, ...], now_s: float) -> bool:
        if members is self.members or (
            len(members) > SMALL_FLEET_MEMBERS
            and now_s - self.last_arranged_s < ARRANGE_INTERVAL_S
        ):
            return False
        return members != self.members

    def _build_tiers(self) -> dict[str, Tiers]:
        self.entries = self._entries('')
        self.zone_entries = self._entries(self.location.zone)
        found: dict[str, dict[str, list[Candidate]]] = defaultdict(
            lambda: defaultdict(list)
        )
        for member in self.members:
            if not self._accepts_requests(member):
                continue
            for state in member.services:
                if state.ready:
                    found[state.service][member.zone].append(
                        _candidate(member, state.limit)
                    )
        return {service: self._tiers(zones) for service, zones in found.items()}

    def _accepts_requests(self, member: Member) -> bool:
        return (
            member.role == AGENT_ROLE
            and not member.draining
            and member.zone not in self.zones_out
        )

    def _tiers(self, zones: Mapping[str, Collection[Candidate]]) -> Tiers:
        tiers: tuple[list[Candidate], ...] = ([], [], [])
        for zone in sorted(zones):
            for candidate in self._subset(zone, zones[zone]):
                tiers[self._distance(candidate)].append(candidate)
        return tuple(tuple(tier) for tier in tiers)

    def _subset(
        self, zone: str, candidates: Collection[Candidate]
    ) -> list[Candidate]:
        own_zone = zone == self.location.zone
        subset = self.cache.get(
            self.zone_entries if own_zone else self.entries,
            frozenset(candidate.name for candidate in candidates),
            SUBSET_SIZE if own_zone else SPILLOVER_SUBSET_SIZE,
        )
        return [
            candidate for candidate in candidates if candidate.name in subset
        ]

    def _entries(self, zone: str) -> frozenset[str]:
        return frozenset(
            member.name
            for member in self.members
            if member.role == ENTRY_ROLE and zone in {'', member.zone}
        )

    def _distance(self, candidate: Candidate) -> int:
        if candidate.zone == self.location.zone:
            return 0
        return 1 if candidate.region == self.location.region else 2


def _candidate(member: Member, limit: int) -> Candidate:
    return Candidate(
        member.name, member.grpc_address, member.zone, member.region, limit
    )
