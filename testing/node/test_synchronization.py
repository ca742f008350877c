"""Tests of keeping the configuration of a process up to date."""

import unittest
from types import SimpleNamespace

from bramleylug.configuration.document import DOCUMENT_KEY, Document
from bramleylug.configuration.holder import ConfigurationHolder
from bramleylug.node.synchronization import ConfigurationSynchronizer
from bramleylug.node.workers import run_steps
from bramleylug.store.store import StoredValue
from testing.builders import build_member
from testing.configuration.model_store import ModelStore
from testing.configuration.test_recovery import build_history

NAMES = tuple(f'host-{number}' for number in range(6))


def build_synchronizer(
    store: ModelStore, name: str = 'host-0', present: tuple[str, ...] = NAMES
) -> ConfigurationSynchronizer:
    """Return the synchronizer of a node with unreachable peers."""
    members = tuple(build_member(other) for other in present)
    node = SimpleNamespace(
        store=store,
        holder=ConfigurationHolder(lambda: 1),
        members=members,
        settings=SimpleNamespace(name=name, zone='zone-a'),
        membership=SimpleNamespace(highest_revision=0),
        stopping=False,
    )
    return ConfigurationSynchronizer(node)


class TestStore(unittest.TestCase):
    """A store that lost writes is restored and rolls no process back."""

    def setUp(self) -> None:
        """Start with revision 3 in force."""
        self.held = build_history('a', 'b', 'c')
        self.store = ModelStore()
        self.synchronizer = build_synchronizer(self.store)
        self.holder = self.synchronizer.node.holder
        self.holder.apply_document(self.held)

    def store_document(self, document: Document) -> None:
        version = len(self.store.calls) + 7
        self.store.held[DOCUMENT_KEY] = StoredValue(document.to_json(), version)

    def apply(self) -> None:
        """Let the synchronizer apply the stored document."""
        stored = self.store.read(DOCUMENT_KEY, timeout_s=1)
        self.synchronizer.apply_stored(stored)

    def test_rolled_back_store_is_restored(self) -> None:
        """The older revision is not applied."""
        self.store_document(build_history('a'))

        self.apply()

        self.assertEqual(self.holder.document.revision, 3)
        self.assertEqual(self.store.document().revision, 3)

    def test_stale_read_writes_nothing(self) -> None:
        """The compare-and-swap with the older version conflicts."""
        self.store_document(self.held)
        stale = StoredValue(build_history('a').to_json(), 1)

        self.synchronizer.apply_stored(stale)

        self.assertEqual(self.store.document().revision, 3)
        self.assertEqual(self.holder.document.revision, 3)

    def test_fork_keeps_both_sides(self) -> None:
        """A change accepted on the rolled-back document comes into force."""
        self.store_document(build_history('x', start=build_history('a')))

        self.apply()

        self.assertEqual(self.holder.document.revision, 4)
        self.assertEqual(
            set(self.holder.document.zones),
            {'zone-a', 'zone-b', 'zone-c', 'zone-x'},
        )

    def test_later_revision_of_the_store_is_applied(self) -> None:
        """It comes into force."""
        self.store_document(build_history('d', start=self.held))

        self.apply()

        self.assertEqual(self.holder.document.revision, 4)


class TestConfirmation(unittest.TestCase):
    """A started process is ready only with a confirmed revision."""

    def test_answer_of_the_store_confirms(self) -> None:
        """A peer is known and none has a later revision."""
        store = ModelStore()
        store.apply(DOCUMENT_KEY, 0, build_history('a').to_json())
        synchronizer = build_synchronizer(store)
        synchronizer.node.holder.unconfirmed_reason = 'starting'

        synchronizer.confirm()

        self.assertTrue(synchronizer.node.holder.is_confirmed)

    def test_long_pause_requires_confirmation(self) -> None:
        """The revision in force may be outdated."""
        synchronizer = build_synchronizer(ModelStore())
        synchronizer.node.holder.apply_document(build_history('a'))

        synchronizer.require_confirmation()

        self.assertEqual(
            synchronizer.node.holder.not_ready_reason,
            'the process was paused and its revision is not confirmed yet',
        )

    def test_without_store_and_peers_it_is_not_ready(self) -> None:
        """The reason says what is missing."""
        store = ModelStore()
        store.faults = ['refused']
        synchronizer = build_synchronizer(store, present=('host-0',))
        synchronizer.node.holder.unconfirmed_reason = 'starting'

        synchronizer.confirm()

        self.assertEqual(
            synchronizer.node.holder.not_ready_reason,
            'neither the store nor a peer has answered yet',
        )


class TestWatchers(unittest.TestCase):
    """A fixed number of processes in each zone watch the store."""

    def watchers(self, present: tuple[str, ...]) -> set[str]:
        """Return the names of the processes that watch."""
        return {
            name
            for name in present
            if build_synchronizer(ModelStore(), name, present).is_watcher()
        }

    def test_two_processes_of_a_zone_watch(self) -> None:
        """However many processes there are."""
        self.assertEqual(len(self.watchers(NAMES)), 2)

    def test_dead_watcher_is_replaced(self) -> None:
        """The other watcher stays."""
        before = self.watchers(NAMES)
        dead = min(before)

        after = self.watchers(tuple(set(NAMES) - {dead}))

        self.assertEqual(len(after), 2)
        self.assertEqual(after & before, before - {dead})


class TestWorkers(unittest.TestCase):
    """Background work continues after any exception."""

    def test_failed_step_is_called_again(self) -> None:
        """There is a pause before each repetition."""
        calls: list[int] = []
        waits: list[float] = []

        def step() -> None:
            calls.append(1)
            raise ValueError('malformed')

        run_steps('work', step, lambda: len(calls) == 3, waits.append)

        self.assertEqual(waits, [1.0, 1.0, 1.0])
