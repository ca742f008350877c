"""Loads the newest downloaded weights into the engine of this host."""

import asyncio
from collections.abc import Callable
from typing import Protocol, final

from bramleylug.cluster.upstreams import UpstreamReport
from bramleylug.loader.chunk_store import ChunkStore, ChunkStores
from bramleylug.loader.downloader import TargetVersion
from bramleylug.loader.engine import EngineUnavailable, LocalEngine
from bramleylug.loader.policy import (
    AnnounceClosing,
    EngineState,
    LoadPolicy,
    LoadWeights,
    Observation,
)
from bramleylug.loader.staging_area import StagingArea
from bramleylug.observability.events import LogEvent, emit

INTERVAL_S = 0.1
# While the engine holds the newest weights, only its load changes.
IDLE_INTERVAL_S = 0.3
MILLISECONDS = 1000


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
        self.staging_area = StagingArea(engine, clock)
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
        began_s = self.clock()
        try:
            staging = await self.staging_area.stage(chunk_store)
            accepted = await self.engine.load(
                chunk_store.manifest,
                order.after_orders,
                interrupt=order.interrupt,
            )
        except EngineUnavailable as error:
            self._record_failure(weights, began_s, str(error))
            return
        if not accepted:
            self._record_failure(weights, began_s, 'refused')
            return
        emit(
            LogEvent.weights_loaded,
            order=weights,
            after_orders=order.after_orders,
            age_ms=self._elapsed_ms(staging.oldest_read_s),
            took_ms=self._elapsed_ms(staging.began_s),
            written=staging.written,
        )

    def _record_failure(self, weights: str, began_s: float, error: str) -> None:
        emit(
            LogEvent.load_failed,
            weights=weights,
            error=error,
            took_ms=self._elapsed_ms(began_s),
        )
        self.policy.record_failure(self.clock())

    def _elapsed_ms(self, since_s: float) -> int:
        return round((self.clock() - since_s) * MILLISECONDS)
