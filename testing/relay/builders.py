"""Builders of configurations, records and requests for tests."""

from typing import Any

from bramleylug.cluster.constraints import Constraints
from bramleylug.cluster.peers import PeerRecord, Role
from bramleylug.cluster.route_table import (
    CallerLimits,
    RetryPolicy,
    Route,
    RouteTable,
    Service,
    ServiceShare,
    WeightsLayout,
    Workspace,
)
from bramleylug.cluster.held_weights import HeldWeights
from bramleylug.cluster.upstreams import UpstreamRecord
from bramleylug.loader.policy import EngineState, Observation
from bramleylug.loader.settings import LoaderSettings
from bramleylug.relay.dialect import CallerRequest
from bramleylug.relay.settings import RelaySettings
from bramleylug.scheduling.placing import Requirements
from bramleylug.scheduling.figures import RequestSize

REGIONS = {'zone-a': 'north', 'zone-b': 'south'}
MODEL = 'fitting'


def build_route(**fields: Any) -> Route:
    """Return a route of resumable streams to ``advisor``."""
    defaults = {
        'name': 'route-1',
        'host': 'advisor.example',
        'path_prefix': '/ask/',
        'shares': (ServiceShare('advisor', 1.0),),
        'retry_policy': RetryPolicy.resume,
        'streamed': True,
        'timeout_s': 6.0,
        'objective_s': 0.4,
        'urgency': 1,
        'max_attempts': 2,
        'public': False,
    }
    return Route(**{**defaults, **fields})


def build_table(*routes: Route, **fields: Any) -> RouteTable:
    """Return a configuration with one workspace and its API key."""
    layout = WeightsLayout(
        model=MODEL, chunks=8, chunk_bytes=64, layers=4, load_s=0.1
    )
    services = {
        'advisor': Service(
            name='advisor', max_connections=64, cold_per_s=20, weights=layout
        ),
        'bookings': Service(name='bookings', max_connections=64, cold_per_s=0),
    }
    defaults = {
        'version': 3,
        'routes': routes or (build_route(),),
        'services': services,
        'workspaces': {'key-1': Workspace('garage')},
        'limits': CallerLimits(16384, 1048576, 3.0, 15.0),
        'needs_keys': True,
    }
    return RouteTable(**{**defaults, **fields})


def build_upstream_record(
    upstream_id: str = 'engine-1', **fields: Any
) -> UpstreamRecord:
    """Return an engine with complete weights of version 1."""
    defaults = {
        'started_ms': 1000,
        'service': 'advisor',
        'address': '127.0.0.1:1',
        'zone': 'zone-a',
        'slots': 4,
        'weights': {MODEL: HeldWeights(1, whole=True)},
    }
    return UpstreamRecord(upstream_id=upstream_id, **{**defaults, **fields})


def build_requirements(**fields: Any) -> Requirements:
    """Return the requirements of a request for the model."""
    return Requirements(**{'service': 'advisor', 'model': MODEL, **fields})


def build_constraints(**fields: Any) -> Constraints:
    """Return constraints that exclude no upstream."""
    defaults = {
        'zones_out': (),
        'min_versions': {},
        'newest_versions': {},
        'regions': REGIONS,
    }
    return Constraints(**{**defaults, **fields})


def build_peer(name: str = 'relay-1', **fields: Any) -> PeerRecord:
    """Return a relay in region north."""
    defaults = {
        'role': Role.relay,
        'boot': 1,
        'zone': 'zone-a',
        'region': 'north',
        'serving': f'{name}:80',
        'beats': f'{name}:81',
    }
    return PeerRecord(name=name, **{**defaults, **fields})


def build_settings(**fields: Any) -> RelaySettings:
    """Return settings of a relay in zone-a."""
    defaults = {
        'name': 'relay-1',
        'zone': 'zone-a',
        'region': 'north',
        'regions': REGIONS,
        'store': '127.0.0.1:1',
        'beat_bind': '127.0.0.1:2',
        'caller_bind': '127.0.0.1:3',
        'ready_bind': '127.0.0.1:4',
        'directory_bind': '127.0.0.1:5',
    }
    return RelaySettings(**{**defaults, **fields})


def build_loader_settings(**fields: Any) -> LoaderSettings:
    """Return settings of a loader in zone-a."""
    defaults = {
        'name': 'loader-1',
        'zone': 'zone-a',
        'region': 'north',
        'regions': REGIONS,
        'store': '127.0.0.1:1',
        'beat_bind': '127.0.0.1:2',
        'upstream': '127.0.0.1:3',
        'service': 'advisor',
        'chunk_bind': '127.0.0.1:4',
    }
    return LoaderSettings(**{**defaults, **fields})


def build_caller_request(**fields: Any) -> CallerRequest:
    """Return a request with a valid API key."""
    defaults = {
        'request_id': 'request-1',
        'method': 'POST',
        'host': 'advisor.example',
        'path': '/ask/1',
        'query': '',
        'body': b'fits?',
        'deadline_s': 5.0,
        'api_key': 'key-1',
        'model': MODEL,
        'size': RequestSize(80, 20),
        'resume_after': '',
        'forwarded_headers': (('Host', 'advisor.example'),),
    }
    return CallerRequest(**{**defaults, **fields})


def build_engine_state(**fields: Any) -> EngineState:
    """Return an engine that serves version 1."""
    defaults = {
        'started_ms': 1000,
        'version': 1,
        'complete': True,
        'busy': False,
        'accepted_orders': 0,
    }
    return EngineState(**{**defaults, **fields})


def build_observation(**fields: Any) -> Observation:
    """Return a single host with version 2 ready, the target since 0 s."""
    defaults = {
        'ready_version': 2,
        'outdated_since_s': 0.0,
        'outdated_limit_s': 8.0,
        'engine': build_engine_state(),
    }
    return Observation(**{**defaults, **fields})
