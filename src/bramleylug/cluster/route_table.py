"""Routing configuration: routes, services, workspaces and caller limits."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from functools import cached_property
from random import Random
from typing import NamedTuple, final

from bramleylug.scheduling.demand import urgency_rank
from bramleylug.scheduling.estimate import EngineModel
from bramleylug.scheduling.figures import EngineFigures, ScalingLimits


# Callers of a stream with an objective for its pauses stay for so many of its
# objectives, or of these pauses, whichever is longer.
PATIENCE_OBJECTIVES = 4
PATIENCE_PAUSES = 8


@final
@unique
class RetryPolicy(Enum):
    """Whether a request may be sent again after it may have run.

    :cvar always: idempotent; the answer is sent completely or not at all.
    :cvar resume: a stream that another upstream can continue.
    :cvar never: at most one run for each request id.
    """

    always = 'always'
    resume = 'resume'
    never = 'never'


class ServiceShare(NamedTuple):
    """Share of a route's requests that goes to one service, by weight.

    :ivar weight: finite and not negative.
    """

    service: str
    weight: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Handling of requests for one host name and path prefix.

    :ivar streamed: whether the answer is a stream of events.
    :ivar timeout_s: time after which the caller gets a final answer.
    :ivar objective_s: latency objective for the answer, or for the first
        event of a stream.
    :ivar urgency: 0 is the most urgent.
    :ivar max_attempts: upstreams that one request may be sent to.
    :ivar public: whether no API key is required.
    :ivar regions: regions in which it may be served; empty for any.
    :ivar pause_objective_s: longest time between two events of a stream that
        is in time; 0 if not given.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[ServiceShare, ...]
    retry_policy: RetryPolicy
    streamed: bool
    timeout_s: float
    objective_s: float
    urgency: int
    max_attempts: int
    public: bool
    regions: frozenset[str] = frozenset()
    pause_objective_s: float = 0

    @property
    def patience_s(self) -> float:
        """Time without an event after which callers leave; 0 if unknown."""
        if not self.pause_objective_s:
            return 0.0
        return max(
            PATIENCE_OBJECTIVES * self.objective_s,
            PATIENCE_PAUSES * self.pause_objective_s,
        )

    def leads_to(self, service: str) -> bool:
        """Return whether requests of the route may go to a service."""
        return any(
            share.service == service and share.weight > 0
            for share in self.shares
        )

    def choose_service(self, random: Random) -> str:
        """Return a random service, by weight; empty if all weights are 0."""
        names = [share.service for share in self.shares]
        weights = [share.weight for share in self.shares]
        if not any(weights):
            return ''
        return random.choices(names, weights)[0]


class Workspace(NamedTuple):
    """A workspace that owns API keys.

    :ivar urgency: overrides that of the route; ``None`` if not set.
    :ivar regions: regions in which its requests may be served; empty for any.
    """

    name: str
    urgency: int | None = None
    regions: frozenset[str] = frozenset()


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class WeightsLayout:
    """How the weights of a service's model are divided into chunks.

    :ivar model: the model that the service's engines serve.
    :ivar load_s: time in which an engine loads staged weights.
    """

    model: str
    chunks: int
    chunk_bytes: int
    layers: int
    load_s: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Configuration of one service.

    :ivar cold_per_s: requests per second that a cold upstream can take; 0 if
        its upstreams have no cold start.
    :ivar origin: address of the weights origin if the service is one; else
        empty.
    :ivar engine: speed of its engines; ``None`` if it is not stated.
    :ivar scaling: ``None`` if the number of its upstreams is not ordered.
    """

    name: str
    max_connections: int
    cold_per_s: float
    weights: WeightsLayout | None = None
    origin: str = ''
    engine: EngineFigures | None = None
    scaling: ScalingLimits | None = None


class CallerLimits(NamedTuple):
    """Limits on the size and duration of callers' requests."""

    head_bytes: int
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


@final
@dataclass(frozen=True)
class RouteTable:
    """One version of the configuration, validated.

    :ivar workspaces: workspaces by API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace]
    limits: CallerLimits
    needs_keys: bool = field(default=False)

    @cached_property
    def by_host(self) -> Mapping[str, tuple[Route, ...]]:
        """Routes by host name, the longest path prefix first."""
        grouped: defaultdict[str, list[Route]] = defaultdict(list)
        for route in self.routes:
            grouped[route.host].append(route)
        return {
            host: tuple(sorted(routes, key=_prefix_length, reverse=True))
            for host, routes in grouped.items()
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def regions_of_host(self, host: str) -> frozenset[str]:
        """Return the regions that a host name's routes are restricted to."""
        allowed: set[str] = set()
        for route in self.by_host.get(host.lower(), ()):
            allowed |= route.regions
        return frozenset(allowed)

    @cached_property
    def run_once_services(self) -> frozenset[str]:
        """Services with requests that must not be sent again."""
        return frozenset(
            share.service
            for route in self.routes
            if route.retry_policy is RetryPolicy.never
            for share in route.shares
        )

    def all_resumable(self, service: str) -> bool:
        """Return whether every request of a service may be sent again."""
        return service not in self.run_once_services

    @cached_property
    def urgencies(self) -> Mapping[str, frozenset[int]]:
        """The ranks by urgency that requests of each service may have."""
        owned = {workspace.urgency for workspace in self.workspaces.values()}
        by_service: defaultdict[str, set[int]] = defaultdict(set)
        for route in self.routes:
            in_force = {None} if route.public or not owned else owned
            ranks = {
                urgency_rank(
                    route.urgency if urgency is None else urgency,
                    route.urgency,
                )
                for urgency in in_force
            }
            for share in route.shares:
                by_service[share.service] |= ranks
        return {
            service: frozenset(urgencies)
            for service, urgencies in by_service.items()
        }

    @cached_property
    def engine_models(self) -> Mapping[str, EngineModel]:
        """Models of the engines of services that state their speed."""
        return {
            name: EngineModel(service.engine)
            for name, service in self.services.items()
            if service.engine is not None
        }

    def is_scaled(self, service: str) -> bool:
        """Return whether the number of a service's upstreams is ordered."""
        known = self.services.get(service)
        return known is not None and known.scaling is not None

    @cached_property
    def shared_services(self) -> frozenset[str]:
        """Services for which requests of several workspaces compete."""
        names = {workspace.name for workspace in self.workspaces.values()}
        if len(names) < 2:  # noqa: PLR2004, WPS432
            return frozenset()
        return frozenset(
            share.service
            for route in self.routes
            if not route.public
            for share in route.shares
        )

    def origins(self) -> Iterable[Service]:
        """Return the services that are origins of weights."""
        return (service for service in self.services.values() if service.origin)


def allowed_regions(
    route: Route, workspace: Workspace | None
) -> frozenset[str] | None:
    """Return the regions that may serve a request; ``None`` for any."""
    restrictions = [route.regions]
    if workspace is not None:
        restrictions.append(workspace.regions)
    given = [regions for regions in restrictions if regions]
    if not given:
        return None
    return frozenset.intersection(*given)


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
