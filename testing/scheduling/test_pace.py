"""Tests of the pace of an engine, from reports and passes."""

import unittest

from bramleylug.scheduling.pace import MAX_PACE, PassTimes

WRITE_S = 0.05


def observe(*passes_s: float) -> PassTimes:
    """Return what a stream with such passes shows; the last ends at 0."""
    times = PassTimes()
    ended_s = -sum(passes_s)
    for pass_s in passes_s:
        times.record(ended_s, ended_s + pass_s)
        ended_s += pass_s
    return times


class TestPassTimes(unittest.TestCase):
    """Load: streams at an engine whose speed changes."""

    def test_report_counts_without_streams(self) -> None:
        self.assertEqual(PassTimes().pace(2.5, WRITE_S, 0.0), 2.5)

    def test_prompts_of_others_do_not_make_an_engine_slow(self) -> None:
        """Three of four passes read prompts."""
        times = observe(0.15, 0.2, 0.05, 0.3)

        self.assertAlmostEqual(times.pace(1.0, WRITE_S, 0.0), 1.0)

    def test_slow_passes_count_more_than_a_report(self) -> None:
        """Its loader is wrong, or has not told yet."""
        times = observe(0.2, 0.2, 0.25, 0.2)

        self.assertAlmostEqual(times.pace(1.0, WRITE_S, 0.0), 4.0)

    def test_short_pass_refutes_a_report(self) -> None:
        times = observe(0.05, 0.05, 0.05, 0.06)

        self.assertAlmostEqual(times.pace(4.0, WRITE_S, 0.0), 1.2)

    def test_slowness_is_forgotten(self) -> None:
        """Or nothing would be sent there again."""
        times = observe(0.2, 0.2, 0.2, 0.2)

        self.assertLess(times.pace(1.0, WRITE_S, 5.0), 1.2)

    def test_streams_of_one_pass_count_once(self) -> None:
        """Four streams, one of whose passes was long."""
        times = PassTimes()
        for number in range(4):
            times.record(0.0, 0.2 + number / 1000)

        self.assertIsNone(times.shown(WRITE_S, 0.2))

    def test_pieces_of_one_event_count_once(self) -> None:
        times = observe(0.2, 0.001, 0.2, 0.2, 0.2)

        self.assertAlmostEqual(times.pace(1.0, WRITE_S, 0.0), 4.0)

    def test_nothing_is_believed_to_be_slower_than_possible(self) -> None:
        self.assertEqual(PassTimes().pace(1e9, WRITE_S, 0.0), MAX_PACE)
        self.assertEqual(PassTimes().pace(0.0, WRITE_S, 0.0), 1.0)
