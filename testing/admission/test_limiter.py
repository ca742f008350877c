"""Tests of the concurrency limit."""

import unittest

from bramleylug.admission.limiter import Admitted, Limiter
from bramleylug.outcomes import NotRun, Reason
from testing.builders import build_spec


class TestColdStart(unittest.TestCase):
    """A just-started upstream gets no more than it bears."""

    def setUp(self) -> None:
        """Start with a cold upstream."""
        self.spec = build_spec(
            concurrency=10, cold_concurrency=2, ramp_successes=4
        )
        self.limiter = Limiter()
        self.limiter.observe_boot('first')

    def test_cold_upstream_gets_its_cold_limit(self) -> None:
        """The third request is refused."""
        outcomes = [self.limiter.admit(self.spec) for _ in range(3)]

        self.assertEqual(outcomes[:2], [Admitted('first')] * 2)
        self.assertEqual(outcomes[2].reason, Reason.overloaded)

    def test_limit_ramps_with_successes(self) -> None:
        """Half of the ramp gives half of the span."""
        self._succeed(2)

        self.assertEqual(self.limiter.limit(self.spec), 6)

    def test_new_boot_is_cold_again(self) -> None:
        """A changed boot id takes the limit back."""
        self._succeed(4)
        self.limiter.observe_boot('second')

        self.assertEqual(self.limiter.limit(self.spec), 2)

    def test_success_of_an_older_boot_does_not_warm(self) -> None:
        """A late answer counts for the boot that gave it."""
        permit = self.limiter.admit(self.spec)
        self.limiter.observe_boot('second')
        self.limiter.release(permit, success=True)

        self.assertEqual(self.limiter.successes, 0)

    def _succeed(self, times: int) -> None:
        for _ in range(times):
            permit = self.limiter.admit(self.spec)
            self.assertNotIsInstance(permit, NotRun)
            self.limiter.release(permit, success=True)
