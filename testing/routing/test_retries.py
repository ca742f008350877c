"""Tests of the retry budget and of which outcomes are retried."""

import unittest
from itertools import product

from bramleylug.outcomes import NotRun, Ran, Reason, Unknown
from bramleylug.routing.retries import RetryBudget, is_safe_to_retry
from bramleylug.wire.requests_pb2 import Request
from testing.builders import build_spec


class TestBudget(unittest.TestCase):
    """Retries are bounded to a share of first attempts."""

    def test_budget_prevents_a_retry_storm(self) -> None:
        """300 first attempts of which 100 fail get 62 retries."""
        budget = RetryBudget(share=0.2)
        retries = 0
        for number in range(300):
            budget.record_first_attempt()
            if number % 3 == 0:
                retries += budget.try_consume()

        self.assertEqual(retries, 62)


class TestSafeRetries(unittest.TestCase):
    """A request is retried only if a second run is impossible or harmless."""

    def test_safe_outcomes_by_key_and_service(self) -> None:
        """An unknown outcome needs an idempotent service and no key."""
        plain, keyed = Request(), Request(idempotency_key='k')
        idempotent, once = build_spec(), build_spec(idempotent=False)
        not_run = NotRun(Reason.overloaded)
        unknown = Unknown(Reason.answer_cut)
        cases = product(
            (not_run, unknown, Ran(200, False)),
            (plain, keyed),
            (idempotent, once),
        )
        allowed = [is_safe_to_retry(*case) for case in cases]

        self.assertEqual(allowed, [True] * 5 + [False] * 7)

    def test_refusal_that_holds_everywhere_is_not_retried(self) -> None:
        """Any other agent would refuse it, too."""
        refusal = NotRun(Reason.crash_suspect)

        self.assertFalse(is_safe_to_retry(refusal, Request(), build_spec()))
