"""Tests of the retry budget and of what may be repeated."""

import unittest
from itertools import product

from bramleylug.outcomes import NotRun, Ran, Reason, Unknown
from bramleylug.routing.retries import RetryBudget, is_safe_to_retry
from bramleylug.wire.requests_pb2 import Request
from testing.builders import build_spec


class TestBudget(unittest.TestCase):
    """Retries are a share of first tries."""

    def test_failures_of_a_third_of_the_upstreams_make_no_storm(self) -> None:
        """300 first tries of which 100 fail get 62 retries."""
        budget = RetryBudget(share=0.2)
        retries = 0
        for number in range(300):
            budget.record_first_attempt()
            if number % 3 == 0:
                retries += budget.try_consume()

        self.assertEqual(retries, 62)


class TestRepeats(unittest.TestCase):
    """Only what cannot run twice is sent again."""

    def test_what_may_be_repeated(self) -> None:
        """A key or a service that is not idempotent forbids it."""
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

    def test_refusal_that_holds_everywhere_is_not_repeated(self) -> None:
        """Another agent would say the same."""
        refusal = NotRun(Reason.crash_suspect)

        self.assertFalse(is_safe_to_retry(refusal, Request(), build_spec()))
