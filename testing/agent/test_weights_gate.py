"""Tests of the weights gate."""

import unittest

from bramleylug.agent.weights_gate import WeightsGate
from bramleylug.outcomes import NotRun, Reason
from bramleylug.wire.requests_pb2 import Request
from testing.builders import build_document, build_spec


class TestAnswers(unittest.TestCase):
    """An answer that contradicts the engine's report closes the gate."""

    def setUp(self) -> None:
        """Open the gate for one boot id and one version."""
        self.gate = WeightsGate('zone-a', 'seat-fitting')
        self.gate.open('boot', 'd2')

    def test_answer_of_other_weights_closes_at_once(self) -> None:
        """The next request is refused without running."""
        self.assertFalse(self.gate.observe_answer('d1', 'boot'))

        refused = self.gate.check(
            Request(service='seat-fitting'), build_document(build_spec())
        )

        self.assertIsInstance(refused, NotRun)
        self.assertEqual(refused.reason, Reason.weights_incomplete)

    def test_answer_of_another_boot_closes_at_once(self) -> None:
        """The engine restarted after the gate was opened."""
        self.assertFalse(self.gate.observe_answer('d2', 'later'))
        self.assertFalse(self.gate.is_open)

    def test_report_older_than_the_contradiction_does_not_open(self) -> None:
        """It was requested before the answer that contradicted it."""
        contradictions = self.gate.contradictions
        self.gate.observe_answer('d1', 'boot')

        self.assertFalse(self.gate.open('boot', 'd2', contradictions))
        self.assertTrue(self.gate.open('boot', 'd1', self.gate.contradictions))

    def test_answer_without_digest_and_boot_id_passes(self) -> None:
        """Not every upstream reports them."""
        self.assertTrue(self.gate.observe_answer('', ''))
        self.assertTrue(self.gate.is_open)


class TestConfigurationProblem(unittest.TestCase):
    """A host that may have missed a change admits no request."""

    def setUp(self) -> None:
        """Open the gate of a host whose configuration is unconfirmed."""
        self.problem = 'paused for longer than changes take to spread'
        self.gate = WeightsGate('zone-a', 'seat-fitting')
        self.gate.open('boot', 'd2')
        self.gate.configuration_problem = lambda: self.problem
        self.request = Request(service='seat-fitting')
        self.document = build_document(build_spec())

    def test_paused_host_refuses_until_its_revision_is_confirmed(self) -> None:
        """Its zone may have been taken out of service in the meantime."""
        refused = self.gate.check(self.request, self.document)

        self.assertIsInstance(refused, NotRun)
        self.assertEqual(
            (refused.reason, refused.message), (Reason.not_ready, self.problem)
        )

    def test_confirmed_host_serves_again(self) -> None:
        """Its revision was the accepted one."""
        self.problem = ''

        self.assertEqual(
            self.gate.check(self.request, self.document), build_spec()
        )
