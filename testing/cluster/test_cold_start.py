"""Tests of what all relays together send a cold upstream."""

import unittest

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.store.mirror import Mirror
from testing.relay.builders import (
    REGIONS,
    build_peer,
    build_settings,
    build_table,
    build_upstream_record,
)

# The platform's rule for the 20 requests a second of the builders' service.
ALLOWED_IN_ONE_SECOND = 20 * 1.5 + 5
ZONES = tuple(REGIONS)
STEPS_PER_S = 50


class TestSumOverRelays(unittest.TestCase):
    """A cold upstream gets no more than it bears, however many relays."""

    def test_sixty_relays_keep_the_bound(self) -> None:
        self.assertLessEqual(self.most_sent(60), ALLOWED_IN_ONE_SECOND)

    def test_three_hundred_relays_keep_the_bound(self) -> None:
        self.assertLessEqual(self.most_sent(330), ALLOWED_IN_ONE_SECOND)

    def test_six_relays_use_most_of_the_rate(self) -> None:
        self.assertGreaterEqual(self.most_sent(6), 0.8 * 20)

    def test_many_relays_use_most_of_the_rate(self) -> None:
        self.assertGreaterEqual(self.most_sent(60), 0.8 * 20)

    def most_sent(self, relay_count: int) -> int:
        """Return what relays send in the first second of a cold start."""
        relays = [
            build_peer(
                f'relay-{number}',
                zone=ZONES[number % 2],
                region=REGIONS[ZONES[number % 2]],
            )
            for number in range(relay_count)
        ]
        colds = []
        for own in relays:
            view = ClusterView(
                build_settings(name=own.name),
                lambda own=own: own,
                Mirror(3.0),
                lambda: 100.0,
            )
            view.apply_route_table(build_table())
            for peer in relays:
                view.peers.add(peer)
            view.register_upstream(build_upstream_record(cold_until_s=110.0))
            colds.append(view.upstreams.by_id['engine-1'].cold)
        return sum(
            cold.consume(100.0 + step / STEPS_PER_S)
            for step in range(STEPS_PER_S)
            for cold in colds
        )
