"""The relay daemon: ports for callers, readiness, directory and metrics."""

import time
from collections.abc import Callable, Mapping
from http import HTTPStatus
from random import Random
from typing import Protocol, final

from circuits import BaseComponent

from bramleylug.cluster.bar_archive import BarArchive
from bramleylug.cluster.demand_messages import (
    loads_to_messages,
    returns_to_messages,
)
from bramleylug.cluster.descriptors import relay_budget
from bramleylug.cluster.heartbeats import relay_heartbeat
from bramleylug.cluster.peers import PeerRecord, Requester, Role
from bramleylug.cluster.process import (
    Adapter,
    ProcessCore,
    boot_id,
    uptime_s,
)
from bramleylug.cluster.route_table import CallerLimits, RouteTable
from bramleylug.cluster.status_pages import serve_metrics, serve_readiness
from bramleylug.cluster.use_messages import uses_to_messages
from bramleylug.duties.relay_duties import DutyAdapter, RelayDuties
from bramleylug.entry.reservations import Reservation
from bramleylug.observability.metrics import LIMITED_UPSTREAMS, REVISION
from bramleylug.outcomes import NotRun, Reason
from bramleylug.relay.dialect import Dialect
from bramleylug.relay.directory_query import DirectoryQuery
from bramleylug.relay.error_responses import error_response
from bramleylug.relay.relay import Relay
from bramleylug.relay.request_context import leaving_refusal
from bramleylug.relay.settings import RelaySettings
from bramleylug.scheduling.demand import Level, LevelLoad
from bramleylug.web.descriptors import DescriptorShare, DescriptorUse
from bramleylug.web.exchange import Exchange
from bramleylug.web.limits import WebLimits
from bramleylug.web.memory import MemoryLedger
from bramleylug.web.server import WebServer
from bramleylug.wire.beats_pb2 import Beat

# The memory of a request is released when both the exchange and the task that
# serves it have ended.
RESERVATION_HOLDERS = 2
# Memory for requests to readiness, directory, feed and metrics, which work
# when callers have used all of theirs.
PAGE_BYTES = 1048576
OVERLOAD_RETRY_S = 0.5
# Callers may use an answer of the directory for three times its TTL.
TTL_FACTOR = 3
# Part of the stop time that is reserved for ending running requests.
FINISH_SHARE = 0.625
STOP_MARGIN_S = 0.5
# Time before that for the answers of requests that the stop ends.
LAST_ANSWERS_S = 0.3


class RelayAdapter(Adapter, DutyAdapter, Protocol):
    """Interface to the platform that a relay needs."""

    @property
    def dialect(self) -> Dialect:
        """Return what reads and writes the platform's headers."""

    def bar_key(self, fingerprint: bytes) -> str:
        """Return the store key of a bar."""

    def read_directory_query(self, exchange: Exchange) -> DirectoryQuery | None:
        """Return the query of an exchange; ``None`` for another path."""

    def write_directory_answer(
        self, exchange: Exchange, addresses: list[str], ttl_s: float
    ) -> None:
        """Respond to a directory query."""


