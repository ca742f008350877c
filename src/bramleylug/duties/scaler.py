"""Orders upstreams while this relay holds the duties."""

import json
from collections.abc import Callable, Mapping
from typing import NamedTuple, final

from bramleylug.duties.claims import Term
from bramleylug.duties.scaling import ServiceScale, ZoneUpstreams
from bramleylug.duties.service import DutyService, Mandate, ScaleOrder
from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import (
    DUTY_CALLS,
    UPSTREAMS_ORDERED,
    count,
)
from bramleylug.scheduling.demand import LevelLoad
from bramleylug.scheduling.figures import ScalingLimits
from bramleylug.store.changes import Transaction, WatchableStore, Write

DECIDE_INTERVAL_S = 0.5
# Orders sent in one step, of which there are four a second.
ORDERS_PER_STEP = 4
# An order of another holder that is not older than this is sent again.
RESEND_S = 30.0
# Time, beyond the start of the first upstream ordered, until its loader should
# be known.
TRIAL_S = 10.0

Place = tuple[str, str]


@final
class ServiceState(NamedTuple):
    """A service whose upstreams may be ordered.

    :ivar zones: the zones in which it runs; of these, what was ordered is not
        known here.
    :ivar slots: of each upstream.
    :ivar needs_loader: whether an upstream is of no use without a loader on
        its host.
    :ivar without_loader: upstreams that have none.
    """

    limits: ScalingLimits
    zones: Mapping[str, ZoneUpstreams]
    slots: int
    load: LevelLoad
    needs_loader: bool = False
    without_loader: int = 0


@final
class PlacedOrder(NamedTuple):
    """An order as it is in the store.

    :ivar at_s: agreed Unix time of the decision.
    """

    wanted: int
    at_s: float


def encode_orders(orders: Mapping[Place, PlacedOrder]) -> bytes:
    rows = [
        [service, zone, order.wanted, order.at_s]
        for (service, zone), order in sorted(orders.items())
    ]
    return json.dumps(rows).encode()


def decode_orders(value: bytes) -> dict[Place, PlacedOrder]:
    """Return the orders; none if the value is not readable."""
    try:
        return {
            (str(service), str(zone)): PlacedOrder(int(wanted), float(at_s))
            for service, zone, wanted, at_s in json.loads(value)
        }
    except (ValueError, LookupError, TypeError):
        return {}


