"""Tests of the transfer planner under faults."""

import unittest
from random import Random

from bramleylug.weights.actions import CancelFetch, ExchangeHoldings
from bramleylug.weights.in_flight import FromOrigin, FromPeer
from bramleylug.weights.peers import FailureReason, Holdings
from bramleylug.weights.planner import Planner
from testing.builders import build_manifest
from testing.weights.virtual_burst import VirtualBurst


class TestBurst(unittest.TestCase):
    """A version reaches every host, read from the origin once."""

    def test_each_chunk_is_read_from_the_origin_once(self) -> None:
        """Everyone else reads it from peers."""
        burst = VirtualBurst(hosts=8, chunks=24)

        self.assertTrue(burst.run(20))
        self.assertEqual(sorted(burst.origin_reads), list(range(24)))

    def test_each_chunk_enters_a_region_once(self) -> None:
        """The other regions' homes read it from the lead region's home."""
        burst = VirtualBurst(hosts=12, chunks=24, regions=3)

        self.assertTrue(burst.run(40))
        self.assertEqual(len(burst.origin_reads), 24)
        self.assertEqual(len(burst.crossings), 48)
        self.assertEqual(len(set(burst.crossings)), 48)

    def test_slow_start_causes_no_stampede(self) -> None:
        """A home that makes progress is not taken over, however late."""
        burst = VirtualBurst(hosts=8, chunks=60)
        burst.origin_pace = 1

        self.assertTrue(burst.run(60))
        self.assertEqual(len(burst.origin_reads), 60)

    def test_homes_read_a_window_ahead(self) -> None:
        """An eighth of the chunks, so that the first end early."""
        burst = VirtualBurst(hosts=32, chunks=96)
        burst.origin_pace = 0
        for _ in range(5):
            burst.tick()

        reading = {fetch.index for _, fetch in burst.pending}

        self.assertIn(0, reading)
        self.assertLessEqual(reading, set(range(12 + 6)))

    def test_late_joiner_reads_nothing_from_the_origin(self) -> None:
        """What peers hold is fetched from them, also by a new home."""
        burst = VirtualBurst(hosts=6, chunks=12)
        burst.run(20)
        burst.regions['late'] = 'region-0'
        burst.planners['late'] = Planner(
            'late', 'region-0', burst.manifest, Random(1), burst.now_s
        )

        self.assertTrue(burst.run(10))
        self.assertEqual(len(burst.origin_reads), 12)


class TestFaults(unittest.TestCase):
    """Transfers end whole although hosts, links and the origin fail."""

    def test_dead_home_is_taken_over(self) -> None:
        """The next in rank reads its chunks; nobody reads one twice."""
        burst = VirtualBurst(hosts=8, chunks=40)
        burst.kill('host-3')

        self.assertTrue(burst.run(30))
        self.assertEqual(len(burst.origin_reads), 40)
        self.assertGreater(burst.now_s, 4)

    def test_slow_home_is_taken_over(self) -> None:
        """It makes progress, but takes far longer than the others did."""
        burst = VirtualBurst(hosts=8, chunks=40)
        burst.slow.add('host-3')

        self.assertTrue(burst.run(30))
        self.assertEqual(len(burst.origin_reads), 40)

    def test_home_dying_in_the_middle_costs_less_than_half_a_copy(self) -> None:
        """What it had passed on is not read again."""
        burst = VirtualBurst(hosts=8, chunks=40)
        burst.origin_pace = 8
        for _ in range(5):
            burst.tick()
        burst.kill('host-1')
        burst.kill('host-2')

        self.assertTrue(burst.run(60))
        self.assertLessEqual(len(burst.origin_reads), 60)

    def test_origin_down_after_half_resumes_without_stampede(self) -> None:
        """Reads during the outage stay few, and each chunk is read once."""
        burst = VirtualBurst(hosts=8, chunks=40)
        burst.origin_pace = 4
        while len(burst.origin_reads) < 20:
            burst.tick()
        burst.origin_up = False
        tries_before = burst.origin_tries
        burst.run(60)
        tries = burst.origin_tries - tries_before
        burst.origin_up = True

        self.assertTrue(burst.run(30))
        self.assertLessEqual(tries, 8 * 3 * 12)
        self.assertLessEqual(len(burst.origin_reads), 44)

    def test_corrupt_chunk_blames_its_peer(self) -> None:
        """The peer is asked for nothing more, and the chunk comes whole."""
        burst = VirtualBurst(hosts=8, chunks=24)
        burst.liars.add('host-2')

        self.assertTrue(burst.run(40))
        blamers = [name for name, fetch in burst.blamed]
        self.assertLessEqual(max(map(blamers.count, blamers), default=0), 2)

    def test_chunk_corrupt_at_the_origin_is_reported_and_left(self) -> None:
        """Three reads, one report, then a long pause."""
        burst = VirtualBurst(hosts=1, chunks=6)
        burst.bad_at_origin.add(4)

        self.assertFalse(burst.run(50))
        self.assertEqual(burst.reports, [('host-0', 4)])
        self.assertEqual(burst.origin_tries, 5 + 3)

    def test_lost_region_reads_the_origin_once_for_itself(self) -> None:
        """Without its link a region becomes its own lead after a while."""
        burst = VirtualBurst(hosts=8, chunks=16, regions=2)
        burst.cut.add(frozenset(('region-0', 'region-1')))

        self.assertTrue(burst.run(60))
        self.assertEqual(burst.crossings, [])
        self.assertLessEqual(len(burst.origin_reads), 34)

    def test_region_link_back_in_time_saves_the_second_read(self) -> None:
        """A short loss of the link costs no read of the origin."""
        burst = VirtualBurst(hosts=8, chunks=16, regions=2)
        burst.cut.add(frozenset(('region-0', 'region-1')))
        burst.run(5)
        burst.cut.clear()

        self.assertTrue(burst.run(60))
        self.assertEqual(len(burst.origin_reads), 16)

    def test_views_that_differ_cost_duplicates_only(self) -> None:
        """Hosts that know half of the others end whole all the same."""
        burst = VirtualBurst(hosts=8, chunks=24)
        burst.knows = _are_both_odd_or_even

        self.assertTrue(burst.run(40))
        self.assertLessEqual(len(burst.origin_reads), 48)


