"""Tests of how often peers get heartbeats."""

import unittest
from collections import Counter

from bramleylug.relay.heartbeat_schedule import (
    MAX_INTERVAL_S,
    HeartbeatSchedule,
)
from bramleylug.relay.heartbeats import HEARTBEAT_INTERVAL_S, HEARTBEAT_RATES
from testing.relay.builders import build_peer

LENGTH_S = 10.0


def count_heartbeats(same_region: int, remote: int) -> Counter[str]:
    """Return how many heartbeats each peer gets within ten seconds.

    :param same_region: number of peers in the own region.
    :param remote: number of peers in another region.
    """
    peers = [
        *(build_peer(f'near-{index}') for index in range(same_region)),
        *(
            build_peer(f'far-{index}', region='south')
            for index in range(remote)
        ),
    ]
    schedule = HeartbeatSchedule('north', HEARTBEAT_RATES)
    counts: Counter[str] = Counter()
    for step in range(int(LENGTH_S / HEARTBEAT_INTERVAL_S)):
        due = schedule.due(peers, step * HEARTBEAT_INTERVAL_S)
        counts.update(peer.name for peer in due)
    return counts


class TestHeartbeatSchedule(unittest.TestCase):
    """The rate of heartbeats is limited in clusters of any size."""

    def test_small_cluster_gets_every_heartbeat(self) -> None:
        """Nine relays in three regions."""
        counts = count_heartbeats(same_region=2, remote=6)

        self.assertEqual(
            set(counts.values()), {int(LENGTH_S / HEARTBEAT_INTERVAL_S)}
        )

    def test_large_cluster_stays_below_the_control_traffic_limit(self) -> None:
        """17 kB/s at the target size, with 200 bytes per heartbeat."""
        counts = count_heartbeats(same_region=14, remote=29)

        self.assertLess(counts.total() / LENGTH_S, 85)

    def test_peers_in_the_own_region_get_more_heartbeats(self) -> None:
        """Most requests go to engines in the own region."""
        counts = count_heartbeats(same_region=14, remote=29)

        self.assertGreater(counts['near-0'], 2 * counts['far-0'])

    def test_interval_is_bounded(self) -> None:
        """A peer without recent heartbeats counts as dead."""
        counts = count_heartbeats(same_region=80, remote=250)

        self.assertGreaterEqual(min(counts.values()), LENGTH_S / MAX_INTERVAL_S)
