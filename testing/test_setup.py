"""Tests of ``make setup``."""

import os
import shutil
import subprocess
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[1]
FILES = ('Makefile', 'pyproject.toml', 'requirements.lock')


def planned_commands(folder: Path) -> list[str]:
    """Return the commands that ``make setup`` would run."""
    printed = subprocess.run(
        ['make', '--dry-run', '--no-print-directory', 'setup'],
        cwd=folder,
        # What the make that runs the tests was called with does not count.
        env={key: os.environ[key] for key in ('PATH', 'HOME')},
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    return [line for line in printed.splitlines() if '.venv' in line]


class TestCarriedOverEnvironment(unittest.TestCase):
    """An environment is used only for the sources that it was made from.

    One with a later date than the lock file was used for any lock file.
    """

    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)
        for name in FILES:
            shutil.copy(ROOT / name, self.folder / name)
        commands = planned_commands(self.folder)
        stamp = self.folder / commands[-1].removeprefix('touch ')
        stamp.parent.mkdir()
        stamp.touch()

    def test_same_sources_install_nothing(self) -> None:
        """Dates do not count."""
        for name in FILES:
            os.utime(self.folder / name)

        self.assertEqual(planned_commands(self.folder), [])

    def test_other_lock_file_of_an_earlier_date_installs_anew(self) -> None:
        lock = self.folder / 'requirements.lock'
        lock.write_text(f'{lock.read_text()}other==1.0\n')
        os.utime(lock, (0, 0))

        commands = planned_commands(self.folder)

        self.assertIn('-m venv --clear .venv', commands[0])
        self.assertIn('pip install', commands[1])
