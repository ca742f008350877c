"""Drives one transfer: the planner decides, threads move the chunks."""

import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from queue import Empty, SimpleQueue
from random import Random
from typing import NamedTuple, final

from bramleylug.observability.events import LogEvent, emit
from bramleylug.weights.actions import (
    Action,
    CancelFetch,
    ExchangeHoldings,
    ReportCorruptOrigin,
)
from bramleylug.weights.chunk_clients import (
    Failed,
    OriginClient,
    PeerClient,
    read_held,
)
from bramleylug.weights.chunk_server import ChunkServer
from bramleylug.weights.holdings_exchange import ASKS_AT_ONCE
from bramleylug.weights.in_flight import (
    Fetch,
    FromOrigin,
    FromPeer,
)
from bramleylug.weights.limits import DEFAULT_LIMITS
from bramleylug.weights.manifest import Manifest
from bramleylug.weights.messages import (
    ChunkStaged,
    FetchFailed,
    HoldingsHeard,
    Message,
    PieceArrived,
    Stop,
)
from bramleylug.weights.peers import FailureReason
from bramleylug.weights.planner import Planner
from bramleylug.weights.staging import Staging
from bramleylug.wire.weights_pb2 import ChunkRequest, HeldChunks

WAIT_S = 0.05
PEERS_INTERVAL_S = 0.2
LARGE_FLEET = 64
LARGE_FLEET_INTERVAL_S = 1.0


class PeerAddress(NamedTuple):
    """Where a peer's weights are served."""

    address: str
    region: str


PeerSource = Callable[[], Mapping[str, PeerAddress]]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class TransferContext:
    """What a transfer moves chunks with."""

    name: str
    region: str
    staging: Staging
    server: ChunkServer
    origin: OriginClient
    peers: PeerClient


