"""Tests of the retry budget of all relays."""

import unittest

from bramleylug.relay.retry_budget import SharedRetryBudget

SHARE = 0.2
RESERVE = 100.0


class TestSharedRetryBudget(unittest.TestCase):
    """The retries of all relays stay below the bound in any window."""

    def setUp(self) -> None:
        """Have six relays."""
        self.now_s = 0.0
        self.budgets = [self.build() for _ in range(6)]

    def build(self):
        """Return the budget of one of six relays."""
        return SharedRetryBudget(SHARE, RESERVE, lambda: 6, lambda: self.now_s)

    def test_bound_holds_when_everything_fails(self) -> None:
        """Each relay retries whenever it may, at 40 requests a second."""
        granted: list[float] = []
        firsts: list[float] = []
        for step in range(1200):
            self.now_s = step / 40
            budget = self.budgets[step % 6]
            budget.first_try('advisor')
            firsts.append(self.now_s)
            if budget.take('advisor'):
                granted.append(self.now_s)

        for end_s in range(10, 30):
            retries = sum(end_s - 10 < at_s <= end_s for at_s in granted)
            requests = sum(end_s - 10 < at_s <= end_s for at_s in firsts)
            self.assertLessEqual(retries, SHARE * requests + RESERVE)

    def test_skewed_load_still_has_retries(self) -> None:
        """One busy relay may use its share and its part of the reserve."""
        budget = self.budgets[0]
        for _ in range(100):
            budget.first_try('advisor')

        granted = sum(budget.take('advisor') for _ in range(100))

        self.assertEqual(granted, 26)

    def test_services_have_budgets_of_their_own(self) -> None:
        """A failing service does not use up another's retries."""
        for _ in range(50):
            self.budgets[0].take('advisor')

        self.assertTrue(self.budgets[0].take('bookings'))

    def test_window_slides(self) -> None:
        """What was spent comes back after the window."""
        for _ in range(100):
            self.budgets[0].take('advisor')
        self.assertFalse(self.budgets[0].take('advisor'))
        self.now_s = 10.1

        self.assertTrue(self.budgets[0].take('advisor'))
