"""The duties as a part of a relay."""

import time
from collections.abc import Callable
from secrets import randbits
from typing import Protocol, TypedDict, final

from bramleylug.cluster.peers import Role
from bramleylug.cluster.process import ProcessCore
from bramleylug.duties.agreed_time import AgreedTime
from bramleylug.duties.claims import Candidacy, Claim, decode_claim
from bramleylug.duties.reporter import UsageReporter
from bramleylug.duties.reports import decode_report
from bramleylug.duties.scaler import (
    ServiceState,
    UpstreamScaler,
    decode_orders,
)
from bramleylug.duties.scaled_services import scaled_services
from bramleylug.duties.service import DutyService
from bramleylug.duties.settings import DUTIES_PATH, DutySettings
from bramleylug.duties.steward import ClaimSource, ClaimView, Steward
from bramleylug.duties.usage import Windows
from bramleylug.duties.usage_exchange import UsageExchange
from bramleylug.node.ticks import sleep_until_tick
from bramleylug.scheduling.demand import (
    DemandMeter,
    Level,
    LevelLoad,
    ToldDemand,
)
from bramleylug.wire.beats_pb2 import Beat

CLAIM = 'claim'
USAGE = 'usage'
ORDERS = 'orders'
TELL_INTERVAL_S = 1.0
# A relay that stops tells its last counts sooner.
LAST_TELL_INTERVAL_S = 0.2
RUN_BITS = 62
# Between two renewals it leaves time for a call.
MIN_LEASE_S = 2.5
# Of the rest after its start: a relay that started a little later than this one
# is a candidate as well, else all of a fleet that starts would be the first.
SETTLED_SHARE = 0.5


class DutyAdapter(Protocol):
    """Interface to the platform that the duties need."""

    def duty_key(self, name: str) -> str:
        """Return the store key of what concerns the duties."""

    def duty_service(self, address: str) -> DutyService:
        """Return the service that takes reports and orders."""


class OrderLine(TypedDict):
    """Upstreams of a service in a zone.

    :ivar wanted: number ordered last.
    """

    service: str
    zone: str
    wanted: int
    present: int


class DutyStatus(TypedDict):
    """State of the duties as this relay knows it.

    :ivar holder: empty if nobody holds them.
    :ivar token: fencing token of this relay; 0 if it does not hold them.
    :ivar lease_left_s: time for which it holds its lease at least.
    :ivar window: last window whose report is in the store; -1 for none.
    """

    name: str
    holder: str
    token: int
    held_for_s: float
    lease_left_s: float
    window: int
    orders: list[OrderLine]


