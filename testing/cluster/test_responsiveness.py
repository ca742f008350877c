"""Tests of when an upstream counts as silent."""

import unittest

from bramleylug.cluster.responsiveness import HeardAgain, Responsiveness
from bramleylug.cluster.upstreams import UpstreamRegistry
from testing.relay.builders import build_upstream_record


class TestResponsiveness(unittest.TestCase):
    """Only what is received counts, and only while a request waits."""

    def test_time_before_a_request_is_not_silence(self) -> None:
        """An idle upstream has nothing to send."""
        responsiveness = Responsiveness(heard_s=10.0)

        self.assertEqual(responsiveness.quiet_s(50.0, 50.5), 0.5)

    def test_bytes_of_any_request_end_the_time(self) -> None:
        """One slow request says nothing of the upstream."""
        responsiveness = Responsiveness()
        responsiveness.record_heard(51.0)

        self.assertEqual(responsiveness.quiet_s(50.0, 51.25), 0.25)

    def test_silence_is_recorded_once(self) -> None:
        """All requests that wait there see it."""
        responsiveness = Responsiveness(heard_s=10.0)

        new = [responsiveness.record_silence(9.5) for _ in range(3)]

        self.assertEqual(new, [True, False, False])
        self.assertEqual(responsiveness.silent_since_s, 10.0)

    def test_first_byte_ends_the_silence(self) -> None:
        """It tells how long it was."""
        responsiveness = Responsiveness(heard_s=10.0)
        responsiveness.record_silence(9.5)

        heard = [responsiveness.record_heard(now_s) for now_s in (14.5, 14.75)]

        self.assertEqual(heard, [HeardAgain(4.5), None])
        self.assertFalse(responsiveness.silent)

    def test_silent_upstream_gets_nothing_while_it_has_requests(self) -> None:
        """They show when it goes on."""
        responsiveness = Responsiveness()
        responsiveness.record_silence(9.5)

        self.assertTrue(responsiveness.is_avoided(1, 100.0))

        responsiveness.record_heard(100.0)

        self.assertFalse(responsiveness.is_avoided(1, 100.0))

    def test_silent_upstream_without_requests_gets_one_later(self) -> None:
        """Nothing else could show that it has gone on."""
        responsiveness = Responsiveness()
        responsiveness.record_silence(9.5)
        responsiveness.record_ended(12.0)

        avoided = [responsiveness.is_avoided(0, at_s) for at_s in (13.9, 14.0)]

        self.assertEqual(avoided, [True, False])

    def test_slots_of_ended_requests_are_not_free_at_once(self) -> None:
        """A silent upstream has not noticed that its callers left."""
        responsiveness = Responsiveness()
        responsiveness.record_ended(9.0)
        responsiveness.record_silence(9.5)
        responsiveness.record_ended(12.0)
        responsiveness.record_ended(12.5)

        running = [
            responsiveness.abandoned_running(at_s) for at_s in (12.5, 14.5)
        ]

        self.assertEqual(running, [2, 0])

    def test_slots_of_ended_requests_are_free_when_it_is_heard(self) -> None:
        """It reads then that their callers have left."""
        responsiveness = Responsiveness()
        responsiveness.record_silence(9.5)
        responsiveness.record_ended(12.0)
        responsiveness.record_heard(12.5)

        self.assertEqual(responsiveness.abandoned_running(12.5), 0)

    def test_new_incarnation_is_not_silent(self) -> None:
        """Bytes of the previous one say nothing of it."""
        registry = UpstreamRegistry()
        upstream = registry.register(build_upstream_record())
        previous = upstream.responsiveness
        previous.record_silence(9.5)

        registry.register(build_upstream_record(started_ms=2000))

        self.assertFalse(upstream.responsiveness.silent)
        self.assertIsNot(upstream.responsiveness, previous)
