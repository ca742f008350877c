"""Tests of the transfer planner, alone and among others under faults."""

import unittest
from random import Random

from bramleylug.weights.actions import CancelFetch, ExchangeHoldings
from bramleylug.weights.in_flight import FromOrigin, FromPeer
from bramleylug.weights.peers import FailureReason, Holdings
from bramleylug.weights.planner import Planner
from testing.builders import build_manifest
from testing.weights.virtual_burst import VirtualBurst


class TestBurst(unittest.TestCase):
    """Every host gets the version, which is read from the origin once."""

    def test_each_chunk_is_read_from_the_origin_once(self) -> None:
        """All other hosts read it from peers."""
        burst = VirtualBurst(hosts=8, chunks=24)

        self.assertTrue(burst.run(20))
        self.assertEqual(sorted(burst.origin_reads), list(range(24)))

    def test_each_chunk_enters_a_region_once(self) -> None:
        """The other regions' homes read it from the lead region's home."""
        burst = VirtualBurst(hosts=12, chunks=24, regions=3)

        self.assertTrue(burst.run(40))
        self.assertEqual(len(burst.origin_reads), 24)
        self.assertEqual(len(burst.region_crossings), 48)
        self.assertEqual(len(set(burst.region_crossings)), 48)

    def test_slow_origin_causes_no_duplicate_reads(self) -> None:
        """Nobody takes over from a home that makes progress, however slow."""
        burst = VirtualBurst(hosts=8, chunks=60)
        burst.origin_reads_per_tick = 1

        self.assertTrue(burst.run(60))
        self.assertEqual(len(burst.origin_reads), 60)

    def test_homes_read_only_a_window_of_chunks(self) -> None:
        """A window is an eighth of the chunks, so that the first end early."""
        burst = VirtualBurst(hosts=32, chunks=96)
        burst.origin_reads_per_tick = 0
        for _ in range(5):
            burst.tick()

        fetching = {fetch.index for _, fetch in burst.pending}

        self.assertIn(0, fetching)
        self.assertLessEqual(fetching, set(range(12 + 6)))

    def test_late_joiner_reads_nothing_from_the_origin(self) -> None:
        """A new home also fetches from peers what they already hold."""
        burst = VirtualBurst(hosts=6, chunks=12)
        burst.run(20)
        burst.regions['late'] = 'region-0'
        burst.planners['late'] = Planner(
            'late', 'region-0', burst.manifest, Random(1), burst.now_s
        )

        self.assertTrue(burst.run(10))
        self.assertEqual(len(burst.origin_reads), 12)


