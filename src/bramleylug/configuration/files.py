"""Service files: TOML beside each service's code."""

import tomllib
from dataclasses import MISSING, fields
from pathlib import Path
from typing import Any, NamedTuple

from bramleylug.configuration.document import (
    Change,
    ServiceSpec,
    spec_to_json,
)


class Finding(NamedTuple):
    """One fault of a service file, with its place."""

    file: str
    line: int
    message: str

    def __str__(self) -> str:
        """Return the finding as ``file:line: message``."""
        return f'{self.file}:{self.line}: {self.message}'


class Collected(NamedTuple):
    """What the service files say, and what is wrong with them."""

    services: dict[str, ServiceSpec]
    findings: tuple[Finding, ...]

    def to_change(self) -> Change:
        """Return the change that publishes these services."""
        return Change(
            services={
                name: spec_to_json(spec) for name, spec in self.services.items()
            },
            zones={},
        )


def collect(paths: list[Path]) -> Collected:
    """Read service files and folders of them.

    :param paths: files, or folders searched for ``*.toml``.
    """
    services: dict[str, ServiceSpec] = {}
    findings: list[Finding] = []
    for path in _files(paths):
        spec = _read_file(path, findings)
        if spec is None:
            continue
        if spec.name in services:
            findings.append(
                Finding(str(path), 1, f'service {spec.name!r} stands twice')
            )
        services[spec.name] = spec
    return Collected(services, tuple(findings))


def _files(paths: list[Path]) -> list[Path]:
    found: list[Path] = []
    for path in paths:
        found.extend(sorted(path.rglob('*.toml')) if path.is_dir() else [path])
    return found


def _read_file(path: Path, findings: list[Finding]) -> ServiceSpec | None:
    try:
        text = path.read_text()
        table = tomllib.loads(text)
    except (OSError, ValueError) as error:
        findings.append(Finding(str(path), 1, str(error)))
        return None
    known = {spec.name: spec for spec in fields(ServiceSpec)}
    count = len(findings)
    for key in table:
        if key not in known:
            findings.append(
                Finding(str(path), _line_of(text, key), f'unknown key {key!r}')
            )
    for name, spec in known.items():
        if spec.default is MISSING and name not in table:
            findings.append(Finding(str(path), 1, f'{name} is missing'))
    if len(findings) > count:
        return None
    return _build(table)


def _build(table: dict[str, Any]) -> ServiceSpec:
    lists = {key: tuple(table.get(key, ())) for key in ('zones', 'adapters')}
    return ServiceSpec(**{**table, **lists})


def _line_of(text: str, key: str) -> int:
    for number, line in enumerate(text.splitlines(), start=1):
        if line.strip().startswith(key):
            return number
    return 1
