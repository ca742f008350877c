"""Keeping the engine of this host on the newest weights that are here."""

import asyncio
from collections.abc import Callable
from typing import Protocol, final

from bramleylug.loader.chunk_store import ChunkStore, ChunkStores, fits
from bramleylug.loader.engine import EngineUnavailable, LocalEngine
from bramleylug.loader.policy import (
    AnnounceClosing,
    EngineState,
    LoadPolicy,
    LoadWeights,
    Observation,
)
from bramleylug.observability.events import LogEvent, emit
from bramleylug.relay.upstreams import UpstreamReport

STEP_S = 0.1


class EngineContext(Protocol):
    """What the keeper is told of its surroundings."""

    def model(self) -> str:
        """Return the model of the service; empty while it is unknown."""

    def observe(self, ready: int, engine: EngineState | None) -> Observation:
        """Return what a step is decided on."""

    def tell(self) -> None:
        """Tell the relays at once whether the engine closes."""


@final
class EngineUpdater:
    """Reads the engine's report and does what follows from it.

    :ivar state: what the engine last said; ``None`` while it is silent.
    :ivar report: the same for the relays.
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
            await asyncio.sleep(STEP_S)
            model = self.context.model()
            if model:
                await self._read(model)
            if self.state is not None:
                await self._step()

    async def _read(self, model: str) -> None:
        try:
            said = await self.engine.report(model, self.clock())
        except EngineUnavailable as error:
            if self.state is not None:
                emit(LogEvent.engine_silent, error=str(error))
            self.state = None
            self.report = None
            return
        before = self.state
        self.state = said.state
        self.report = said.report
        if before is None or said.state.version != before.version:
            # The relays send to it at once.
            self.context.tell()

    async def _step(self) -> None:
        chunk_store = self.chunk_stores.newest_complete()
        if chunk_store is None:
            return
        seen = self.context.observe(
            int(chunk_store.manifest.version), self.state
        )
        for action in self.policy.step(seen, self.clock()):
            match action:
                case AnnounceClosing():
                    self.context.tell()
                case LoadWeights():
                    await self._load(chunk_store, action)

    async def _load(self, chunk_store: ChunkStore, order: LoadWeights) -> None:
        weights = f'{chunk_store.manifest.model}@{chunk_store.manifest.version}'
        try:
            await self._stage(chunk_store)
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

    async def _stage(self, chunk_store: ChunkStore) -> None:
        """Lay every chunk beside the engine and read each one back.

        What lay there before may have gone bad since.
        """
        for index in chunk_store.chunks:
            if not await self._is_staged(chunk_store, index):
                await self.engine.stage(
                    chunk_store.manifest.model, index, chunk_store.chunks[index]
                )
        for index in chunk_store.chunks:
            if not await self._is_staged(chunk_store, index):
                raise EngineUnavailable(f'staged chunk {index} went bad')

    async def _is_staged(self, chunk_store: ChunkStore, index: int) -> bool:
        there = await self.engine.staged(chunk_store.manifest.model, index)
        return there is not None and fits(chunk_store.manifest, index, there)