class TestFaults(unittest.TestCase):
    """Transfers complete although hosts, links and the origin fail."""

    def test_next_home_takes_over_from_dead_one(self) -> None:
        """It reads the dead home's chunks; no chunk is read twice."""
        burst = VirtualBurst(hosts=8, chunks=40)
        burst.kill('host-3')

        self.assertTrue(burst.run(30))
        self.assertEqual(len(burst.origin_reads), 40)
        self.assertGreater(burst.now_s, 4)

    def test_next_home_takes_over_from_slow_one(self) -> None:
        """The slow home makes progress, but far less than the others did."""
        burst = VirtualBurst(hosts=8, chunks=40)
        burst.slow.add('host-3')

        self.assertTrue(burst.run(30))
        self.assertEqual(len(burst.origin_reads), 40)

    def test_homes_dying_midway_cost_at_most_half_a_copy(self) -> None:
        """Chunks that peers hold by then are not read again."""
        burst = VirtualBurst(hosts=8, chunks=40)
        burst.origin_reads_per_tick = 8
        for _ in range(5):
            burst.tick()
        burst.kill('host-1')
        burst.kill('host-2')

        self.assertTrue(burst.run(60))
        self.assertLessEqual(len(burst.origin_reads), 60)

    def test_origin_outage_midway_causes_few_reads(self) -> None:
        """Attempts during the outage are few; chunks are read about once."""
        burst = VirtualBurst(hosts=8, chunks=40)
        burst.origin_reads_per_tick = 4
        while len(burst.origin_reads) < 20:
            burst.tick()
        burst.origin_up = False
        attempts_before = burst.origin_attempts
        burst.run(60)
        attempts = burst.origin_attempts - attempts_before
        burst.origin_up = True

        self.assertTrue(burst.run(30))
        self.assertLessEqual(attempts, 8 * 3 * 12)
        self.assertLessEqual(len(burst.origin_reads), 44)

    def test_peer_that_served_corrupt_chunk_is_avoided(self) -> None:
        """The chunk is fetched elsewhere."""
        burst = VirtualBurst(hosts=8, chunks=24)
        burst.corrupt_peers.add('host-2')

        self.assertTrue(burst.run(40))
        receivers = [name for name, fetch in burst.corrupt_fetches]
        self.assertLessEqual(max(map(receivers.count, receivers), default=0), 2)

    def test_chunk_corrupt_at_the_origin_is_reported_once(self) -> None:
        """It is read three times, then not for a while."""
        burst = VirtualBurst(hosts=1, chunks=6)
        burst.corrupt_at_origin.add(4)

        self.assertFalse(burst.run(50))
        self.assertEqual(burst.reports, [('host-0', 4)])
        self.assertEqual(burst.origin_attempts, 5 + 3)

    def test_cut_off_region_reads_the_origin_itself(self) -> None:
        """It does so when the lead region made no progress for a while."""
        burst = VirtualBurst(hosts=8, chunks=16, regions=2)
        burst.unreachable_regions.add(frozenset(('region-0', 'region-1')))

        self.assertTrue(burst.run(60))
        self.assertEqual(burst.region_crossings, [])
        self.assertLessEqual(len(burst.origin_reads), 34)

    def test_short_loss_of_region_link_costs_no_origin_read(self) -> None:
        """The link is back before the time limit."""
        burst = VirtualBurst(hosts=8, chunks=16, regions=2)
        burst.unreachable_regions.add(frozenset(('region-0', 'region-1')))
        burst.run(5)
        burst.unreachable_regions.clear()

        self.assertTrue(burst.run(60))
        self.assertEqual(len(burst.origin_reads), 16)

    def test_differing_views_cost_duplicate_reads_only(self) -> None:
        """Hosts that know only half of the others complete all the same."""
        burst = VirtualBurst(hosts=8, chunks=24)
        burst.is_in_view = _have_same_parity

        self.assertTrue(burst.run(40))
        self.assertLessEqual(len(burst.origin_reads), 48)


class TestOneHost(unittest.TestCase):
    """Decisions of a single planner."""

    def setUp(self) -> None:
        """Create a planner that knows two peers of its region."""
        self.planner = Planner(
            'own', 'region-0', build_manifest(8), Random(1), 0
        )
        self.planner.replace_peers({'a': 'region-0', 'b': 'region-0'}, 0)

    def test_holdings_are_exchanged_before_origin_is_read(self) -> None:
        """A peer may already hold the chunks."""
        actions = self.planner.plan(0)

        self.assertEqual(
            {type(action) for action in actions}, {ExchangeHoldings}
        )

    def test_rarest_chunk_is_fetched_first(self) -> None:
        """One peer holds chunk 3; both hold the others."""
        self.planner.update_holdings('a', Holdings(0b1111), 0.1)
        self.planner.update_holdings('b', Holdings(0b111), 0.1)

        fetches = [
            action
            for action in self.planner.plan(0.1)
            if isinstance(action, FromPeer)
        ]

        self.assertEqual(fetches[0], FromPeer(3, 'a'))

    def test_stalled_fetch_is_cancelled_once(self) -> None:
        """The time since its last progress counts, not its age."""
        self.planner.update_holdings('a', Holdings(0b1), 0.1)
        self.planner.plan(0.1)
        self.planner.record_progress(0, 10, 4)

        self.assertNotIn(CancelFetch(0), self.planner.plan(6))
        self.assertIn(CancelFetch(0), self.planner.plan(9.1))
        self.assertNotIn(CancelFetch(0), self.planner.plan(9.2))

    def test_stalled_peer_is_avoided_for_a_while(self) -> None:
        """The chunk is fetched from the other peer."""
        self.planner.update_holdings('a', Holdings(0b1), 0.1)
        self.planner.plan(0.1)
        self.planner.update_holdings('b', Holdings(0b1), 0.2)
        self.planner.record_failure(0, FailureReason.stalled, 5.2)

        self.assertIn(FromPeer(0, 'b'), self.planner.plan(5.3))

    def test_host_without_peers_reads_the_origin(self) -> None:
        """It is the home of every chunk, and reads two at a time."""
        planner = Planner('own', 'region-0', build_manifest(8), Random(1), 0)

        actions = planner.plan(0)

        self.assertEqual([type(action) for action in actions], [FromOrigin] * 2)


def _have_same_parity(name: str, other: str) -> bool:
    return name != other and int(name[-1]) % 2 == int(other[-1]) % 2
