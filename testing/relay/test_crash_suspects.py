"""Tests of requests that crash what runs them."""

import unittest

from bramleylug.relay.crash_suspects import (
    SharedSuspects,
    crash_id_of,
    fingerprint_of,
)


class TestSharedSuspects(unittest.TestCase):
    """The third death of an upstream bars a request."""

    def setUp(self) -> None:
        """Know nothing yet."""
        self.now_s = 0.0
        self.suspects = SharedSuspects(lambda: self.now_s)
        self.request = fingerprint_of(b'/ask/1', b'garage', b'body')

    def crash(self, *engines):
        """Report the deaths of engines."""
        for engine in engines:
            self.suspects.report(self.request, crash_id_of(engine, 1))

    def test_two_deaths_may_be_chance(self) -> None:
        """The request is still tried."""
        self.crash('a', 'b')

        self.assertFalse(self.suspects.is_barred(self.request))

    def test_third_death_bars(self) -> None:
        """No further engine is put at risk."""
        self.crash('a', 'b', 'c')

        self.assertTrue(self.suspects.is_barred(self.request))

    def test_same_death_counts_once(self) -> None:
        """Several relays tell of it."""
        self.crash('a', 'a', 'a', 'a')

        self.assertFalse(self.suspects.is_barred(self.request))

    def test_other_request_is_not_barred(self) -> None:
        """Path, workspace and body tell requests apart."""
        self.crash('a', 'b', 'c')
        other = fingerprint_of(b'/ask/1', b'garage', b'other')

        self.assertFalse(self.suspects.is_barred(other))

    def test_request_that_ends_well_is_not_blamed(self) -> None:
        """Many callers may send the same; engines die for other reasons."""
        self.suspects.note_success(self.request)
        self.crash('a', 'b', 'c')

        self.assertFalse(self.suspects.is_barred(self.request))

    def test_success_clears_a_suspect(self) -> None:
        """It ran well elsewhere after two deaths."""
        self.crash('a', 'b')
        self.suspects.note_success(self.request)
        self.crash('c')

        self.assertFalse(self.suspects.is_barred(self.request))

    def test_deaths_are_told_on(self) -> None:
        """Peers learn of each death for a while."""
        self.crash('a', 'b')

        told = dict(self.suspects.recent())
        self.now_s = 60.0

        self.assertEqual(len(told[self.request]), 2)
        self.assertEqual(list(self.suspects.recent()), [])

    def test_deaths_long_ago_are_forgiven(self) -> None:
        """An hour later the request is tried again."""
        self.crash('a', 'b', 'c')
        self.now_s = 3600.0

        self.assertFalse(self.suspects.is_barred(self.request))
