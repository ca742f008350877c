"""Tests of publication."""

import unittest

from bramleylug.configuration.document import DOCUMENT_KEY, Document
from bramleylug.configuration.publisher import Accepted, publish
from bramleylug.platform.grpc_store import GrpcStore
from bramleylug.fakes.store import FakeStoreServer
from bramleylug.wire.channels import open_channel
from bramleylug.wire.platform_pb2 import StoreFaults
from testing.builders import build_change


class TestLostAnswers(unittest.TestCase):
    """A writer whose answer was lost learns whether it took effect."""

    def setUp(self) -> None:
        """Serve a store."""
        self.server = FakeStoreServer()
        self.server.start()
        self.addCleanup(self.server.stop)
        self.channel = open_channel(self.server.address)
        self.addCleanup(self.channel.close)
        self.store = GrpcStore(self.channel)

    def test_lost_answer_is_accepted_once(self) -> None:
        """The change took effect although its answer was lost."""
        self.server.store.SetFaults(StoreFaults(lose_answers=1), None)

        outcome = publish(
            self.store,
            build_change(north='out'),
            change_id='a',
            who='tester',
            when_s=1,
        )

        self.assertEqual(outcome, Accepted(1))
        stored = self.store.read(DOCUMENT_KEY, timeout_s=1)
        self.assertEqual(Document.from_json(stored.value).revision, 1)
