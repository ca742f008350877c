"""Tests of what a process tells about the code that it runs."""

import contextlib
import io
import os
import tempfile
import unittest
from pathlib import Path

from bramleylug.cli.main import build_parser as build_command_parser
from bramleylug.observability.build_info import (
    PACKAGE,
    build_info,
    code_digest,
    describe_build,
)
from bramleylug.platform.program import build_parser as build_platform_parser


class TestCodeDigest(unittest.TestCase):
    """Two folders have the same digest if and only if the code is the same."""

    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.package = Path(temporary.name)
        self.write('web/poller.py', 'poller = 1\n')
        self.write('relay.py', 'relay = 1\n')
        self.digest = code_digest(self.package)

    def write(self, name: str, source: str) -> None:
        path = self.package / name
        path.parent.mkdir(exist_ok=True)
        path.write_text(source)

    def test_changed_module_has_another_digest(self) -> None:
        """The size and the date of the file stay the same."""
        times = (self.package / 'relay.py').stat()
        self.write('relay.py', 'relay = 2\n')
        os.utime(
            self.package / 'relay.py', ns=(times.st_atime_ns, times.st_mtime_ns)
        )

        self.assertNotEqual(code_digest(self.package), self.digest)

    def test_renamed_module_has_another_digest(self) -> None:
        (self.package / 'relay.py').rename(self.package / 'front.py')

        self.assertNotEqual(code_digest(self.package), self.digest)

    def test_left_over_module_has_another_digest(self) -> None:
        self.write('web/sockets.py', '')

        self.assertNotEqual(code_digest(self.package), self.digest)

    def test_dates_and_byte_code_do_not_count(self) -> None:
        os.utime(self.package / 'relay.py', (0, 0))
        self.write('__pycache__/relay.cpython-311.pyc', 'byte code')

        self.assertEqual(code_digest(self.package), self.digest)


class TestVersionFlag(unittest.TestCase):
    """``--version`` tells release, code and Python of what runs."""

    def test_every_command_line_prints_what_runs(self) -> None:
        for parser in (build_command_parser(), build_platform_parser()):
            with self.subTest(parser.prog):
                output = io.StringIO()
                with (
                    contextlib.redirect_stdout(output),
                    self.assertRaisesRegex(SystemExit, '^0$'),
                ):
                    parser.parse_args(['--version'])

                self.assertEqual(output.getvalue(), f'{describe_build()}\n')

    def test_digest_is_that_of_the_package(self) -> None:
        self.assertEqual(build_info().code, code_digest(PACKAGE))
        self.assertIn(build_info().code, describe_build())