@final
class RelayDaemon(BaseComponent):
    """Daemon that serves callers.

    :param settings: validated settings.
    :ivar max_connections: most connections of callers open at once.
    :ivar ledger: memory for the requests of callers.
    :ivar draining_since_s: when the planned stop began; ``None`` before.
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
            feed=settings.feed_bind,
        )
        self.core = ProcessCore(
            settings, adapter, record, self.make_heartbeat, clock
        )
        self.core.on_clean_up = self.clean_up
        self.core.view.suspects.on_change = self.core.announce_soon
        self.core.view.permits.on_limit_changed = self.core.announce_soon
        self.core.view.on_peer_started = self.tell_limits
        self.descriptors = relay_budget(settings.file_descriptors)
        self.max_connections = self.descriptors.limit_of(DescriptorUse.callers)
        self.relay = Relay(
            settings,
            self.core.view,
            adapter.dialect,
            clock,
            self.descriptors,
        )
        self.duties: RelayDuties | None = None
        if settings.duties is not None:
            self.duties = RelayDuties(
                settings.duties, self.core, adapter, clock, self.relay.demand
            )
            self.relay.on_begun = self.duties.count
        self.core.on_heartbeat = self.receive_heartbeat
        self.bar_archive = BarArchive(
            self.core.store,
            self.core.view.suspects,
            adapter.bar_key,
            time.time,
            Random(settings.name),  # noqa: S311
        )
        self.ledger = MemoryLedger(settings.memory_bytes)
        self.page_ledger = MemoryLedger(PAGE_BYTES)
        self.limits_in_force: CallerLimits | None = None
        self.draining_since_s: float | None = None
        self.web = self._serve_on(
            settings.caller_bind,
            self.serve,
            DescriptorUse.callers,
            WebLimits(
                connections=self.max_connections, respond_before_close=False
            ),
        )
        self._serve_on(
            settings.ready_bind, self.serve_ready, DescriptorUse.pages
        )
        if settings.directory_bind:
            self._serve_on(
                settings.directory_bind,
                self.serve_directory,
                DescriptorUse.directory,
            )
        if settings.feed_bind:
            self._serve_on(
                settings.feed_bind, self.serve_feed, DescriptorUse.feed
            )
        if settings.metrics_bind:
            self._serve_on(
                settings.metrics_bind, self.serve_metrics, DescriptorUse.pages
            )

    def open(self) -> None:
        """Start the background tasks, outside the circuits loop."""
        self.core.open()
        self.core.loop.supervise('look', self.relay.dispatch_queue.run)
        self.core.loop.supervise('permits', self.core.view.permits.run)
        if self.duties is not None:
            self.duties.open()

    def close(self) -> None:
        self.core.close()

    def start_draining(self) -> None:
        """Direct callers to other relays; serve those that still connect."""
        self.draining_since_s = self.clock()
        self.core.start_draining()
        if self.duties is not None:
            self.duties.start_draining()
        ends_s = (
            self.draining_since_s
            + self.settings.stop_time
            - STOP_MARGIN_S
            - LAST_ANSWERS_S
        )
        self.core.loop.call(lambda: self.relay.planned_stop.begin(ends_s))

    def is_idle(self) -> bool:
        """Return whether the process may end.

        Callers may use its address until the directory's answer expires.
        Then idle connections are closed, and running requests get time to
        end.
        """
        if self.draining_since_s is None:
            return False
        draining_s = self.clock() - self.draining_since_s
        if draining_s > self.settings.stop_time - STOP_MARGIN_S:
            return True
        if self.accepts_requests():
            return False
        if not self.web.connections.draining:
            self.web.start_draining()
            self.core.withdraw()
        return not (self.web.busy or self.relay.running)

    def accepts_requests(self) -> bool:
        """Return whether a request that arrives now has time to end.

        After the planned stop has begun, callers may use the address until
        the directory's answer expires. Of what arrives until then, the relay
        takes what has time to end.
        """
        if self.draining_since_s is None:
            return True
        accept_s = self.settings.stop_time * (1 - FINISH_SHARE)
        accept_s = min(accept_s, self.settings.keep_addresses * TTL_FACTOR)
        return self.clock() - self.draining_since_s < accept_s

    def make_heartbeat(self) -> Beat:
        # A relay that is not ready also reports that it is draining, so that
        # its peers direct no callers to it.
        view = self.core.view
        view.permits.issuers.draining = bool(self.unready_reason())
        heartbeat = relay_heartbeat(
            self.settings.name,
            self.core.record.boot,
            view.upstreams,
            view.suspects,
            self.clock(),
            draining=view.permits.issuers.draining,
            issued=view.permits.buckets,
        )
        if view.table is not None:
            heartbeat.configuration = view.table.version
            heartbeat.levels.extend(
                loads_to_messages(self._told_loads(view.table))
            )
            heartbeat.uses.extend(uses_to_messages(self.relay.shares.told()))
        heartbeat.returns.extend(
            returns_to_messages(view.peers.returns.recent(self.clock()))
        )
        return heartbeat

    def receive_heartbeat(self, heartbeat: Beat) -> None:
        """Apply a datagram of another process."""
        if heartbeat.HasField('usage') or heartbeat.HasField('receipt'):
            if self.duties is not None:
                self.duties.receive(heartbeat)
            return
        self.core.receive_heartbeat(heartbeat)

    def tell_limits(self, name: str) -> None:
        """Tell a relay that has started which limits hold."""
        if self.core.view.permits.buckets:
            self.core.send_heartbeat_to(name)

    def clean_up(self) -> None:
        """Update what changes rarely, and close unused connections."""
        view = self.core.view
        view.clean_up()
        self.relay.shares.clean_up()
        LIMITED_UPSTREAMS.set(
            {'instance': self.settings.name},
            sum(one.limited for one in view.upstreams.by_id.values()),
        )
        if self.bar_archive.has_pending():
            self.core.loop.spawn(self.bar_archive.write)
        self.relay.pool.remove_expired(
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
            self.web.apply_limits(
                web_limits(self.max_connections, view.table.limits)
            )

    def unready_reason(self) -> str:
        """Return why no requests are accepted; empty if they are."""
        if self.core.record.draining:
            return 'leaving'
        if self.core.view.table is None:
            return 'no configuration received yet'
        if not self.relay.checks.keys_are_fresh():
            return 'API keys cannot be confirmed: store data is too old'
        return ''

    def serve(self, exchange: Exchange) -> None:
        reserved_bytes = self.settings.caller_bytes + len(exchange.body())
        if self.core.record.draining:
            exchange.disable_keep_alive()
        if not self.accepts_requests():
            exchange.reply_json(*error_response(leaving_refusal()))
            return
        if not self.ledger.reserve(reserved_bytes):
            refusal = NotRun(
                Reason.overloaded,
                'not enough memory for the request',
                OVERLOAD_RETRY_S,
            )
            exchange.reply_json(*error_response(refusal))
            return
        reservation = Reservation(
            self.ledger, reserved_bytes, RESERVATION_HOLDERS
        )
        exchange.on_ended = reservation.release
        self.core.loop.serve(
            exchange, lambda: self._serve(exchange, reservation)
        )

    def serve_ready(self, exchange: Exchange) -> None:
        """Serve the readiness page."""
        serve_readiness(exchange, self.unready_reason())

    def serve_feed(self, exchange: Exchange) -> None:
        """Pass on what this relay reads from the store."""
        self.core.loop.serve(exchange, lambda: self.core.serve_feed(exchange))

    def serve_metrics(self, exchange: Exchange) -> None:
        """Serve the metrics page, and that of the duties."""
        duties = self.duties
        if duties is not None and duties.serves(exchange.path):
            self.core.loop.serve(
                exchange, lambda: answer_duties(exchange, duties)
            )
            return
        serve_metrics(exchange, self.settings.name, self.core.view.store_age_s)

    def serve_directory(self, exchange: Exchange) -> None:
        """Send a caller the addresses of relays."""
        self.core.loop.serve(exchange, lambda: self._answer_query(exchange))

    async def _serve(
        self, exchange: Exchange, reservation: Reservation
    ) -> None:
        try:
            await self.relay.serve(exchange)
        finally:
            reservation.release()

    async def _answer_query(self, exchange: Exchange) -> None:
        query = self.adapter.read_directory_query(exchange)
        if query is None:
            exchange.reply(HTTPStatus.NOT_FOUND, b'no such path\n')
            return
        table = self.core.view.table
        regions = (
            frozenset() if table is None else table.regions_of_host(query.host)
        )
        requester = Requester(query.region, query.zone, regions)
        addresses = self.core.view.peers.addresses_for(requester, self.clock())
        self.adapter.write_directory_answer(
            exchange, addresses, self.settings.keep_addresses
        )

    def _told_loads(self, table: RouteTable) -> Mapping[Level, LevelLoad]:
        """Return the loads that other relays decide by."""
        loads = self.relay.demand.loads(self.clock())
        return {
            level: load
            for level, load in loads.items()
            if len(table.urgencies.get(level.service, ())) > 1
        }

    def _serve_on(
        self,
        bind: str,
        serve: Callable[[Exchange], None],
        use: DescriptorUse,
        limits: WebLimits | None = None,
    ) -> WebServer:
        server = WebServer(
            bind,
            serve,
            limits=limits or WebLimits(respond_before_close=False),
            ledger=(
                self.ledger
                if use is DescriptorUse.callers
                else self.page_ledger
            ),
            clock=self.clock,
            channel=f'{use.value} {bind}',
            descriptors=DescriptorShare(self.descriptors, use),
        )
        server.register(self)
        return server


async def answer_duties(exchange: Exchange, duties: RelayDuties) -> None:
    """Respond with the state of the duties."""
    exchange.reply_json(HTTPStatus.OK, duties.status())


def web_limits(connections: int, limits: CallerLimits) -> WebLimits:
    """Return the limits of the port for callers.

    :param connections: most connections open at once.
    """
    return WebLimits(
        head_bytes=limits.head_bytes,
        body_bytes=limits.body_bytes,
        connections=connections,
        head_timeout_s=limits.head_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
        respond_before_close=False,
    )
