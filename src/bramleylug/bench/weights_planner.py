"""Measures the cost of the transfer planner at the target size."""

import hashlib
import time
import tracemalloc
from random import Random
from typing import NamedTuple

from bramleylug.weights.actions import ExchangeHoldings
from bramleylug.weights.in_flight import FromOrigin, FromPeer
from bramleylug.weights.manifest import Manifest
from bramleylug.weights.peers import Holdings
from bramleylug.weights.planner import Planner

REGIONS = 4
BURST_S = 120.0
TIMEOUT_S = 600.0
CHUNK_BYTES = 1024


class PlannerFigures(NamedTuple):
    """Cost of one host's planner for one transfer.

    :ivar setup_s: processor seconds to rank neighbours and, for each chunk,
        its homes, the hosts that bring it into their region.
    :ivar run_s: processor seconds of all later planning.
    :ivar exchanges: exchanges of the lists of held chunks with peers.
    :ivar plans: calls of the planner.
    :ivar memory_bytes: memory of a planner that knows its neighbours' chunks.
    """

    hosts: int
    chunks: int
    setup_s: float
    run_s: float
    exchanges: int
    plans: int
    memory_bytes: int


class PlannerSimulation:
    """Runs a planner among simulated peers whose holdings grow over time.

    :ivar held: bitmap of the chunks that each peer holds, by its name.
    """

    def __init__(self, hosts: int, chunks: int, seed: int) -> None:
        self.random = Random(seed)
        self.manifest = build_manifest(chunks)
        self.peers = {
            f'host-{index}': f'region-{index % REGIONS}'
            for index in range(1, hosts)
        }
        self.held = dict.fromkeys(self.peers, 0)
        self.exchanges = 0
        self.plans = 0
        self.now_s = 0.0
        self.planner = Planner(
            'host-0', 'region-0', self.manifest, Random(seed), 0
        )

    def run_transfer(self) -> tuple[float, float]:
        """Return the processor seconds of set-up and of planning."""
        started_s = time.process_time()
        self.planner.replace_peers(self.peers, 0)
        ready_s = time.process_time()
        step_s = BURST_S / self.planner.count
        while not self.planner.done and self.now_s < TIMEOUT_S:
            self.now_s += step_s
            self._step()
        return ready_s - started_s, time.process_time() - ready_s

    def _step(self) -> None:
        self.plans += 1
        for action in self.planner.plan(self.now_s):
            match action:
                case ExchangeHoldings(peer):
                    self._exchange_holdings(peer)
                case FromOrigin(index) | FromPeer(index=index):
                    self.planner.record_progress(index, CHUNK_BYTES, self.now_s)
                    self.planner.record_chunk(index)

    def _exchange_holdings(self, peer: str) -> None:
        self.exchanges += 1
        count = self.planner.count
        available = min(count, 1 + int(self.now_s / BURST_S * count))
        new_chunks = self.random.getrandbits(count) & ((1 << available) - 1)
        self.held[peer] |= new_chunks
        holdings = Holdings(self.held[peer], int(self.now_s * CHUNK_BYTES))
        self.planner.update_holdings(peer, holdings, self.now_s)


def measure_planner(hosts: int, chunks: int, seed: int) -> PlannerFigures:
    """Measure the planning of one transfer."""
    simulation = PlannerSimulation(hosts, chunks, seed)
    setup_s, run_s = simulation.run_transfer()
    return PlannerFigures(
        hosts,
        chunks,
        setup_s,
        run_s,
        simulation.exchanges,
        simulation.plans,
        _memory_bytes(hosts, chunks, seed),
    )


def build_manifest(chunks: int) -> Manifest:
    """Return a manifest with the given number of chunks."""
    hashes = tuple(
        hashlib.sha256(str(index).encode()).hexdigest()
        for index in range(chunks)
    )
    size_bytes = chunks * CHUNK_BYTES
    return Manifest('model', '1', size_bytes, CHUNK_BYTES, hashes, hashes[0])


def _memory_bytes(hosts: int, chunks: int, seed: int) -> int:
    tracemalloc.start()
    simulation = PlannerSimulation(hosts, chunks, seed)
    simulation.planner.replace_peers(simulation.peers, 0)
    for name in simulation.planner.neighbours:
        simulation.held[name] = (1 << chunks) - 1
        simulation.planner.update_holdings(
            name, Holdings(simulation.held[name]), 0
        )
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held_bytes
