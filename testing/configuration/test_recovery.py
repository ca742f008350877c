"""Tests that the revision only increases, whatever store and peers return."""

import unittest
from dataclasses import replace

from bramleylug.configuration.document import Document
from bramleylug.configuration.holder import ConfigurationHolder
from bramleylug.configuration.recovery import restore
from bramleylug.configuration.startup import StartupConfirmation
from bramleylug.node.synchronization import answer_pull, build_pull
from testing.builders import build_change


def build_history(*ids: str, start: Document | None = None) -> Document:
    """Return a document with one change per id, each taking out a zone."""
    document = start or Document()
    for change_id in ids:
        document = replace(document, archived=document.revision)
        document = document.with_change(
            build_change(**{f'zone-{change_id}': 'out'}),
            change_id=change_id,
            who='tester',
            when_s=1,
        )
    return document


def fail(document: Document) -> None:
    """Fail as a broken listener does."""
    raise ValueError(document.revision)


def build_holder(document: Document) -> ConfigurationHolder:
    """Return a holder with a document in force."""
    holder = ConfigurationHolder(lambda: 1)
    holder.apply_document(document)
    return holder


class TestHolder(unittest.TestCase):
    """No lower revision, fork or other lineage is ever applied."""

    def test_lower_revision_is_refused(self) -> None:
        """A peer that lags behind has no effect."""
        holder = build_holder(build_history('a', 'b'))

        self.assertFalse(holder.apply_document(build_history('a')))
        self.assertEqual(holder.document.revision, 2)

    def test_other_lineage_is_refused(self) -> None:
        """Revisions of different histories cannot be compared."""
        holder = build_holder(build_history('a'))

        self.assertFalse(holder.apply_document(build_history('x', 'y', 'z')))

    def test_fork_is_refused(self) -> None:
        """The fork lacks a change that is in force."""
        first = build_history('a')
        holder = build_holder(build_history('b', start=first))

        fork = build_history('x', 'y', start=first)

        self.assertFalse(holder.apply_document(fork))

    def test_failing_listener_does_not_stop_the_others(self) -> None:
        """The next listener is still notified."""
        notified: list[int] = []
        holder = ConfigurationHolder(lambda: 1)
        holder.on_change.append(fail)
        holder.on_change.append(lambda document: notified.append(1))

        holder.apply_document(build_history('a'))

        self.assertEqual(notified, [1])


class TestDeltas(unittest.TestCase):
    """A gap is closed by changes, else by the full document."""

    def test_only_missing_changes_are_sent(self) -> None:
        """The caller is on the same history."""
        behind = build_history('a')
        ahead = build_holder(build_history('b', 'c', start=behind))

        reply = answer_pull(ahead, build_pull(behind))

        self.assertEqual([delta.revision for delta in reply.deltas], [2, 3])
        self.assertEqual(reply.document, b'')

    def test_caller_on_a_fork_gets_the_full_document(self) -> None:
        """Changes applied to another base would give another result."""
        first = build_history('a')
        ahead = build_holder(build_history('b', 'c', start=first))

        reply = answer_pull(ahead, build_pull(build_history('x', start=first)))

        self.assertEqual(len(reply.deltas), 0)
        self.assertEqual(Document.from_json(reply.document), ahead.document)

    def test_caller_behind_the_history_gets_the_full_document(self) -> None:
        """The history is bounded."""
        holder = build_holder(build_history(*map(str, range(200))))
        behind = build_history('0')

        reply = answer_pull(holder, build_pull(behind))

        self.assertEqual(len(reply.deltas), 0)
        self.assertEqual(Document.from_json(reply.document).revision, 200)


class TestRestore(unittest.TestCase):
    """Changes that the store lost are written back."""

    def test_rolled_back_store_gets_the_held_document(self) -> None:
        """The held document is the accepted one."""
        held = build_history('a', 'b', 'c')

        restored = restore(held, build_history('a'))

        self.assertEqual(restored.history, held.history)
        self.assertEqual(restored.revision, 3)
        self.assertEqual(restored.zones, held.zones)

    def test_emptied_store_gets_the_held_document(self) -> None:
        """A store without a document has lost all changes."""
        held = build_history('a', 'b')

        restored = restore(held, Document())

        self.assertEqual(restored.revision, 2)
        self.assertEqual(restored.zones, held.zones)

    def test_change_accepted_after_the_rollback_is_kept(self) -> None:
        """It becomes a later revision, so that neither side is lost."""
        first = build_history('a')
        held = build_history('b', start=first)

        restored = restore(held, build_history('x', 'y', start=first))

        self.assertEqual(
            [entry['change_id'] for entry in restored.history],
            ['a', 'b', 'x', 'y'],
        )
        self.assertEqual(restored.revision, 4)
        self.assertEqual(
            set(restored.zones), {'zone-a', 'zone-b', 'zone-x', 'zone-y'}
        )

    def test_holder_on_the_fork_accepts_the_restored_document(self) -> None:
        """The document contains the last change that the holder had."""
        first = build_history('a')
        fork = build_history('x', 'y', start=first)
        restored = restore(build_history('b', start=first), fork)

        self.assertTrue(build_holder(fork).apply_document(restored))

    def test_store_that_is_ahead_is_not_changed(self) -> None:
        """It has lost nothing."""
        held = build_history('a')

        self.assertIsNone(restore(held, build_history('b', start=held)))

    def test_store_with_another_lineage_is_not_changed(self) -> None:
        """An operator must resolve it."""
        self.assertIsNone(restore(build_history('a', 'b'), build_history('x')))


class TestStartupConfirmation(unittest.TestCase):
    """A configuration is confirmed by the store or by enough peers."""

    def setUp(self) -> None:
        self.confirmation = StartupConfirmation(0)

    def unconfirmed_reason(
        self, now_s: float, others: int, held: int, highest: int
    ) -> str:
        return self.confirmation.unconfirmed_reason(
            now_s, others=others, held=held, highest=highest
        )

    def test_without_store_and_peers_nothing_is_confirmed(self) -> None:
        """Not even after an hour."""
        self.assertEqual(
            self.unconfirmed_reason(3600, 0, 5, 5),
            'neither the store nor a peer has answered yet',
        )

    def test_store_down_needs_several_peers(self) -> None:
        """A single peer may lag behind."""
        self.confirmation.answered.update(('a', 'b'))
        self.assertEqual(
            self.unconfirmed_reason(2, 9, 5, 5),
            'the store is down; 2 of 3 peers reported their revision',
        )

        self.confirmation.answered.add('c')

        self.assertEqual(self.unconfirmed_reason(2, 9, 5, 5), '')

    def test_higher_reported_revision_is_waited_for(self) -> None:
        """Even if a store with an older revision has answered."""
        self.confirmation.store_answered = True

        self.assertEqual(
            self.unconfirmed_reason(9, 9, 5, 6),
            'revision 6 is accepted, but 5 is in force',
        )

    def test_answer_of_the_store_confirms(self) -> None:
        """At once if a peer is known, else after the grace period."""
        self.confirmation.store_answered = True

        self.assertEqual(self.unconfirmed_reason(0, 1, 5, 5), '')
        self.assertEqual(
            self.unconfirmed_reason(0, 0, 5, 5), 'no peer is known yet'
        )
        self.assertEqual(self.unconfirmed_reason(1, 0, 5, 5), '')
