"""Tests of swap leases."""

import unittest
from unittest.mock import patch

from bramleylug.agent.swap_leases import SwapLeases, may_attempt
from bramleylug.fakes.store import FakeStoreServer
from bramleylug.store.grpc_store import GrpcStore
from bramleylug.wire.channels import open_channel
from bramleylug.wire.platform_pb2 import StoreFaults


class TestSwapLeases(unittest.TestCase):
    """At most ``max_unavailable`` hosts hold a lease."""

    def setUp(self) -> None:
        """Start a store for three hosts, which share a virtual clock."""
        self.server = FakeStoreServer()
        self.server.start()
        self.addCleanup(self.server.stop)
        self.channel = open_channel(self.server.address)
        self.addCleanup(self.channel.close)
        self.now_s = 100.0
        clock = patch(
            'bramleylug.agent.swap_leases.time.monotonic', lambda: self.now_s
        )
        clock.start()
        self.addCleanup(clock.stop)
        self.hosts = [
            SwapLeases(GrpcStore(self.channel), 'seat-fitting', f'host-{index}')
            for index in range(3)
        ]

    def test_slots_bound_the_leases(self) -> None:
        """Two slots allow two leases, and another after a release."""
        for contender in self.hosts:
            contender.acquire(2)
        self.hosts[0].release()
        self.now_s += 2
        self.hosts[2].acquire(2)

        self.assertEqual(
            [host.current() is not None for host in self.hosts],
            [False, True, True],
        )

    def test_zero_slots_pause_swaps(self) -> None:
        """With ``max_unavailable = 0`` nobody gets a lease."""
        self.hosts[0].acquire(0)

        self.assertIsNone(self.hosts[0].current())

    def test_no_lease_is_acquired_while_the_store_is_down(self) -> None:
        """Swaps wait until it answers."""
        self.server.store.SetFaults(StoreFaults(outage=True), None)
        self.hosts[0].acquire(1)

        self.assertIsNone(self.hosts[0].current())
        self.assertEqual(self.hosts[0].reason, 'the store is unavailable')

    def test_lost_answer_of_the_store_is_resolved_by_a_read(self) -> None:
        """The write took effect, so that the host holds the lease."""
        self.server.store.SetFaults(StoreFaults(lose_answers=1), None)
        self.hosts[0].acquire(1)

        self.assertIsNotNone(self.hosts[0].current())

    def test_lease_expires_here_before_it_does_in_the_store(self) -> None:
        """A holder that was paused notices it by its own clock."""
        self.hosts[0].acquire(1)
        self.now_s += 19

        self.assertIsNone(self.hosts[0].current())

    def test_renewed_lease_does_not_expire(self) -> None:
        """Each renewal extends it."""
        self.hosts[0].acquire(1)
        for _ in range(4):
            self.now_s += 6
            self.hosts[0].renew()

        self.assertEqual(self.hosts[0].current().confirmed_s, 124)

    def test_confirmation_fails_while_the_store_is_down(self) -> None:
        """The policy then does not load, since the lease is unconfirmed."""
        self.hosts[0].acquire(1)
        self.server.store.SetFaults(StoreFaults(outage=True), None)
        self.now_s += 1
        self.hosts[0].renew(confirm=True)

        self.assertEqual(self.hosts[0].current().confirmed_s, 100)


class TestMayAttempt(unittest.TestCase):
    """Few of many waiting hosts try to acquire a lease."""

    def test_twice_as_many_hosts_as_slots_try(self) -> None:
        """The others make no call of the store."""
        names = [f'host-{index}' for index in range(1200)]

        candidates = [
            name for name in names if may_attempt(name, names, 3, '2')
        ]

        self.assertEqual(len(candidates), 6)
