"""The relay daemon, which callers talk to."""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, Protocol, final

from circuits import BaseComponent

from bramleylug.entry.reservations import Reservation
from bramleylug.observability.metrics import REVISION
from bramleylug.outcomes import NotRun, Reason
from bramleylug.relay.dialect import Dialect
from bramleylug.relay.error_responses import describe_outcome
from bramleylug.relay.heartbeats import relay_heartbeat
from bramleylug.relay.peers import PeerRecord, Requester, Role
from bramleylug.relay.process import (
    Adapter,
    ProcessCore,
    boot_id,
    uptime_s,
)
from bramleylug.relay.relay import Relay
from bramleylug.relay.route_table import CallerLimits
from bramleylug.relay.settings import RelaySettings
from bramleylug.relay.status_pages import serve_metrics, serve_readiness
from bramleylug.web.exchange import Exchange
from bramleylug.web.limits import WebLimits
from bramleylug.web.memory import MemoryLedger
from bramleylug.web.server import WebServer
from bramleylug.wire.beats_pb2 import Beat

HOLDERS = 2
RETRY_SOON_S = 0.5
# Another entry serves at once; the caller only has to ask for its address.
ELSEWHERE_S = 0.05
# Callers may keep an answer of the directory three times as long as told.
KEEP_FACTOR = 3
# Part of the time to stop in which requests that run still end.
FINISH_SHARE = 0.625
END_MARGIN_S = 0.5


class DirectoryQuery(NamedTuple):
    """What a caller asks the directory.

    :ivar host: host name of its requests.
    """

    host: str
    region: str
    zone: str


class RelayAdapter(Adapter, Protocol):
    """What the adapter of a platform provides to a relay."""

    dialect: Dialect

    def read_directory_query(self, exchange: Exchange) -> DirectoryQuery | None:
        """Read what a caller asks the directory."""

    def write_directory_answer(
        self, exchange: Exchange, addresses: list[str], ttl_s: float
    ) -> None:
        """Answer a caller of the directory."""


