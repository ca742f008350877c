"""Simulated transfer of a version to several hosts, with faults."""

import operator
from random import Random

from bramleylug.weights.actions import (
    CancelFetch,
    ExchangeHoldings,
    ReportCorruptOrigin,
)
from bramleylug.weights.in_flight import Fetch, FromOrigin, FromPeer
from bramleylug.weights.peers import FailureReason, Holdings
from bramleylug.weights.planner import Planner
from testing.builders import build_manifest

TICK_S = 0.1


class VirtualBurst:
    """Transfer of one version to several hosts at once, in virtual time.

    Each host has a planner; a fetch takes one tick.

    :ivar dead: hosts that do not answer.
    :ivar slow: hosts whose reads of the origin progress but never end.
    :ivar corrupt_peers: hosts that serve corrupt chunks.
    :ivar corrupt_at_origin: chunks that the origin serves corrupt.
    :ivar origin_reads: chunks that the origin served valid, in order.
    :ivar origin_reads_per_tick: reads of the origin that end in a tick.
    :ivar region_crossings: fetches from another region, as pairs of the
        fetching region and the chunk.
    :ivar is_in_view: returns whether a host knows of another.
    :ivar unreachable_regions: pairs of regions that cannot reach each other.
    """

    def __init__(self, *, hosts=8, chunks=24, regions=1) -> None:
        self.manifest = build_manifest(chunks)
        self.regions = {
            f'host-{index}': f'region-{index % regions}'
            for index in range(hosts)
        }
        self.now_s = 0.0
        self.planners = {
            name: Planner(name, region, self.manifest, Random(name), 0)
            for name, region in self.regions.items()
        }
        self.dead = set()
        self.corrupt_peers = set()
        self.slow = set()
        self.unreachable_regions = set()
        self.corrupt_at_origin = set()
        self.origin_up = True
        self.origin_reads_per_tick = 1000
        self.origin_reads = []
        self.origin_attempts = 0
        self.region_crossings = []
        self.corrupt_fetches = []
        self.reports = []
        self.pending = []
        self.is_in_view = operator.ne

    def run(self, limit_s: float) -> bool:
        """Run until every host that is not dead holds all chunks.

        :param limit_s: virtual seconds after which to stop.
        :returns: whether they do.
        """
        end_s = self.now_s + limit_s
        while self.now_s < end_s and not self.done():
            self.tick()
        return self.done()

    def done(self) -> bool:
        """Return whether every host that is not dead holds all chunks."""
        return all(
            planner.done
            for name, planner in self.planners.items()
            if name not in self.dead
        )

    def tick(self) -> None:
        """Advance time by one tick: end fetches, then let each host plan."""
        self.now_s += TICK_S
        ended = self.pending
        self.pending = []
        reads = [
            (name, fetch)
            for name, fetch in ended
            if isinstance(fetch, FromOrigin)
        ]
        waiting = reads[self.origin_reads_per_tick :] if self.origin_up else []
        for name, fetch in ended:
            if (name, fetch) in waiting or self._is_slow(name, fetch):
                self._record_byte(name, fetch)
            else:
                self._end(name, fetch)
        for name in self.planners.keys() - self.dead:
            self._plan(name)

    def kill(self, name: str) -> None:
        self.dead.add(name)

    def _is_slow(self, name: str, fetch: Fetch) -> bool:
        return name in self.slow and isinstance(fetch, FromOrigin)

    def _record_byte(self, name: str, fetch: Fetch) -> None:
        self.pending.append((name, fetch))
        self.planners[name].record_progress(fetch.index, 1, self.now_s)

    def _plan(self, name: str) -> None:
        planner = self.planners[name]
        peers = {
            peer: region
            for peer, region in self.regions.items()
            if self.is_in_view(name, peer)
        }
        planner.replace_peers(peers, self.now_s)
        for action in planner.plan(self.now_s):
            match action:
                case FromOrigin() | FromPeer():
                    self.pending.append((name, action))
                case ExchangeHoldings(peer):
                    self._exchange(name, peer)
                case CancelFetch(index):
                    self._cancel(name, index)
                case ReportCorruptOrigin(index):
                    self.reports.append((name, index))

    def _cancel(self, name: str, index: int) -> None:
        self.pending = [
            (host, fetch)
            for host, fetch in self.pending
            if (host, fetch.index) != (name, index)
        ]
        self.planners[name].record_failure(
            index, FailureReason.stalled, self.now_s
        )

    def _exchange(self, name: str, peer: str) -> None:
        if not self._can_reach(name, peer):
            self.planners[name].update_holdings(peer, None, self.now_s)
            return
        self.planners[name].update_holdings(
            peer, self._holdings(peer), self.now_s
        )
        self.planners[peer].update_holdings(
            name, self._holdings(name), self.now_s
        )

    def _holdings(self, name: str) -> Holdings:
        planner = self.planners[name]
        return Holdings(planner.held, planner.home_bytes)

    def _can_reach(self, name: str, peer: str) -> bool:
        pair = frozenset((self.regions[name], self.regions[peer]))
        return peer not in self.dead and pair not in self.unreachable_regions

    def _end(self, name: str, fetch: Fetch) -> None:
        if name in self.dead:
            return
        planner, index = self.planners[name], fetch.index
        reason = self._failure_reason(name, fetch)
        if reason is None:
            planner.record_progress(index, 1, self.now_s)
            planner.record_chunk(index)
            return
        if reason is FailureReason.corrupt:
            self.corrupt_fetches.append((name, fetch))
        planner.record_failure(index, reason, self.now_s)

    def _failure_reason(self, name: str, fetch: Fetch) -> FailureReason | None:
        match fetch:
            case FromOrigin(index):
                return self._origin_failure(index)
            case FromPeer(index, peer):
                return self._peer_failure(name, peer, index)

    def _origin_failure(self, index: int) -> FailureReason | None:
        self.origin_attempts += 1
        if not self.origin_up:
            return FailureReason.unreachable
        if index in self.corrupt_at_origin:
            return FailureReason.corrupt
        self.origin_reads.append(index)
        return None

    def _peer_failure(
        self, name: str, peer: str, index: int
    ) -> FailureReason | None:
        if not self._can_reach(name, peer):
            return FailureReason.unreachable
        if not self.planners[peer].held >> index & 1:
            return FailureReason.not_held
        if peer in self.corrupt_peers:
            return FailureReason.corrupt
        if self.regions[peer] != self.regions[name]:
            self.region_crossings.append((self.regions[name], index))
        return None
