"""Which chunk to fetch next, and from where."""

from collections.abc import Iterable, Mapping
from random import Random
from typing import final

from bramleylug.routing.rendezvous import rank
from bramleylug.weights.actions import (
    Action,
    CancelFetch,
    ReportCorruptOrigin,
)
from bramleylug.weights.chunk_sets import (
    all_chunks,
    count_copies,
    pick,
    rarest,
)
from bramleylug.weights.holdings_exchange import HoldingsExchange
from bramleylug.weights.homes import Homes
from bramleylug.weights.in_flight import (
    Fetch,
    FromOrigin,
    FromPeer,
    InFlightFetch,
    InFlightFetches,
)
from bramleylug.weights.limits import DEFAULT_LIMITS, TransferLimits
from bramleylug.weights.manifest import Manifest
from bramleylug.weights.origin_reads import OriginReads
from bramleylug.weights.peers import FailureReason, Holdings, Peer
from bramleylug.weights.sources import choose_source, held_by_any, is_free
from bramleylug.weights.take_over import TakeOver, are_quiet

NEIGHBOURS = 16
FIRST_HEARD = 3


@final
class Planner:
    """Plans the transfer of one version to one host.

    Homes bring each chunk into their region once, everyone else fetches
    the rarest chunk from peers of the region (rarest first as in Cohen,
    *Incentives Build Robustness in BitTorrent*, 2003).

    :param name: name of this host's agent.
    :param random: spreads choices among equals.
    :param limits: times and bounds.
    :ivar held: set of the verified chunks.
    """

    def __init__(
        self,
        name: str,
        region: str,
        manifest: Manifest,
        random: Random,
        now_s: float,
        limits: TransferLimits = DEFAULT_LIMITS,
    ) -> None:
        self.limits = limits
        self.name = name
        self.region = region
        self.random = random
        self.count = len(manifest.chunk_hashes)
        self.homes = Homes(manifest.chunk_hashes, name, region)
        self.homes.replace_hosts({})
        self.origin = OriginReads(limits)
        self.peers: dict[str, Peer] = {}
        self.neighbours: frozenset[str] = frozenset()
        self.flights = InFlightFetches(limits)
        self.asks = HoldingsExchange()
        self.held = 0
        self.home_bytes = 0
        self.home_staged_bytes = 0
        self.take_over = TakeOver(now_s, limits)
        self.reports: list[ReportCorruptOrigin] = []

    @property
    def done(self) -> bool:
        """Whether every chunk is held."""
        return self.held == all_chunks(self.count)

    def replace_peers(self, regions: Mapping[str, str], now_s: float) -> None:
        """Replace the peers that want or hold the version.

        :param regions: region of each peer by its name.
        """
        if not self.homes.replace_hosts(regions):
            return
        for gone in self.peers.keys() - regions.keys():
            self.peers.pop(gone)
            self.asks.running.discard(gone)
        for name, region in regions.items():
            if name not in self.peers and name != self.name:
                self.peers[name] = Peer(name, region, now_s, limits=self.limits)
        near = [
            peer.name
            for peer in self.peers.values()
            if peer.region == self.region
        ]
        self.neighbours = frozenset(rank(self.name, near)[:NEIGHBOURS])

    def update_holdings(
        self, name: str, holdings: Holdings | None, now_s: float
    ) -> None:
        """Take in a peer's holdings, ``None`` when it did not answer."""
        self.asks.running.discard(name)
        peer = self.peers.get(name)
        if peer is None:
            return
        if holdings is None:
            peer.record_failure(FailureReason.unreachable, 0, now_s)
        else:
            peer.update(holdings, now_s)

    def record_progress(
        self, index: int, piece_bytes: int, now_s: float
    ) -> None:
        """Note that a piece of a chunk arrived."""
        flight = self.flights.running.get(index)
        if flight is not None:
            flight.progress_s = now_s
            if flight.duty:
                self.home_bytes += piece_bytes

    def record_chunk(self, index: int) -> None:
        """Note that a verified chunk is held."""
        self.held |= 1 << index
        flight = self._end(index)
        if flight is not None:
            if flight.duty:
                self.home_staged_bytes = self.home_bytes
            match flight.fetch:
                case FromOrigin():
                    self.origin.record_success(index)
                case FromPeer(peer=name) if name in self.peers:
                    self.peers[name].record_success()

    def record_failure(
        self, index: int, fault: FailureReason, now_s: float
    ) -> None:
        """Note that a fetch ended without a sound chunk."""
        flight = self._end(index)
        if flight is None:
            return
        match flight.fetch:
            case FromOrigin():
                self._fail_origin(index, fault, now_s)
            case FromPeer(peer=name) if name in self.peers:
                self.peers[name].record_failure(fault, index, now_s)

    def plan(self, now_s: float) -> list[Action]:
        """Return what to start and to cancel now."""
        actions: list[Action] = list(self.reports)
        self.reports.clear()
        near = held_by_any(self._near_peers(now_s))
        stalled = self.flights.abandon_stalled(now_s, near)
        actions.extend(map(CancelFetch, stalled))
        if self.done:
            return actions
        actions.extend(self._plan_duties(now_s))
        actions.extend(self._plan_swarm(now_s))
        actions.extend(
            self.asks.choose(
                self._watched(),
                now_s,
                starved=self.flights.has_room,
                home_bytes=self.home_staged_bytes,
            )
        )
        return actions

    def _end(self, index: int) -> InFlightFetch | None:
        flight = self.flights.end(index)
        if flight is None:
            return None
        match flight.fetch:
            case FromOrigin():
                self.origin.in_flight -= 1
            case FromPeer(peer=name) if name in self.peers:
                self.peers[name].in_flight -= 1
        return flight

    def _fail_origin(
        self, index: int, fault: FailureReason, now_s: float
    ) -> None:
        if self.origin.record_failure(fault, index, now_s):
            self.reports.append(ReportCorruptOrigin(index))
        if fault is not FailureReason.corrupt:
            # Homes are quiet because the origin is: they get time to retry.
            excused_s = now_s + self.limits.origin_backoff_max_s
            for peer in self.peers.values():
                peer.duty_s = max(peer.duty_s, excused_s)

    def _start(self, fetch: Fetch, now_s: float, *, duty: bool) -> Fetch:
        self.flights.start(fetch, now_s, duty=duty)
        match fetch:
            case FromOrigin():
                self.origin.in_flight += 1
            case FromPeer(peer=name):
                self.peers[name].in_flight += 1
        return fetch

    def _missing(self) -> int:
        return all_chunks(self.count) & ~self.held & ~self.flights.chunks

    def _plan_duties(self, now_s: float) -> Iterable[Fetch]:
        if not self._has_asked(now_s):
            return
        near = held_by_any(self._near_peers(now_s)) | self.held
        left = [index for index in self.homes.duties if not near >> index & 1]
        self.take_over.note_left(left, self.homes, now_s)
        for index in sorted(left):
            if not self.flights.has_room or not self.take_over.is_open(
                index, near.bit_count(), self.count, now_s
            ):
                return
            if index in self.flights.running or not self._is_due(index, now_s):
                continue
            fetch = self._bring(index, now_s)
            if fetch is not None:
                yield self._start(fetch, now_s, duty=True)

    def _has_asked(self, now_s: float) -> bool:
        """Tell whether this host knows what a few neighbours hold.

        A host that joins late would else read what they hold.
        """
        heard = sum(self.peers[name].heard for name in self.neighbours)
        return heard >= min(FIRST_HEARD, len(self.neighbours)) or (
            now_s - self.take_over.started_s >= self.limits.first_exchange_s
        )

    def _is_due(self, index: int, now_s: float) -> bool:
        place = self.homes.duties[index]
        if not place:
            return True
        if self._blames_origin(now_s):
            return False
        homes = [
            self.peers[home]
            for home in self.homes.local_homes(index)[:place]
            if home in self.peers
        ]
        return self.take_over.is_due(index, homes, self.homes, now_s)

    def _blames_origin(self, now_s: float) -> bool:
        """Tell whether the origin may be why homes are quiet."""
        return not self.origin.answers(now_s) or (
            self.flights.origin_is_quiet(now_s, self.limits.take_over_s / 2)
        )

    def _bring(self, index: int, now_s: float) -> Fetch | None:
        """Return how to bring a chunk into this region, if it may start."""
        if self.homes.lead(index) != self.region:
            leads = [
                self.peers[home]
                for home in self.homes.lead_homes(index)
                if home in self.peers
            ]
            for source in leads:
                if source.chunks >> index & 1 and is_free(source, now_s):
                    return FromPeer(index, source.name)
            limit_s = self.limits.region_take_over_s
            limit_s += self.homes.duties[index] * self.limits.take_over_s
            if not are_quiet(leads, limit_s, now_s):
                return None
        return FromOrigin(index) if self.origin.may_read(index, now_s) else None

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
        while self.flights.has_swarm_room:
            sources = [peer for peer in near if is_free(peer, now_s)]
            offered = held_by_any(sources) & self._missing()
            if not offered:
                return
            offset = self.random.randrange(self.count)
            index = pick(rarest(offered, planes), offset)
            source = choose_source(sources, index, self.random)
            fetch = FromPeer(index, source.name)
            self._start(fetch, now_s, duty=False)
            yield fetch

    def _watched(self) -> list[Peer]:
        names = set(self.neighbours)
        missing = self._missing()
        for index, place in self.homes.duties.items():
            if not missing >> index & 1:
                continue
            names.update(self.homes.local_homes(index)[:place])
            if self.homes.lead(index) != self.region:
                names.update(self.homes.lead_homes(index)[:2])
        return [
            self.peers[name] for name in sorted(names) if name in self.peers
        ]