@final
class RelayDaemon(BaseComponent):
    """Relay for callers.

    :param settings: checked settings.
    """

    channel = 'relay'

    def __init__(
        self,
        settings: RelaySettings,
        adapter: RelayAdapter,
        clock: Callable[[], float] = uptime_s,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.adapter = adapter
        self.clock = clock
        record = PeerRecord(
            name=settings.name,
            role=Role.relay,
            boot=boot_id(),
            zone=settings.zone,
            region=settings.region,
            serving=settings.caller_bind,
            beats=settings.beat_bind,
        )
        self.core = ProcessCore(
            settings, adapter, record, self.make_heartbeat, clock
        )
        self.core.on_clean_up = self.tidy
        self.relay = Relay(settings, self.core.view, adapter.dialect, clock)
        self.ledger = MemoryLedger(settings.memory_bytes)
        self.limits_in_force: CallerLimits | None = None
        self.leaving_s: float | None = None
        self.web = self._serve_on(
            settings.caller_bind,
            self.serve,
            'callers',
            WebLimits(connections=settings.max_connections, tells_close=False),
        )
        self._serve_on(settings.ready_bind, self.serve_ready, 'ready')
        if settings.directory_bind:
            self._serve_on(
                settings.directory_bind, self.serve_question, 'directory'
            )
        if settings.metrics_bind:
            self._serve_on(settings.metrics_bind, self.serve_metrics, 'metrics')

    def open(self) -> None:
        """Start all work beside the circuits loop."""
        self.core.open()
        self.core.loop.supervise('look', self.relay.hall.keep_looking)

    def close(self) -> None:
        """Stop all work beside the circuits loop."""
        self.core.close()

    def start_draining(self) -> None:
        """Have callers sent elsewhere; those that still come are served."""
        self.leaving_s = self.clock()
        self.core.start_draining()

    def is_idle(self) -> bool:
        """Tell whether the process may end.

        Callers use the address for as long as they may keep it; then idle
        connections are closed and what runs is given time to end.
        """
        if self.leaving_s is None:
            return False
        gone_s = self.clock() - self.leaving_s
        if gone_s > self.settings.stop_time - END_MARGIN_S:
            return True
        if self.takes_requests():
            return False
        if not self.web.connections.leaving:
            self.web.leave()
            self.core.withdraw()
        return not (self.web.busy or self.relay.running)

    def takes_requests(self) -> bool:
        """Tell whether a request that comes now has time to be answered.

        After the request to stop, callers come for as long as they may keep
        the address; what comes later could be cut by the end.
        """
        if self.leaving_s is None:
            return True
        served_s = self.settings.stop_time * (1 - FINISH_SHARE)
        served_s = min(served_s, self.settings.keep_addresses * KEEP_FACTOR)
        return self.clock() - self.leaving_s < served_s

    def make_heartbeat(self) -> Beat:
        """Return what this relay tells the others."""
        return relay_heartbeat(
            self.settings.name,
            self.core.record.boot,
            self.core.view.upstreams,
            self.core.view.suspects,
            draining=bool(self.unready_reason()),
        )

    def tidy(self) -> None:
        """Bring in what changes seldom."""
        view = self.core.view
        view.update_preferred()
        self.relay.pool.tidy(
            {
                upstream_id: upstream.record
                for upstream_id, upstream in view.upstreams.by_id.items()
            }
        )
        if view.table is None:
            return
        REVISION.set({'instance': self.settings.name}, view.table.version)
        if view.table.limits != self.limits_in_force:
            self.limits_in_force = view.table.limits
            self.web.limit(web_limits(self.settings, view.table.limits))

    def unready_reason(self) -> str:
        """Return why no request is taken; empty when some are."""
        if self.core.record.draining:
            return 'leaving'
        if self.core.view.table is None:
            return 'no configuration is known yet'
        if not self.relay.checks.keys_are_fresh():
            return 'keys cannot be confirmed'
        return ''

    def serve(self, exchange: Exchange) -> None:
        """Serve one request of a caller."""
        reserved_bytes = self.settings.caller_bytes + len(exchange.body())
        if self.core.record.draining:
            exchange.drop_connection_after()
        if not self.takes_requests():
            refusal = NotRun(Reason.leaving, 'ask another entry', ELSEWHERE_S)
            exchange.reply_json(*describe_outcome(refusal))
            return
        if not self.ledger.reserve(reserved_bytes):
            refusal = NotRun(
                Reason.overloaded, 'no memory for a request', RETRY_SOON_S
            )
            exchange.reply_json(*describe_outcome(refusal))
            return
        reservation = Reservation(self.ledger, reserved_bytes, HOLDERS)
        exchange.on_ended = reservation.release
        self.core.loop.spawn(lambda: self._serve(exchange, reservation))

    def serve_ready(self, exchange: Exchange) -> None:
        """Answer whether requests are taken."""
        serve_readiness(exchange, self.unready_reason())

    def serve_metrics(self, exchange: Exchange) -> None:
        """Answer with all metrics."""
        serve_metrics(exchange, self.settings.name, self.core.view.store_age_s)

    def serve_question(self, exchange: Exchange) -> None:
        """Tell a caller where to connect."""
        self.core.loop.call(lambda: self._answer_question(exchange))

    async def _serve(
        self, exchange: Exchange, reservation: Reservation
    ) -> None:
        try:
            await self.relay.serve(exchange)
        finally:
            reservation.release()

    def _answer_question(self, exchange: Exchange) -> None:
        question = self.adapter.read_directory_query(exchange)
        if question is None:
            exchange.reply(HTTPStatus.NOT_FOUND, b'no such path\n')
            return
        table = self.core.view.table
        regions = (
            frozenset()
            if table is None
            else table.regions_of_host(question.host)
        )
        requester = Requester(question.region, question.zone, regions)
        addresses = self.core.view.peers.addresses_for(requester, self.clock())
        self.adapter.write_directory_answer(
            exchange, addresses, self.settings.keep_addresses
        )

    def _serve_on(
        self,
        bind: str,
        serve: Callable[[Exchange], None],
        channel: str,
        limits: WebLimits | None = None,
    ) -> WebServer:
        server = WebServer(
            bind,
            serve,
            limits=limits or WebLimits(tells_close=False),
            ledger=self.ledger,
            clock=self.clock,
            channel=channel,
        )
        server.register(self)
        return server


def web_limits(settings: RelaySettings, limits: CallerLimits) -> WebLimits:
    """Return the limits of the callers' port."""
    return WebLimits(
        head_bytes=limits.head_bytes,
        body_bytes=limits.body_bytes,
        connections=settings.max_connections,
        head_timeout_s=limits.head_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
        tells_close=False,
    )
