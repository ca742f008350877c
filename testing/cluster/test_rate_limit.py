"""Tests of what is known of the limit that an upstream names."""

import unittest

from bramleylug.cluster.rate_limit import (
    RETENTION_S,
    Incarnation,
    RateLimit,
    RateLimits,
)

ENGINE = Incarnation('engine-1', 1000)


class TestOwnAnswers(unittest.TestCase):
    """Answers arrive in another order than they were written."""

    def setUp(self) -> None:
        """Name a limit in an answer that arrives at 10 s."""
        self.limit = RateLimit()
        self.limit.record_named(2.0, 10.0, 10.0)

    def test_limit_ends_with_an_answer_to_a_later_request(self) -> None:
        self.assertTrue(self.limit.record_unlimited(10.1, 10.4))
        self.assertIsNone(self.limit.per_s)

    def test_answer_to_an_earlier_request_does_not_end_it(self) -> None:
        self.assertFalse(self.limit.record_unlimited(9.9, 10.4))
        self.assertEqual(self.limit.per_s, 2.0)

    def test_number_that_changes_replaces_the_old_one(self) -> None:
        self.assertTrue(self.limit.record_named(0.5, 11.0, 11.0))
        self.assertEqual(self.limit.per_s, 0.5)

    def test_the_same_number_is_no_news(self) -> None:
        """Still, a request sent before it does not end it."""
        self.assertFalse(self.limit.record_named(2.0, 12.0, 12.0))
        self.assertFalse(self.limit.record_unlimited(11.0, 13.0))

    def test_limit_of_nothing_is_a_limit(self) -> None:
        self.limit.record_named(0.0, 11.0, 11.0)

        self.assertEqual(self.limit.per_s, 0.0)


class TestRetention(unittest.TestCase):
    """An upstream that registers again has not taken its limit back."""

    def setUp(self) -> None:
        """Name a limit at 10 s."""
        self.limits = RateLimits()
        self.limits.of(ENGINE).record_named(2.0, 10.0, 10.0)

    def test_limit_outlasts_the_removal_of_its_upstream(self) -> None:
        self.limits.remove_expired(11.0, ())

        self.assertEqual(self.limits.of(ENGINE).per_s, 2.0)

    def test_limit_of_an_upstream_gone_for_long_is_forgotten(self) -> None:
        self.limits.remove_expired(10.1 + RETENTION_S, ())

        self.assertEqual(self.limits.by_incarnation, {})

    def test_limit_of_a_registered_upstream_is_kept(self) -> None:
        self.limits.remove_expired(10.1 + RETENTION_S, (ENGINE,))

        self.assertEqual(self.limits.of(ENGINE).per_s, 2.0)

    def test_new_incarnation_has_named_none(self) -> None:
        restarted = Incarnation('engine-1', 2000)

        self.assertIsNone(self.limits.of(restarted).per_s)
