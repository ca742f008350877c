"""The loader daemon, which stands beside one engine."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus
from typing import Protocol, final
from urllib.parse import parse_qs

from circuits import BaseComponent

from bramleylug.loader.chunk_store import ChunkStore, ChunkStores
from bramleylug.loader.downloader import TargetVersion, WeightsDownloader
from bramleylug.loader.engine import LocalEngine
from bramleylug.loader.engine_updater import EngineUpdater
from bramleylug.loader.holdings_schedule import TELL_S, HoldingsSchedule
from bramleylug.loader.policy import (
    EngineState,
    Observation,
    outdated_since_s,
)
from bramleylug.loader.sources import (
    CHUNK_PATH,
    MANIFEST_PATH,
    Origin,
    PeerClient,
)
from bramleylug.loader.transfer import TransferContext
from bramleylug.loader.uploads import Pacer, Uploads, upload_rate_limit
from bramleylug.relay.peers import PeerRecord, Role
from bramleylug.relay.process import (
    Adapter,
    ProcessCore,
    boot_id,
    uptime_s,
)
from bramleylug.relay.report_messages import report_to_message
from bramleylug.relay.route_table import WeightsLayout
from bramleylug.relay.settings import LoaderSettings
from bramleylug.relay.status_pages import serve_metrics
from bramleylug.routing.rendezvous import rank
from bramleylug.store.changes import StoreChange, StoreUnavailable
from bramleylug.web.exchange import Exchange
from bramleylug.web.limits import WebLimits
from bramleylug.web.server import WebServer
from bramleylug.weights.chunk_sets import to_bytes
from bramleylug.wire.beats_pb2 import Beat, TransferState
from bramleylug.wire.weights_pb2 import HeldChunks

LEAVE_S = 0.3
CONFIGURATION_S = 2.0
CONFIGURATION_RETRY_S = 0.3


class LoaderAdapter(Adapter, Protocol):
    """What the adapter of a platform provides to a loader."""

    origin: Origin

    def engine(self, address: str) -> LocalEngine:
        """Return the engine of this host."""

    async def read_configuration(self) -> Sequence[StoreChange]:
        """Return the configuration as it stands in the store."""


@final
class LoaderDaemon(BaseComponent):
    """Loader of one engine.

    :param settings: checked settings.
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
        self.core.on_heartbeat = self.hear
        self.chunk_stores = ChunkStores()
        self.uploads = Uploads(Pacer(self.upload_rate, clock))
        engine = adapter.engine(settings.upstream)
        self.engine_updater = EngineUpdater(
            engine, self.chunk_stores, self, clock
        )
        context = TransferContext(
            settings.name,
            settings.region,
            self.peers,
            self.origin_address,
            adapter.origin,
            PeerClient(),
            clock,
        )
        self.downloader = WeightsDownloader(
            context, self.chunk_stores, engine, self.target_version
        )
        self.heard_s: dict[int, float] = {}
        self.is_first_goal = True
        self.leaving_s: float | None = None
        self._serve_on(settings.chunk_bind, self.serve, 'chunks')
        if settings.metrics_bind:
            self._serve_on(settings.metrics_bind, self.serve_metrics, 'metrics')

    def open(self) -> None:
        """Start all work beside the circuits loop."""
        self.core.open()
        self.core.loop.supervise('engine', self.engine_updater.run)
        self.core.loop.supervise('transfer', self.downloader.run)
        self.core.loop.supervise('tell', self._tell_loaders)
        self.core.loop.supervise('configuration', self._read_configuration)

    def close(self) -> None:
        """Stop all work beside the circuits loop."""
        self.core.close()

    def start_draining(self) -> None:
        """Hand out nothing more; the engine serves on without a loader."""
        self.leaving_s = self.clock()
        self.core.start_draining()
        self.core.withdraw()

    def is_idle(self) -> bool:
        """Tell whether the process may end."""
        if self.leaving_s is None:
            return False
        return self.clock() - self.leaving_s > LEAVE_S

    def make_heartbeat(self) -> Beat:
        """Return what this loader tells the relays."""
        beat = Beat(
            name=self.settings.name,
            boot=self.core.record.boot,
            draining=self.core.record.draining,
        )
        report = self.engine_updater.report
        if report is not None:
            told = report._replace(closing=self.engine_updater.policy.closing)
            beat.reading.CopyFrom(
                report_to_message(self.settings.upstream, told)
            )
        return beat

    def hear(self, beat: Beat) -> None:
        """Take in what another process tells."""
        self.core.view.receive_heartbeat(beat)
        for state in beat.transfers:
            self.downloader.hear(beat.name, state)

    def model(self) -> str:
        """Return the model of the service; empty while it is unknown."""
        layout = self._layout()
        return '' if layout is None else layout.model

    def target_version(self) -> TargetVersion | None:
        """Return what is to be here."""
        layout = self._layout()
        if layout is None:
            return None
        view = self.core.view
        newest = view.versions.newest(layout.model)
        if newest not in self.heard_s:
            # One that stood in the store before may have been named long ago.
            is_old = not self.heard_s and self.is_first_goal
            self.heard_s[newest] = float('-inf') if is_old else self.clock()
        self.is_first_goal = False
        return TargetVersion(layout.model, newest)

    def observe(self, ready: int, engine: EngineState | None) -> Observation:
        """Return what a step of the keeper is decided on."""
        now_s = self.clock()
        held = 0 if engine is None else engine.version
        hosts = [self.settings.name, *(peer.name for peer in self.peers())]
        table = self.core.view.table
        return Observation(
            ready,
            outdated_since_s(self.heard_s, held, now_s),
            self.settings.version_limit,
            engine=engine,
            rank=rank(str(ready), hosts).index(self.settings.name),
            host_count=len(hosts),
            may_interrupt=table is not None
            and table.all_resumable(self.settings.service),
        )

    def upload_rate(self) -> float:
        """Return the rate of chunks handed out, in bytes a second."""
        least_by_model = self.core.view.versions.min_versions(self.clock())
        least = least_by_model.get(self.model(), 0)
        return upload_rate_limit(
            self.settings, self.engine_updater.state, least
        )

    def tell(self) -> None:
        """Tell the relays at once whether the engine closes."""
        self.core.send_heartbeat()

    def peers(self) -> Iterable[PeerRecord]:
        """Return the other loaders that live."""
        return self.core.view.peers.alive(Role.loader, self.clock())

    def origin_address(self) -> str:
        """Return the address of the origin; empty while it is unknown."""
        table = self.core.view.table
        if table is None:
            return ''
        return next((service.origin for service in table.origins()), '')

    def serve_metrics(self, exchange: Exchange) -> None:
        """Answer with all metrics."""
        serve_metrics(exchange, self.settings.name, self.core.view.store_age_s)

    def serve(self, exchange: Exchange) -> None:
        """Answer another loader."""
        self.core.loop.call(lambda: self._answer(exchange))

    def _answer(self, exchange: Exchange) -> None:
        query = parse_qs(exchange.query)
        chunk_store = self.chunk_stores.by_version.get(
            _number(query, 'version')
        )
        if chunk_store is not None and exchange.path == MANIFEST_PATH:
            exchange.reply(HTTPStatus.OK, chunk_store.manifest.to_json())
            return
        chunk = None
        if chunk_store is not None and exchange.path == CHUNK_PATH:
            chunk = chunk_store.chunks.get(_number(query, 'index'))
        if chunk is None:
            exchange.reply(HTTPStatus.NOT_FOUND, b'')
            return
        held = chunk
        self.core.loop.spawn(lambda: self.uploads.send(exchange, held))

    async def _tell_loaders(self) -> None:
        """Tell the other loaders what is held, often while it changes."""
        schedule = HoldingsSchedule(self.settings.region)
        while True:
            await asyncio.sleep(TELL_S)
            states = [
                self._state_of(chunk_store)
                for chunk_store in self.chunk_stores.by_version.values()
            ]
            due = schedule.due(states, self.peers(), self.clock())
            if self.core.socket is None or not due:
                continue
            beat = Beat(name=self.settings.name, boot=self.core.record.boot)
            beat.transfers.extend(states)
            self.core.socket.send(beat, [peer.beats for peer in due])

    def _state_of(self, chunk_store: ChunkStore) -> TransferState:
        manifest = chunk_store.manifest
        transfer = self.downloader.transfer
        duty_bytes = 0
        if transfer is not None and transfer.chunk_store is chunk_store:
            duty_bytes = transfer.duty_bytes
        return TransferState(
            model=manifest.model,
            version=int(manifest.version),
            held=HeldChunks(
                bitmap=to_bytes(chunk_store.held, len(manifest.chunk_hashes)),
                duty_bytes=duty_bytes,
                free_upload_slots=self.uploads.free,
            ),
        )

    async def _read_configuration(self) -> None:
        """Read the configuration at the start, and when it may be outdated.

        The origin may have moved where it does not answer.
        """
        while True:
            watch = self.downloader.origin_watch
            if self._layout() is None or not watch.answers(self.clock()):
                try:
                    items = await self.adapter.read_configuration()
                except StoreUnavailable:
                    # The followers of the same store log that it is away.
                    await asyncio.sleep(CONFIGURATION_RETRY_S)
                    continue
                self.core.apply_changes(items)
            await asyncio.sleep(CONFIGURATION_S)

    def _layout(self) -> WeightsLayout | None:
        table = self.core.view.table
        if table is None:
            return None
        service = table.services.get(self.settings.service)
        return None if service is None else service.weights

    def _serve_on(
        self, bind: str, serve: Callable[[Exchange], None], channel: str
    ) -> None:
        limits = WebLimits(tells_close=False)
        server = WebServer(bind, serve, limits=limits, channel=channel)
        server.register(self)


def own_record(settings: LoaderSettings) -> PeerRecord:
    """Return the record that a loader announces itself with."""
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


def _number(query: dict[str, list[str]], name: str) -> int:
    """Return a whole number of a query; -1 where there is none."""
    text = query.get(name, [''])[0]
    return int(text) if text.isdecimal() else -1
