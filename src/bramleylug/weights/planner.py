"""Plans a transfer: which chunk to fetch next, from a peer or the origin."""

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
    first_from,
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
from bramleylug.weights.sources import (
    accepts_fetch,
    choose_source,
    chunks_being_read,
    held_by_any,
    hosts_that_know,
)
from bramleylug.weights.take_over import TakeOver, are_stalled

NEIGHBOURS_LIMIT = 16
MIN_KNOWN_NEIGHBOURS = 3


@final
class Planner:
    """Plans the transfer of one version to one host.

    Every chunk has homes in each region: hosts that bring it into the
    region, from the origin or from another region, so that it crosses the
    region's border once. Everyone else fetches from peers of the region,
    the rarest chunk first (Cohen, *Incentives Build Robustness in
    BitTorrent*, 2003). The planner neither reads clocks nor does input or
    output: events are recorded, and :meth:`plan` returns what to do.

    Sets of chunks are integers as in :mod:`~bramleylug.weights.chunk_sets`.

    :param name: name of this host's agent or loader.
    :param random: chooses among equally good peers and chunks.
    :ivar count: chunks of the version.
    :ivar held: set of the verified chunks.
    :ivar home_bytes: bytes received of chunks that this host fetches as
        their home.
    :ivar home_staged_bytes: the same, up to the last chunk that was
        verified.
    :ivar neighbours: peers of the region whose holdings are exchanged
        regularly.
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
        self.origin = OriginReads(random, limits)
        self.peers: dict[str, Peer] = {}
        self.neighbours: frozenset[str] = frozenset()
        self.fetches = InFlightFetches(limits)
        self.exchange = HoldingsExchange()
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
        others = {**regions}
        others.pop(self.name, None)
        if others.keys() != self.peers.keys():
            self._replace_peers(others, now_s)
        self.homes.replace_hosts(
            regions
            if self.limits.silent_s is None
            else hosts_that_know(
                self.peers.values(), self.limits.silent_s, now_s
            )
        )

    def update_holdings(
        self, name: str, holdings: Holdings | None, now_s: float
    ) -> None:
        """Record what a peer holds; ``None`` when it did not answer."""
        self.exchange.running.discard(name)
        peer = self.peers.get(name)
        if peer is None:
            return
        if holdings is None:
            peer.record_failure(FailureReason.unreachable, 0, now_s)
        else:
            peer.update(holdings, now_s)
            if self.origin.record_heard(holdings.origin_heard_s, now_s):
                self._forgive_delays(now_s)

    def record_progress(
        self, index: int, piece_bytes: int, now_s: float
    ) -> None:
        """Record that bytes of a chunk arrived; its fetch has not stalled."""
        active = self.fetches.running.get(index)
        if active is not None:
            active.progress_s = now_s
            if isinstance(active.fetch, FromOrigin):
                if self.origin.record_bytes(now_s):
                    self._forgive_delays(now_s)
            if active.as_home:
                self.home_bytes += piece_bytes

    def record_chunk(self, index: int) -> None:
        """Record that a verified chunk is held."""
        self.held |= 1 << index
        active = self._remove_fetch(index)
        if active is not None:
            if active.as_home:
                self.home_staged_bytes = self.home_bytes
            match active.fetch:
                case FromOrigin():
                    self.origin.record_success(index)
                case FromPeer(peer=name) if name in self.peers:
                    self.peers[name].record_success()

    def record_failure(
        self, index: int, reason: FailureReason, now_s: float
    ) -> None:
        """Record that a fetch ended without a valid chunk."""
        active = self._remove_fetch(index)
        if active is None:
            return
        match active.fetch:
            case FromOrigin():
                self._record_origin_failure(active, reason, now_s)
            case FromPeer(peer=name) if name in self.peers:
                self.peers[name].record_failure(reason, index, now_s)

    def plan(self, now_s: float) -> list[Action]:
        """Return the fetches and exchanges to start and fetches to cancel."""
        actions: list[Action] = list(self.reports)
        self.reports.clear()
        region_chunks = held_by_any(self._region_peers(now_s))
        stalled = self.fetches.collect_stalled(
            now_s, region_chunks, self.origin
        )
        actions.extend(map(CancelFetch, stalled))
        if self.done:
            return actions
        actions.extend(self._plan_home_fetches(now_s))
        actions.extend(self._plan_peer_fetches(now_s))
        actions.extend(
            self.exchange.choose(
                self._exchange_peers(),
                now_s,
                starved=self.fetches.has_capacity,
                home_bytes=self.home_staged_bytes,
            )
        )
        return actions

    def _replace_peers(self, regions: Mapping[str, str], now_s: float) -> None:
        for removed in self.peers.keys() - regions.keys():
            self.peers.pop(removed)
            self.exchange.running.discard(removed)
        for name, region in regions.items():
            if name not in self.peers:
                self.peers[name] = Peer(
                    name, region, now_s, now_s, limits=self.limits
                )
        names = [
            peer.name
            for peer in self.peers.values()
            if peer.region == self.region
        ]
        self.neighbours = frozenset(rank(self.name, names)[:NEIGHBOURS_LIMIT])

    def _remove_fetch(self, index: int) -> InFlightFetch | None:
        active = self.fetches.end(index)
        if active is None:
            return None
        match active.fetch:
            case FromOrigin():
                self.origin.in_flight -= 1
            case FromPeer(peer=name) if name in self.peers:
                self.peers[name].in_flight -= 1
        return active

    def _record_origin_failure(
        self, active: InFlightFetch, reason: FailureReason, now_s: float
    ) -> None:
        index = active.fetch.index
        if self.origin.record_failure(reason, index, now_s, active.started_s):
            self.reports.append(ReportCorruptOrigin(index))
        if reason is not FailureReason.corrupt:
            # Other homes stall for the same reason: they get time to retry
            # before anyone takes over from them.
            retry_until_s = now_s + self.limits.origin_backoff_max_s
            for peer in self.peers.values():
                peer.home_progress_s = max(peer.home_progress_s, retry_until_s)

    def _forgive_delays(self, now_s: float) -> None:
        """Count delays of homes from now on: the origin was away."""
        self.take_over.restart(now_s)
        for peer in self.peers.values():
            peer.home_progress_s = max(peer.home_progress_s, now_s)

    def _start(self, fetch: Fetch, now_s: float, *, as_home: bool) -> Fetch:
        self.fetches.start(fetch, now_s, as_home=as_home)
        match fetch:
            case FromOrigin():
                self.origin.in_flight += 1
            case FromPeer(peer=name):
                self.peers[name].in_flight += 1
        return fetch

    def _missing(self) -> int:
        return all_chunks(self.count) & ~self.held & ~self.fetches.chunks

    def _plan_home_fetches(self, now_s: float) -> Iterable[Fetch]:
        if not self._knows_neighbours(now_s):
            return
        holders = [
            peer for peer in self.peers.values() if peer.serves_soon(now_s)
        ]
        known = held_by_any(holders) | self.held
        region_chunks = self.held | held_by_any(
            peer for peer in holders if peer.region == self.region
        )
        needed = [
            index
            for index in self.homes.home_ranks
            if not region_chunks >> index & 1
        ]
        self.take_over.record_own_pace(needed, self.homes, now_s)
        for index in sorted(needed):
            if not self.fetches.has_capacity or not self.take_over.is_open(
                index, known.bit_count(), self.count, now_s
            ):
                return
            if index in self.fetches.running or not self._is_due(index, now_s):
                continue
            fetch = self._home_fetch(index, now_s)
            if fetch is not None:
                yield self._start(fetch, now_s, as_home=True)

    def _knows_neighbours(self, now_s: float) -> bool:
        """Return whether the holdings of enough neighbours are known.

        Without them, a host that joins late would read from the origin what
        its neighbours already hold. After a time limit it reads anyway.
        """
        known = sum(self.peers[name].holdings_known for name in self.neighbours)
        return known >= min(MIN_KNOWN_NEIGHBOURS, len(self.neighbours)) or (
            now_s - self.take_over.started_s >= self.limits.first_exchange_s
        )

    def _is_due(self, index: int, now_s: float) -> bool:
        """Return whether this host may fetch a chunk as its home now.

        The first home always may; the others when those that rank before
        them are stalled or late.
        """
        home_rank = self.homes.home_ranks[index]
        if not home_rank:
            return True
        if self._origin_may_be_down(now_s):
            return False
        homes = [
            self.peers[home]
            for home in self.homes.local_homes(index)[:home_rank]
            if home in self.peers
        ]
        return self.take_over.is_due(index, homes, self.homes, now_s)

    def _origin_may_be_down(self, now_s: float) -> bool:
        """Return whether homes may be stalled because of the origin."""
        return not self.origin.is_available(now_s) or (
            self.fetches.origin_is_unresponsive(
                now_s, self.limits.take_over_s / 2
            )
        )

    def _home_fetch(self, index: int, now_s: float) -> Fetch | None:
        """Return the fetch that brings a chunk into this region.

        A chunk is read from the origin in its lead region only. Homes of the
        other regions fetch it from the lead region's homes, and read the
        origin themselves when those are stalled.

        :returns: ``None`` when no source may be used now.
        """
        if self.homes.lead_region(index) != self.region:
            homes = [
                self.peers[home]
                for home in self.homes.lead_homes(index)
                if home in self.peers
            ]
            holders = [
                peer
                for peer in self.peers.values()
                if peer.chunks >> index & 1 and peer.serves_soon(now_s)
            ]
            sources = [peer for peer in holders if accepts_fetch(peer, now_s)]
            near = [peer for peer in homes if peer in sources] or sources
            if near:
                source = choose_source(near, index, self.random)
                return FromPeer(index, source.name)
            if holders:
                return None
            limit_s = self.limits.region_take_over_s
            limit_s += self.homes.home_ranks[index] * self.limits.take_over_s
            if not are_stalled(homes, limit_s, now_s):
                return None
        if (
            chunks_being_read(self.peers.values(), self.limits, now_s) >> index
            & 1
        ):
            return None
        return FromOrigin(index) if self.origin.may_read(index, now_s) else None

    def _region_peers(self, now_s: float) -> list[Peer]:
        return [
            peer
            for peer in self.peers.values()
            if peer.chunks
            and peer.region == self.region
            and peer.avoid_until_s <= now_s
        ]

    def _plan_peer_fetches(self, now_s: float) -> Iterable[FromPeer]:
        peers = self._region_peers(now_s)
        planes = count_copies(peer.chunks for peer in peers)
        while self.fetches.has_peer_capacity:
            sources = [peer for peer in peers if accepts_fetch(peer, now_s)]
            offered = held_by_any(sources) & self._missing()
            if not offered:
                return
            offset = self.random.randrange(self.count)
            index = first_from(rarest(offered, planes), offset)
            source = choose_source(sources, index, self.random)
            fetch = FromPeer(index, source.name)
            self._start(fetch, now_s, as_home=False)
            yield fetch

    def _exchange_peers(self) -> list[Peer]:
        """Return the neighbours and the homes that bring missing chunks."""
        names = set(self.neighbours)
        missing = self._missing()
        for index, home_rank in self.homes.home_ranks.items():
            if not missing >> index & 1:
                continue
            names.update(self.homes.local_homes(index)[:home_rank])
            if self.homes.lead_region(index) != self.region:
                names.update(self.homes.lead_homes(index)[:2])
        return [
            self.peers[name] for name in sorted(names) if name in self.peers
        ]
