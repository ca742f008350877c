"""Counts of the benches at a small size: messages, bytes, store calls."""

import unittest

from bramleylug.bench.metered_network import MeteredNetwork, Usage, build_fleet
from bramleylug.configuration.document import Change
from bramleylug.configuration.publisher import publish
from bramleylug.wire.membership_pb2 import Member
from testing.configuration.model_store import ModelStore

SMALL_FLEET = 24
LARGER_FLEET = 72
OBSERVED_S = 10
SETTLED_S = 60
CONTROL_BYTES_PER_S = 17000


class TestMembershipCounts(unittest.TestCase):
    """What one member sends and receives, in virtual time."""

    def test_messages_do_not_grow_with_the_fleet(self) -> None:
        """One probe a second with its answer, sent and received."""
        small = _observe(build_fleet(SMALL_FLEET, 1))
        larger = _observe(build_fleet(LARGER_FLEET, 1))

        self.assertAlmostEqual(small.messages_per_s, 4, delta=0.5)
        self.assertAlmostEqual(larger.messages_per_s, 4, delta=0.5)

    def test_update_of_every_member_stays_within_the_budget(self) -> None:
        """News rides on probes and rumours a bounded number of times."""
        fleet = build_fleet(SMALL_FLEET, 1)
        for member in fleet.members.values():
            member.update_own(_stop_serving, fleet.now_s)

        usage = _observe(fleet)

        self.assertLess(usage.bytes_per_s, CONTROL_BYTES_PER_S)

    def test_update_of_every_member_reaches_every_view(self) -> None:
        """What probes did not carry is mended by comparing digests."""
        fleet = build_fleet(SMALL_FLEET, 1)
        for member in fleet.members.values():
            member.update_own(_stop_serving, fleet.now_s)

        fleet.run(SETTLED_S)

        self.assertEqual(_stale(fleet), 0)

    def test_revision_reaches_every_member_within_three_seconds(self) -> None:
        """The letter's limit, in virtual time."""
        fleet = build_fleet(SMALL_FLEET, 1)
        next(iter(fleet.members.values())).set_revision(7)

        fleet.run(3)

        self.assertEqual(
            {member.composer.revision for member in fleet.members.values()},
            {7},
        )


class TestStoreCalls(unittest.TestCase):
    """What one publication asks of the store."""

    def test_publication_is_one_read_and_three_writes(self) -> None:
        """Document, change id and audit trail; docs/CAPACITY.md counts so."""
        store = ModelStore()

        publish(
            store,
            Change(services={}, zones={'zone-a': 'out'}),
            change_id='change-1',
            who='operator',
            when_s=1,
        )

        self.assertEqual(store.calls, ['read', 'write', 'write', 'write'])


def _observe(fleet: MeteredNetwork) -> Usage:
    fleet.start_metering()
    fleet.run(OBSERVED_S)
    return fleet.usage()


def _stop_serving(record: Member) -> None:
    record.services[0].ready = False


def _stale(fleet: MeteredNetwork) -> int:
    return sum(
        record.services[0].ready
        for member in fleet.members.values()
        for record in member.members.values()
    )
