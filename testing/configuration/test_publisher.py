"""Tests of publishing changes."""

import json
import unittest

from bramleylug.configuration.audit import read_trail
from bramleylug.configuration.document import (
    DOCUMENT_KEY,
    HISTORY_LENGTH,
    Document,
    spec_to_json,
)
from bramleylug.configuration.publisher import (
    AcceptanceUnknown,
    Accepted,
    NotAccepted,
    PublishOutcome,
    publish,
)
from bramleylug.fakes.store import FakeStoreServer
from bramleylug.store.grpc_store import GrpcStore
from bramleylug.store.store import Conflict, StoredValue
from bramleylug.wire.channels import open_channel
from bramleylug.wire.platform_pb2 import StoreFaults
from testing.builders import build_change, build_spec
from testing.configuration.model_store import ModelStore, SteppedPublisher


class TestLostAnswers(unittest.TestCase):
    """A publisher whose answer was lost finds out whether it was accepted."""

    def setUp(self) -> None:
        """Serve a fake store."""
        self.server = FakeStoreServer()
        self.server.start()
        self.addCleanup(self.server.stop)
        self.channel = open_channel(self.server.address)
        self.addCleanup(self.channel.close)
        self.store = GrpcStore(self.channel)

    def test_lost_answer_is_accepted_once(self) -> None:
        """The write took effect although its answer was lost."""
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


class PublisherTestCase(unittest.TestCase):
    """Publishes to an in-memory store."""

    def setUp(self) -> None:
        self.store = ModelStore()

    def publish(
        self, change_id: str, state: str = 'out', **options: object
    ) -> PublishOutcome:
        """Publish a state of the zone ``north``."""
        return publish(
            self.store,
            build_change(north=state),
            change_id=change_id,
            who=f'writer of {change_id}',
            when_s=1,
            **options,
        )


class TestUncertainty(PublisherTestCase):
    """Each reported outcome is true."""

    def test_delayed_write_that_may_still_take_effect_is_unknown(self) -> None:
        """The store becomes unavailable after the write was sent."""
        self.store.faults = ['none', 'late', 'refused']

        outcome = self.publish('a')

        self.assertEqual(
            outcome, AcceptanceUnknown('the store cannot be read: down')
        )

    def test_delayed_write_has_no_effect_after_a_later_version(self) -> None:
        """The rival's version makes it conflict, so the outcome is certain."""
        self.publish('first', 'out')
        late = SteppedPublisher(self.store, build_change(north='in'), 'a')
        for fault in ('none', 'none', 'none', 'none', 'late'):
            late.step(fault)
        self.publish('rival', 'in')
        self.publish('rival-2', 'out')
        for fault in ('none', 'none', 'refused'):
            late.step(fault)

        self.assertIsInstance(late.outcome, NotAccepted)
        outcome = self.store.apply(*self.store.late[0])
        self.assertIsInstance(outcome, Conflict)

    def test_repeated_id_is_accepted_once(self) -> None:
        """The first attempt took effect although it reported unknown."""
        self.store.faults = ['none', 'lost after', 'refused']
        self.assertIsInstance(self.publish('a'), AcceptanceUnknown)

        self.assertEqual(self.publish('a', repeated=True), Accepted(1))

    def test_repeated_id_refused_by_the_store_stays_unknown(self) -> None:
        """A write of the first attempt may still be under way."""
        self.store.faults = ['none', 'refused']

        outcome = self.publish('a', repeated=True)

        self.assertIsInstance(outcome, AcceptanceUnknown)

    def test_id_dropped_from_the_history_is_recognized(self) -> None:
        """Repeating it must not undo later changes."""
        self.publish('a', 'out')
        for number in range(HISTORY_LENGTH + 2):
            self.publish(f'b{number}', 'in' if number % 2 == 0 else 'out')
        self.assertIsNone(self.store.document().find_change('a'))

        self.assertEqual(self.publish('a', repeated=True), Accepted(1))

    def test_id_of_another_change_is_refused(self) -> None:
        """A change id identifies one change."""
        self.publish('a', 'out')

        outcome = self.publish('a', 'in', repeated=True)

        self.assertEqual(
            outcome,
            NotAccepted(
                'change id a was used for another change, revision 1 by '
                'writer of a; use a new id'
            ),
        )

    def test_refused_write_is_not_accepted(self) -> None:
        """The refusal says that nothing was written."""
        self.store.faults = ['none', 'refused']

        outcome = self.publish('a')

        self.assertEqual(
            outcome, NotAccepted('the store refused the write: down')
        )


