"""Applies the body of ``POST /control`` to the settings of a running fake."""

import json
from dataclasses import fields, replace
from typing import Any, TypeVar

SettingsT = TypeVar('SettingsT')


def apply_control(
    settings: SettingsT, body: bytes, *, commands: tuple[str, ...] = ()
) -> tuple[SettingsT, dict[str, Any]]:
    """Apply a JSON object to settings; return these and the commands in it.

    :param commands: allowed keys of the object that are not settings.
    :raises ValueError: naming every key that is neither.
    """
    changes: dict[str, Any] = json.loads(body or b'{}')
    known = {spec.name for spec in fields(settings)}  # type: ignore[arg-type]
    unknown = [
        name for name in changes if name not in known and name not in commands
    ]
    if unknown:
        raise ValueError(f'unknown names: {unknown}')
    requested = {
        name: changes.pop(name) for name in commands if name in changes
    }
    return replace(settings, **changes), requested  # type: ignore[type-var]
