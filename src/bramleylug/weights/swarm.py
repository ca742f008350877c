"""Runs the transfer of one version: the planner decides, threads fetch."""

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
    FailedRead,
    OriginClient,
    PeerClient,
    holdings_from_message,
)
from bramleylug.weights.chunk_server import ChunkServer
from bramleylug.weights.holdings_exchange import PARALLEL_EXCHANGES
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
    HoldingsReceived,
    PieceReceived,
    Stop,
    TransferMessage,
)
from bramleylug.weights.peers import FailureReason
from bramleylug.weights.planner import Planner
from bramleylug.weights.staging import Staging
from bramleylug.wire.weights_pb2 import ChunkRequest, HeldChunks

INBOX_WAIT_S = 0.05
PEERS_INTERVAL_S = 0.2
# With this many peers the list of peers is refreshed less often.
LARGE_FLEET_HOSTS = 64
LARGE_FLEET_INTERVAL_S = 1.0


class PeerAddress(NamedTuple):
    """Address of a peer's chunk server, and its region."""

    address: str
    region: str


PeerSource = Callable[[], Mapping[str, PeerAddress]]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class TransferContext:
    """The staging area, chunk server and clients that a transfer uses.

    :ivar name: name of this host's agent.
    :ivar region: region of this host.
    :ivar server: serves this host's chunks to the peers.
    """

    name: str
    region: str
    staging: Staging
    server: ChunkServer
    origin: OriginClient
    peers: PeerClient


