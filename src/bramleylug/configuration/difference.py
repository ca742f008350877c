"""Describes the effect of a change as lines for an operator."""

from collections.abc import Iterator, Mapping
from dataclasses import MISSING, fields
from types import MappingProxyType
from typing import Any

from bramleylug.configuration.document import (
    Change,
    Document,
    ServiceSpec,
    service_fields,
)

DEFAULTS = MappingProxyType(
    {
        spec.name: list(spec.default)
        if isinstance(spec.default, tuple)
        else spec.default
        for spec in fields(ServiceSpec)
        if spec.default is not MISSING
    }
)


def describe_change(document: Document, change: Change) -> list[str]:
    """Return one line for each service, field or zone that would change."""
    lines: list[str] = []
    for name, after in sorted(change['services'].items()):
        before = service_fields(document, name)
        lines.extend(_describe_service(name, before, after))
    for zone, state in sorted(change['zones'].items()):
        known = document.zones.get(zone, 'in')
        if known != state:
            lines.append(f'~ zone {zone}: {known} -> {state}')
    return lines


def without_defaults(service: Mapping[str, Any]) -> dict[str, Any]:
    """Return the fields of a service that differ from their defaults."""
    return {
        field: found
        for field, found in service.items()
        if field not in DEFAULTS or found != DEFAULTS[field]
    }


def _describe_service(
    name: str,
    before: Mapping[str, Any] | None,
    after: Mapping[str, Any] | None,
) -> Iterator[str]:
    if before == after:
        return
    if after is None:
        yield f'- service {name}'
    elif before is None:
        yield f'+ service {name}'
        for field, found in without_defaults(after).items():
            yield f'    {field} = {found!r}'
    else:
        yield f'~ service {name}'
        for field, found in after.items():
            if before.get(field) != found:
                yield f'    {field}: {before.get(field)!r} -> {found!r}'
