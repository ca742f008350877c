"""Loads the newest downloaded weights into the engine of this host."""

from collections.abc import Callable
from typing import Protocol, final

from bramleylug.cluster.held_weights import WeightsCheck
from bramleylug.cluster.upstreams import UpstreamReport
from bramleylug.loader.chunk_store import ChunkStore, ChunkStores
from bramleylug.loader.downloader import TargetVersion
from bramleylug.loader.engine import (
    EngineUnavailable,
    LoadOrder,
    LocalEngine,
    OrderAnswer,
)
from bramleylug.loader.pace_watch import PaceWatch
from bramleylug.loader.policy import (
    RETRY_S,
    AnnounceClosing,
    EngineState,
    LoadPolicy,
    LoadWeights,
    Observation,
)
from bramleylug.loader.staging_area import StagingArea, StagingReport
from bramleylug.loader.weights_audit import WeightsAudit
from bramleylug.node.ticks import sleep_until_tick
from bramleylug.observability.events import LogEvent, emit
from bramleylug.weights.manifest import Manifest

INTERVAL_S = 0.1
# While the engine holds the newest weights, only its load changes.
IDLE_INTERVAL_S = 0.3
MILLISECONDS = 1000
# Heartbeats to all relays once weights are confirmed, as they do not serve
# without and datagrams may be lost.
ANNOUNCEMENTS = 2


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
    :ivar pace_watch: tells when the engine's pace has changed.
    :ivar report: last report in the form that relays get.
    :ivar announcements_due: heartbeats that are still to tell all relays that
        the weights are confirmed.
    :ivar read_s: when the report was read last.
    :ivar staged_version: version that this process has staged last, perhaps
        in part; 0 for none.
    """

    def __init__(
        self,
        engine: LocalEngine,
        chunk_stores: ChunkStores,
        context: EngineContext,
        clock: Callable[[], float],
    ) -> None:
        self.engine = engine
        self.audit = WeightsAudit()
        self.staging_area = StagingArea(engine, clock, self.audit.record_write)
        self.chunk_stores = chunk_stores
        self.context = context
        self.clock = clock
        self.pace_watch = PaceWatch()
        self.policy = LoadPolicy()
        self.state: EngineState | None = None
        self.report: UpstreamReport | None = None
        self.announcements_due = 0
        self.read_s = float('-inf')
        self.staged_version = 0

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await sleep_until_tick(
                IDLE_INTERVAL_S if self._is_idle() else INTERVAL_S
            )
            if self._has_work() or self._is_report_old():
                await self._update()
            self._announce()

    async def _update(self) -> None:
        self.read_s = self.clock()
        model = self.context.model()
        if model:
            await self._read_report(model)
        if self.state is not None:
            await self._step(self.state)

    def _has_work(self) -> bool:
        """Return whether the engine loads, or is to load or to unload."""
        engine = self.state
        if engine is None or engine.busy or self.policy.closing:
            return True
        if self.audit.is_due(engine) or self.audit.must_unload(engine):
            return True
        chunk_store = self.chunk_stores.newest_loadable()
        return chunk_store is not None and not engine.can_serve(
            int(chunk_store.manifest.version)
        )

    def _is_report_old(self) -> bool:
        age_s = self.clock() - self.read_s
        return age_s > IDLE_INTERVAL_S - INTERVAL_S / 2

    def _is_idle(self) -> bool:
        target = self.context.target_version()
        if target is None or self.state is None:
            return False
        is_loading = self.state.busy or self.policy.closing
        if is_loading or self.audit.is_due(self.state):
            return False
        return self.state.can_serve(target.version)

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
        self.audit.observe(decoded.state)
        self._set_report(decoded.report)
        is_new_pace = self.pace_watch.record(decoded.report.pace, self.clock())
        if (
            is_new_pace
            or previous is None
            or decoded.state.version != previous.version
        ):
            # Otherwise the engine would get no requests, or too many, until
            # the next scheduled heartbeat.
            self.context.send_heartbeat()

    def _set_report(self, report: UpstreamReport) -> None:
        check = WeightsCheck.unknown
        if self.state is not None:
            check = self.audit.check(self.state)
        is_new = self.report is not None and self.report.check is not check
        if is_new and check is WeightsCheck.confirmed:
            self.announcements_due = ANNOUNCEMENTS
        self.report = report._replace(check=check)

    def _announce(self) -> None:
        if self.announcements_due:
            self.announcements_due -= 1
            self.context.send_heartbeat()

    async def _step(self, engine: EngineState) -> None:
        if self.audit.is_outdated(engine):
            return
        chunk_store = self.chunk_stores.newest_loadable()
        if self.audit.is_due(engine):
            await self._read_back(engine)
        if chunk_store is None:
            return
        version = int(chunk_store.manifest.version)
        observation = self.context.observe(version, engine)
        if self.audit.must_unload(engine):
            await self._unload(chunk_store, observation)
            return
        for action in self.policy.step(observation, self.clock()):
            match action:
                case AnnounceClosing():
                    self.context.send_heartbeat()
                case LoadWeights():
                    order = LoadOrder(action.after_orders, action.interrupt)
                    await self._order(chunk_store, order)

    async def _read_back(self, engine: EngineState) -> None:
        """Read the staged chunks back that the engine has loaded."""
        manifest = self._loaded_manifest(engine)
        if manifest is None:
            return
        began_s = self.clock()
        try:
            corrupt = await self.staging_area.find_corrupt(
                manifest,
                self.audit.sound_chunks(engine, int(manifest.version)),
            )
        except EngineUnavailable:
            # The other chunks are read after the next report.
            return
        suspect = self.audit.record_read_back(
            engine, int(manifest.version), corrupt
        )
        if self.report is not None:
            self._set_report(self.report)
        if suspect:
            emit(
                LogEvent.weights_corrupt,
                weights=_describe(manifest),
                chunks=sorted(suspect),
            )
            return
        emit(
            LogEvent.weights_confirmed,
            weights=_describe(manifest),
            took_ms=self._elapsed_ms(began_s),
            orders=engine.accepted_orders,
        )

    def _loaded_manifest(self, engine: EngineState) -> Manifest | None:
        """Return the manifest of what the engine loads or has loaded."""
        ordered = self.audit.ordered_manifest(engine)
        if ordered is not None:
            return ordered
        by_version = self.chunk_stores.by_version
        chunk_store = by_version.get(engine.version)
        # An earlier process may have staged chunks of any version.
        staged = self.staged_version or max(by_version, default=0)
        if chunk_store is None or staged > engine.version:
            return None
        return chunk_store.manifest

    async def _unload(
        self, chunk_store: ChunkStore, observation: Observation
    ) -> None:
        """Have the engine give up what it has loaded.

        It does not load a version again that it holds whole. An empty engine
        gets an order to load at once.
        """
        engine = observation.engine
        now_s = self.clock()
        if engine is None or engine.busy or now_s < self.policy.retry_at_s:
            return
        self.policy.retry_at_s = now_s + RETRY_S
        order = LoadOrder(
            engine.accepted_orders, observation.may_interrupt, unload=True
        )
        await self._order(chunk_store, order)

    async def _order(self, chunk_store: ChunkStore, order: LoadOrder) -> None:
        """Send an order; before one to load, stage and verify the chunks.

        An order to load whose answer was lost is sent again as it was.
        """
        unsettled = None if order.unload else self.audit.unsettled
        manifest = unsettled or chunk_store.manifest
        began_s = self.clock()
        staging = StagingReport(began_s, began_s, 0)
        try:
            if not (order.unload or unsettled):
                self.staged_version = int(manifest.version)
                staging = await self.staging_area.stage(chunk_store)
            answer = await self._send_order(manifest, order)
        except EngineUnavailable as error:
            self._record_failure(manifest, began_s, str(error))
            return
        if answer is OrderAnswer.refused:
            self._record_failure(manifest, began_s, answer.value)
            return
        emit(
            LogEvent.weights_loaded,
            order=_describe(manifest),
            unload=order.unload,
            answer=answer.value,
            after_orders=order.after_orders,
            age_ms=self._elapsed_ms(staging.oldest_read_s),
            took_ms=self._elapsed_ms(staging.began_s),
            written=staging.written,
        )

    async def _send_order(
        self, manifest: Manifest, order: LoadOrder
    ) -> OrderAnswer:
        """Send an order and return its answer.

        :raises EngineUnavailable: when the answer is lost.
        """
        self.audit.record_order(manifest, order)
        try:
            answer = await self.engine.load(manifest, order)
        except EngineUnavailable:
            self.audit.record_lost_answer()
            raise
        if answer is OrderAnswer.began:
            self.audit.record_begun(order.after_orders)
        return answer

    def _record_failure(
        self, manifest: Manifest, began_s: float, error: str
    ) -> None:
        emit(
            LogEvent.load_failed,
            weights=_describe(manifest),
            error=error,
            took_ms=self._elapsed_ms(began_s),
        )
        self.policy.record_failure(self.clock())

    def _elapsed_ms(self, since_s: float) -> int:
        return round((self.clock() - since_s) * MILLISECONDS)


def _describe(manifest: Manifest) -> str:
    return f'{manifest.model}@{manifest.version}'
