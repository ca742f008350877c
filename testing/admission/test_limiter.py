"""Tests of the concurrency limit."""

import unittest

from bramleylug.admission.limiter import Limiter, Permit
from bramleylug.outcomes import NotRun, Reason
from testing.builders import build_spec


class TestColdStart(unittest.TestCase):
    """A restarted upstream starts with its cold limit and ramps up."""

    def setUp(self) -> None:
        self.spec = build_spec(
            concurrency=10, cold_concurrency=2, ramp_successes=4
        )
        self.limiter = Limiter()
        self.limiter.observe_boot('first')

    def test_cold_limit_holds_after_a_restart(self) -> None:
        outcomes = [self.limiter.try_acquire(self.spec) for _ in range(3)]

        self.assertEqual(outcomes[:2], [Permit('first')] * 2)
        self.assertEqual(outcomes[2].reason, Reason.overloaded)

    def test_limit_ramps_with_successes(self) -> None:
        """Half of the ramp-up gives half of the difference."""
        self._succeed(2)

        self.assertEqual(self.limiter.limit(self.spec), 6)

    def test_changed_boot_id_resets_the_ramp(self) -> None:
        self._succeed(4)
        self.limiter.observe_boot('second')

        self.assertEqual(self.limiter.limit(self.spec), 2)

    def test_success_of_an_earlier_boot_does_not_count(self) -> None:
        """A late answer says nothing about the current process."""
        permit = self.limiter.try_acquire(self.spec)
        self.limiter.observe_boot('second')
        self.limiter.release(permit, success=True)

        self.assertEqual(self.limiter.successes, 0)

    def _succeed(self, times: int) -> None:
        for _ in range(times):
            permit = self.limiter.try_acquire(self.spec)
            self.assertNotIsInstance(permit, NotRun)
            self.limiter.release(permit, success=True)
