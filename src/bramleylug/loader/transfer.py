"""Carrying out the plan of one transfer."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple, final

from bramleylug.loader.chunk_store import ChunkStore
from bramleylug.loader.sources import FetchFailed, Origin, PeerClient
from bramleylug.observability.events import LogEvent, emit
from bramleylug.relay.peers import PeerRecord
from bramleylug.weights.actions import (
    Action,
    CancelFetch,
    ExchangeHoldings,
    ReportCorruptOrigin,
)
from bramleylug.weights.chunk_sets import all_chunks, from_bytes
from bramleylug.weights.in_flight import FromOrigin, FromPeer
from bramleylug.weights.limits import TransferLimits
from bramleylug.weights.peers import FailureReason, Holdings
from bramleylug.weights.planner import Planner
from bramleylug.weights.sources import held_by_any
from bramleylug.wire.beats_pb2 import TransferState

PLAN_S = 0.05
MILLISECONDS = 1000
# A transfer is finished although a newer version was named when more than
# this share of it is held.
FINISH_SHARE = 0.4
# Without a chunk for this long, a transfer may be stuck: a chunk takes a
# third of it on the slowest link.
STUCK_S = 0.8
# A version is to be on every engine within some seconds, so everything that
# waits for another host waits for a small part of one.
BURST_LIMITS = TransferLimits(
    first_exchange_s=0.25,
    exchange_interval_max_s=0.3,
    take_over_s=0.8,
    region_take_over_s=1.5,
    window_s=0.1,
    stall_s=1.2,
    slow_read_s=2.0,
    origin_backoff_s=0.2,
    origin_backoff_max_s=1.0,
    peer_backoff_s=0.4,
    peer_backoff_max_s=2.0,
    parallel_fetches=3,
)


class TransferContext(NamedTuple):
    """What a transfer works with.

    :ivar peers: returns the other loaders of the service that live.
    :ivar origin_address: returns the address of the origin, or nothing.
    """

    name: str
    region: str
    peers: Callable[[], Iterable[PeerRecord]]
    origin_address: Callable[[], str]
    origin: Origin
    client: PeerClient
    clock: Callable[[], float]


@final
@dataclass(slots=True)
class Ended:
    """How one fetch ended.

    :ivar source: ``origin``, or the name of a peer.
    :ivar fault: why it brought nothing; ``None`` where it did.
    """

    index: int
    source: str
    began_s: float
    chunk: bytes = b''
    fault: FailureReason | None = None


@final
class Transfer:
    """Brings one version to this host.

    :ivar stock: where verified chunks go.
    """

    def __init__(
        self, context: TransferContext, chunk_store: ChunkStore, version: int
    ) -> None:
        self.context = context
        self.chunk_store = chunk_store
        self.version = version
        self.model = chunk_store.manifest.model
        self.planner = Planner(
            context.name,
            context.region,
            chunk_store.manifest,
            Random(context.name),  # noqa: S311
            context.clock(),
            BURST_LIMITS,
        )
        self.fetches: dict[int, asyncio.Task[None]] = {}
        self.news = asyncio.Event()
        self.started_s = context.clock()
        self.progress_s = self.started_s
        for index in chunk_store.chunks:
            self.planner.record_chunk(index)
        self._replace_peers(self.started_s)

    @property
    def weights(self) -> str:
        """Name of the version in log lines."""
        return f'{self.model}@{self.version}'

    @property
    def duty_bytes(self) -> int:
        """Bytes brought into this region."""
        return self.planner.home_bytes

    def is_stuck(self, now_s: float) -> bool:
        """Tell whether nothing more can be had for now.

        No chunk has come for a while, and no loader that lives has one that
        is missing here: only the origin could help.
        """
        if now_s - self.progress_s < STUCK_S:
            return False
        missing = all_chunks(self.planner.count) & ~self.chunk_store.held
        offered = held_by_any(self.planner.peers.values())
        return not missing & offered

    @property
    def is_far(self) -> bool:
        """Whether it is quicker to finish than to begin with another.

        A version that replaces this one takes as long again, and older ones
        may not serve until then.
        """
        count = len(self.chunk_store.manifest.chunk_hashes)
        return len(self.chunk_store.chunks) >= count * FINISH_SHARE

    async def run(self) -> None:
        """Run until every chunk is held."""
        try:
            while not self.planner.done:
                self._plan()
                await self._pause()
        finally:
            for task in self.fetches.values():
                task.cancel()

    def hear(self, peer: str, state: TransferState) -> None:
        """Take in what another loader tells."""
        if (state.model, state.version) != (self.model, self.version):
            return
        held = state.held
        chunks = from_bytes(
            held.bitmap, len(self.chunk_store.manifest.chunk_hashes)
        )
        self.planner.update_holdings(
            peer,
            Holdings(chunks, int(held.duty_bytes), int(held.free_upload_slots)),
            self.context.clock(),
        )
        self.news.set()

    def _plan(self) -> None:
        now_s = self.context.clock()
        self._replace_peers(now_s)
        for action in self.planner.plan(now_s):
            self._act(action)

    def _replace_peers(self, now_s: float) -> None:
        regions = {peer.name: peer.region for peer in self.context.peers()}
        self.planner.replace_peers(regions, now_s)

    def _act(self, action: Action) -> None:
        match action:
            case FromOrigin(index):
                self._fetch(index, self._from_origin(index), 'origin')
            case FromPeer(index, peer):
                self._fetch(index, self._from_peer(index, peer), peer)
            case CancelFetch(index) if index in self.fetches:
                self.fetches[index].cancel()
            case ReportCorruptOrigin(index):
                emit(LogEvent.origin_corrupt, index=index, weights=self.weights)
            case ExchangeHoldings():
                # Loaders tell what they hold with every beat.
                return

    async def _pause(self) -> None:
        self.news.clear()
        try:
            await asyncio.wait_for(self.news.wait(), PLAN_S)
        except TimeoutError:
            return

    def _fetch(
        self, index: int, read: Coroutine[Any, Any, bytes], source: str
    ) -> None:
        task = asyncio.create_task(self._take(index, read, source))
        self.fetches[index] = task

    async def _take(
        self, index: int, read: Coroutine[Any, Any, bytes], source: str
    ) -> None:
        ended = Ended(index, source, self.context.clock())
        try:
            ended.chunk = await read
        except FetchFailed as error:
            ended.fault = error.fault
        except asyncio.CancelledError:
            ended.fault = FailureReason.stalled
            raise
        finally:
            self._end(ended)

    def _end(self, ended: Ended) -> None:
        self.fetches.pop(ended.index, None)
        now_s = self.context.clock()
        if ended.fault is None:
            if self.chunk_store.take(ended.index, ended.chunk):
                self.planner.record_progress(
                    ended.index, len(ended.chunk), now_s
                )
                self.planner.record_chunk(ended.index)
                self.progress_s = now_s
            else:
                ended.fault = FailureReason.corrupt
        if ended.fault is not None:
            self.planner.record_failure(ended.index, ended.fault, now_s)
        emit(
            LogEvent.chunk_corrupt
            if ended.fault is FailureReason.corrupt
            else LogEvent.fetch_ended,
            index=ended.index,
            weights=self.weights,
            source=ended.source,
            outcome='arrived' if ended.fault is None else ended.fault.value,
            took_ms=round((now_s - ended.began_s) * MILLISECONDS),
        )
        self.news.set()

    async def _from_origin(self, index: int) -> bytes:
        return await self.context.origin.chunk(
            self.context.origin_address(), self.model, self.version, index
        )

    async def _from_peer(self, index: int, name: str) -> bytes:
        return await self.context.client.chunk(
            self._find(name), self.model, self.version, index
        )

    def _find(self, name: str) -> PeerRecord:
        for peer in self.context.peers():
            if peer.name == name:
                return peer
        raise FetchFailed(FailureReason.unreachable, f'{name} is gone')
