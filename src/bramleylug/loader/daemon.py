"""Loader daemon: downloads weights, serves chunks, updates one engine."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol, final

from circuits import BaseComponent

from bramleylug.cluster.descriptors import loader_budget
from bramleylug.cluster.peers import PeerRecord, Role
from bramleylug.cluster.process import (
    Adapter,
    ProcessCore,
    boot_id,
    uptime_s,
)
from bramleylug.cluster.report_messages import report_to_message
from bramleylug.cluster.route_table import WeightsLayout
from bramleylug.cluster.status_pages import serve_metrics
from bramleylug.loader.chunk_pages import ChunkPages
from bramleylug.loader.chunk_store import ChunkStore, ChunkStores
from bramleylug.loader.downloader import TargetVersion, WeightsDownloader
from bramleylug.loader.engine import LocalEngine
from bramleylug.loader.engine_updater import EngineUpdater
from bramleylug.loader.holdings_schedule import HoldingsSchedule
from bramleylug.loader.policy import (
    EngineState,
    Observation,
    outdated_since_s,
)
from bramleylug.loader.settings import LoaderSettings
from bramleylug.loader.sources import (
    Origin,
    OriginRecord,
    PeerClient,
)
from bramleylug.loader.transfer import TransferContext
from bramleylug.loader.uploads import (
    Pacer,
    UploadLimit,
    Uploads,
    upload_limit,
)
from bramleylug.loader.version_targets import VersionTargets
from bramleylug.routing.rendezvous import place
from bramleylug.store.changes import (
    StoreChange,
    StoreUnavailable,
    WatchableStore,
)
from bramleylug.web.descriptors import DescriptorShare, DescriptorUse
from bramleylug.web.exchange import Exchange
from bramleylug.web.limits import WebLimits
from bramleylug.web.server import WebServer
from bramleylug.weights.chunk_sets import to_bytes
from bramleylug.wire.beats_pb2 import Beat, TransferState
from bramleylug.wire.weights_pb2 import HeldChunks

# Time from the start of draining until the process may end.
DRAIN_S = 0.3
CONFIGURATION_CHECK_S = 2.0
CONFIGURATION_RETRY_S = 0.3


class LoaderAdapter(Adapter, Protocol):
    """Interface to the platform that a loader needs."""

    @property
    def origin(self) -> Origin:
        """Return a client for the origin of weights."""

    def engine(self, address: str) -> LocalEngine:
        """Return a client for the engine of this host."""

    async def read_configuration(
        self, store: WatchableStore
    ) -> Sequence[StoreChange]:
        """Read the configuration once."""


@final
class LoaderDaemon(BaseComponent):
    """Loader of one engine.

    :param settings: validated settings.
    """

    channel = 'loader'

    def __init__(
        self,
        settings: LoaderSettings,
        adapter: LoaderAdapter,
        clock: Callable[[], float] = uptime_s,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.adapter = adapter
        self.core = ProcessCore(
            settings, adapter, own_record(settings), self.make_heartbeat, clock
        )
        self.core.on_heartbeat = self.receive_heartbeat
        self.targets = VersionTargets(
            self.model, self.core.view.versions, clock
        )
        self.chunk_stores = ChunkStores(self.targets.may_load)
        self.uploads = Uploads(Pacer(self.upload_limit, clock))
        self.pages = ChunkPages(self.chunk_stores, self.uploads)
        engine = adapter.engine(settings.upstream)
        self.engine_updater = EngineUpdater(
            engine, self.chunk_stores, self, clock
        )
        self.holdings = HoldingsSchedule(settings.region)
        context = TransferContext(
            settings.name,
            settings.region,
            self.peers,
            self.origin_record,
            adapter.origin,
            PeerClient(),
            clock,
            self.holdings.hurry,
        )
        self.downloader = WeightsDownloader(
            context, self.chunk_stores, engine, self.targets.to_download
        )
        self.draining_since_s: float | None = None
        self.descriptors = loader_budget(settings.file_descriptors)
        self._listen(settings.chunk_bind, self.serve, DescriptorUse.chunks)
        if settings.metrics_bind:
            self._listen(
                settings.metrics_bind, self.serve_metrics, DescriptorUse.pages
            )

    def open(self) -> None:
        """Start the background tasks, outside the circuits loop."""
        self.core.open()
        self.core.loop.supervise('engine', self.engine_updater.run)
        self.core.loop.supervise('transfer', self.downloader.run)
        self.core.loop.supervise('tell', self._send_holdings)
        self.core.loop.supervise('configuration', self._read_configuration)

    def close(self) -> None:
        """Stop the background tasks."""
        self.core.close()

    def start_draining(self) -> None:
        """Announce that this loader leaves; its engine continues to serve."""
        self.draining_since_s = self.clock()
        self.core.start_draining()
        self.core.withdraw()

    def is_idle(self) -> bool:
        """Return whether draining is over and the process may end."""
        if self.draining_since_s is None:
            return False
        return self.clock() - self.draining_since_s > DRAIN_S

    def make_heartbeat(self) -> Beat:
        """Return the heartbeat for relays, with the engine's report."""
        heartbeat = Beat(
            name=self.settings.name,
            boot=self.core.record.boot,
            draining=self.core.record.draining,
        )
        report = self.engine_updater.report
        if report is not None:
            announced = report._replace(
                closing=self.engine_updater.policy.closing
            )
            heartbeat.reading.CopyFrom(
                report_to_message(self.settings.upstream, announced)
            )
        return heartbeat

    def receive_heartbeat(self, heartbeat: Beat) -> None:
        """Apply a heartbeat of another process."""
        self.core.receive_heartbeat(heartbeat)
        self.targets.record(heartbeat.named)
        for state in heartbeat.transfers:
            self.downloader.update_holdings(heartbeat.name, state)

    def model(self) -> str:
        """Return the model of the service; empty while it is unknown."""
        layout = self._layout()
        return '' if layout is None else layout.model

    def target_version(self) -> TargetVersion | None:
        """Return the version to load; ``None`` while it is unknown."""
        return self.targets.to_load()

    def observe(
        self, ready_version: int, engine: EngineState | None
    ) -> Observation:
        """Return the input of the engine updater's next decision."""
        now_s = self.clock()
        held = 0 if engine is None else engine.version
        hosts = (self.settings.name, *(peer.name for peer in self.peers()))
        table = self.core.view.table
        set_times = self.core.view.versions.set_times(self.model())
        return Observation(
            ready_version,
            outdated_since_s(set_times, held, now_s),
            self.settings.version_limit,
            engine=engine,
            rank=place(str(ready_version), self.settings.name, hosts),
            host_count=len(hosts),
            may_interrupt=table is not None
            and table.all_resumable(self.settings.service),
        )

    def upload_limit(self) -> UploadLimit:
        """Return the limit for all uploads together."""
        min_versions = self.core.view.versions.min_versions(self.clock())
        return upload_limit(
            self.settings,
            self.engine_updater.state,
            min_versions.get(self.model(), 0),
        )

    def send_heartbeat(self) -> None:
        """Send the engine's report to the relays at once."""
        self.core.send_heartbeat()

    def peers(self) -> Iterable[PeerRecord]:
        """Return the live other loaders."""
        return self.core.view.peers.alive(Role.loader, self.clock())

    def origin_record(self) -> OriginRecord:
        """Return the origin as the configuration has it."""
        table = self.core.view.table
        if table is None:
            return OriginRecord()
        records = (
            OriginRecord(service.origin, service.max_connections)
            for service in table.origins()
        )
        return next(records, OriginRecord())

    def serve_metrics(self, exchange: Exchange) -> None:
        serve_metrics(exchange, self.settings.name, self.core.view.store_age_s)

    def serve(self, exchange: Exchange) -> None:
        """Answer another loader's request for a manifest or a chunk."""
        self.core.loop.serve(exchange, lambda: self.pages.answer(exchange))

    async def _send_holdings(self) -> None:
        """Send other loaders heartbeats with the chunks held here."""
        schedule = self.holdings
        while True:
            await schedule.wait(self.clock())
            states = [
                self._transfer_state(chunk_store)
                for chunk_store in self.chunk_stores.by_version.values()
            ]
            due = schedule.due(states, self.peers(), self.clock())
            if self.core.socket is None or not due:
                continue
            heartbeat = Beat(
                name=self.settings.name, boot=self.core.record.boot
            )
            heartbeat.transfers.extend(states)
            heartbeat.named.extend(self.targets.named())
            self.core.socket.send(heartbeat, [peer.beats for peer in due])

    def _transfer_state(self, chunk_store: ChunkStore) -> TransferState:
        manifest = chunk_store.manifest
        transfer = self.downloader.transfer
        held = HeldChunks()
        if transfer is not None and transfer.chunk_store is chunk_store:
            held = transfer.held_chunks(self.clock())
        held.bitmap = to_bytes(chunk_store.held, len(manifest.chunk_hashes))
        held.free_upload_slots = self.uploads.free_slots
        return TransferState(
            model=manifest.model, version=int(manifest.version), held=held
        )

    async def _read_configuration(self) -> None:
        """Read the configuration at the start and while the origin is down.

        An origin that does not answer may have moved to another address.
        """
        while True:
            monitor = self.downloader.origin_monitor
            if self._layout() is None or not monitor.is_available(self.clock()):
                try:
                    items = await self.adapter.read_configuration(
                        self.core.store
                    )
                except StoreUnavailable:
                    # The watchers of the same store log this.
                    await asyncio.sleep(CONFIGURATION_RETRY_S)
                    continue
                self.core.apply_changes(items)
            await asyncio.sleep(CONFIGURATION_CHECK_S)

    def _layout(self) -> WeightsLayout | None:
        table = self.core.view.table
        if table is None:
            return None
        service = table.services.get(self.settings.service)
        return None if service is None else service.weights

    def _listen(
        self,
        bind: str,
        serve: Callable[[Exchange], None],
        use: DescriptorUse,
    ) -> None:
        server = WebServer(
            bind,
            serve,
            limits=WebLimits(respond_before_close=False),
            channel=f'{use.value} {bind}',
            descriptors=DescriptorShare(self.descriptors, use),
        )
        server.register(self)


def own_record(settings: LoaderSettings) -> PeerRecord:
    """Return the record that a loader writes to the store."""
    return PeerRecord(
        name=settings.name,
        role=Role.loader,
        boot=boot_id(),
        zone=settings.zone,
        region=settings.region,
        serving=settings.upstream,
        beats=settings.beat_bind,
        chunks=settings.chunk_bind,
    )
