"""Measures the cost of decoding and encoding a configuration document."""

from dataclasses import replace
from typing import NamedTuple

from bramleylug.bench.resource_usage import min_processor_seconds
from bramleylug.configuration.document import (
    Change,
    Document,
    ServiceSpec,
    spec_to_json,
)

REPEATS = 5
BATCHES = 24
MODEL_ZONES = ('zone-0', 'zone-1', 'zone-2')


class ConfigurationCosts(NamedTuple):
    """Costs of a document with some services; processor time in seconds."""

    services: int
    document_bytes: int
    decode_s: float
    encode_s: float


def measure_configuration(services: int) -> ConfigurationCosts:
    """Measure the decoding and encoding of a document."""
    document = build_document(services)
    text = document.to_json()
    return ConfigurationCosts(
        services=services,
        document_bytes=len(text),
        decode_s=min_processor_seconds(
            lambda: Document.from_json(text), repeats=REPEATS, batches=BATCHES
        ),
        encode_s=min_processor_seconds(
            document.to_json, repeats=REPEATS, batches=BATCHES
        ),
    )


def build_document(services: int) -> Document:
    """Return a document with some services, each added by its own change."""
    document = Document()
    for number in range(services):
        spec = build_service(number)
        change = Change(services={spec.name: spec_to_json(spec)}, zones={})
        document = document.with_change(
            change, change_id=f'change-{number}', who='bench', when_s=number
        )
    return replace(document, zones={zone: 'in' for zone in MODEL_ZONES})


def build_service(number: int) -> ServiceSpec:
    """Return a model service in three zones."""
    return ServiceSpec(
        name=f'service-{number}',
        kind='model',
        zones=MODEL_ZONES,
        model=f'model-{number}',
        version='1',
    )
