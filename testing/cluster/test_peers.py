"""Tests of which relays are offered to callers."""

import unittest
from random import Random

from bramleylug.cluster.peers import (
    MAX_DIRECT_PEERS,
    HeartbeatStatus,
    PeerRegistry,
    Requester,
    Role,
)
from testing.relay.builders import build_peer

ANYWHERE: frozenset[str] = frozenset()


class TestAddresses(unittest.TestCase):
    """Callers get addresses of relays that are alive and accept them."""

    def setUp(self) -> None:
        """Register a relay in each region besides this one."""
        self.store_age_s = 0.5
        self.own = build_peer('own')
        self.registry = PeerRegistry(
            lambda: self.own, lambda: self.store_age_s, Random(1), 1.0
        )
        self.registry.add(build_peer('near'))
        self.registry.add(build_peer('far', region='south'))

    def addresses(self, now_s=100.0, region='north', regions=ANYWHERE):
        """Return the addresses that a caller gets."""
        requester = Requester(region, 'zone-a', regions)
        return sorted(self.registry.addresses_for(requester, now_s))

    def test_caller_gets_relays_of_its_region(self) -> None:
        """Request bodies stay in the region of their caller."""
        self.assertEqual(self.addresses(), ['near:80', 'own:80'])
        self.assertEqual(self.addresses(region='south'), ['far:80'])

    def test_region_without_relays_gets_remote_ones(self) -> None:
        """A remote relay is better than none."""
        self.assertEqual(
            self.addresses(region='west'), ['far:80', 'near:80', 'own:80']
        )

    def test_remote_relays_are_in_the_allowed_regions(self) -> None:
        """The regions of the caller's routes restrict the choice."""
        regions = frozenset(('south',))

        addresses = self.addresses(region='west', regions=regions)

        self.assertEqual(addresses, ['far:80'])

    def test_draining_relay_is_not_offered(self) -> None:
        """Its heartbeat says so before the store does."""
        self.registry.record_heartbeat(
            'near', HeartbeatStatus(1, 100.0, draining=True)
        )

        self.assertEqual(self.addresses(), ['own:80'])

    def test_removed_and_silent_relay_is_not_offered(self) -> None:
        """Its lease ended and its last heartbeat has expired."""
        self.registry.record_heartbeat(
            'near', HeartbeatStatus(1, 97.0, draining=False)
        )
        self.registry.remove('near')

        self.assertEqual(self.addresses(), ['own:80'])

    def test_relay_with_recent_heartbeat_is_offered_without_lease(self) -> None:
        """Leases may expire while the store is unavailable."""
        self.registry.record_heartbeat(
            'near', HeartbeatStatus(1, 99.0, draining=False)
        )
        self.registry.remove('near')

        self.assertEqual(self.addresses(), ['near:80', 'own:80'])

    def test_silent_relay_is_not_offered_with_outdated_store_data(
        self,
    ) -> None:
        """An outdated copy of the store does not show that it is alive."""
        self.store_age_s = 10.0
        self.registry.record_heartbeat(
            'near', HeartbeatStatus(1, 97.0, draining=False)
        )

        self.assertEqual(self.addresses(), ['own:80'])

    def test_silence_of_peers_that_take_turns_says_nothing(self) -> None:
        """In a large fleet remote peers are heard every few seconds only."""
        self.store_age_s = 10.0
        for number in range(MAX_DIRECT_PEERS):
            self.registry.add(build_peer(f'near-{number}'))
        self.assertIn('far:80', self.addresses(region='south'))

        self.registry.remove('far')

        self.assertNotIn('far:80', self.addresses(region='south'))

    def test_heartbeat_of_an_earlier_incarnation_is_ignored(self) -> None:
        """Another incarnation has registered itself since."""
        self.registry.add(build_peer('near', boot=2))
        self.registry.record_heartbeat(
            'near', HeartbeatStatus(1, 100.0, draining=True)
        )

        self.assertEqual(self.addresses(), ['near:80', 'own:80'])

    def test_draining_relay_offers_only_others(self) -> None:
        """Callers that still ask it are directed to other relays."""
        self.own = build_peer('own', draining=True)

        self.assertEqual(self.addresses(), ['near:80'])

    def test_loaders_are_not_offered(self) -> None:
        """Only relays accept callers."""
        self.registry.add(build_peer('loader', role=Role.loader))

        self.assertNotIn('loader:80', self.addresses())

    def test_removed_relays_count_until_they_expire(self) -> None:
        """They may still send requests until then."""
        self.registry.remove('near')
        self.assertEqual(self.registry.relay_count(), 3)

        self.registry.remove_expired(200.0)
        self.assertEqual(self.registry.relay_count(), 2)