class TestRaces(PublisherTestCase):
    """Concurrent publishers rebase, or are told of the conflict."""

    def test_change_of_another_zone_is_rebased(self) -> None:
        """Both changes are accepted."""
        first = SteppedPublisher(self.store, build_change(south='out'), 'a')
        first.step('none')
        self.publish('rival')
        while not first.ended:
            first.step('none')

        self.assertEqual(first.outcome, Accepted(2))
        self.assertEqual(
            dict(self.store.document().zones), {'north': 'out', 'south': 'out'}
        )

    def test_change_of_the_same_service_names_the_rival(self) -> None:
        """The message says who changed what."""
        change = build_change()
        change['services']['seat-fitting'] = spec_to_json(build_spec())
        first = SteppedPublisher(self.store, change, 'a')
        first.step('none')
        rival = build_change()
        rival['services']['seat-fitting'] = spec_to_json(build_spec(replicas=2))
        publish(self.store, rival, change_id='r', who='rival', when_s=1)
        while not first.ended:
            first.step('none')

        self.assertEqual(
            first.outcome,
            NotAccepted(
                "rival changed service 'seat-fitting' meanwhile (revision 1, "
                'change r); review it and publish again'
            ),
        )

    def test_change_since_the_given_base_is_a_conflict(self) -> None:
        """The operator decided on the difference to that base."""
        shown = self.store.document()
        self.publish('rival', 'out')

        outcome = self.publish('a', 'in', base=shown)

        self.assertEqual(
            outcome,
            NotAccepted(
                "writer of rival changed zone 'north' meanwhile (revision 1, "
                'change rival); review it and publish again'
            ),
        )

    def test_invalid_change_is_not_accepted(self) -> None:
        """The publisher validates changes of library callers, too."""
        change = build_change()
        change['services']['a'] = spec_to_json(build_spec(concurrency=0))

        outcome = publish(
            self.store, change, change_id='a', who='tester', when_s=1
        )

        self.assertIn('0 is too small; use at least 1', outcome.message)
        self.assertEqual(self.store.calls, [])

    def test_fields_of_a_later_release_are_not_lost(self) -> None:
        """An older publisher would drop them from all services."""
        self.publish('a')
        fields = json.loads(self.store.held[DOCUMENT_KEY].value)
        later = {'kind': 'plain', 'zones': ['z'], 'colour': 'red'}
        fields['services'] = {'bookings': later}
        text = json.dumps(fields).encode()
        self.store.held[DOCUMENT_KEY] = StoredValue(text, 2)

        outcome = self.publish('b', 'in')

        self.assertEqual(
            outcome,
            NotAccepted(
                'the configuration uses colour, unknown to this release; '
                'publish with a later release'
            ),
        )

    def test_document_above_one_megabyte_is_refused(self) -> None:
        """It exceeds the value size limit of the store."""
        change = build_change()
        for number in range(4000):
            name = f'service-{number}'
            change['services'][name] = spec_to_json(build_spec(name))

        outcome = publish(
            self.store, change, change_id='a', who='tester', when_s=1
        )

        self.assertIn('more than 1048576; remove services', outcome.message)
        self.assertEqual(self.store.held, {})


class TestAudit(PublisherTestCase):
    """The trail is complete even if publishers are killed."""

    def test_next_publisher_adds_the_record_of_a_killed_one(self) -> None:
        """A change has a record before the history may drop it."""
        first = SteppedPublisher(self.store, build_change(south='out'), 'a')
        first.step('none')
        first.step('none')
        first.kill()
        for number in range(HISTORY_LENGTH + 2):
            self.publish(f'b{number}', 'out' if number % 2 == 0 else 'in')

        trail = read_trail(self.store, last=0)

        self.assertEqual(trail.missing, ())
        self.assertEqual(trail.entries[0]['change_id'], 'a')
        self.assertEqual(len(trail.entries), HISTORY_LENGTH + 3)

    def test_change_requires_the_record_of_its_predecessor(
        self,
    ) -> None:
        """The history must never drop a change without a record."""
        first = SteppedPublisher(self.store, build_change(south='out'), 'a')
        first.step('none')
        first.step('none')
        first.kill()
        self.store.faults = ['none', 'none', 'refused']

        outcome = self.publish('b')

        self.assertEqual(
            outcome, NotAccepted('the audit trail cannot be written')
        )
