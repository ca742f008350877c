"""Tests of revisions that only rise, whatever a store or a peer tells."""

import unittest
from dataclasses import replace

from bramleylug.configuration.document import Document
from bramleylug.configuration.holder import ConfigurationHolder
from bramleylug.configuration.recovery import restore
from bramleylug.configuration.startup import Startup
from bramleylug.node.synchronization import answer_pull, build_pull
from testing.builders import build_change


def build_history(*ids: str, start: Document | None = None) -> Document:
    """Return a document after one change an id, zones ``out`` in turn."""
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
    """Fail as a listener with a fault would."""
    raise ValueError(document.revision)


def build_holder(document: Document) -> ConfigurationHolder:
    """Return a holder with a document in force."""
    holder = ConfigurationHolder(lambda: 1)
    holder.apply_document(document)
    return holder


class TestHolder(unittest.TestCase):
    """No lower revision, fork or other lineage is ever applied."""

    def test_lower_revision_is_refused(self) -> None:
        """A peer that lies behind changes nothing."""
        holder = build_holder(build_history('a', 'b'))

        self.assertFalse(holder.apply_document(build_history('a')))
        self.assertEqual(holder.document.revision, 2)

    def test_other_lineage_is_refused(self) -> None:
        """A higher number of another history is no later revision."""
        holder = build_holder(build_history('a'))

        self.assertFalse(holder.apply_document(build_history('x', 'y', 'z')))

    def test_fork_is_refused(self) -> None:
        """It lacks a change that is in force."""
        first = build_history('a')
        holder = build_holder(build_history('b', start=first))

        fork = build_history('x', 'y', start=first)

        self.assertFalse(holder.apply_document(fork))

    def test_listener_that_fails_stops_nothing(self) -> None:
        """The next listener still hears of the revision."""
        heard: list[int] = []
        holder = ConfigurationHolder(lambda: 1)
        holder.on_change.append(fail)
        holder.on_change.append(lambda document: heard.append(1))

        holder.apply_document(build_history('a'))

        self.assertEqual(heard, [1])


class TestDeltas(unittest.TestCase):
    """A gap is repaired by number, else by the whole document."""

    def test_missing_changes_are_sent_alone(self) -> None:
        """The caller follows the same history."""
        behind = build_history('a')
        ahead = build_holder(build_history('b', 'c', start=behind))

        reply = answer_pull(ahead, build_pull(behind))

        self.assertEqual([delta.revision for delta in reply.deltas], [2, 3])
        self.assertEqual(reply.document, b'')

    def test_caller_on_a_fork_gets_the_whole_document(self) -> None:
        """Changes on top of another base would give another result."""
        first = build_history('a')
        ahead = build_holder(build_history('b', 'c', start=first))

        reply = answer_pull(ahead, build_pull(build_history('x', start=first)))

        self.assertEqual(len(reply.deltas), 0)
        self.assertEqual(Document.from_json(reply.document), ahead.document)

    def test_caller_behind_the_history_gets_the_whole_document(self) -> None:
        """The buffer is bounded."""
        holder = build_holder(build_history(*map(str, range(200))))
        behind = build_history('0')

        reply = answer_pull(holder, build_pull(behind))

        self.assertEqual(len(reply.deltas), 0)
        self.assertEqual(Document.from_json(reply.document).revision, 200)


class TestRestore(unittest.TestCase):
    """What the store lost is written back."""

    def test_rolled_back_store_gets_the_held_document(self) -> None:
        """It is the accepted one."""
        held = build_history('a', 'b', 'c')

        restored = restore(held, build_history('a'))

        self.assertEqual(restored.history, held.history)
        self.assertEqual(restored.revision, 3)
        self.assertEqual(restored.zones, held.zones)

    def test_emptied_store_gets_the_held_document(self) -> None:
        """An absent document loses every change."""
        held = build_history('a', 'b')

        restored = restore(held, Document())

        self.assertEqual(restored.revision, 2)
        self.assertEqual(restored.zones, held.zones)

    def test_change_accepted_after_the_rollback_is_kept(self) -> None:
        """It follows as the next revision, so neither side is lost."""
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

    def test_holder_on_the_fork_takes_the_restored_document(self) -> None:
        """It contains the last change that was in force there."""
        first = build_history('a')
        fork = build_history('x', 'y', start=first)
        restored = restore(build_history('b', start=first), fork)

        self.assertTrue(build_holder(fork).apply_document(restored))

    def test_store_that_is_ahead_is_left_alone(self) -> None:
        """Nothing is lost."""
        held = build_history('a')

        self.assertIsNone(restore(held, build_history('b', start=held)))

    def test_other_lineage_is_left_alone(self) -> None:
        """Only an operator may settle it."""
        self.assertIsNone(restore(build_history('a', 'b'), build_history('x')))


class TestStartup(unittest.TestCase):
    """A process trusts nothing before the store or enough peers spoke."""

    def setUp(self) -> None:
        """Start at time 0."""
        self.startup = Startup(0)

    def doubt(self, now_s: float, others: int, held: int, highest: int) -> str:
        """Return the doubt at a time."""
        return self.startup.doubt(
            now_s, others=others, held=held, highest=highest
        )

    def test_store_down_and_no_peer_is_never_trusted(self) -> None:
        """An hour does not help."""
        self.assertEqual(
            self.doubt(3600, 0, 5, 5),
            'neither the store nor a peer has answered yet',
        )

    def test_store_down_needs_several_peers(self) -> None:
        """One may lie behind."""
        self.startup.answered.update(('a', 'b'))
        self.assertEqual(
            self.doubt(2, 9, 5, 5),
            'the store is down; 2 of 3 peers told their revision',
        )

        self.startup.answered.add('c')

        self.assertEqual(self.doubt(2, 9, 5, 5), '')

    def test_higher_revision_heard_of_is_waited_for(self) -> None:
        """Also when an older store has answered."""
        self.startup.store_answered = True

        self.assertEqual(
            self.doubt(9, 9, 5, 6),
            'revision 6 is accepted, 5 is in force here',
        )

    def test_store_that_answered_is_trusted(self) -> None:
        """With a peer heard, or after the grace."""
        self.startup.store_answered = True

        self.assertEqual(self.doubt(0, 1, 5, 5), '')
        self.assertEqual(self.doubt(0, 0, 5, 5), 'no peer was heard yet')
        self.assertEqual(self.doubt(1, 0, 5, 5), '')
