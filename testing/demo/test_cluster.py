"""End-to-end test: publication, weight distribution, request, answer."""

import json
import unittest
import uuid
from pathlib import Path

from bramleylug.configuration.document import Change
from bramleylug.configuration.files import read_service_files
from bramleylug.configuration.publisher import Accepted, publish
from bramleylug.demo.cluster import MODEL_SERVICE, EmbeddedCluster
from bramleylug.demo.scenario import FIRST_VERSION, MODEL
from bramleylug.demo.traffic import generate, post

EXAMPLES = Path(__file__).parents[2] / 'examples'
# Two full chunks and a partial one.
MODEL_BYTES = 2 * 1024 * 1024 + 5
READY_TIMEOUT_S = 60


class TestEndToEnd(unittest.TestCase):
    """Requests to the demonstration cluster with the example services."""

    @classmethod
    def setUpClass(cls) -> None:
        """Publish the examples to a running cluster; wait until it is ready."""
        cls.cluster = EmbeddedCluster()
        cls.cluster.start()
        cls.addClassCleanup(cls.cluster.stop)
        cls.manifest = cls.cluster.origin.add_version(
            MODEL, FIRST_VERSION, MODEL_BYTES
        )
        cls.publish(read_service_files([EXAMPLES]).to_change())
        cls.cluster.wait_until(cls.all_agents_ready, READY_TIMEOUT_S)

    @classmethod
    def publish(cls, change: Change) -> None:
        """Publish a change; fail unless it is accepted."""
        outcome = publish(
            cls.cluster.store,
            change,
            change_id=uuid.uuid4().hex,
            who='test',
            when_s=0,
        )
        if not isinstance(outcome, Accepted):
            raise AssertionError(outcome)

    @classmethod
    def all_agents_ready(cls) -> bool:
        """Return whether every entry sees all agents as ready."""
        return all(
            sum(
                state.ready
                for member in entry.node.members
                for state in member.services
            )
            == len(cls.cluster.agents)
            for entry in cls.cluster.entries
        )

    def test_answer_is_complete_and_names_published_weights(self) -> None:
        """Every token names the digest of the published version."""
        call = generate(self.cluster.entries[0].web.address, MODEL_SERVICE)

        self.assertEqual(call.result, 'answered')
        self.assertEqual(call.digests, {self.manifest.digest})

    def test_unknown_service_is_refused_as_not_run(self) -> None:
        """The response body says that the request did not run."""
        status, text = post(
            self.cluster.entries[0].web.address, '/v1/services/nope/x', '', {}
        )

        self.assertEqual(status, 404)
        self.assertEqual(json.loads(text)['run'], 'not_run')
        self.assertEqual(json.loads(text)['code'], 'unknown_service')

    def test_booking_answer_contains_its_request(self) -> None:
        """The answer contains the request body as sent."""
        status, text = post(
            self.cluster.entries[1].web.address,
            '/v1/services/bookings/bookings',
            '{"seat": 7}',
            {'Idempotency-Key': 'one'},
        )

        self.assertEqual(status, 200)
        self.assertEqual(json.loads(text)['request'], '{"seat": 7}')
