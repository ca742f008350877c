"""Tests of leases in the fake store."""

import unittest

from bramleylug.fakes.store import FakeStoreServer
from bramleylug.store.grpc_store import GrpcStore
from bramleylug.store.store import Swapped, Unavailable
from bramleylug.wire.channels import open_channel


class TestLeases(unittest.TestCase):
    """A key is removed when its lease ends."""

    def setUp(self) -> None:
        """Serve a store with a manual clock and grant a lease of 5 s."""
        self.now_s = 100.0
        self.server = FakeStoreServer()
        self.server.store.clock = lambda: self.now_s
        self.server.start()
        self.addCleanup(self.server.stop)
        channel = open_channel(self.server.address)
        self.addCleanup(channel.close)
        self.store = GrpcStore(channel)
        self.lease_id = self.store.grant_lease(5, timeout_s=5) or 0

    def write(self) -> object:
        """Create a key bound to the lease."""
        return self.store.compare_and_swap(
            'key', 0, b'mine', timeout_s=5, lease_id=self.lease_id
        )

    def test_key_is_removed_when_its_lease_expires(self) -> None:
        self.assertEqual(self.write(), Swapped(1))
        self.now_s += 5

        self.assertEqual(self.store.read('key', timeout_s=5).version, 0)

    def test_write_under_an_expired_lease_is_refused(self) -> None:
        """A key bound to an expired lease would never be removed."""
        self.now_s += 5

        self.assertEqual(self.write(), Unavailable('lease has ended'))

    def test_renewed_lease_lasts(self) -> None:
        """Each renewal restarts the full duration."""
        self.now_s += 4
        self.store.keep_alive(self.lease_id, timeout_s=5)
        self.now_s += 4

        self.assertEqual(self.write(), Swapped(1))
