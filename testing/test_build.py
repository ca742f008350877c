"""Tests of the build that the deploy file names."""

import asyncio
import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

from bramleylug.observability.build_info import code_digest
from testing.built_programs import BuiltRelay, hold_connections

ROOT = Path(__file__).parents[1]
PACKAGE = Path('src', 'bramleylug')
BUILT = Path('target', 'deps', 'bramleylug')
SOURCES = (
    'README.md',
    'deploy',
    'pyproject.toml',
    'requirements.lock',
    'setup.cfg',
    'src',
)
IGNORED = shutil.ignore_patterns('__pycache__', '*.egg-info')
# One date for all sources, and a later one for what an earlier build left.
SOURCE_DATE_S = 1_700_000_000
LEFTOVER_DATE_S = SOURCE_DATE_S + 3600
OLD_POLLER = "raise ImportError('the poller of an earlier build')\n"
# More connections than select(2) can watch.
CONNECTIONS = 1100


def copy_checkout(folder: Path) -> None:
    """Copy what the build needs, with one date for all files."""
    for name in SOURCES:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, folder / name, ignore=IGNORED)
        else:
            shutil.copy(source, folder / name)
    set_dates(folder, SOURCE_DATE_S)


def set_dates(folder: Path, date_s: int) -> None:
    for path in folder.rglob('*'):
        os.utime(path, (date_s, date_s))


def leave_earlier_build(folder: Path) -> None:
    """Leave what an earlier build of other code may have left.

    Its poller differs, it has a module that was removed since, and a
    dependency that is no longer declared.
    """
    for package in (Path('build', 'lib', 'bramleylug'), BUILT):
        left = folder / package
        shutil.copytree(folder / PACKAGE, left)
        (left / 'web' / 'poller.py').write_text(OLD_POLLER)
        (left / 'web' / 'removed.py').write_text('')
    (folder / 'target' / 'deps' / 'undeclared.py').write_text('')
    egg_info = folder / 'src' / 'bramleylug.egg-info'
    egg_info.mkdir()
    (egg_info / 'SOURCES.txt').write_text('src/bramleylug/web/removed.py\n')
    for name in ('build', 'target', egg_info.relative_to(folder)):
        set_dates(folder / name, LEFTOVER_DATE_S)


def build(folder: Path) -> None:
    """Run the build of the deploy file, without a network.

    The tools and libraries of this environment take the place of those that
    pip would fetch.
    """
    deploy = tomllib.loads((folder / 'deploy' / 'system.toml').read_text())
    environment = {
        **os.environ,
        'PATH': f'{Path(sys.executable).parent}:{os.environ["PATH"]}',
        # The environment variable has the value of ``--build-isolation``.
        'PIP_NO_BUILD_ISOLATION': '0',
        'PIP_NO_DEPS': '1',
        'PIP_NO_INDEX': '1',
    }
    subprocess.run(
        ['sh', '-c', deploy['build']],
        cwd=folder,
        env=environment,
        check=True,
        capture_output=True,
        text=True,
    )


def read_tree(folder: Path) -> dict[str, bytes]:
    """Return the content of each file of a package by its path."""
    return {
        str(path.relative_to(folder)): path.read_bytes()
        for path in folder.rglob('*')
        if path.is_file() and '__pycache__' not in path.parts
    }


def list_outside_target(folder: Path) -> set[Path]:
    found = {path.relative_to(folder) for path in folder.rglob('*')}
    return {path for path in found if path.parts[0] != 'target'}


class TestBuildBesideLeftovers(unittest.TestCase):
    """The build takes nothing from an earlier one.

    setuptools took from ``build/lib`` each module that was not older than its
    source: programs were started whose faults had been mended.
    """

    folder: Path

    @classmethod
    def setUpClass(cls) -> None:
        cls.folder = Path(tempfile.mkdtemp())
        cls.addClassCleanup(shutil.rmtree, cls.folder)
        copy_checkout(cls.folder)
        leave_earlier_build(cls.folder)
        build(cls.folder)

    def test_built_package_is_that_of_the_sources(self) -> None:
        self.assertEqual(
            read_tree(self.folder / BUILT), read_tree(self.folder / PACKAGE)
        )

    def test_undeclared_dependency_is_gone(self) -> None:
        self.assertFalse(
            (self.folder / 'target' / 'deps' / 'undeclared.py').exists()
        )

    def test_built_program_tells_the_digest_of_the_sources(self) -> None:
        """``--version`` shows which code would run."""
        printed = subprocess.run(
            [sys.executable, '-m', 'bramleylug.platform', '--version'],
            cwd=self.folder,
            env={**os.environ, 'PYTHONPATH': str(self.folder / BUILT.parent)},
            check=True,
            capture_output=True,
            text=True,
        ).stdout

        self.assertIn(code_digest(self.folder / PACKAGE), printed)

    def test_built_relay_answers_beyond_a_thousand_connections(self) -> None:
        """A relay of the earlier build accepted them and never read them."""
        relay = BuiltRelay(self.folder)
        self.addCleanup(relay.kill)
        relay.start()

        answered = asyncio.run(hold_connections(relay.caller, CONNECTIONS))

        self.assertEqual(answered, CONNECTIONS)


class TestCleanBuild(unittest.TestCase):
    """The build in a clean checkout."""

    def test_everything_produced_is_under_target(self) -> None:
        """``build/`` and ``egg-info`` were left beside the sources."""
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary)
            copy_checkout(folder)
            before = list_outside_target(folder)

            build(folder)

            self.assertEqual(list_outside_target(folder), before)
