"""Which request goes to which service, for whom, and within what time."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from functools import cached_property
from random import Random
from typing import NamedTuple, final


@final
@unique
class RetryPolicy(Enum):
    """What may be sent to an upstream more than once.

    :cvar always: idempotent, the answer is whole or nothing.
    :cvar resume: a stream that another upstream can continue.
    :cvar never: at most one run for each request id.
    """

    always = 'always'
    resume = 'resume'
    never = 'never'


class ServiceShare(NamedTuple):
    """Part of a route's requests that goes to one service."""

    service: str
    weight: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Requests of one host name below one path prefix.

    :ivar streamed: whether the answer is a series of events.
    :ivar timeout_s: time after which the caller gets a final answer.
    :ivar objective_s: time to the answer, or to the first event of a
        stream, that is worth most.
    :ivar urgency: 0 is the most urgent.
    :ivar max_attempts: upstreams that one request may be sent to.
    :ivar public: whether no credentials are needed.
    :ivar regions: where it may be served; empty for anywhere.
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

    def choose_service(self, random: Random) -> str:
        """Return a service, by weight."""
        names = [share.service for share in self.shares]
        weights = [share.weight for share in self.shares]
        return random.choices(names, weights)[0]


class Workspace(NamedTuple):
    """A customer.

    :ivar urgency: goes before that of the route; ``None`` where not set.
    :ivar regions: where its requests may be served; empty for anywhere.
    """

    name: str
    urgency: int | None = None
    regions: frozenset[str] = frozenset()


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class WeightsLayout:
    """How the weights of a service's models are cut.

    :ivar model: the model that the service's engines serve.
    :ivar load_s: time an engine needs to take staged weights.
    """

    model: str
    chunks: int
    chunk_bytes: int
    layers: int
    load_s: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """What is configured of one service.

    :ivar cold_per_s: requests a second that a cold upstream bears; 0 where
        none of them is ever cold.
    :ivar origin: address of the origin of weights, where it is one.
    """

    name: str
    max_connections: int
    cold_per_s: float
    weights: WeightsLayout | None = None
    origin: str = ''


class CallerLimits(NamedTuple):
    """What callers may send and how long they may take."""

    head_bytes: int
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


@final
@dataclass(frozen=True)
class RouteTable:
    """One accepted configuration.

    :ivar workspaces: by API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace]
    limits: CallerLimits
    needs_keys: bool = field(default=False)

    @cached_property
    def by_host(self) -> Mapping[str, tuple[Route, ...]]:
        """Routes of each host name, the longest prefix first."""
        grouped: defaultdict[str, list[Route]] = defaultdict(list)
        for route in self.routes:
            grouped[route.host].append(route)
        return {
            host: tuple(sorted(routes, key=_prefix_length, reverse=True))
            for host, routes in grouped.items()
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def regions_of_host(self, host: str) -> frozenset[str]:
        """Return the regions that routes of a host name are bound to."""
        bound: set[str] = set()
        for route in self.by_host.get(host.lower(), ()):
            bound |= route.regions
        return frozenset(bound)

    def all_resumable(self, service: str) -> bool:
        """Tell whether all that runs at a service can go on elsewhere."""
        return all(
            route.retry_policy is not RetryPolicy.never
            for route in self.routes
            if any(share.service == service for share in route.shares)
        )

    def origins(self) -> Iterable[Service]:
        """Return the services that hand out weights."""
        return (service for service in self.services.values() if service.origin)


def allowed_regions(
    route: Route, workspace: Workspace | None
) -> frozenset[str] | None:
    """Return where a request may be served; ``None`` for anywhere."""
    bounds = [route.regions]
    if workspace is not None:
        bounds.append(workspace.regions)
    given = [regions for regions in bounds if regions]
    if not given:
        return None
    return frozenset.intersection(*given)


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
