"""Tests of how often peers get heartbeats."""

import unittest
from collections import Counter

from bramleylug.cluster.heartbeat_schedule import (
    COLLECT_S,
    EARLY_S,
    MAX_INTERVAL_S,
    HeartbeatSchedule,
)
from bramleylug.cluster.heartbeats import HEARTBEAT_INTERVAL_S, HEARTBEAT_RATES
from bramleylug.cluster.peers import MAX_DIRECT_PEERS
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

    def test_interval_of_local_peers_is_bounded(self) -> None:
        """A peer without recent heartbeats counts as dead."""
        sent = count_heartbeats(near=80, far=250)

        near = [sent[f'near-{index}'] for index in range(80)]
        self.assertGreaterEqual(min(near), LENGTH_S / MAX_INTERVAL_S)

    def test_interval_of_few_remote_peers_is_bounded(self) -> None:
        """Up to the number at which they begin to take turns."""
        sent = count_heartbeats(near=2, far=MAX_DIRECT_PEERS)

        self.assertGreaterEqual(min(sent.values()), LENGTH_S / MAX_INTERVAL_S)

    def test_many_remote_peers_take_turns(self) -> None:
        """Their number does not change the rate, and none is left out."""
        rates = [
            sum(
                count
                for name, count in count_heartbeats(2, far).items()
                if name.startswith('far')
            )
            / LENGTH_S
            for far in (30, 300, 1000)
        ]

        self.assertEqual(rates, [10.0, 10.0, 10.0])
        self.assertEqual(len(count_heartbeats(2, 100)), 102)

    def test_nobody_is_due_before_the_time_that_is_named(self) -> None:
        """The sender sleeps until then."""
        peers = [
            *(build_peer(f'near-{index}') for index in range(20)),
            *(build_peer(f'f-{index}', region='south') for index in range(80)),
        ]
        schedule = HeartbeatSchedule('north', HEARTBEAT_RATES)
        for step in range(int(LENGTH_S / HEARTBEAT_INTERVAL_S)):
            now_s = step * HEARTBEAT_INTERVAL_S
            early = now_s + EARLY_S < schedule.next_due_s
            self.assertEqual(bool(schedule.due(peers, now_s)), not early)

    def test_heartbeats_are_collected_in_a_large_region_only(self) -> None:
        """Of a small one, each count is worth a look at once."""
        collected = {}
        for near in (2, 14, 20, 80):
            schedule = HeartbeatSchedule('north', HEARTBEAT_RATES)
            schedule.due([build_peer(f'r-{one}') for one in range(near)], 0.0)
            collected[near] = schedule.collect_s

        self.assertEqual(collected, {2: 0, 14: 0, 20: COLLECT_S, 80: COLLECT_S})
