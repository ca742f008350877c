"""Tests of message, byte and store call counts at small sizes."""

import unittest

from bramleylug.bench.metered_network import MeteredNetwork, Usage, build_fleet
from bramleylug.configuration.document import Change
from bramleylug.configuration.publisher import publish
from bramleylug.wire.membership_pb2 import Member
from testing.configuration.model_store import ModelStore

SMALL_FLEET = 24
LARGER_FLEET = 72
MEASURED_S = 10
CONVERGENCE_S = 60
CONTROL_BYTES_PER_S = 17000


class TestMembershipCounts(unittest.TestCase):
    """Traffic of one member in virtual time."""

    def test_messages_do_not_grow_with_the_fleet(self) -> None:
        """Each member sends and receives a probe and its answer per second."""
        small = _measure(build_fleet(SMALL_FLEET, 1))
        larger = _measure(build_fleet(LARGER_FLEET, 1))

        self.assertAlmostEqual(small.messages_per_s, 4, delta=0.5)
        self.assertAlmostEqual(larger.messages_per_s, 4, delta=0.5)

    def test_update_of_every_member_stays_within_the_budget(self) -> None:
        """Updates ride on probes and gossip a bounded number of times."""
        fleet = build_fleet(SMALL_FLEET, 1)
        for member in fleet.members.values():
            member.update_own(_stop_serving, fleet.now_s)

        usage = _measure(fleet)

        self.assertLess(usage.bytes_per_s, CONTROL_BYTES_PER_S)

    def test_update_of_every_member_reaches_every_view(self) -> None:
        """Anti-entropy delivers updates that the probes did not carry."""
        fleet = build_fleet(SMALL_FLEET, 1)
        for member in fleet.members.values():
            member.update_own(_stop_serving, fleet.now_s)

        fleet.run(CONVERGENCE_S)

        self.assertEqual(_count_stale(fleet), 0)

    def test_revision_reaches_every_member_within_three_seconds(self) -> None:
        """The limit is a requirement; the time is virtual."""
        fleet = build_fleet(SMALL_FLEET, 1)
        next(iter(fleet.members.values())).set_revision(7)

        fleet.run(3)

        self.assertEqual(
            {member.composer.revision for member in fleet.members.values()},
            {7},
        )


class TestStoreCalls(unittest.TestCase):
    """Store calls of one publication."""

    def test_publication_is_one_read_and_three_writes(self) -> None:
        """Document, change id and audit trail, as in docs/CAPACITY.md."""
        store = ModelStore()

        publish(
            store,
            Change(services={}, zones={'zone-a': 'out'}),
            change_id='change-1',
            who='operator',
            when_s=1,
        )

        self.assertEqual(store.calls, ['read', 'write', 'write', 'write'])


def _measure(fleet: MeteredNetwork) -> Usage:
    fleet.start_metering()
    fleet.run(MEASURED_S)
    return fleet.usage()


def _stop_serving(record: Member) -> None:
    record.services[0].ready = False


def _count_stale(fleet: MeteredNetwork) -> int:
    return sum(
        record.services[0].ready
        for member in fleet.members.values()
        for record in member.members.values()
    )
