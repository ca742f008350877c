"""Tests of the versions on a host, over changes in mid-flight."""

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


class TestVersionStock(unittest.TestCase):
    """What is wanted changes while it is on its way."""

    def setUp(self) -> None:
        """Serve two versions and hear of what happens to them."""
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
        self.addCleanup(self.host.die)
        self.heard = {event: Event() for event in LogEvent}
        hearing = patch('bramleylug.weights.version_cache.emit', self._hear)
        hearing.start()
        self.addCleanup(hearing.stop)
        source = Mock()
        source.find.side_effect = lambda key, *_: self.manifests[key]
        self.stock = VersionCache(
            self.host.staging, source, self._links, lambda key: {}
        )
        self.addCleanup(self.stock.close)

    def want(self, *keys, in_use=()) -> None:
        """Want versions."""
        self.stock.want(frozenset(keys), frozenset(in_use))

    def await_event(self, event: LogEvent) -> None:
        """Wait until it was logged, and forget it."""
        self.assertTrue(self.heard[event].wait(LIMIT_S))
        self.heard[event].clear()

    def test_version_held_still_needs_no_transfer(self) -> None:
        """A rollback finds it verified at once."""
        self.want(FIRST)
        self.await_event(LogEvent.version_staged)
        self.want(SECOND)
        self.await_event(LogEvent.version_staged)

        self.want(FIRST)

        self.assertFalse(self.stock.transferring)
        self.assertEqual(self.stock.progress(FIRST), 1)

    def test_dropped_transfer_leaves_its_chunks(self) -> None:
        """They stay staged while there is room."""
        self._stage_first_chunk()
        self.origin.outage = True
        self.want(FIRST)
        self.want()
        self.await_event(LogEvent.transfer_dropped)

        self.assertFalse(self.stock.transferring)
        self.assertEqual(self.host.staging.held(FIRST), 1)

    def test_going_back_resumes_from_what_is_staged(self) -> None:
        """Only the other chunks are read."""
        self._stage_first_chunk()
        read_before = self.host.origin.bytes_read
        self.want(FIRST)
        self.await_event(LogEvent.version_staged)

        self.assertEqual(
            self.host.origin.bytes_read - read_before,
            SIZE_BYTES - CHUNK_BYTES,
        )

    def test_two_versions_arrive_at_once(self) -> None:
        """Each is whole under its own digest."""
        self.want(FIRST, SECOND)
        while len(self.stock.digests()) < 2:
            self.await_event(LogEvent.version_staged)

        self.assertEqual(
            self.stock.digests(),
            {key: manifest.digest for key, manifest in self.manifests.items()},
        )

    def test_no_room_is_told_and_the_version_in_use_stays(self) -> None:
        """The second does not fit beside the first."""
        self.host.staging.room_bytes = SIZE_BYTES
        self.want(FIRST)
        self.await_event(LogEvent.version_staged)
        self.want(SECOND, in_use=(FIRST,))
        self.await_event(LogEvent.staging_full)

        self.assertEqual(set(self.stock.digests()), {FIRST})

    def _hear(self, event: LogEvent, **_fields: object) -> None:
        self.heard[event].set()

    def _stage_first_chunk(self) -> None:
        manifest = self.manifests[FIRST]
        self.host.staging.begin(manifest)
        chunk = self.host.origin.chunk(manifest, 0, lambda size_bytes: None)
        self.host.staging.add(manifest, 0, chunk)

    def _links(self) -> TransferContext:
        host = self.host
        return TransferContext(
            name=host.name,
            region=host.region,
            staging=host.staging,
            server=host.chunk_server,
            origin=host.origin,
            peers=host.peers,
        )
