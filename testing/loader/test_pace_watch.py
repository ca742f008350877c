"""Tests of when relays are told at once that an engine's pace has changed."""

import unittest

from bramleylug.loader.pace_watch import PaceWatch


class TestPaceWatch(unittest.TestCase):
    """Load: an engine that becomes slow and recovers."""

    def setUp(self) -> None:
        self.watch = PaceWatch()

    def test_engine_that_becomes_slow_and_recovers(self) -> None:
        self.assertTrue(self.watch.record(2.5, 0.0))
        self.assertFalse(self.watch.record(2.6, 5.0))
        self.assertTrue(self.watch.record(1.0, 6.0))

    def test_usual_pace_is_no_news(self) -> None:
        self.assertFalse(self.watch.record(1.0, 0.0))
        self.assertFalse(self.watch.record(1.2, 5.0))

    def test_pace_that_changes_all_the_time_is_told_once_a_second(self) -> None:
        """Each message goes to every relay."""
        told = sum(
            self.watch.record(1.0 + number % 2, number / 10)
            for number in range(50)
        )

        self.assertLessEqual(told, 5)
