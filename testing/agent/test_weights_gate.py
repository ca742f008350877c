"""Tests of the gate."""

import unittest

from bramleylug.agent.weights_gate import WeightsGate
from bramleylug.outcomes import NotRun, Reason
from bramleylug.wire.requests_pb2 import Request
from testing.builders import build_document, build_spec


class TestAnswers(unittest.TestCase):
    """An answer that contradicts the report closes the gate."""

    def setUp(self) -> None:
        """Open for one boot and one version."""
        self.gate = WeightsGate('zone-a', 'seat-fitting')
        self.gate.open('boot', 'd2')

    def test_answer_of_other_weights_closes_at_once(self) -> None:
        """The next request is refused as not run."""
        self.assertFalse(self.gate.observe_answer('d1', 'boot'))

        refused = self.gate.check(
            Request(service='seat-fitting'), build_document(build_spec())
        )

        self.assertIsInstance(refused, NotRun)
        self.assertEqual(refused.reason, Reason.weights_incomplete)

    def test_answer_of_another_boot_closes_at_once(self) -> None:
        """The engine restarted since it was opened."""
        self.assertFalse(self.gate.observe_answer('d2', 'later'))
        self.assertFalse(self.gate.is_open)

    def test_report_older_than_the_doubt_does_not_open(self) -> None:
        """It was fetched before the answer that contradicted it."""
        contradictions = self.gate.contradictions
        self.gate.observe_answer('d1', 'boot')

        self.assertFalse(self.gate.open('boot', 'd2', contradictions))
        self.assertTrue(self.gate.open('boot', 'd1', self.gate.contradictions))

    def test_answer_that_names_nothing_is_sound(self) -> None:
        """Not every upstream tells its digest."""
        self.assertTrue(self.gate.observe_answer('', ''))
        self.assertTrue(self.gate.is_open)


class TestDoubt(unittest.TestCase):
    """A host that may have missed a change takes no request."""

    def setUp(self) -> None:
        """Open the gate of a host whose configuration is in doubt."""
        self.doubt = 'paused for longer than changes take to spread'
        self.gate = WeightsGate('zone-a', 'seat-fitting')
        self.gate.open('boot', 'd2')
        self.gate.configuration_problem = lambda: self.doubt
        self.request = Request(service='seat-fitting')
        self.document = build_document(build_spec())

    def test_paused_host_refuses_until_its_revision_is_confirmed(self) -> None:
        """Its zone may have been taken out in the meantime."""
        refused = self.gate.check(self.request, self.document)

        self.assertIsInstance(refused, NotRun)
        self.assertEqual(
            (refused.reason, refused.message), (Reason.not_ready, self.doubt)
        )

    def test_confirmed_host_serves_again(self) -> None:
        """The held revision was the accepted one."""
        self.doubt = ''

        self.assertEqual(
            self.gate.check(self.request, self.document), build_spec()
        )
