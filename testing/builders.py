"""Builders of test data."""

from typing import Any

from bramleylug.bench.results import BenchResult, Bound
from bramleylug.configuration.document import Change, Document, ServiceSpec
from bramleylug.wire.membership_pb2 import Member, ServiceState


def build_spec(name: str = 'seat-fitting', **fields: Any) -> ServiceSpec:
    """Return a model service with small limits."""
    defaults = {
        'kind': 'model',
        'zones': ('zone-a', 'zone-b'),
        'model': 'fitting',
        'version': '1',
    }
    return ServiceSpec(name=name, **{**defaults, **fields})


def build_document(*specs: ServiceSpec, **fields: Any) -> Document:
    """Return a document at revision 1 with some services."""
    defaults = {'revision': 1, 'lineage': 'first'}
    services = {spec.name: spec for spec in specs}
    return Document(services=services, **{**defaults, **fields})


def build_change(**zones: Any) -> Change:
    """Return a change of zones only."""
    return Change(services={}, zones=zones)


def build_member(name: str, **fields: Any) -> Member:
    """Return an alive agent that is ready to serve ``seat-fitting``."""
    defaults = {
        'incarnation': 1,
        'role': 'agent',
        'zone': 'zone-a',
        'region': 'region-1',
        'gossip_address': f'{name}:1',
        'grpc_address': f'{name}:2',
        'services': [
            ServiceState(service='seat-fitting', ready=True, limit=16)
        ],
    }
    return Member(name=name, **{**defaults, **fields})


def build_bench_result(*bounds: tuple[Any, ...]) -> BenchResult:
    """Return a result of ``weights`` with (name, value, relation, bound)."""
    sourced = tuple(Bound(*bound, source='letter') for bound in bounds)
    return BenchResult('weights', 1, {}, sourced)
