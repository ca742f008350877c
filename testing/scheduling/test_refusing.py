"""Tests of the times at which refused callers are told to return."""

import unittest

from bramleylug.scheduling.levels import Prospect
from bramleylug.cluster.demand_messages import (
    returns_from_messages,
    returns_to_messages,
)
from bramleylug.scheduling.refusing import (
    ANNOUNCED_S,
    KNOWN_S,
    KnownReturns,
    Refused,
    ReturnTimes,
    plain_retry_s,
)

ROOM = Prospect(ahead=0, per_s=4.0, spare_per_s=0)


class TestReturnTimes(unittest.TestCase):
    """Load: callers are refused within a second while four slots come."""

    def setUp(self) -> None:
        self.returns = ReturnTimes()

    def refuse(self, count, now_s=10.0, left_s=6.0, urgency=1, prospect=ROOM):
        return [
            self.returns.retry_after_s(
                Refused(f'{urgency}-{number}'.encode(), urgency, left_s),
                prospect,
                now_s,
            )
            for number in range(count)
        ]

    def test_no_more_return_than_there_is_room_for(self) -> None:
        """In the time that they can wait for."""
        times_s = sorted(self.refuse(4))

        for earlier_s, later_s in zip(times_s, times_s[1:], strict=False):
            self.assertGreaterEqual(later_s - earlier_s, 1 / ROOM.per_s)

    def test_many_do_not_return_together(self) -> None:
        """At most a tenth of them within a tenth of a second."""
        times_s = self.refuse(100)

        for start in range(20):
            within = [at for at in times_s if start <= at * 10 < start + 1]
            self.assertLessEqual(len(within), 12, start)

    def test_nobody_is_told_more_than_a_third_of_the_time_left(self) -> None:
        self.assertLessEqual(max(self.refuse(50, left_s=3.0)), 1.0)

    def test_levels_have_times_of_their_own(self) -> None:
        self.refuse(10, urgency=2)

        self.assertLess(self.refuse(1, urgency=0)[0], 0.5)

    def test_nobody_returns_before_an_upstream_takes_requests(self) -> None:
        retry_s = self.returns.retry_after_s(
            Refused(b'one', 1, 6.0), None, 10.0, closed_until_s=11.5
        )

        self.assertGreaterEqual(retry_s, 1.5)


class TestPlainRetry(unittest.TestCase):
    """Where no level leaves room to others."""

    def test_retry_after_is_the_expected_wait(self) -> None:
        prospect = Prospect(ahead=10, per_s=10.0, spare_per_s=0)

        self.assertAlmostEqual(plain_retry_s(prospect, 10.0, 0), 1.1)

    def test_long_queue_is_not_waited_for(self) -> None:
        """Callers wait at most a third of what they have left."""
        prospect = Prospect(ahead=60, per_s=10.0, spare_per_s=0)

        self.assertEqual(plain_retry_s(prospect, 10.0, 0), 2.0)

    def test_pause_is_waited_for(self) -> None:
        self.assertAlmostEqual(plain_retry_s(None, 10.0, 10.8), 0.8)


class TestRecognition(unittest.TestCase):
    """A caller is known when it returns as it was told."""

    def setUp(self) -> None:
        self.returns = ReturnTimes()
        self.retry_s = self.returns.retry_after_s(
            Refused(b'one', 1, 6.0), ROOM, 10.0
        )

    def test_caller_that_returns_in_time_is_known_once(self) -> None:
        at_s = 10.0 + self.retry_s

        self.assertTrue(self.returns.known.recognize(b'one', at_s))
        self.assertFalse(self.returns.known.recognize(b'one', at_s))

    def test_caller_that_does_not_wait_is_not(self) -> None:
        self.assertFalse(self.returns.known.recognize(b'one', 10.05))

    def test_other_caller_is_not(self) -> None:
        self.assertFalse(
            self.returns.known.recognize(b'two', 10.0 + self.retry_s)
        )

    def test_caller_is_forgotten(self) -> None:
        late_s = 10.1 + self.retry_s + KNOWN_S

        self.assertFalse(self.returns.known.recognize(b'one', late_s))

    def test_caller_is_known_at_another_relay(self) -> None:
        """It comes back to any of them."""
        messages = returns_to_messages(self.returns.known.recent(10.1))
        other = KnownReturns()
        other.record_told(returns_from_messages(messages), 10.1)

        self.assertTrue(other.recognize(b'one', 10.0 + self.retry_s))

    def test_relays_do_not_pass_on_what_they_were_told(self) -> None:
        other = KnownReturns()
        other.record_told({b'one': 1.0}, 10.0)

        self.assertEqual(other.recent(10.0), {})

    def test_others_are_told_for_a_short_time(self) -> None:
        self.assertEqual(self.returns.known.recent(10.0 + ANNOUNCED_S), {})
