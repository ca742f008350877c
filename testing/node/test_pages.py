"""Tests of the daemon pages, on a running entry without peers."""

import tempfile
import unittest
from http.client import HTTPConnection

from bramleylug.entry.daemon import EntryDaemon
from bramleylug.node.lifecycle import DaemonRunner
from bramleylug.settings.daemons import EntrySettings
from bramleylug.settings.fields import SettingsError
from testing.builders import build_document


class TestKeys(unittest.TestCase):
    """A process never starts with fewer keys than its settings list."""

    def test_blank_key_file_prevents_the_start(self) -> None:
        """Otherwise datagrams would be unauthenticated."""
        with tempfile.NamedTemporaryFile() as blank:
            blank.write(b'\n')
            blank.flush()
            settings = EntrySettings(
                name='e1',
                zone='zone-a',
                region='west',
                store='127.0.0.1:1',
                gossip_keys=(blank.name,),
            )

            with self.assertRaisesRegex(SettingsError, 'unreadable or empty'):
                EntryDaemon(settings)


class TestPages(unittest.TestCase):
    """Health, readiness and metrics of an entry whose store is down."""

    def setUp(self) -> None:
        """Run an entry."""
        settings = EntrySettings(
            name='e1', zone='zone-a', region='west', store='127.0.0.1:1'
        )
        self.daemon = EntryDaemon(settings)
        runner = DaemonRunner(self.daemon, 'e1')
        runner.start()
        self.addCleanup(runner.stop)

    def get(self, path: str) -> tuple[int, str]:
        """Return status and text of a page."""
        connection = HTTPConnection(self.daemon.web.address, timeout=5)
        self.addCleanup(connection.close)
        connection.request('GET', path)
        response = connection.getresponse()
        return response.status, response.read().decode()

    def test_process_without_configuration_is_not_ready(self) -> None:
        """The process is healthy and gives the reason."""
        self.assertEqual(self.get('/healthz'), (200, 'ok\n'))
        self.assertEqual(
            self.get('/readyz'),
            (
                503,
                'no accepted configuration is known: '
                'neither the store nor a peer has answered yet\n',
            ),
        )

    def test_process_with_configuration_is_ready(self) -> None:
        """Any revision is sufficient once it is confirmed."""
        self.daemon.node.holder.apply_document(build_document())
        self.assertEqual(self.get('/readyz')[0], 503)

        self.daemon.node.holder.update_unconfirmed_reason('')

        self.assertEqual(self.get('/readyz'), (200, 'ready\n'))

    def test_metrics_contain_the_revision(self) -> None:
        """The page is what a metrics scraper reads."""
        self.daemon.node.holder.apply_document(build_document(revision=7))

        status, text = self.get('/metrics')

        self.assertEqual(status, 200)
        self.assertIn(
            'bramleylug_configuration_revision{instance="e1"} 7', text
        )

    def test_metrics_count_requests_that_have_not_ended(self) -> None:
        """A planned stop waits for these requests."""
        self.daemon.dispatch.dispatcher.running = 3

        text = self.get('/metrics')[1]

        self.assertIn('bramleylug_running_requests{instance="e1"} 3', text)
