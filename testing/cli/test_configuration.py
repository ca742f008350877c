"""Tests of the commands that check, publish and list changes."""

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
    """What an operator sees."""

    def setUp(self) -> None:
        """Serve a store and write a service file."""
        self.server = FakeStoreServer()
        self.server.start()
        self.addCleanup(self.server.stop)
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'bookings.toml'
        self.path.write_text(SERVICE)

    def run_command(self, *words: str) -> tuple[int, str]:
        """Run a command; return its exit code and all it printed."""
        printed = StringIO()
        with redirect_stdout(printed), redirect_stderr(printed):
            code = main(list(words))
        return code, printed.getvalue()

    def store(self) -> tuple[str, str, str, str]:
        """Return the flags that all publications share."""
        return '--store', self.server.address, '--who', 'ana'

    def test_difference_is_printed_and_nothing_written_on_a_dry_run(
        self,
    ) -> None:
        """The next command finds the store empty."""
        code, text = self.run_command(
            'publish', str(self.path), '--dry-run', *self.store()
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
        """With who, before and after."""
        self.run_command('publish', str(self.path), *self.store())
        self.path.write_text(f'{SERVICE}concurrency = 4\n')
        code, text = self.run_command(
            'publish', str(self.path), '--change-id', 'c2', *self.store()
        )
        self.assertEqual(code, ExitCode.ok)
        self.assertIn('concurrency: 16 -> 4', text)
        self.assertIn('accepted: change c2, revision 2', text)

        _, audit = self.run_command('audit', *self.store()[:2])
        _, as_json = self.run_command('audit', '--json', *self.store()[:2])

        self.assertIn('ana  c2', audit)
        self.assertIn('service bookings: concurrency: 16 -> 4', audit)
        last = json.loads(as_json.splitlines()[-1])
        self.assertEqual(
            last['before']['services']['bookings']['idempotent'], 0
        )

    def test_mistyped_zone_is_not_accepted(self) -> None:
        """Taking out a zone that does not exist would do nothing."""
        self.run_command('publish', str(self.path), *self.store())

        code, text = self.run_command('zone', 'out', 'zona-a', *self.store())

        self.assertEqual(code, ExitCode.failed)
        self.assertIn("did you mean 'zone-a'?", text)

    def test_findings_refuse_publication(self) -> None:
        """Nothing is sent."""
        self.path.write_text(f'{SERVICE}concurrency = 0\n')

        code, text = self.run_command('publish', str(self.path), *self.store())

        self.assertEqual(code, ExitCode.usage)
        self.assertIn('bookings.toml:5: concurrency: 0 is too small', text)
        self.assertEqual(self.server.store.entries, {})

    def test_store_down_is_not_accepted(self) -> None:
        """A repeat under an id could not tell."""
        self.server.store.SetFaults(StoreFaults(outage=True), None)
        first = ('zone', 'out', 'zone-a', *self.store())

        self.assertEqual(self.run_command(*first)[0], ExitCode.failed)
        self.assertEqual(
            self.run_command(*first, '--change-id', 'c')[0], ExitCode.unknown
        )
