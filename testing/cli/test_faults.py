"""Tests of the faults of stand-ins on the command line."""

import contextlib
import io
import unittest

from bramleylug.cli.faults import parse_words, store_faults
from bramleylug.cli.main import main
from bramleylug.fakes.store import FakeStoreServer
from bramleylug.settings.fields import SettingsError
from bramleylug.wire.platform_pb2 import StoreFaults


class TestWords(unittest.TestCase):
    """``NAME=VALUE`` words."""

    def test_values_are_json_or_text(self) -> None:
        """Numbers and truth values need no quotes."""
        self.assertEqual(
            parse_words(['outage=true', 'delay_ms=5', 'mode=late']),
            {'outage': True, 'delay_ms': 5, 'mode': 'late'},
        )

    def test_every_malformed_word_is_named(self) -> None:
        """One run tells of both."""
        with self.assertRaisesRegex(SettingsError, "'a' is.*'b' is"):
            parse_words(['a', 'b'])

    def test_unknown_fault_of_the_store_is_refused(self) -> None:
        """The message lists what there is."""
        with self.assertRaisesRegex(SettingsError, 'outage, delay_ms'):
            store_faults({'fire': 1})


class TestControl(unittest.TestCase):
    """Faults are set while the stand-in runs."""

    def test_outage_is_set_at_run_time(self) -> None:
        """The command prints the counts."""
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
    """A usage error is one line, never a traceback."""

    def error_of(self, arguments: list[str]) -> tuple[int, str]:
        """Return the exit code and what was printed."""
        output = io.StringIO()
        with contextlib.redirect_stderr(output):
            try:
                code = main(arguments)
            except SystemExit as stop:
                code = int(stop.code or 0)
        return code, output.getvalue()

    def test_unknown_command_is_one_line(self) -> None:
        """The line says where to find help."""
        code, text = self.error_of(['fetch'])

        self.assertEqual(code, 2)
        self.assertEqual(text.count('\n'), 1)
        self.assertIn('(see --help)', text)

    def test_address_that_does_not_answer_is_one_line(self) -> None:
        """A refused connection has its own exit code."""
        code, text = self.error_of(
            ['fakes', 'control', 'engine', '127.0.0.1:1']
        )

        self.assertEqual(code, 4)
        self.assertEqual(text.count('\n'), 1)