class TestOneHost(unittest.TestCase):
    """What one planner decides."""

    def setUp(self) -> None:
        """Know two peers, of which one holds everything."""
        self.planner = Planner(
            'own', 'region-0', build_manifest(8), Random(1), 0
        )
        self.planner.replace_peers({'a': 'region-0', 'b': 'region-0'}, 0)

    def test_asks_before_it_reads_the_origin(self) -> None:
        """A home first learns whether a peer holds its chunks."""
        actions = self.planner.plan(0)

        self.assertEqual(
            {type(action) for action in actions}, {ExchangeHoldings}
        )

    def test_rarest_chunk_goes_first(self) -> None:
        """Chunk 3 is held by one peer, the others by both."""
        self.planner.update_holdings('a', Holdings(0b1111), 0.1)
        self.planner.update_holdings('b', Holdings(0b111), 0.1)

        fetches = [
            action
            for action in self.planner.plan(0.1)
            if isinstance(action, FromPeer)
        ]

        self.assertEqual(fetches[0], FromPeer(3, 'a'))

    def test_fetch_without_progress_is_abandoned_once(self) -> None:
        """Its progress counts, not its age."""
        self.planner.update_holdings('a', Holdings(0b1), 0.1)
        self.planner.plan(0.1)
        self.planner.record_progress(0, 10, 4)

        self.assertNotIn(CancelFetch(0), self.planner.plan(6))
        self.assertIn(CancelFetch(0), self.planner.plan(9.1))
        self.assertNotIn(CancelFetch(0), self.planner.plan(9.2))

    def test_stalled_peer_is_left_alone_for_a_while(self) -> None:
        """The chunk is fetched from the other peer."""
        self.planner.update_holdings('a', Holdings(0b1), 0.1)
        self.planner.plan(0.1)
        self.planner.update_holdings('b', Holdings(0b1), 0.2)
        self.planner.record_failure(0, FailureReason.stalled, 5.2)

        self.assertIn(FromPeer(0, 'b'), self.planner.plan(5.3))

    def test_alone_it_reads_the_origin(self) -> None:
        """Without peers every chunk is its own duty, two at a time."""
        planner = Planner('own', 'region-0', build_manifest(8), Random(1), 0)

        actions = planner.plan(0)

        self.assertEqual([type(action) for action in actions], [FromOrigin] * 2)


def _are_both_odd_or_even(name: str, other: str) -> bool:
    return name != other and int(name[-1]) % 2 == int(other[-1]) % 2