@final
class Transfer:
    """Transfers one version to this host.

    Only the thread in :meth:`run` touches the planner; the others send it
    messages.

    :param find_peers: returns the peers that want or hold the version.
    :ivar inbox: messages from other threads.
    :ivar peers_updated_s: when the list of peers was last refreshed.
    :ivar stopped: whether the message of :meth:`stop` was handled.
    """

    def __init__(
        self,
        context: TransferContext,
        manifest: Manifest,
        find_peers: PeerSource,
    ) -> None:
        self.context = context
        self.manifest = manifest
        self.find_peers = find_peers
        self.inbox: SimpleQueue[TransferMessage] = SimpleQueue()
        self.executor = ThreadPoolExecutor(
            DEFAULT_LIMITS.parallel_fetches + PARALLEL_EXCHANGES
        )
        self.planner = Planner(
            context.name,
            context.region,
            manifest,
            Random(f'{context.name}/{manifest.digest}'),
            time.monotonic(),
        )
        self.planner.held = context.staging.held(manifest.key)
        self.addresses: Mapping[str, PeerAddress] = {}
        self.peers_updated_s = float('-inf')
        self.stopped = False

    @property
    def progress(self) -> float:
        """Share of the chunks that are held, from 0 to 1."""
        held = self.planner.held.bit_count()
        return held / len(self.manifest.chunk_hashes)

    def update_holdings(self, peer: str, held: HeldChunks) -> None:
        """Record the holdings that a peer sent with its request."""
        self.inbox.put(HoldingsReceived(peer, held))

    def home_bytes(self) -> int:
        """Return the bytes this host has fetched as a home."""
        return self.planner.home_bytes

    def stop(self) -> None:
        """Stop fetching; staged chunks stay."""
        self.inbox.put(Stop())

    def run(self) -> bool:
        """Fetch until every chunk is held or :meth:`stop` is called.

        :returns: whether every chunk is held.
        """
        self.context.server.transfers[self.manifest.key] = self
        try:
            self._loop()
        finally:
            self._clean_up()
        return self.planner.done

    def _loop(self) -> None:
        while not self.stopped and not self.planner.done:
            self._update_peers()
            for action in self.planner.plan(time.monotonic()):
                self._execute(action)
            self._wait()

    def _clean_up(self) -> None:
        self.context.server.transfers.pop(self.manifest.key, None)
        self.executor.shutdown(wait=False, cancel_futures=True)
        self.context.peers.close()

    def _update_peers(self) -> None:
        now_s = time.monotonic()
        large = len(self.addresses) >= LARGE_FLEET_HOSTS
        interval_s = LARGE_FLEET_INTERVAL_S if large else PEERS_INTERVAL_S
        if now_s - self.peers_updated_s < interval_s:
            return
        self.peers_updated_s = now_s
        if self.context.peers.rate_limiter.paused:
            self.planner.fetches.restart_stall_timers(now_s)
        self.addresses = self.find_peers()
        self.planner.replace_peers(
            {name: peer.region for name, peer in self.addresses.items()},
            now_s,
        )

    def _wait(self) -> None:
        """Handle messages until one may change the plan, or a time-out.

        Pieces of a chunk change nothing in the plan.
        """
        ends_s = time.monotonic() + INBOX_WAIT_S
        left_s = INBOX_WAIT_S
        while left_s > 0:
            try:
                message = self.inbox.get(timeout=left_s)
            except Empty:
                return
            self._handle_message(message)
            if not isinstance(message, PieceReceived) and self.inbox.empty():
                return
            left_s = ends_s - time.monotonic()

    def _handle_message(self, message: TransferMessage) -> None:
        planner, now_s = self.planner, time.monotonic()
        match message:
            case PieceReceived(index, size_bytes):
                planner.record_progress(index, size_bytes, now_s)
            case ChunkStaged(index):
                planner.record_chunk(index)
            case FetchFailed(index, reason):
                planner.record_failure(index, reason, now_s)
            case HoldingsReceived(peer, None):
                planner.update_holdings(peer, None, now_s)
            case HoldingsReceived(peer, HeldChunks() as held):
                planner.update_holdings(
                    peer, holdings_from_message(held, planner.count), now_s
                )
            case Stop():
                self.stopped = True

    def _execute(self, action: Action) -> None:
        match action:
            case FromOrigin() | FromPeer():
                self.executor.submit(self._fetch, action)
            case ExchangeHoldings(peer):
                self.executor.submit(self._exchange_holdings, peer)
            case CancelFetch(index):
                self.context.peers.cancel(index)
                self.context.origin.cancel(self.manifest, index)
            case ReportCorruptOrigin(index):
                emit(
                    LogEvent.origin_corrupt,
                    weights='@'.join(self.manifest.key),
                    index=index,
                )

    def _exchange_holdings(self, peer: str) -> None:
        location = self.addresses.get(peer)
        held = None
        if location is not None:
            held = self.context.peers.holdings(
                location.address,
                self.manifest.key,
                self.context.server.holdings(self.manifest.key),
            )
        self.inbox.put(HoldingsReceived(peer, held))

    def _fetch(self, fetch: Fetch) -> None:
        index = fetch.index
        chunk = self._read(fetch)
        if isinstance(chunk, FailedRead):
            self.inbox.put(FetchFailed(index, chunk.reason))
        elif self.context.staging.add(self.manifest, index, chunk):
            self.inbox.put(ChunkStaged(index))
        else:
            self._report_corrupt(fetch)
            self.inbox.put(FetchFailed(index, FailureReason.corrupt))

    def _read(self, fetch: Fetch) -> bytes | FailedRead:
        match fetch:
            case FromOrigin(index):
                return self.context.origin.chunk(
                    self.manifest,
                    index,
                    lambda size_bytes: self.inbox.put(
                        PieceReceived(index, size_bytes)
                    ),
                )
            case FromPeer(index, peer):
                return self._read_peer(index, peer)

    def _read_peer(self, index: int, peer: str) -> bytes | FailedRead:
        location = self.addresses.get(peer)
        if location is None:
            return FailedRead(FailureReason.unreachable)

        def on_piece(size_bytes: int) -> None:
            self.context.peers.count(location.region, size_bytes)
            self.inbox.put(PieceReceived(index, size_bytes))

        request = ChunkRequest(
            model=self.manifest.model,
            version=self.manifest.version,
            index=index,
            region=self.context.region,
            asker=self.context.name,
            held=self.context.server.holdings(self.manifest.key),
        )
        return self.context.peers.chunk(
            location.address,
            request,
            on_piece,
            lambda held: self.inbox.put(HoldingsReceived(peer, held)),
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
