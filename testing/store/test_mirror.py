"""Tests of the local copy of the store's items."""

import unittest

from bramleylug.node.process_pauses import ProcessPauses
from bramleylug.store.changes import Removal, StoreItem
from bramleylug.store.mirror import (
    RECOVERY_GRACE_S,
    RESTORE_GRACE_S,
    Mirror,
)

OUTAGE_S = 3.0


def item(revision: int, key: str = 'engine', lease_id: int = 7) -> StoreItem:
    """Return an item bound to a lease."""
    return StoreItem(key, b'value', revision, lease_id)


class TestOrder(unittest.TestCase):
    """Changes are applied once, in the order of their revisions."""

    def setUp(self) -> None:
        """Create a mirror with one item."""
        self.mirror = Mirror(OUTAGE_S)
        self.mirror.confirm(0, 0)
        self.mirror.apply([item(5)], 5, 0)

    def test_older_change_is_ignored(self) -> None:
        """A page may be read after a later change of its items."""
        self.assertEqual(self.mirror.apply([item(4)], 4, 1), [])
        self.assertEqual(self.mirror.items['engine'].revision, 5)
        self.assertEqual(self.mirror.revision, 5)

    def test_removal_is_reported_once(self) -> None:
        """The key is absent when the removal arrives again."""
        removal = Removal('engine', 6)

        self.assertEqual(self.mirror.apply([removal], 6, 1), [removal])
        self.assertEqual(self.mirror.apply([removal], 6, 1), [])

    def test_item_missing_in_a_listing_is_removed(self) -> None:
        """Its removal may have fallen out of the store's history."""
        changes = self.mirror.replace([item(8, 'other')], 9, 1)

        self.assertEqual(changes, [item(8, 'other'), Removal('engine', 9)])

    def test_item_is_kept_that_an_older_listing_lacks(self) -> None:
        """Guards against evacuations and engines that are forgotten."""
        changes = self.mirror.replace([item(2, 'other')], 4, 1)

        self.assertEqual(changes, [item(2, 'other')])
        self.assertIn('engine', self.mirror.items)

    def test_removal_is_applied_after_an_older_listing(self) -> None:
        """The watch goes on from the listing."""
        self.mirror.replace([], 4, 1)

        self.mirror.apply([item(5), Removal('engine', 6)], 6, 2)

        self.assertNotIn('engine', self.mirror.items)

    def test_item_written_after_the_listing_is_kept(self) -> None:
        """The removal gets the listing's revision, not a later one."""
        self.mirror.replace([], 9, 1)

        self.assertEqual(self.mirror.apply([item(10)], 10, 1), [item(10)])


class TestRecovery(unittest.TestCase):
    """Leased items that expired during an outage may be written again."""

    def setUp(self) -> None:
        """Let the store answer again after ten seconds."""
        self.mirror = Mirror(OUTAGE_S)
        self.mirror.confirm(0, 0)
        self.mirror.apply([item(5), item(5, 'config', 0)], 5, 0)
        self.assertTrue(self.mirror.confirm(10, 10))

    def test_removal_is_deferred(self) -> None:
        """The engine stays in use until it had time to write its key again."""
        self.assertEqual(self.mirror.apply([Removal('engine', 6)], 6, 10), [])
        self.assertIn('engine', self.mirror.items)
        self.assertEqual(
            self.mirror.apply_due_removals(10 + RECOVERY_GRACE_S - 0.1), []
        )

    def test_deferred_removal_is_applied_when_due(self) -> None:
        """The owner did not write the item again in time."""
        self.mirror.apply([Removal('engine', 6)], 6, 10)

        removed = self.mirror.apply_due_removals(10 + RECOVERY_GRACE_S)

        self.assertEqual(removed, [Removal('engine', 6)])
        self.assertNotIn('engine', self.mirror.items)

    def test_rewritten_item_cancels_its_deferred_removal(self) -> None:
        """Its owner is alive."""
        self.mirror.apply([Removal('engine', 6)], 6, 10)
        self.mirror.apply([item(7)], 7, 11)

        self.assertEqual(self.mirror.apply_due_removals(20), [])
        self.assertEqual(self.mirror.items['engine'].revision, 7)

    def test_item_without_lease_is_removed_at_once(self) -> None:
        """Its removal was intended: it did not expire."""
        removal = Removal('config', 6)

        self.assertEqual(self.mirror.apply([removal], 6, 10), [removal])

    def test_removal_long_after_the_outage_is_applied_at_once(self) -> None:
        """The owner had the time to write the item again."""
        removal = Removal('engine', 6)
        self.mirror.confirm(13, 13)

        self.assertEqual(self.mirror.apply([removal], 6, 13), [removal])


