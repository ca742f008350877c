"""Tests of who waits for a slot, how long and in which order."""

import unittest

from bramleylug.scheduling.levels import Prospect
from bramleylug.scheduling.waiting import (
    CompletionRate,
    Limits,
    Refuse,
    UpstreamTimes,
    Wait,
    Waiting,
    WaitingLine,
    decide,
)
from testing.scheduling.load_simulation import LoadSimulation

# A request that arrived at 10 s, with an objective of 0.4 s.
LIMITS = Limits(in_time_s=10.24, whole_s=14.0)


class TestCompletionRate(unittest.TestCase):
    """Ten completions per second."""

    def setUp(self) -> None:
        self.rate = CompletionRate()
        for step in range(20):
            self.rate.record(8.0 + step / 10)

    def test_rate_is_that_of_the_last_seconds(self) -> None:
        self.assertAlmostEqual(self.rate.per_s(10.0), 10, delta=1)

    def test_old_completions_are_ignored(self) -> None:
        self.assertEqual(self.rate.per_s(20.0), 0)


class TestLimits(unittest.TestCase):
    """When a request must get its slot."""

    def test_part_of_the_objective_is_for_the_upstream(self) -> None:
        """As long as nothing is known of it."""
        limits = UpstreamTimes().limits(10.0, 0.4, 16.0)

        self.assertAlmostEqual(limits.in_time_s, 10.24)
        self.assertAlmostEqual(limits.whole_s, 13.0)

    def test_times_of_earlier_requests_count(self) -> None:
        times = UpstreamTimes()
        times.record(0.15, 2.0)
        limits = times.limits(10.0, 0.4, 16.0)

        self.assertAlmostEqual(limits.in_time_s, 10.25)
        self.assertAlmostEqual(limits.whole_s, 14.0)

    def test_slow_upstreams_leave_half_of_the_objective(self) -> None:
        """They may be slow for a moment only."""
        times = UpstreamTimes()
        times.record(1.5, 3.0)

        self.assertAlmostEqual(times.limits(10.0, 0.4, 16.0).in_time_s, 10.2)


class TestDecision(unittest.TestCase):
    """A request waits only for a slot that is of use to its caller."""

    def test_request_waits_while_it_can_be_in_time(self) -> None:
        prospect = Prospect(ahead=0, per_s=10, spare_per_s=0)

        self.assertEqual(decide(LIMITS, prospect, 10.0), Wait(10.24))

    def test_long_queue_refuses_at_once(self) -> None:
        """Behind 30 others the wait would be 3 s, and more arrive."""
        prospect = Prospect(ahead=30, per_s=10, spare_per_s=0)

        self.assertIsInstance(decide(LIMITS, prospect, 10.0), Refuse)

    def test_late_request_waits_for_what_is_left_over(self) -> None:
        """It is whole before its caller leaves."""
        prospect = Prospect(ahead=5, per_s=10, spare_per_s=8)
        decision = decide(LIMITS, prospect, 10.0)

        self.assertIsInstance(decision, Wait)
        self.assertFalse(decision.in_time)
        self.assertLessEqual(decision.until_s, LIMITS.whole_s)

    def test_request_that_could_not_be_whole_is_refused(self) -> None:
        prospect = Prospect(ahead=0, per_s=10, spare_per_s=8)

        self.assertIsInstance(decide(LIMITS, prospect, 14.1), Refuse)

    def test_first_requests_of_a_service_may_wait(self) -> None:
        """Nothing is known of how long."""
        self.assertIsInstance(decide(LIMITS, None, 10.0), Wait)
        self.assertIsInstance(decide(LIMITS, None, 10.3), Refuse)

    def test_request_waits_for_a_pause_that_ends_in_time(self) -> None:
        prospect = Prospect(ahead=0, per_s=10, spare_per_s=0)

        self.assertIsInstance(decide(LIMITS, prospect, 10.0, 10.1), Wait)
        self.assertEqual(decide(LIMITS, prospect, 10.0, 10.3), Refuse(10.3))


class TestOrder(unittest.TestCase):
    """Which of those that wait gets the next slot."""

    def setUp(self) -> None:
        self.line = WaitingLine()

    def push(self, token, urgency=1, in_time_s=11.0, **fields):
        self.line.push(
            Waiting(
                token,
                fields.pop('workspace', 'garage'),
                urgency,
                Limits(in_time_s, 14.0),
                **fields,
            )
        )

    def order(self, starved=(), refused=(), now_s=10.0):
        def admits(urgency):
            return urgency not in refused

        def rank(urgency):
            return urgency not in starved, urgency

        tokens = []
        while waiting := self.line.pop(now_s, admits, rank):
            tokens.append(waiting.token)
        return tokens

    def test_most_urgent_goes_first(self) -> None:
        self.push(1, urgency=2)
        self.push(2, urgency=0)

        self.assertEqual(self.order(), [2, 1])

    def test_level_below_its_guarantee_goes_first(self) -> None:
        self.push(1, urgency=0)
        self.push(2, urgency=2)

        self.assertEqual(self.order(starved={2}), [2, 1])

    def test_level_without_room_waits_on(self) -> None:
        self.push(1, urgency=2)
        self.push(2, urgency=0)

        self.assertEqual(self.order(refused={2}), [2])
        self.assertEqual(self.line.size, 1)

    def test_returned_caller_goes_before_new_ones_of_its_level(self) -> None:
        self.push(1)
        self.push(2, returned=True)
        self.push(3, urgency=0)

        self.assertEqual(self.order(), [3, 2, 1])

    def test_request_that_can_be_in_time_goes_before_late_ones(self) -> None:
        self.push(1, in_time_s=9.5)
        self.push(2, in_time_s=10.5)

        self.assertEqual(self.order(), [2, 1])

    def test_earliest_limit_goes_first(self) -> None:
        self.push(1, in_time_s=10.9)
        self.push(2, in_time_s=10.2)

        self.assertEqual(self.order(), [2, 1])

    def test_workspaces_take_turns(self) -> None:
        """One with many requests does not hold up another one."""
        for token in range(3):
            self.push(token)
        self.push(3, workspace='bakery', in_time_s=12.0)

        self.assertIn(3, self.order()[:2])

    def test_new_request_goes_before_less_urgent_ones(self) -> None:
        self.push(1, urgency=2)

        def rank(urgency):
            return True, urgency

        self.assertFalse(self.line.precedes(0, rank))
        self.assertTrue(self.line.precedes(2, rank))


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
