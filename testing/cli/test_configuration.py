"""Tests of the commands ``publish``, ``zone`` and ``audit``."""

import json
import unittest
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory

from bramleylug.cli.main import main
from bramleylug.cli.parser import ExitCode
from bramleylug.fakes.store import FakeStoreServer
from bramleylug.wire.platform_pb2 import StoreFaults

SERVICE = """name = "bookings"
kind = "plain"
zones = ["zone-a"]
idempotent = false
"""


class TestPublication(unittest.TestCase):
    """Exit codes and output of publishing commands."""

    def setUp(self) -> None:
        """Start a fake store and write a service file."""
        self.server = FakeStoreServer()
        self.server.start()
        self.addCleanup(self.server.stop)
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'bookings.toml'
        self.path.write_text(SERVICE)

    def run_command(self, *arguments: str) -> tuple[int, str]:
        """Run a command; return its exit code and both output streams."""
        output = StringIO()
        with redirect_stdout(output), redirect_stderr(output):
            code = main(list(arguments))
        return code, output.getvalue()

    def publish_flags(self) -> tuple[str, str, str, str]:
        """Return the flags that all publishing commands share."""
        return '--store', self.server.address, '--who', 'ana'

    def test_dry_run_prints_difference_and_writes_nothing(self) -> None:
        """The store stays empty."""
        code, text = self.run_command(
            'publish', str(self.path), '--dry-run', *self.publish_flags()
        )

        self.assertEqual(code, ExitCode.ok)
        self.assertEqual(
            text.splitlines(),
            [
                '+ service bookings',
                "    kind = 'plain'",
                "    zones = ['zone-a']",
                '    idempotent = False',
            ],
        )
        self.assertEqual(self.server.store.entries, {})

    def test_accepted_change_is_in_the_audit_trail(self) -> None:
        """``audit`` prints who, id and difference; JSON has the old values."""
        self.run_command('publish', str(self.path), *self.publish_flags())
        self.path.write_text(f'{SERVICE}concurrency = 4\n')
        code, text = self.run_command(
            'publish',
            str(self.path),
            '--change-id',
            'c2',
            *self.publish_flags(),
        )
        self.assertEqual(code, ExitCode.ok)
        self.assertIn('concurrency: 16 -> 4', text)
        self.assertIn('accepted: change c2, revision 2', text)

        _, audit = self.run_command('audit', *self.publish_flags()[:2])
        _, as_json = self.run_command(
            'audit', '--json', *self.publish_flags()[:2]
        )

        self.assertIn('ana  c2', audit)
        self.assertIn('service bookings: concurrency: 16 -> 4', audit)
        last = json.loads(as_json.splitlines()[-1])
        self.assertEqual(
            last['before']['services']['bookings']['idempotent'], 0
        )

    def test_mistyped_zone_is_not_accepted(self) -> None:
        """Excluding a zone that does not exist would have no effect."""
        self.run_command('publish', str(self.path), *self.publish_flags())

        code, text = self.run_command(
            'zone', 'out', 'zona-a', *self.publish_flags()
        )

        self.assertEqual(code, ExitCode.failed)
        self.assertIn("did you mean 'zone-a'?", text)

    def test_invalid_service_file_is_not_published(self) -> None:
        """The finding is printed and nothing is written to the store."""
        self.path.write_text(f'{SERVICE}concurrency = 0\n')

        code, text = self.run_command(
            'publish', str(self.path), *self.publish_flags()
        )

        self.assertEqual(code, ExitCode.usage)
        self.assertIn('bookings.toml:5: concurrency: 0 is too small', text)
        self.assertEqual(self.server.store.entries, {})

    def test_store_outage_is_unknown_only_for_repeated_change(self) -> None:
        """Only a repeated change can have been accepted before the outage."""
        self.server.store.SetFaults(StoreFaults(outage=True), None)
        command = ('zone', 'out', 'zone-a', *self.publish_flags())

        self.assertEqual(self.run_command(*command)[0], ExitCode.failed)
        self.assertEqual(
            self.run_command(*command, '--change-id', 'c')[0], ExitCode.unknown
        )