class TestRestoredStore(unittest.TestCase):
    """An older copy of the store does not undo what was known since."""

    def setUp(self) -> None:
        """Know a zone that is out, and an engine that has left."""
        self.mirror = Mirror(OUTAGE_S)
        self.mirror.confirm(0, 0)
        self.mirror.replace([item(5), item(7, 'zone out', 0)], 9, 0, era=1)
        self.mirror.apply([Removal('engine', 10)], 10, 1)

    def restore(self, *items: StoreItem) -> list[object]:
        """Apply the listing of a store that went back to revision 6."""
        return self.mirror.replace(items, 6, 20, era=2)

    def test_revisions_are_given_out_again(self) -> None:
        """A change in the new era has a lower revision than known ones."""
        self.restore(item(4, 'zone out', 0))

        changes = self.mirror.apply([item(7, 'config', 0)], 7, 21)

        self.assertEqual(changes, [item(7, 'config', 0)])
        self.assertEqual(self.mirror.revision, 7)

    def test_missing_key_stays_for_a_while(self) -> None:
        """Its owner writes it again."""
        self.restore()
        self.assertEqual(self.mirror.apply_due_removals(20.1), [])
        self.mirror.apply([item(7, 'zone out', 0)], 7, 21)

        self.assertEqual(self.mirror.apply_due_removals(30), [])
        self.assertIn('zone out', self.mirror.items)

    def test_key_that_nobody_writes_again_is_removed(self) -> None:
        """Whatever was lost, the store decides in the end."""
        self.restore()

        changes = self.mirror.apply_due_removals(20 + RESTORE_GRACE_S)

        self.assertEqual(changes, [Removal('zone out', 0)])

    def test_removed_key_does_not_come_back_at_once(self) -> None:
        """The engine left after the copy was made."""
        self.assertEqual(
            self.restore(item(5), item(4, 'zone out', 0)),
            [item(4, 'zone out', 0)],
        )
        self.assertNotIn('engine', self.mirror.items)
        self.mirror.apply([Removal('engine', 8)], 8, 21)

        self.assertEqual(self.mirror.apply_due_removals(30), [])

    def test_removed_key_comes_back_when_its_owner_writes_it(self) -> None:
        """The engine was only cut off from the store."""
        self.restore(item(5))

        self.assertEqual(self.mirror.apply([item(8)], 8, 21), [item(8)])

    def test_removed_key_that_stays_in_the_store_is_accepted(self) -> None:
        self.restore(item(5))

        changes = self.mirror.apply_due_removals(20 + RESTORE_GRACE_S)

        self.assertIn(item(5), changes)
        self.assertIn('engine', self.mirror.items)


