"""Loads the newest downloaded weights into the engine of this host."""

import asyncio
from collections.abc import Callable
from typing import Protocol, final

from bramleylug.cluster.upstreams import UpstreamReport
from bramleylug.loader.chunk_store import (
    ChunkStore,
    ChunkStores,
    matches_manifest,
)
from bramleylug.loader.downloader import TargetVersion
from bramleylug.loader.engine import EngineUnavailable, LocalEngine
from bramleylug.loader.policy import (
    AnnounceClosing,
    EngineState,
    LoadPolicy,
    LoadWeights,
    Observation,
)
from bramleylug.observability.events import LogEvent, emit

INTERVAL_S = 0.1
# While the engine holds the newest weights, only its load changes.
IDLE_INTERVAL_S = 0.3
# Concurrent calls to the engine while chunks are staged.
PARALLEL_CALLS = 4


class EngineContext(Protocol):
    """What the updater needs from the daemon."""

    def model(self) -> str:
        """Return the model of the service; empty while it is unknown."""

    def target_version(self) -> TargetVersion | None:
        """Return the version to hold; ``None`` while it is unknown."""

    def observe(
        self, ready_version: int, engine: EngineState | None
    ) -> Observation:
        """Return the input of the next decision of the policy."""

    def send_heartbeat(self) -> None:
        """Send the engine's report to the relays at once."""


@final
class EngineUpdater:
    """Polls the engine's report and carries out the load policy.

    :ivar state: last reported state; ``None`` while the engine does not
        answer.
    :ivar report: last report in the form that relays get.
    """

    def __init__(
        self,
        engine: LocalEngine,
        chunk_stores: ChunkStores,
        context: EngineContext,
        clock: Callable[[], float],
    ) -> None:
        self.engine = engine
        self.chunk_stores = chunk_stores
        self.context = context
        self.clock = clock
        self.policy = LoadPolicy()
        self.state: EngineState | None = None
        self.report: UpstreamReport | None = None

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await asyncio.sleep(
                IDLE_INTERVAL_S if self._is_idle() else INTERVAL_S
            )
            model = self.context.model()
            if model:
                await self._read_report(model)
            if self.state is not None:
                await self._step()

    async def stage(self, chunk_store: ChunkStore) -> None:
        """Stage missing and corrupt chunks; verify all by reading them back.

        Chunks that were staged before may have become corrupt since.

        :raises EngineUnavailable: also if a chunk is corrupt when read back.
        """
        limit = asyncio.Semaphore(PARALLEL_CALLS)
        failures = await asyncio.gather(
            *(
                self._stage_chunk(chunk_store, index, limit)
                for index in chunk_store.chunks
            ),
            return_exceptions=True,
        )
        for failure in failures:
            if failure is not None:
                raise failure

    def _is_idle(self) -> bool:
        target = self.context.target_version()
        if target is None or self.state is None:
            return False
        is_loading = self.state.busy or self.policy.closing
        return not is_loading and self.state.can_serve(target.version)

    async def _read_report(self, model: str) -> None:
        try:
            decoded = await self.engine.report(model, self.clock())
        except EngineUnavailable as error:
            if self.state is not None:
                emit(LogEvent.engine_silent, error=str(error))
            self.state = None
            self.report = None
            return
        previous = self.state
        self.state = decoded.state
        self.report = decoded.report
        if previous is None or decoded.state.version != previous.version:
            # Otherwise the engine would get no requests until the next
            # scheduled heartbeat.
            self.context.send_heartbeat()

    async def _step(self) -> None:
        chunk_store = self.chunk_stores.newest_complete()
        if chunk_store is None:
            return
        observation = self.context.observe(
            int(chunk_store.manifest.version), self.state
        )
        for action in self.policy.step(observation, self.clock()):
            match action:
                case AnnounceClosing():
                    self.context.send_heartbeat()
                case LoadWeights():
                    await self._load(chunk_store, action)

    async def _load(self, chunk_store: ChunkStore, order: LoadWeights) -> None:
        weights = f'{chunk_store.manifest.model}@{chunk_store.manifest.version}'
        try:
            await self.stage(chunk_store)
            accepted = await self.engine.load(
                chunk_store.manifest,
                order.after_orders,
                interrupt=order.interrupt,
            )
        except EngineUnavailable as error:
            emit(LogEvent.load_failed, weights=weights, error=str(error))
            self.policy.record_failure(self.clock())
            return
        if accepted:
            emit(LogEvent.weights_loaded, order=weights)
        else:
            emit(LogEvent.load_failed, weights=weights, error='refused')
            self.policy.record_failure(self.clock())

    async def _stage_chunk(
        self, chunk_store: ChunkStore, index: int, limit: asyncio.Semaphore
    ) -> None:
        async with limit:
            if await self._is_staged(chunk_store, index):
                return
            await self.engine.stage(
                chunk_store.manifest.model, index, chunk_store.chunks[index]
            )
            if not await self._is_staged(chunk_store, index):
                raise EngineUnavailable(f'staged chunk {index} is corrupt')

    async def _is_staged(self, chunk_store: ChunkStore, index: int) -> bool:
        staged_chunk = await self.engine.read_staged(
            chunk_store.manifest.model, index
        )
        return staged_chunk is not None and matches_manifest(
            chunk_store.manifest, index, staged_chunk
        )
