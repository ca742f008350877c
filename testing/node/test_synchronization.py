"""Tests of how the accepted configuration comes into a process."""

import unittest
from types import SimpleNamespace

from bramleylug.configuration.document import DOCUMENT_KEY, Document
from bramleylug.configuration.holder import ConfigurationHolder
from bramleylug.node.synchronization import ConfigurationSource
from bramleylug.node.workers import run_steps
from bramleylug.store.store import StoredValue
from testing.builders import build_member
from testing.configuration.model_store import ModelStore
from testing.configuration.test_recovery import build_history

NAMES = tuple(f'host-{number}' for number in range(6))


def build_source(
    store: ModelStore, name: str = 'host-0', present: tuple[str, ...] = NAMES
) -> ConfigurationSource:
    """Return the source of a node whose peers cannot be reached."""
    members = tuple(build_member(other) for other in present)
    node = SimpleNamespace(
        store=store,
        holder=ConfigurationHolder(lambda: 1),
        members=members,
        settings=SimpleNamespace(name=name, zone='zone-a'),
        membership=SimpleNamespace(highest_revision=0),
        stopping=False,
    )
    return ConfigurationSource(node)


class TestStore(unittest.TestCase):
    """A store that lost writes neither turns a process back nor stays so."""

    def setUp(self) -> None:
        """Hold revision 3 in force."""
        self.held = build_history('a', 'b', 'c')
        self.store = ModelStore()
        self.source = build_source(self.store)
        self.holder = self.source.node.holder
        self.holder.apply_document(self.held)

    def store_document(self, document: Document) -> None:
        """Put a document into the store."""
        version = len(self.store.calls) + 7
        self.store.held[DOCUMENT_KEY] = StoredValue(document.to_json(), version)

    def take(self) -> None:
        """Let the source take what the store holds."""
        stored = self.store.read(DOCUMENT_KEY, timeout_s=1)
        self.source.take_stored(stored)

    def test_rolled_back_store_is_restored(self) -> None:
        """The older revision is never applied."""
        self.store_document(build_history('a'))

        self.take()

        self.assertEqual(self.holder.document.revision, 3)
        self.assertEqual(self.store.document().revision, 3)

    def test_stale_read_writes_nothing(self) -> None:
        """The compare-and-swap of the older version conflicts."""
        self.store_document(self.held)
        stale = StoredValue(build_history('a').to_json(), 1)

        self.source.take_stored(stale)

        self.assertEqual(self.store.document().revision, 3)
        self.assertEqual(self.holder.document.revision, 3)

    def test_fork_keeps_both_sides(self) -> None:
        """A change accepted on the rolled-back value comes in force."""
        self.store_document(build_history('x', start=build_history('a')))

        self.take()

        self.assertEqual(self.holder.document.revision, 4)
        self.assertEqual(
            set(self.holder.document.zones),
            {'zone-a', 'zone-b', 'zone-c', 'zone-x'},
        )

    def test_store_that_is_ahead_is_followed(self) -> None:
        """Its revision comes in force."""
        self.store_document(build_history('d', start=self.held))

        self.take()

        self.assertEqual(self.holder.document.revision, 4)


class TestConfirmation(unittest.TestCase):
    """A process that started is ready only on a confirmed revision."""

    def test_store_that_answers_confirms(self) -> None:
        """A peer is known, none is ahead."""
        store = ModelStore()
        store.apply(DOCUMENT_KEY, 0, build_history('a').to_json())
        source = build_source(store)
        source.node.holder.unconfirmed_reason = 'starting'

        source.confirm()

        self.assertTrue(source.node.holder.is_confirmed)

    def test_long_pause_asks_again(self) -> None:
        """What was in force may be old news."""
        source = build_source(ModelStore())
        source.node.holder.apply_document(build_history('a'))

        source.reopen()

        self.assertEqual(
            source.node.holder.not_ready_reason,
            'the process was paused and asks for the revision',
        )

    def test_store_down_and_peers_silent_leaves_it_not_ready(self) -> None:
        """The reason names what is missing."""
        store = ModelStore()
        store.faults = ['refused']
        source = build_source(store, present=('host-0',))
        source.node.holder.unconfirmed_reason = 'starting'

        source.confirm()

        self.assertEqual(
            source.node.holder.not_ready_reason,
            'neither the store nor a peer has answered yet',
        )


class TestWatchers(unittest.TestCase):
    """A fixed few processes of a zone watch the store."""

    def watchers(self, present: tuple[str, ...]) -> set[str]:
        """Return who holds it to be its duty."""
        return {
            name
            for name in present
            if build_source(ModelStore(), name, present).is_watcher()
        }

    def test_two_processes_of_a_zone_watch(self) -> None:
        """However many there are."""
        self.assertEqual(len(self.watchers(NAMES)), 2)

    def test_watcher_that_died_is_replaced(self) -> None:
        """The other one keeps its duty."""
        before = self.watchers(NAMES)
        dead = min(before)

        after = self.watchers(tuple(set(NAMES) - {dead}))

        self.assertEqual(len(after), 2)
        self.assertEqual(after & before, before - {dead})


class TestWorkers(unittest.TestCase):
    """Background work goes on after any exception."""

    def test_step_that_fails_is_called_again(self) -> None:
        """It waits before it does."""
        calls: list[int] = []
        waits: list[float] = []

        def step() -> None:
            calls.append(1)
            raise ValueError('malformed')

        run_steps('work', step, lambda: len(calls) == 3, waits.append)

        self.assertEqual(waits, [1.0, 1.0, 1.0])