class TestAge(unittest.TestCase):
    """The mirror is as old as the read that confirmed it."""

    def test_age_counts_from_sending(self) -> None:
        """The store may have read its data at any time since then."""
        mirror = Mirror(OUTAGE_S)
        mirror.confirm(1.0, 2.0)

        self.assertEqual(mirror.age_s(3.0), 2.0)

    def test_changes_were_written_after_the_previous_read(self) -> None:
        """However long the answer was under way."""
        mirror = Mirror(OUTAGE_S)
        mirror.confirm(1.0, 2.0)
        mirror.confirm(2.0, 2.9)

        self.assertEqual(mirror.changes_written_after_s, 1.0)

    def test_wait_ends_with_the_first_change(self) -> None:
        """An earlier change would have been returned at once."""
        mirror = Mirror(OUTAGE_S)
        mirror.confirm(1.0, 2.0, 1.0)
        mirror.confirm(2.0, 3.0, 0.75)

        self.assertEqual(mirror.changes_written_after_s, 2.5)

    def test_change_between_two_waits_came_after_the_previous_answer(
        self,
    ) -> None:
        """The second wait is answered at once."""
        mirror = Mirror(OUTAGE_S)
        mirror.confirm(1.0, 2.0, 1.0)
        mirror.confirm(2.0, 2.1, 0.01)

        self.assertEqual(mirror.changes_written_after_s, 1.75)

    def test_late_answer_does_not_make_the_mirror_older(self) -> None:
        """The latest confirmation counts."""
        mirror = Mirror(OUTAGE_S)
        mirror.confirm(5.0, 5.1)
        mirror.confirm(4.0, 5.2)

        self.assertEqual(mirror.age_s(6.0), 1.0)


class TestPausedProcess(unittest.TestCase):
    """What is read after a pause may have arrived at any time in it."""

    def setUp(self) -> None:
        """Run until 8 s, then from 12.5 s on; the last answer is of 7.9 s."""
        self.pauses = ProcessPauses()
        self.mirror = Mirror(OUTAGE_S, self.pauses)
        for tick in range(70, 81):
            self.pauses.tick(tick / 10)
        self.mirror.confirm(7.0, 7.9, 0.9)

    def test_answer_read_late_does_not_date_its_change(self) -> None:
        """The wait seems to have been held open for the whole pause."""
        self.mirror.confirm(7.95, 12.5, 4.55)

        self.assertAlmostEqual(self.mirror.changes_written_after_s, 7.65)

    def test_answer_may_be_read_some_time_after_the_pause(self) -> None:
        self.pauses.tick(12.5)
        self.mirror.confirm(7.95, 12.8, 4.85)

        self.assertAlmostEqual(self.mirror.changes_written_after_s, 7.65)

    def test_wait_after_the_pause_dates_its_change(self) -> None:
        self.pauses.tick(12.5)
        self.mirror.confirm(12.55, 12.6, 0.05)
        for tick in range(126, 137):
            self.pauses.tick(tick / 10)
        self.mirror.confirm(12.85, 13.6, 0.75)

        self.assertAlmostEqual(self.mirror.changes_written_after_s, 13.35)

    def test_store_was_heard_of_no_later_than_the_pause_began(self) -> None:
        """Other processes read the store through this one."""
        self.mirror.confirm(7.95, 12.5, 4.55)

        self.assertEqual(self.mirror.heard_s, 8.0)

    def test_answer_to_a_read_after_the_pause_is_heard_at_once(self) -> None:
        """Other processes would avoid this one for longer otherwise."""
        self.pauses.tick(12.5)
        self.mirror.confirm(12.55, 12.6, 0.05)

        self.assertEqual(self.mirror.heard_s, 12.55)

    def test_pause_does_not_keep_an_engine_that_has_left(self) -> None:
        """The store answered its owner all the while."""
        self.mirror.apply([item(5)], 5, 8.0)
        removal = Removal('engine', 6)

        self.assertFalse(self.mirror.confirm(7.95, 12.5, 4.55))
        self.assertEqual(self.mirror.apply([removal], 6, 12.5), [removal])

    def test_outage_beside_a_pause_is_one(self) -> None:
        """The process ran for 3.5 s of it."""
        self.mirror.apply([item(5)], 5, 8.0)
        for tick in range(125, 151):
            self.pauses.tick(tick / 10)

        self.assertTrue(self.mirror.confirm(15.0, 15.0))
