"""Planners of several hosts in virtual time, with faults at their edges."""

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
    """One version on its way to every host; a fetch takes one tick.

    :ivar dead: hosts that answer nothing.
    :ivar slow: hosts whose reads of the origin go on and on.
    :ivar liars: hosts whose chunks are corrupt.
    :ivar origin_reads: reads the origin answered with a sound chunk.
    :ivar knows: tells whether a host has another in its view.
    :ivar cut: pairs of regions that cannot reach each other.
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
        self.liars = set()
        self.slow = set()
        self.cut = set()
        self.bad_at_origin = set()
        self.origin_up = True
        self.origin_pace = 1000
        self.origin_reads = []
        self.origin_tries = 0
        self.crossings = []
        self.blamed = []
        self.reports = []
        self.pending = []
        self.knows = operator.ne

    def run(self, limit_s: float) -> bool:
        """Run until every living host holds all, at most for a while."""
        end_s = self.now_s + limit_s
        while self.now_s < end_s and not self.done():
            self.tick()
        return self.done()

    def done(self) -> bool:
        """Tell whether every living host holds all chunks."""
        return all(
            planner.done
            for name, planner in self.planners.items()
            if name not in self.dead
        )

    def tick(self) -> None:
        """Let one tick pass."""
        self.now_s += TICK_S
        ended = self.pending
        self.pending = []
        reads = [
            (name, fetch)
            for name, fetch in ended
            if isinstance(fetch, FromOrigin)
        ]
        waiting = reads[self.origin_pace :] if self.origin_up else []
        for name, fetch in ended:
            if (name, fetch) in waiting or self._is_slow(name, fetch):
                self._trickle(name, fetch)
            else:
                self._end(name, fetch)
        for name in self.planners.keys() - self.dead:
            self._plan(name)

    def kill(self, name: str) -> None:
        """Let a host answer nothing from now on."""
        self.dead.add(name)

    def _is_slow(self, name: str, fetch: Fetch) -> bool:
        return name in self.slow and isinstance(fetch, FromOrigin)

    def _trickle(self, name: str, fetch: Fetch) -> None:
        self.pending.append((name, fetch))
        self.planners[name].record_progress(fetch.index, 1, self.now_s)

    def _plan(self, name: str) -> None:
        planner = self.planners[name]
        peers = {
            at: region
            for at, region in self.regions.items()
            if self.knows(name, at)
        }
        planner.replace_peers(peers, self.now_s)
        for action in planner.plan(self.now_s):
            match action:
                case FromOrigin() | FromPeer():
                    self.pending.append((name, action))
                case ExchangeHoldings(peer):
                    self._exchange(name, peer)
                case CancelFetch(index):
                    self._abandon(name, index)
                case ReportCorruptOrigin(index):
                    self.reports.append((name, index))

    def _abandon(self, name: str, index: int) -> None:
        self.pending = [
            (asker, fetch)
            for asker, fetch in self.pending
            if (asker, fetch.index) != (name, index)
        ]
        self.planners[name].record_failure(
            index, FailureReason.stalled, self.now_s
        )

    def _exchange(self, name: str, peer: str) -> None:
        if not self._reaches(name, peer):
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

    def _reaches(self, name: str, peer: str) -> bool:
        pair = frozenset((self.regions[name], self.regions[peer]))
        return peer not in self.dead and pair not in self.cut

    def _end(self, name: str, fetch: Fetch) -> None:
        if name in self.dead:
            return
        planner, index = self.planners[name], fetch.index
        fault = self._fault(name, fetch)
        if fault is None:
            planner.record_progress(index, 1, self.now_s)
            planner.record_chunk(index)
            return
        if fault is FailureReason.corrupt:
            self.blamed.append((name, fetch))
        planner.record_failure(index, fault, self.now_s)

    def _fault(self, name: str, fetch: Fetch) -> FailureReason | None:
        match fetch:
            case FromOrigin(index):
                return self._origin_fault(index)
            case FromPeer(index, peer):
                return self._peer_fault(name, peer, index)

    def _origin_fault(self, index: int) -> FailureReason | None:
        self.origin_tries += 1
        if not self.origin_up:
            return FailureReason.unreachable
        if index in self.bad_at_origin:
            return FailureReason.corrupt
        self.origin_reads.append(index)
        return None

    def _peer_fault(
        self, name: str, peer: str, index: int
    ) -> FailureReason | None:
        if not self._reaches(name, peer):
            return FailureReason.unreachable
        if not self.planners[peer].held >> index & 1:
            return FailureReason.not_held
        if peer in self.liars:
            return FailureReason.corrupt
        if self.regions[peer] != self.regions[name]:
            self.crossings.append((self.regions[name], index))
        return None