@final
class RelayDuties:
    """Counts requests, claims the duties and does them.

    :param clock: seconds that also count while the host is suspended.
    :param demand: counts this relay's requests.
    """

    def __init__(
        self,
        settings: DutySettings,
        core: ProcessCore,
        adapter: DutyAdapter,
        clock: Callable[[], float],
        demand: DemandMeter,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.settings = settings
        self.core = core
        self.clock = clock
        self.demand = demand
        self.claim_key = adapter.duty_key(CLAIM)
        self.usage_key = adapter.duty_key(USAGE)
        self.own = Claim(core.settings.name, randbits(RUN_BITS))
        self.exchange = UsageExchange(
            self.own,
            Windows(settings.window_s, settings.late_s),
            AgreedTime(clock, wall_clock),
            core.view.peers,
            self._send,
            self._is_delayed,
        )
        self.reporter = UsageReporter(
            self.usage_key,
            self.claim_key,
            core.store,
            adapter.duty_service(settings.service),
            self.exchange,
            self._live_relays,
        )
        core.presence.lease_s = max(core.presence.lease_s, MIN_LEASE_S)
        rest_s = max(settings.lease_s, core.presence.lease_s)
        self.steward = Steward(
            self.own,
            self.claim_key,
            core.store,
            core.presence,
            ClaimSource(self._look, self._candidates),
            Candidacy.from_start(rest_s, clock()),
            clock,
        )
        self.scaler = UpstreamScaler(
            adapter.duty_key(ORDERS),
            self.claim_key,
            core.store,
            self.reporter.service,
            self._scaled_services,
            self.exchange.time.now_s,
        )
        if settings.reports_usage:
            self.steward.duties.append(self.reporter)
        if settings.scales:
            self.steward.duties.append(self.scaler)
            self.exchange.loads = self._loads

    def open(self) -> None:
        """Start the background tasks."""
        self.core.loop.supervise('duties', self.steward.run)
        self.core.loop.supervise('usage', self._tell)

    def start_draining(self) -> None:
        """Leave the duties to another relay."""
        self.steward.leaving = True

    def count(self, workspace: str) -> None:
        """Count a request that an upstream began to answer."""
        if self.settings.reports_usage:
            self.exchange.count(workspace)

    def receive(self, heartbeat: Beat) -> None:
        """Apply a datagram about usage."""
        if heartbeat.HasField('usage'):
            self.exchange.receive_loads(heartbeat.name, heartbeat.levels)
            self.exchange.receive(heartbeat.usage)
        else:
            self.exchange.receive_receipt(heartbeat.name, heartbeat.receipt)

    def serves(self, path: str) -> bool:
        """Return whether a path is that of the page about the duties."""
        return path == DUTIES_PATH

    def status(self) -> DutyStatus:
        term = self.steward.term
        held = self.core.presence.held
        holder = self.exchange.holder
        now_s = self.clock()
        return DutyStatus(
            name=self.own.holder,
            holder='' if holder is None else holder.holder,
            token=0 if term is None else term.token,
            held_for_s=0 if term is None else round(now_s - term.since_s, 1),
            lease_left_s=0 if held is None else round(held.ends_s - now_s, 1),
            window=self.exchange.reported,
            orders=self._order_lines(),
        )

    def _order_lines(self) -> list[OrderLine]:
        item = self.core.view.mirror.items.get(self.scaler.key)
        orders = {} if item is None else decode_orders(item.value)
        services = self._scaled_services()
        lines = []
        for (service, zone), order in sorted(orders.items()):
            state = services.get(service)
            zones = {} if state is None else state.zones
            present = zones[zone].present if zone in zones else 0
            lines.append(
                OrderLine(
                    service=service,
                    zone=zone,
                    wanted=order.wanted,
                    present=present,
                )
            )
        return lines

    async def _tell(self) -> None:
        while True:
            self.exchange.clean_up()
            self.exchange.tell()
            await sleep_until_tick(
                LAST_TELL_INTERVAL_S
                if self.steward.leaving
                else TELL_INTERVAL_S
            )

    def _look(self) -> ClaimView:
        mirror = self.core.view.mirror
        # A claim whose removal is deferred may bear the id of a lease that the
        # store, back from an older copy, has granted again.
        item = mirror.stored_item(self.claim_key)
        holder = None if item is None else decode_claim(item.value)
        if holder == self.own and not self.steward.holds():
            # The copy of the store is old, or this relay leaves the duties.
            holder = None
        self.exchange.follow(holder)
        stored = mirror.items.get(self.usage_key)
        report = None if stored is None else decode_report(stored.value)
        if report is not None:
            self.exchange.record_reported(report.window)
        is_current = mirror.loaded
        return ClaimView(
            item, is_current and self.core.view.peers.is_store_fresh()
        )

    def _candidates(self) -> list[str]:
        """Return the other relays that may claim the duties."""
        candidates = self.core.view.peers.issuer_candidates(
            self.clock(), self.steward.candidacy.rest_s * SETTLED_SHARE
        )
        return [
            one.name for one in candidates if one.settled and not one.draining
        ]

    def _loads(self) -> dict[Level, LevelLoad]:
        """Return the loads of this relay that the holder decides by."""
        table = self.core.view.table
        if table is None:
            return {}
        return {
            level: load
            for level, load in self.demand.loads(self.clock()).items()
            if table.is_scaled(level.service)
        }

    def _scaled_services(self) -> dict[str, ServiceState]:
        view = self.core.view
        if view.table is None:
            return {}
        return scaled_services(
            view.table,
            [one.record for one in view.upstreams.by_id.values()],
            view.zones_out,
            self._loads_by_zone(),
            {
                peer.serving
                for peer in view.peers.known.values()
                if peer.role is Role.loader
            },
        )

    def _loads_by_zone(self) -> list[ToldDemand]:
        now_s = self.clock()
        own = ToldDemand(self.core.record.zone, self._loads(), now_s)
        return [own, *self.exchange.demand.recent(now_s)]

    def _live_relays(self) -> list[str]:
        peers = self.core.view.peers
        return [peer.name for peer in peers.alive(Role.relay, self.clock())]

    def _send(self, beat: Beat, address: str) -> None:
        if self.core.socket is not None:
            self.core.socket.send(beat, [address])

    def _is_delayed(self) -> bool:
        now_s = self.clock()
        return self.core.pauses.earliest_arrival_s(now_s) < now_s
