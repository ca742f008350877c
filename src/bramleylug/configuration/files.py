"""Reads and checks service files: TOML files that declare services."""

import re
import tomllib
from pathlib import Path
from typing import Any, NamedTuple, final

from bramleylug.configuration.document import (
    Change,
    ServiceSpec,
    spec_from_json,
    spec_to_json,
)
from bramleylug.configuration.rules import check_fields, suggest

ZONES_FILE = 'zones.toml'
ERROR_LINE = re.compile(r'\(at line (\d+)')


class Finding(NamedTuple):
    """A problem in a service file, with its line."""

    file: str
    line: int
    message: str

    def __str__(self) -> str:
        """Return the finding as ``file:line: message``."""
        return f'{self.file}:{self.line}: {self.message}'


class ServiceFiles(NamedTuple):
    """The services declared in a set of files, and the problems found."""

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


class SourceFile(NamedTuple):
    """A parsed TOML file that can look up the line of a key."""

    path: Path
    text: str
    table: dict[str, Any]

    def finding(self, key: str, message: str, word: str = '') -> Finding:
        """Return a finding at a key, or at a quoted word after it."""
        return Finding(str(self.path), self.line_of(key, word), message)

    def line_of(self, key: str, word: str = '') -> int:
        """Return the line of a key; 1 when the file does not contain it."""
        start = re.compile(
            rf'\s*(\[+\s*)?["\']?{re.escape(key)}["\']?\s*[=\].]'
        )
        quoted = re.compile(rf'["\']{re.escape(word)}["\']')
        found = 0
        for number, line in enumerate(self.text.splitlines(), start=1):
            if not found and key and start.match(line):
                found = number
            if found and (not word or quoted.search(line)):
                return number
        return found or 1


@final
class ServiceFileReader:
    """Reads service files and collects all findings.

    A file named ``zones.toml`` with ``zones = [...]`` declares the zones
    that services may name.
    """

    def __init__(self) -> None:
        self.findings: list[Finding] = []
        self.sources: dict[str, SourceFile] = {}
        self.services: dict[str, ServiceSpec] = {}
        self.zones: list[str] = []
        self.zones_file = ''

    def read(self, path: Path) -> None:
        source = self._parse(path)
        if source is None:
            return
        if path.name == ZONES_FILE:
            self._add_zones(source)
        else:
            self._add_service(source)

    def finish(self) -> ServiceFiles:
        """Check the references between files and return the result."""
        if self.zones_file:
            for name, spec in self.services.items():
                for zone in spec.zones:
                    self._check_zone(self.sources[name], zone)
        return ServiceFiles(self.services, tuple(sorted(self.findings)))

    def _parse(self, path: Path) -> SourceFile | None:
        try:
            text = path.read_text()
        except (OSError, ValueError) as error:
            self.findings.append(
                Finding(str(path), 1, f'cannot be read: {error}')
            )
            return None
        try:
            return SourceFile(path, text, tomllib.loads(text))
        except tomllib.TOMLDecodeError as error:
            location = ERROR_LINE.search(str(error))
            last = len(text.splitlines()) or 1
            line = int(location[1]) if location else last
            self.findings.append(Finding(str(path), line, str(error)))
            return None

    def _add_zones(self, source: SourceFile) -> None:
        zones = source.table.get('zones')
        if not isinstance(zones, list) or list(source.table) != ['zones']:
            self.findings.append(
                source.finding(
                    'zones', 'declare zones = ["zone-a", ...] and nothing else'
                )
            )
            return
        self.zones_file = str(source.path)
        self.zones.extend(map(str, zones))

    def _add_service(self, source: SourceFile) -> None:
        errors = check_fields(source.table)
        self.findings.extend(
            source.finding(
                field_error.field,
                _with_field(field_error.field, field_error.message),
            )
            for field_error in errors
        )
        name = source.table.get('name')
        if not isinstance(name, str):
            return
        first = self.sources.setdefault(name, source)
        if first is not source:
            location = f'{first.path}:{first.line_of("name")}'
            self.findings.append(
                source.finding(
                    'name',
                    f'service {name!r} is declared twice, first at {location}; '
                    'rename or remove one',
                )
            )
        elif not errors:
            fields = {
                key: part for key, part in source.table.items() if key != 'name'
            }
            self.services[name] = spec_from_json(name, fields)

    def _check_zone(self, source: SourceFile, zone: str) -> None:
        if zone not in self.zones:
            self.findings.append(
                source.finding(
                    'zones',
                    f'zone {zone!r} is not declared in {self.zones_file}'
                    f'{suggest(zone, self.zones)}',
                    zone,
                )
            )


def read_service_files(paths: list[Path]) -> ServiceFiles:
    """Read service files.

    :param paths: files, or folders that are searched for ``*.toml``.
    """
    reader = ServiceFileReader()
    for path in _files(paths):
        reader.read(path)
    return reader.finish()


def _files(paths: list[Path]) -> list[Path]:
    found: dict[Path, None] = {}
    for path in paths:
        inside = sorted(path.rglob('*.toml')) if path.is_dir() else [path]
        found.update(dict.fromkeys(inside))
    return list(found)


def _with_field(field: str, message: str) -> str:
    return f'{field}: {message}' if field else message
