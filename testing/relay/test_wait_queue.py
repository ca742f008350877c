"""Tests of the wait queue of one service."""

import unittest

from bramleylug.admission.queue import Arrival
from bramleylug.relay.wait_queue import Refuse, Wait, WaitQueue
from testing.relay.load_simulation import LoadSimulation


class TestWaitQueue(unittest.TestCase):
    """A request waits only if a slot is likely to be freed in time."""

    def setUp(self) -> None:
        """Record ten completions per second."""
        self.queue = WaitQueue()
        for step in range(20):
            self.queue.record_completion(8.0 + step / 10)

    def push_requests(self, count):
        for token in range(count):
            self.queue.push(Arrival(token, 'garage', 0, 0, 20.0))

    def test_completion_rate(self) -> None:
        """The rate is taken from the completions of the last seconds."""
        self.assertAlmostEqual(self.queue.completions_per_s(10.0), 10, delta=1)

    def test_request_waits_for_a_part_of_its_objective(self) -> None:
        """The rest is needed to process the prompt."""
        decision = self.queue.decide(0.4, 5.0, 10.0)

        self.assertEqual(decision, Wait(10.24))

    def test_long_queue_refuses_immediately(self) -> None:
        """Behind 30 other requests the wait would be 3 s."""
        self.push_requests(30)

        decision = self.queue.decide(0.4, 5.0, 10.0)

        self.assertEqual(decision, Refuse(2.0))

    def test_retry_after_is_the_expected_wait(self) -> None:
        """Ten waiting requests take about a second."""
        self.push_requests(10)

        self.assertAlmostEqual(self.queue.retry_after_s(10.0), 1.1, delta=0.15)

    def test_request_without_time_left_is_refused(self) -> None:
        """A request does not wait beyond its deadline."""
        self.assertIsInstance(self.queue.decide(0.4, 0.0, 10.0), Refuse)

    def test_first_requests_of_a_service_may_wait(self) -> None:
        """Without completions the expected wait is unknown."""
        self.assertIsInstance(WaitQueue().decide(0.4, 5.0, 0.0), Wait)

    def test_old_completions_are_ignored(self) -> None:
        """A service without recent completions has no rate."""
        self.assertEqual(self.queue.completions_per_s(20.0), 0)
        self.assertIsNone(self.queue.expected_wait_s(20.0))


class TestOverload(unittest.TestCase):
    """At twice the capacity, callers are refused immediately."""

    def setUp(self) -> None:
        """Simulate 160 requests per second with slots for 80."""
        self.load = LoadSimulation(slots=80, hold_s=1.0)
        self.load.run(160, 20.0)

    def test_waits_stay_within_the_objective(self) -> None:
        """No request waits too long, and few wait and are then refused."""
        refused_late = sum(waited > 0 for waited in self.load.refusals)

        self.assertLessEqual(max(self.load.waits), 0.24)
        self.assertLess(refused_late / len(self.load.refusals), 0.1)

    def test_slots_stay_in_use(self) -> None:
        """Refusals cost no throughput: more than 95 % of slots are used."""
        self.assertGreater(len(self.load.waits), 0.95 * 80 * 20)

    def test_no_refusals_below_capacity(self) -> None:
        """At 80 % of the capacity all requests are served."""
        load = LoadSimulation(slots=80, hold_s=1.0)
        load.run(64, 20.0)

        self.assertEqual(load.refusals, [])
