"""Settings declared as dataclass fields, read from flags and environment."""

from argparse import ArgumentParser, Namespace
from collections.abc import Mapping
from dataclasses import MISSING, Field, field, fields
from typing import Any, TypeVar

ENVIRONMENT_PREFIX = 'BRAMLEYLUG_'

SettingsT = TypeVar('SettingsT')


class SettingsError(Exception):
    """Settings with faults, all of them reported together.

    :ivar faults: one line a fault.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__('; '.join(faults))
        self.faults = faults


def setting(help_text: str, default: Any = MISSING, *, unit: str = '') -> Any:
    """Declare one setting.

    :param unit: shown by ``--help``, such as ``s`` or ``bytes``.
    """
    return field(default=default, metadata={'help': help_text, 'unit': unit})


def add_flags(parser: ArgumentParser, settings_class: type) -> None:
    """Add one flag for each field of a settings class."""
    for spec in fields(settings_class):
        parser.add_argument(
            flag_name(spec),
            dest=spec.name,
            metavar=(spec.metadata['unit'] or 'VALUE').upper(),
            help=_help_text(spec),
        )


def load_settings(
    settings_class: type[SettingsT],
    namespace: Namespace,
    environment: Mapping[str, str],
) -> SettingsT:
    """Build a settings object; a flag goes before its variable.

    :raises SettingsError: naming every missing or malformed setting.
    """
    values: dict[str, Any] = {}
    faults: list[str] = []
    for spec in fields(settings_class):  # type: ignore[arg-type]
        text = getattr(namespace, spec.name, None)
        if text is None:
            text = environment.get(variable_name(spec))
        _read_one(spec, text, values, faults)
    settings = settings_class(**values)
    known = {fault.split()[0].rstrip(':') for fault in faults}
    faults.extend(
        fault
        for fault in getattr(settings, 'faults', list)()
        if fault.split()[0].rstrip(':') not in known
    )
    if faults:
        raise SettingsError(faults)
    return settings


def flag_name(spec: 'Field[Any]') -> str:
    """Return the command line flag of a field."""
    return f'--{spec.name.replace("_", "-")}'


def variable_name(spec: 'Field[Any]') -> str:
    """Return the environment variable of a field."""
    return f'{ENVIRONMENT_PREFIX}{spec.name.upper()}'


def _read_one(
    spec: 'Field[Any]',
    text: str | None,
    values: dict[str, Any],
    faults: list[str],
) -> None:
    if text is None:
        if spec.default is MISSING:
            faults.append(
                f'{flag_name(spec)} ({variable_name(spec)}) is missing'
            )
            values[spec.name] = ''
        return
    try:
        values[spec.name] = _convert(spec.type, text)
    except ValueError:
        faults.append(
            f'{flag_name(spec)}: {text!r} is not {_type_words(spec)}',
        )
        values[spec.name] = spec.default


def _convert(kind: Any, text: str) -> Any:
    if kind is bool:
        return _read_bool(text)
    if kind == tuple[str, ...]:
        return tuple(part for part in text.split(',') if part)
    return kind(text)


def _read_bool(text: str) -> bool:
    words = {'true': True, '1': True, 'false': False, '0': False}
    if text.lower() not in words:
        raise ValueError(text)
    return words[text.lower()]


def _type_words(spec: 'Field[Any]') -> str:
    words = {int: 'a whole number', float: 'a number', bool: 'true or false'}
    kind: Any = spec.type
    return words.get(kind, 'a value of its kind')


def _help_text(spec: 'Field[Any]') -> str:
    default = 'required' if spec.default is MISSING else f'{spec.default!r}'
    unit = f', in {spec.metadata["unit"]}' if spec.metadata['unit'] else ''
    text = f'{spec.metadata["help"]}{unit} [{variable_name(spec)}, {default}]'
    return text.replace('%', '%%')
