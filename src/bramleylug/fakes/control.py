"""Settings of a stand-in that change while it runs."""

import json
from dataclasses import fields, replace
from typing import Any, TypeVar

SettingsT = TypeVar('SettingsT')


def changed_settings(
    settings: SettingsT, body: bytes, *, also: tuple[str, ...] = ()
) -> tuple[SettingsT, dict[str, Any]]:
    """Return settings changed by a JSON object, and the object's other words.

    :param also: words that are no settings.
    :raises ValueError: naming every word that is unknown.
    """
    wanted: dict[str, Any] = json.loads(body or b'{}')
    known = {spec.name for spec in fields(settings)}  # type: ignore[arg-type]
    unknown = [
        name for name in wanted if name not in known and name not in also
    ]
    if unknown:
        raise ValueError(f'no such words: {unknown}')
    words = {name: wanted.pop(name) for name in also if name in wanted}
    return replace(settings, **wanted), words  # type: ignore[type-var]
