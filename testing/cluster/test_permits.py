"""Tests of permits: the issuer's bucket and those that a relay holds."""

import unittest
from random import Random

from bramleylug.cluster.permits import (
    ASK_TTL_S,
    MAX_ASK_INTERVAL_S,
    MIN_ASK_INTERVAL_S,
    PERMIT_TTL_S,
    HeldPermits,
    PermitBucket,
)

RULE_WINDOW_S = 4.0


class TestBucket(unittest.TestCase):
    """The issuer's bucket bounds what all relays get."""

    def setUp(self) -> None:
        """Create a bucket of one permit a second."""
        self.bucket = PermitBucket.from_limit(1.0, 10.0)

    def test_new_bucket_has_no_whole_permit(self) -> None:
        """Its predecessor may just have emptied its own."""
        self.bucket.ask('relay-1', 10.0)

        self.assertEqual(self.bucket.issue(10.4), [])
        self.assertEqual(self.bucket.issue(10.5), ['relay-1'])

    def test_relays_get_permits_in_the_order_in_which_they_asked(self) -> None:
        for relay in ('relay-2', 'relay-1', 'relay-2'):
            self.bucket.ask(relay, 10.0)

        self.assertEqual(self.bucket.issue(11.0), ['relay-2'])
        self.assertEqual(self.bucket.issue(11.2), [])

    def test_wait_is_until_the_permits_before_are_issued(self) -> None:
        self.bucket.ask('relay-1', 10.0)
        self.bucket.ask('relay-2', 10.0)

        self.assertAlmostEqual(self.bucket.wait_s('relay-2', 10.0), 1.5)

    def test_ask_that_is_not_repeated_expires(self) -> None:
        """Its relay may have ended; the next one gets the permit."""
        self.bucket.ask('relay-1', 10.0)
        self.bucket.ask('relay-2', 10.5)

        self.assertEqual(self.bucket.issue(10.1 + ASK_TTL_S), ['relay-2'])

    def test_idle_bucket_does_not_collect_permits(self) -> None:
        for relay in range(5):
            self.bucket.ask(f'relay-{relay}', 100.0)

        self.assertEqual(len(self.bucket.issue(100.0)), 2)

    def test_returned_permit_is_issued_again(self) -> None:
        self.bucket.ask('relay-1', 10.0)
        self.bucket.take_back(1, 10.0)

        self.assertEqual(self.bucket.issue(10.0), ['relay-1'])

    def test_limit_of_nothing_still_feeds_a_request_in_two_seconds(
        self,
    ) -> None:
        """Its end shows in answers only."""
        bucket = PermitBucket.from_limit(0.0, 10.0)
        for relay in ('relay-1', 'relay-2'):
            bucket.ask(relay, 12.9)

        self.assertEqual(bucket.issue(12.9), ['relay-1'])
        self.assertEqual(bucket.issue(13.0), ['relay-2'])

    def test_changed_limit_counts_from_now(self) -> None:
        self.bucket.set_limit(0.5, 10.2)
        self.bucket.ask('relay-1', 10.2)

        self.assertEqual(self.bucket.issue(10.7), [])
        self.assertEqual(self.bucket.issue(10.9), ['relay-1'])

    def test_permits_of_two_issuers_in_turn_keep_the_rule(self) -> None:
        """Issuers change at random times; permits are used late or at once."""
        for seed in range(50):
            random = Random(seed)
            limit_per_s = random.choice((0.0, 0.1, 1.0, 1.9, 8.0, 30.0))
            used = sorted(_use_permits(random, limit_per_s))
            for begin_s in used:
                got = sum(
                    begin_s <= at_s <= begin_s + RULE_WINDOW_S for at_s in used
                )
                self.assertLessEqual(
                    got, 1.5 * limit_per_s * RULE_WINDOW_S + 5, seed
                )


def _use_permits(random: Random, limit_per_s: float) -> list[float]:
    """Return when permits are used, under constant demand for 30 s."""
    used: list[float] = []
    now_s = 0.0
    while now_s < 30.0:
        end_s = now_s + random.uniform(4.0, 10.0)
        bucket = PermitBucket.from_limit(limit_per_s, now_s)
        while now_s < end_s:
            bucket.ask(f'relay-{random.randrange(9)}', now_s)
            used.extend(
                now_s + random.choice((0.0, PERMIT_TTL_S))
                for _ in bucket.issue(now_s)
            )
            now_s += 0.01
    return used


class TestHeldPermits(unittest.TestCase):
    """A relay uses each permit once, and soon."""

    def setUp(self) -> None:
        """Ask at 10 s."""
        self.held = HeldPermits()
        self.held.record_ask('relay-1', 10.0)

    def test_permit_is_used_once(self) -> None:
        self.held.grant(10.0)

        self.assertTrue(self.held.use(10.1))
        self.assertFalse(self.held.use(10.1))

    def test_expired_permit_goes_back(self) -> None:
        self.held.grant(10.0)
        late_s = 10.0 + PERMIT_TTL_S

        self.assertFalse(self.held.use(late_s))
        self.assertEqual(self.held.drop_expired(late_s), 1)
        self.assertEqual(self.held.drop_expired(late_s), 0)

    def test_issuer_is_not_asked_at_every_request(self) -> None:
        self.assertFalse(self.held.may_ask('relay-1', 10.1))
        self.assertTrue(self.held.may_ask('relay-1', 10.0 + MIN_ASK_INTERVAL_S))

    def test_issuer_is_asked_less_often_for_a_permit_far_off(self) -> None:
        self.held.defer(10.0, 10.0)

        self.assertFalse(self.held.may_ask('relay-1', 10.9))
        self.assertTrue(self.held.may_ask('relay-1', 10.0 + MAX_ASK_INTERVAL_S))

    def test_new_issuer_is_asked_at_once(self) -> None:
        self.held.defer(10.0, 10.0)

        self.assertTrue(self.held.may_ask('relay-2', 10.1))

    def test_permit_that_comes_later_is_expected_then(self) -> None:
        self.held.defer(0.7, 10.0)

        self.assertAlmostEqual(self.held.expected_s, 10.7)

    def test_issuer_that_does_not_answer_is_not_waited_for(self) -> None:
        self.held.record_ask('relay-1', 10.3)

        self.assertGreater(self.held.expected_s, 11.0)
