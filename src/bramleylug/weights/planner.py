"""Which chunk to fetch next, and from where."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random
from typing import final

from bramleylug.routing.rendezvous import rank
from bramleylug.weights.chunk_sets import (
    count_copies,
    pick,
    rarest,
    whole,
)
from bramleylug.weights.homes import Homes
from bramleylug.weights.manifest import Manifest
from bramleylug.weights.origin_reads import OriginReads
from bramleylug.weights.peers import Fault, Holdings, Peer

TAKE_OVER_S = 4.0
REGION_TAKE_OVER_S = 10.0
STALL_S = 5.0
FIRST_ASK_S = 1.0
NEIGHBOURS = 16
FIRST_HEARD = 3
ASKS_AT_ONCE = 2
ASKS_INTERVAL_S = 0.1
FETCHES_PER_PEER = 2
FETCHES_BESIDE_DUTIES = 2
PARALLEL_FETCHES = 6


@final
@dataclass(frozen=True, slots=True)
class FromOrigin:
    """Fetch a chunk from the origin."""

    index: int


@final
@dataclass(frozen=True, slots=True)
class FromPeer:
    """Fetch a chunk from a peer."""

    index: int
    peer: str


@final
@dataclass(frozen=True, slots=True)
class AskHoldings:
    """Ask a peer what it holds."""

    peer: str


@final
@dataclass(frozen=True, slots=True)
class Abandon:
    """Cancel a fetch that makes no progress; its failure is still fed in."""

    index: int


@final
@dataclass(frozen=True, slots=True)
class ReportBadOrigin:
    """Tell operators that the origin serves a corrupt chunk."""

    index: int


Fetch = FromOrigin | FromPeer
Action = Fetch | AskHoldings | Abandon | ReportBadOrigin


@final
@dataclass(slots=True)
class Flight:
    """One fetch that has not ended.

    :ivar duty: whether it brings the chunk into this region.
    """

    fetch: Fetch
    duty: bool
    progress_s: float
    abandoned: bool = False


@final
class Planner:
    """Plans the transfer of one version to one host.

    Homes bring each chunk into their region once, everyone else fetches
    the rarest chunk from peers of the region (rarest first as in Cohen,
    *Incentives Build Robustness in BitTorrent*, 2003).

    :param name: name of this host's agent.
    :param random: spreads choices among equals.
    :ivar held: set of the verified chunks.
    """

    def __init__(
        self,
        name: str,
        region: str,
        manifest: Manifest,
        random: Random,
        now_s: float,
    ) -> None:
        self.name = name
        self.region = region
        self.random = random
        self.count = len(manifest.chunk_hashes)
        self.homes = Homes(manifest.chunk_hashes, name, region)
        self.homes.set_hosts({})
        self.origin = OriginReads()
        self.peers: dict[str, Peer] = {}
        self.neighbours: frozenset[str] = frozenset()
        self.flights: dict[int, Flight] = {}
        self.asks: set[str] = set()
        self.held = 0
        self.duty_bytes = 0
        self.duty_staged_bytes = 0
        self.started_s = now_s
        self.next_asks_s = now_s
        self.reports: list[ReportBadOrigin] = []

    @property
    def done(self) -> bool:
        """Whether every chunk is held."""
        return self.held == whole(self.count)

    def set_peers(self, regions: Mapping[str, str], now_s: float) -> None:
        """Replace the peers that want or hold the version.

        :param regions: region of each peer by its name.
        """
        if not self.homes.set_hosts(regions):
            return
        for gone in self.peers.keys() - regions.keys():
            self.peers.pop(gone)
            self.asks.discard(gone)
        for name, region in regions.items():
            if name not in self.peers and name != self.name:
                self.peers[name] = Peer(name, region, now_s)
        near = [
            peer.name
            for peer in self.peers.values()
            if peer.region == self.region
        ]
        self.neighbours = frozenset(rank(self.name, near)[:NEIGHBOURS])

    def hear(
        self, name: str, holdings: Holdings | None, now_s: float
    ) -> None:
        """Take in a peer's holdings, ``None`` when it did not answer."""
        self.asks.discard(name)
        peer = self.peers.get(name)
        if peer is None:
            return
        if holdings is None:
            peer.fail(Fault.unreachable, 0, now_s)
        else:
            peer.hear(holdings, now_s)

    def progress(self, index: int, piece_bytes: int, now_s: float) -> None:
        """Note that a piece of a chunk arrived."""
        flight = self.flights.get(index)
        if flight is not None:
            flight.progress_s = now_s
            if flight.duty:
                self.duty_bytes += piece_bytes

    def excuse(self, now_s: float) -> None:
        """Note that this host itself holds its fetches back."""
        for flight in self.flights.values():
            flight.progress_s = now_s

    def receive(self, index: int) -> None:
        """Note that a verified chunk is held."""
        self.held |= 1 << index
        flight = self._end(index)
        if flight is not None:
            if flight.duty:
                self.duty_staged_bytes = self.duty_bytes
            match flight.fetch:
                case FromOrigin():
                    self.origin.succeed(index)
                case FromPeer(peer=name) if name in self.peers:
                    self.peers[name].succeed()

    def fail(self, index: int, fault: Fault, now_s: float) -> None:
        """Note that a fetch ended without a sound chunk."""
        flight = self._end(index)
        if flight is None:
            return
        match flight.fetch:
            case FromOrigin():
                if self.origin.fail(fault, index, now_s):
                    self.reports.append(ReportBadOrigin(index))
            case FromPeer(peer=name) if name in self.peers:
                self.peers[name].fail(fault, index, now_s)

    def plan(self, now_s: float) -> list[Action]:
        """Return what to start and to cancel now."""
        actions: list[Action] = [*self.reports]
        self.reports = []
        actions.extend(self._abandon(now_s))
        if self.done:
            return actions
        fetches = [*self._plan_duties(now_s), *self._plan_swarm(now_s)]
        starved = len(self.flights) < PARALLEL_FETCHES
        return [*actions, *fetches, *self._plan_asks(now_s, starved=starved)]

    def _end(self, index: int) -> Flight | None:
        flight = self.flights.pop(index, None)
        if flight is None:
            return None
        match flight.fetch:
            case FromOrigin():
                self.origin.in_flight -= 1
            case FromPeer(peer=name) if name in self.peers:
                self.peers[name].in_flight -= 1
        return flight

    def _start(self, fetch: Fetch, now_s: float, *, duty: bool) -> Fetch:
        self.flights[fetch.index] = Flight(fetch, duty, now_s)
        match fetch:
            case FromOrigin():
                self.origin.in_flight += 1
            case FromPeer(peer=name):
                self.peers[name].in_flight += 1
        return fetch

    def _abandon(self, now_s: float) -> list[Abandon]:
        stalled = []
        for index, flight in self.flights.items():
            late = now_s - flight.progress_s >= STALL_S
            if late and not flight.abandoned:
                flight.abandoned = True
                stalled.append(Abandon(index))
        return stalled

    def _missing(self) -> int:
        flying = 0
        for index in self.flights:
            flying |= 1 << index
        return whole(self.count) & ~self.held & ~flying

    def _has_room(self) -> bool:
        return len(self.flights) < PARALLEL_FETCHES

    def _has_swarm_room(self) -> bool:
        """Tell whether a fetch from peers may start beside the duties."""
        if any(flight.duty for flight in self.flights.values()):
            beside = sum(not flight.duty for flight in self.flights.values())
            return self._has_room() and beside < FETCHES_BESIDE_DUTIES
        return self._has_room()

    def _plan_duties(self, now_s: float) -> Iterable[Fetch]:
        missing = self._missing()
        heard = sum(self.peers[name].heard for name in self.neighbours)
        enough = heard >= min(FIRST_HEARD, len(self.neighbours))
        if not enough and now_s - self.started_s < FIRST_ASK_S:
            return
        near = 0
        for peer in self._near_peers(now_s):
            near |= peer.chunks
        duties = [index for index in self.homes.duties if missing >> index & 1]
        self.random.shuffle(duties)
        for index in duties:
            if not self._has_room():
                return
            if near >> index & 1 or not self._is_due(index, now_s):
                continue
            fetch = self._bring(index, now_s)
            if fetch is not None:
                yield self._start(fetch, now_s, duty=True)

    def _is_due(self, index: int, now_s: float) -> bool:
        place = self.homes.duties[index]
        if not place:
            return True
        if not self._origin_progresses(now_s):
            return False
        limit_s = place * TAKE_OVER_S
        homes = self.homes.local_homes(index)[:place]
        return all(
            now_s - self.peers[home].duty_s >= limit_s
            for home in homes
            if home in self.peers
        )

    def _origin_progresses(self, now_s: float) -> bool:
        """Tell whether a quiet home may be blamed and not the origin."""
        return self.origin.answers(now_s) and not any(
            isinstance(flight.fetch, FromOrigin)
            and now_s - flight.progress_s >= TAKE_OVER_S / 2
            for flight in self.flights.values()
        )

    def _bring(self, index: int, now_s: float) -> Fetch | None:
        if self.homes.lead(index) != self.region:
            leads = [
                self.peers[home]
                for home in self.homes.lead_homes(index)
                if home in self.peers
            ]
            for peer in leads:
                if peer.chunks >> index & 1 and self._is_free(peer, now_s):
                    return FromPeer(index, peer.name)
            if any(
                now_s - peer.duty_s < REGION_TAKE_OVER_S for peer in leads
            ):
                return None
        return (
            FromOrigin(index) if self.origin.may_read(index, now_s) else None
        )

    def _is_free(self, peer: Peer, now_s: float) -> bool:
        return (
            peer.avoid_until_s <= now_s and peer.in_flight < FETCHES_PER_PEER
        )

    def _near_peers(self, now_s: float) -> list[Peer]:
        return [
            peer
            for peer in self.peers.values()
            if peer.chunks
            and peer.region == self.region
            and peer.avoid_until_s <= now_s
        ]

    def _plan_swarm(self, now_s: float) -> Iterable[FromPeer]:
        near = self._near_peers(now_s)
        planes = count_copies(peer.chunks for peer in near)
        while self._has_swarm_room():
            sources = [peer for peer in near if self._is_free(peer, now_s)]
            offered = 0
            for peer in sources:
                offered |= peer.chunks
            offered &= self._missing()
            if not offered:
                return
            offset = self.random.randrange(self.count)
            index = pick(rarest(offered, planes), offset)
            fetch = FromPeer(index, self._choose(sources, index).name)
            self._start(fetch, now_s, duty=False)
            yield fetch

    def _choose(self, sources: list[Peer], index: int) -> Peer:
        holders = [peer for peer in sources if peer.chunks >> index & 1]
        return max(
            holders,
            key=lambda peer: (
                min(peer.free_upload_slots, 2),
                self.random.random(),
            ),
        )

    def _plan_asks(
        self, now_s: float, *, starved: bool
    ) -> Iterable[AskHoldings]:
        if len(self.asks) >= ASKS_AT_ONCE or now_s < self.next_asks_s:
            return
        self.next_asks_s = now_s + ASKS_INTERVAL_S
        useful = [
            peer
            for peer in self._watched()
            if peer.name not in self.asks
            and peer.may_be_asked(
                now_s, starved=starved, duty_bytes=self.duty_staged_bytes
            )
        ]
        useful.sort(key=lambda peer: peer.asked_s)
        for peer in useful[: ASKS_AT_ONCE - len(self.asks)]:
            peer.asked_s = now_s
            peer.told_duty_bytes = self.duty_staged_bytes
            self.asks.add(peer.name)
            yield AskHoldings(peer.name)

    def _watched(self) -> list[Peer]:
        names = set(self.neighbours)
        missing = self._missing()
        for index, place in self.homes.duties.items():
            if not missing >> index & 1:
                continue
            names.update(self.homes.local_homes(index)[:place])
            if self.homes.lead(index) != self.region:
                names.update(self.homes.lead_homes(index)[:2])
        return [self.peers[name] for name in names if name in self.peers]
