"""Settings as dataclass fields, read from flags and the environment."""

from argparse import ArgumentParser, Namespace
from collections.abc import Mapping
from dataclasses import MISSING, Field, field, fields
from typing import Any, TypeVar

ENVIRONMENT_PREFIX = 'BRAMLEYLUG_'

SettingsT = TypeVar('SettingsT')


class SettingsError(Exception):
    """Settings are missing or invalid; all errors are reported together.

    :ivar faults: one line for each error.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__('; '.join(faults))
        self.faults = faults


def setting(help_text: str, default: Any = MISSING, *, unit: str = '') -> Any:
    """Declare a field of a settings class.

    :param help_text: description that ``--help`` shows.
    :param default: value if it is not set; without one it must be set.
    :param unit: unit that ``--help`` shows, such as ``s`` or ``bytes``.
    """
    return field(default=default, metadata={'help': help_text, 'unit': unit})


def add_flags(parser: ArgumentParser, settings_class: type) -> None:
    """Add a flag for each field of a settings class."""
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
    """Build a settings object; a flag overrides its environment variable.

    :raises SettingsError: if settings are missing or invalid; names them all.
    """
    values: dict[str, Any] = {}
    faults: list[str] = []
    for spec in fields(settings_class):  # type: ignore[arg-type]
        text = getattr(namespace, spec.name, None)
        if text is None:
            text = environment.get(variable_name(spec))
        _read_field(spec, text, values, faults)
    settings = settings_class(**values)
    reported = {fault.split()[0].rstrip(':') for fault in faults}
    faults.extend(
        fault
        for fault in getattr(settings, 'faults', list)()
        if fault.split()[0].rstrip(':') not in reported
    )
    if faults:
        raise SettingsError(faults)
    return settings


def flag_name(spec: 'Field[Any]') -> str:
    return f'--{spec.name.replace("_", "-")}'


def variable_name(spec: 'Field[Any]') -> str:
    return f'{ENVIRONMENT_PREFIX}{spec.name.upper()}'


def _read_field(
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
            f'{flag_name(spec)}: {text!r} is not {_describe_type(spec)}',
        )
        values[spec.name] = spec.default


def _convert(kind: Any, text: str) -> Any:
    if kind is bool:
        return _parse_bool(text)
    if kind == tuple[str, ...]:
        return tuple(part for part in text.split(',') if part)
    return kind(text)


def _parse_bool(text: str) -> bool:
    words = {'true': True, '1': True, 'false': False, '0': False}
    if text.lower() not in words:
        raise ValueError(text)
    return words[text.lower()]


def _describe_type(spec: 'Field[Any]') -> str:
    words = {int: 'a whole number', float: 'a number', bool: 'true or false'}
    kind: Any = spec.type
    return words.get(kind, 'a valid value')


def _help_text(spec: 'Field[Any]') -> str:
    default = 'required' if spec.default is MISSING else f'{spec.default!r}'
    unit = f', in {spec.metadata["unit"]}' if spec.metadata['unit'] else ''
    text = f'{spec.metadata["help"]}{unit} [{variable_name(spec)}, {default}]'
    return text.replace('%', '%%')
