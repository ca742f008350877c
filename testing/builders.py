"""Builders of test data."""

from typing import Any

from bramleylug.admission.queue import Arrival
from bramleylug.bench.results import BenchResult, Bound
from bramleylug.claims.actions import ClaimRequest
from bramleylug.claims.document import Claim
from bramleylug.configuration.document import Change, Document, ServiceSpec
from bramleylug.weights.manifest import Manifest
from bramleylug.wire.membership_pb2 import Member, ServiceState
from bramleylug.wire.requests_pb2 import Request

CHUNK_BYTES = 16


def build_spec(name: str = 'seat-fitting', **fields: Any) -> ServiceSpec:
    """Return a model service in two zones."""
    defaults = {
        'kind': 'model',
        'zones': ('zone-a', 'zone-b'),
        'model': 'fitting',
        'version': '1',
    }
    return ServiceSpec(name=name, **{**defaults, **fields})


def build_document(*specs: ServiceSpec, **fields: Any) -> Document:
    """Return a document at revision 1 with these services."""
    defaults = {'revision': 1, 'lineage': 'first'}
    services = {spec.name: spec for spec in specs}
    return Document(services=services, **{**defaults, **fields})


def build_change(**zones: Any) -> Change:
    """Return a change that affects zones only."""
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


def prefixes(raw: bytes) -> list[bytes]:
    """Return what is left of some bytes if they are cut after each one."""
    return [raw[:length] for length in range(len(raw))]


def build_request(**fields: Any) -> Request:
    """Return a booking request with an idempotency key."""
    defaults = {
        'request_id': 'request-1',
        'service': 'bookings',
        'method': 'POST',
        'path': '/bookings',
        'body': b'{"seat": 7}',
        'idempotency_key': 'key-1',
    }
    return Request(**{**defaults, **fields})


def build_claim_request(
    token: int, key: bytes = b'key-1', **fields: Any
) -> ClaimRequest:
    """Return a claim request that waits until second 2."""
    defaults = {
        'fingerprint': b'same',
        'claim_id': b'claim-%d' % token,
        'wait_until_s': 2.0,
    }
    return ClaimRequest(token, key, **{**defaults, **fields})


def build_claim(key: bytes = b'key-1', **fields: Any) -> Claim:
    """Return a claim, held by another agent, that has no result yet."""
    defaults = {
        'fingerprint': b'same',
        'claim_id': b'claim-other',
        'holder': 'agent-9/1',
        'claimed_s': 1_000_000,
    }
    return Claim(key, **{**defaults, **fields})


def build_manifest(
    chunks: int = 4, *, model: str = 'seat-model', version: str = '1'
) -> Manifest:
    """Return a manifest with chunks of 16 bytes."""
    return Manifest.from_chunks(
        model, version, build_chunks(chunks, version=version), CHUNK_BYTES
    )


def build_chunks(chunks: int = 4, *, version: str = '1') -> list[bytes]:
    """Return the chunks that :func:`build_manifest` describes."""
    return [f'{version:>8}{index:08}'.encode() for index in range(chunks)]


def build_arrival(token: int, **fields: Any) -> Arrival:
    """Return a small request of one workspace with a long deadline."""
    defaults = {
        'workspace': 'workspace-1',
        'priority': 0,
        'body_bytes': 10,
        'deadline_s': 60.0,
    }
    return Arrival(token, **{**defaults, **fields})


def build_bench_result(*bounds: tuple[Any, ...]) -> BenchResult:
    """Return a result of the bench ``weights``.

    :param bounds: name, value, relation and limit of each bound.
    """
    sourced = tuple(Bound(*bound, source='letter') for bound in bounds)
    return BenchResult('weights', 1, {}, sourced)