@final
class Transfer:
    """Brings one version to this host; :meth:`run` owns its state.

    :param find_peers: returns the peers that want or hold the version.
    :ivar stopped: whether it was asked to stop.
    """

    def __init__(
        self, links: TransferContext, manifest: Manifest, find_peers: PeerSource
    ) -> None:
        self.links = links
        self.manifest = manifest
        self.find_peers = find_peers
        self.inbox: SimpleQueue[Message] = SimpleQueue()
        self.pool = ThreadPoolExecutor(
            DEFAULT_LIMITS.parallel_fetches + ASKS_AT_ONCE
        )
        self.planner = Planner(
            links.name,
            links.region,
            manifest,
            Random(f'{links.name}/{manifest.digest}'),
            time.monotonic(),
        )
        self.planner.held = links.staging.held(manifest.key)
        self.addresses: Mapping[str, PeerAddress] = {}
        self.looked_s = float('-inf')
        self.stopped = False

    @property
    def progress(self) -> float:
        """Share of the chunks that are held."""
        held = self.planner.held.bit_count()
        return held / len(self.manifest.chunk_hashes)

    def update_holdings(self, peer: str, held: HeldChunks) -> None:
        """Take in what an asking peer holds."""
        self.inbox.put(HoldingsHeard(peer, held))

    def home_bytes(self) -> int:
        """Return the bytes brought into the region as a home."""
        return self.planner.home_bytes

    def stop(self) -> None:
        """Stop fetching; what is staged stays."""
        self.inbox.put(Stop())

    def run(self) -> bool:
        """Fetch until every chunk is held.

        :returns: whether they are.
        """
        self.links.server.transfers[self.manifest.key] = self
        try:
            self._loop()
        finally:
            self._close()
        return self.planner.done

    def _loop(self) -> None:
        while not self.stopped and not self.planner.done:
            self._look_for_peers()
            for action in self.planner.plan(time.monotonic()):
                self._act(action)
            self._wait()

    def _close(self) -> None:
        self.links.server.transfers.pop(self.manifest.key, None)
        self.pool.shutdown(wait=False, cancel_futures=True)
        self.links.peers.close()

    def _look_for_peers(self) -> None:
        now_s = time.monotonic()
        large = len(self.addresses) >= LARGE_FLEET
        interval_s = LARGE_FLEET_INTERVAL_S if large else PEERS_INTERVAL_S
        if now_s - self.looked_s < interval_s:
            return
        self.looked_s = now_s
        if self.links.peers.share.paused:
            self.planner.flights.excuse(now_s)
        self.addresses = self.find_peers()
        self.planner.replace_peers(
            {name: peer.region for name, peer in self.addresses.items()},
            now_s,
        )

    def _wait(self) -> None:
        """Take in messages until one changes what may be planned."""
        ends_s = time.monotonic() + WAIT_S
        left_s = WAIT_S
        while left_s > 0:
            try:
                message = self.inbox.get(timeout=left_s)
            except Empty:
                return
            self._take_in(message)
            if not isinstance(message, PieceArrived) and self.inbox.empty():
                return
            left_s = ends_s - time.monotonic()

    def _take_in(self, message: Message) -> None:
        planner, now_s = self.planner, time.monotonic()
        match message:
            case PieceArrived(index, size_bytes):
                planner.record_progress(index, size_bytes, now_s)
            case ChunkStaged(index):
                planner.record_chunk(index)
            case FetchFailed(index, fault):
                planner.record_failure(index, fault, now_s)
            case HoldingsHeard(peer, None):
                planner.update_holdings(peer, None, now_s)
            case HoldingsHeard(peer, HeldChunks() as held):
                planner.update_holdings(
                    peer, read_held(held, planner.count), now_s
                )
            case Stop():
                self.stopped = True

    def _act(self, action: Action) -> None:
        match action:
            case FromOrigin() | FromPeer():
                self.pool.submit(self._fetch, action)
            case ExchangeHoldings(peer):
                self.pool.submit(self._ask, peer)
            case CancelFetch(index):
                self.links.peers.cancel(index)
                self.links.origin.cancel(self.manifest, index)
            case ReportCorruptOrigin(index):
                emit(
                    LogEvent.origin_corrupt,
                    weights='@'.join(self.manifest.key),
                    index=index,
                )

    def _ask(self, peer: str) -> None:
        found = self.addresses.get(peer)
        held = None
        if found is not None:
            held = self.links.peers.holdings(
                found.address,
                self.manifest.key,
                self.links.server.holdings(self.manifest.key),
            )
        self.inbox.put(HoldingsHeard(peer, held))

    def _fetch(self, fetch: Fetch) -> None:
        index = fetch.index
        chunk = self._read(fetch)
        if isinstance(chunk, Failed):
            self.inbox.put(FetchFailed(index, chunk.fault))
        elif self.links.staging.add(self.manifest, index, chunk):
            self.inbox.put(ChunkStaged(index))
        else:
            self._report_corrupt(fetch)
            self.inbox.put(FetchFailed(index, FailureReason.corrupt))

    def _read(self, fetch: Fetch) -> bytes | Failed:
        match fetch:
            case FromOrigin(index):
                return self.links.origin.chunk(
                    self.manifest,
                    index,
                    lambda size_bytes: self.inbox.put(
                        PieceArrived(index, size_bytes)
                    ),
                )
            case FromPeer(index, peer):
                return self._read_peer(index, peer)

    def _read_peer(self, index: int, peer: str) -> bytes | Failed:
        found = self.addresses.get(peer)
        if found is None:
            return Failed(FailureReason.unreachable)

        def on_piece(size_bytes: int) -> None:
            self.links.peers.count(found.region, size_bytes)
            self.inbox.put(PieceArrived(index, size_bytes))

        request = ChunkRequest(
            model=self.manifest.model,
            version=self.manifest.version,
            index=index,
            region=self.links.region,
            asker=self.links.name,
            held=self.links.server.holdings(self.manifest.key),
        )
        return self.links.peers.chunk(
            found.address,
            request,
            on_piece,
            lambda held: self.inbox.put(HoldingsHeard(peer, held)),
        )

    def _report_corrupt(self, fetch: Fetch) -> None:
        source = 'the origin'
        if isinstance(fetch, FromPeer):
            source = fetch.peer
        emit(
            LogEvent.chunk_corrupt,
            weights='@'.join(self.manifest.key),
            index=fetch.index,
            source=source,
        )
