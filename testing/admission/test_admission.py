"""Tests of the admission decisions: start, wait or refuse."""

import unittest
from typing import Any

from bramleylug.admission.admission import Admission, Refuse, Start
from bramleylug.admission.limiter import Limiter, Permit
from bramleylug.outcomes import NotRun, Reason
from testing.builders import build_arrival, build_spec


class AdmissionTestCase(unittest.TestCase):
    """Starts with a warmed-up upstream with a concurrency of 2."""

    def setUp(self) -> None:
        self.spec = build_spec(concurrency=2, ramp_successes=0)
        self.limiter = Limiter()
        self.limiter.observe_boot('first')
        self.admission = Admission(self.limiter, max_held=32)
        self.admission.service_s = 1.0

    def arrive(self, token: int, now_s: float = 0, **fields: Any) -> list[Any]:
        arrival = build_arrival(token, **fields)
        return self.admission.arrive(arrival, self.spec, now_s)

    def end(self, token: int, now_s: float = 1) -> list[Any]:
        """End a request with success."""
        return self.admission.end(token, self.spec, now_s, success=True)

    def fill(self) -> None:
        """Start two requests, so that the limit is reached."""
        self.arrive(1)
        self.arrive(2)


class TestConcurrencyLimit(AdmissionTestCase):
    """The upstream never runs more requests than its limit."""

    def test_request_below_the_limit_starts_at_once(self) -> None:
        self.assertEqual(self.arrive(1), [Start(1, Permit('first'))])

    def test_request_beyond_the_limit_waits(self) -> None:
        self.fill()

        self.assertEqual(self.arrive(3), [])

    def test_end_of_a_request_starts_the_next(self) -> None:
        self.fill()
        self.arrive(3)

        self.assertEqual(self.end(1), [Start(3, Permit('first'))])

    def test_requests_of_an_earlier_boot_do_not_count(self) -> None:
        """After a restart the whole limit is available."""
        self.fill()
        self.limiter.observe_boot('second')

        self.assertEqual(self.arrive(3), [Start(3, Permit('second'))])

    def test_boot_id_of_an_earlier_boot_is_ignored(self) -> None:
        """A late answer may still carry the earlier id."""
        self.limiter.observe_boot('second')
        self.limiter.observe_boot('first')

        self.assertEqual(self.limiter.boot_id, 'second')

    def test_crash_under_load_halves_the_limit(self) -> None:
        self.spec = build_spec(concurrency=8, ramp_successes=0)
        self.arrive(1)
        self.limiter.observe_boot('second')

        self.assertEqual(self.limiter.limit(self.spec), 4)

    def test_late_first_bytes_lower_the_limit(self) -> None:
        """Latency far above the baseline reduces the limit by a fifth."""
        self.spec = build_spec(concurrency=10, ramp_successes=0)
        adaptation = self.limiter.adaptation
        adaptation.observe_first_byte(0.1, 0)
        for _ in range(30):
            adaptation.observe_first_byte(1.0, 0.5)

        self.assertEqual(self.limiter.limit(self.spec), 8)


class TestRefusal(AdmissionTestCase):
    """Requests that cannot be served are refused early, with a retry time."""

    def test_queue_is_bounded_by_the_service_time(self) -> None:
        """A request that would wait a full service time is refused."""
        self.fill()
        self.arrive(3)

        refuse = self.arrive(4)[0]

        self.assertEqual(refuse.refusal.reason, Reason.overloaded)

    def test_retry_time_follows_the_service_rate(self) -> None:
        """At two requests a second with one waiting it is two seconds."""
        self.fill()
        self.arrive(3)

        refuse = self.arrive(8)[0]

        self.assertEqual(refuse.refusal.retry_after_s, 2.0)

    def test_request_that_would_miss_its_deadline_is_refused(self) -> None:
        """It would only take capacity from others."""
        self.fill()

        refuse = self.arrive(3, deadline_s=1.2)[0]

        self.assertEqual(refuse.refusal.reason, Reason.overloaded)

    def test_waiting_request_is_refused_at_its_deadline(self) -> None:
        """It does not wait until a running request ends."""
        self.fill()
        self.arrive(3, deadline_s=5)

        refuse = self.admission.advance(self.spec, 5.1)[0]

        self.assertEqual(refuse.refusal.reason, Reason.deadline)

    def test_bytes_held_are_bounded(self) -> None:
        """Running and waiting requests count together."""
        self.spec = build_spec(
            concurrency=8, ramp_successes=0, queue_bytes=1000
        )
        self.arrive(1, body_bytes=600)

        refuse = self.arrive(2, body_bytes=600)[0]

        self.assertIsInstance(refuse.refusal, NotRun)
        self.assertEqual(self.admission.bytes_held, 600)

    def test_request_larger_than_the_bound_is_too_large(self) -> None:
        """A retry would not help, so that it is not ``overloaded``."""
        refuse = self.arrive(1, body_bytes=self.spec.queue_bytes + 1)[0]

        self.assertEqual(refuse.refusal.reason, Reason.too_large)

    def test_running_and_waiting_requests_are_bounded(self) -> None:
        """Each holds a thread; ``max_held`` bounds them."""
        self.spec = build_spec(concurrency=64, ramp_successes=0)
        for token in range(32):
            self.arrive(token)

        self.assertIsInstance(self.arrive(32)[0], Refuse)

    def test_refuse_all_refuses_every_waiting_request(self) -> None:
        self.fill()
        self.arrive(3)
        refusal = NotRun(Reason.leaving)

        decisions = self.admission.refuse_all(refusal)

        self.assertEqual(decisions, [Refuse(3, refusal)])

    def test_cancelled_request_leaves_the_queue(self) -> None:
        self.fill()
        self.arrive(3)
        self.admission.cancel(3)

        self.assertEqual(self.admission.queue.size, 0)


class TestFairness(AdmissionTestCase):
    """Workspaces with many requests cannot starve others."""

    def setUp(self) -> None:
        """Fill the upstream and its queue from one workspace."""
        super().setUp()
        self.spec = build_spec(concurrency=4, ramp_successes=0)
        for token in range(7):
            self.arrive(token, workspace='large')

    def test_full_queue_evicts_from_the_largest_workspace(self) -> None:
        """Its newest request is refused in favour of the arrival."""
        decisions = self.arrive(10, workspace='small')

        self.assertEqual([decision.token for decision in decisions], [6])
        self.assertIsInstance(decisions[0], Refuse)

    def test_small_workspace_waits_at_most_one_round(self) -> None:
        self.arrive(10, workspace='small')
        started = [self.end(token)[0].token for token in (0, 1)]

        self.assertIn(10, started)

    def test_priority_orders_within_a_workspace(self) -> None:
        self.admission.refuse_all(NotRun(Reason.leaving))
        self.arrive(20, workspace='large')
        self.arrive(21, workspace='large', priority=5)

        self.assertEqual(self.end(0)[0].token, 21)


class TestExclusive(AdmissionTestCase):
    """A request suspected of crashing upstreams runs exclusively."""

    def test_exclusive_request_waits_until_nothing_runs(self) -> None:
        """Free capacity is not enough."""
        self.arrive(1)

        self.assertEqual(self.arrive(2, exclusive=True), [])
        self.assertEqual(self.end(1)[0].token, 2)

    def test_nothing_starts_beside_an_exclusive_request(self) -> None:
        """Otherwise a crash could not be attributed to it."""
        self.arrive(1, exclusive=True)

        self.assertEqual(self.arrive(2), [])
