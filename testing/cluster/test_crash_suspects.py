"""Tests of requests that crash their upstreams."""

import unittest

from bramleylug.cluster.crash_suspects import (
    SharedSuspects,
    crash_id_of,
    fingerprint_of,
)


class TestSharedSuspects(unittest.TestCase):
    """A request is barred after it has crashed three upstreams."""

    def setUp(self) -> None:
        self.now_s = 0.0
        self.suspects = SharedSuspects(lambda: self.now_s)
        self.request = fingerprint_of(b'/ask/1', b'garage', b'body')

    def crash(self, *engines):
        for engine in engines:
            self.suspects.record_crash(self.request, crash_id_of(engine, 1))

    def test_two_crashes_do_not_bar(self) -> None:
        """Two crashes may be coincidence."""
        self.crash('a', 'b')

        self.assertFalse(self.suspects.is_barred(self.request))

    def test_third_crash_bars(self) -> None:
        """The request is sent to no further engine."""
        self.crash('a', 'b', 'c')

        self.assertTrue(self.suspects.is_barred(self.request))

    def test_same_crash_counts_once(self) -> None:
        """Several relays report the same crash."""
        self.crash('a', 'a', 'a', 'a')

        self.assertFalse(self.suspects.is_barred(self.request))

    def test_other_request_is_not_barred(self) -> None:
        """Requests differ by path, workspace and body."""
        self.crash('a', 'b', 'c')
        other = fingerprint_of(b'/ask/1', b'garage', b'other')

        self.assertFalse(self.suspects.is_barred(other))

    def test_request_that_succeeded_is_not_suspected(self) -> None:
        """Many callers may send it; the engines crashed for other reasons."""
        self.suspects.record_success(self.request)
        self.crash('a', 'b', 'c')

        self.assertFalse(self.suspects.is_barred(self.request))

    def test_success_clears_crashes(self) -> None:
        """The request succeeded on another engine after two crashes."""
        self.crash('a', 'b')
        self.suspects.record_success(self.request)
        self.crash('c')

        self.assertFalse(self.suspects.is_barred(self.request))

    def test_recent_crashes_are_announced(self) -> None:
        """Heartbeats include each crash for a limited time."""
        self.crash('a', 'b')

        announced = dict(self.suspects.recent())
        self.now_s = 60.0

        self.assertEqual(len(announced[self.request]), 2)
        self.assertEqual(list(self.suspects.recent()), [])

    def test_old_crashes_expire(self) -> None:
        """An hour later the request is sent again."""
        self.crash('a', 'b', 'c')
        self.now_s = 3600.0

        self.assertFalse(self.suspects.is_barred(self.request))
