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
from bramleylug.duties.service import DutyService
from bramleylug.duties.settings import DutySettings
from bramleylug.duties.steward import ClaimSource, ClaimView, Steward
from bramleylug.duties.usage import Windows
from bramleylug.duties.usage_exchange import UsageExchange
from bramleylug.node.ticks import sleep_until_tick
from bramleylug.wire.beats_pb2 import Beat

CLAIM = 'claim'
USAGE = 'usage'
TELL_INTERVAL_S = 1.0
# A relay that stops tells its last counts sooner.
LAST_TELL_INTERVAL_S = 0.2
RUN_BITS = 62


class DutyAdapter(Protocol):
    """Interface to the platform that the duties need."""

    def duty_key(self, name: str) -> str:
        """Return the store key of what concerns the duties."""

    def duty_service(self, address: str) -> DutyService:
        """Return the service that takes reports and orders."""


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


@final
class RelayDuties:
    """Counts requests, claims the duties and does them.

    :param clock: seconds that also count while the host is suspended.
    """

    def __init__(
        self,
        settings: DutySettings,
        core: ProcessCore,
        adapter: DutyAdapter,
        clock: Callable[[], float],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.settings = settings
        self.core = core
        self.clock = clock
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
        if settings.reports_usage:
            self.steward.reporter = self.reporter

    def open(self) -> None:
        """Start the background tasks."""
        self.core.loop.supervise('duties', self.steward.run)
        if self.settings.reports_usage:
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
            self.exchange.receive(heartbeat.usage)
        else:
            self.exchange.receive_receipt(heartbeat.name, heartbeat.receipt)

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
            window=self.reporter.schedule.floor,
        )

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
        items = self.core.view.mirror.items
        item = items.get(self.claim_key)
        holder = None if item is None else decode_claim(item.value)
        if holder == self.own and not self.steward.holds():
            # The copy of the store is old, or this relay leaves the duties.
            holder = None
        self.exchange.follow(holder)
        stored = items.get(self.usage_key)
        report = None if stored is None else decode_report(stored.value)
        if report is not None:
            self.reporter.schedule.record_seen(report.window)
            self.exchange.reported = report.window
        is_current = self.core.view.mirror.loaded
        return ClaimView(
            item, is_current and self.core.view.peers.is_store_fresh()
        )

    def _candidates(self) -> list[str]:
        """Return the other relays that may claim the duties."""
        candidates = self.core.view.peers.issuer_candidates(
            self.clock(), self.steward.candidacy.rest_s
        )
        return [
            one.name for one in candidates if one.settled and not one.draining
        ]

    def _live_relays(self) -> list[str]:
        peers = self.core.view.peers
        return [peer.name for peer in peers.alive(Role.relay, self.clock())]

    def _send(self, beat: Beat, address: str) -> None:
        if self.core.socket is not None:
            self.core.socket.send(beat, [address])

    def _is_delayed(self) -> bool:
        now_s = self.clock()
        return self.core.pauses.earliest_arrival_s(now_s) < now_s
