"""Changes the settings of a running fake as its ``/control`` path asks."""

import json
from dataclasses import fields, replace
from typing import Any, TypeVar

SettingsT = TypeVar('SettingsT')


def apply_control(
    settings: SettingsT, body: bytes, *, commands: tuple[str, ...] = ()
) -> tuple[SettingsT, dict[str, Any]]:
    """Return the settings changed by a JSON object, and its commands.

    :param commands: names allowed in the object that are not settings.
    :raises ValueError: naming every key that is neither.
    """
    changes: dict[str, Any] = json.loads(body or b'{}')
    known = {spec.name for spec in fields(settings)}  # type: ignore[arg-type]
    unknown = [
        name for name in changes if name not in known and name not in commands
    ]
    if unknown:
        raise ValueError(f'unknown names: {unknown}')
    given = {name: changes.pop(name) for name in commands if name in changes}
    return replace(settings, **changes), given  # type: ignore[type-var]
