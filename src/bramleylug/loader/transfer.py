"""Downloads the chunks of one version from other loaders and the origin."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any, NamedTuple, final

from bramleylug.cluster.peers import PeerRecord
from bramleylug.loader.chunk_store import ChunkStore
from bramleylug.loader.transfer_journal import TransferJournal
from bramleylug.loader.sources import (
    FetchFailed,
    Origin,
    OriginRecord,
    PeerClient,
)
from bramleylug.observability.events import LogEvent, emit
from bramleylug.weights.actions import (
    Action,
    CancelFetch,
    ExchangeHoldings,
    ReportCorruptOrigin,
)
from bramleylug.weights.chunk_sets import all_chunks, from_bytes, to_bytes
from bramleylug.weights.in_flight import FromOrigin, FromPeer
from bramleylug.weights.limits import TransferLimits
from bramleylug.weights.peers import FailureReason, Holdings
from bramleylug.weights.planner import Planner
from bramleylug.weights.sources import held_by_any
from bramleylug.wire.beats_pb2 import TransferState
from bramleylug.wire.weights_pb2 import HeldChunks

PLAN_INTERVAL_S = 0.05
MILLISECONDS = 1000
# A transfer is finished, although a newer version was announced, if at least
# this share of its chunks is held.
FINISH_SHARE = 0.4
# A transfer that received no chunk for this long may be stalled: a chunk takes
# a third of it on the slowest link.
STALL_S = 0.8
# A version has to be on every engine within seconds. Waits for other hosts
# are therefore limited to a fraction of that time.
TRANSFER_LIMITS = TransferLimits(
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
    probe_s=0.3,
    silent_s=1.0,
    parallel_fetches=3,
)
# Chunks that are open to their homes, as a share of the connections that the
# origin takes. Some are read twice, and connections of hosts that lost power
# count until it notices; there must be room for as many chunks beside them.
ORIGIN_READS_SHARE = 1 / 3
# For how long hosts tell when bytes of the origin last arrived.
ORIGIN_NEWS_S = 5.0


def limits_for(origin: OriginRecord) -> TransferLimits:
    """Return the limits of transfers from an origin."""
    if not origin.max_connections:
        return TRANSFER_LIMITS
    open_chunks = max(1, int(origin.max_connections * ORIGIN_READS_SHARE))
    return TRANSFER_LIMITS._replace(open_chunks=open_chunks)


def _ignore() -> None:
    """Do nothing."""


class TransferContext(NamedTuple):
    """What the transfers of a host share.

    :ivar name: name of this loader.
    :ivar peers: returns the live other loaders of the service.
    :ivar origin_record: returns the origin as the configuration has it.
    :ivar tell: sends all loaders what this host holds and reads, at once.
    """

    name: str
    region: str
    peers: Callable[[], Iterable[PeerRecord]]
    origin_record: Callable[[], OriginRecord]
    origin: Origin
    client: PeerClient
    clock: Callable[[], float]
    tell: Callable[[], None] = _ignore


@final
@dataclass(slots=True)
class FetchOutcome:
    """Result of fetching one chunk.

    :ivar source: ``origin``, or the name of a peer.
    :ivar reason: why the fetch failed; ``None`` if it succeeded.
    """

    index: int
    source: str
    started_s: float
    chunk: bytes = b''
    reason: FailureReason | None = None


@final
class Transfer:
    """Download of one version.

    :ivar chunk_store: receives the verified chunks.
    :ivar fetches: running fetches by chunk index.
    :ivar changed: set when the planner has new input.
    :ivar progress_s: when the last chunk arrived.
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
            limits_for(context.origin_record()),
        )
        self.fetches: dict[int, asyncio.Task[None]] = {}
        self.changed = asyncio.Event()
        self.started_s = context.clock()
        self.progress_s = self.started_s
        for index in chunk_store.chunks:
            self.planner.record_chunk(index)
        self.journal = TransferJournal(self.weights, self.started_s)
        self._replace_peers(self.started_s)

    @property
    def weights(self) -> str:
        """Name of the version in log lines."""
        return f'{self.model}@{self.version}'

    @property
    def home_bytes(self) -> int:
        """Bytes that this host fetched for its region as a chunk's home."""
        return self.planner.home_bytes

    def held_chunks(self, now_s: float) -> HeldChunks:
        """Return what this host tells others of the transfer.

        Without the chunks and the upload slots.
        """
        origin = self.planner.origin
        told = HeldChunks(
            duty_bytes=self.home_bytes,
            origin_reads=to_bytes(
                self.planner.fetches.origin_chunks, self.planner.count
            ),
        )
        if now_s - origin.own_heard_s < ORIGIN_NEWS_S:
            age_s = max(0.0, now_s - origin.own_heard_s)
            told.origin_age_ms = round(age_s * MILLISECONDS)
        return told

    def is_stalled(self, now_s: float) -> bool:
        """Return whether only the origin could provide more chunks.

        That is so if none arrived for :data:`STALL_S`, and no live loader
        holds one of the missing chunks.
        """
        if now_s - self.progress_s < STALL_S:
            return False
        missing = all_chunks(self.planner.count) & ~self.chunk_store.held
        available = held_by_any(self.planner.peers.values())
        return not missing & available

    @property
    def is_worth_finishing(self) -> bool:
        """Whether the transfer should finish before a newer version starts.

        Abandoned, it would leave the host without new weights for the whole
        time that the newer version takes, while older ones may not serve.
        """
        count = len(self.chunk_store.manifest.chunk_hashes)
        return len(self.chunk_store.chunks) >= count * FINISH_SHARE

    async def run(self) -> None:
        """Run until every chunk is held."""
        # The others learn that this host knows of the version.
        self.context.tell()
        try:
            while not self.planner.done:
                self._plan()
                await self._wait_for_change()
        finally:
            for task in self.fetches.values():
                task.cancel()

    def update_holdings(self, peer: str, state: TransferState) -> None:
        """Pass the holdings that a peer announced to the planner."""
        if (state.model, state.version) != (self.model, self.version):
            return
        now_s = self.context.clock()
        held = state.held
        chunks = from_bytes(
            held.bitmap, len(self.chunk_store.manifest.chunk_hashes)
        )
        self.planner.update_holdings(
            peer,
            Holdings(
                chunks,
                int(held.duty_bytes),
                int(held.free_upload_slots),
                from_bytes(held.origin_reads, self.planner.count),
                origin_heard_s(held, now_s),
            ),
            now_s,
        )
        self.changed.set()

    def _plan(self) -> None:
        now_s = self.context.clock()
        self._replace_peers(now_s)
        self.journal.record(self.planner, now_s)
        for action in self.planner.plan(now_s):
            self._execute(action)

    def _replace_peers(self, now_s: float) -> None:
        regions = {peer.name: peer.region for peer in self.context.peers()}
        self.planner.replace_peers(regions, now_s)

    def _execute(self, action: Action) -> None:
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
                # Not needed: loaders announce their holdings in heartbeats.
                return

    async def _wait_for_change(self) -> None:
        self.changed.clear()
        try:
            await asyncio.wait_for(self.changed.wait(), PLAN_INTERVAL_S)
        except TimeoutError:
            return

    def _fetch(
        self, index: int, read: Coroutine[Any, Any, bytes], source: str
    ) -> None:
        task = asyncio.create_task(self._run_fetch(index, read, source))
        self.fetches[index] = task

    async def _run_fetch(
        self, index: int, read: Coroutine[Any, Any, bytes], source: str
    ) -> None:
        outcome = FetchOutcome(index, source, self.context.clock())
        try:
            outcome.chunk = await read
        except FetchFailed as error:
            outcome.reason = error.reason
        except asyncio.CancelledError:
            outcome.reason = FailureReason.stalled
            raise
        finally:
            self._finish_fetch(outcome)

    def _finish_fetch(self, outcome: FetchOutcome) -> None:
        self.fetches.pop(outcome.index, None)
        now_s = self.context.clock()
        as_home = self.planner.fetches.is_as_home(outcome.index)
        if outcome.reason is None:
            if self.chunk_store.add(outcome.index, outcome.chunk):
                self.planner.record_progress(
                    outcome.index, len(outcome.chunk), now_s
                )
                self.planner.record_chunk(outcome.index)
                self.progress_s = now_s
                if as_home:
                    # The hosts of the region wait for it.
                    self.context.tell()
            else:
                outcome.reason = FailureReason.corrupt
        if outcome.reason is not None:
            self.planner.record_failure(outcome.index, outcome.reason, now_s)
        emit(
            LogEvent.chunk_corrupt
            if outcome.reason is FailureReason.corrupt
            else LogEvent.fetch_ended,
            index=outcome.index,
            weights=self.weights,
            source=outcome.source,
            outcome='arrived'
            if outcome.reason is None
            else outcome.reason.value,
            took_ms=round((now_s - outcome.started_s) * MILLISECONDS),
        )
        self.changed.set()

    async def _from_origin(self, index: int) -> bytes:
        return await self.context.origin.chunk(
            self.context.origin_record().address,
            self.model,
            self.version,
            index,
            partial(self._record_input, index),
        )

    async def _from_peer(self, index: int, name: str) -> bytes:
        return await self.context.client.chunk(
            self._find_peer(name),
            self.model,
            self.version,
            index,
            partial(self._record_input, index),
        )

    def _record_input(self, index: int) -> None:
        """Record that at least one byte of a chunk has arrived."""
        was_away = self.planner.origin.away_since_s is not None
        self.planner.record_progress(index, 1, self.context.clock())
        if was_away and self.planner.origin.away_since_s is None:
            # The others wait for it, too.
            self.context.tell()
            self.changed.set()

    def _find_peer(self, name: str) -> PeerRecord:
        for peer in self.context.peers():
            if peer.name == name:
                return peer
        raise FetchFailed(
            FailureReason.unreachable, f'loader {name} is not alive'
        )


def origin_heard_s(held: HeldChunks, now_s: float) -> float:
    """Return when bytes of the origin last arrived at the sender."""
    if not held.HasField('origin_age_ms'):
        return float('-inf')
    return now_s - held.origin_age_ms / MILLISECONDS
