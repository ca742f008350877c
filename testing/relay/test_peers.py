"""Tests of which relays callers are told of."""

import unittest
from random import Random

from bramleylug.relay.peers import (
    HeartbeatStatus,
    PeerRegistry,
    Requester,
    Role,
)
from testing.relay.builders import build_peer

ANYWHERE: frozenset[str] = frozenset()


class TestAddresses(unittest.TestCase):
    """Callers are told of relays that live and take them."""

    def setUp(self) -> None:
        """Know of a relay in each region beside the own one."""
        self.store_age_s = 0.5
        self.own = build_peer('own')
        self.book = PeerRegistry(
            lambda: self.own, lambda: self.store_age_s, Random(1), 1.0
        )
        self.book.add(build_peer('near'))
        self.book.add(build_peer('far', region='south'))

    def addresses(self, now_s=100.0, region='north', regions=ANYWHERE):
        """Return what a caller is told."""
        requester = Requester(region, 'zone-a', regions)
        return sorted(self.book.addresses_for(requester, now_s))

    def test_relays_of_the_callers_region_are_named(self) -> None:
        """Bodies stay in the region of their caller."""
        self.assertEqual(self.addresses(), ['near:80', 'own:80'])
        self.assertEqual(self.addresses(region='south'), ['far:80'])

    def test_region_without_relays_gets_the_others(self) -> None:
        """Any relay is better than none."""
        self.assertEqual(
            self.addresses(region='west'), ['far:80', 'near:80', 'own:80']
        )

    def test_others_are_within_the_bound_regions(self) -> None:
        """Where the own region has none, the route's regions bind."""
        regions = frozenset(('south',))

        addresses = self.addresses(region='west', regions=regions)

        self.assertEqual(addresses, ['far:80'])

    def test_leaving_relay_is_not_named(self) -> None:
        """Its beat tells it before the store does."""
        self.book.record_heartbeat(
            'near', HeartbeatStatus(1, 100.0, draining=True)
        )

        self.assertEqual(self.addresses(), ['own:80'])

    def test_withdrawn_and_silent_relay_is_not_named(self) -> None:
        """Its lease ended and nothing was heard for long."""
        self.book.record_heartbeat(
            'near', HeartbeatStatus(1, 97.0, draining=False)
        )
        self.book.remove('near')

        self.assertEqual(self.addresses(), ['own:80'])

    def test_heard_relay_is_named_although_its_lease_ended(self) -> None:
        """Leases may lapse while the store is away."""
        self.book.record_heartbeat(
            'near', HeartbeatStatus(1, 99.0, draining=False)
        )
        self.book.remove('near')

        self.assertEqual(self.addresses(), ['near:80', 'own:80'])

    def test_dead_relay_is_not_named_while_the_store_is_away(self) -> None:
        """An old view of the store proves no life."""
        self.store_age_s = 10.0
        self.book.record_heartbeat(
            'near', HeartbeatStatus(1, 97.0, draining=False)
        )

        self.assertEqual(self.addresses(), ['own:80'])

    def test_beat_of_an_earlier_start_proves_nothing(self) -> None:
        """The process that announced itself since is another one."""
        self.book.add(build_peer('near', boot=2))
        self.book.record_heartbeat(
            'near', HeartbeatStatus(1, 100.0, draining=True)
        )

        self.assertEqual(self.addresses(), ['near:80', 'own:80'])

    def test_leaving_relay_names_the_others(self) -> None:
        """Callers that still ask it are sent elsewhere."""
        self.own = build_peer('own', draining=True)

        self.assertEqual(self.addresses(), ['near:80'])

    def test_loaders_take_no_callers(self) -> None:
        """Only relays are named."""
        self.book.add(build_peer('loader', role=Role.loader))

        self.assertNotIn('loader:80', self.addresses())

    def test_relays_that_left_a_moment_ago_share_bounds(self) -> None:
        """They may still send until they are forgotten."""
        self.book.remove('near')
        self.assertEqual(self.book.relay_count(), 3)

        self.book.remove_expired(200.0)
        self.assertEqual(self.book.relay_count(), 2)
