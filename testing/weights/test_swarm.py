"""Tests of complete transfers over sockets."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import Mock

from bramleylug.bench.weights_hosts import BurstHost
from bramleylug.fakes.origin import FakeOrigin
from bramleylug.weights.chunk_clients import FailedRead
from bramleylug.weights.chunk_server import UPLOAD_SLOTS, UploadSlots
from bramleylug.weights.peers import FailureReason
from bramleylug.weights.swarm import PeerAddress, Transfer, TransferContext
from bramleylug.wire.weights_pb2 import ChunkRequest

RATE = 1_000_000_000
SIZE_BYTES = 65536
CHUNK_BYTES = 8192


class TestTransfer(unittest.TestCase):
    """Hosts fetch chunks from the origin and from one another."""

    def setUp(self) -> None:
        """Start an origin with a version of eight chunks."""
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.origin = FakeOrigin(rate=RATE)
        self.origin.start()
        self.addCleanup(self.origin.stop)
        self.manifest = self.origin.add_version(
            'model', '1', SIZE_BYTES, CHUNK_BYTES
        )

    def build_host(self, name: str) -> BurstHost:
        """Return a host that serves its staged chunks."""
        host = BurstHost(
            name, 'region-1', self.folder, RATE, self.origin.web.address
        )
        self.addCleanup(host.kill)
        return host

    def transfer(self, host: BurstHost, *peers: BurstHost) -> Transfer:
        """Return a transfer to a host, not yet started."""
        host.staging.begin(self.manifest)
        context = TransferContext(
            name=host.name,
            region=host.region,
            staging=host.staging,
            server=host.chunk_server,
            origin=host.origin,
            peers=host.peers,
        )
        known = {
            peer.name: PeerAddress(peer.address, peer.region) for peer in peers
        }
        return Transfer(context, self.manifest, lambda: known)

    def test_second_host_reads_nothing_from_the_origin(self) -> None:
        """All chunks come from the first host; the version is committed."""
        first = self.build_host('first')
        second = self.build_host('second')
        self.assertTrue(self.transfer(first).run())

        self.assertTrue(self.transfer(second, first).run())

        self.assertIsNotNone(second.staging.commit(self.manifest))
        self.assertEqual(second.origin.bytes_read, 0)
        self.assertEqual(self.origin.bytes_sent, SIZE_BYTES)

    def test_corrupt_chunk_of_a_peer_is_fetched_elsewhere(self) -> None:
        """The peer that served it is avoided."""
        hosts = [self.build_host(name) for name in ('bad', 'good', 'new')]
        for host in hosts[:2]:
            self.assertTrue(self.transfer(host).run())
        for path in self.folder.glob('bad/model@1.partial/0*'):
            path.write_bytes(bytes(CHUNK_BYTES))
        transfer = self.transfer(hosts[2], *hosts[:2])

        self.assertTrue(transfer.run())

        self.assertIsNotNone(hosts[2].staging.commit(self.manifest))
        self.assertEqual(hosts[2].origin.bytes_read, 0)

    def test_restart_resumes_from_staged_chunks(self) -> None:
        """Only the missing chunk is read again."""
        host = self.build_host('first')
        self.transfer(host).run()
        (self.folder / 'first' / 'model@1.partial' / '000003').unlink()
        again = self.build_host('first')
        again.staging.recover()

        self.assertTrue(self.transfer(again).run())

        self.assertEqual(again.origin.bytes_read, CHUNK_BYTES)

    def test_uploads_beyond_the_slots_are_refused(self) -> None:
        """The requester tries another peer; no thread waits for a slot."""
        first = self.build_host('first')
        second = self.build_host('second')
        self.transfer(first).run()
        for _ in range(UPLOAD_SLOTS):
            first.chunk_server.slots.acquire(print)
        request = ChunkRequest(model='model', version='1', index=0)

        outcome = second.peers.chunk(first.address, request, print, print)

        self.assertEqual(outcome, FailedRead(FailureReason.busy))

    def test_dead_peer_is_unreachable(self) -> None:
        """Its port refuses connections."""
        first = self.build_host('first')
        second = self.build_host('second')
        first.kill()
        request = ChunkRequest(model='model', version='1', index=0)

        outcome = second.peers.chunk(first.address, request, print, print)

        self.assertEqual(outcome, FailedRead(FailureReason.unreachable))


class TestUploadSlots(unittest.TestCase):
    """A reader that stopped reading loses its slot to another."""

    def test_stalled_reader_loses_its_slot(self) -> None:
        """Its call is cancelled when another host needs the slot."""
        now_s = 100.0
        ended = Mock()
        slots = UploadSlots(1, lambda: now_s)
        slots.acquire(ended).sending_s = now_s
        self.assertIsNone(slots.acquire(Mock()))

        now_s += 5

        self.assertIsNotNone(slots.acquire(Mock()))
        ended.assert_called_once_with()

    def test_upload_paused_by_rate_limit_keeps_its_slot(self) -> None:
        """No piece is being sent, so the reader is not to blame."""
        now_s = 100.0
        slots = UploadSlots(1, lambda: now_s)
        slots.acquire(Mock())

        now_s += 60

        self.assertIsNone(slots.acquire(Mock()))
