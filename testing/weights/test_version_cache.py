"""Tests of the versions on a host while the wanted version changes."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Event
from unittest.mock import Mock, patch

from bramleylug.bench.weights_hosts import BurstHost
from bramleylug.fakes.origin import FakeOrigin
from bramleylug.observability.events import LogEvent
from bramleylug.weights.manifest import VersionKey
from bramleylug.weights.swarm import TransferContext
from bramleylug.weights.version_cache import VersionCache

FIRST = VersionKey('model', '1')
SECOND = VersionKey('model', '2')
SIZE_BYTES = 65536
CHUNK_BYTES = 8192
RATE = 1_000_000_000
LIMIT_S = 30


class TestVersionCache(unittest.TestCase):
    """Wanted versions are downloaded, dropped, resumed and kept."""

    def setUp(self) -> None:
        """Serve two versions and watch the log events of their download."""
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.origin = FakeOrigin(rate=RATE)
        self.origin.start()
        self.addCleanup(self.origin.stop)
        self.manifests = {
            key: self.origin.add_version(*key, SIZE_BYTES, CHUNK_BYTES)
            for key in (FIRST, SECOND)
        }
        self.host = BurstHost(
            'own',
            'region-1',
            Path(folder.name),
            RATE,
            self.origin.web.address,
        )
        self.addCleanup(self.host.kill)
        self.logged = {event: Event() for event in LogEvent}
        emit_patch = patch(
            'bramleylug.weights.version_cache.emit', self._record_event
        )
        emit_patch.start()
        self.addCleanup(emit_patch.stop)
        source = Mock()
        source.find.side_effect = lambda key, *_: self.manifests[key]
        self.version_cache = VersionCache(
            self.host.staging, source, self._build_context, lambda key: {}
        )
        self.addCleanup(self.version_cache.close)

    def set_wanted(self, *keys, in_use=()) -> None:
        self.version_cache.set_wanted(frozenset(keys), frozenset(in_use))

    def wait_for_event(self, event: LogEvent) -> None:
        """Wait until an event is logged, and reset it."""
        self.assertTrue(self.logged[event].wait(LIMIT_S))
        self.logged[event].clear()

    def test_rollback_to_committed_version_needs_no_transfer(self) -> None:
        """The version is verified at once."""
        self.set_wanted(FIRST)
        self.wait_for_event(LogEvent.version_staged)
        self.set_wanted(SECOND)
        self.wait_for_event(LogEvent.version_staged)

        self.set_wanted(FIRST)

        self.assertFalse(self.version_cache.transferring)
        self.assertEqual(self.version_cache.progress(FIRST), 1)

    def test_chunks_of_dropped_transfer_stay_staged(self) -> None:
        """They are not deleted while there is space."""
        self._stage_first_chunk()
        self.origin.outage = True
        self.set_wanted(FIRST)
        self.set_wanted()
        self.wait_for_event(LogEvent.transfer_dropped)

        self.assertFalse(self.version_cache.transferring)
        self.assertEqual(self.host.staging.held(FIRST), 1)

    def test_transfer_resumes_from_staged_chunks(self) -> None:
        """Only the missing chunks are read from the origin."""
        self._stage_first_chunk()
        read_before = self.host.origin.bytes_read
        self.set_wanted(FIRST)
        self.wait_for_event(LogEvent.version_staged)

        self.assertEqual(
            self.host.origin.bytes_read - read_before,
            SIZE_BYTES - CHUNK_BYTES,
        )

    def test_two_versions_are_downloaded_at_once(self) -> None:
        """Each is verified against its own digest."""
        self.set_wanted(FIRST, SECOND)
        while len(self.version_cache.digests()) < 2:
            self.wait_for_event(LogEvent.version_staged)

        self.assertEqual(
            self.version_cache.digests(),
            {key: manifest.digest for key, manifest in self.manifests.items()},
        )

    def test_lack_of_space_is_logged_and_version_in_use_stays(self) -> None:
        """The second version does not fit beside the first."""
        self.host.staging.capacity_bytes = SIZE_BYTES
        self.set_wanted(FIRST)
        self.wait_for_event(LogEvent.version_staged)
        self.set_wanted(SECOND, in_use=(FIRST,))
        self.wait_for_event(LogEvent.staging_full)

        self.assertEqual(set(self.version_cache.digests()), {FIRST})

    def test_committed_version_that_was_spoilt_is_staged_again(self) -> None:
        """Guards against a spoilt file that is kept until a restart."""
        self.set_wanted(FIRST)
        self.wait_for_event(LogEvent.version_staged)
        read_before = self.host.origin.bytes_read
        committed = self.host.staging.committed_path(FIRST)
        (committed / '000003').write_bytes(b'spoilt')

        self.assertFalse(self.version_cache.recheck(FIRST))
        self.set_wanted(FIRST)
        self.wait_for_event(LogEvent.version_staged)

        self.assertTrue(self.version_cache.recheck(FIRST))
        self.assertEqual(self.host.origin.bytes_read - read_before, CHUNK_BYTES)

    def _record_event(self, event: LogEvent, **_fields: object) -> None:
        self.logged[event].set()

    def _stage_first_chunk(self) -> None:
        manifest = self.manifests[FIRST]
        self.host.staging.begin(manifest)
        chunk = self.host.origin.chunk(manifest, 0, lambda size_bytes: None)
        self.host.staging.add(manifest, 0, chunk)

    def _build_context(self) -> TransferContext:
        host = self.host
        return TransferContext(
            name=host.name,
            region=host.region,
            staging=host.staging,
            server=host.chunk_server,
            origin=host.origin,
            peers=host.peers,
        )
