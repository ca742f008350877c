"""Tests of turns to swap."""

import unittest
from unittest.mock import patch

from bramleylug.agent.swap_leases import SwapLeases, may_attempt
from bramleylug.fakes.store import FakeStoreServer
from bramleylug.store.grpc_store import GrpcStore
from bramleylug.wire.channels import open_channel
from bramleylug.wire.platform_pb2 import StoreFaults


class TestSwapTurns(unittest.TestCase):
    """At most ``max_unavailable`` hosts have a turn."""

    def setUp(self) -> None:
        """Serve a store to three hosts."""
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

    def test_slots_bound_the_turns(self) -> None:
        """Two slots, two turns, and one more after a release."""
        for asking in self.hosts:
            asking.acquire(2)
        self.hosts[0].release()
        self.now_s += 2
        self.hosts[2].acquire(2)

        self.assertEqual(
            [host.current() is not None for host in self.hosts],
            [False, True, True],
        )

    def test_no_slots_pause_swaps(self) -> None:
        """``max_unavailable = 0`` gives nobody a turn."""
        self.hosts[0].acquire(0)

        self.assertIsNone(self.hosts[0].current())

    def test_store_down_gives_no_turn(self) -> None:
        """Swaps wait; nothing is guessed."""
        self.server.store.SetFaults(StoreFaults(outage=True), None)
        self.hosts[0].acquire(1)

        self.assertIsNone(self.hosts[0].current())
        self.assertEqual(self.hosts[0].reason, 'the store is unavailable')

    def test_lost_answer_of_the_claim_is_read_again(self) -> None:
        """The claim took effect, and the turn is its host's."""
        self.server.store.SetFaults(StoreFaults(lose_answers=1), None)
        self.hosts[0].acquire(1)

        self.assertIsNotNone(self.hosts[0].current())

    def test_turn_lapses_here_before_it_does_in_the_store(self) -> None:
        """A holder that was paused notices by its own clock."""
        self.hosts[0].acquire(1)
        self.now_s += 19

        self.assertIsNone(self.hosts[0].current())

    def test_kept_turn_lasts(self) -> None:
        """Renewals move its end."""
        self.hosts[0].acquire(1)
        for _ in range(4):
            self.now_s += 6
            self.hosts[0].renew()

        self.assertEqual(self.hosts[0].current().confirmed_s, 124)

    def test_confirmation_fails_while_the_store_is_down(self) -> None:
        """So the policy does not load on an unconfirmed turn."""
        self.hosts[0].acquire(1)
        self.server.store.SetFaults(StoreFaults(outage=True), None)
        self.now_s += 1
        self.hosts[0].renew(confirm=True)

        self.assertEqual(self.hosts[0].current().confirmed_s, 100)


class TestIsNext(unittest.TestCase):
    """Few of many waiting hosts try for a turn."""

    def test_twice_the_slots_try(self) -> None:
        """The others make no call."""
        names = [f'host-{index}' for index in range(1200)]

        trying = [name for name in names if may_attempt(name, names, 3, '2')]

        self.assertEqual(len(trying), 6)
