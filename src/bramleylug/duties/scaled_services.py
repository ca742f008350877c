"""What is known of the services whose upstreams may be ordered."""

from collections import Counter
from collections.abc import Collection, Iterable

from bramleylug.cluster.route_table import RouteTable
from bramleylug.cluster.upstreams import UpstreamRecord
from bramleylug.duties.scaler import ServiceState
from bramleylug.duties.scaling import ZoneUpstreams
from bramleylug.scheduling.demand import LevelLoad, ToldDemand


def scaled_services(
    table: RouteTable,
    upstreams: Iterable[UpstreamRecord],
    zones_out: Collection[str],
    told: Iterable[ToldDemand],
    with_loaders: Collection[str],
) -> dict[str, ServiceState]:
    """Return the state of each service that the configuration has limits for.

    A zone that is out of service has none of its upstreams.

    :param told: loads of all relays.
    :param with_loaders: addresses of upstreams with a loader on their host.
    """
    records = [one for one in upstreams if one.zone not in zones_out]
    demand = tuple(told)
    states: dict[str, ServiceState] = {}
    for service in table.services.values():
        if service.scaling is None:
            continue
        own = [one for one in records if one.service == service.name]
        present = Counter(one.zone for one in own if not one.draining)
        by_zone = _load_by_zone(service.name, demand)
        states[service.name] = ServiceState(
            service.scaling,
            {
                zone: ZoneUpstreams(
                    present[zone],
                    asked_per_s=by_zone.get(zone, LevelLoad()).asked_per_s,
                )
                for zone in sorted({one.zone for one in own})
            },
            max((one.slots for one in own), default=0),
            sum_loads(by_zone.values()),
            needs_loader=service.weights is not None,
            without_loader=sum(
                one.address not in with_loaders
                for one in own
                if not one.draining
            ),
        )
    return states


def sum_loads(loads: Iterable[LevelLoad]) -> LevelLoad:
    total = LevelLoad()
    for load in loads:
        total = total.plus(load)
    return total


def _load_by_zone(
    service: str, told: Iterable[ToldDemand]
) -> dict[str, LevelLoad]:
    """Return the load of a service by the zone of the relays."""
    by_zone: dict[str, LevelLoad] = {}
    for one in told:
        loads = [
            load
            for level, load in one.loads.items()
            if level.service == service
        ]
        before = by_zone.get(one.zone, LevelLoad())
        by_zone[one.zone] = before.plus(sum_loads(loads))
    return by_zone
