"""Tests of how often peers are told."""

import unittest
from collections import Counter

from bramleylug.relay.heartbeat_schedule import (
    MAX_INTERVAL_S,
    HeartbeatSchedule,
)
from bramleylug.relay.heartbeats import HEARTBEAT_INTERVAL_S, HEARTBEAT_RATES
from testing.relay.builders import build_peer

LENGTH_S = 10.0


def told_in_play(near: int, far: int) -> Counter[str]:
    """Return how often each peer is told within ten seconds."""
    peers = [
        *(build_peer(f'near-{index}') for index in range(near)),
        *(build_peer(f'far-{index}', region='south') for index in range(far)),
    ]
    rounds = HeartbeatSchedule('north', HEARTBEAT_RATES)
    told: Counter[str] = Counter()
    for step in range(int(LENGTH_S / HEARTBEAT_INTERVAL_S)):
        due = rounds.due(peers, step * HEARTBEAT_INTERVAL_S)
        told.update(peer.name for peer in due)
    return told


class TestRounds(unittest.TestCase):
    """Beats stay few however large the fleet is."""

    def test_small_fleet_is_told_each_time(self) -> None:
        """Nine relays in three regions."""
        told = told_in_play(near=2, far=6)

        self.assertEqual(
            set(told.values()), {int(LENGTH_S / HEARTBEAT_INTERVAL_S)}
        )

    def test_large_fleet_stays_below_what_control_may_take(self) -> None:
        """17 kB a second at the target size, at 200 bytes a beat."""
        told = told_in_play(near=14, far=29)

        self.assertLess(told.total() / LENGTH_S, 85)

    def test_near_peers_hear_more_often(self) -> None:
        """Most requests go to engines of the own region."""
        told = told_in_play(near=14, far=29)

        self.assertGreater(told['near-0'], 2 * told['far-0'])

    def test_nobody_waits_for_long(self) -> None:
        """A peer that is not heard of counts as gone."""
        told = told_in_play(near=80, far=250)

        self.assertGreaterEqual(min(told.values()), LENGTH_S / MAX_INTERVAL_S)
