"""Upstreams of a service that take requests of any caller now."""

from collections.abc import Iterable

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.route_table import RouteTable
from bramleylug.cluster.upstreams import Upstream
from bramleylug.scheduling.placing import (
    closed_until_s,
    responsive,
    unusable_weights_reason,
)


def responsive_upstreams(
    view: ClusterView, service: str, now_s: float
) -> list[Upstream]:
    """Return the upstreams of a service that are not silent."""
    return responsive(list(view.upstreams.of_service(service)), now_s)


def usable(
    upstreams: Iterable[Upstream], view: ClusterView, service: str, now_s: float
) -> list[Upstream]:
    """Return those that take requests now, however many run there."""
    constraints = view.constraints()
    model = _model_of(view.table, service)
    return [
        one
        for one in upstreams
        if one.record.zone not in constraints.zones_out
        and now_s >= closed_until_s(one, now_s)
        and not one.is_closing(now_s)
        and not (
            model and unusable_weights_reason(one, model, constraints, now_s)
        )
    ]


def usable_slots(view: ClusterView, service: str, now_s: float) -> int:
    """Return how many slots requests of a service can take now.

    Those of a cold upstream do not count: it takes a limited rate.
    """
    upstreams = responsive_upstreams(view, service, now_s)
    return sum(
        one.sendable(now_s)
        for one in usable(upstreams, view, service, now_s)
        if not one.is_cold(now_s)
    )


def _model_of(table: RouteTable | None, name: str) -> str:
    """Return the model that a service's upstreams serve; empty if none."""
    service = None if table is None else table.services.get(name)
    if service is None or service.weights is None:
        return ''
    return service.weights.model
