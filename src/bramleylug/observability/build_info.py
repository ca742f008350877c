"""Tells which release and which code a process runs."""

import hashlib
import platform
from functools import cache
from pathlib import Path
from typing import NamedTuple

from bramleylug.release import VERSION

PACKAGE = Path(__file__).parents[1]
DIGEST_CHARACTERS = 12


class BuildInfo(NamedTuple):
    """What a process runs.

    :ivar release: release of the project.
    :ivar code: digest of the package, see :func:`code_digest`.
    :ivar python: version of the interpreter.
    """

    release: str
    code: str
    python: str


def code_digest(package: Path) -> str:
    """Return the first 12 hexadecimal digits of a digest of a package.

    Two folders have the same digest if they hold the same Python files, by
    their names and contents; dates do not count.
    """
    digest = hashlib.sha256()
    for path in sorted(package.rglob('*.py')):
        source = path.read_bytes()
        name = path.relative_to(package).as_posix()
        digest.update(f'{name}\0{len(source)}\0'.encode())
        digest.update(source)
    return digest.hexdigest()[:DIGEST_CHARACTERS]


@cache
def build_info() -> BuildInfo:
    """Return what this process runs, as it was on the first call."""
    return BuildInfo(VERSION, code_digest(PACKAGE), platform.python_version())


def describe_build() -> str:
    """Return one line for ``--version``."""
    build = build_info()
    return (
        f'bramleylug {build.release} (code {build.code}, Python {build.python})'
    )
