"""Tests of the division of descriptors between uses, without sockets."""

import unittest

from bramleylug.web.descriptors import (
    DescriptorBudget,
    DescriptorShare,
    DescriptorUse,
)
from testing.web.ports import REQUEST, PortHarness

CALLERS = DescriptorUse.callers
PAGES = DescriptorUse.pages
REJECTED = DescriptorUse.rejected


def take_all(budget: DescriptorBudget, use: DescriptorUse) -> int:
    """Take descriptors until none is left; return their number."""
    taken = 0
    while budget.take(use) is not None:
        taken += 1
    return taken


class TestBudget(unittest.TestCase):
    """What is guaranteed stays free; the rest goes to whoever asks first."""

    def test_one_use_cannot_take_what_another_is_guaranteed(self) -> None:
        budget = DescriptorBudget(10, {PAGES: 3})

        self.assertEqual(take_all(budget, CALLERS), 10)
        self.assertEqual(take_all(budget, PAGES), 3)

    def test_released_descriptor_can_be_taken_by_another_use(self) -> None:
        budget = DescriptorBudget(1)
        lease = budget.take(CALLERS)
        assert lease is not None
        lease.release()
        lease.release()

        self.assertEqual(take_all(budget, PAGES), 1)

    def test_guaranteed_descriptors_are_used_first(self) -> None:
        """A use with more than it is guaranteed gives back shared ones."""
        budget = DescriptorBudget(1, {PAGES: 1})
        leases = [budget.take(PAGES), budget.take(PAGES)]
        self.assertIsNone(budget.take(CALLERS))
        for lease in leases[:1]:
            assert lease is not None
            lease.release()

        self.assertIsNotNone(budget.take(CALLERS))


class TestRejectedConnections(unittest.TestCase):
    """Beyond the limit, callers are told at once, and nothing runs out."""

    def harness(self, rejected: int) -> PortHarness:
        """Return a port for one connection, which is open."""
        budget = DescriptorBudget(1, {REJECTED: rejected})
        harness = PortHarness(descriptors=DescriptorShare(budget, CALLERS))
        harness.receive(harness.connect(), REQUEST)
        return harness

    def test_connection_beyond_the_budget_is_refused(self) -> None:
        harness = self.harness(rejected=1)
        sock = harness.connect()

        self.assertIn(b'503', sock.sent)
        self.assertIn(b'X-Run: not_run', sock.sent)
        self.assertIn(b'Retry-After', sock.sent)

    def test_oldest_refused_connection_makes_room(self) -> None:
        """Refused ones stay open for a while, and could use up the rest."""
        harness = self.harness(rejected=2)
        refused = [harness.connect() for _ in range(5)]

        self.assertTrue(all(b'503' in sock.sent for sock in refused))
        self.assertEqual(harness.transport.events, ['closed'] * 3)

    def test_connection_without_a_descriptor_is_reset(self) -> None:
        """Another port refuses so many that this one has none for it."""
        harness = self.harness(rejected=0)
        harness.connect()

        self.assertEqual(harness.transport.events, ['reset'])

    def test_closed_connection_makes_room_for_a_new_one(self) -> None:
        harness = self.harness(rejected=1)
        harness.port.disconnected(next(iter(harness.port.connections)))
        harness.receive(harness.connect(), REQUEST)

        self.assertEqual(len(harness.served), 2)
