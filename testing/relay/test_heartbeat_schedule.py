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


def count_heartbeats(near: int, far: int) -> Counter[str]:
    """Return how many heartbeats each peer gets in ten seconds."""
    peers = [
        *(build_peer(f'near-{index}') for index in range(near)),
        *(build_peer(f'far-{index}', region='south') for index in range(far)),
    ]
    schedule = HeartbeatSchedule('north', HEARTBEAT_RATES)
    sent: Counter[str] = Counter()
    for step in range(int(LENGTH_S / HEARTBEAT_INTERVAL_S)):
        due = schedule.due(peers, step * HEARTBEAT_INTERVAL_S)
        sent.update(peer.name for peer in due)
    return sent


class TestHeartbeatSchedule(unittest.TestCase):
    """The rate is limited in any cluster."""

    def test_small_cluster_gets_all(self) -> None:
        """Nine relays in three regions."""
        sent = count_heartbeats(near=2, far=6)

        self.assertEqual(
            set(sent.values()), {int(LENGTH_S / HEARTBEAT_INTERVAL_S)}
        )

    def test_large_cluster_stays_below_the_limit(self) -> None:
        """17 kB/s at the target size, at 200 bytes each."""
        sent = count_heartbeats(near=14, far=29)

        self.assertLess(sent.total() / LENGTH_S, 85)

    def test_peers_of_the_own_region_get_more(self) -> None:
        """Most requests go to engines of the own region."""
        sent = count_heartbeats(near=14, far=29)

        self.assertGreater(sent['near-0'], 2 * sent['far-0'])

    def test_interval_is_bounded(self) -> None:
        """A peer without recent heartbeats counts as dead."""
        sent = count_heartbeats(near=80, far=250)

        self.assertGreaterEqual(min(sent.values()), LENGTH_S / MAX_INTERVAL_S)
