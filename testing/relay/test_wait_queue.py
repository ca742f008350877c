"""Tests of waiting and refusing, at the load of one service."""

import unittest

from bramleylug.admission.queue import Arrival
from bramleylug.relay.wait_queue import Refuse, Wait, WaitQueue
from testing.relay.load_simulation import LoadPlay


class TestWaitingRoom(unittest.TestCase):
    """A request waits only where room is likely to come in time."""

    def setUp(self) -> None:
        """Let ten requests a second complete."""
        self.room = WaitQueue()
        for step in range(20):
            self.room.note_completion(8.0 + step / 10)

    def wait_for(self, count):
        """Let some requests wait."""
        for token in range(count):
            self.room.push(Arrival(token, 'garage', 0, 0, 20.0))

    def test_rate_is_measured(self) -> None:
        """Completions of the last seconds count."""
        self.assertAlmostEqual(self.room.drain_per_s(10.0), 10, delta=1)

    def test_request_waits_for_a_part_of_its_objective(self) -> None:
        """The rest is needed to read the prompt."""
        verdict = self.room.judge(0.4, 5.0, 10.0)

        self.assertEqual(verdict, Wait(10.24))

    def test_request_without_hope_is_refused_at_once(self) -> None:
        """Behind thirty others it would wait for three seconds."""
        self.wait_for(30)

        verdict = self.room.judge(0.4, 5.0, 10.0)

        self.assertEqual(verdict, Refuse(2.0))

    def test_caller_is_told_when_the_line_has_passed(self) -> None:
        """Ten waiting requests take about a second."""
        self.wait_for(10)

        self.assertAlmostEqual(self.room.return_s(10.0), 1.1, delta=0.15)

    def test_request_without_time_left_is_refused(self) -> None:
        """Nobody waits until the deadline has passed."""
        self.assertIsInstance(self.room.judge(0.4, 0.0, 10.0), Refuse)

    def test_first_requests_of_a_service_may_wait(self) -> None:
        """Without completions nothing speaks against it."""
        self.assertIsInstance(WaitQueue().judge(0.4, 5.0, 0.0), Wait)

    def test_old_completions_do_not_count(self) -> None:
        """A service that stands still has no rate."""
        self.assertEqual(self.room.drain_per_s(20.0), 0)
        self.assertIsNone(self.room.expected_wait_s(20.0))


class TestOverload(unittest.TestCase):
    """At twice the load that is borne, callers hear at once."""

    def setUp(self) -> None:
        """Play 160 requests a second against slots for 80."""
        self.load = LoadPlay(slots=80, hold_s=1.0)
        self.load.play(160, 20.0)

    def test_admitted_requests_keep_their_objective(self) -> None:
        """Nobody waits longer than its patience, and few wait in vain."""
        in_vain = sum(waited > 0 for waited in self.load.refusals)

        self.assertLessEqual(max(self.load.waits), 0.24)
        self.assertLess(in_vain / len(self.load.refusals), 0.1)

    def test_slots_stay_full(self) -> None:
        """Refusing costs no throughput: 95 in 100 slots are used."""
        self.assertGreater(len(self.load.waits), 0.95 * 80 * 20)

    def test_nobody_is_refused_below_capacity(self) -> None:
        """At 80 in 100 of what is borne all are served."""
        load = LoadPlay(slots=80, hold_s=1.0)
        load.play(64, 20.0)

        self.assertEqual(load.refusals, [])
