"""Tests of ``NAME=VALUE`` arguments, ``fakes control`` and usage errors."""

import contextlib
import io
import unittest

from bramleylug.cli.faults import build_store_faults, parse_assignments
from bramleylug.cli.main import main
from bramleylug.fakes.store import FakeStoreServer
from bramleylug.settings.fields import SettingsError
from bramleylug.wire.platform_pb2 import StoreFaults


class TestAssignments(unittest.TestCase):
    """Parsing of ``NAME=VALUE`` arguments."""

    def test_values_are_json_or_text(self) -> None:
        """Numbers and booleans are parsed; other text stays a string."""
        self.assertEqual(
            parse_assignments(['outage=true', 'delay_ms=5', 'mode=late']),
            {'outage': True, 'delay_ms': 5, 'mode': 'late'},
        )

    def test_every_malformed_argument_is_named(self) -> None:
        """A single error lists all of them."""
        with self.assertRaisesRegex(SettingsError, "'a' is.*'b' is"):
            parse_assignments(['a', 'b'])

    def test_unknown_fault_of_the_store_is_refused(self) -> None:
        """The message lists the known faults."""
        with self.assertRaisesRegex(SettingsError, 'outage, delay_ms'):
            build_store_faults({'fire': 1})


class TestControl(unittest.TestCase):
    """Setting faults of a running fake."""

    def test_outage_is_set_while_store_runs(self) -> None:
        """The command prints the call counts."""
        server = FakeStoreServer()
        server.start()
        self.addCleanup(server.stop)
        output = io.StringIO()

        with contextlib.redirect_stdout(output):
            code = main(
                [
                    'fakes',
                    'control',
                    'store',
                    server.address,
                    'outage=true',
                ]
            )

        self.assertEqual(code, 0)
        self.assertEqual(output.getvalue(), '{"calls": {}, "refused": 0}\n')
        self.assertEqual(server.store.faults.outage, True)
        self.assertIsInstance(server.store.faults, StoreFaults)


class TestUsage(unittest.TestCase):
    """Errors are printed as one line, without a traceback."""

    def run_failing(self, arguments: list[str]) -> tuple[int, str]:
        """Return the exit code and the error output."""
        output = io.StringIO()
        with contextlib.redirect_stderr(output):
            try:
                code = main(arguments)
            except SystemExit as stop:
                code = int(stop.code or 0)
        return code, output.getvalue()

    def test_unknown_command_is_one_line(self) -> None:
        """The line refers to ``--help``."""
        code, text = self.run_failing(['fetch'])

        self.assertEqual(code, 2)
        self.assertEqual(text.count('\n'), 1)
        self.assertIn('(see --help)', text)

    def test_refused_connection_is_one_line(self) -> None:
        """It has its own exit code."""
        code, text = self.run_failing(
            ['fakes', 'control', 'engine', '127.0.0.1:1']
        )

        self.assertEqual(code, 4)
        self.assertEqual(text.count('\n'), 1)
