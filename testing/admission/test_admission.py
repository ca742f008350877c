"""Tests of who is sent, who waits and who is refused."""

import unittest
from typing import Any

from bramleylug.admission.admission import Admission, Refuse, Start
from bramleylug.admission.limiter import Admitted, Limiter
from bramleylug.outcomes import NotRun, Reason
from testing.builders import build_arrival, build_spec


class AdmissionTestCase(unittest.TestCase):
    """Starts with a warm upstream that bears two requests."""

    def setUp(self) -> None:
        """Create the admission of one upstream."""
        self.spec = build_spec(concurrency=2, ramp_successes=0)
        self.limiter = Limiter()
        self.limiter.observe_boot('first')
        self.admission = Admission(self.limiter, most_held=32)
        self.admission.service_s = 1.0

    def arrive(self, token: int, now_s: float = 0, **fields: Any) -> list[Any]:
        """Let a request come."""
        arrival = build_arrival(token, **fields)
        return self.admission.arrive(arrival, self.spec, now_s)

    def end(self, token: int, now_s: float = 1) -> list[Any]:
        """Let a request end well."""
        return self.admission.end(token, self.spec, now_s, success=True)

    def fill(self) -> None:
        """Let two requests run."""
        self.arrive(1)
        self.arrive(2)


class TestRoom(AdmissionTestCase):
    """The upstream is given no more than its limit."""

    def test_request_with_room_starts(self) -> None:
        """Nothing waits without need."""
        self.assertEqual(self.arrive(1), [Start(1, Admitted('first'))])

    def test_request_beyond_the_limit_waits(self) -> None:
        """The third gets no answer yet."""
        self.fill()

        self.assertEqual(self.arrive(3), [])

    def test_end_starts_the_next(self) -> None:
        """Room goes to who waits."""
        self.fill()
        self.arrive(3)

        self.assertEqual(self.end(1), [Start(3, Admitted('first'))])

    def test_new_boot_owes_nothing_to_the_old_one(self) -> None:
        """Requests of a dead boot hold no room."""
        self.fill()
        self.limiter.observe_boot('second')

        self.assertEqual(self.arrive(3), [Start(3, Admitted('second'))])

    def test_old_boot_is_not_taken_up_again(self) -> None:
        """A late answer names a boot that has gone."""
        self.limiter.observe_boot('second')
        self.limiter.observe_boot('first')

        self.assertEqual(self.limiter.boot_id, 'second')

    def test_death_under_load_halves_the_limit(self) -> None:
        """It bears less than was declared."""
        self.spec = build_spec(concurrency=8, ramp_successes=0)
        self.arrive(1)
        self.limiter.observe_boot('second')

        self.assertEqual(self.limiter.limit(self.spec), 4)

    def test_late_first_bytes_lower_the_limit(self) -> None:
        """A latency far above the usual one is answered."""
        self.spec = build_spec(concurrency=10, ramp_successes=0)
        adaptation = self.limiter.adaptation
        adaptation.observe_first_byte(0.1, 0)
        for _ in range(30):
            adaptation.observe_first_byte(1.0, 0.5)

        self.assertEqual(self.limiter.limit(self.spec), 8)


class TestRefusal(AdmissionTestCase):
    """What cannot make it is told at once, with a time to come back."""

    def test_queue_is_bounded_by_the_time_it_takes(self) -> None:
        """A queue of a full service time is refused."""
        self.fill()
        self.arrive(3)

        refuse = self.arrive(4)[0]

        self.assertEqual(refuse.refusal.reason, Reason.overloaded)

    def test_time_to_come_back_follows_the_service_rate(self) -> None:
        """Two requests a second, one waits: the turn is in two seconds."""
        self.fill()
        self.arrive(3)

        refuse = self.arrive(8)[0]

        self.assertEqual(refuse.refusal.retry_after_s, 2.0)

    def test_request_that_cannot_end_in_time_is_refused(self) -> None:
        """It would only take room from others."""
        self.fill()

        refuse = self.arrive(3, deadline_s=1.2)[0]

        self.assertEqual(refuse.refusal.reason, Reason.overloaded)

    def test_waiting_request_is_refused_at_its_deadline(self) -> None:
        """It is answered then, not when its turn comes."""
        self.fill()
        self.arrive(3, deadline_s=5)

        refuse = self.admission.advance(self.spec, 5.1)[0]

        self.assertEqual(refuse.refusal.reason, Reason.deadline)

    def test_bytes_held_are_bounded(self) -> None:
        """Running and waiting requests never outgrow the upstream."""
        self.spec = build_spec(
            concurrency=8, ramp_successes=0, queue_bytes=1000
        )
        self.arrive(1, body_bytes=600)

        refuse = self.arrive(2, body_bytes=600)[0]

        self.assertIsInstance(refuse.refusal, NotRun)
        self.assertEqual(self.admission.bytes_held, 600)

    def test_request_larger_than_the_bound_is_too_large(self) -> None:
        """It would never fit."""
        refuse = self.arrive(1, body_bytes=self.spec.queue_bytes + 1)[0]

        self.assertEqual(refuse.refusal.reason, Reason.too_large)

    def test_threads_are_bounded(self) -> None:
        """Requests beyond the threads for them are refused."""
        self.spec = build_spec(concurrency=64, ramp_successes=0)
        for token in range(32):
            self.arrive(token)

        self.assertIsInstance(self.arrive(32)[0], Refuse)

    def test_leaving_refuses_all_that_waits(self) -> None:
        """Elsewhere may serve it."""
        self.fill()
        self.arrive(3)
        refusal = NotRun(Reason.leaving)

        decisions = self.admission.refuse_all(refusal)

        self.assertEqual(decisions, [Refuse(3, refusal)])

    def test_caller_that_has_gone_leaves_the_queue(self) -> None:
        """Its place is free."""
        self.fill()
        self.arrive(3)
        self.admission.cancel(3)

        self.assertEqual(self.admission.queue.size, 0)


class TestFairness(AdmissionTestCase):
    """A few large workspaces cannot starve small ones."""

    def setUp(self) -> None:
        """Let one workspace fill upstream and queue."""
        super().setUp()
        self.spec = build_spec(concurrency=4, ramp_successes=0)
        for token in range(7):
            self.arrive(token, workspace='large')

    def test_full_queue_makes_room_for_a_small_workspace(self) -> None:
        """The newest of the largest is refused instead."""
        decisions = self.arrive(10, workspace='small')

        self.assertEqual([one.token for one in decisions], [6])
        self.assertIsInstance(decisions[0], Refuse)

    def test_small_workspace_waits_for_one_turn_at_most(self) -> None:
        """Turns go round the workspaces."""
        self.arrive(10, workspace='small')
        started = [self.end(token)[0].token for token in (0, 1)]

        self.assertIn(10, started)

    def test_priority_orders_within_a_workspace(self) -> None:
        """The higher one goes first."""
        self.admission.refuse_all(NotRun(Reason.leaving))
        self.arrive(20, workspace='large')
        self.arrive(21, workspace='large', priority=5)

        self.assertEqual(self.end(0)[0].token, 21)


class TestAlone(AdmissionTestCase):
    """A suspect runs while nothing else does."""

    def test_suspect_waits_until_nothing_runs(self) -> None:
        """Room alone is not enough."""
        self.arrive(1)

        self.assertEqual(self.arrive(2, alone=True), [])
        self.assertEqual(self.end(1)[0].token, 2)

    def test_nothing_starts_beside_a_suspect(self) -> None:
        """Only it would be blamed for a crash."""
        self.arrive(1, alone=True)

        self.assertEqual(self.arrive(2), [])