@final
class UpstreamScaler:
    """Decides on orders, writes them to the store and sends them.

    :param key: store key of the latest orders.
    :param claim_key: store key of the claim.
    :param look: returns the services whose upstreams may be ordered.
    :param agreed_s: returns the agreed Unix time.
    :ivar orders: as in the store; ``None`` before that was read.
    :ivar unsent: those that the service has not accepted.
    """

    def __init__(
        self,
        key: str,
        claim_key: str,
        store: WatchableStore,
        service: DutyService,
        look: Callable[[], Mapping[str, ServiceState]],
        agreed_s: Callable[[], float],
    ) -> None:
        self.key = key
        self.claim_key = claim_key
        self.store = store
        self.service = service
        self.look = look
        self.agreed_s = agreed_s
        self.orders: dict[Place, PlacedOrder] | None = None
        self.revision = 0
        self.unsent: set[Place] = set()
        self.scales: dict[str, ServiceScale] = {}
        self.decided_s = float('-inf')

    def begin_term(self) -> None:
        """Take over from another holder, or begin."""
        self.scales.clear()
        self.read_again()

    def read_again(self) -> None:
        """Read the store before the next order."""
        self.orders = None

    async def step(
        self, term: Term, mandate: Callable[[], Mandate | None]
    ) -> None:
        """Do what is due; as :meth:`UsageReporter.step`."""
        now_s = self.agreed_s()
        orders = self.orders
        if orders is None:
            orders = await self._read(now_s)
        if now_s - self.decided_s >= DECIDE_INTERVAL_S:
            self.decided_s = now_s
            decided = self._decide(orders, now_s)
            if decided and mandate() is not None:
                await self._store(term, {**orders, **decided})
                self.unsent.update(decided)
        for place in sorted(self.unsent)[:ORDERS_PER_STEP]:
            await self._send(place, mandate)

    def _decide(
        self, orders: Mapping[Place, PlacedOrder], now_s: float
    ) -> dict[Place, PlacedOrder]:
        decided: dict[Place, PlacedOrder] = {}
        for service, state in self.look().items():
            scale = self.scales.setdefault(service, ServiceScale(state.limits))
            scale.limits = state.limits
            zones = {
                zone: _with_order(upstreams, orders.get((service, zone)))
                for zone, upstreams in state.zones.items()
            }
            planned = restrict(
                scale.decide(zones, state.slots, state.load, now_s),
                zones,
                state,
                now_s,
            )
            for zone, wanted in planned.items():
                decided[service, zone] = PlacedOrder(wanted, now_s)
                emit(
                    LogEvent.scaling_decided,
                    service=service,
                    zone=zone,
                    wanted=wanted,
                    present=zones[zone].present,
                    running=state.load.running,
                    waiting=state.load.waiting,
                    refused_per_s=round(state.load.refused_per_s, 1),
                )
        return decided

    async def _read(self, now_s: float) -> dict[Place, PlacedOrder]:
        page = await self.store.list_page(self.key, '')
        item = page.find(self.key)
        orders = {} if item is None else decode_orders(item.value)
        self.revision = 0 if item is None else item.revision
        self.orders = orders
        # Whoever placed one lately may not have sent it.
        self.unsent.update(
            place
            for place, order in orders.items()
            if now_s - order.at_s < RESEND_S
        )
        return orders

    async def _store(
        self, term: Term, orders: dict[Place, PlacedOrder]
    ) -> None:
        expected = {self.claim_key: term.revision, self.key: self.revision}
        # Until the answer is there, it is not known what the store holds.
        self.read_again()
        self.revision = await self.store.commit(
            Transaction(
                expected=expected,
                writes=(Write(self.key, encode_orders(orders)),),
            )
        )
        self.orders = orders

    async def _send(
        self, place: Place, mandate: Callable[[], Mandate | None]
    ) -> None:
        allowed = mandate()
        if allowed is None or self.orders is None:
            return
        order = self.orders.get(place)
        if order is not None:
            service, zone = place
            await self.service.order(
                allowed, ScaleOrder(service, zone, order.wanted)
            )
            count(DUTY_CALLS, outcome='accepted')
            UPSTREAMS_ORDERED.set(
                {'service': service, 'zone': zone}, order.wanted
            )
        self.unsent.discard(place)


def restrict(
    planned: Mapping[str, int],
    zones: Mapping[str, ZoneUpstreams],
    state: ServiceState,
    now_s: float,
) -> dict[str, int]:
    """Return the part of a plan that is worth its cost.

    Whether the host of an ordered upstream has a loader is known only when it
    is there. So a single one is ordered first, where they need loaders; as
    long as there are some without, no more are.

    :param zones: with what was ordered last.
    """
    raised = {
        zone: number
        for zone, number in planned.items()
        if number > zones[zone].present
    }
    if not (raised and state.needs_loader):
        return dict(planned)
    kept = {zone: planned[zone] for zone in planned if zone not in raised}
    ordered_s = max(upstreams.ordered_s for upstreams in zones.values())
    trial_ends_s = ordered_s + state.limits.boot_s + TRIAL_S
    if state.without_loader or now_s < trial_ends_s:
        return kept
    if ordered_s > float('-inf'):
        return dict(planned)
    first = max(raised, key=lambda zone: raised[zone] - zones[zone].present)
    return {**kept, first: zones[first].present + 1}


def _with_order(
    upstreams: ZoneUpstreams, order: PlacedOrder | None
) -> ZoneUpstreams:
    if order is None:
        return upstreams
    return upstreams._replace(ordered=order.wanted, ordered_s=order.at_s)
