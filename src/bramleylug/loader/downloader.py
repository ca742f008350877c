"""Bringing the version that the operator named to this host."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, final

from bramleylug.loader.chunk_store import ChunkStore, ChunkStores
from bramleylug.loader.engine import EngineUnavailable, LocalEngine
from bramleylug.loader.sources import FetchFailed, OriginWatch
from bramleylug.loader.transfer import Transfer, TransferContext
from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import WEIGHTS_PROGRESS
from bramleylug.weights.chunk_sets import all_chunks, from_bytes
from bramleylug.weights.manifest import Manifest
from bramleylug.weights.peers import FailureReason
from bramleylug.wire.beats_pb2 import TransferState

STEP_S = 0.1
MANIFEST_RETRY_S = 0.3
# In this time from its begin a transfer should have brought one copy of
# every chunk away from the origin.
SEED_S = 3.0
MILLISECONDS = 1000


class TargetVersion(NamedTuple):
    """What is to be here.

    :ivar version: newest version that was named; 0 for the origin's newest.
    """

    model: str
    version: int


@final
class WeightsDownloader:
    """Brings one version after the other.

    :param goal: returns what is to be here; ``None`` while it is unknown.
    :ivar transfer: the one that runs.
    :ivar offers: chunks that other loaders told of, by version.
    :ivar taken_up: version that is finished because a newer one could not
        be had; 0 for none.
    """

    def __init__(
        self,
        context: TransferContext,
        chunk_stores: ChunkStores,
        engine: LocalEngine,
        target_version: Callable[[], TargetVersion | None],
    ) -> None:
        self.chunk_stores = chunk_stores
        self.engine = engine
        self.target_version = target_version
        self.transfer: Transfer | None = None
        self.offers: dict[int, dict[str, TransferState]] = {}
        self.origin_watch = OriginWatch(context.origin, context.clock)
        self.context = context._replace(origin=self.origin_watch)
        self.taken_up = 0

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            target_version = self.target_version()
            if target_version is None or self._is_here(target_version):
                continue
            manifest = await self._next_manifest(target_version)
            if manifest is None:
                await asyncio.sleep(MANIFEST_RETRY_S)
            else:
                await self._bring(manifest)

    def hear(self, peer: str, state: TransferState) -> None:
        """Take in what another loader tells."""
        offers = self.offers.setdefault(int(state.version), {})
        offers[peer] = state
        if self.transfer is not None:
            self.transfer.hear(peer, state)

    def next_version(self, target_version: TargetVersion, now_s: float) -> int:
        """Return the version to bring next.

        That is the newest one. While the origin is down and the loaders do
        not hold all of it together, one that was begun before is finished
        if they hold all of that: it may serve longer than what the engine
        has.
        """
        newest = target_version.version
        if self.origin_watch.answers(now_s) or self._is_obtainable(newest):
            return newest
        begun = [
            version
            for version in self.chunk_stores.by_version
            if self._newest_here() < version < newest
            and self._is_obtainable(version)
        ]
        return max(begun, default=newest)

    def _is_obtainable(self, version: int) -> bool:
        """Tell whether living loaders hold every chunk of a version."""
        chunk_store = self.chunk_stores.by_version.get(version)
        if chunk_store is None:
            return False
        count = len(chunk_store.manifest.chunk_hashes)
        offers = self.offers.get(version, {})
        held = chunk_store.held
        for peer in self.context.peers():
            offer = offers.get(peer.name)
            if offer is not None:
                held |= from_bytes(offer.held.bitmap, count)
        return held == all_chunks(count)

    def _newest_here(self) -> int:
        chunk_store = self.chunk_stores.newest_complete()
        return -1 if chunk_store is None else int(chunk_store.manifest.version)

    def _is_here(self, target_version: TargetVersion) -> bool:
        return self._newest_here() >= target_version.version

    async def _next_manifest(
        self, target_version: TargetVersion
    ) -> Manifest | None:
        """Return the manifest of what to bring next, where it can be had."""
        version = self.next_version(target_version, self.context.clock())
        self.taken_up = 0 if version == target_version.version else version
        chunk_store = self.chunk_stores.by_version.get(version)
        if chunk_store is not None:
            return chunk_store.manifest
        return await self._manifest(target_version)

    async def _bring(self, manifest: Manifest) -> None:
        version = int(manifest.version)
        chunk_store = self.chunk_stores.open(version, manifest)
        began_s = self.context.clock()
        await self._take_staged(chunk_store)
        self.transfer = Transfer(self.context, chunk_store, version)
        # Hosts that held all of it before do not tell it again.
        for peer, state in self.offers.get(version, {}).items():
            self.transfer.hear(peer, state)
        task = asyncio.create_task(self.transfer.run())
        try:
            while not task.done() and not self._is_overtaken(self.transfer):
                await asyncio.wait((task,), timeout=STEP_S)
        finally:
            task.cancel()
            self.transfer = None
        weights = f'{manifest.model}@{version}'
        if not chunk_store.complete:
            emit(
                LogEvent.transfer_dropped,
                weights=weights,
                chunks=len(chunk_store.chunks),
            )
            return
        WEIGHTS_PROGRESS.set({'instance': self.context.name}, 1)
        emit(
            LogEvent.version_staged,
            weights=weights,
            took_ms=round((self.context.clock() - began_s) * MILLISECONDS),
            chunks=len(chunk_store.chunks),
        )

    def _is_overtaken(self, transfer: Transfer) -> bool:
        """Tell whether another version is to be brought first.

        One that was taken up because the newest could not be had is
        finished, unless it cannot be had either.
        """
        target_version = self.target_version()
        now_s = self.context.clock()
        if target_version is None or target_version.version < transfer.version:
            # No version is named yet: the origin's newest is brought.
            return False
        if transfer.version == self.taken_up:
            return transfer.is_stuck(now_s)
        if transfer.version != target_version.version:
            if transfer.is_far or self._is_being_seeded(transfer, now_s):
                return False
        return self.next_version(target_version, now_s) != transfer.version

    def _is_being_seeded(self, transfer: Transfer, now_s: float) -> bool:
        """Tell whether the origin is still handing out what no loader has.

        Once the loaders hold all of a version together it can be finished
        whatever happens to the origin; that takes a moment more.
        """
        if self._is_obtainable(transfer.version):
            return False
        return now_s - transfer.started_s < SEED_S

    async def _take_staged(self, chunk_store: ChunkStore) -> None:
        """Take in what lies beside the engine already."""
        model = chunk_store.manifest.model
        for index, _ in enumerate(chunk_store.manifest.chunk_hashes):
            try:
                there = await self.engine.staged(model, index)
            except EngineUnavailable:
                # The engine is down; its keeper says so in the log.
                return
            if there is None and not index:
                return
            if there is not None:
                chunk_store.take(index, there)

    async def _manifest(self, target_version: TargetVersion) -> Manifest | None:
        """Return the manifest from a peer, else from the origin."""
        manifest = await self._manifest_of_peers(target_version)
        if manifest is not None:
            return manifest
        try:
            return await self._manifest_of_origin(target_version)
        except FetchFailed as error:
            emit(
                LogEvent.manifest_missing,
                weights=f'{target_version.model}@{target_version.version}',
                error=str(error),
            )
        return None

    async def _manifest_of_origin(
        self, target_version: TargetVersion
    ) -> Manifest:
        """Read the manifest twice: nothing else would show a spoilt digest."""
        address = self.context.origin_address()
        origin = self.context.origin
        manifest = await origin.manifest(
            address, target_version.model, target_version.version
        )
        again = await origin.manifest(
            address, target_version.model, target_version.version
        )
        if manifest != again:
            raise FetchFailed(FailureReason.corrupt, 'two manifests differ')
        return manifest

    async def _manifest_of_peers(
        self, target_version: TargetVersion
    ) -> Manifest | None:
        """Ask all peers at once; the first manifest is taken."""
        if not target_version.version:
            return None
        asks = [
            asyncio.create_task(
                self.context.client.manifest(
                    peer, target_version.model, target_version.version
                )
            )
            for peer in self.context.peers()
        ]
        try:
            for ask in asyncio.as_completed(asks):
                manifest = await _or_none(ask)
                if manifest is not None:
                    return manifest
        finally:
            for task in asks:
                task.cancel()
        return None


async def _or_none(ask: 'asyncio.Future[Manifest]') -> Manifest | None:
    try:
        return await ask
    except FetchFailed:
        # Not every peer has it yet; the origin is asked next.
        return None
