"""Tests of the limit of log lines about one key."""

import unittest

from bramleylug.observability.rejections import LineLimit


class TestLineLimit(unittest.TestCase):
    """Each line tells how many events had none since the last one."""

    def test_events_within_the_interval_are_counted(self) -> None:
        limit = LineLimit(10)
        told = [limit.record('a', now_s) for now_s in (0, 1, 9, 10, 11, 20)]

        self.assertEqual(told, [0, None, None, 2, None, 1])

    def test_count_is_told_after_a_long_silence(self) -> None:
        limit = LineLimit(10)
        limit.record('a', 0)
        limit.record('a', 1)

        self.assertEqual(limit.record('a', 1000), 1)

    def test_keys_that_are_silent_for_long_are_forgotten(self) -> None:
        limit = LineLimit(10)
        limit.record('a', 0)
        limit.record('a', 1)
        limit.record('b', 1000)

        self.assertEqual((list(limit.logged_s), limit.unlogged), (['b'], {}))
