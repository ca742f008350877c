"""Validates the fields of services in service files and in changes."""

import re
from collections.abc import Iterator, Mapping
from dataclasses import MISSING, fields
from difflib import get_close_matches
from functools import partial
from types import MappingProxyType
from typing import Any, Literal, NamedTuple, get_args, get_origin

from bramleylug.configuration.document import (
    Change,
    ServiceSpec,
    spec_from_json,
)

NAME_PATTERN = re.compile('[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?')
NAME_ADVICE = 'use 1 to 63 of a-z, 0-9 and - inside'
TYPE_ADVICE: Mapping[Any, str] = MappingProxyType(
    {
        str: 'write text in quotes',
        int: 'write a whole number without quotes',
        float: 'write a number without quotes',
        bool: 'write true or false without quotes',
        tuple[str, ...]: 'write a list of quoted names, as ["zone-a"]',
    }
)


class FieldError(NamedTuple):
    """A problem with a service, and how to fix it.

    :ivar field: the field concerned; empty for the service as a whole.
    """

    field: str
    message: str


def check_fields(table: Mapping[str, Any]) -> list[FieldError]:
    """Return the errors in the fields of one service."""
    errors = list(_unknown_fields(table))
    errors.extend(_missing_fields(table))
    errors.extend(_wrong_types(table))
    if errors:
        return errors
    spec = spec_from_json(
        table['name'],
        {key: part for key, part in table.items() if key != 'name'},
    )
    return list(check_spec(spec))


def check_spec(spec: ServiceSpec) -> Iterator[FieldError]:
    """Yield the invalid values of a service whose fields have valid types."""
    if not NAME_PATTERN.fullmatch(spec.name):
        yield FieldError(
            'name', f'{spec.name!r} is not a valid name; {NAME_ADVICE}'
        )
    yield from _check_zones(spec)
    yield from _check_model(spec)
    yield from _check_limits(spec)


def check_change(change: Change) -> list[str]:
    """Return the errors in a change, as messages for its publisher."""
    errors = [
        f'service {name!r}: {error.field}: {error.message}'
        for name, table in change['services'].items()
        if table is not None
        for error in check_fields({**table, 'name': name})
    ]
    errors.extend(
        f'zone {zone!r}: {state!r} is not a valid state; use "in" or "out"'
        for zone, state in change['zones'].items()
        if state not in {'in', 'out'}
    )
    return errors


def suggest(word: str, known: list[str]) -> str:
    """Return ``; did you mean ...?`` for a similar word, else nothing."""
    near = get_close_matches(word, known, n=1)
    return f'; did you mean {near[0]!r}?' if near else ''


def _unknown_fields(table: Mapping[str, Any]) -> Iterator[FieldError]:
    known = [spec.name for spec in fields(ServiceSpec)]
    for key in table:
        if key not in known:
            yield FieldError(key, f'unknown key {key!r}{suggest(key, known)}')


def _missing_fields(table: Mapping[str, Any]) -> Iterator[FieldError]:
    for spec in fields(ServiceSpec):
        if spec.default is MISSING and spec.name not in table:
            yield FieldError(
                '', f'{spec.name} is missing; {_advice(spec.type)}'
            )


def _wrong_types(table: Mapping[str, Any]) -> Iterator[FieldError]:
    for spec in fields(ServiceSpec):
        if spec.name not in table:
            continue
        found = table[spec.name]
        if not _has_type(found, spec.type):
            yield FieldError(
                spec.name, f'{found!r} is not valid; {_advice(spec.type)}'
            )


def _has_type(found: Any, kind: Any) -> bool:
    if get_origin(kind) is Literal:
        return found in get_args(kind)
    if kind == tuple[str, ...]:
        return isinstance(found, (list, tuple)) and all(
            isinstance(part, str) for part in found
        )
    if kind is float:
        return isinstance(found, (int, float)) and not isinstance(found, bool)
    if isinstance(found, bool):
        return kind is bool
    return isinstance(found, kind)


def _advice(kind: Any) -> str:
    if get_origin(kind) is Literal:
        words = ' or '.join(f'"{word}"' for word in get_args(kind))
        return f'use {words}'
    return TYPE_ADVICE[kind]


def _check_zones(spec: ServiceSpec) -> Iterator[FieldError]:
    if not spec.zones:
        yield FieldError('zones', 'no zone is listed; list at least one')
    for zone in sorted(set(spec.zones)):
        if spec.zones.count(zone) > 1:
            yield FieldError(
                'zones', f'zone {zone!r} is listed twice; list it once'
            )
        if not NAME_PATTERN.fullmatch(zone):
            yield FieldError(
                'zones', f'{zone!r} is not a valid zone name; {NAME_ADVICE}'
            )


def _check_model(spec: ServiceSpec) -> Iterator[FieldError]:
    if spec.kind == 'model':
        for field in ('model', 'version'):
            if not getattr(spec, field):
                yield FieldError(field, f'a model service needs a {field}')
        return
    for field in ('model', 'version'):
        if getattr(spec, field):
            yield FieldError(
                field, f'a plain service has no {field}; remove it'
            )


def _check_limits(spec: ServiceSpec) -> Iterator[FieldError]:
    for field, minimum in (
        ('replicas', 0),
        ('max_unavailable', 0),
        ('concurrency', 1),
        ('cold_concurrency', 1),
        ('ramp_successes', 0),
        ('deadline_ms', 1),
        ('queue_bytes', 0),
    ):
        found = getattr(spec, field)
        if found < minimum:
            yield FieldError(
                field, f'{found} is too small; use at least {minimum}'
            )
    yield from _check_pairs(spec, (('cold_concurrency', 'concurrency'),))
    if spec.replicas:
        yield from _check_pairs(spec, (('max_unavailable', 'replicas'),))


def _check_pairs(
    spec: ServiceSpec, pairs: tuple[tuple[str, str], ...]
) -> Iterator[FieldError]:
    read = partial(getattr, spec)
    for small, large in pairs:
        if read(small) > read(large):
            yield FieldError(
                small,
                f'{read(small)} is more than {large} ({read(large)}); '
                f'lower {small} or raise {large}',
            )
