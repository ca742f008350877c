"""Tests of the retry budget that all relays share."""

import unittest

from bramleylug.relay.retry_budget import SharedRetryBudget

SHARE = 0.2
RESERVE = 100.0


class TestSharedRetryBudget(unittest.TestCase):
    """The retries of all relays stay within the limit in any window."""

    def setUp(self) -> None:
        """Build the budgets of six relays."""
        self.now_s = 0.0
        self.budgets = [self.build() for _ in range(6)]

    def build(self):
        return SharedRetryBudget(SHARE, RESERVE, lambda: 6, lambda: self.now_s)

    def test_limit_holds_when_every_request_fails(self) -> None:
        """Each relay retries whenever allowed, at 40 requests per second."""
        granted: list[float] = []
        first_attempts: list[float] = []
        for step in range(1200):
            self.now_s = step / 40
            budget = self.budgets[step % 6]
            budget.record_first_attempt('advisor')
            first_attempts.append(self.now_s)
            if budget.consume('advisor'):
                granted.append(self.now_s)

        for end_s in range(10, 30):
            retries = sum(end_s - 10 < at_s <= end_s for at_s in granted)
            requests = sum(
                end_s - 10 < at_s <= end_s for at_s in first_attempts
            )
            self.assertLessEqual(retries, SHARE * requests + RESERVE)

    def test_skewed_load_still_has_retries(self) -> None:
        """One busy relay may use its share and its part of the reserve."""
        budget = self.budgets[0]
        for _ in range(100):
            budget.record_first_attempt('advisor')

        granted = sum(budget.consume('advisor') for _ in range(100))

        self.assertEqual(granted, 26)

    def test_services_have_separate_budgets(self) -> None:
        """A failing service does not use up the retries of another."""
        for _ in range(50):
            self.budgets[0].consume('advisor')

        self.assertTrue(self.budgets[0].consume('bookings'))

    def test_window_slides(self) -> None:
        """Retries are allowed again once earlier ones leave the window."""
        for _ in range(100):
            self.budgets[0].consume('advisor')
        self.assertFalse(self.budgets[0].consume('advisor'))
        self.now_s = 10.1

        self.assertTrue(self.budgets[0].consume('advisor'))
